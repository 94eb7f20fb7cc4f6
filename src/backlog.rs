//! Waiting tickets of one queue, in the order in which they go.
//!
//! Class first, though a class that was passed over [`PATIENCE`] times gets one turn;
//! within a class callers take turns; within a turn, and among the tickets of one caller,
//! the earliest deadline first. `docs/LIMITS.md` weighs this against other orders.

use crate::admission;
use crate::id;

/// Turns that the other classes may take before a waiting class gets one.
pub const PATIENCE: u32 = 8;

const CLASSES: [admission::Priority; 3] = [
    admission::Priority::Write,
    admission::Priority::Fresh,
    admission::Priority::Aged,
];

#[derive(Clone, Debug)]
struct Waiting {
    ticket: admission::Ticket,
    /// Turn of its caller, see `Backlog::turns`.
    turn: u64,
    sequence: u64,
}

impl Waiting {
    fn order(&self) -> (u64, id::Time, u64) {
        (self.turn, self.ticket.deadline, self.sequence)
    }

    /// Whether a ticket of the same caller and class as this one.
    fn same_caller_and_class(&self, ticket: &admission::Ticket) -> bool {
        self.ticket.caller == ticket.caller && self.ticket.priority == ticket.priority
    }
}

/// Waiting tickets. Searches are linear: a queue is bounded by a few hundred tickets, as
/// more could not be answered in time anyway.
///
/// ```
/// use std::time::Duration;
/// use mangotray::{admission, backlog};
/// let ticket = |request, priority| admission::Ticket {
///     request,
///     caller: request,
///     priority,
///     deadline: Duration::from_secs(1),
///     arrived: Duration::ZERO,
/// };
/// let mut backlog = backlog::Backlog::default();
/// backlog.insert(ticket(1, admission::Priority::Aged));
/// backlog.insert(ticket(2, admission::Priority::Write));
/// assert_eq!(backlog.pop().unwrap().request, 2);
/// ```
#[derive(Debug, Default)]
pub struct Backlog {
    waiting: Vec<Waiting>,
    /// Turn that was last given out in each class. A caller that joins starts at the next
    /// turn, never at this one: a flood of new callers would else keep a turn open for
    /// ever and starve those who wait for the next.
    turns: [u64; CLASSES.len()],
    /// Tickets of other classes that went while this one waited.
    passed: [u32; CLASSES.len()],
    sequence: u64,
}

impl Backlog {
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

    /// Number of waiting tickets of this class and the higher ones.
    #[must_use]
    pub fn up_to(&self, priority: admission::Priority) -> usize {
        let counted = |w: &&Waiting| w.ticket.priority <= priority;
        self.waiting.iter().filter(counted).count()
    }

    /// Number of waiting tickets of a caller.
    #[must_use]
    pub fn of(&self, caller: u64) -> usize {
        let counted = |w: &&Waiting| w.ticket.caller == caller;
        self.waiting.iter().filter(counted).count()
    }

    /// Earliest deadline of all.
    #[must_use]
    pub fn earliest(&self) -> Option<id::Time> {
        self.waiting.iter().map(|w| w.ticket.deadline).min()
    }

    /// Number of waiting tickets that would go before this one.
    #[must_use]
    pub fn ahead(&self, ticket: &admission::Ticket) -> usize {
        let earlier = |w: &&Waiting| w.ticket.deadline <= ticket.deadline;
        let own = self
            .waiting
            .iter()
            .filter(|w| w.same_caller_and_class(ticket));
        let before = u64::try_from(own.filter(earlier).count()).unwrap_or(u64::MAX);
        let turn = self.turns[ticket.priority as usize] + 1 + before;
        self.waiting
            .iter()
            .filter(|w| !w.same_caller_and_class(ticket) || earlier(w))
            .filter(|w| {
                let key = (w.ticket.priority, w.turn, w.ticket.deadline);
                key <= (ticket.priority, turn, ticket.deadline)
            })
            .count()
    }

    /// Adds a ticket: its caller gets one turn more, and the earliest deadline of the
    /// caller gets the first of its turns.
    pub fn insert(&mut self, ticket: admission::Ticket) {
        let class = ticket.priority as usize;
        let own = self
            .waiting
            .iter()
            .filter(|w| w.same_caller_and_class(&ticket));
        let last = own.map(|w| w.turn).max().unwrap_or_default();
        self.sequence += 1;
        self.waiting.push(Waiting {
            ticket,
            turn: last.max(self.turns[class]) + 1,
            sequence: self.sequence,
        });
        let own = self
            .waiting
            .iter_mut()
            .filter(|w| w.same_caller_and_class(&ticket));
        let mut own: Vec<&mut Waiting> = own.collect();
        let mut turns: Vec<u64> = own.iter().map(|w| w.turn).collect();
        turns.sort_unstable();
        own.sort_unstable_by_key(|w| (w.ticket.deadline, w.sequence));
        for (waiting, turn) in own.into_iter().zip(turns) {
            waiting.turn = turn;
        }
    }

    /// Takes out the last ticket of a lower class than this one's, only of the same
    /// caller if `own`.
    pub fn displace(&mut self, ticket: &admission::Ticket, own: bool) -> Option<admission::Ticket> {
        let victim = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, w)| !own || w.ticket.caller == ticket.caller)
            .filter(|(_, w)| w.ticket.priority > ticket.priority)
            .max_by_key(|(_, w)| (w.ticket.priority, w.order()))
            .map(|(at, _)| at)?;
        Some(self.waiting.swap_remove(victim).ticket)
    }

    /// Takes out a request; false when it does not wait.
    pub fn remove(&mut self, request: id::Request) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.ticket.request != request);
        self.waiting.len() < before
    }

    /// Takes out all tickets due by then.
    pub fn due(&mut self, by: id::Time) -> Vec<admission::Ticket> {
        self.waiting
            .extract_if(.., |w| w.ticket.deadline <= by)
            .map(|w| w.ticket)
            .collect()
    }

    /// Takes out the ticket whose turn it is.
    pub fn pop(&mut self) -> Option<admission::Ticket> {
        let class = self.next_class()?;
        let at = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, w)| w.ticket.priority == class)
            .min_by_key(|(_, w)| w.order())
            .map(|(at, _)| at)?;
        let next = self.waiting.swap_remove(at);
        let turn = &mut self.turns[class as usize];
        *turn = next.turn.max(*turn);
        Some(next.ticket)
    }

    /// The highest waiting class, unless another has been passed over too often.
    fn next_class(&mut self) -> Option<admission::Priority> {
        let has_waiting = |class: &admission::Priority| {
            let mut waiting = self.waiting.iter();
            waiting.any(|w| w.ticket.priority == *class)
        };
        let classes: Vec<admission::Priority> = CLASSES.into_iter().filter(has_waiting).collect();
        let passed_over = |class: &&admission::Priority| self.passed[**class as usize] >= PATIENCE;
        let chosen = *classes.iter().find(passed_over).or(classes.first())?;
        for class in CLASSES {
            let passed = &mut self.passed[class as usize];
            let skipped = class != chosen && classes.contains(&class);
            *passed = if skipped { *passed + 1 } else { 0 };
        }
        Some(chosen)
    }
}
