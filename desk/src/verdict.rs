//! Decides from the answers to one round of holds whether a promotion can proceed, and with which
//! candidate.
//!
//! Replicas may not answer, may have restarted without their logs, or may already lead by the order
//! of an earlier lease holder. The old primary may come back, with its log or without. A promotion
//! without an acknowledged record loses data, and one that is held back indefinitely leaves the
//! group without a primary.

use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::status;
use crate::upstream;

/// The answers to one round of holds.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The primary that is replaced, and its term.
    pub lead: &'a status::Leader,
    /// Term for which the replicas are held.
    pub term: id::Term,
    /// Number of instances that have to be held: all except the one that is replaced.
    pub expected: usize,
    /// The answers of these instances.
    pub looks: &'a [status::Report],
    /// Last log position that any replica is known to have received.
    pub furthest: Option<stamp::Stamp>,
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
    /// It confirmed no record beyond this position.
    Within(stamp::Stamp),
}

/// What is known of the primary that is replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// It is no longer listed and cannot come back with its log.
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
    /// assert_eq!(mangotray_desk::verdict::Predecessor::Gone.look(), None);
    /// ```
    #[must_use]
    pub const fn look(&self) -> Option<&status::Report> {
        match self {
            Self::Answers(look) => Some(look),
            Self::Gone | Self::Silent => None,
        }
    }
}

/// What a promotion has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Hold again. A replica does not answer or is not held, and may be the only one with some
    /// commit; or an instance with a pending order may still lead without records that another has.
    Wait,
    /// An instance already leads a later term.
    Overtaken(status::Leader),
    /// Query the replaced primary, as no replica has all records that a replica had received.
    Lacking,
    /// Give up for now: the replaced primary may come back with records that no replica has.
    HeldBack,
    /// Give up: the replaced primary still leads, with records that no replica has.
    Returned,
    /// Promote this instance, which has all records that exist.
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
    /// let look = |id: &str, position| status::Report {
    ///     id: id.into(),
    ///     status: upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, position), held: 2, load: upstream::Load::default() },
    ///     applied: None,
    /// };
    /// let lead = status::Leader { id: "a".into(), term: 1 };
    /// let looks = [look("b", 4), look("c", 9)];
    /// let view = verdict::View { lead: &lead, term: 2, expected: 2, looks: &looks, furthest: Some(Stamp::new(1, 9)), pending: None, loss: None };
    /// assert_eq!(view.judge(|_| false), verdict::Verdict::Promote("c".into()));
    /// ```
    #[must_use]
    pub fn judge(&self, leaves: impl Fn(&upstream::Id) -> bool) -> Verdict {
        if let Some(lead) = self.overtaken() {
            return Verdict::Overtaken(lead);
        }
        let all = !self.looks.is_empty() && self.looks.len() == self.expected;
        if !all || !self.looks.iter().all(|look| self.is_held(look)) {
            return Verdict::Wait;
        }
        match self.best(leaves) {
            Some(look) if self.has_all(look) => self.promote(look),
            _ => Verdict::Lacking,
        }
    }

    /// Resolves [`Verdict::Lacking`] by what is known of the replaced primary. The hold-back ends
    /// once the primary answers or is no longer listed.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{status, upstream, verdict};
    /// let status = upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, 4), held: 2, load: upstream::Load::default() };
    /// let lead = status::Leader { id: "a".into(), term: 1 };
    /// let looks = [status::Report { id: "b".into(), status, applied: None }];
    /// let view = verdict::View { lead: &lead, term: 2, expected: 1, looks: &looks, furthest: Some(Stamp::new(1, 9)), pending: None, loss: None };
    /// assert_eq!(view.judge(|_| false), verdict::Verdict::Lacking);
    /// assert_eq!(view.resolve(&verdict::Predecessor::Silent, |_| false), verdict::Verdict::HeldBack);
    /// assert_eq!(view.resolve(&verdict::Predecessor::Gone, |_| false), verdict::Verdict::Promote("b".into()));
    /// ```
    #[must_use]
    pub fn resolve(&self, old: &Predecessor, leaves: impl Fn(&upstream::Id) -> bool) -> Verdict {
        let Some(best) = self.best(leaves) else {
            return Verdict::Wait;
        };
        let look = match old {
            Predecessor::Silent => return Verdict::HeldBack,
            // No instance has the records any more. Waiting would only leave the group without a
            // primary.
            Predecessor::Gone => return self.promote(best),
            Predecessor::Answers(look) => look,
        };
        let leads = look.status.role == role::Role::Primary;
        if leads && look.status.term > self.lead.term {
            return Verdict::Overtaken(look.leader());
        }
        let further = look.status.received > best.status.received;
        match (leads, further) {
            (true, true) => Verdict::Returned,
            // The old primary is a replica now, and the only instance with the records.
            (false, true) if self.is_held(look) => self.promote(look),
            (false, true) => Verdict::Wait,
            (_, false) => self.promote(best),
        }
    }

    /// Whether the log of this instance is empty.
    ///
    /// A promoter that has just started does not know what the replicas had received before they
    /// lost their logs, so [`View::furthest`] may be empty. If the primary is cut off from two
    /// replicas that have both restarted, a promotion would lose the whole log.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{status, upstream, verdict};
    /// let status = upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, 0), held: 4, load: upstream::Load::default() };
    /// let lead = status::Leader { id: "a".into(), term: 3 };
    /// let looks = [status::Report { id: "b".into(), status, applied: None }];
    /// let view = verdict::View { lead: &lead, term: 4, expected: 1, looks: &looks, furthest: None, pending: None, loss: None };
    /// assert_eq!(view.judge(|_| false), verdict::Verdict::Promote("b".into()));
    /// assert!(view.is_empty(&"b".into()));
    /// ```
    #[must_use]
    pub fn is_empty(&self, candidate: &upstream::Id) -> bool {
        let look = self.looks.iter().find(|look| look.id == *candidate);
        look.is_some_and(|look| look.status.received.position == 0)
    }

    // Promotes the instance with the longest log. An instance whose order may still take effect is
    // preferred if its log is as long. If it is shorter, that instance may still lead later, and
    // two instances would lead in turns if another were promoted meanwhile.
    fn promote(&self, furthest: &status::Report) -> Verdict {
        let pending = self
            .looks
            .iter()
            .find(|look| self.pending == Some(&look.id));
        match pending {
            Some(look) if look.status.received < furthest.status.received => Verdict::Wait,
            Some(look) => Verdict::Promote(look.id.clone()),
            None => Verdict::Promote(furthest.id.clone()),
        }
    }

    // Records that a replica confirmed shortly before it lost its log may never have been observed,
    // so `furthest` alone does not cover them.
    fn has_all(&self, look: &status::Report) -> bool {
        let received = look.status.received;
        let covers = self.loss.is_none_or(|loss| match loss {
            Loss::Unknown => false,
            Loss::Within(stamp) => received >= stamp,
        });
        covers && Some(received) >= self.furthest
    }

    fn overtaken(&self) -> Option<status::Leader> {
        status::latest_leader(self.looks, self.lead.term + 1)
    }

    fn is_held(&self, look: &status::Report) -> bool {
        look.status.role == role::Role::Replica && look.status.held >= self.term
    }

    fn best(&self, leaves: impl Fn(&upstream::Id) -> bool) -> Option<&status::Report> {
        self.looks
            .iter()
            .max_by_key(|look| (look.status.received, !leaves(&look.id)))
    }
}
