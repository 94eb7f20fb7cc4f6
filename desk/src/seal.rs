//! Sealing of a term: nodes pass on no further commit of a primary that is to be replaced.
//!
//! Callers learn of a commit through a node only. Once every node has told what it passed on in a
//! term, and passes on nothing more, a candidate that has all of that loses no acknowledged commit,
//! whatever a silent instance may have confirmed.

use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::upstream;

/// How long a seal lasts. Longer than an order and its effect take, and short, as callers of a
/// primary that comes back cannot be told of their commits meanwhile.
const LIFETIME: time::Duration = time::Duration::from_secs(2);

/// A request to seal a term of a group.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// The group.
    pub group: id::Group,
    /// The term of the primary that is to be replaced.
    pub term: id::Term,
}

/// A node's answer: it has sealed the term.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Response {
    /// Highest position that this process has passed on as acknowledged in this term or an earlier one.
    pub acknowledged: Option<stamp::Stamp>,
    /// How long this process has run. What an earlier process passed on is not known.
    pub uptime: time::Duration,
    /// Recorded instances of the group that the node knows to have ended.
    pub ended: Vec<upstream::Id>,
}

/// A sealed term, as one node keeps it.
///
/// ```
/// use mangotray_desk::seal;
/// use std::time::Duration;
/// let seal = seal::Seal::new(3, Duration::from_secs(10));
/// assert!(seal.covers(3, Duration::from_secs(11)));
/// assert!(!seal.covers(4, Duration::from_secs(11)));
/// assert!(!seal.covers(3, Duration::from_secs(13)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seal {
    term: id::Term,
    until: id::Time,
}

impl Seal {
    /// Seals `term` at `now`.
    #[must_use]
    pub fn new(term: id::Term, now: id::Time) -> Self {
        Self {
            term,
            until: now + LIFETIME,
        }
    }

    /// This seal, extended by a later one. The higher of the two terms stays sealed.
    ///
    /// ```
    /// use mangotray_desk::seal;
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let later = seal::Seal::new(3, seconds(10)).extended_by(seal::Seal::new(1, seconds(11)));
    /// assert!(later.covers(3, seconds(12)));
    /// let long_after = seal::Seal::new(3, seconds(10)).extended_by(seal::Seal::new(1, seconds(20)));
    /// assert!(!long_after.covers(3, seconds(21)));
    /// ```
    #[must_use]
    pub fn extended_by(self, later: Self) -> Self {
        let began = later.until.saturating_sub(LIFETIME);
        let term = if began < self.until {
            self.term.max(later.term)
        } else {
            later.term
        };
        Self { term, ..later }
    }

    /// Whether no commit of this term may be passed on at `now`.
    #[must_use]
    pub fn covers(&self, term: id::Term, now: id::Time) -> bool {
        term <= self.term && now < self.until
    }
}

/// The highest position that any node has passed on as acknowledged, by the answers of all nodes to
/// a request to seal the term. `None` unless all have answered and have run since `since_ago`
/// before now: what an earlier process of a node passed on until then has to be covered otherwise.
///
/// ```
/// use mangotray::stamp::Stamp;
/// use mangotray_desk::seal;
/// use std::time::Duration;
/// let seconds = Duration::from_secs;
/// let answer = |position, uptime| Some(seal::Response {
///     acknowledged: Some(Stamp::new(1, position)),
///     uptime: seconds(uptime),
///     ended: Vec::new(),
/// });
/// let bound = |answers: &[_]| seal::bound(answers, seconds(5));
/// assert_eq!(bound(&[answer(7, 9), answer(8, 6)]), Some(Stamp::new(1, 8)));
/// assert_eq!(bound(&[answer(7, 9), answer(8, 4)]), None);
/// assert_eq!(bound(&[answer(7, 9), None]), None);
/// assert_eq!(bound(&[]), None);
/// ```
#[must_use]
pub fn bound(answers: &[Option<Response>], since_ago: time::Duration) -> Option<stamp::Stamp> {
    let knows = |answer: &Option<Response>| {
        let uptime = answer.as_ref().map(|answer| answer.uptime);
        uptime >= Some(since_ago)
    };
    let complete = !answers.is_empty() && answers.iter().all(knows);
    complete.then(|| highest(answers).unwrap_or_default())
}

/// The highest position that any node which answered has passed on as acknowledged.
///
/// ```
/// use mangotray::stamp::Stamp;
/// use mangotray_desk::seal;
/// let acknowledged = Some(Stamp::new(1, 7));
/// let answer = seal::Response { acknowledged, ..seal::Response::default() };
/// assert_eq!(seal::highest(&[None, Some(answer)]), acknowledged);
/// ```
#[must_use]
pub fn highest(answers: &[Option<Response>]) -> Option<stamp::Stamp> {
    let answered = answers.iter().flatten();
    answered.filter_map(|answer| answer.acknowledged).max()
}

/// Whether some node knows that the instance has ended.
///
/// ```
/// use mangotray_desk::seal;
/// let answer = seal::Response { ended: vec!["c".into()], ..seal::Response::default() };
/// let answers = [None, Some(answer)];
/// assert!(seal::has_ended(&answers, &"c".into()));
/// assert!(!seal::has_ended(&answers, &"b".into()));
/// ```
#[must_use]
pub fn has_ended(answers: &[Option<Response>], id: &upstream::Id) -> bool {
    let mut answered = answers.iter().flatten();
    answered.any(|answer| answer.ended.contains(id))
}
