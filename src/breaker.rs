//! Circuit breaker of one instance.
//!
//! Without it, every request to an instance that hangs waits until its deadline, holding a slot
//! and blocking its caller. After a number of failures in a row, or a high failure ratio in a
//! sliding window, the breaker opens and refuses requests at once. After a pause it admits one
//! trial request, and closes again when the trial succeeds.

use std::collections;
use std::time;

use crate::id;

/// Number of buckets that the sliding window is divided into.
const BUCKETS_PER_WINDOW: u32 = 10;

/// Thresholds for opening the breaker, and the length of its pauses.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Number of failures in a row that opens the breaker.
    pub consecutive: u32,
    /// Length of the sliding window for the failure ratio.
    #[serde(with = "humantime_serde")]
    pub window: time::Duration,
    /// Minimum number of results in the window for the failure ratio to be used.
    pub samples: u32,
    /// Failure ratio in the window that opens the breaker, in percent.
    pub percent: u32,
    /// Pause before the first trial, before jitter.
    #[serde(with = "humantime_serde")]
    pub pause: time::Duration,
    /// Maximum pause, before jitter; each failed trial doubles the pause up to this limit. Also
    /// the time after which a trial without a result is replaced.
    #[serde(with = "humantime_serde")]
    pub ceiling: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            consecutive: 5,
            window: time::Duration::from_secs(10),
            samples: 20,
            percent: 50,
            pause: time::Duration::from_millis(200),
            ceiling: time::Duration::from_secs(5),
        }
    }
}

/// Permission to send one request; passed back with the request's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    epoch: u64,
}

/// State of the breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Requests are admitted.
    Closed,
    /// No request is admitted before `until`.
    Open {
        /// Earliest time of the next trial.
        until: id::Time,
    },
    /// One trial request is running; it is considered lost at `until`.
    HalfOpen {
        /// When another trial may start if the running one has reported no result.
        until: id::Time,
    },
}

/// Results of one part of the sliding window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: id::Time,
    successes: u32,
    failures: u32,
}

/// Circuit breaker of one instance; not shared between threads.
///
/// ```
/// use std::time::Duration;
/// use mangotray::breaker;
/// let mut random = fastrand::Rng::with_seed(1);
/// let mut breaker = breaker::Breaker::new(breaker::Limits::default());
/// for _ in 0..5 {
///     let permit = breaker.permit(Duration::ZERO).unwrap();
///     breaker.record_failure(permit, Duration::ZERO, &mut random);
/// }
/// assert!(breaker.permit(Duration::ZERO).is_none());
/// let later = Duration::from_secs(1);
/// let trial = breaker.permit(later).unwrap();
/// assert!(breaker.permit(later).is_none());
/// breaker.record_success(trial, later);
/// assert!(breaker.permit(later).is_some());
/// ```
#[derive(Debug)]
pub struct Breaker {
    limits: Limits,
    state: State,
    /// Incremented with each change of state. Results of requests from an earlier epoch are
    /// ignored; otherwise a late answer to a request sent before the breaker opened would close
    /// it, although it says nothing about the instance's current state.
    epoch: u64,
    consecutive_failures: u32,
    buckets: collections::VecDeque<Bucket>,
    pause: time::Duration,
}

impl Breaker {
    /// A closed breaker.
    ///
    /// ```
    /// use mangotray::breaker;
    /// let breaker = breaker::Breaker::new(breaker::Limits::default());
    /// assert_eq!(breaker.state(), breaker::State::Closed);
    /// ```
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let pause = limits.pause;
        Self {
            limits,
            state: State::Closed,
            epoch: 0,
            consecutive_failures: 0,
            buckets: collections::VecDeque::new(),
            pause,
        }
    }

    /// The state as of the last call.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a request sent at `now` would be admitted. Doesn't start a trial.
    #[must_use]
    pub fn admits(&self, now: id::Time) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } | State::HalfOpen { until } => until <= now,
        }
    }

    /// Returns a permit for one request, or `None` while the breaker is open or a trial is
    /// running.
    ///
    /// A trial that reports no result is replaced after `Limits::ceiling`: a trial whose caller
    /// disconnected would otherwise exclude the instance for good.
    pub fn permit(&mut self, now: id::Time) -> Option<Permit> {
        if !self.admits(now) {
            return None;
        }
        if self.state != State::Closed {
            self.enter(State::HalfOpen {
                until: now + self.limits.ceiling,
            });
        }
        Some(Permit { epoch: self.epoch })
    }

    /// Records that the request was answered. Closes the breaker if the request was the trial.
    pub fn record_success(&mut self, permit: Permit, now: id::Time) {
        if permit.epoch != self.epoch {
            return;
        }
        self.consecutive_failures = 0;
        self.pause = self.limits.pause;
        match self.state {
            State::Closed => self.bucket(now).successes += 1,
            State::Open { .. } | State::HalfOpen { .. } => self.close(),
        }
    }

    /// Records that the request failed, which may open the breaker. `random` adds jitter to the
    /// pause, so that the trials of many proxies don't reach a recovering instance all at once.
    pub fn record_failure(&mut self, permit: Permit, now: id::Time, random: &mut fastrand::Rng) {
        if permit.epoch != self.epoch {
            return;
        }
        if self.state != State::Closed {
            self.pause = (self.pause * 2).min(self.limits.ceiling);
            self.open(now, random);
            return;
        }
        self.consecutive_failures += 1;
        self.bucket(now).failures += 1;
        if self.consecutive_failures >= self.limits.consecutive || self.ratio_exceeded(now) {
            self.open(now, random);
        }
    }

    fn enter(&mut self, state: State) {
        self.state = state;
        self.epoch += 1;
    }

    fn close(&mut self) {
        self.buckets.clear();
        self.enter(State::Closed);
    }

    /// Opens the breaker for a random time between 0.5 and 1.5 times the current pause.
    fn open(&mut self, now: id::Time, random: &mut fastrand::Rng) {
        self.consecutive_failures = 0;
        let pause = self.pause.mul_f64(0.5 + random.f64());
        self.enter(State::Open { until: now + pause });
    }

    fn ratio_exceeded(&mut self, now: id::Time) -> bool {
        self.drop_expired(now);
        let failures: u32 = self.buckets.iter().map(|bucket| bucket.failures).sum();
        let successes: u32 = self.buckets.iter().map(|bucket| bucket.successes).sum();
        let samples = failures + successes;
        samples >= self.limits.samples && failures * 100 >= samples * self.limits.percent
    }

    fn drop_expired(&mut self, now: id::Time) {
        let window = self.limits.window;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.start + window <= now)
        {
            self.buckets.pop_front();
        }
    }

    /// Returns the bucket for `now`. Counting per bucket instead of storing each result keeps
    /// memory use bounded.
    fn bucket(&mut self, now: id::Time) -> &mut Bucket {
        self.drop_expired(now);
        let width = self.limits.window / BUCKETS_PER_WINDOW;
        let expired = self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.start + width <= now);
        if expired {
            self.buckets.push_back(Bucket {
                start: now,
                successes: 0,
                failures: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}

#[cfg(test)]
mod tests;
