//! Whether the replicas of a group have every acknowledged commit.

use std::time;

use mangotray::id;

/// How many replicas must have a commit before it is acknowledged, and since when that holds.
///
/// ```
/// use mangotray_desk::replication;
/// use std::time::Duration;
/// let (seconds, settling) = (Duration::from_secs, Duration::from_secs(3));
/// let mut replication = replication::Replication::default();
/// replication.configure(0, seconds(10), settling);
/// assert!(!replication.covers(seconds(11)));
/// replication.configure(1, seconds(20), settling);
/// assert!(!replication.covers(seconds(22)));
/// assert!(replication.covers(seconds(23)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Replication {
    /// Number of replicas that must have a commit; `None` as long as no configuration tells it.
    required: Option<usize>,
    /// A replica has every commit that is acknowledged after this; `None` if that is not so.
    covered_since: Option<id::Time>,
}

impl Replication {
    /// Applies a configuration. Other nodes and the instances may apply it up to `settling` later.
    ///
    /// Returns whether floors of the replicas alone have become void: the primary may have
    /// acknowledged commits by this configuration already.
    pub fn configure(&mut self, required: usize, now: id::Time, settling: time::Duration) -> bool {
        let before = self.required.replace(required);
        match before {
            _ if required == 0 => self.covered_since = None,
            None => self.covered_since = Some(now),
            Some(0) => self.covered_since = Some(now + settling),
            Some(_) => {}
        }
        required == 0 && before != Some(0)
    }

    /// Whether a replica has every commit that is acknowledged after `moment`.
    #[must_use]
    pub fn covers(&self, moment: id::Time) -> bool {
        self.covered_since.is_some_and(|since| moment >= since)
    }

    /// Whether commits need no replica to be acknowledged.
    #[must_use]
    pub const fn is_asynchronous(&self) -> bool {
        matches!(self.required, Some(0))
    }
}
