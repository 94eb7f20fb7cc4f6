//! The learned state of one instance: its concurrency limit and its expected times.

use std::time;

use mangotray::id;

use crate::concurrency::estimate;
use crate::concurrency::exchange;
use crate::concurrency::journal;
use crate::concurrency::level;
use crate::concurrency::limit;

/// Answers that end a round. The mean of so many differs from the level by a seventh, for the usual
/// spread of times.
const ROUND_ANSWERS: u32 = 32;

/// Least duration of a round: the answers to statements that were sent before a change of the limit
/// show the former one.
const MIN_ROUND: time::Duration = time::Duration::from_millis(60);

/// A round ends by then, if it has at least [`MIN_ANSWERS`] answers, and is dropped otherwise. A
/// slowed instance gives few answers, and at a few a second the limit does not bind.
const MAX_ROUND: time::Duration = time::Duration::from_secs(2);
const MIN_ANSWERS: u32 = 12;

/// The limit matters where it was reached at one answer in this many.
const MIN_FULL: u32 = 8;

/// A level this far above the usual one, 2.2 times the usual time, ends a round at
/// [`MIN_ANSWERS`] too: a slowed instance needs seconds for a whole one.
const EVIDENT_EXCESS: f64 = 0.8;

/// Answers that end such a round after [`MAX_ROUND`]: an instance whose answers are lost gives two
/// or three a second.
const MIN_EVIDENT_ANSWERS: u32 = 4;

/// A round of answers that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    /// Factor by which exchanges took longer than they usually do.
    pub slowness: f64,
    /// Number of answers that showed the load.
    pub answers: u32,
    /// The limit was used in full.
    pub full: bool,
    /// Expected time of an exchange.
    pub expected: time::Duration,
    /// A change that is worth a line in the log.
    pub change: Option<journal::Change>,
}

/// The state that is learned from the answers of one instance.
///
/// ```
/// use mangotray_desk::concurrency::{controller, exchange, kind};
/// use std::time::Duration;
/// let mut controller = controller::Controller::new(5, 12);
/// for count in 0..400_u32 {
///     let read = exchange::Exchange {
///         kind: kind::Kind { operation: kind::Operation::Read, priority: 1, delayed: false },
///         took: Duration::from_millis(20),
///         outcome: exchange::Outcome::Done,
///         full: true,
///         others: 4,
///     };
///     controller.record(count * Duration::from_millis(5), &read);
/// }
/// assert!(controller.limit() > 4);
/// assert_eq!(controller.expected(), Some(Duration::from_millis(20)));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Controller {
    limit: limit::Limit,
    level: level::Level,
    estimate: estimate::Estimate,
    journal: journal::Journal,
    /// The limit at the beginning, one more than the instance's slots.
    fixed: usize,
    /// When the limit last changed.
    changed_at: id::Time,
    /// The first answer of the current round.
    since: Option<id::Time>,
    full_count: u32,
    lost_count: u32,
    count: u32,
}

impl Controller {
    /// Creates the state of an instance of which nothing is known. The limit begins at `fixed`
    /// statements at once, is lower only where answers show a queue or a slow instance, and never
    /// exceeds `max_size`.
    #[must_use]
    pub fn new(fixed: usize, max_size: usize) -> Self {
        Self {
            limit: limit::Limit::new(fixed, max_size),
            level: level::Level::default(),
            estimate: estimate::Estimate::default(),
            journal: journal::Journal::default(),
            fixed,
            changed_at: id::Time::ZERO,
            since: None,
            full_count: 0,
            lost_count: 0,
            count: 0,
        }
    }

    /// Sets another upper bound of the limit.
    pub fn set_max(&mut self, max_size: usize) {
        self.limit.set_max(max_size);
    }

    /// Number of statements that may run at once.
    #[must_use]
    pub const fn limit(&self) -> usize {
        self.limit.size()
    }

    /// Expected time of an exchange, if one was answered.
    #[must_use]
    pub fn expected(&self) -> Option<time::Duration> {
        self.estimate.expected()
    }

    /// Expected time of an exchange for a read of this priority.
    #[must_use]
    pub fn expected_of(&self, priority: u8) -> Option<time::Duration> {
        self.estimate.of(priority).or_else(|| self.expected())
    }

    /// Learns from an exchange that ended at `now`; returns the round that it completes.
    pub fn record(&mut self, now: id::Time, exchange: &exchange::Exchange) -> Option<Round> {
        self.estimate.record(exchange);
        match exchange.outcome {
            exchange::Outcome::Refused => {
                let before = self.limit.size();
                self.limit.record_refusal(now);
                self.note_limit(now, before);
                return None;
            }
            exchange::Outcome::Failed => return None,
            // The answer shows the wait under the limit before.
            _ if now.saturating_sub(exchange.took) < self.changed_at => return None,
            exchange::Outcome::Done if !exchange.kind.shows_load() => {}
            exchange::Outcome::Done | exchange::Outcome::Lost => {
                self.level.record(exchange, self.is_quiet(exchange));
            }
        }
        self.count += 1;
        self.full_count += u32::from(exchange.full);
        self.lost_count += u32::from(exchange.outcome == exchange::Outcome::Lost);
        let since = *self.since.get_or_insert(now);
        let age = now.saturating_sub(since);
        let evident = self.limit.excess(self.level.current()) > EVIDENT_EXCESS;
        let least = match (age >= MAX_ROUND, evident || !self.limit.is_settled()) {
            (true, true) => MIN_EVIDENT_ANSWERS,
            (false, false) => ROUND_ANSWERS,
            _ => MIN_ANSWERS,
        };
        if age >= MIN_ROUND && self.level.answers() >= least {
            return Some(self.finish_round(now));
        }
        if age >= MAX_ROUND {
            if self.level.answers() == 0 || !self.is_full() {
                self.limit.raise_to(self.fixed);
            }
            self.level.restart();
            self.begin_round();
        }
        None
    }

    // Whether the statement was sent while this node used less than half of the slots, so that it is
    // unlikely to have waited in the instance.
    fn is_quiet(&self, exchange: &exchange::Exchange) -> bool {
        exchange.others * 2 < self.fixed.saturating_sub(1).max(1)
    }

    // Whether the limit was reached often enough to matter.
    const fn is_full(&self) -> bool {
        self.full_count * MIN_FULL >= self.count
    }

    fn note_limit(&mut self, now: id::Time, before: usize) {
        if self.limit.size() != before {
            self.changed_at = now;
            self.level.restart();
            self.begin_round();
        }
    }

    fn finish_round(&mut self, now: id::Time) -> Round {
        let before = self.limit.size();
        let answers = self.level.answers();
        let level = self.level.finish();
        let full = self.is_full();
        let slowness = self.limit.excess(level).exp();
        let summary = limit::Round {
            level,
            quiet: self.level.quiet(),
            full,
            answered: self.lost_count * 2 < self.count,
            weight: f64::from(answers.min(ROUND_ANSWERS)) / f64::from(ROUND_ANSWERS),
        };
        self.limit.finish_round(summary);
        self.begin_round();
        self.note_limit(now, before);
        let expected = self.estimate.expected().unwrap_or_default();
        Round {
            slowness,
            answers,
            full,
            expected,
            change: self.journal.note(self.limit.size(), expected),
        }
    }

    fn begin_round(&mut self) {
        self.since = None;
        (self.full_count, self.lost_count, self.count) = (0, 0, 0);
    }
}
