//! Bounded, fair, deadline-ordered queue before an instance.
//!
//! What goes wrong without it: under overload every request waits a little too long, so
//! the instance works at full speed on answers that are all late. The queue refuses early
//! what cannot be in time, as surely not run, and spends the slots on the rest.
//!
//! Order, weighed in `docs/LIMITS.md`: class first, though a class that was passed over
//! [`PATIENCE`] times gets one turn; within a class callers take turns; within a turn,
//! and among the requests of one caller, the earliest deadline first.

use std::time;

use crate::id;
use crate::reason;

/// Turns that the other classes may take before a waiting class gets one.
pub const PATIENCE: u32 = 8;

/// Weight of a new sample in the moving average of the service time: one in this many.
const SMOOTHING: u32 = 8;

/// Shortest hint for a retry; an estimate of zero must not make callers spin.
const MIN_RETRY: time::Duration = time::Duration::from_millis(1);

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

impl Priority {
    const ALL: [Self; 3] = [Self::Write, Self::Fresh, Self::Aged];
}

/// A request that wants a slot.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
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

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    /// Turn of its caller, see `Queue::turns`.
    turn: u64,
    sequence: u64,
}

impl Waiting {
    fn order(&self) -> (u64, id::Time, u64) {
        (self.turn, self.ticket.deadline, self.sequence)
    }
}

#[derive(Clone, Copy, Debug)]
struct Running {
    request: id::Request,
    started: id::Time,
}

