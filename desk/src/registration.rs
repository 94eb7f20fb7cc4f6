//! Registers this node in the platform's store, where the other nodes find it.

use std::rc;
use std::time;

use mangotray::store;

use crate::member;
use crate::wait;

/// Pause before another attempt.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(700);

/// Writes this node's entry, with retries until it is stored.
///
/// The entry outlives the process: a restarted node finds it and writes nothing, so that a restart
/// of the whole fleet costs no calls to the store. The first attempt is made after `delay`: if the
/// store has lost the entries of many nodes, not all of them write at once.
///
/// # Panics
/// Never: a member always serialises.
pub async fn register(
    store: rc::Rc<dyn store::Store>,
    member: member::Member,
    mut version: store::Version,
    delay: time::Duration,
) {
    wait::sleep(delay).await;
    let key = member.key();
    let value = serde_json::to_vec(&member).expect("a member always serialises");
    let value = bytes::Bytes::from(value);
    loop {
        match store.swap(&key, value.clone(), version, None).await {
            Ok(store::Swap::Stored) => return tracing::info!(%key, "node registered"),
            outcome => tracing::info!(%key, ?outcome, "node not registered; retrying"),
        }
        wait::sleep(RETRY_PAUSE).await;
        match store.get(&key).await {
            Ok(Some(entry)) if entry.value == value => return,
            Ok(entry) => version = entry.map_or(0, |entry| entry.version),
            Err(failure) => tracing::info!(?failure, "cannot read this node's entry"),
        }
    }
}
