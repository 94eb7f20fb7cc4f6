//! Makes this node known to the others.

use std::rc;
use std::time;

use mangotray::store;

use crate::member;
use crate::wait;

/// Pause before another try.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(700);

/// Writes this node's entry until it is there.
///
/// The entry outlives the process: a node that comes back finds it and writes nothing, so
/// that a restart of the whole fleet costs the store no call. The first try comes after `delay`:
/// where a store has lost the entries of many nodes, not all of them write at once.
///
/// # Panics
/// Never: a member is plain text.
pub async fn register(
    store: rc::Rc<dyn store::Store>,
    member: member::Member,
    mut version: store::Version,
    delay: time::Duration,
) {
    wait::sleep(delay).await;
    let key = member.key();
    let value = serde_json::to_vec(&member).expect("a member is plain text");
    let value = bytes::Bytes::from(value);
    loop {
        match store.swap(&key, value.clone(), version, None).await {
            Ok(store::Swap::Stored) => return tracing::info!(%key, "node enrolled"),
            outcome => tracing::info!(%key, ?outcome, "node not enrolled yet"),
        }
        wait::sleep(RETRY_PAUSE).await;
        match store.get(&key).await {
            Ok(Some(entry)) if entry.value == value => return,
            Ok(entry) => version = entry.map_or(0, |entry| entry.version),
            Err(failure) => tracing::info!(?failure, "own entry not read"),
        }
    }
}
