//! Retry policy: whether, and after which delay, a failed request is sent again.
//!
//! A retry needs an outcome that makes it safe, time left before the deadline, and a retry in
//! the group's token bucket. Retries at one layer multiply those of the next, so only the proxy
//! that talks to the upstream or to the serving peer retries, each for its own hop.

use std::time;

use crate::class;
use crate::id;
use crate::outcome;
use crate::reason;

/// Number of first attempts that add one retry to the budget.
pub const FIRST_ATTEMPTS_PER_RETRY: u32 = 10;

/// Maximum number of attempts for a request, including the first, whatever the budget allows.
pub const MAX_ATTEMPTS: u32 = 4;

/// Maximum number of retries that the budget holds.
const MAX_HELD_RETRIES: u32 = 10;
/// Retries per second that the budget gains regardless of the load; a nearly idle proxy could
/// not retry otherwise.
const MIN_RETRIES_PER_SECOND: u32 = 1;

/// Token bucket that limits retries to a tenth of the first attempts, plus a small constant rate.
///
/// Without this limit, every request that fails in an outage is sent several times, and the
/// recovering upstream gets a multiple of its normal load and fails again.
///
/// ```
/// use std::time::Duration;
/// use mangotray::retry;
/// let mut budget = retry::Budget::new(Duration::ZERO);
/// let allowed = (0..100).filter(|_| budget.take_retry(Duration::ZERO)).count();
/// assert_eq!(allowed, 10);
/// (0..20).for_each(|_| budget.record_first_attempt());
/// assert!(budget.take_retry(Duration::ZERO));
/// ```
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Budget {
    /// Available retries, in tenths of a retry.
    balance: u32,
    refilled: id::Time,
}

impl Budget {
    /// A full budget, refilled from `now` on.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut budget = mangotray::retry::Budget::new(Duration::ZERO);
    /// assert!(budget.take_retry(Duration::ZERO));
    /// ```
    #[must_use]
    pub fn new(now: id::Time) -> Self {
        Self {
            balance: MAX_HELD_RETRIES * FIRST_ATTEMPTS_PER_RETRY,
            refilled: now,
        }
    }

    /// Adds the credit for a first attempt: a tenth of a retry.
    pub fn record_first_attempt(&mut self) {
        self.deposit(1);
    }

    /// Takes one retry from the budget; `false` if none is left.
    pub fn take_retry(&mut self, now: id::Time) -> bool {
        self.refill(now);
        let allowed = self.balance >= FIRST_ATTEMPTS_PER_RETRY;
        if allowed {
            self.balance -= FIRST_ATTEMPTS_PER_RETRY;
        }
        allowed
    }

    /// Maximum number of retries that the budget can have allowed at `elapsed` after its start,
    /// given `firsts` first attempts. Tests and alarms compare with this bound.
    ///
    /// ```
    /// use std::time::Duration;
    /// assert_eq!(mangotray::retry::Budget::max_retries(100, Duration::from_secs(5)), 25);
    /// ```
    #[must_use]
    pub fn max_retries(firsts: u64, elapsed: time::Duration) -> u64 {
        firsts / u64::from(FIRST_ATTEMPTS_PER_RETRY)
            + u64::from(MAX_HELD_RETRIES)
            + u64::from(MIN_RETRIES_PER_SECOND) * elapsed.as_secs()
    }

    fn refill(&mut self, now: id::Time) {
        let seconds = now.saturating_sub(self.refilled).as_secs();
        self.refilled += time::Duration::from_secs(seconds);
        let seconds = u32::try_from(seconds)
            .unwrap_or(u32::MAX)
            .min(MAX_HELD_RETRIES);
        self.deposit(seconds * MIN_RETRIES_PER_SECOND * FIRST_ATTEMPTS_PER_RETRY);
    }

    fn deposit(&mut self, tenths: u32) {
        self.balance = (self.balance + tenths).min(MAX_HELD_RETRIES * FIRST_ATTEMPTS_PER_RETRY);
    }
}

/// Delays between the attempts of one request: exponential backoff with decorrelated jitter.
///
/// ```
/// use mangotray::retry;
/// let mut random = fastrand::Rng::with_seed(3);
/// let mut backoff = retry::Backoff::default();
/// assert!((0..50).all(|_| backoff.next_delay(&mut random) <= retry::Backoff::MAX_DELAY));
/// ```
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Backoff {
    previous: time::Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            previous: Self::MIN_DELAY,
        }
    }
}

impl Backoff {
    /// Minimum delay.
    pub const MIN_DELAY: time::Duration = time::Duration::from_millis(5);
    /// Maximum delay.
    pub const MAX_DELAY: time::Duration = time::Duration::from_millis(500);

    /// Returns the next delay: random between `MIN_DELAY` and three times the previous delay, and
    /// at most `MAX_DELAY`.
    pub fn next_delay(&mut self, random: &mut fastrand::Rng) -> time::Duration {
        let span = (self.previous * 3).saturating_sub(Self::MIN_DELAY);
        let pause = Self::MIN_DELAY + span.mul_f64(random.f64());
        self.previous = pause.min(Self::MAX_DELAY);
        self.previous
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Attempt {
    /// Class of the batch.
    pub class: class::Class,
    /// Whether the batch belongs to an open transaction, so that it cannot run on another
    /// connection.
    pub pinned: bool,
    /// Number of the attempt, starting at 1.
    pub number: u32,
    /// Deadline of the request.
    pub deadline: id::Time,
}

/// Next step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Send the request again after a delay.
    Again {
        /// Length of the delay.
        after: time::Duration,
    },
    /// Return the outcome to the caller.
    GiveUp,
}

/// Decides whether a failed attempt is retried. Takes a retry from the budget only for `Again`.
///
/// A request that may have run is retried only if it is known to be a read: a repeated write
/// could take effect twice, for example as a second booking. The delay is at least the one that
/// the outcome suggests.
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
    let after = backoff.next_delay(random).max(hint);
    if now + after >= attempt.deadline || !budget.take_retry(now) {
        return Decision::GiveUp;
    }
    Decision::Again { after }
}

/// Whether a retry is safe and may have another outcome.
fn is_retryable(attempt: &Attempt, outcome: &outcome::Outcome) -> bool {
    if attempt.pinned {
        return false;
    }
    match (attempt.class, outcome) {
        // The transaction that they would end was lost with its connection.
        (class::Class::Commit | class::Class::Rollback, _) => false,
        (_, outcome::Outcome::NotRun { reason, .. })
        | (class::Class::Read, outcome::Outcome::Unknown { reason, .. }) => is_transient(*reason),
        (_, outcome::Outcome::Unknown { .. }) => false,
    }
}

/// Whether the cause may clear without action. `Overload` is not retried here, since that would
/// add to the load of the queue; the retry is left to the caller.
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
