//! How long a statement may wait, and how urgent it is.

use std::time;

use mangotray::id;

use crate::catalog;
use crate::urgency;

/// Part of a statement's timeout for which it may wait for an instance to be reached. A
/// caller that is refused early can still ask another node in time; one that is kept
/// waiting to the end cannot.
const WAIT_PERCENT: u32 = 40;

/// Part of a route's objective for which a statement waits where this node has reached no
/// instance of the group for a second. Its caller's next try goes to another node, which may
/// stand on the other side of the cut; the sooner, the better.
const UNREACHABLE_PERCENT: u32 = 20;

/// A group without a primary for this long goes without one for longer: the lease of a promoter
/// that is lost ends within two seconds, its successor acts 0.7 s later, sees within 0.6 s
/// that the primary is silent, and a promotion takes 0.6 s. What lasts beyond, as a promotion
/// that is held back or a store that is away, a caller does better to sit out elsewhere.
const LONG_VACANCY: time::Duration = time::Duration::from_secs(6);

/// When a caller that was refused for want of a primary should come back: promoters try again
/// about once a second, and callers have two or three tries in all.
pub const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Whether a group that has had no primary since `since` will have none for a while, so that
/// what needs one is refused at once.
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

/// Part of a statement's timeout for which it may wait behind others. Where more is asked
/// than the instances can do, waiting longer serves nobody else instead, and callers with
/// one second and three tries would see it end in the middle of the third.
pub const QUEUE_PERCENT: u32 = 22;

/// Until when a statement that arrived at `arrived` may wait for an instance, on a node that
/// has lost its whole group or not.
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
/// assert_eq!(deadline::urgency_in_transaction(&route, Duration::ZERO).until, Duration::from_millis(800));
/// ```
#[must_use]
pub fn for_instance(route: &catalog::Route, arrived: id::Time, unreachable: bool) -> id::Time {
    if unreachable {
        arrived + route.objective * UNREACHABLE_PERCENT / 100
    } else {
        arrived + route.timeout * WAIT_PERCENT / 100
    }
}

/// The urgency of a statement outside of a transaction, or of its first one.
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

/// The urgency of a statement inside a transaction. It has had its place: were it refused,
/// all the work that the transaction has done would be lost.
#[must_use]
pub fn urgency_in_transaction(route: &catalog::Route, arrived: id::Time) -> urgency::Urgency {
    urgency::Urgency {
        until: arrived + route.timeout,
        ..urgency(route, arrived)
    }
}
