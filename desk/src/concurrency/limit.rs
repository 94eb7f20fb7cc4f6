//! The concurrency limit: additive increase, multiplicative decrease on observed queueing.
//!
//! Statements wait inside an instance when its level is above the usual one. The limit then
//! shrinks by a factor that ends most of this wait, and grows again while it is used in full. Each
//! node that shares the instance observes the same wait, so that all shrink, the larger limits by
//! more: their sum follows what the instance takes, and no node keeps it from the others.
//!
//! If the level stays high although the limit shrank, the instance itself is slower, and a small
//! limit would only leave its slots idle: the level becomes the usual one, and the limit returns.
//!
//! The limit begins at a fixed value, and is lower only after rounds that used it in full. The usual
//! level comes from answers to statements that were sent while few others of this node ran.

use std::time;

use mangotray::id;

/// Level above the usual one from which statements are taken to wait in the instance: 1.5 times
/// the usual time.
const QUEUEING: f64 = 0.405;

/// Factor by which the limit shrinks. Its product with 1.5 is about one, so that each decrease
/// reaches the point without a wait, where the usual level is measured anew.
const SHRINK_FACTOR: f64 = 0.7;

/// Growth of the limit in a round.
const GROWTH: f64 = 0.5;

/// Level above the usual one up to which the limit grows beyond the fixed value: 1.2 times the
/// usual time. The fixed value keeps all slots busy, so that more statements wait in the instance.
const CALM: f64 = 0.18;

/// Least limit, so that some answers always show whether the instance has recovered.
const MIN: f64 = 1.0;

/// Number of decreases after which the level must have fallen.
const TRIAL_DECREASES: u32 = 3;

/// Least part of the fall that a queue of this node's statements would show.
const MIN_FALL: f64 = 0.5;

/// Weights of a round in the usual level. A lower level shows the time without a wait, a higher
/// one may contain a wait.
const FALL_WEIGHT: f64 = 0.25;
const RISE_WEIGHT: f64 = 0.08;

/// Least time between two decreases by refusals. A decrease shows only in later answers.
const MIN_REFUSAL_INTERVAL: time::Duration = time::Duration::from_millis(90);

/// A round of answers, as the limit learns from it.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    /// The instance's level.
    pub level: f64,
    /// Its level where few statements of this node run, if that was seen.
    pub quiet: Option<f64>,
    /// The limit was reached.
    pub full: bool,
    /// Most answers arrived.
    pub answered: bool,
    /// Weight in the usual level, one for a whole round.
    pub weight: f64,
}

/// Where a series of decreases began.
#[derive(Clone, Copy, Debug)]
struct Trial {
    limit: f64,
    level: f64,
    decreases: u32,
}

/// The concurrency limit of one instance on this node.
///
/// ```
/// use mangotray_desk::concurrency::limit;
/// let mut limit = limit::Limit::new(5, 12);
/// let round = limit::Round { level: 0.0, quiet: None, full: true, answered: true, weight: 1.0 };
/// (0..2).for_each(|_| limit.finish_round(round));
/// assert_eq!(limit.size(), 6);
/// limit.finish_round(limit::Round { level: 1.0, ..round });
/// assert_eq!(limit.size(), 4);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    size: f64,
    /// Size at the beginning, and least size where the limit is not reached.
    fixed: f64,
    max_size: f64,
    /// It has shrunk once, so that it has found the instance's capacity.
    settled: bool,
    usual: Option<f64>,
    trial: Option<Trial>,
    refused_at: id::Time,
}

impl Limit {
    /// Creates a limit of `fixed` statements, which is not lower where it is not reached, and never
    /// exceeds `max_size`.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // A few dozen connections at most.
    pub fn new(fixed: usize, max_size: usize) -> Self {
        let max_size = (max_size as f64).max(MIN);
        let fixed = (fixed as f64).max(MIN);
        Self {
            size: fixed.min(max_size),
            settled: false,
            fixed,
            max_size,
            usual: None,
            trial: None,
            refused_at: id::Time::ZERO,
        }
    }

    /// Sets another upper bound.
    #[allow(clippy::cast_precision_loss)] // A few dozen connections at most.
    pub fn set_max(&mut self, max_size: usize) {
        self.max_size = (max_size as f64).max(MIN);
        self.size = self.size.min(self.max_size);
    }

    /// Raises a lower limit to this one, where no answers show the load.
    #[allow(clippy::cast_precision_loss)] // A few dozen connections at most.
    pub fn raise_to(&mut self, size: usize) {
        self.size = self.size.max(size as f64).min(self.max_size);
    }

    /// Number of statements that may run at once.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // At least one.
    pub const fn size(&self) -> usize {
        self.size as usize
    }

    /// Whether it has found the instance's capacity.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.settled
    }

    /// Level of a round above the usual one.
    #[must_use]
    pub fn excess(&self, level: f64) -> f64 {
        level - self.usual.unwrap_or(level)
    }

    /// Adapts the limit to a round of answers.
    pub fn finish_round(&mut self, round: Round) {
        let level = round.level;
        let usual = *self.usual.get_or_insert(round.quiet.unwrap_or(level));
        if !round.full {
            // Statements of this node do not queue in the instance, whatever its level.
            self.trial = None;
            let target = round.quiet.unwrap_or(level);
            self.usual = Some(usual + FALL_WEIGHT * round.weight * (target - usual));
            self.size = self.size.max(self.fixed).min(self.max_size);
            return;
        }
        if level - usual > QUEUEING {
            return self.relieve(&round, usual);
        }
        let was_shrunk = self.trial.take().is_some();
        if usual - level > QUEUEING {
            // Recovered: fewer statements show the time without a wait.
            self.usual = Some(level);
            self.shrink_to(self.fixed.min(self.size));
            return;
        }
        // After a decrease, a level that is still higher is less likely to contain a wait.
        let weight = if level < usual || was_shrunk {
            FALL_WEIGHT
        } else {
            RISE_WEIGHT
        };
        self.usual = Some(usual + weight * round.weight * (level - usual));
        if self.size < self.fixed || level - usual <= CALM {
            self.size = (self.size + GROWTH).min(self.max_size);
        }
    }

    // Shrinks the limit, or finds that this did not help.
    fn relieve(&mut self, round: &Round, usual: f64) {
        let level = round.level;
        let trial = *self.trial.get_or_insert(Trial {
            limit: self.size,
            level,
            decreases: 0,
        });
        let queue = (trial.limit / self.size).ln();
        let helped = trial.level - level >= MIN_FALL * queue;
        if trial.decreases >= TRIAL_DECREASES && !helped && round.answered {
            self.usual = Some(level);
            self.size = trial.limit.min(self.max_size);
            self.trial = None;
            return;
        }
        if self.size * 2.0 < self.fixed {
            // So few statements hardly wait for each other: the usual level was too low.
            self.usual = Some(usual + FALL_WEIGHT * (level - usual));
        }
        self.shrink_to(MIN);
        self.trial = Some(Trial {
            decreases: trial.decreases + 1,
            ..trial
        });
    }

    /// Records that the instance had no capacity for a statement.
    pub fn record_refusal(&mut self, now: id::Time) {
        if now >= self.refused_at + MIN_REFUSAL_INTERVAL {
            self.refused_at = now;
            self.shrink_to(MIN);
        }
    }

    // Shrinks the limit, but not below `least`.
    fn shrink_to(&mut self, least: f64) {
        self.settled = true;
        self.size = (self.size * SHRINK_FACTOR).max(least);
    }
}
