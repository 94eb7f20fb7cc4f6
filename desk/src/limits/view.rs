//! The owners of a shard's limits, as one node sees them by its list of members.

use std::collections;

use mangotray::id;

use crate::lending::serving;
use crate::limits::ownership;
use crate::limits::shard;
use crate::member;

/// Number of members that own an equal share of the limits of a shard. With five, a partition
/// leaves about its part of the nodes on each side, and the loss of one costs a fifth.
pub const OWNERS: usize = 5;

/// Members after the owners in the ranking that a new owner asks as well: in an older list of
/// members, one of them may be an owner.
const WITNESSES: usize = 5;

/// Number of nodes that a part of the tolerated excess is divided among: the owners and the
/// witnesses, so that a partition leaves some of them on each side.
#[allow(clippy::cast_possible_truncation)] // A small number.
pub const MAX_RANKED: u32 = (OWNERS + WITNESSES) as u32;

/// First version of the messages with shares.
pub const MIN_PROTOCOL: u32 = 1;

/// Owners of a shard, and since when.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The owners in the order of the ranking, with the time since when each is one.
    pub owners: Vec<(id::Vm, id::Time)>,
    /// The members after them in the ranking.
    witnesses: Vec<id::Vm>,
    /// Owners and witnesses that left the members, with the time. They may hold borrowed shares.
    departed: collections::BTreeMap<id::Vm, id::Time>,
    /// Numbers of owners before departures, with the time until which a former owner may use its
    /// share.
    former_counts: Vec<(u32, id::Time)>,
}

impl View {
    /// Applies a list of members. Returns whether an owner has left it.
    ///
    /// ```
    /// use mangotray_desk::limits::{ownership, shard, view};
    /// use std::time::Duration;
    /// let timing = ownership::Timing { lease: Duration::from_secs(2), takeover: Duration::from_secs(5) };
    /// let shard = shard::Shard { index: 0, of: 16 };
    /// let mut view = view::View::default();
    /// assert!(!view.update(&[], shard, timing, Duration::ZERO));
    /// assert_eq!(view.divisor(Duration::ZERO), 1);
    /// ```
    pub fn update(
        &mut self,
        members: &[member::Member],
        shard: shard::Shard,
        timing: ownership::Timing,
        now: id::Time,
    ) -> bool {
        let mut able = serving::ranked(members, &shard.key());
        able.retain(|member| member.protocol >= MIN_PROTOCOL);
        let mut names: Vec<_> = able.into_iter().map(|member| member.name.clone()).collect();
        names.truncate(OWNERS + WITNESSES);
        let is_member = |name: &id::Vm| members.iter().any(|member| member.name == *name);
        let left = self.owners.iter().any(|(name, _)| !is_member(name));
        let gone: Vec<_> = self
            .asked()
            .filter(|name| !is_member(name))
            .cloned()
            .collect();
        let departure = timing.departure();
        self.departed
            .retain(|name, at| !is_member(name) && now.saturating_sub(*at) < departure);
        self.former_counts.retain(|(_, until)| now < *until);
        let count = names.len().min(OWNERS);
        if count < self.owners.len() {
            let former = u32::try_from(self.owners.len()).unwrap_or(1);
            self.former_counts.push((former, now + departure));
        }
        self.departed
            .extend(gone.into_iter().map(|name| (name, now)));
        self.witnesses = names.split_off(count);
        let since = |name: &id::Vm| self.owner_since(name).unwrap_or(now);
        self.owners = names
            .iter()
            .map(|name| (name.clone(), since(name)))
            .collect();
        left
    }

    /// Time since when a member is an owner; `None` if it is not one.
    #[must_use]
    pub fn owner_since(&self, name: &id::Vm) -> Option<id::Time> {
        let found = self.owners.iter().find(|(owner, _)| owner == name);
        found.map(|(_, since)| *since)
    }

    /// Rank of a member among those that are owners or may be in older lists.
    #[must_use]
    pub fn rank(&self, name: &id::Vm) -> Option<usize> {
        self.asked().position(|known| known == name)
    }

    /// The members that a new owner asks about its share, apart from itself.
    #[must_use]
    pub fn others(&self, own: &id::Vm) -> Vec<id::Vm> {
        self.asked().filter(|name| *name != own).cloned().collect()
    }

    fn asked(&self) -> impl Iterator<Item = &id::Vm> {
        let owners = self.owners.iter().map(|(name, _)| name);
        owners.chain(&self.witnesses)
    }

    /// Number of equal parts that the limits are divided into. It shrinks only when a departed
    /// owner no longer uses its part.
    #[must_use]
    pub fn divisor(&self, now: id::Time) -> u32 {
        let former = self.former_counts.iter();
        let former = former.filter(|(_, until)| now < *until);
        let former = former.map(|(count, _)| *count).max().unwrap_or(1);
        former.max(u32::try_from(self.owners.len()).unwrap_or(1))
    }

    /// Whether an owner or witness apart from `name` has left the members so lately that it may
    /// still use a share.
    #[must_use]
    pub fn has_departed(&self, name: &id::Vm, departure: id::Time, now: id::Time) -> bool {
        let mut departed = self.departed.iter();
        departed.any(|(gone, at)| gone != name && now.saturating_sub(*at) < departure)
    }
}
