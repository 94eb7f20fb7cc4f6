//! Last observations of a group's instances, and what follows from them.
//!
//! Everything that the proxy concludes about freshness and confirmation is a plain
//! function of this table. It is published by read-copy-update, so a request reads
//! it without a lock.

use crate::id;
use crate::role;
use crate::stamp;
use crate::status;

/// One answered status probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Observation {
    /// Time before the probe was sent. Only this end of the interval may be used
    /// to argue about freshness: the status was taken at this time or later.
    pub started: id::Time,
    /// Time the answer was received.
    pub finished: id::Time,
    /// What the instance answered.
    pub status: status::Status,
}

/// What is known of one instance.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Seen {
    /// Last answered probe.
    pub last: Option<Observation>,
    /// Probes that failed since then.
    pub failures: u32,
    /// Since when the instance stands still behind the leader, if it does.
    pub behind: Option<id::Time>,
}

/// The primary that the observations point to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Leader {
    /// Index of the instance.
    pub index: id::Index,
    /// Term of its reign.
    pub term: id::Term,
}

/// Observations of all instances of one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Board {
    seen: Vec<Seen>,
}

impl Board {
    /// A board of `count` instances of which nothing is known yet.
    ///
    /// ```
    /// let board = mangotray::board::Board::new(3);
    /// assert_eq!(board.majority(), 2);
    /// assert!(board.leader().is_none());
    /// ```
    #[must_use]
    pub fn new(count: usize) -> Self {
        Self {
            seen: vec![Seen::default(); count],
        }
    }

    /// Instances that form a majority of the declared group.
    ///
    /// ```
    /// assert_eq!(mangotray::board::Board::new(3).majority(), 2);
    /// ```
    #[must_use]
    pub fn majority(&self) -> usize {
        self.seen.len() / 2 + 1
    }

    /// What is known of each instance, by index.
    #[must_use]
    pub fn seen(&self) -> &[Seen] {
        &self.seen
    }

    /// Notes an answered probe. An answer that was overtaken by a later one is dropped.
    pub fn answered(&mut self, index: id::Index, observation: Observation) {
        let seen = &mut self.seen[index];
        if seen
            .last
            .is_some_and(|last| last.started > observation.started)
        {
            return;
        }
        if seen.last.map(|last| last.status.stamp) != Some(observation.status.stamp) {
            seen.behind = None;
        }
        seen.last = Some(observation);
        seen.failures = 0;
        self.compare_with_leader(observation.finished);
    }

    fn compare_with_leader(&mut self, now: id::Time) {
        let leader = self.leader().and_then(|leader| self.status(leader.index));
        for seen in &mut self.seen {
            let stamp = seen.last.map(|last| last.status.stamp);
            let behind = stamp < leader.map(|status| status.stamp);
            seen.behind = behind.then(|| seen.behind.unwrap_or(now));
        }
    }

    /// Notes a probe without an answer.
    pub fn failed(&mut self, index: id::Index) {
        let seen = &mut self.seen[index];
        seen.failures = seen.failures.saturating_add(1);
    }

    /// Status of an instance as last seen, however old.
    #[must_use]
    pub fn status(&self, index: id::Index) -> Option<status::Status> {
        self.seen[index].last.map(|last| last.status)
    }

    /// Highest term that any instance has been seen fenced at.
    #[must_use]
    pub fn highest_fence(&self) -> id::Term {
        self.statuses()
            .map(|(_, status)| status.fence)
            .max()
            .unwrap_or(0)
    }

    /// The instance that leads, if the observations name one.
    ///
    /// Several instances may believe that they lead; only the one of the highest
    /// term can, and only while fewer than a majority have been fenced higher: a
    /// majority fenced higher means that its term is over, though nobody may have
    /// been promoted yet.
    #[must_use]
    pub fn leader(&self) -> Option<Leader> {
        let (index, status) = self
            .statuses()
            .filter(|(_, status)| status.role == role::Role::Primary)
            .max_by_key(|(_, status)| status.fence)?;
        let term = status.fence;
        let higher = self
            .statuses()
            .filter(|(_, status)| status.fence > term)
            .count();
        (higher < self.majority()).then_some(Leader { index, term })
    }

    /// Stamp that contains every write confirmed before `since`.
    ///
    /// Every confirmed write is on a majority, so among any majority of statuses
    /// taken at or after `since` one has it; the highest stamp of them contains
    /// it. Of all majorities at hand the one with the lowest such stamp is used.
    /// An instance that lost its log does not count: it would hide the writes it
    /// held before. `None` when too few statuses are that fresh.
    ///
    /// ```
    /// use std::time::Duration;
    /// let board = mangotray::board::Board::new(3);
    /// assert_eq!(board.floor(Duration::ZERO), None);
    /// ```
    #[must_use]
    pub fn floor(&self, since: id::Time) -> Option<stamp::Stamp> {
        let mut stamps: Vec<_> = self
            .fresh(since)
            .filter(|(_, status)| status.voter)
            .map(|(_, status)| status.stamp)
            .collect();
        stamps.sort_unstable();
        stamps.get(self.majority() - 1).copied()
    }

    /// Whether the record `stamp`, written on `primary` before `since`, is on a
    /// majority of a group whose term has not ended.
    ///
    /// Compares the term *of the record*. A replica that has joined a later term may
    /// hold a log without the record at an equal or higher position, and one that has
    /// been fenced higher is no longer bound to keep it.
    #[must_use]
    pub fn confirmed(&self, stamp: stamp::Stamp, primary: id::Index, since: id::Time) -> bool {
        let holders = self
            .fresh(since)
            .filter(|(index, status)| *index != primary && contains(status, stamp))
            .count();
        holders + 1 >= self.majority()
    }

    /// Whether a majority of instances has answered since `since`.
    #[must_use]
    pub fn reachable(&self, since: id::Time) -> bool {
        self.fresh(since).filter(|(_, status)| status.voter).count() >= self.majority()
    }

    fn statuses(&self) -> impl Iterator<Item = (id::Index, status::Status)> {
        self.fresh(id::Time::ZERO)
    }

    fn fresh(&self, since: id::Time) -> impl Iterator<Item = (id::Index, status::Status)> {
        self.seen
            .iter()
            .enumerate()
            .filter_map(move |(index, seen)| {
                let last = seen.last.filter(|last| last.started >= since)?;
                Some((index, last.status))
            })
    }
}

fn contains(status: &status::Status, stamp: stamp::Stamp) -> bool {
    let same_term = status.stamp.term == stamp.term;
    let reached = status.stamp.position >= stamp.position;
    let unfenced = status.fence <= stamp.term;
    status.voter && same_term && reached && unfenced
}

#[cfg(test)]
mod tests;
