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
const STANDING: time::Duration = time::Duration::from_millis(80);

/// One turn in this many of a standing queue goes to the least urgent kind that waits: without it
/// that kind would starve while the others keep an instance busy, and much more often would cost
/// the urgent more than it gains.
const FAIR: u64 = 20;

/// One that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// How urgent it is.
    pub urgency: urgency::Urgency,
    /// Rises with each arrival.
    pub number: u64,
    /// When it arrived.
    pub since: id::Time,
}

impl Place {
    const fn kind(&self) -> (u8, time::Duration) {
        (self.urgency.priority, self.urgency.objective)
    }
}

fn soonest(waiting: &[Place]) -> Option<usize> {
    let rank = |place: &Place| (place.urgency.priority, place.urgency.due, place.number);
    (0..waiting.len()).min_by_key(|index| rank(&waiting[*index]))
}

fn newest_of(waiting: &[Place], kind: (u8, time::Duration)) -> Option<usize> {
    let same = (0..waiting.len()).filter(|index| waiting[*index].kind() == kind);
    same.max_by_key(|index| waiting[*index].number)
}

/// Index of the one that goes next; `turn` counts those that went before.
///
/// ```
/// use mangotray_desk::{order, urgency};
/// use std::time::Duration;
/// let place = |number| order::Place {
///     urgency: urgency::Urgency::default(),
///     number,
///     since: Duration::ZERO,
/// };
/// let waiting = [place(1), place(2)];
/// assert_eq!(order::next(&waiting, Duration::from_millis(10), 1), Some(0));
/// assert_eq!(order::next(&waiting, Duration::from_millis(200), 1), Some(1));
/// ```
#[must_use]
pub fn next(waiting: &[Place], now: id::Time, turn: u64) -> Option<usize> {
    let oldest = waiting.iter().map(|place| place.since).min()?;
    if now.saturating_sub(oldest) <= STANDING {
        return soonest(waiting);
    }
    let kinds = waiting.iter().map(Place::kind);
    let kind = if turn.is_multiple_of(FAIR) {
        kinds.max()?
    } else {
        kinds.min()?
    };
    newest_of(waiting, kind)
}
