//! Bounded, fair, deadline-ordered queue before an instance.
//!
//! What goes wrong without it: under overload every request waits a little too long, so
//! the instance works at full speed on answers that are all late. The queue refuses early
//! what cannot be in time, as surely not run, and spends the slots on the rest.
//!
//! The order in which tickets go is kept by `backlog`.

use std::time;

use crate::backlog;
use crate::id;
use crate::reason;

/// Weight of a new sample in the moving average of the service time: one in this many.
const SMOOTHING: u32 = 8;

/// Multiple of the average that a sample counts for at the most. A transaction that is
/// left open keeps its slot for long, and says little about the next request.
const MAX_SAMPLE_FACTOR: u32 = 4;

/// Sample that is never an outlier; an estimate of zero must be able to grow.
const MIN_SAMPLE_CAP: time::Duration = time::Duration::from_millis(1);

/// Shortest hint for a retry; an estimate of zero must not make callers spin.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(1);

/// Class of a waiting request; the smaller goes first.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A write, or a statement of a transaction.
    Write,
    /// A read that must see all confirmed writes.
    Fresh,
    /// A read that accepts data of a stated age.
    Aged,
}

/// A request that wants a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Ticket {
    /// The request; must be unique among those known to the queue.
    pub request: id::Request,
    /// Who asks; callers get equal turns.
    pub caller: u64,
    /// Its class.
    pub priority: Priority,
    /// When the answer is due.
    pub deadline: id::Time,
    /// When the request reached this proxy.
    pub arrived: id::Time,
}

/// Limits of one queue.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Requests that run at once. With none, requests wait for a slot to be granted.
    pub slots: usize,
    /// Requests that wait at once.
    pub length: usize,
    /// Waiting requests of one caller.
    pub per_caller: usize,
}

/// A ticket that surely did not run and never will.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The refused ticket.
    pub ticket: Ticket,
    /// Why.
    pub reason: reason::Reason,
    /// Estimated time after which a retry may succeed. Whoever passes it on adds jitter.
    pub retry: Option<time::Duration>,
}

/// What becomes of an offered ticket at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It holds a slot now; `release` must follow.
    Run,
    /// It waits; a later `release`, `expire` or `offer` gives its final verdict.
    Wait {
        /// A ticket of a lower class that lost its place to this one.
        displaced: Option<Refusal>,
    },
    /// It was not accepted.
    Refuse {
        /// Why.
        reason: reason::Reason,
        /// Estimated time after which a retry may succeed.
        retry: Option<time::Duration>,
    },
}

/// Final verdicts on tickets that were waiting.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Tickets that hold a slot from now on, in the order they go.
    pub run: Vec<Ticket>,
    /// Tickets that cannot be answered in time any more.
    pub refused: Vec<Refusal>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: id::Request,
    started: id::Time,
}

/// The queue before one instance on one proxy.
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
    service: Option<time::Duration>,
}

impl Queue {
    /// An empty queue.
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
            service: None,
        }
    }

    /// Number of waiting tickets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of taken slots.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Moving average of the time between a ticket's start and its release.
    #[must_use]
    pub fn service(&self) -> Option<time::Duration> {
        self.service
    }

    /// Estimated time until a ticket offered now in this class would get a slot.
    #[must_use]
    pub fn delay(&self, priority: Priority) -> time::Duration {
        if self.running.len() < self.limits.slots {
            return time::Duration::ZERO;
        }
        self.estimated_wait(self.waiting.up_to(priority))
    }

    /// Time at which `expire` should next be called.
    #[must_use]
    pub fn wake(&self) -> Option<id::Time> {
        let earliest = self.waiting.earliest()?;
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
        // A free slot is never refused on the estimate: when the instance has become
        // faster again, only a request that runs can show it.
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

    /// Frees the slot of a request; unknown requests change nothing.
    pub fn release(&mut self, request: id::Request, now: id::Time) -> Change {
        if let Some(at) = self.running.iter().position(|r| r.request == request) {
            let done = self.running.swap_remove(at);
            self.record_service_time(now.saturating_sub(done.started));
        }
        self.expire(now)
    }

    /// Refuses what cannot be answered in time any more and fills free slots.
    pub fn expire(&mut self, now: id::Time) -> Change {
        // Compares as `wake` does, so that a call at that time takes something out.
        let due = self.waiting.due(now + self.expected_service());
        let refused = due.into_iter().map(deadline_refusal).collect();
        let run = std::iter::from_fn(|| self.dispatch(now)).collect();
        Change { run, refused }
    }

    /// Forgets a waiting request whose caller went away; false when it does not wait.
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
        let average = self.service.unwrap_or(sample);
        let sample = sample.min((average * MAX_SAMPLE_FACTOR).max(MIN_SAMPLE_CAP));
        self.service = Some((average * (SMOOTHING - 1) + sample) / SMOOTHING);
    }

    fn expected_service(&self) -> time::Duration {
        self.service.unwrap_or_default()
    }

    /// Time until a slot is free for a ticket with so many others ahead.
    fn estimated_wait(&self, ahead: usize) -> time::Duration {
        let rounds = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.limits.slots.max(1)).unwrap_or(u32::MAX);
        self.expected_service().saturating_mul(rounds) / slots
    }

    /// By how much the ticket's answer would be late, if so.
    fn lateness(&self, ticket: &Ticket, now: id::Time) -> Option<time::Duration> {
        let done = now + self.estimated_wait(self.waiting.ahead(ticket)) + self.expected_service();
        (done > ticket.deadline).then(|| done.saturating_sub(ticket.deadline))
    }

    fn enqueue(&mut self, ticket: Ticket) -> Verdict {
        let own_full = self.waiting.of(ticket.caller) >= self.limits.per_caller;
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
