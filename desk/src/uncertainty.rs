//! Whether an order may yet take effect whose record the store has lost.
//!
//! The load that this answers: the store comes back from older copies, seconds apart, while holders of
//! the promoter's seat are killed and start again. Who forgets a doubt too early frees replicas of a
//! promotion that is under way; who begins it anew with each return or start leaves a group without
//! a primary for as long as they go on.

use std::time;

use mangotray::id;
use mangotray::store;

/// An order that was sent before the store came back takes effect within this time, or never:
/// the call takes 0.8 s at most and a promotion 0.6 s; the rest is for a platform that carries
/// out late what it did not answer, and for an order that was confirmed just before.
pub const MAX_ORDER_DELAY: time::Duration = time::Duration::from_millis(8200);

/// What one process doubts.
///
/// Where the store never comes back from a copy, there is no era and no doubt.
///
/// ```
/// use mangotray_desk::uncertainty;
/// use std::time::Duration;
/// let seconds = Duration::from_secs;
/// // A process that has just started cannot tell when the store came back.
/// let uncertainty = uncertainty::Uncertainty::default().observe(2, seconds(5));
/// assert!(uncertainty.is_open(seconds(6)));
/// assert!(!uncertainty.is_open(seconds(14)));
/// // The store tells that its last return is long past.
/// assert!(!uncertainty.settled(2).is_open(seconds(6)));
/// assert!(!uncertainty::Uncertainty::default().observe(0, seconds(5)).is_open(seconds(6)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Uncertainty {
    era: store::Era,
    /// When this process first saw the era.
    since: id::Time,
    /// The era rose before the eyes of this process.
    saw_reset: bool,
    /// By one: there was no other return in between.
    is_consecutive: bool,
    /// This process held the seat when the store came back.
    held: bool,
    /// Until then an order may take effect that this process knows nothing of.
    until: id::Time,
    /// The same as it was before the last return.
    until_before_reset: id::Time,
}

impl Uncertainty {
    /// What is doubted once an answer of `era` has come.
    ///
    /// ```
    /// use mangotray_desk::uncertainty;
    /// use std::time::Duration;
    /// let seen = uncertainty::Uncertainty::default().observe(3, Duration::ZERO);
    /// assert_eq!(seen.observe(3, Duration::from_secs(1)), seen);
    /// assert!(seen.observe(4, Duration::from_secs(20)).is_open(Duration::from_secs(21)));
    /// ```
    #[must_use]
    pub fn observe(self, era: store::Era, now: id::Time) -> Self {
        if era == self.era {
            return self;
        }
        let saw_reset = self.era > 0;
        Self {
            era,
            since: now,
            saw_reset,
            is_consecutive: saw_reset && era == self.era + 1,
            held: false,
            until: now + MAX_ORDER_DELAY,
            until_before_reset: self.until,
        }
    }

    /// What is left of it where this process held the seat when the store came back: it knows its own
    /// orders, and there were no others since it took the seat. What it doubted by then stays.
    ///
    /// ```
    /// use mangotray_desk::uncertainty;
    /// use std::time::Duration;
    /// let uncertainty = uncertainty::Uncertainty::default().observe(3, Duration::ZERO);
    /// let returned = uncertainty.observe(4, Duration::from_secs(20)).held_across_reset();
    /// assert!(!returned.is_open(Duration::from_secs(21)));
    /// ```
    #[must_use]
    pub const fn held_across_reset(self) -> Self {
        if !self.is_consecutive {
            return self;
        }
        Self {
            held: true,
            until: self.until_before_reset,
            ..self
        }
    }

    /// What is left of it where the store tells that this era has lasted for long.
    #[must_use]
    pub fn settled(self, era: store::Era) -> Self {
        let until = if era == self.era {
            id::Time::ZERO
        } else {
            self.until
        };
        Self { until, ..self }
    }

    /// Whether there may be such an order.
    #[must_use]
    pub fn is_open(&self, now: id::Time) -> bool {
        self.era > 0 && now < self.until
    }

    /// Whether this process has seen the era last for so long that all orders of before are over.
    ///
    /// ```
    /// use mangotray_desk::uncertainty;
    /// use std::time::Duration;
    /// let uncertainty = uncertainty::Uncertainty::default().observe(3, Duration::ZERO);
    /// assert!(uncertainty.has_settled(Duration::from_secs(9)));
    /// assert!(!uncertainty.has_settled(Duration::from_secs(1)));
    /// ```
    #[must_use]
    pub fn has_settled(&self, now: id::Time) -> bool {
        self.era > 0 && now >= self.since + MAX_ORDER_DELAY
    }

    /// The era.
    #[must_use]
    pub const fn era(&self) -> store::Era {
        self.era
    }

    /// Since when this process has known of a return that it has seen, and in which it did not hold the seat.
    ///
    /// ```
    /// use mangotray_desk::uncertainty;
    /// use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let uncertainty = uncertainty::Uncertainty::default().observe(3, Duration::ZERO);
    /// assert_eq!(uncertainty.reset_without_lease_since(), None);
    /// assert_eq!(uncertainty.observe(4, second).reset_without_lease_since(), Some(second));
    /// assert_eq!(uncertainty.observe(4, second).held_across_reset().reset_without_lease_since(), None);
    /// ```
    #[must_use]
    pub fn reset_without_lease_since(&self) -> Option<id::Time> {
        (self.saw_reset && !self.held).then_some(self.since)
    }
}
