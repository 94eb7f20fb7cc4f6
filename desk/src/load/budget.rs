//! How many retries a node may send.
//!
//! Addresses bursts: instances that are overloaded refuse statements, and retries of these add to
//! the load. Their number is bounded by a share of the node's statements.

use std::time;

use mangotray::id;

/// Tokens are gathered for at most this much of recent load.
const MEMORY: time::Duration = time::Duration::from_secs(10);

/// Number of parts of [`MEMORY`] that statements are counted in.
const PARTS: usize = 10;

/// Tokens that a node may always gather: with few statements, each would otherwise be refused after
/// its first failure.
const LEAST_TOKENS: u64 = 3;

/// Parts of a token: the share of retries is given in percent.
const PER_TOKEN: u64 = 100;

/// A budget of retries: each statement adds a part of a token, each retry takes one.
///
/// ```
/// use mangotray_desk::load::budget;
/// use std::time::Duration;
/// let now = Duration::from_secs(1);
/// let mut budget = budget::Budget::new(20);
/// assert_eq!((0..9).filter(|_| budget.take(now)).count(), 3);
/// for _ in 0..10 {
///     budget.note_statement(now);
/// }
/// assert_eq!((0..9).filter(|_| budget.take(now)).count(), 2);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Parts of a token that each statement adds.
    percent: u64,
    /// Parts of tokens.
    level: u64,
    /// Statements in each part of the recent time; the part in use is `current % PARTS`.
    recent: [u64; PARTS],
    current: u64,
}

impl Budget {
    /// Creates a budget for retries of up to `percent` of the statements, with the least number of
    /// tokens.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            percent: percent.into(),
            level: LEAST_TOKENS * PER_TOKEN,
            recent: [0; PARTS],
            current: 0,
        }
    }

    /// Records that a statement arrived at `now`, which is no retry.
    pub fn note_statement(&mut self, now: id::Time) {
        self.advance(now);
        let part = part(self.current);
        self.recent[part] = self.recent[part].saturating_add(1);
        self.level = (self.level + self.percent).min(self.capacity());
    }

    /// Takes a token for a retry at `now`; returns whether there was one.
    pub fn take(&mut self, now: id::Time) -> bool {
        self.advance(now);
        let allowed = self.level >= PER_TOKEN;
        if allowed {
            self.level -= PER_TOKEN;
        }
        allowed
    }

    fn capacity(&self) -> u64 {
        let recent: u64 = self.recent.iter().sum();
        (recent * self.percent).max(LEAST_TOKENS * PER_TOKEN)
    }

    // Clears the parts of the recent time that have passed, and clips the level to the recent load.
    fn advance(&mut self, now: id::Time) {
        let length = MEMORY.as_millis() / PARTS as u128;
        let current = u64::try_from(now.as_millis() / length).unwrap_or(u64::MAX);
        let passed = current.saturating_sub(self.current).min(PARTS as u64);
        for ahead in 1..=passed {
            self.recent[part(self.current.saturating_add(ahead))] = 0;
        }
        if passed > 0 {
            self.current = current;
            self.level = self.level.min(self.capacity());
        }
    }
}

fn part(number: u64) -> usize {
    usize::try_from(number % PARTS as u64).unwrap_or_default()
}
