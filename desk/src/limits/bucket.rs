//! Token bucket of one organisation; each operation takes one token.

use std::time;

use mangotray::id;

use crate::limits::quota;

/// A token bucket that is refilled at the quota's rate, up to its burst.
///
/// ```
/// use mangotray_desk::{limits::bucket, limits::quota};
/// use std::time::Duration;
/// let quota = quota::Quota { rate: 2.0, burst: 3.0 };
/// let mut bucket = bucket::Bucket::new(1.0, Duration::ZERO);
/// assert_eq!(bucket.take(&quota, Duration::ZERO), Ok(()));
/// assert_eq!(bucket.take(&quota, Duration::ZERO), Err(Duration::from_millis(500)));
/// assert_eq!(bucket.take(&quota, Duration::from_millis(500)), Ok(()));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    tokens: f64,
    refilled_at: id::Time,
}

impl Bucket {
    /// Creates a bucket that holds `tokens`.
    #[must_use]
    pub const fn new(tokens: f64, now: id::Time) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    /// Takes a token. The quota may differ from that of the previous call.
    ///
    /// # Errors
    /// The delay until a token is available, if there is none now.
    pub fn take(&mut self, quota: &quota::Quota, now: id::Time) -> Result<(), time::Duration> {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        // With a burst below 1 the bucket could never hold a whole token.
        let capacity = quota.burst.max(1.0);
        self.tokens = (self.tokens + elapsed * quota.rate).min(capacity);
        self.refilled_at = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / quota.rate;
        Err(time::Duration::try_from_secs_f64(missing).unwrap_or(time::Duration::MAX))
    }
}
