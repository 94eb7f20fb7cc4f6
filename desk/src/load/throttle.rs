//! When a lending node sends a load report over one connection.
//!
//! Addresses many nodes that ask a few lending nodes, as bytes between failure domains cost money:
//! a report is sent when it tells something new, or when the last one will soon be too old.

use std::time;

use mangotray::id;

use crate::load::report;

/// An unchanged report is repeated after this long. A tenth of the time for which it counts at the
/// receiver, so that a node that asks often always has a recent one.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// A report is sent at once if a value changed by more than one part in this many.
const CHANGE_DIVISOR: u16 = 5;

/// Smaller changes, in milliseconds or statements, are within the noise of the estimates.
const LEAST_CHANGE: u16 = 2;

/// Decides which reports are sent over one connection.
///
/// ```
/// use mangotray_desk::load::{report, throttle};
/// use std::time::Duration;
/// let idle = report::Report { waits_ms: [0; 3], exchange_ms: 20, limit: 5 };
/// let busy = report::Report { waits_ms: [0, 0, 30], ..idle };
/// let mut throttle = throttle::Throttle::default();
/// let millis = Duration::from_millis;
/// assert_eq!(throttle.due(idle, millis(0)), Some(idle));
/// assert_eq!(throttle.due(idle, millis(40)), None);
/// assert_eq!(throttle.due(busy, millis(41)), Some(busy));
/// assert_eq!(throttle.due(busy, millis(91)), Some(busy));
/// ```
#[derive(Debug, Default)]
pub struct Throttle {
    last: Option<(report::Report, id::Time)>,
}

impl Throttle {
    /// The report if it is to be sent at `now`, which is then recorded as sent.
    pub fn due(&mut self, report: report::Report, now: id::Time) -> Option<report::Report> {
        let due = self
            .last
            .is_none_or(|(last, sent)| now >= sent + REPEAT_INTERVAL || differs(&last, &report));
        if due {
            self.last = Some((report, now));
        }
        due.then_some(report)
    }
}

fn differs(last: &report::Report, new: &report::Report) -> bool {
    let waits = last.waits_ms.iter().zip(&new.waits_ms);
    let others = [
        (&last.exchange_ms, &new.exchange_ms),
        (&last.limit, &new.limit),
    ];
    waits
        .chain(others)
        .any(|(last, new)| last.abs_diff(*new) > (last / CHANGE_DIVISOR).max(LEAST_CHANGE))
}