/// The queue before one instance on one proxy. Searches are linear: the length is
/// bounded by a few hundred, as more could not be answered in time anyway.
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
    waiting: Vec<Waiting>,
    running: Vec<Running>,
    /// Turn that was last given out in each class. A caller that joins starts at the next
    /// turn, never at this one: a flood of new callers would else keep a turn open for
    /// ever and starve those who wait for the next.
    turns: [u64; Priority::ALL.len()],
    /// Tickets of other classes that went while this one waited.
    passed: [u32; Priority::ALL.len()],
    service: Option<time::Duration>,
    sequence: u64,
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
            waiting: Vec::new(),
            running: Vec::new(),
            turns: Default::default(),
            passed: Default::default(),
            service: None,
            sequence: 0,
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
        let ahead = self
            .waiting
            .iter()
            .filter(|w| w.ticket.priority <= priority);
        self.wait(ahead.count())
    }

    /// Time at which `expire` should next be called.
    #[must_use]
    pub fn wake(&self) -> Option<id::Time> {
        let latest = |w: &Waiting| w.ticket.deadline.saturating_sub(self.expected());
        self.waiting.iter().map(latest).min()
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
        if let Some(retry) = self.excess(&ticket, now) {
            return Verdict::Refuse {
                reason: reason::Reason::Deadline,
                retry: Some(retry.max(MIN_RETRY)),
            };
        }
        self.enqueue(ticket)
    }

    /// Frees the slot of a request; unknown requests change nothing.
    pub fn release(&mut self, request: id::Request, now: id::Time) -> Change {
        if let Some(at) = self.running.iter().position(|r| r.request == request) {
            let done = self.running.swap_remove(at);
            self.learn(now.saturating_sub(done.started));
        }
        self.expire(now)
    }

    /// Refuses what cannot be answered in time any more and fills free slots.
    pub fn expire(&mut self, now: id::Time) -> Change {
        let refused = self.overdue(now);
        let run = std::iter::from_fn(|| self.dispatch(now)).collect();
        Change { run, refused }
    }

    /// Forgets a waiting request whose caller went away; false when it does not wait.
    pub fn remove(&mut self, request: id::Request) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.ticket.request != request);
        self.waiting.len() < before
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

    fn learn(&mut self, sample: time::Duration) {
        let average = self.service.unwrap_or(sample);
        self.service = Some((average * (SMOOTHING - 1) + sample) / SMOOTHING);
    }

    fn expected(&self) -> time::Duration {
        self.service.unwrap_or_default()
    }

    /// Time until a slot is free for a ticket with so many others ahead.
    fn wait(&self, ahead: usize) -> time::Duration {
        let rounds = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.limits.slots.max(1)).unwrap_or(u32::MAX);
        self.expected().saturating_mul(rounds) / slots
    }

    /// By how much the ticket's answer would be late, if so.
    fn excess(&self, ticket: &Ticket, now: id::Time) -> Option<time::Duration> {
        let done = now + self.wait(self.ahead(ticket)) + self.expected();
        (done > ticket.deadline).then(|| done.saturating_sub(ticket.deadline))
    }

    /// Waiting tickets that would go before this one.
    fn ahead(&self, ticket: &Ticket) -> usize {
        let own =
            |w: &&Waiting| w.ticket.caller == ticket.caller && w.ticket.priority == ticket.priority;
        let earlier = |w: &&Waiting| w.ticket.deadline <= ticket.deadline;
        let before = self.waiting.iter().filter(own).filter(earlier).count();
        let turns = u64::try_from(before).unwrap_or(u64::MAX);
        let turn = self.turns[ticket.priority as usize] + 1 + turns;
        self.waiting
            .iter()
            .filter(|w| !own(w) || earlier(w))
            .filter(|w| {
                let key = (w.ticket.priority, w.turn, w.ticket.deadline);
                key <= (ticket.priority, turn, ticket.deadline)
            })
            .count()
    }

    fn enqueue(&mut self, ticket: Ticket) -> Verdict {
        let own = self
            .waiting
            .iter()
            .filter(|w| w.ticket.caller == ticket.caller);
        let own_full = own.count() >= self.limits.per_caller;
        let full = own_full || self.waiting.len() >= self.limits.length;
        let displaced = full.then(|| self.displace(&ticket, own_full)).flatten();
        if full && displaced.is_none() {
            return Verdict::Refuse {
                reason: reason::Reason::Overload,
                retry: Some(self.wait(self.waiting.len()).max(MIN_RETRY)),
            };
        }
        self.insert(ticket);
        Verdict::Wait { displaced }
    }

    /// Takes the place of the last waiting ticket if that is of a lower class.
    fn displace(&mut self, ticket: &Ticket, own: bool) -> Option<Refusal> {
        let victim = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, w)| !own || w.ticket.caller == ticket.caller)
            .filter(|(_, w)| w.ticket.priority > ticket.priority)
            .max_by_key(|(_, w)| (w.ticket.priority, w.order()))
            .map(|(at, _)| at)?;
        let retry = self.wait(self.waiting.len()).max(MIN_RETRY);
        Some(Refusal {
            ticket: self.waiting.swap_remove(victim).ticket,
            reason: reason::Reason::Overload,
            retry: Some(retry),
        })
    }

    /// Gives the caller one turn more, and its earliest deadline the first of its turns.
    fn insert(&mut self, ticket: Ticket) {
        let (caller, priority) = (ticket.caller, ticket.priority);
        let own = |w: &Waiting| w.ticket.caller == caller && w.ticket.priority == priority;
        let last = self.waiting.iter().filter(|w| own(w)).map(|w| w.turn).max();
        let turn = last.unwrap_or_default().max(self.turns[priority as usize]) + 1;
        self.sequence += 1;
        self.waiting.push(Waiting {
            ticket,
            turn,
            sequence: self.sequence,
        });
        let mut own: Vec<&mut Waiting> = self.waiting.iter_mut().filter(|w| own(w)).collect();
        let mut turns: Vec<u64> = own.iter().map(|w| w.turn).collect();
        turns.sort_unstable();
        own.sort_unstable_by_key(|w| (w.ticket.deadline, w.sequence));
        own.into_iter()
            .zip(turns)
            .for_each(|(w, turn)| w.turn = turn);
    }

    /// Takes out what would be late even if it started now.
    fn overdue(&mut self, now: id::Time) -> Vec<Refusal> {
        let latest = now + self.expected();
        // Compares as `wake` does, so that a call at that time takes something out.
        let late = |w: &mut Waiting| w.ticket.deadline <= latest;
        self.waiting
            .extract_if(.., late)
            .map(|w| Refusal {
                ticket: w.ticket,
                reason: reason::Reason::Deadline,
                retry: None,
            })
            .collect()
    }

    fn dispatch(&mut self, now: id::Time) -> Option<Ticket> {
        if self.running.len() >= self.limits.slots {
            return None;
        }
        let class = self.next_class()?;
        let at = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, w)| w.ticket.priority == class)
            .min_by_key(|(_, w)| w.order())
            .map(|(at, _)| at)?;
        let next = self.waiting.swap_remove(at);
        self.turns[class as usize] = self.turns[class as usize].max(next.turn);
        self.start(next.ticket.request, now);
        Some(next.ticket)
    }

    /// The highest waiting class, unless another has been passed over too often.
    fn next_class(&mut self) -> Option<Priority> {
        let waits = |class: Priority| self.waiting.iter().any(|w| w.ticket.priority == class);
        let classes: Vec<Priority> = Priority::ALL.into_iter().filter(|c| waits(*c)).collect();
        let neglected = |class: &&Priority| self.passed[**class as usize] >= PATIENCE;
        let chosen = *classes.iter().find(neglected).or(classes.first())?;
        for class in Priority::ALL {
            let passed = &mut self.passed[class as usize];
            let skipped = class != chosen && classes.contains(&class);
            *passed = if skipped { *passed + 1 } else { 0 };
        }
        Some(chosen)
    }
}

#[cfg(test)]
mod tests;
