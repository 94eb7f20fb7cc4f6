//! Estimate of the time from the answer to a write until a second instance has the write.
//!
//! While the replicas do not advance, writes run on the primary but are not confirmed before their
//! deadlines, and their callers get unknown outcomes. With the estimate such writes are rejected
//! before they run, so that callers can safely repeat them.

use std::time;

use crate::id;

/// A sample above the moving average has the weight 1 / `SMOOTHING`.
const SMOOTHING: u32 = 8;

/// Interval between writes that are allowed in spite of the estimate.
const TRIAL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Moving average of a group's confirmation time.
///
/// ```
/// use std::time::Duration;
/// let mut estimate = mangotray::confirmation::Estimate::default();
/// let ms = Duration::from_millis;
/// assert!(estimate.allows(ms(100), ms(0), ms(0)));
/// estimate.add_sample(ms(500));
/// assert!(estimate.allows(ms(100), ms(0), ms(5_000)), "the trial");
/// assert!(!estimate.allows(ms(100), ms(0), ms(5_010)));
/// estimate.add_sample(ms(10));
/// estimate.add_sample(ms(10));
/// estimate.add_sample(ms(10));
/// assert!(estimate.allows(ms(100), ms(0), ms(5_020)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Estimate {
    average: Option<time::Duration>,
    /// Time of the last write that was allowed in spite of the estimate.
    trial: Option<id::Time>,
}

impl Estimate {
    /// Adds a sample: the time that a confirmation took, or that was spent waiting without one.
    ///
    /// The average falls faster than it rises: after a stall only the few trial writes can show
    /// that confirmations are fast again.
    pub fn add_sample(&mut self, sample: time::Duration) {
        let average = self.average.unwrap_or(sample);
        self.average = Some(if sample < average {
            (average + sample) / 2
        } else {
            (average * (SMOOTHING - 1) + sample) / SMOOTHING
        });
    }

    /// Returns whether a write may run that has the time `left` until its deadline.
    ///
    /// `behind` is the time for which even the most advanced replica has been behind the primary
    /// without advancing. One write per second is always allowed, since the estimate could not
    /// recover otherwise.
    pub fn allows(&mut self, left: time::Duration, behind: time::Duration, now: id::Time) -> bool {
        let expected = self.average.unwrap_or_default().max(behind);
        if expected <= left {
            return true;
        }
        let due = self.trial.is_none_or(|last| last + TRIAL_INTERVAL <= now);
        if due {
            self.trial = Some(now);
        }
        due
    }
}
