//! Picks the queued request that is served next.
//!
//! A short queue is served by priority and due time. Serving a standing queue in order would make
//! every answer late: the request that is served has waited longest, and each new one waits as
//! long. A standing queue is therefore served newest first: as many requests are served, and most
//! of them in time. Within a priority, routes with a shorter objective come first, as callers of
//! the other routes are still served in time a second later.

use std::time;

use mangotray::id;

use crate::urgency;

/// A queue is standing when its oldest request has waited longer than this: half of the time in
/// which a booking is due, and longer than a burst of a few requests takes.
const STANDING_QUEUE_AGE: time::Duration = time::Duration::from_millis(80);

/// In a standing queue, one pick in this many takes the least urgent class, which would otherwise
/// starve while the others keep an instance busy. A much lower value would cost the urgent classes
/// more than it gains.
const LEAST_URGENT_EVERY: u64 = 20;

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Urgency of the request.
    pub urgency: urgency::Urgency,
    /// Sequence number, increasing with each arrival.
    pub number: u64,
    /// Time of arrival.
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

/// Returns the index of the request to serve next; `served` counts those that were served before.
///
/// ```
/// use mangotray_desk::{room::schedule, urgency};
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
    if !is_standing(waiting, now) {
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

/// Whether the oldest of these requests has waited so long that they form a standing queue.
///
/// ```
/// use mangotray_desk::{room::schedule, urgency};
/// use std::time::Duration;
/// let waiting = [schedule::Entry {
///     urgency: urgency::Urgency::default(),
///     number: 1,
///     since: Duration::ZERO,
/// }];
/// assert!(!schedule::is_standing(&waiting, Duration::from_millis(80)));
/// assert!(schedule::is_standing(&waiting, Duration::from_millis(81)));
/// ```
#[must_use]
pub fn is_standing(waiting: &[Entry], now: id::Time) -> bool {
    let oldest = waiting.iter().map(|entry| entry.since).min();
    oldest.is_some_and(|oldest| now.saturating_sub(oldest) > STANDING_QUEUE_AGE)
}
