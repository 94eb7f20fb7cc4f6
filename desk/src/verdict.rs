//! Decides from the answers to one round of holds whether a promotion can proceed, and with which
//! candidate.
//!
//! Replicas may not answer, may have restarted without their logs, or may already lead by the order
//! of an earlier lease holder. The old primary may come back, with its log or without. If a
//! candidate without some acknowledged record is promoted, data is lost; if the promotion is held
//! back indefinitely, the group has no primary.

use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::status;
use crate::upstream;

/// The answers to one round of holds.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The primary that is replaced, and its term.
    pub leader: &'a status::Leader,
    /// Term for which the replicas are held.
    pub term: id::Term,
    /// Number of instances that have to be held: all except the one that is replaced.
    pub expected: usize,
    /// The answers of these instances.
    pub reports: &'a [status::Report],
    /// Last log position that any replica is known to have received.
    pub max_received: Option<stamp::Stamp>,
    /// An instance whose order may still take effect.
    pub pending: Option<&'a upstream::Id>,
    /// If a replica has lost its log, the bound on the records that it may have confirmed.
    pub loss: Option<Loss>,
}

/// Bound on the records that a replica may have confirmed before it lost its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// No bound is known, as the primary has not answered since.
    Unknown,
    /// No bound is known, but this primary was never seen to be followed by the replica.
    Unseen,
    /// It confirmed no record beyond this position.
    Within(stamp::Stamp),
}

/// State of the primary that is replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// There is evidence that it has ended, and cannot come back with its log.
    Gone,
    /// It does not answer, and may come back with its log.
    Silent,
    /// It answered with this status.
    Answers(status::Report),
}

impl Predecessor {
    /// The status that it answered with.
    ///
    /// ```
    /// assert_eq!(mangotray_desk::verdict::Predecessor::Gone.report(), None);
    /// ```
    #[must_use]
    pub const fn report(&self) -> Option<&status::Report> {
        match self {
            Self::Answers(report) => Some(report),
            Self::Gone | Self::Silent => None,
        }
    }
}

/// What a promotion has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Hold the replicas again. One is not held, or an instance with a pending order and a shorter
    /// log may still lead.
    Wait,
    /// Hold the replicas again, as one that does not answer may be the only one with some commit.
    /// The replaced primary's log would cover its records.
    Missing,
    /// An instance already leads a later term.
    Overtaken(status::Leader),
    /// Query the replaced primary, as no replica has all records that a replica had received.
    Lacking,
    /// Give up for now: the replaced primary may come back with records that no replica has.
    HeldBack,
    /// Give up: the replaced primary still leads, with records that no replica has.
    Returned,
    /// Promote this instance, whose log has all records that still exist.
    Promote(upstream::Id),
}

