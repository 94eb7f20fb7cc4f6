//! Who of those that wait for something scarce goes next.
//!
//! Once a queue stands, serving it in order makes everybody late: those that are served
//! have waited the longest, and those that come wait as long. The newest go first then:
//! as many are served, most of them in time. Routes with the shorter objective go before
//! those whose callers are still served well a second later.

use std::time;

use mangotray::id;

use crate::urgency;

/// A queue whose oldest request has waited this long stands: it is half of the time in which
/// a booking is due, and longer than a burst of a few requests takes.
const STANDING_QUEUE_AGE: time::Duration = time::Duration::from_millis(80);

/// One turn in this many of a standing queue goes to the least urgent kind that waits: without it
/// that kind would starve while the others keep an instance busy, and much more often would cost
/// the urgent more than it gains.
const LEAST_URGENT_EVERY: u64 = 20;

/// One that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// How urgent it is.
    pub urgency: urgency::Urgency,
    /// Rises with each arrival.
    pub number: u64,
    /// When it arrived.
    pub since: id::Time,
}

impl Entry {
    const fn class(&self) -> (u8, time::Duration) {
        (self.urgency.priority, self.urgency.objective)
    }
}

fn earliest_due(waiting: &[Entry]) -> Option<usize> {
    let rank = |entry: &Entry| (entry.urgency.priority, entry.urgency.due, entry.number);
    (0..waiting.len()).min_by_key(|index| rank(&waiting[*index]))
}

fn newest_in_class(waiting: &[Entry], class: (u8, time::Duration)) -> Option<usize> {
    let same = (0..waiting.len()).filter(|index| waiting[*index].class() == class);
    same.max_by_key(|index| waiting[*index].number)
}

/// Index of the one that goes next; `served` counts those that went before.
///
/// ```
/// use mangotray_desk::{schedule, urgency};
/// use std::time::Duration;
/// let entry = |number| schedule::Entry {
///     urgency: urgency::Urgency::default(),
///     number,
///     since: Duration::ZERO,
/// };
/// let waiting = [entry(1), entry(2)];
/// assert_eq!(schedule::next(&waiting, Duration::from_millis(10), 1), Some(0));
/// assert_eq!(schedule::next(&waiting, Duration::from_millis(200), 1), Some(1));
/// ```
#[must_use]
pub fn next(waiting: &[Entry], now: id::Time, served: u64) -> Option<usize> {
    let oldest = waiting.iter().map(|entry| entry.since).min()?;
    if now.saturating_sub(oldest) <= STANDING_QUEUE_AGE {
        return earliest_due(waiting);
    }
    let classes = waiting.iter().map(Entry::class);
    let class = if served.is_multiple_of(LEAST_URGENT_EVERY) {
        classes.max()?
    } else {
        classes.min()?
    };
    newest_in_class(waiting, class)
}
