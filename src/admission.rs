//! Admission control: a bounded, fair, deadline-ordered queue in front of one instance.
//!
//! Without admission control, every request waits past its deadline under overload, and the
//! instance spends its full capacity on late answers. The queue therefore refuses early the
//! requests that cannot be answered in time, which are then known not to have run, and uses the
//! slots for the others.
//!
//! The module `backlog` determines the order in which waiting tickets get slots.

use std::time;

use crate::backlog;
use crate::id;
use crate::reason;

/// A new sample has a weight of 1/`SMOOTHING` in the moving average of the service time.
const SMOOTHING: u32 = 8;

/// Samples are capped at this multiple of the average. A transaction that is left open holds its
/// slot for a long time, which says little about the service time of the next request.
const MAX_SAMPLE_FACTOR: u32 = 4;

/// Samples up to this value are never capped, so that an average of zero can grow.
const MIN_SAMPLE_CAP: time::Duration = time::Duration::from_millis(1);

/// Minimum retry delay given to callers, so that an estimate of zero does not cause a busy loop.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(1);

/// Priority class of a request; lower values are served first.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A write, or a statement of a transaction.
    Write,
    /// A read that must see all confirmed writes.
    Fresh,
    /// A read that accepts data up to a stated age.
    Aged,
}

/// A request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ticket {
    /// Identifies the request; must be unique among the requests in the queue and in slots.
    pub request: id::Request,
    /// The caller; within a class, callers are served in turn.
    pub caller: u64,
    /// Priority class.
    pub priority: Priority,
    /// Time by which the answer is due.
    pub deadline: id::Time,
    /// Time at which the request reached this proxy.
    pub arrived: id::Time,
}

/// Limits of one queue.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Maximum number of requests that run at once. With zero, requests wait until `resize` adds
    /// slots.
    pub slots: usize,
    /// Maximum number of waiting requests.
    pub length: usize,
    /// Maximum number of waiting requests of one caller.
    pub per_caller: usize,
}

/// Refusal of a ticket: its request has not run and will not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The refused ticket.
    pub ticket: Ticket,
    /// Reason for the refusal.
    pub reason: reason::Reason,
    /// Estimated delay after which a retry may succeed. Jitter is added before the delay is sent
    /// to the caller.
    pub retry: Option<time::Duration>,
}

/// Immediate result of offering a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The ticket holds a slot; `release` must be called when the request ends.
    Run,
    /// The ticket waits. Its final verdict is returned by a later `release`, `expire`, `resize`
    /// or `offer`.
    Wait {
        /// Ticket of a lower class that was removed to make room for this one.
        displaced: Option<Refusal>,
    },
    /// The ticket was not accepted.
    Refuse {
        /// Reason for the refusal.
        reason: reason::Reason,
        /// Estimated delay after which a retry may succeed.
        retry: Option<time::Duration>,
    },
}

/// Final verdicts on tickets that were waiting.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Tickets that were given a slot, in the order of service.
    pub run: Vec<Ticket>,
    /// Tickets that can no longer be answered in time.
    pub refused: Vec<Refusal>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: id::Request,
    started: id::Time,
}

/// The queue of one proxy in front of one instance.
///
/// ```
/// use std::time::Duration;
/// use mangotray::admission;
/// let limits = admission::Limits { slots: 1, length: 8, per_caller: 4 };
/// let mut queue = admission::Queue::new(limits);
/// let ticket = |request| admission::Ticket {
///     request,
///     caller: 1,
///     priority: admission::Priority::Write,
///     deadline: Duration::from_secs(1),
///     arrived: Duration::ZERO,
/// };
/// assert_eq!(queue.offer(ticket(1), Duration::ZERO), admission::Verdict::Run);
/// let wait = admission::Verdict::Wait { displaced: None };
/// assert_eq!(queue.offer(ticket(2), Duration::ZERO), wait);
/// let change = queue.release(1, Duration::from_millis(10));
/// assert_eq!(change.run[0].request, 2);
/// ```
#[derive(Debug)]
pub struct Queue {
    limits: Limits,
    waiting: backlog::Backlog,
    running: Vec<Running>,
    average_service_time: Option<time::Duration>,
}

