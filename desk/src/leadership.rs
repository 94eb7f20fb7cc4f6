//! What a node believes of who leads a group, and on what evidence.

use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::detector;
use crate::floor;
use crate::progress;
use crate::status;
use crate::upstream;

/// What a node believes of who leads a group, and on what evidence.
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
    last: Option<upstream::Id>,
    term: id::Term,
    /// Since when no primary is known; none while one is.
    vacant_since: Option<id::Time>,
    progress: progress::Progress,
    floors: floor::Floors,
}

impl Leadership {
    /// Who leads, as far as is known.
    #[must_use]
    pub const fn leader(&self) -> Option<&status::Leader> {
        self.leader.as_ref()
    }

    /// The instance that was last seen to lead.
    #[must_use]
    pub const fn last(&self) -> Option<&upstream::Id> {
        self.last.as_ref()
    }

    /// Highest term that was heard of.
    #[must_use]
    pub const fn term(&self) -> id::Term {
        self.term
    }

    /// What was seen while no primary was known.
    #[must_use]
    pub const fn vacancy(&self) -> detector::Vacancy {
        detector::Vacancy {
            since: self.vacant_since,
            received: self.progress.furthest(),
        }
    }

    /// What replicas were seen to have received.
    pub const fn progress(&mut self) -> &mut progress::Progress {
        &mut self.progress
    }

    /// How far a log must reach.
    #[must_use]
    pub const fn floors(&self) -> &floor::Floors {
        &self.floors
    }

    /// Gives up the belief in a primary of `term` or an earlier one; tells in whom.
    pub fn clear_leader(&mut self, term: id::Term, now: id::Time) -> Option<status::Leader> {
        let doubted = self.leader.take_if(|leader| leader.term <= term)?;
        self.vacant_since = Some(now);
        Some(doubted)
    }

    /// Takes note of who leads; `true` where that is news.
    pub fn set_leader(&mut self, leader: &status::Leader) -> bool {
        let news = self.leader.as_ref() != Some(leader);
        self.last = Some(leader.id.clone());
        self.leader = Some(leader.clone());
        self.vacant_since = None;
        news
    }

    /// Takes note of the terms and positions that instances told at `now`, asked at `started`; tells
    /// which replicas have lost their logs.
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
            } else if self.last.as_ref() != Some(&report.id)
                && self.progress.record(report, started, now)
            {
                // The one that led last has records that no replica has received.
                lost.push(report.id.clone());
            }
        }
        lost
    }

    /// Notes that a replica has lost its log, as was learnt at `now`.
    pub const fn note_loss(&mut self, now: id::Time) {
        self.floors.note_loss(now);
    }

    /// Takes note of the primary's answer to a command sent at `sent`.
    pub fn record_position(&mut self, term: id::Term, sent: id::Time, stamp: stamp::Stamp) {
        self.floors.record_position(term, sent, stamp);
    }

    /// Takes over a floor that another node has told of.
    pub fn adopt(&mut self, term: id::Term, time: id::Time, stamp: stamp::Stamp) {
        self.term = self.term.max(term);
        self.floors.adopt(term, time, stamp);
    }

    /// Takes a position that all instances but the primary have received, at `started`, for a
    /// floor.
    pub fn record_replica_only_floor(&mut self, started: id::Time, stamp: stamp::Stamp) {
        self.floors.record_position(self.term, started, stamp);
        self.floors.record_leading(self.term, started);
        self.floors.note_replica_only(started);
    }

    /// Notes that the primary of `term` still led at `started`.
    pub fn record_leading(&mut self, term: id::Term, started: id::Time) {
        self.floors.record_leading(term, started);
    }

    /// Position that holds every acknowledged commit, where all replicas together have received
    /// `received`, and an instance was last lost at `lost`.
    ///
    /// A commit is acknowledged once one replica has it. What a lost one alone had is with the
    /// primary only, and not among what those that are left have received: they tell of all
    /// commits only if a floor with the primary's word was proven after the loss. Where
    /// one of two replicas is gone for good, and the other has received nothing for seconds, reads
    /// on it would miss what only the lost one had.
    #[must_use]
    pub fn covering_position(
        &self,
        received: stamp::Stamp,
        lost: Option<id::Time>,
    ) -> Option<stamp::Stamp> {
        // Evidence of an earlier term covers no commit of this one.
        self.floors.last_proven(self.term)?;
        let proven = self.floors.newest()?;
        let known = self.floors.furthest().unwrap_or_default();
        lost.is_none_or(|lost| proven > lost)
            .then_some(received.max(known))
    }

    /// Whether a replica that is known to have started again at `reborn` vouches for a
    /// primary by itself.
    ///
    /// It has lost its hold, and what it knew of later terms: asked alone, it would vouch for a
    /// primary that was replaced meanwhile. It counts by itself once the primary was proven to
    /// lead after its start, and otherwise only together with all others, one of which
    /// would lead.
    #[must_use]
    pub fn trusts_restarted(&self, reborn: Option<id::Time>, term: id::Term) -> bool {
        let proven = self.floors.last_proven(term);
        reborn.is_none_or(|reborn| proven > Some(reborn))
    }
}
