//! Tells which changes of a limit or an expected time are worth a line in the log.

use std::time;

/// Weight of a round in the mean limit. A limit that grows and shrinks around the instance's
/// capacity is no change.
const MEAN_WEIGHT: f64 = 0.2;

/// Least relative change of the mean limit that is told.
const LIMIT_FACTOR: f64 = 1.25;

/// Least relative change of the expected time that is told.
const EXPECTED_FACTOR: f64 = 2.0;

/// A change that is worth a line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Mean limit and expected time that were told last.
    pub before: (f64, time::Duration),
    /// Mean limit and expected time now.
    pub after: (f64, time::Duration),
}

/// What was told of one instance.
///
/// ```
/// use mangotray_desk::concurrency::journal;
/// use std::time::Duration;
/// let mut journal = journal::Journal::default();
/// let ms = Duration::from_millis;
/// assert_eq!(journal.note(4, ms(20)), None);
/// assert_eq!(journal.note(5, ms(30)), None);
/// assert!(journal.note(4, ms(41)).is_some());
/// assert_eq!(journal.note(4, ms(41)), None);
/// assert!((0..9).any(|_| journal.note(2, ms(41)).is_some()));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Journal {
    mean: f64,
    told: Option<(f64, time::Duration)>,
}

impl Journal {
    /// Notes the limit and the expected time after a round; returns a change to be told.
    #[allow(clippy::cast_precision_loss)] // A few dozen connections at most.
    pub fn note(&mut self, limit: usize, expected: time::Duration) -> Option<Change> {
        let limit = limit as f64;
        let Some(before) = self.told else {
            self.mean = limit;
            self.told = Some((limit, expected));
            return None;
        };
        self.mean += MEAN_WEIGHT * (limit - self.mean);
        let after = (self.mean, expected);
        let times = (before.1.as_secs_f64(), expected.as_secs_f64());
        let changed =
            differs((before.0, self.mean), LIMIT_FACTOR) || differs(times, EXPECTED_FACTOR);
        changed.then(|| {
            self.told = Some(after);
            Change { before, after }
        })
    }
}

fn differs((one, other): (f64, f64), factor: f64) -> bool {
    one.max(other) >= one.min(other) * factor
}
