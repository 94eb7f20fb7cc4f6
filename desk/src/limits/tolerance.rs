//! How far an organisation's operations may exceed its quota.

use std::time;

use crate::limits::quota;

/// Excess over a quota that the platform tolerates, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the sliding window in which operations are counted.
    pub window: time::Duration,
    /// Tolerated excess as a fraction of the quota.
    pub excess: f64,
    /// Number of operations tolerated in addition.
    pub slack: f64,
}

impl Tolerance {
    /// Number of operations above the quota that are tolerated within one window.
    ///
    /// ```
    /// use mangotray_desk::{limits::quota, limits::tolerance};
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
    /// Tolerates nothing above the quota, in a window of one second.
    fn default() -> Self {
        Self {
            window: time::Duration::from_secs(1),
            excess: 0.0,
            slack: 0.0,
        }
    }
}
