//! Whether, and when, a request without an answer is sent again.
//!
//! Retries of one layer multiply those of the next: only the proxy that talks to the
//! upstream or to the serving peer decides here, once for each hop of its own.

use std::time;

use crate::class;
use crate::id;
use crate::outcome;
use crate::reason;

/// First attempts that pay for one retry.
pub const FIRSTS_PER_RETRY: u32 = 10;

/// Attempts in all after which a request is given up, whatever the budget says.
pub const MAX_ATTEMPTS: u32 = 4;

/// Retries that an idle budget holds.
const BURST: u32 = 10;
/// Retries a second that are always allowed; else a nearly idle proxy could never retry.
const MIN_RETRIES_PER_SECOND: u32 = 1;

/// Token bucket that bounds retries to a tenth of the first attempts, plus a small floor.
///
/// Without it, every request of an outage is sent several times, and the upstream that
/// comes back meets a multiple of its load and fails again.
///
/// ```
/// use std::time::Duration;
/// use mangotray::retry;
/// let mut budget = retry::Budget::new(Duration::ZERO);
/// let allowed = (0..100).filter(|_| budget.spend(Duration::ZERO)).count();
/// assert_eq!(allowed, 10);
/// (0..20).for_each(|_| budget.first());
/// assert!(budget.spend(Duration::ZERO));
/// ```
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Budget {
    /// Tenths of a retry.
    balance: u32,
    refilled: id::Time,
}

impl Budget {
    /// A full budget.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut budget = mangotray::retry::Budget::new(Duration::ZERO);
    /// assert!(budget.spend(Duration::ZERO));
    /// ```
    #[must_use]
    pub fn new(now: id::Time) -> Self {
        Self {
            balance: BURST * FIRSTS_PER_RETRY,
            refilled: now,
        }
    }

    /// Counts a first attempt.
    pub fn first(&mut self) {
        self.deposit(1);
    }

    /// Takes one retry out, if there is one.
    pub fn spend(&mut self, now: id::Time) -> bool {
        self.refill(now);
        let allowed = self.balance >= FIRSTS_PER_RETRY;
        if allowed {
            self.balance -= FIRSTS_PER_RETRY;
        }
        allowed
    }

    /// Most retries that may have been allowed `elapsed` after the start, given the
    /// first attempts; the bound that tests and alarms compare with.
    ///
    /// ```
    /// use std::time::Duration;
    /// assert_eq!(mangotray::retry::Budget::bound(100, Duration::from_secs(5)), 25);
    /// ```
    #[must_use]
    pub fn bound(firsts: u64, elapsed: time::Duration) -> u64 {
        firsts / u64::from(FIRSTS_PER_RETRY)
            + u64::from(BURST)
            + u64::from(MIN_RETRIES_PER_SECOND) * elapsed.as_secs()
    }

    fn refill(&mut self, now: id::Time) {
        let seconds = now.saturating_sub(self.refilled).as_secs();
        self.refilled += time::Duration::from_secs(seconds);
        let seconds = u32::try_from(seconds).unwrap_or(u32::MAX).min(BURST);
        self.deposit(seconds * MIN_RETRIES_PER_SECOND * FIRSTS_PER_RETRY);
    }

    fn deposit(&mut self, tenths: u32) {
        self.balance = (self.balance + tenths).min(BURST * FIRSTS_PER_RETRY);
    }
}

/// Pauses between the attempts of one request: decorrelated jitter.
///
/// ```
/// use mangotray::retry;
/// let mut random = fastrand::Rng::with_seed(3);
/// let mut backoff = retry::Backoff::default();
/// assert!((0..50).all(|_| backoff.next(&mut random) <= retry::Backoff::CEILING));
/// ```
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Backoff {
    previous: time::Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            previous: Self::BASE,
        }
    }
}

impl Backoff {
    /// Shortest pause.
    pub const BASE: time::Duration = time::Duration::from_millis(5);
    /// Longest pause.
    pub const CEILING: time::Duration = time::Duration::from_millis(500);

