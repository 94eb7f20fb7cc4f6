//! Leadership of a group as known to this node: the primary, its term, and the evidence for both.

use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::detector;
use crate::ended;
use crate::floor;
use crate::progress;
use crate::replication;
use crate::status;
use crate::upstream;

/// The known primary of a group, and the evidence for it.
///
/// ```
/// use mangotray_desk::{leadership, status};
/// use std::time::Duration;
/// let mut leadership = leadership::Leadership::default();
/// leadership.set_leader(&status::Leader { id: "a".into(), term: 3 });
/// assert!(leadership.clear_leader(2, Duration::ZERO).is_none());
/// assert!(leadership.clear_leader(3, Duration::ZERO).is_some());
/// assert_eq!(leadership.leader(), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Leadership {
    leader: Option<status::Leader>,
    /// The primary that was last known, with its term; kept when `leader` is cleared.
    last_leader: Option<status::Leader>,
    term: id::Term,
    /// Since when no primary is known; `None` while one is known.
    vacant_since: Option<id::Time>,
    progress: progress::Progress,
    floors: floor::Floors,
    replication: replication::Replication,
}

impl Leadership {
    /// The known primary.
    #[must_use]
    pub const fn leader(&self) -> Option<&status::Leader> {
        self.leader.as_ref()
    }

    /// The instance that was last known to lead.
    #[must_use]
    pub fn last_primary(&self) -> Option<&upstream::Id> {
        self.last_leader.as_ref().map(|leader| &leader.id)
    }

    /// Whether this node has seen this instance lead in this term, as the last one.
    #[must_use]
    pub fn was_last(&self, leader: &status::Leader) -> bool {
        self.last_leader.as_ref() == Some(leader)
    }

    /// The highest term known.
    #[must_use]
    pub const fn term(&self) -> id::Term {
        self.term
    }

    /// Since when no primary is known, and the highest received log position.
    #[must_use]
    pub const fn vacancy(&self) -> detector::Vacancy {
        detector::Vacancy {
            since: self.vacant_since,
            received: self.progress.max_received(),
        }
    }

    /// The records that replicas are known to have received.
    pub const fn progress(&mut self) -> &mut progress::Progress {
        &mut self.progress
    }

    /// The floors derived from the evidence of the present term.
    #[must_use]
    pub const fn floors(&self) -> &floor::Floors {
        &self.floors
    }

    /// Whether the replicas have every acknowledged commit.
    #[must_use]
    pub const fn replication(&self) -> &replication::Replication {
        &self.replication
    }

    /// Sets how many replicas must have a commit before it is acknowledged, by a configuration
    /// applied at `now` and everywhere else within `settling`.
    pub fn set_replication(&mut self, required: usize, now: id::Time, settling: time::Duration) {
        if self.replication.configure(required, now, settling) {
            self.floors.discard();
        }
    }

    /// Discards the known primary if its term is `term` or earlier, and returns it.
    pub fn clear_leader(&mut self, term: id::Term, now: id::Time) -> Option<status::Leader> {
        let cleared = self.leader.take_if(|leader| leader.term <= term)?;
        self.vacant_since = Some(now);
        Some(cleared)
    }

    /// Sets the known primary; returns whether it has changed.
    pub fn set_leader(&mut self, leader: &status::Leader) -> bool {
        let changed = self.leader.as_ref() != Some(leader);
        self.last_leader = Some(leader.clone());
        self.leader = Some(leader.clone());
        self.vacant_since = None;
        changed
    }

    /// Records the terms and positions in reports that arrived at `now` in answer to queries sent
    /// at `started`. Returns the replicas that have lost their logs.
    pub fn record_reports(
        &mut self,
        reports: &[status::Report],
        started: id::Time,
        now: id::Time,
    ) -> Vec<upstream::Id> {
        let highest = reports.iter().map(|report| report.status.term).max();
        self.term = self.term.max(highest.unwrap_or_default());
        let mut lost = Vec::new();
        for report in reports {
            let status = report.status;
            if status.role == role::Role::Primary {
                self.progress.record_primary(status.term, status.received);
            } else if self.last_primary() != Some(&report.id)
                && self.progress.record(report, started, now)
            {
                // The last primary is excluded: its log may shrink without a loss, as it has records
                // that no replica has received.
                lost.push(report.id.clone());
            }
        }
        lost
    }

    /// Records that a process has ended whose log is lost.
    pub fn note_loss(&mut self, process: ended::Process) {
        self.floors.note_loss(process);
    }

    /// Records the primary's position in the answer to a command sent at `sent`.
    pub fn record_position(&mut self, term: id::Term, sent: id::Time, stamp: stamp::Stamp) {
        self.floors.record_position(term, sent, stamp);
    }

    /// Adds a floor reported by another node.
    pub fn adopt_floor(&mut self, term: id::Term, time: id::Time, stamp: stamp::Stamp) {
        self.term = self.term.max(term);
        self.floors.adopt(term, time, stamp);
    }

    /// Adds a floor derived from replicas alone: `stamp` covers all commits acknowledged before
    /// `started`.
    pub fn record_replica_only_floor(&mut self, started: id::Time, stamp: stamp::Stamp) {
        self.floors.record_position(self.term, started, stamp);
        self.floors.record_leading(self.term, started);
        self.floors.note_replica_only(started);
    }

    /// Records that the primary of `term` still led at `started`.
    pub fn record_leading(&mut self, term: id::Term, started: id::Time) {
        self.floors.record_leading(term, started);
    }

    /// A position that covers every acknowledged commit, without a proof that the primary leads:
    /// `received` is the highest log position among the answers of all other instances, and of the
    /// last primary if it `answered` as primary; `lost` is when an instance was last lost.
    ///
    /// Without the primary's answer, the replicas cover a commit only if it is not acknowledged before
    /// one of them has received it. If that replica is lost, only the primary has the commit, and the
    /// remaining replicas' positions don't cover it. They cover all commits only if a floor based on
    /// the primary's own position was proven after the loss, and after the replicas had to have them.
    /// Otherwise, if one of two replicas is lost for good and the other has received nothing for
    /// seconds, reads on the other would miss the commits that only the lost replica had received.
    #[must_use]
    pub fn covering_position(
        &self,
        received: stamp::Stamp,
        answered: bool,
        lost: Option<id::Time>,
    ) -> Option<stamp::Stamp> {
        self.floors.last_proven(self.term)?;
        let proven = self.floors.newest_moment()?;
        let known = self.floors.newest_position().unwrap_or_default();
        let covered = answered || self.replication.covers(proven);
        (covered && lost.is_none_or(|lost| proven > lost)).then_some(received.max(known))
    }

    /// Whether a replica that restarted at `restarted`, if it did, can prove by its report alone
    /// that the primary of `term` leads.
    ///
    /// A restarted replica has lost its hold, and doesn't know of later terms: on its own, it would
    /// confirm a primary that has been replaced. Its report suffices alone once the primary was
    /// proven to lead after the restart; before that, it counts only together with the reports of
    /// all others, as a new primary would be among them.
    #[must_use]
    pub fn trusts_restarted(&self, restarted: Option<id::Time>, term: id::Term) -> bool {
        let proven = self.floors.last_proven(term);
        restarted.is_none_or(|restarted| proven > Some(restarted))
    }
}
