//! Backoff between promotions that replace a live primary.
//!
//! When a primary loses its replicas and some of them can't reach each other either, the new
//! primary is as isolated as the old one. Without a delay the two would change places every second,
//! and each would lack the commits that the other has acknowledged. Likewise, if a replica answers
//! probes but can't be held, each attempt fails after the other replicas were held, and the primary
//! gets no commit confirmed while they are held.

use std::time;

use mangotray::id;

use crate::detector;
use crate::upstream;

/// First delay after a promotion was given up; doubled with each further one.
const GIVEN_UP_DELAY: time::Duration = time::Duration::from_millis(500);

/// Longest such delay. A primary that announced its end works for seven seconds, of which up to
/// three pass before the first attempt.
const MAX_GIVEN_UP_DELAY: time::Duration = time::Duration::from_millis(1500);

/// First delay after primary and replica changed places because of a stall, before one of the two
/// may do so again for a stall; doubled with each further one. It is longer than a replica needs to
/// follow a new primary.
const STALLED_DELAY: time::Duration = time::Duration::from_secs(4);

/// Longest such delay.
const MAX_STALLED_DELAY: time::Duration = time::Duration::from_secs(32);

/// An event this long after the last of its kind starts a new streak, as it has another cause.
const STREAK_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// Backoff state of one group.
///
/// ```
/// use mangotray_desk::{backoff, detector::Cause};
/// use std::time::Duration;
/// let mut backoff = backoff::Backoff::default();
/// let seconds = Duration::from_secs;
/// assert!(backoff.permits(&"a".into(), Cause::Stalled, seconds(10)));
/// backoff.note_promotion(&"a".into(), &"b".into(), Cause::Stalled, seconds(10));
/// assert!(!backoff.permits(&"b".into(), Cause::Stalled, seconds(11)));
/// assert!(backoff.permits(&"b".into(), Cause::Planned, seconds(11)));
/// assert!(backoff.permits(&"b".into(), Cause::Stalled, seconds(15)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    given_up: Option<Streak>,
    stalled: Option<Streak>,
    /// The instances that changed places because of a stall.
    stalled_instances: Vec<upstream::Id>,
}

/// Number of events in a row, and the time of the last one.
#[derive(Clone, Copy, Debug)]
struct Streak {
    count: u32,
    last: id::Time,
}

impl Streak {
    fn extend(streak: Option<Self>, now: id::Time) -> Self {
        let current = streak.filter(|streak| now < streak.last + STREAK_TIMEOUT);
        let count = current.map_or(0, |streak| streak.count) + 1;
        Self { count, last: now }
    }

    fn delay_ends(self, first: time::Duration, most: time::Duration) -> id::Time {
        let factor = 2_u32.saturating_pow(self.count - 1);
        self.last + first.saturating_mul(factor).min(most)
    }
}

impl Backoff {
    /// Whether a promotion for this cause that replaces `primary` may be attempted now.
    #[must_use]
    pub fn permits(&self, primary: &upstream::Id, cause: detector::Cause, now: id::Time) -> bool {
        if !cause.can_wait() {
            return true;
        }
        let given_up_until = self
            .given_up
            .map(|streak| streak.delay_ends(GIVEN_UP_DELAY, MAX_GIVEN_UP_DELAY));
        let changed_before =
            cause == detector::Cause::Stalled && self.stalled_instances.contains(primary);
        let stalled = self.stalled.filter(|_| changed_before);
        let stalled_until =
            stalled.map(|streak| streak.delay_ends(STALLED_DELAY, MAX_STALLED_DELAY));
        given_up_until
            .max(stalled_until)
            .is_none_or(|until| now >= until)
    }

    /// Notes that a promotion for this cause was given up.
    ///
    /// ```
    /// use mangotray_desk::{backoff, detector::Cause};
    /// use std::time::Duration;
    /// let mut backoff = backoff::Backoff::default();
    /// backoff.note_given_up(Cause::Planned, Duration::from_secs(10));
    /// assert!(!backoff.permits(&"a".into(), Cause::Planned, Duration::from_millis(10_400)));
    /// assert!(backoff.permits(&"a".into(), Cause::Crashed, Duration::from_millis(10_400)));
    /// assert!(backoff.permits(&"a".into(), Cause::Planned, Duration::from_millis(10_500)));
    /// ```
    pub fn note_given_up(&mut self, cause: detector::Cause, now: id::Time) {
        if cause.can_wait() {
            self.given_up = Some(Streak::extend(self.given_up, now));
        }
    }

    /// Notes that `new` was promoted in place of `old`.
    pub fn note_promotion(
        &mut self,
        old: &upstream::Id,
        new: &upstream::Id,
        cause: detector::Cause,
        now: id::Time,
    ) {
        self.given_up = None;
        if cause != detector::Cause::Stalled {
            return;
        }
        let streak = Streak::extend(self.stalled, now);
        if streak.count == 1 {
            self.stalled_instances.clear();
        }
        self.stalled = Some(streak);
        self.stalled_instances.extend([old.clone(), new.clone()]);
    }
}
