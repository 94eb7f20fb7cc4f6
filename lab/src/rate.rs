//! Rate limit of the stand-in service; callers pass the current time.

use mangotray::id;

/// Token bucket with a capacity of one second of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Calls per second.
    rate: f64,
    tokens: f64,
    refilled_at: id::Time,
}

impl Limit {
    /// A full bucket that admits `rate` calls per second.
    ///
    /// ```
    /// use std::time;
    /// let mut limit = mangotray_lab::rate::Limit::new(1, time::Duration::ZERO);
    /// assert!(limit.admit(time::Duration::ZERO));
    /// assert!(!limit.admit(time::Duration::from_millis(900)));
    /// assert!(limit.admit(time::Duration::from_millis(1_000)));
    /// ```
    #[must_use]
    pub fn new(rate: u32, now: id::Time) -> Self {
        Self {
            rate: f64::from(rate),
            tokens: f64::from(rate),
            refilled_at: now,
        }
    }

    /// Takes a token for one call; false when the bucket is empty.
    pub fn admit(&mut self, now: id::Time) -> bool {
        let refill = now.saturating_sub(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(self.rate);
        self.refilled_at = now;
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}