impl Queue {
    /// Creates an empty queue.
    ///
    /// ```
    /// use mangotray::admission;
    /// let limits = admission::Limits { slots: 1, length: 8, per_caller: 4 };
    /// assert_eq!(admission::Queue::new(limits).len(), 0);
    /// ```
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            waiting: backlog::Backlog::default(),
            running: Vec::new(),
            average_service_time: None,
        }
    }

    /// Number of waiting tickets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no ticket waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of slots in use.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Moving average of the time between a ticket's start and its release.
    #[must_use]
    pub fn average_service_time(&self) -> Option<time::Duration> {
        self.average_service_time
    }

    /// Estimated time until a ticket of this class, offered now, would get a slot.
    #[must_use]
    pub fn estimated_delay(&self, priority: Priority) -> time::Duration {
        if self.running.len() < self.limits.slots {
            return time::Duration::ZERO;
        }
        self.estimated_wait(self.waiting.count_up_to(priority))
    }

    /// Time at which `expire` should next be called.
    #[must_use]
    pub fn next_expiry(&self) -> Option<id::Time> {
        let earliest = self.waiting.earliest_deadline()?;
        Some(earliest.saturating_sub(self.expected_service()))
    }

    /// Accepts or refuses a ticket.
    pub fn offer(&mut self, ticket: Ticket, now: id::Time) -> Verdict {
        if ticket.deadline <= now {
            return Verdict::Refuse {
                reason: reason::Reason::Deadline,
                retry: None,
            };
        }
        // While a slot is free, the estimate is not used to refuse a ticket: after a slow phase
        // of the instance, only a request that runs can lower the estimate.
        if self.waiting.is_empty() && self.running.len() < self.limits.slots {
            self.start(ticket.request, now);
            return Verdict::Run;
        }
        if let Some(retry) = self.lateness(&ticket, now) {
            return Verdict::Refuse {
                reason: reason::Reason::Deadline,
                retry: Some(retry.max(MIN_RETRY_DELAY)),
            };
        }
        self.enqueue(ticket)
    }

    /// Frees the slot of a request. An unknown request frees no slot.
    pub fn release(&mut self, request: id::Request, now: id::Time) -> Change {
        if let Some(at) = self.running.iter().position(|r| r.request == request) {
            let done = self.running.swap_remove(at);
            self.record_service_time(now.saturating_sub(done.started));
        }
        self.expire(now)
    }

    /// Refuses the tickets that can no longer be answered in time and fills free slots.
    pub fn expire(&mut self, now: id::Time) -> Change {
        // Uses the same time as `next_expiry`, so that a call at that time removes at least one
        // ticket.
        let due = self.waiting.take_due(now + self.expected_service());
        let refused = due.into_iter().map(deadline_refusal).collect();
        let run = std::iter::from_fn(|| self.dispatch(now)).collect();
        Change { run, refused }
    }

    /// Removes a waiting request whose caller has disconnected; returns false if it was not
    /// waiting.
    pub fn remove(&mut self, request: id::Request) -> bool {
        self.waiting.remove(request)
    }

    /// Changes the limits; running requests keep their slots until they end.
    pub fn resize(&mut self, limits: Limits, now: id::Time) -> Change {
        self.limits = limits;
        self.expire(now)
    }

    fn start(&mut self, request: id::Request, now: id::Time) {
        self.running.push(Running {
            request,
            started: now,
        });
    }

    fn record_service_time(&mut self, sample: time::Duration) {
        let average = self.average_service_time.unwrap_or(sample);
        let sample = sample.min((average * MAX_SAMPLE_FACTOR).max(MIN_SAMPLE_CAP));
        self.average_service_time = Some((average * (SMOOTHING - 1) + sample) / SMOOTHING);
    }

    fn expected_service(&self) -> time::Duration {
        self.average_service_time.unwrap_or_default()
    }

    /// Estimated time until a ticket with `ahead` tickets before it gets a slot.
    fn estimated_wait(&self, ahead: usize) -> time::Duration {
        let rounds = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.limits.slots.max(1)).unwrap_or(u32::MAX);
        self.expected_service().saturating_mul(rounds) / slots
    }

    /// Time by which the ticket's answer would miss its deadline; `None` if it would be in time.
    fn lateness(&self, ticket: &Ticket, now: id::Time) -> Option<time::Duration> {
        let done = now
            + self.estimated_wait(self.waiting.count_ahead_of(ticket))
            + self.expected_service();
        (done > ticket.deadline).then(|| done.saturating_sub(ticket.deadline))
    }

    fn enqueue(&mut self, ticket: Ticket) -> Verdict {
        let own_full = self.waiting.count_of_caller(ticket.caller) >= self.limits.per_caller;
        let full = own_full || self.waiting.len() >= self.limits.length;
        let retry = Some(self.estimated_wait(self.waiting.len()).max(MIN_RETRY_DELAY));
        let reason = reason::Reason::Overload;
        let displaced = full
            .then(|| self.waiting.displace(&ticket, own_full))
            .flatten();
        if full && displaced.is_none() {
            return Verdict::Refuse { reason, retry };
        }
        self.waiting.insert(ticket);
        Verdict::Wait {
            displaced: displaced.map(|ticket| Refusal {
                ticket,
                reason,
                retry,
            }),
        }
    }

    fn dispatch(&mut self, now: id::Time) -> Option<Ticket> {
        if self.running.len() >= self.limits.slots {
            return None;
        }
        let ticket = self.waiting.pop()?;
        self.start(ticket.request, now);
        Some(ticket)
    }
}

fn deadline_refusal(ticket: Ticket) -> Refusal {
    Refusal {
        ticket,
        reason: reason::Reason::Deadline,
        retry: None,
    }
}

#[cfg(test)]
mod tests;
