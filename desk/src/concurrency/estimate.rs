//! Expected time of an exchange with an instance, by kind of work.

use std::time;

use crate::concurrency::exchange;
use crate::concurrency::kind;
use crate::load::report;

/// A new time counts with a weight of one in this many, and the first ones are averaged: follows a
/// change within a dozen answers, with a standard error of a fifth for the usual spread of times.
const SMOOTHING_WEIGHT: f64 = 12.0;

/// A time counts as at most this multiple of the expected one, so that a single slow answer moves
/// the estimate by a sixth only.
const MAX_OUTLIER: f64 = 3.0;

/// The shares of the kinds in the mix follow the last answers, about this many.
const MIX_WEIGHT: f64 = 64.0;

/// Expected times of one instance.
///
/// ```
/// use mangotray_desk::concurrency::{estimate, exchange, kind};
/// use std::time::Duration;
/// let mut estimate = estimate::Estimate::default();
/// let read = exchange::Exchange {
///     kind: kind::Kind { operation: kind::Operation::Read, priority: 1, delayed: false },
///     took: Duration::from_millis(20),
///     outcome: exchange::Outcome::Done,
///     full: false,
///     others: 0,
/// };
/// assert_eq!(estimate.expected(), None);
/// (0..12).for_each(|_| estimate.record(&read));
/// let slow = exchange::Exchange { took: Duration::from_secs(9), ..read };
/// estimate.record(&slow);
/// assert_eq!(estimate.of(1).map(|time| time.as_micros()), Some(23_333));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Expected time by kind, in seconds.
    times: [Option<f64>; kind::COUNT],
    /// Answers by kind, up to [`SMOOTHING_WEIGHT`].
    counts: [f64; kind::COUNT],
    /// Share of each kind in the latest answers.
    shares: [f64; kind::COUNT],
}

impl Estimate {
    /// Learns from an exchange. A lost answer took at least the time waited for it.
    pub fn record(&mut self, exchange: &exchange::Exchange) {
        use exchange::Outcome;
        let index = exchange.kind.index();
        let took = exchange.took.as_secs_f64();
        let known = self.times[index];
        let counts = match exchange.outcome {
            Outcome::Done => !exchange.kind.delayed,
            Outcome::Lost => known.is_some_and(|known| took > known),
            Outcome::Refused | Outcome::Failed => false,
        };
        if !counts {
            return;
        }
        for share in &mut self.shares {
            *share *= 1.0 - 1.0 / MIX_WEIGHT;
        }
        self.shares[index] += 1.0 / MIX_WEIGHT;
        self.counts[index] = (self.counts[index] + 1.0).min(SMOOTHING_WEIGHT);
        self.times[index] = Some(known.map_or(took, |known| {
            known + (took.min(known * MAX_OUTLIER) - known) / self.counts[index]
        }));
    }

    /// Expected time of a read of this priority, if one was answered.
    #[must_use]
    pub fn of(&self, priority: u8) -> Option<time::Duration> {
        let read = kind::Kind {
            operation: kind::Operation::Read,
            priority,
            delayed: false,
        };
        self.times[read.index()].map(time::Duration::from_secs_f64)
    }

    /// Expected time of a read, over the latest mix of priorities; without reads, of any command.
    /// Reads are what other instances could serve as well, so commits that wait for a replica do
    /// not count.
    #[must_use]
    pub fn expected(&self) -> Option<time::Duration> {
        self.mean(0..report::CLASSES)
            .or_else(|| self.mean(0..kind::COUNT))
    }

    fn mean(&self, kinds: std::ops::Range<usize>) -> Option<time::Duration> {
        let known = kinds.filter_map(|kind| Some((self.times[kind]?, self.shares[kind])));
        let (sum, weight) = known.fold((0.0, 0.0), |(sum, weight), (time, share)| {
            (sum + time * share, weight + share)
        });
        (weight > 0.0).then(|| time::Duration::from_secs_f64(sum / weight))
    }
}
