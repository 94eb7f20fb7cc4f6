//! Rate limit of the stand-in service, as a plain function of time.

use mangotray::id;

/// Token bucket that holds at most one second's worth of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    rate: f64,
    tokens: f64,
    refilled_at: id::Time,
}

impl Limit {
    /// A full bucket that admits `rate` calls a second.
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

    /// Takes one call out of the bucket; false when it is empty.
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
