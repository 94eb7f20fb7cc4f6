//! Waits until every group takes a write through every proxy.

use std::net;
use std::time;

use crate::link;
use crate::profile;

/// Pause between two attempts.
const INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Waits for one write to each group through each proxy. The write changes nothing.
///
/// # Errors
/// When that takes longer than `patience`; says which proxy and group are missing.
pub fn wait(
    profile: &profile::Profile,
    databases: &[compact_str::CompactString],
    proxies: &[net::SocketAddr],
    patience: time::Duration,
) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let end = time::Instant::now() + patience;
    runtime.block_on(async {
        for proxy in proxies {
            for database in databases {
                while !takes_write(profile, *proxy, database).await {
                    let left = end.saturating_duration_since(time::Instant::now());
                    eyre::ensure!(!left.is_zero(), "{proxy} takes no write to {database}");
                    tokio::time::sleep(INTERVAL).await;
                }
            }
        }
        Ok(())
    })
}

async fn takes_write(profile: &profile::Profile, proxy: net::SocketAddr, database: &str) -> bool {
    let opened = link::Link::open(proxy, database, time::Duration::ZERO).await;
    let Ok(link) = opened else {
        return false;
    };
    let (answer, _) = link.query(&profile.touch(), profile.deadline * 2).await;
    matches!(answer, link::Answer::Rows(_))
}
