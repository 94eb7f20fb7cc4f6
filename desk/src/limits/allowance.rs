//! Tokens of one organisation at a node that holds shares of its limit.
//!
//! Addresses an organisation whose limit is used by several nodes at once, for example on both
//! sides of a network partition. Each share has a token bucket of its own, which is empty whenever
//! the share changes hands. One node at a time holds a share, so all nodes together never grant more
//! than the limit allows.

use std::collections;
use std::time;

use mangotray::id;

use crate::limits::bucket;
use crate::limits::quota;
use crate::limits::tolerance;
use crate::limits::view;

/// Fraction of the tolerated excess that the nodes of a shard together may grant per window while
/// they do not hold all shares.
const INTERIM_FRACTION: f64 = 0.7;

/// Part of that fraction which may be granted at once.
const INTERIM_BURST_FRACTION: f64 = 0.2;

/// Fraction of the tolerated excess that may be used so that a holder of few shares can save up a
/// whole token, although its part of the burst is below 1.
const ROUNDING_FRACTION: f64 = 0.25;

/// Allowances that are unused for this long are removed once they are full.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// Time for which a denied node is counted among those that wait for a token.
const DENIED_MEMORY: time::Duration = time::Duration::from_secs(1);

/// Shortest delay after which a denied node asks again; less would cost a request per operation.
pub const MIN_DELAY: time::Duration = time::Duration::from_millis(20);

/// Longest delay after which a denied node asks again; it notices a raised limit by then.
pub const MAX_DELAY: time::Duration = time::Duration::from_secs(1);

/// Compensates for rounding when fractions of a token are added up.
const ROUNDING: f64 = 1e-9;

/// A share that a node may use now.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// Its owner.
    pub owner: id::Vm,
    /// Time from which on its tokens count.
    pub since: id::Time,
    /// Part of the limit.
    pub fraction: f64,
}

#[derive(Clone, Copy, Debug)]
struct Level {
    tokens: f64,
    refilled_at: id::Time,
}

/// The tokens of one organisation at one node.
#[derive(Clone, Debug)]
pub struct Allowance {
    levels: collections::BTreeMap<id::Vm, Level>,
    interim: bucket::Bucket,
    denied: collections::BTreeMap<id::Vm, id::Time>,
    quota: quota::Quota,
    last_used: id::Time,
}

impl Allowance {
    /// Creates the allowance of an organisation at a node that owns a share since `since`. Its part
    /// of the tolerated excess is empty at that time.
    #[must_use]
    pub const fn new(quota: quota::Quota, since: id::Time) -> Self {
        Self {
            levels: collections::BTreeMap::new(),
            interim: bucket::Bucket::new(0.0, since),
            denied: collections::BTreeMap::new(),
            quota,
            last_used: since,
        }
    }

    /// Takes a token of the shares that this node holds.
    ///
    /// # Errors
    /// The delay until they have the next token, if there is none now.
    ///
    /// ```
    /// use mangotray_desk::{limits::allowance, limits::quota, limits::tolerance};
    /// use std::time::Duration;
    /// let quota = quota::Quota { rate: 10.0, burst: 10.0 };
    /// let tolerance = tolerance::Tolerance::default();
    /// let mut allowance = allowance::Allowance::new(quota, Duration::ZERO);
    /// let held = [allowance::Held { owner: "a".into(), since: Duration::ZERO, fraction: 0.2 }];
    /// let half = Duration::from_millis(500);
    /// assert_eq!(allowance.take(&quota, &tolerance, &held, half), Ok(()));
    /// assert_eq!(allowance.take(&quota, &tolerance, &held, half), Err(half));
    /// ```
    pub fn take(
        &mut self,
        quota: &quota::Quota,
        tolerance: &tolerance::Tolerance,
        held: &[Held],
        now: id::Time,
    ) -> Result<(), time::Duration> {
        self.last_used = now;
        self.quota = *quota;
        let total = self.refill(quota, tolerance, held, now);
        if total + ROUNDING < 1.0 {
            let rate = quota.rate * fraction(held);
            let missing = (1.0 - total) / rate;
            return Err(time::Duration::try_from_secs_f64(missing).unwrap_or(time::Duration::MAX));
        }
        let left = (total - 1.0).max(0.0) / total;
        for share in held {
            if let Some(level) = self.levels.get_mut(&share.owner) {
                level.tokens *= left;
            }
        }
        Ok(())
    }

