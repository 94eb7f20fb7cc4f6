//! Waiting tickets of one queue, in the order of service.
//!
//! The highest class is served first, but a class that was passed over [`MAX_SKIPS`] times is
//! served once. Within a class, callers are served in turn (round robin). Within a turn, and
//! among the tickets of one caller, the earliest deadline is served first. `docs/LIMITS.md`
//! compares this with other orders.

use crate::admission;
use crate::id;

/// Number of tickets of other classes that may be served in succession while a class waits; the
/// waiting class is then served once.
pub const MAX_SKIPS: u32 = 8;

const CLASSES: [admission::Priority; 3] = [
    admission::Priority::Write,
    admission::Priority::Fresh,
    admission::Priority::Aged,
];

#[derive(Clone, Debug)]
struct Waiting {
    ticket: admission::Ticket,
    /// Round-robin turn in which the ticket is served, see `Backlog::turns`.
    turn: u64,
    sequence: u64,
}

impl Waiting {
    fn order(&self) -> (u64, id::Time, u64) {
        (self.turn, self.ticket.deadline, self.sequence)
    }

    /// Whether both tickets have the same caller and class.
    fn same_caller_and_class(&self, ticket: &admission::Ticket) -> bool {
        self.ticket.caller == ticket.caller && self.ticket.priority == ticket.priority
    }
}

/// Waiting tickets. Searches are linear, since a queue holds at most a few hundred tickets: more
/// could not be answered in time.
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
    /// Turn that was served last in each class. A new caller starts at the next turn: if it joined
    /// this one, a stream of new callers could keep the turn from ending and starve the
    /// tickets that wait for the next.
    turns: [u64; CLASSES.len()],
    /// Per class, number of tickets of other classes served in succession while it waited.
    skips: [u32; CLASSES.len()],
    sequence: u64,
}

impl Backlog {
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

    /// Number of waiting tickets of this class and of higher classes.
    #[must_use]
    pub fn count_up_to(&self, priority: admission::Priority) -> usize {
        let counted = |waiting: &&Waiting| waiting.ticket.priority <= priority;
        self.waiting.iter().filter(counted).count()
    }

    /// Number of waiting tickets of a caller.
    #[must_use]
    pub fn count_of_caller(&self, caller: u64) -> usize {
        let counted = |waiting: &&Waiting| waiting.ticket.caller == caller;
        self.waiting.iter().filter(counted).count()
    }

    /// Earliest deadline of all waiting tickets.
    #[must_use]
    pub fn earliest_deadline(&self) -> Option<id::Time> {
        self.waiting
            .iter()
            .map(|waiting| waiting.ticket.deadline)
            .min()
    }

    /// Number of waiting tickets that would be served before this one, by class, turn and deadline.
    #[must_use]
    pub fn count_ahead_of(&self, ticket: &admission::Ticket) -> usize {
        let earlier = |waiting: &&Waiting| waiting.ticket.deadline <= ticket.deadline;
        let own = self
            .waiting
            .iter()
            .filter(|waiting| waiting.same_caller_and_class(ticket));
        let before = u64::try_from(own.filter(earlier).count()).unwrap_or(u64::MAX);
        let turn = self.turns[ticket.priority as usize] + 1 + before;
        self.waiting
            .iter()
            .filter(|waiting| !waiting.same_caller_and_class(ticket) || earlier(waiting))
            .filter(|waiting| {
                let key = (
                    waiting.ticket.priority,
                    waiting.turn,
                    waiting.ticket.deadline,
                );
                key <= (ticket.priority, turn, ticket.deadline)
            })
            .count()
    }

    /// Adds a ticket. Its caller gets one more turn in the class, and the caller's tickets of the
    /// class are assigned to its turns in order of deadline.
    pub fn insert(&mut self, ticket: admission::Ticket) {
        let class = ticket.priority as usize;
        let own = self
            .waiting
            .iter()
            .filter(|waiting| waiting.same_caller_and_class(&ticket));
        let last = own.map(|waiting| waiting.turn).max().unwrap_or_default();
        self.sequence += 1;
        self.waiting.push(Waiting {
            ticket,
            turn: last.max(self.turns[class]) + 1,
            sequence: self.sequence,
        });
        let own = self
            .waiting
            .iter_mut()
            .filter(|waiting| waiting.same_caller_and_class(&ticket));
        let mut own: Vec<&mut Waiting> = own.collect();
        let mut turns: Vec<u64> = own.iter().map(|waiting| waiting.turn).collect();
        turns.sort_unstable();
        own.sort_unstable_by_key(|waiting| (waiting.ticket.deadline, waiting.sequence));
        for (waiting, turn) in own.into_iter().zip(turns) {
            waiting.turn = turn;
        }
    }

    /// Removes the ticket that would be served last among those of a lower class than `ticket`; if
    /// `own`, among those of the same caller only.
    pub fn displace(&mut self, ticket: &admission::Ticket, own: bool) -> Option<admission::Ticket> {
        let victim = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, waiting)| !own || waiting.ticket.caller == ticket.caller)
            .filter(|(_, waiting)| waiting.ticket.priority > ticket.priority)
            .max_by_key(|(_, waiting)| (waiting.ticket.priority, waiting.order()))
            .map(|(at, _)| at)?;
        Some(self.waiting.swap_remove(victim).ticket)
    }

    /// Removes a request; returns false if it was not waiting.
    pub fn remove(&mut self, request: id::Request) -> bool {
        let before = self.waiting.len();
        self.waiting
            .retain(|waiting| waiting.ticket.request != request);
        self.waiting.len() < before
    }

    /// Removes and returns all tickets with a deadline at or before `by`.
    pub fn take_due(&mut self, by: id::Time) -> Vec<admission::Ticket> {
        self.waiting
            .extract_if(.., |waiting| waiting.ticket.deadline <= by)
            .map(|waiting| waiting.ticket)
            .collect()
    }

    /// Removes and returns the next ticket to be served.
    pub fn pop(&mut self) -> Option<admission::Ticket> {
        let class = self.next_class()?;
        let at = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, waiting)| waiting.ticket.priority == class)
            .min_by_key(|(_, waiting)| waiting.order())
            .map(|(at, _)| at)?;
        let next = self.waiting.swap_remove(at);
        let turn = &mut self.turns[class as usize];
        *turn = next.turn.max(*turn);
        Some(next.ticket)
    }

    /// The highest waiting class, unless a class has been passed over [`MAX_SKIPS`] times. Updates
    /// the counts of passed-over classes.
    fn next_class(&mut self) -> Option<admission::Priority> {
        let has_waiting = |class: &admission::Priority| {
            let mut waiting = self.waiting.iter();
            waiting.any(|waiting| waiting.ticket.priority == *class)
        };
        let classes: Vec<admission::Priority> = CLASSES.into_iter().filter(has_waiting).collect();
        let skipped_often =
            |class: &&admission::Priority| self.skips[**class as usize] >= MAX_SKIPS;
        let chosen = *classes.iter().find(skipped_often).or(classes.first())?;
        for class in CLASSES {
            let skips = &mut self.skips[class as usize];
            let skipped = class != chosen && classes.contains(&class);
            *skips = if skipped { *skips + 1 } else { 0 };
        }
        Some(chosen)
    }
}
