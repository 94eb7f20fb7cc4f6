//! Watches the operators' configuration in the store, on the proxies that are selected as
//! watchers.

use std::sync;
use std::time;

use crate::apply;
use crate::enrol;
use crate::gossip;
use crate::spread;
use crate::store;

/// Delay after the first failed call to the store; doubles with each further failure.
const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(500);

/// Upper bound of the delay before jitter. A proxy that knows no other proxies always watches,
/// and many such proxies must not overload a store that has just recovered.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(4);

/// Watches the configuration and passes each version to `gossip`.
pub struct Follower {
    store: sync::Arc<dyn store::Store>,
    gossip: sync::Arc<gossip::Gossip>,
}

impl Follower {
    /// Creates a follower that has not read a version yet.
    #[must_use]
    pub fn new(store: sync::Arc<dyn store::Store>, gossip: sync::Arc<gossip::Gossip>) -> Self {
        Self { store, gossip }
    }

    /// Runs without end; watches the store while this proxy is selected as a watcher.
    pub async fn run(&self) {
        let mut seen = 0;
        let mut failures = 0;
        loop {
            if !self.gossip.watches() {
                async_io::Timer::after(spread::EXCHANGE_INTERVAL).await;
                continue;
            }
            match self
                .store
                .watch(apply::KEY, seen, spread::WATCH_TIMEOUT)
                .await
            {
                Ok(found) => {
                    failures = 0;
                    seen = found.as_ref().map_or(0, |entry| entry.version);
                    self.gossip.handle_store_answer(found.as_ref()).await;
                }
                Err(failure) => {
                    tracing::warn!(
                        ?failure,
                        "cannot read the configuration from the store; keeping the last one"
                    );
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
