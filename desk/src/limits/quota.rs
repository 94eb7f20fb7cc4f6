//! Rate limit of an organisation.

use std::time;

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
    /// Maximum number of operations that may start in any span of this length.
    #[must_use]
    pub fn within(&self, span: time::Duration) -> f64 {
        self.rate * span.as_secs_f64() + self.burst
    }
}
