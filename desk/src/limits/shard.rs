//! Groups of organisations whose limits are counted by the same nodes.

use std::hash;
use std::hash::Hash;
use std::hash::Hasher;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::organisation;

/// One of the groups that all organisations are divided into by hash.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Shard {
    /// Number of this shard.
    pub index: u32,
    /// Number of shards. Nodes that see fleets of different sizes may divide differently; shards
    /// of different divisions have nothing in common.
    pub of: u32,
}

impl Shard {
    /// Returns the shard of an organisation among `count` shards.
    ///
    /// ```
    /// use mangotray_desk::limits::shard;
    /// let shard = shard::Shard::holding(&"dome".into(), 16);
    /// assert!(shard.index < 16);
    /// assert_eq!(shard, shard::Shard::holding(&"dome".into(), 16));
    /// ```
    #[must_use]
    pub fn holding(organisation: &organisation::Name, count: usize) -> Self {
        let mut hasher = hash::DefaultHasher::new();
        organisation.as_str().hash(&mut hasher);
        let index = usize::try_from(hasher.finish()).unwrap_or_default() % count.max(1);
        Self {
            index: u32::try_from(index).unwrap_or_default(),
            of: u32::try_from(count).unwrap_or(u32::MAX),
        }
    }

    /// All shards of a division into `count`.
    ///
    /// ```
    /// use mangotray_desk::limits::shard;
    /// assert_eq!(shard::Shard::all(16).count(), 16);
    /// ```
    pub fn all(count: usize) -> impl Iterator<Item = Self> {
        let of = u32::try_from(count).unwrap_or(u32::MAX);
        (0..of).map(move |index| Self { index, of })
    }

    /// The rendezvous key that ranks the members for this shard.
    ///
    /// ```
    /// use mangotray_desk::limits::shard;
    /// assert_eq!(shard::Shard { index: 3, of: 16 }.key(), "quotas 3");
    /// ```
    #[must_use]
    pub fn key(self) -> CompactString {
        format_compact!("quotas {}", self.index)
    }
}
