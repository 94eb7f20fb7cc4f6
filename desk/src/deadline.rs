//! How long statements may wait, and how urgent they are, by their route.

use std::time;

use mangotray::id;

use crate::catalog;
use crate::urgency;

/// Percentage of a statement's timeout for which it may wait until an instance can be reached. A
/// caller that is refused early can still ask another node in time; one that waits to the end
/// cannot.
const WAIT_PERCENT: u32 = 40;

/// Percentage of a route's objective for which a statement waits if this node has reached no
/// instance of the group for a second. The caller's next try goes to another node, which may be on
/// the other side of a network partition, so it should come soon.
const UNREACHABLE_PERCENT: u32 = 20;

/// A group that has had no primary for this long is expected to have none for a while longer. The
/// lease of a promoter that is lost ends within two seconds, its successor acts 0.7 s later and
/// detects within 0.6 s that the primary is silent, and a promotion takes 0.6 s. If it takes
/// longer, as when a promotion is held back or the store is unavailable, the caller is better
/// refused at once than kept waiting here.
const LONG_VACANCY: time::Duration = time::Duration::from_secs(6);

/// When a caller that was refused for lack of a primary should retry: promoters retry about once a
/// second, and callers have two or three tries in all.
pub const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Returns whether a group that has had no primary since `since` will probably have none for a
/// while, so that statements that need one are refused at once.
///
/// ```
/// use mangotray_desk::deadline;
/// use std::time::Duration;
/// let second = Duration::from_secs(1);
/// assert!(!deadline::is_vacant(Some(second), 3 * second));
/// assert!(deadline::is_vacant(Some(second), 8 * second));
/// assert!(!deadline::is_vacant(None, 8 * second));
/// ```
#[must_use]
pub fn is_vacant(since: Option<id::Time>, now: id::Time) -> bool {
    since.is_some_and(|since| now > since + LONG_VACANCY)
}

/// Percentage of a statement's timeout for which it may wait in a queue. Under overload a longer
/// wait would not let more statements be served, and callers with one second for three tries would
/// see it end in the middle of the third.
pub const QUEUE_PERCENT: u32 = 22;

/// Returns until when a statement that arrived at `arrived` may wait for an instance. With
/// `unreachable`, no instance of the group can be reached, or the group has had no primary for
/// long.
///
/// ```
/// use mangotray_desk::{catalog, deadline};
/// use std::time::Duration;
/// let route = catalog::Route {
///     version: 1,
///     database: "desk".into(),
///     group: "bookings".into(),
///     freshness: catalog::Freshness::Current,
///     timeout: Duration::from_millis(800),
///     objective: Duration::from_millis(200),
///     priority: 1,
///     public: false,
/// };
/// assert_eq!(deadline::for_instance(&route, Duration::ZERO, false), Duration::from_millis(320));
/// assert_eq!(deadline::for_instance(&route, Duration::ZERO, true), Duration::from_millis(40));
/// assert_eq!(deadline::urgency(&route, Duration::ZERO).until, Duration::from_millis(176));
/// assert_eq!(
///     deadline::urgency_in_transaction(&route, Duration::ZERO).until,
///     Duration::from_millis(800)
/// );
/// ```
#[must_use]
pub fn for_instance(route: &catalog::Route, arrived: id::Time, unreachable: bool) -> id::Time {
    if unreachable {
        arrived + route.objective * UNREACHABLE_PERCENT / 100
    } else {
        arrived + route.timeout * WAIT_PERCENT / 100
    }
}

/// Returns the urgency of a statement outside of a transaction, or of a transaction's first
/// statement.
#[must_use]
pub fn urgency(route: &catalog::Route, arrived: id::Time) -> urgency::Urgency {
    urgency::Urgency {
        priority: route.priority,
        objective: route.objective,
        due: arrived + route.objective,
        until: arrived + route.timeout * QUEUE_PERCENT / 100,
        awaited: arrived + route.timeout,
    }
}

/// Returns the urgency of a statement inside of a transaction, which may start until the route's
/// timeout is over: a refusal would lose all the work that the transaction has done.
#[must_use]
pub fn urgency_in_transaction(route: &catalog::Route, arrived: id::Time) -> urgency::Urgency {
    urgency::Urgency {
        until: arrived + route.timeout,
        ..urgency(route, arrived)
    }
}