impl View<'_> {
    /// Judges the answers of the replicas.
    ///
    /// A candidate needs all records that any replica has received, now or at an earlier time.
    /// Among equal candidates, one whose order may still take effect comes first, and one that is
    /// not leaving precedes one that is.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{status, upstream, verdict};
    /// let report = |id: &str, position| status::Report {
    ///     id: id.into(),
    ///     status: upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, position), held: 2, load: upstream::Load::default() },
    ///     applied: None,
    /// };
    /// let leader = status::Leader { id: "a".into(), term: 1 };
    /// let reports = [report("b", 4), report("c", 9)];
    /// let view = verdict::View { leader: &leader, term: 2, expected: 2, reports: &reports, max_received: Some(Stamp::new(1, 9)), pending: None, loss: None };
    /// assert_eq!(view.judge(|_| false), verdict::Verdict::Promote("c".into()));
    /// ```
    #[must_use]
    pub fn judge(&self, leaves: impl Fn(&upstream::Id) -> bool) -> Verdict {
        if let Some(leader) = self.overtaken() {
            return Verdict::Overtaken(leader);
        }
        if !self.reports.iter().all(|report| self.is_held(report)) {
            return Verdict::Wait;
        }
        if self.reports.is_empty() || self.reports.len() < self.expected {
            return Verdict::Missing;
        }
        match self.best(leaves) {
            Some(report) if self.has_all(report) => self.promote(report),
            _ => Verdict::Lacking,
        }
    }

    /// Resolves [`Verdict::Missing`] by the replaced primary, once it leads no more and is held: its
    /// log has all commits acknowledged in its term, so that no missing replica is needed.
    ///
    /// `position` is the last log position of that primary known from when it led. If its log ends
    /// before, it was lost in a restart.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{status, upstream, verdict};
    /// let report = |id: &str, position| status::Report {
    ///     id: id.into(),
    ///     status: upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, position), held: 2, load: upstream::Load::default() },
    ///     applied: None,
    /// };
    /// let leader = status::Leader { id: "a".into(), term: 1 };
    /// let reports = [report("b", 4)];
    /// let view = verdict::View { leader: &leader, term: 2, expected: 2, reports: &reports, max_received: None, pending: None, loss: None };
    /// assert_eq!(view.judge(|_| false), verdict::Verdict::Missing);
    /// let resolve = |position| view.resolve_missing(&report("a", position), Stamp::new(1, 4), |_| false);
    /// assert_eq!(resolve(4), verdict::Verdict::Promote("b".into()));
    /// assert_eq!(resolve(5), verdict::Verdict::Promote("a".into()));
    /// assert_eq!(resolve(0), verdict::Verdict::Missing);
    /// ```
    #[must_use]
    pub fn resolve_missing(
        &self,
        old: &status::Report,
        position: stamp::Stamp,
        leaves: impl Fn(&upstream::Id) -> bool,
    ) -> Verdict {
        let received = old.status.received;
        let has_log = old.status.term >= self.leader.term
            && received.term <= self.leader.term
            && received >= position
            && Some(received) >= self.max_received;
        let answers =
            |id: &upstream::Id| *id == old.id || self.reports.iter().any(|report| report.id == *id);
        // A missing instance whose order may still take effect would lead beside the one chosen now.
        let may_lead = self.pending.is_some_and(|id| !answers(id));
        if !self.is_held(old) || !has_log || may_lead {
            return Verdict::Missing;
        }
        let best = self.best(leaves);
        let covering = best.filter(|best| best.status.received >= received);
        self.promote(covering.unwrap_or(old))
    }

    /// Resolves [`Verdict::Missing`] by what callers were told: no node has passed on a commit
    /// beyond `bound` in the term that is replaced, nor will, so that a replica which has all of that
    /// needs no silent instance.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{status, upstream, verdict};
    /// let status = upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, 4), held: 2, load: upstream::Load::default() };
    /// let leader = status::Leader { id: "a".into(), term: 1 };
    /// let reports = [status::Report { id: "b".into(), status, applied: None }];
    /// let view = verdict::View { leader: &leader, term: 2, expected: 2, reports: &reports, max_received: None, pending: None, loss: None };
    /// assert_eq!(view.judge(|_| false), verdict::Verdict::Missing);
    /// assert_eq!(view.resolve_sealed(Stamp::new(1, 4), |_| false), verdict::Verdict::Promote("b".into()));
    /// assert_eq!(view.resolve_sealed(Stamp::new(1, 5), |_| false), verdict::Verdict::Missing);
    /// ```
    #[must_use]
    pub fn resolve_sealed(
        &self,
        bound: stamp::Stamp,
        leaves: impl Fn(&upstream::Id) -> bool,
    ) -> Verdict {
        let answers = |id: &upstream::Id| self.reports.iter().any(|report| report.id == *id);
        let may_lead = self.pending.is_some_and(|id| !answers(id));
        match self.best(leaves) {
            Some(best) if best.status.received >= bound && !may_lead => self.promote(best),
            _ => Verdict::Missing,
        }
    }

    /// The last log position that any of the instances which answer has received.
    ///
    /// ```
    /// use mangotray_desk::{status, verdict};
    /// let leader = status::Leader { id: "a".into(), term: 1 };
    /// let view = verdict::View { leader: &leader, term: 2, expected: 2, reports: &[], max_received: None, pending: None, loss: None };
    /// assert_eq!(view.position(), None);
    /// ```
    #[must_use]
    pub fn position(&self) -> Option<stamp::Stamp> {
        self.reports
            .iter()
            .map(|report| report.status.received)
            .max()
    }

    /// Resolves [`Verdict::Lacking`] by the state of the replaced primary. The hold-back ends once
    /// the primary answers, or has ended by evidence.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{status, upstream, verdict};
    /// let status = upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, 4), held: 2, load: upstream::Load::default() };
    /// let leader = status::Leader { id: "a".into(), term: 1 };
    /// let reports = [status::Report { id: "b".into(), status, applied: None }];
    /// let view = verdict::View { leader: &leader, term: 2, expected: 1, reports: &reports, max_received: Some(Stamp::new(1, 9)), pending: None, loss: None };
    /// assert_eq!(view.judge(|_| false), verdict::Verdict::Lacking);
    /// assert_eq!(view.resolve(&verdict::Predecessor::Silent, |_| false), verdict::Verdict::HeldBack);
    /// assert_eq!(view.resolve(&verdict::Predecessor::Gone, |_| false), verdict::Verdict::Promote("b".into()));
    /// ```
    #[must_use]
    pub fn resolve(&self, old: &Predecessor, leaves: impl Fn(&upstream::Id) -> bool) -> Verdict {
        let Some(best) = self.best(leaves) else {
            return Verdict::Wait;
        };
        let report = match old {
            Predecessor::Silent => return Verdict::HeldBack,
            // No instance has the records any more. Waiting would only leave the group without a
            // primary.
            Predecessor::Gone => return self.promote(best),
            Predecessor::Answers(report) => report,
        };
        let leads = report.status.role == role::Role::Primary;
        if leads && report.status.term > self.leader.term {
            return Verdict::Overtaken(report.leader());
        }
        let has_more_records = report.status.received > best.status.received;
        match (leads, has_more_records) {
            (true, true) => Verdict::Returned,
            // The old primary is a replica now, and the only instance with the records.
            (false, true) if self.is_held(report) => self.promote(report),
            (false, true) => Verdict::Wait,
            (_, false) => self.promote(best),
        }
    }

    /// Whether the log of this instance is empty.
    ///
    /// A promoter that has just started does not know which records the replicas had received
    /// before they lost their logs, so [`View::max_received`] may be empty. If the primary is cut
    /// off from two replicas that have both restarted, a promotion would lose the whole log.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{status, upstream, verdict};
    /// let status = upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, 0), held: 4, load: upstream::Load::default() };
    /// let leader = status::Leader { id: "a".into(), term: 3 };
    /// let reports = [status::Report { id: "b".into(), status, applied: None }];
    /// let view = verdict::View { leader: &leader, term: 4, expected: 1, reports: &reports, max_received: None, pending: None, loss: None };
    /// assert_eq!(view.judge(|_| false), verdict::Verdict::Promote("b".into()));
    /// assert!(view.is_empty(&"b".into()));
    /// ```
    #[must_use]
    pub fn is_empty(&self, candidate: &upstream::Id) -> bool {
        let report = self.reports.iter().find(|report| report.id == *candidate);
        report.is_some_and(|report| report.status.received.position == 0)
    }

    // Promotes the instance with the longest log. An instance whose order may still take effect is
    // preferred if its log is as long. If it is shorter, that instance may still lead later, and
    // two instances would lead in turns if another were promoted meanwhile.
    fn promote(&self, best: &status::Report) -> Verdict {
        let pending = self
            .reports
            .iter()
            .find(|report| self.pending == Some(&report.id));
        match pending {
            Some(report) if report.status.received < best.status.received => Verdict::Wait,
            Some(report) => Verdict::Promote(report.id.clone()),
            None => Verdict::Promote(best.id.clone()),
        }
    }

    // Records that a replica confirmed shortly before it lost its log may never have been observed,
    // so `max_received` alone does not cover them.
    fn has_all(&self, report: &status::Report) -> bool {
        let received = report.status.received;
        let covers = self.loss.is_none_or(|loss| match loss {
            Loss::Unknown | Loss::Unseen => false,
            Loss::Within(stamp) => received >= stamp,
        });
        covers && Some(received) >= self.max_received
    }

    fn overtaken(&self) -> Option<status::Leader> {
        status::latest_leader(self.reports, self.leader.term + 1)
    }

    fn is_held(&self, report: &status::Report) -> bool {
        report.status.role == role::Role::Replica && report.status.held >= self.term
    }

    fn best(&self, leaves: impl Fn(&upstream::Id) -> bool) -> Option<&status::Report> {
        self.reports
            .iter()
            .max_by_key(|report| (report.status.received, !leaves(&report.id)))
    }
}