    // Brings the buckets of the held shares up to date; returns the sum of their tokens.
    fn refill(
        &mut self,
        quota: &quota::Quota,
        tolerance: &tolerance::Tolerance,
        held: &[Held],
        now: id::Time,
    ) -> f64 {
        let least = least_capacity(quota, tolerance, held);
        self.levels
            .retain(|owner, _| held.iter().any(|share| share.owner == *owner));
        let mut total = 0.0;
        for share in held {
            let start = Level {
                tokens: 0.0,
                refilled_at: share.since,
            };
            let level = self.levels.entry(share.owner.clone()).or_insert(start);
            // The share was in other hands since the last use.
            if level.refilled_at < share.since {
                *level = start;
            }
            let capacity = (quota.burst * share.fraction).max(least);
            let elapsed = now.saturating_sub(level.refilled_at).as_secs_f64();
            let refilled = level.tokens + elapsed * quota.rate * share.fraction;
            level.tokens = refilled.min(capacity);
            level.refilled_at = level.refilled_at.max(now);
            total += level.tokens;
        }
        total
    }

    /// Takes a token of the tolerated excess, for a node that does not hold all shares.
    ///
    /// # Errors
    /// The delay until the next token, if there is none now.
    pub fn take_interim(
        &mut self,
        quota: &quota::Quota,
        tolerance: &tolerance::Tolerance,
        now: id::Time,
    ) -> Result<(), time::Duration> {
        let part =
            tolerance.excess_operations(quota) * INTERIM_FRACTION / f64::from(view::MAX_RANKED);
        // A bucket has to hold a whole token.
        let burst = (part * INTERIM_BURST_FRACTION).max(1.0);
        if part <= burst {
            return Err(time::Duration::MAX);
        }
        let rate = (part - burst) / tolerance.window.as_secs_f64();
        self.interim.take(&quota::Quota { rate, burst }, now)
    }

    /// Delay after which the node `from` asks again for an organisation that is over its limit:
    /// each node that was denied lately gets a token in turn. `random` is between 0 and 1.
    pub fn deny(
        &mut self,
        from: &id::Vm,
        next: time::Duration,
        random: f64,
        now: id::Time,
    ) -> time::Duration {
        self.denied
            .retain(|_, at| now.saturating_sub(*at) < DENIED_MEMORY);
        self.denied.insert(from.clone(), now);
        let waiting = f64::from(u32::try_from(self.denied.len()).unwrap_or(u32::MAX));
        let turn = waiting / self.quota.rate * (0.75 + 0.5 * random);
        let turn = time::Duration::try_from_secs_f64(turn).unwrap_or(MAX_DELAY);
        turn.max(next).clamp(MIN_DELAY, MAX_DELAY)
    }

    /// Whether the allowance may be forgotten: it is unused, and its shares are full.
    #[must_use]
    pub fn is_idle(&self, now: id::Time) -> bool {
        let idle = now.saturating_sub(self.last_used);
        idle >= IDLE_TIMEOUT && idle.as_secs_f64() * self.quota.rate >= self.quota.burst
    }
}

/// Part of the limit that these shares make up.
///
/// ```
/// use mangotray_desk::limits::allowance;
/// assert!(allowance::fraction(&[]).abs() < f64::EPSILON);
/// ```
#[must_use]
pub fn fraction(held: &[Held]) -> f64 {
    held.iter().map(|share| share.fraction).sum()
}

/// Whether these shares make up the whole limit.
#[must_use]
pub fn is_whole(held: &[Held]) -> bool {
    fraction(held) + ROUNDING >= 1.0
}

// With a capacity below 1 in total, the shares could never hold a whole token.
fn least_capacity(quota: &quota::Quota, tolerance: &tolerance::Tolerance, held: &[Held]) -> f64 {
    let shares = f64::from(u32::try_from(held.len()).unwrap_or(u32::MAX));
    let tolerated = tolerance.excess_operations(quota) * ROUNDING_FRACTION;
    let parts = 1.0 / held.first().map_or(1.0, |share| share.fraction);
    if is_whole(held) || tolerated >= parts {
        1.0 / shares
    } else {
        0.0
    }
}
