//! Follows the operators' configuration in the store, where this proxy watches it.

use std::sync;
use std::time;

use crate::apply;
use crate::enrol;
use crate::gossip;
use crate::spread;
use crate::store;

/// First wait after a failed call to the store; doubles with each failure.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(500);

/// Longest such wait: proxies that know nobody all watch, and must not flood a store
/// that comes back.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(4);

/// Watches the configuration.
pub struct Follower {
    store: sync::Arc<dyn store::Store>,
    gossip: sync::Arc<gossip::Gossip>,
}

impl Follower {
    /// A follower that has seen nothing yet.
    #[must_use]
    pub fn new(store: sync::Arc<dyn store::Store>, gossip: sync::Arc<gossip::Gossip>) -> Self {
        Self { store, gossip }
    }

    /// Watches for ever, whenever this proxy is one of those that do.
    pub async fn run(&self) {
        let mut seen = 0;
        let mut failures = 0;
        loop {
            if !self.gossip.watches() {
                async_io::Timer::after(spread::INTERVAL).await;
                continue;
            }
            match self.store.watch(apply::KEY, seen, spread::WAIT).await {
                Ok(found) => {
                    failures = 0;
                    seen = found.as_ref().map_or(0, |entry| entry.version);
                    self.gossip.stored(found.as_ref()).await;
                }
                Err(failure) => {
                    tracing::warn!(?failure, "configuration not readable, the last one stays");
                    async_io::Timer::after(backoff(failures)).await;
                    failures += 1;
                }
            }
        }
    }
}

fn backoff(failures: u32) -> time::Duration {
    let delay = INITIAL_BACKOFF.saturating_mul(2_u32.saturating_pow(failures));
    enrol::jittered(delay.min(MAX_BACKOFF))
}
