//! Rate limit of an organisation.

use std::time;

/// Fraction of a burst that may still start at once where the limit is sustained.
const AT_ONCE_FRACTION: f64 = 0.25;

/// Operations that may start at once in any case: those of a small organisation come in clusters.
const MIN_AT_ONCE: f64 = 10.0;

/// Rate and burst of an organisation, over all nodes together.
///
/// ```
/// use mangotray_desk::limits::quota;
/// use std::time::Duration;
/// let quota = quota::Quota { rate: 20.0, burst: 10.0 };
/// assert!((quota.within(Duration::from_secs(5)) - 110.0).abs() < 1e-9);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Quota {
    /// Operations per second.
    pub rate: f64,
    /// Operations that may start at once after an idle time.
    pub burst: f64,
}

impl Quota {
    /// Whether rate and burst are finite and not negative.
    ///
    /// ```
    /// use mangotray_desk::limits::quota;
    /// assert!(quota::Quota { rate: 0.0, burst: 1.0 }.is_valid());
    /// assert!(!quota::Quota { rate: -1.0, burst: 1.0 }.is_valid());
    /// ```
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let valid = |value: f64| value.is_finite() && value >= 0.0;
        valid(self.rate) && valid(self.burst)
    }

    /// Maximum number of operations that may start in any span of this length.
    #[must_use]
    pub fn within(&self, span: time::Duration) -> f64 {
        self.rate * span.as_secs_f64() + self.burst
    }

    /// The quota that permits as many operations in any span of this length, more of them by its
    /// rate and fewer at once.
    ///
    /// Addresses a load above the rate that lasts: the burst is used up in the first second, and the
    /// rate alone then permits fewer operations in a span than the limit does.
    ///
    /// ```
    /// use mangotray_desk::limits::quota;
    /// use std::time::Duration;
    /// let span = Duration::from_secs(5);
    /// let quota = quota::Quota { rate: 100.0, burst: 100.0 };
    /// let sustained = quota.sustained(span);
    /// assert_eq!(sustained, quota::Quota { rate: 115.0, burst: 25.0 });
    /// assert!((sustained.within(span) - quota.within(span)).abs() < 1e-9);
    /// let small = quota::Quota { rate: 8.0, burst: 8.0 };
    /// assert_eq!(small.sustained(span), small);
    /// ```
    #[must_use]
    pub fn sustained(&self, span: time::Duration) -> Self {
        let at_once = (self.burst * AT_ONCE_FRACTION).max(MIN_AT_ONCE);
        let burst = self.burst.min(at_once);
        Self {
            rate: self.rate + (self.burst - burst) / span.as_secs_f64(),
            burst,
        }
    }
}
