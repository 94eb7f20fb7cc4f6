//! Refusal of requests that arrive too late to start in time.
//!
//! Addresses bursts of several times the usual load: a request that cannot start before its caller
//! gives up would only wait, while its caller could ask elsewhere or come back later. The estimate
//! counts only what is certainly served before the request. A standing queue serves the newest
//! first, so requests of the same organisation are not counted.

use std::time;

use mangotray::id;

use crate::organisation;
use crate::room::schedule;
use crate::room::turns;

/// Requests that have to be served before their rate is known.
const MIN_SERVED: u32 = 20;

/// A rate is unknown once no request was served for this long.
const MAX_AGE: time::Duration = time::Duration::from_secs(4);

/// A new interval counts in the moving average with a weight of one in this many.
const SMOOTHING_WEIGHT: u32 = 16;

/// A request is refused if its expected wait is this many times the time left for it to start: the
/// rate varies with the kind of the statements.
const CERTAINTY: u32 = 2;

/// Shortest time after which a refused caller is told to come back.
const MIN_RETURN: time::Duration = time::Duration::from_millis(20);

/// The rate at which a queue is served while requests wait.
///
/// ```
/// use mangotray_desk::room::shedding;
/// use std::time::Duration;
/// let mut rate = shedding::Rate::default();
/// let at = |count: u64| Duration::from_millis(10 * count);
/// for count in 1..=20 {
///     assert_eq!(rate.interval(at(count)), None);
///     rate.note(at(count), at(0));
/// }
/// assert_eq!(rate.interval(at(20)), Some(Duration::from_millis(10)));
/// assert_eq!(rate.interval(at(900)), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    interval: time::Duration,
    count: u32,
    last: id::Time,
}

impl Rate {
    /// Records that a request was served at `now`, of a queue in which requests wait since
    /// `backlog_since`.
    pub fn note(&mut self, now: id::Time, backlog_since: id::Time) {
        if now > self.last + MAX_AGE {
            self.count = 0;
        }
        let interval = now.saturating_sub(self.last.max(backlog_since));
        self.interval = if self.count == 0 {
            interval
        } else {
            (self.interval * (SMOOTHING_WEIGHT - 1) + interval) / SMOOTHING_WEIGHT
        };
        self.count = self.count.saturating_add(1);
        self.last = now;
    }

    /// Mean time between two requests that were served, if it is known.
    #[must_use]
    pub fn interval(&self, now: id::Time) -> Option<time::Duration> {
        let known = self.count >= MIN_SERVED && now <= self.last + MAX_AGE;
        known.then_some(self.interval)
    }
}

/// Requests that are certainly served before one that arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Those of a more urgent priority.
    pub more_urgent: u32,
    /// Those of the same priority, of organisations whose turn comes first.
    pub same_priority: u32,
}

impl Ahead {
    /// Counts them among the requests `waiting`, where `organisations` has the organisation of each.
    #[must_use]
    pub fn of(
        turns: &turns::Turns,
        waiting: &[schedule::Entry],
        organisations: &[&organisation::Name],
        organisation: &organisation::Name,
        priority: u8,
    ) -> Self {
        let start = turns.start(organisation);
        let mut ahead = Self::default();
        let mut counted: Vec<(&organisation::Name, time::Duration)> = Vec::new();
        for (entry, name) in waiting.iter().zip(organisations) {
            if entry.urgency.priority < priority {
                ahead.more_urgent += 1;
            } else if entry.urgency.priority == priority && *name != organisation {
                let found = counted.iter().position(|(of, _)| of == name);
                let index = found.unwrap_or_else(|| {
                    counted.push((name, turns.start(name)));
                    counted.len() - 1
                });
                let next = &mut counted[index].1;
                ahead.same_priority += u32::from(*next < start);
                *next += turns::EXPECTED_WORK;
            }
        }
        ahead
    }

    /// Expected wait at one request per `interval`. Less urgent priorities get at least one pick in
    /// [`turns::LESS_URGENT_EVERY`].
    #[must_use]
    pub fn wait(self, interval: time::Duration) -> time::Duration {
        let all = self.more_urgent.saturating_add(self.same_priority);
        let picks = u32::try_from(turns::LESS_URGENT_EVERY).unwrap_or(u32::MAX);
        let reserved = picks.saturating_mul(self.same_priority.saturating_add(1));
        interval.saturating_mul(all.min(reserved))
    }
}

/// When to come back, if a request that has `left` to start is clearly too late; `waiting` is the
/// number of all requests that wait.
///
/// ```
/// use mangotray_desk::room::shedding;
/// use std::time::Duration;
/// let (interval, left) = (Duration::from_millis(10), Duration::from_millis(300));
/// let ahead = |same_priority| shedding::Ahead { more_urgent: 0, same_priority };
/// assert_eq!(shedding::refuse(ahead(50), 80, Some(interval), left), None);
/// let come_back = shedding::refuse(ahead(70), 80, Some(interval), left);
/// assert_eq!(come_back, Some(Duration::from_millis(800)));
/// assert_eq!(shedding::refuse(ahead(70), 80, None, left), None);
/// ```
#[must_use]
pub fn refuse(
    ahead: Ahead,
    waiting: usize,
    interval: Option<time::Duration>,
    left: time::Duration,
) -> Option<time::Duration> {
    let interval = interval?;
    let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
    let backlog = interval.saturating_mul(waiting).max(MIN_RETURN);
    (ahead.wait(interval) > left.saturating_mul(CERTAINTY)).then_some(backlog)
}
