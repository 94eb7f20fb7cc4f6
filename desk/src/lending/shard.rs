//! Assigns organisations to shards that share a relaying node.

use std::hash;
use std::hash::Hash;
use std::hash::Hasher;

use crate::organisation;

/// Number of shards; organisations of one shard reach an instance through the same relaying node.
const SHARDS: u64 = 4;

/// Returns the shard of an organisation.
///
/// ```
/// use mangotray_desk::lending::shard;
/// assert_eq!(shard::of(&"dome".into()), shard::of(&"dome".into()));
/// ```
#[must_use]
pub fn of(organisation: &organisation::Name) -> usize {
    let mut hasher = hash::DefaultHasher::new();
    organisation.as_str().hash(&mut hasher);
    usize::try_from(hasher.finish() % SHARDS).unwrap_or_default()
}
