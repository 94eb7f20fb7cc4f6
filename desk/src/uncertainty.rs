//! Whether an order may still take effect whose record the store has lost.
//!
//! The store may be reset to older copies several times, seconds apart, while promoters are killed
//! and restarted. If the uncertainty ends too early, replicas of a promotion in progress are
//! released. If each reset or restart began it anew, a group would have no primary for as long as
//! the resets continue.

use std::time;

use mangotray::id;
use mangotray::store;

/// An order sent before a reset takes effect within this time or never. The call takes at most 0.8
/// s and a promotion 0.6 s; the rest allows for a platform that carries out an unanswered call
/// late, and for an order that was confirmed just before the reset.
pub const MAX_ORDER_DELAY: time::Duration = time::Duration::from_millis(8200);

/// The uncertainty of one process about lost orders.
///
/// A store that was never reset has no era, and there is no uncertainty.
///
/// ```
/// use mangotray_desk::uncertainty;
/// use std::time::Duration;
/// let seconds = Duration::from_secs;
/// // A process that has just started doesn't know when the store was reset.
/// let uncertainty = uncertainty::Uncertainty::default().observe(2, seconds(5));
/// assert!(uncertainty.is_open(seconds(6)));
/// assert!(!uncertainty.is_open(seconds(14)));
/// // The store's entry says that the last reset was long ago.
/// assert!(!uncertainty.settled(2).is_open(seconds(6)));
/// assert!(!uncertainty::Uncertainty::default().observe(0, seconds(5)).is_open(seconds(6)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Uncertainty {
    era: store::Era,
    /// When this process first saw the era.
    since: id::Time,
    /// This process saw the era rise, rather than starting in it.
    saw_reset: bool,
    /// The era rose by one, so there was no other reset in between.
    is_consecutive: bool,
    /// This process held the promoter's lease at the reset.
    held: bool,
    /// Until then, an order unknown to this process may take effect.
    until: id::Time,
    /// The value of `until` before the last reset.
    until_before_reset: id::Time,
}

impl Uncertainty {
    /// The state after an answer of `era` was received at `now`.
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

    /// The state if this process held the promoter's lease at the reset: it knows its own orders,
    /// and there have been no others since it obtained the lease. The uncertainty from before the
    /// reset remains.
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

    /// The state once the store says that `era` has settled.
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

    /// Whether this process has seen the era last long enough for all earlier orders to be over.
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

    /// When this process saw the last reset, if it saw one and didn't hold the promoter's lease at
    /// the time.
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
