//! Bounds the connections of one instance on which transactions are open.
//!
//! Addresses callers that are idle in transaction: each occupies a connection without using a slot,
//! until short statements find none. A transaction begins only when it gets one of a limited number
//! of places, which leave a connection for each statement within the concurrency limit and one for
//! the node's own requests. None is ended for this.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use mangotray::id;

use crate::boot;
use crate::organisation;
use crate::room::queue;
use crate::urgency;

/// A transaction that was idle for this long may be abandoned, so that only the idle timeout
/// certainly ends it. One with a shorter pause may commit at any moment.
const ABANDONED_AFTER: time::Duration = time::Duration::from_secs(1);

/// An open transaction.
#[derive(Clone, Debug)]
pub struct Open {
    /// Organisation of its caller.
    pub organisation: organisation::Name,
    /// End of its last statement; `None` while one runs.
    pub idle_since: Option<id::Time>,
}

/// Largest number of open transactions on so many connections with this concurrency limit.
///
/// ```
/// use mangotray_desk::room::transactions;
/// assert_eq!(transactions::bound(9, 5), 3);
/// assert_eq!(transactions::bound(2, 2), 1);
/// ```
#[must_use]
pub fn bound(max_connections: usize, window: usize) -> usize {
    max_connections.saturating_sub(window + 1).max(1)
}

/// Whether an organisation may have one more of `bound` transactions, as far as its share goes:
/// while others wait, it has at most half of them, rounded up.
///
/// ```
/// use mangotray_desk::room::transactions;
/// let open = transactions::Open { organisation: "a".into(), idle_since: None };
/// let open = [open.clone(), open];
/// assert!(transactions::within_share(&open, &"a".into(), 4, false));
/// assert!(!transactions::within_share(&open, &"a".into(), 4, true));
/// assert!(transactions::within_share(&open, &"b".into(), 4, true));
/// ```
#[must_use]
pub fn within_share(
    open: &[Open],
    organisation: &organisation::Name,
    bound: usize,
    others_wait: bool,
) -> bool {
    let own = open.iter().filter(|one| one.organisation == *organisation);
    !others_wait || own.count() < bound.div_ceil(2)
}

/// The earliest time at which one of these transactions certainly ends, if none may commit at any
/// moment; `idle_timeout` ends those that are idle for longer.
///
/// ```
/// use mangotray_desk::room::transactions;
/// use std::time::Duration;
/// let idle = |since| transactions::Open {
///     organisation: "a".into(),
///     idle_since: Some(Duration::from_secs(since)),
/// };
/// let (timeout, now) = (Some(Duration::from_secs(3)), Duration::from_secs(9));
/// let end = transactions::earliest_end(&[idle(7), idle(8)], timeout, now);
/// assert_eq!(end, Some(Duration::from_secs(10)));
/// assert_eq!(transactions::earliest_end(&[idle(7), idle(9)], timeout, now), None);
/// ```
#[must_use]
pub fn earliest_end(
    open: &[Open],
    idle_timeout: Option<time::Duration>,
    now: id::Time,
) -> Option<id::Time> {
    let abandoned = |one: &Open| {
        let since = one.idle_since?;
        (now >= since + ABANDONED_AFTER).then_some(since)
    };
    let since: Option<Vec<_>> = open.iter().map(abandoned).collect();
    Some(since?.into_iter().min()? + idle_timeout?)
}

/// Why a transaction did not get a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// None came free until the deadline.
    Late,
    /// None comes free before this time, which is after the deadline.
    Until(id::Time),
}

/// Bounds within which transactions get places.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Largest number of open transactions.
    pub(crate) count: usize,
    /// Idle time after which a transaction is ended.
    pub(crate) idle_timeout: Option<time::Duration>,
}

/// The open transactions of one instance's connections, and those that wait for a place.
#[derive(Default)]
pub(crate) struct Transactions {
    open: cell::RefCell<collections::BTreeMap<u64, Open>>,
    /// Number of the next transaction.
    number: cell::Cell<u64>,
    waiting: queue::Queue,
    /// Number of places when it was last asked for one.
    bound: cell::Cell<usize>,
}

impl Transactions {
    /// Waits for a place until the statement's latest start or the deadline of its answer.
    pub(crate) async fn acquire(
        self: &rc::Rc<Self>,
        urgency: urgency::Urgency,
        organisation: &organisation::Name,
        bounds: Bounds,
    ) -> Result<Place, Refusal> {
        let deadline = urgency.until.min(urgency.awaited);
        let since = boot::now();
        self.waiting.set_fair(true);
        self.bound.set(bounds.count);
        let mut woken = false;
        loop {
            self.fill();
            if self.has_place(woken) {
                if !woken {
                    self.waiting.charge(organisation);
                }
                return Ok(self.open(organisation));
            }
            if woken {
                // The bound has shrunk since it was woken.
                self.waiting.settle(organisation, time::Duration::ZERO);
            }
            let end = earliest_end(&self.list(), bounds.idle_timeout, boot::now());
            if let Some(end) = end.filter(|end| *end > deadline) {
                return Err(Refusal::Until(end));
            }
            let waited = self.waiting.wait(organisation, urgency, since, deadline);
            if !waited.await {
                return Err(Refusal::Late);
            }
            woken = true;
        }
    }

    /// Number of open transactions.
    pub(crate) fn count(&self) -> usize {
        self.open.borrow().len()
    }

    fn has_place(&self, woken: bool) -> bool {
        let reserved = if woken { 0 } else { self.waiting.woken() };
        (woken || self.waiting.is_empty()) && self.count() + reserved < self.bound.get()
    }

    fn open(self: &rc::Rc<Self>, organisation: &organisation::Name) -> Place {
        let number = self.number.get();
        self.number.set(number + 1);
        let open = Open {
            organisation: organisation.clone(),
            idle_since: None,
        };
        self.open.borrow_mut().insert(number, open);
        Place {
            transactions: rc::Rc::clone(self),
            number,
        }
    }

    fn list(&self) -> Vec<Open> {
        self.open.borrow().values().cloned().collect()
    }

    // Wakes as many of those that wait as there are places, in turn.
    fn fill(&self) {
        while self.count() + self.waiting.woken() < self.bound.get() && !self.waiting.is_empty() {
            let open = self.list();
            let total = self.waiting.len();
            self.waiting.wake_among(|organisation| {
                let others_wait = self.waiting.count_waiting(organisation) < total;
                within_share(&open, organisation, self.bound.get(), others_wait)
            });
        }
    }
}

/// The right to keep one transaction open, given back when dropped.
pub(crate) struct Place {
    transactions: rc::Rc<Transactions>,
    number: u64,
}

impl Place {
    /// Records whether a statement of the transaction runs.
    pub(crate) fn set_running(&self, running: bool) {
        let mut open = self.transactions.open.borrow_mut();
        if let Some(open) = open.get_mut(&self.number) {
            open.idle_since = (!running).then(boot::now);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.transactions.open.borrow_mut().remove(&self.number);
        self.transactions.fill();
    }
}