    /// The next pause, drawn between the shortest and three times the previous one.
    pub fn next(&mut self, random: &mut fastrand::Rng) -> time::Duration {
        let span = (self.previous * 3).saturating_sub(Self::BASE);
        let pause = Self::BASE + span.mul_f64(random.f64());
        self.previous = pause.min(Self::CEILING);
        self.previous
    }
}

/// The attempt that just failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Attempt {
    /// Class of the batch.
    pub class: class::Class,
    /// True when the batch belongs to an open transaction; it can run nowhere else.
    pub pinned: bool,
    /// Number of the attempt, the first being 1.
    pub number: u32,
    /// When the answer is due.
    pub deadline: id::Time,
}

/// What to do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Send it again after a pause.
    Again {
        /// Length of the pause.
        after: time::Duration,
    },
    /// Hand the outcome to the caller.
    GiveUp,
}

/// Decides about a failed attempt; takes a retry from the budget only for `Again`.
///
/// A request that may have run is repeated only if it is proven to read: a repeated
/// booking would be a second booking.
///
/// ```
/// use std::time::Duration;
/// use mangotray::{class, outcome, reason, retry};
/// let lost = outcome::Outcome::Unknown {
///     reason: reason::Reason::ConnectionLost,
///     detail: "reset by peer".into(),
/// };
/// let mut attempt = retry::Attempt {
///     class: class::Class::Write,
///     pinned: false,
///     number: 1,
///     deadline: Duration::from_secs(5),
/// };
/// let mut budget = retry::Budget::new(Duration::ZERO);
/// let mut backoff = retry::Backoff::default();
/// let mut random = fastrand::Rng::with_seed(1);
/// let mut decide = |attempt: &retry::Attempt| {
///     retry::decide(attempt, &lost, Duration::ZERO, &mut budget, &mut backoff, &mut random)
/// };
/// assert_eq!(decide(&attempt), retry::Decision::GiveUp);
/// attempt.class = class::Class::Read;
/// assert!(matches!(decide(&attempt), retry::Decision::Again { .. }));
/// ```
pub fn decide(
    attempt: &Attempt,
    outcome: &outcome::Outcome,
    now: id::Time,
    budget: &mut Budget,
    backoff: &mut Backoff,
    random: &mut fastrand::Rng,
) -> Decision {
    if !is_retryable(attempt, outcome) || attempt.number >= MAX_ATTEMPTS {
        return Decision::GiveUp;
    }
    let hint = match outcome {
        outcome::Outcome::NotRun { retry, .. } => retry.unwrap_or_default(),
        outcome::Outcome::Unknown { .. } => time::Duration::ZERO,
    };
    let after = backoff.next(random).max(hint);
    if now + after >= attempt.deadline || !budget.spend(now) {
        return Decision::GiveUp;
    }
    Decision::Again { after }
}

/// Whether sending it again is safe and can change the outcome.
fn is_retryable(attempt: &Attempt, outcome: &outcome::Outcome) -> bool {
    if attempt.pinned {
        return false;
    }
    match (attempt.class, outcome) {
        // The transaction that they end died with its connection.
        (class::Class::Commit | class::Class::Rollback, _) => false,
        (_, outcome::Outcome::NotRun { reason, .. })
        | (class::Class::Read, outcome::Outcome::Unknown { reason, .. }) => is_transient(*reason),
        (_, outcome::Outcome::Unknown { .. }) => false,
    }
}

/// Whether the reason may go away by itself. An overloaded queue is left to the caller:
/// asking it again from here would add to its load.
fn is_transient(reason: reason::Reason) -> bool {
    match reason {
        reason::Reason::NoPrimary
        | reason::Reason::NoInstance
        | reason::Reason::NoMajority
        | reason::Reason::Draining
        | reason::Reason::ConnectionLost
        | reason::Reason::NoServer => true,
        reason::Reason::Deadline
        | reason::Reason::Overload
        | reason::Reason::Unconfirmed
        | reason::Reason::Unsupported
        | reason::Reason::TooLarge => false,
    }
}

#[cfg(test)]
mod tests;
