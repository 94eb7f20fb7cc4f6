//! Latest status observations of a group's instances, and conclusions from them.
//!
//! All decisions of the proxy about freshness and confirmation are pure functions of this table. It
//! is published by read-copy-update, so that requests read it without a lock.

use crate::id;
use crate::role;
use crate::stamp;
use crate::status;

/// One answered status probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Observation {
    /// Time before the probe was sent. Freshness must be derived from this time only: the status
    /// was taken at this time or later.
    pub started: id::Time,
    /// Time at which the answer was received.
    pub finished: id::Time,
    /// Status in the instance's answer.
    pub status: status::Status,
}

/// Observed state of one instance.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Instance {
    /// Last answered probe.
    pub last: Option<Observation>,
    /// Number of probes that failed since then.
    pub failures: u32,
    /// Time since which the instance has been behind the leader without advancing; `None` if it is
    /// not behind.
    pub behind: Option<id::Time>,
}

/// Primary of the group according to the observations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Leader {
    /// Index of the instance.
    pub index: id::Index,
    /// Term for which it was promoted.
    pub term: id::Term,
}

/// Observations of all instances of one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Board {
    /// Observed state of each instance, by index.
    seen: Vec<Instance>,
}

impl Board {
    /// Creates a board of `count` instances without any observations.
    ///
    /// ```
    /// let board = mangotray::board::Board::new(3);
    /// assert_eq!(board.majority(), 2);
    /// assert!(board.leader().is_none());
    /// ```
    #[must_use]
    pub fn new(count: usize) -> Self {
        Self {
            seen: vec![Instance::default(); count],
        }
    }

    /// Number of instances that form a majority of the declared group.
    ///
    /// ```
    /// assert_eq!(mangotray::board::Board::new(3).majority(), 2);
    /// ```
    #[must_use]
    pub fn majority(&self) -> usize {
        self.seen.len() / 2 + 1
    }

    /// Observed state of each instance, by index.
    #[must_use]
    pub fn instances(&self) -> &[Instance] {
        &self.seen
    }

    /// Records an answered probe. An answer to an older probe than the recorded one is dropped.
    pub fn record_answer(&mut self, index: id::Index, observation: Observation) {
        let instance = &mut self.seen[index];
        if instance
            .last
            .is_some_and(|last| last.started > observation.started)
        {
            return;
        }
        if instance.last.map(|last| last.status.stamp) != Some(observation.status.stamp) {
            instance.behind = None;
        }
        instance.last = Some(observation);
        instance.failures = 0;
        self.compare_with_leader(observation.finished);
    }

    fn compare_with_leader(&mut self, now: id::Time) {
        let leader = self.leader().and_then(|leader| self.status(leader.index));
        for instance in &mut self.seen {
            let stamp = instance.last.map(|last| last.status.stamp);
            let behind = stamp < leader.map(|status| status.stamp);
            instance.behind = behind.then(|| instance.behind.unwrap_or(now));
        }
    }

    /// Records a probe without an answer.
    pub fn record_failure(&mut self, index: id::Index) {
        let instance = &mut self.seen[index];
        instance.failures = instance.failures.saturating_add(1);
    }

    /// Last observed status of an instance, whatever its age.
    #[must_use]
    pub fn status(&self, index: id::Index) -> Option<status::Status> {
        self.seen[index].last.map(|last| last.status)
    }

    /// Highest fence term observed on any instance; 0 without observations.
    #[must_use]
    pub fn highest_fence(&self) -> id::Term {
        self.statuses()
            .map(|(_, status)| status.fence)
            .max()
            .unwrap_or(0)
    }

    /// Returns the current primary, if there is one according to the observations.
    ///
    /// Several instances may report that they are primary. Only the one with the highest term can
    /// be, and only while fewer than a majority are fenced at a higher term: a majority fenced
    /// higher ends its term, even if no other instance has been promoted yet.
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

    /// Returns a stamp that covers every write confirmed before `since`.
    ///
    /// Every confirmed write is on a majority of instances. In any majority of statuses taken at or
    /// after `since` at least one instance therefore has it, and the highest stamp of that majority
    /// covers it. Of all such majorities, the one whose highest stamp is lowest is used. An
    /// instance that lost its log does not count, because its status no longer shows the writes
    /// that it had.
    /// Returns `None` if fewer than a majority of statuses are fresh enough.
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

    /// Returns whether the record `stamp`, written on `primary` before `since`, is on a majority of
    /// the group's instances and its term has not ended.
    ///
    /// Compares the term *of the record*: a replica that has joined a later term may have an equal
    /// or higher position in a log without the record, and a replica that is fenced at a higher
    /// term need not keep the record.
    #[must_use]
    pub fn confirmed(&self, stamp: stamp::Stamp, primary: id::Index, since: id::Time) -> bool {
        let holders = self
            .fresh(since)
            .filter(|(index, status)| *index != primary && contains(status, stamp))
            .count();
        holders + 1 >= self.majority()
    }

    /// Returns whether a majority of instances answered probes sent at or after `since`.
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
            .filter_map(move |(index, instance)| {
                let last = instance.last.filter(|last| last.started >= since)?;
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
