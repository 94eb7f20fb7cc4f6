//! How far an organisation's operations may exceed its quota before a promise is broken.

use std::time;

use crate::quota;

/// What the platform tolerates above a quota, as settings tell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Any span of this length counts.
    pub window: time::Duration,
    /// Part of the quota that may come on top.
    pub excess: f64,
    /// Operations that may come on top of that.
    pub slack: f64,
}

impl Tolerance {
    /// Operations above the quota that are tolerated within one window.
    ///
    /// ```
    /// use mangotray_desk::{quota, tolerance};
    /// use std::time::Duration;
    /// let tolerance = tolerance::Tolerance { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 };
    /// let quota = quota::Quota { rate: 20.0, burst: 20.0 };
    /// assert!((tolerance.excess_operations(&quota) - 32.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn excess_operations(&self, quota: &quota::Quota) -> f64 {
        quota.within(self.window) * self.excess + self.slack
    }
}

impl Default for Tolerance {
    /// Nothing above the quota, over a second.
    fn default() -> Self {
        Self {
            window: time::Duration::from_secs(1),
            excess: 0.0,
            slack: 0.0,
        }
    }
}
