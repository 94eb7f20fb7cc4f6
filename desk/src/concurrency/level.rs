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

/// Cost of one kind, and its answers in the current round.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    /// Natural logarithm of its time in seconds, at level zero.
    log_time: f64,
    known: u32,
    sum: f64,
    count: u32,
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
/// };
/// (0..20).for_each(|_| level.record(&read(10)));
/// assert_eq!(level.answers(), 12);
/// assert!(level.finish().abs() < 0.01);
/// (0..20).for_each(|_| level.record(&read(20)));
/// assert!((level.finish() - 2_f64.ln()).abs() < 0.01);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Level {
    costs: [Cost; kind::COUNT],
    /// Level of the last round.
    last: f64,
}

impl Level {
    /// Records an exchange whose time shows the load, as [`kind::Kind::shows_load`] tells.
    pub fn record(&mut self, exchange: &exchange::Exchange) {
        let cost = &mut self.costs[exchange.kind.index()];
        let log_time = exchange.took.as_secs_f64().max(1e-4).ln();
        if cost.known < FIRST_ANSWERS {
            if exchange.outcome == exchange::Outcome::Done {
                cost.known += 1;
                cost.log_time += (log_time - self.last - cost.log_time) / f64::from(cost.known);
            }
            return;
        }
        let distance = log_time - cost.log_time - self.last;
        // A broken connection ends the wait early, which is no fast answer.
        if exchange.outcome == exchange::Outcome::Lost && distance < 0.0 {
            return;
        }
        cost.sum += self.last + distance.clamp(-MAX_DISTANCE, MAX_DISTANCE);
        cost.count += 1;
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
