//! How slow an instance is at the moment, apart from the mix of the work that it gets.
//!
//! The logarithm of an exchange's time is the sum of the cost of its kind and of the instance's
//! level. Heavier statements change the mix, not the level. Logarithms keep single slow answers
//! from moving the mean.

use crate::concurrency::exchange;
use crate::concurrency::kind;

/// Answers of a kind from which its cost is first learned; they show no level yet.
const FIRST_ANSWERS: u32 = 8;

/// Weight of a round in the cost of a kind.
const COST_WEIGHT: f64 = 0.05;

/// Largest distance of one answer from the level; a lost answer has no upper bound of its own.
const MAX_DISTANCE: f64 = 2.5;

/// Number of answers that the quiet level follows. The mean of so many differs from the level by a
/// seventh, for the usual spread of times.
const QUIET_WEIGHT: f64 = 32.0;

/// Cost of one kind, and its answers in the current round.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// Natural logarithm of its time in seconds, at level zero.
    log_time: f64,
    known: u32,
    /// Sum and number of the first answers that were quiet, as logarithms of their times.
    first_quiet: (f64, u32),
    sum: f64,
    count: u32,
}

/// Level in the answers to statements that were sent while few others of this node ran.
#[derive(Clone, Copy, Debug, Default)]
struct Quiet {
    level: f64,
    /// Number of answers, up to [`QUIET_WEIGHT`].
    weight: f64,
}

impl Quiet {
    fn add(&mut self, level: f64, count: u32) {
        let count = f64::from(count);
        self.weight = (self.weight + count).min(QUIET_WEIGHT);
        self.level += (level - self.level) * (count / self.weight).min(1.0);
    }
}

/// The level of one instance, measured in rounds of answers.
///
/// ```
/// use mangotray_desk::concurrency::{exchange, kind, level};
/// use std::time::Duration;
/// let mut level = level::Level::default();
/// let read = |millis| exchange::Exchange {
///     kind: kind::Kind { operation: kind::Operation::Read, priority: 1, delayed: false },
///     took: Duration::from_millis(millis),
///     outcome: exchange::Outcome::Done,
///     full: false,
///     others: 0,
/// };
/// (0..20).for_each(|_| level.record(&read(10), true));
/// assert_eq!(level.answers(), 12);
/// assert!(level.finish().abs() < 0.01);
/// (0..20).for_each(|_| level.record(&read(20), false));
/// assert!((level.finish() - 2_f64.ln()).abs() < 0.01);
/// assert_eq!(level.quiet().map(|level| level.abs() < 0.01), Some(true));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Level {
    costs: [Cost; kind::COUNT],
    /// Level of the last round.
    last: f64,
    quiet: Quiet,
}

impl Level {
    /// Records an exchange whose time shows the load, as [`kind::Kind::shows_load`] tells; it is
    /// `quiet` if few other statements of this node ran when it was sent.
    pub fn record(&mut self, exchange: &exchange::Exchange, quiet: bool) {
        let cost = &mut self.costs[exchange.kind.index()];
        let log_time = exchange.took.as_secs_f64().max(1e-4).ln();
        if cost.known < FIRST_ANSWERS {
            if exchange.outcome == exchange::Outcome::Done {
                cost.known += 1;
                cost.log_time += (log_time - self.last - cost.log_time) / f64::from(cost.known);
                cost.first_quiet.0 += if quiet { log_time } else { 0.0 };
                cost.first_quiet.1 += u32::from(quiet);
                let (sum, count) = cost.first_quiet;
                if cost.known == FIRST_ANSWERS && count > 0 {
                    let level = sum / f64::from(count) - cost.log_time;
                    self.quiet.add(level, count);
                }
            }
            return;
        }
        let distance = log_time - cost.log_time - self.last;
        // A broken connection ends the wait early, which is no fast answer.
        if exchange.outcome == exchange::Outcome::Lost && distance < 0.0 {
            return;
        }
        let level = self.last + distance.clamp(-MAX_DISTANCE, MAX_DISTANCE);
        cost.sum += level;
        cost.count += 1;
        if quiet && exchange.outcome == exchange::Outcome::Done {
            self.quiet.add(level, 1);
        }
    }

    /// Number of answers in the current round.
    #[must_use]
    pub fn answers(&self) -> u32 {
        self.costs.iter().map(|cost| cost.count).sum()
    }

    /// Mean level in the current round, or that of the last one if no answer showed any yet.
    #[must_use]
    pub fn current(&self) -> f64 {
        let sum: f64 = self.costs.iter().map(|cost| cost.sum).sum();
        match self.answers() {
            0 => self.last,
            answers => sum / f64::from(answers),
        }
    }

    /// Level where few statements of this node run, if any such answer was seen.
    #[must_use]
    pub fn quiet(&self) -> Option<f64> {
        (self.quiet.weight > 0.0).then_some(self.quiet.level)
    }

    /// Ends a round; returns the instance's level in it.
    pub fn finish(&mut self) -> f64 {
        let level = self.current();
        for cost in self.costs.iter_mut().filter(|cost| cost.count > 0) {
            let own = cost.sum / f64::from(cost.count);
            cost.log_time += COST_WEIGHT * (own - level);
        }
        self.restart();
        self.last = level;
        level
    }

    /// Drops the answers of the current round.
    pub fn restart(&mut self) {
        for cost in &mut self.costs {
            (cost.sum, cost.count) = (0.0, 0);
        }
    }
}
