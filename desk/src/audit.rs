//! Whose logs a promotion rests on, and whose it leaves out.
//!
//! The load that this answers: a promotion is right only if nobody who was left out has an
//! acknowledged commit. Which instances those were, and why, has to be told at once: minutes later
//! the list of instances has others, and replicas that were ahead have been rolled back.

use std::fmt;
use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::sampler;
use crate::upstream;

/// Whose logs a promotion rests on, and whose it leaves out.
///
/// ```
/// use mangotray::{role::Role, stamp::Stamp};
/// use mangotray_desk::{audit, sampler, upstream};
/// use std::time::Duration;
/// let status = upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, 9), held: 2, load: upstream::Load::default() };
/// let audit = audit::Audit {
///     candidate: "b".into(),
///     position: Stamp::new(1, 9),
///     term: 2,
///     old: Some("a".into()),
///     looks: vec![sampler::Look { id: "b".into(), status, applied: None }],
///     asked: vec!["a".into(), "b".into(), "c".into()],
///     unlisted: vec!["c".into()],
///     forgotten: vec![("d".into(), Duration::from_secs(4))],
/// };
/// assert_eq!(audit.counted(), "b 1/9 term 1 held 2");
/// assert_eq!(audit.uncounted(), "a replaced, c unlisted, d forgotten 4s ago");
/// ```
#[derive(Clone, Debug)]
pub struct Audit {
    /// The instance that was chosen.
    pub candidate: upstream::Id,
    /// Its last record when it was chosen.
    pub position: stamp::Stamp,
    /// Term that it is to lead.
    pub term: id::Term,
    /// The primary that is replaced.
    pub old: Option<upstream::Id>,
    /// The answers that were counted.
    pub looks: Vec<sampler::Look>,
    /// All instances that are asked.
    pub asked: Vec<upstream::Id>,
    /// Those of them that are listed no more.
    pub unlisted: Vec<upstream::Id>,
    /// Those that are asked no more, and since when.
    pub forgotten: Vec<(upstream::Id, time::Duration)>,
}

impl Audit {
    /// Every instance that was counted, with its last record, its term and its hold.
    #[must_use]
    pub fn counted(&self) -> String {
        let tell = |look: &sampler::Look| {
            let status = look.status;
            let (received, term, held) = (status.received, status.term, status.held);
            let unlisted = if self.unlisted.contains(&look.id) {
                " unlisted"
            } else {
                ""
            };
            format!("{} {received} term {term} held {held}{unlisted}", look.id)
        };
        join(self.looks.iter().map(tell))
    }

    /// Every instance that was not counted, and why.
    #[must_use]
    pub fn uncounted(&self) -> String {
        let counted = |id: &upstream::Id| self.looks.iter().any(|look| look.id == *id);
        let left_out = self.asked.iter().filter(|id| !counted(id));
        let left_out = left_out.map(|id| format!("{id} {}", self.reason(id)));
        let forgotten = self
            .forgotten
            .iter()
            .map(|(id, ago)| format!("{id} forgotten {ago:?} ago"));
        join(left_out.chain(forgotten))
    }

    fn reason(&self, id: &upstream::Id) -> &'static str {
        if self.old.as_ref() == Some(id) {
            "replaced"
        } else if self.unlisted.contains(id) {
            "unlisted"
        } else {
            "not held"
        }
    }

    /// Those whose logs have records of the terms before the new one beyond what the candidate had
    /// when it was chosen. Each of those records is lost, and may have been acknowledged.
    ///
    /// A replica that has gone over to the new primary's log was rolled back, or has records of the
    /// new term: it tells nothing any more.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{audit, sampler, upstream};
    /// let look = |id: &str, role, term, number| sampler::Look {
    ///     id: id.into(),
    ///     status: upstream::Status { role, term, received: Stamp::new(term, number), held: 0, load: upstream::Load::default() },
    ///     applied: None,
    /// };
    /// let audit = audit::Audit {
    ///     candidate: "b".into(),
    ///     position: Stamp::new(1, 9),
    ///     term: 2,
    ///     old: Some("a".into()),
    ///     looks: vec![look("b", Role::Replica, 1, 9)],
    ///     asked: vec!["a".into(), "b".into()],
    ///     unlisted: Vec::new(),
    ///     forgotten: Vec::new(),
    /// };
    /// let leads = look("b", Role::Primary, 2, 12);
    /// let looks = [look("a", Role::Primary, 1, 10), leads, look("c", Role::Replica, 1, 9)];
    /// assert_eq!(audit.instances_ahead(&looks), [&looks[0]]);
    /// ```
    #[must_use]
    pub fn instances_ahead<'a>(&self, looks: &'a [sampler::Look]) -> Vec<&'a sampler::Look> {
        let own = looks.iter().find(|look| look.id == self.candidate);
        let own = own.filter(|look| look.status.role == role::Role::Primary);
        let term = own.map_or(self.term, |look| look.status.term);
        let instances_ahead = |look: &&sampler::Look| {
            let received = look.status.received;
            look.id != self.candidate && received.term < term && received > self.position
        };
        looks.iter().filter(instances_ahead).collect()
    }

    /// Those that were asked and have not answered.
    #[must_use]
    pub fn unanswered(&self, looks: &[sampler::Look]) -> String {
        let seen = |id: &upstream::Id| looks.iter().any(|look| look.id == *id);
        join(self.asked.iter().filter(|id| !seen(id)))
    }
}

fn join(items: impl Iterator<Item = impl fmt::Display>) -> String {
    let items: Vec<_> = items.map(|item| item.to_string()).collect();
    items.join(", ")
}
