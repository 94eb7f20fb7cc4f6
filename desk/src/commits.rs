//! The commits of one group that this node passes on to callers as acknowledged.

use std::cell;
use std::collections;

use mangotray::id;
use mangotray::stamp;

use crate::seal;

/// Number of terms of which the last position is kept: those that a promotion in progress, and its
/// audit, ask for.
const KEPT_TERMS: usize = 4;

/// The last passed-on position of each recent term, and the term that is sealed.
///
/// ```
/// use mangotray::stamp::Stamp;
/// use mangotray_desk::commits;
/// use std::time::Duration;
/// let commits = commits::Commits::default();
/// let now = Duration::from_secs(10);
/// assert!(commits.may_pass_on(1, now));
/// commits.note(Stamp::new(1, 7));
/// commits.note(Stamp::new(2, 9));
/// assert_eq!(commits.highest(), Some(Stamp::new(2, 9)));
/// assert_eq!(commits.seal(1, now), Some(Stamp::new(1, 7)));
/// assert!(!commits.may_pass_on(1, now));
/// assert!(commits.may_pass_on(2, now));
/// assert!(commits.may_pass_on(1, now + Duration::from_secs(3)));
/// ```
#[derive(Default)]
pub struct Commits {
    passed_on: cell::RefCell<collections::BTreeMap<id::Term, stamp::Stamp>>,
    sealed: cell::Cell<Option<seal::Seal>>,
}

impl Commits {
    /// Whether a commit of the primary of `term` may be passed on at `now`.
    #[must_use]
    pub fn may_pass_on(&self, term: id::Term, now: id::Time) -> bool {
        let sealed = self.sealed.get();
        sealed.is_none_or(|seal| !seal.covers(term, now))
    }

    /// Notes that a commit up to this position is passed on.
    pub fn note(&self, position: stamp::Stamp) {
        let mut passed_on = self.passed_on.borrow_mut();
        let last = passed_on.entry(position.term).or_insert(position);
        *last = position.max(*last);
        while passed_on.len() > KEPT_TERMS {
            passed_on.pop_first();
        }
    }

    /// The highest position that was passed on.
    #[must_use]
    pub fn highest(&self) -> Option<stamp::Stamp> {
        self.passed_on.borrow().values().next_back().copied()
    }

    /// Passes on no further commit of `term`, or an earlier one, for a while. Returns the highest
    /// position that was passed on in them.
    pub fn seal(&self, term: id::Term, now: id::Time) -> Option<stamp::Stamp> {
        let seal = seal::Seal::new(term, now);
        let before = self.sealed.get();
        let seal = before.map_or(seal, |before| before.extended_by(seal));
        self.sealed.set(Some(seal));
        let passed_on = self.passed_on.borrow();
        let last = passed_on.range(..=term).next_back();
        last.map(|(_, position)| *position)
    }
}
