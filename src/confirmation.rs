//! Estimate of the time from a write's answer until a second instance holds it.
//!
//! What goes wrong without it: while the replicas stand still, writes run at the primary,
//! are not confirmed before their deadlines, and their callers are left with unknown
//! outcomes. A write that is refused before it runs can simply be repeated.

use std::time;

use crate::id;

/// Weight of a longer sample in the moving average: one in this many.
const SMOOTHING: u32 = 8;

/// Time between two writes that are let through against the estimate.
const TRIAL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Moving estimate of a group's confirmation time.
///
/// ```
/// use std::time::Duration;
/// let mut estimate = mangotray::confirmation::Estimate::default();
/// let ms = Duration::from_millis;
/// assert!(estimate.allows(ms(100), ms(0), ms(0)));
/// estimate.learn(ms(500));
/// assert!(estimate.allows(ms(100), ms(0), ms(5_000)), "the trial");
/// assert!(!estimate.allows(ms(100), ms(0), ms(5_010)));
/// estimate.learn(ms(10));
/// estimate.learn(ms(10));
/// estimate.learn(ms(10));
/// assert!(estimate.allows(ms(100), ms(0), ms(5_020)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Estimate {
    average: Option<time::Duration>,
    trial: Option<id::Time>,
}

impl Estimate {
    /// Notes how long a confirmation took, or was waited for in vain.
    ///
    /// It falls faster than it rises: after a stand-still only the few trials can show
    /// that confirmations are quick again.
    pub fn learn(&mut self, sample: time::Duration) {
        let average = self.average.unwrap_or(sample);
        self.average = Some(if sample < average {
            (average + sample) / 2
        } else {
            (average * (SMOOTHING - 1) + sample) / SMOOTHING
        });
    }

    /// Whether a write with so much time left may run. `behind` is for how long even the
    /// best replica has stood still behind the primary. One write a second always may,
    /// or the estimate could never recover.
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
