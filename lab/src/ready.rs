//! Waits until each proxy can write to each group.

use std::net;
use std::time;

use crate::link;
use crate::profile;

/// Pause between two attempts to write.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Waits until one write to each group through each proxy has succeeded. The write leaves
/// the data as it is.
///
/// # Errors
/// When this takes longer than `timeout`; the error names the proxy and the database.
pub fn wait(
    profile: &profile::Profile,
    databases: &[compact_str::CompactString],
    proxies: &[net::SocketAddr],
    timeout: time::Duration,
) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let deadline = time::Instant::now() + timeout;
    runtime.block_on(async {
        for proxy in proxies {
            for database in databases {
                while !accepts_write(profile, *proxy, database).await {
                    let remaining = deadline.saturating_duration_since(time::Instant::now());
                    eyre::ensure!(
                        !remaining.is_zero(),
                        "no write to {database} through {proxy} succeeded"
                    );
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
        Ok(())
    })
}

async fn accepts_write(profile: &profile::Profile, proxy: net::SocketAddr, database: &str) -> bool {
    let opened = link::Link::open(proxy, database, time::Duration::ZERO).await;
    let Ok(link) = opened else {
        return false;
    };
    let (answer, _) = link
        .query(&profile.no_op_write(), profile.deadline * 2)
        .await;
    matches!(answer, link::Answer::Rows(_))
}
