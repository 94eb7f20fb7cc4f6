//! Circuit breaker of one instance.
//!
//! What goes wrong without it: an instance that hangs keeps every request for its whole
//! deadline, and each holds a slot and a caller. The breaker refuses at once after a few
//! failures, lets one trial through after a pause, and closes again when it succeeds.

use std::collections;
use std::time;

use crate::id;

const BUCKETS_PER_WINDOW: u32 = 10;

/// When the breaker opens and for how long.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Failures in a row that open it.
    pub consecutive: u32,
    /// Length of the sliding window for the failure ratio.
    #[serde(with = "humantime_serde")]
    pub window: time::Duration,
    /// Samples in the window below which the ratio says nothing.
    pub samples: u32,
    /// Failures in the window that open it, in percent.
    pub percent: u32,
    /// First pause before a trial.
    #[serde(with = "humantime_serde")]
    pub pause: time::Duration,
    /// Longest pause; each failed trial doubles the pause up to it.
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

/// Leave to send one request; handed back with its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    epoch: u64,
}

/// State of the breaker at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Requests pass.
    Closed,
    /// No request passes before `until`.
    Open {
        /// Time of the next trial.
        until: id::Time,
    },
    /// One trial request is under way; given up for lost at `until`.
    HalfOpen {
        /// When another trial may start if the first never reports.
        until: id::Time,
    },
}

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
///     breaker.failure(permit, Duration::ZERO, &mut random);
/// }
/// assert!(breaker.permit(Duration::ZERO).is_none());
/// let later = Duration::from_secs(1);
/// let trial = breaker.permit(later).unwrap();
/// assert!(breaker.permit(later).is_none());
/// breaker.success(trial, later);
/// assert!(breaker.permit(later).is_some());
/// ```
#[derive(Debug)]
pub struct Breaker {
    limits: Limits,
    state: State,
    /// Grows with each change of state. A result from before the change says nothing
    /// about the instance now: without it, an answer that was on its way when the
    /// breaker opened would close it.
    epoch: u64,
    consecutive: u32,
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
            consecutive: 0,
            buckets: collections::VecDeque::new(),
            pause,
        }
    }

    /// The state as of the last call.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a request sent now would be let through; takes no trial.
    #[must_use]
    pub fn passes(&self, now: id::Time) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } | State::HalfOpen { until } => until <= now,
        }
    }

    /// Leave for one request, or `None` while the breaker is open or on trial.
    ///
    /// A permit of a trial that never reports is replaced after a pause: a trial whose
    /// caller went away would otherwise keep the instance out for ever.
    pub fn permit(&mut self, now: id::Time) -> Option<Permit> {
        if !self.passes(now) {
            return None;
        }
        if self.state != State::Closed {
            self.enter(State::HalfOpen {
                until: now + self.limits.ceiling,
            });
        }
        Some(Permit { epoch: self.epoch })
    }

    /// The request was answered; closes the breaker if it was the trial.
    pub fn success(&mut self, permit: Permit, now: id::Time) {
        if permit.epoch != self.epoch {
            return;
        }
        self.consecutive = 0;
        self.pause = self.limits.pause;
        match self.state {
            State::Closed => self.bucket(now).successes += 1,
            State::Open { .. } | State::HalfOpen { .. } => self.close(),
        }
    }

    /// The request failed; may open the breaker. `random` spreads the trials of many
    /// proxies, which would otherwise all meet the recovering instance at once.
    pub fn failure(&mut self, permit: Permit, now: id::Time, random: &mut fastrand::Rng) {
        if permit.epoch != self.epoch {
            return;
        }
        if self.state != State::Closed {
            self.pause = (self.pause * 2).min(self.limits.ceiling);
            self.open(now, random);
            return;
        }
        self.consecutive += 1;
        self.bucket(now).failures += 1;
        if self.consecutive >= self.limits.consecutive || self.ratio_exceeded(now) {
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

    /// Waits between half a pause and a whole one and a half.
    fn open(&mut self, now: id::Time, random: &mut fastrand::Rng) {
        self.consecutive = 0;
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

    /// The bucket of this moment; counts per bucket keep the memory bounded.
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
