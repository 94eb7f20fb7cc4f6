//! What the answers to one round of holds mean for a promotion.
//!
//! The load that this answers: replicas that do not answer, that start again without their
//! logs, or that lead already by the order of somebody who has ended since; and a primary that
//! was given up and comes back, with its log or without. A promotion without a record that
//! was acknowledged loses a booking; one that is held back for ever leaves a group dark.

use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::sampler;
use crate::upstream;

/// The answers to one round of holds.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The primary that is replaced, and its term.
    pub lead: &'a sampler::Lead,
    /// Term that the replicas are held for.
    pub term: id::Term,
    /// Instances that have to be held: all but the one that is replaced.
    pub expected: usize,
    /// Their answers.
    pub looks: &'a [sampler::Look],
    /// Furthest record that any replica was ever seen to have received.
    pub furthest: Option<stamp::Stamp>,
    /// An instance whose order may yet take effect.
    pub pending: Option<&'a upstream::Id>,
    /// Where a replica has lost its log: what is known of the records that it may have confirmed.
    pub loss: Option<Loss>,
}

/// What is known of the records that a replica may have confirmed before it lost its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The primary has said nothing since: they may be any.
    Unknown,
    /// They are no further than this.
    Within(stamp::Stamp),
}

/// What is known of the instance that is replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// It is listed no more: it cannot come back with its log.
    Gone,
    /// It does not answer, and may come back with its log.
    Silent,
    /// It answers.
    Answers(sampler::Look),
}

impl Predecessor {
    /// What it answered.
    ///
    /// ```
    /// assert_eq!(mangotray_desk::verdict::Predecessor::Gone.look(), None);
    /// ```
    #[must_use]
    pub const fn look(&self) -> Option<&sampler::Look> {
        match self {
            Self::Answers(look) => Some(look),
            Self::Gone | Self::Silent => None,
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Some replica does not answer or is not held: it may be the only one with some commit. Or an
    /// instance may yet come to lead without records that another has.
    Wait,
    /// An instance leads a later term already.
    Overtaken(sampler::Lead),
    /// No replica has all that one had received; the replaced primary has to be asked.
    Lacking,
    /// The replaced primary may come back with records that no replica has.
    HeldBack,
    /// The replaced primary leads as before, with all records: it goes on.
    Returned,
    /// This instance has all records that there are.
    Promote(upstream::Id),
}

impl View<'_> {
    /// What the replicas' answers mean. A candidate has to have what any of them has received, and
    /// what any was seen to have before. Among equals one whose order may yet take effect goes first, then
    /// one that stays before one that leaves.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{sampler, upstream, verdict};
    /// let look = |id: &str, position| sampler::Look {
    ///     id: id.into(),
    ///     status: upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, position), held: 2, load: upstream::Load::default() },
    ///     applied: None,
    /// };
    /// let lead = sampler::Lead { id: "a".into(), term: 1 };
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

    /// What is to be done where no replica has all that one had received, by what is known of
    /// the replaced primary. It ends: the primary answers, or is listed no more.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{sampler, upstream, verdict};
    /// let status = upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, 4), held: 2, load: upstream::Load::default() };
    /// let lead = sampler::Lead { id: "a".into(), term: 1 };
    /// let looks = [sampler::Look { id: "b".into(), status, applied: None }];
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
            // Nobody has the records any more; waiting would leave the group dark for nothing.
            Predecessor::Gone => return self.promote(best),
            Predecessor::Answers(look) => look,
        };
        let leads = look.status.role == role::Role::Primary;
        if leads && look.status.term > self.lead.term {
            return Verdict::Overtaken(look.lead());
        }
        let further = look.status.received > best.status.received;
        match (leads, further) {
            (true, true) => Verdict::Returned,
            // It is a replica now, and none but it has the records.
            (false, true) if self.is_held(look) => self.promote(look),
            (false, true) => Verdict::Wait,
            (_, false) => self.promote(best),
        }
    }

    /// Whether this instance has received nothing at all.
    ///
    /// A promoter that has just started does not know what replicas had before they lost their logs:
    /// the furthest record that it was told of may be none. While the primary is cut off from its
    /// replicas and both have started again, the whole log would be lost with a promotion.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{sampler, upstream, verdict};
    /// let status = upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, 0), held: 4, load: upstream::Load::default() };
    /// let lead = sampler::Lead { id: "a".into(), term: 3 };
    /// let looks = [sampler::Look { id: "b".into(), status, applied: None }];
    /// let view = verdict::View { lead: &lead, term: 4, expected: 1, looks: &looks, furthest: None, pending: None, loss: None };
    /// assert_eq!(view.judge(|_| false), verdict::Verdict::Promote("b".into()));
    /// assert!(view.is_empty(&"b".into()));
    /// ```
    #[must_use]
    pub fn is_empty(&self, candidate: &upstream::Id) -> bool {
        let look = self.looks.iter().find(|look| look.id == *candidate);
        look.is_some_and(|look| look.status.received.position == 0)
    }

    // This instance has all that there is. One whose order may yet take effect goes before it if it has as
    // much; if it has less, it may come to lead without the rest, and another that is promoted
    // meanwhile would lead in turns with it.
    fn promote(&self, furthest: &sampler::Look) -> Verdict {
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

    // What a replica confirmed shortly before it lost its log nobody may have seen.
    fn has_all(&self, look: &sampler::Look) -> bool {
        let received = look.status.received;
        let covers = self.loss.is_none_or(|loss| match loss {
            Loss::Unknown => false,
            Loss::Within(stamp) => received >= stamp,
        });
        covers && Some(received) >= self.furthest
    }

    fn overtaken(&self) -> Option<sampler::Lead> {
        sampler::latest(self.looks, self.lead.term + 1)
    }

    fn is_held(&self, look: &sampler::Look) -> bool {
        look.status.role == role::Role::Replica && look.status.held >= self.term
    }

    fn best(&self, leaves: impl Fn(&upstream::Id) -> bool) -> Option<&sampler::Look> {
        self.looks
            .iter()
            .max_by_key(|look| (look.status.received, !leaves(&look.id)))
    }
}
