//! Waiting for one of an instance's slots.
//!
//! The order and the refusals are decided by `admission`; this module only wakes whoever
//! a decision concerns.

use std::collections;
use std::sync;
use std::time;

use futures_lite::future;

use crate::admission;
use crate::batch;
use crate::class;
use crate::clock;
use crate::id;
use crate::outcome;
use crate::reason;

/// Requests that wait at once before an instance; the queue's searches are linear.
const LENGTH: usize = 256;

/// Waiting requests of one caller.
const PER_CALLER: usize = 32;

/// Slots of one instance, and the queue before them.
pub struct Slots(sync::Arc<Shared>);

struct Shared {
    clock: sync::Arc<dyn clock::Clock>,
    state: sync::Mutex<State>,
}

struct State {
    queue: admission::Queue,
    waiters: collections::HashMap<id::Request, async_channel::Sender<Grant>>,
    last: id::Request,
}

/// What a request is told when its wait ends.
type Grant = Result<Slot, admission::Refusal>;

/// Verdicts that have to reach those who wait. They are sent after the state is unlocked:
/// a waiter that has gone drops its slot at once, which locks the state again.
type Post = Vec<(async_channel::Sender<Grant>, Grant)>;

/// Permission to run one statement at the instance; given back on drop.
pub struct Slot {
    shared: sync::Arc<Shared>,
    number: id::Request,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared
            .change(|state| state.queue.release(self.number, now));
    }
}

/// A ticket that waits; forgotten when the caller goes away.
struct Waiter<'a> {
    shared: &'a sync::Arc<Shared>,
    number: id::Request,
    granted: async_channel::Receiver<Grant>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if state.waiters.remove(&self.number).is_some() {
            state.queue.remove(self.number);
        }
    }
}

/// The ticket of a batch. Its number is drawn by the queue: those of forwarded batches
/// are unique only on the proxy they come from.
///
/// ```
/// use std::time::Duration;
/// use mangotray::{admission, batch, class, slots};
/// let batch = batch::Batch {
///     request: 1, caller: 7, frames: vec![], class: class::Class::Write, mixed: false, tables: vec![],
///     token: None, own: None, arrived: Duration::ZERO, deadline: Duration::from_secs(3),
/// };
/// let ticket = slots::ticket(&batch, false, false);
/// assert_eq!(ticket.priority, admission::Priority::Write);
/// assert_eq!(ticket.caller, 7);
/// ```
#[must_use]
pub fn ticket(batch: &batch::Batch, pinned: bool, aged: bool) -> admission::Ticket {
    let reads = matches!(batch.class, class::Class::Read | class::Class::BeginRead);
    let priority = match (reads && !pinned, aged) {
        (false, _) => admission::Priority::Write,
        (true, false) => admission::Priority::Fresh,
        (true, true) => admission::Priority::Aged,
    };
    admission::Ticket {
        request: batch.request,
        caller: batch.caller,
        priority,
        deadline: batch.deadline,
        arrived: batch.arrived,
    }
}

impl Slots {
    /// As many free slots.
    #[must_use]
    pub fn new(count: usize, clock: sync::Arc<dyn clock::Clock>) -> Self {
        Self(sync::Arc::new(Shared {
            clock,
            state: sync::Mutex::new(State {
                queue: admission::Queue::new(limits(count)),
                waiters: collections::HashMap::new(),
                last: 0,
            }),
        }))
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// At once when the queue is full or the deadline cannot be met, and as soon as a
    /// waiting ticket loses its place or cannot be answered in time any more.
    pub async fn acquire(&self, ticket: admission::Ticket) -> Result<Slot, outcome::Outcome> {
        let waiter = self.0.offer(ticket).map_err(|refusal| refused(&refusal))?;
        let shared = waiter.shared;
        loop {
            let granted = async { Some(waiter.granted.recv().await) };
            let expired = async {
                shared.expiry(waiter.number, ticket.deadline).await;
                None
            };
            match future::or(granted, expired).await {
                Some(Ok(grant)) => return grant.map_err(|refusal| refused(&refusal)),
                Some(Err(_)) => unreachable!("a ticket gets its verdict before it is forgotten"),
                None => self.expire(),
            }
        }
    }

    /// Changes the number of slots. Fewer take effect as running requests end.
    pub fn resize(&self, count: usize) {
        let now = self.0.clock.now();
        self.0
            .change(|state| state.queue.resize(limits(count), now));
    }

    /// Slots that are taken.
    #[must_use]
    pub fn running(&self) -> usize {
        self.0.lock().queue.running()
    }

    /// Refuses what cannot be answered in time any more.
    fn expire(&self) {
        let now = self.0.clock.now();
        self.0.change(|state| state.queue.expire(now));
    }
}

impl Shared {
    fn offer(
        self: &sync::Arc<Self>,
        ticket: admission::Ticket,
    ) -> Result<Waiter<'_>, admission::Refusal> {
        let now = self.clock.now();
        let (sender, granted) = async_channel::bounded(1);
        let mut state = self.lock();
        state.last += 1;
        let number = state.last;
        let numbered = admission::Ticket {
            request: number,
            ..ticket
        };
        let post = match state.queue.offer(numbered, now) {
            admission::Verdict::Run => vec![(sender, Ok(self.slot(number)))],
            admission::Verdict::Wait { displaced } => {
                state.waiters.insert(number, sender);
                refusals(&mut state, displaced)
            }
            admission::Verdict::Refuse { reason, retry } => {
                return Err(admission::Refusal {
                    ticket,
                    reason,
                    retry,
                });
            }
        };
        drop(state);
        let waiter = Waiter {
            shared: self,
            number,
            granted,
        };
        deliver(post);
        Ok(waiter)
    }

    /// Sleeps until the ticket cannot be answered in time any more, for ever once it has
    /// its verdict.
    async fn expiry(&self, number: id::Request, deadline: id::Time) {
        loop {
            let Some(service) = self.service(number) else {
                return future::pending().await;
            };
            let now = self.clock.now();
            let due = deadline.saturating_sub(service);
            if due <= now {
                return;
            }
            async_io::Timer::after(due.saturating_sub(now)).await;
        }
    }

    /// Expected time of service while the ticket still waits.
    fn service(&self, number: id::Request) -> Option<time::Duration> {
        let state = self.lock();
        let service = state.queue.service().unwrap_or_default();
        state.waiters.contains_key(&number).then_some(service)
    }

    fn change(self: &sync::Arc<Self>, step: impl FnOnce(&mut State) -> admission::Change) {
        let mut state = self.lock();
        let change = step(&mut state);
        let mut post = refusals(&mut state, change.refused);
        for ticket in change.run {
            // Made even if nobody waits: then its drop gives the slot back.
            let slot = self.slot(ticket.request);
            let waiter = state.waiters.remove(&ticket.request);
            let sender = waiter.unwrap_or_else(|| async_channel::bounded(1).0);
            post.push((sender, Ok(slot)));
        }
        drop(state);
        deliver(post);
    }

    fn slot(self: &sync::Arc<Self>, number: id::Request) -> Slot {
        Slot {
            shared: self.clone(),
            number,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn refusals(state: &mut State, refused: impl IntoIterator<Item = admission::Refusal>) -> Post {
    let addressed = |refusal: admission::Refusal| {
        let sender = state.waiters.remove(&refusal.ticket.request)?;
        Some((sender, Err(refusal)))
    };
    refused.into_iter().filter_map(addressed).collect()
}

fn deliver(post: Post) {
    for (sender, grant) in post {
        // Refused when the waiter has gone; a slot in it goes back by its drop.
        drop(sender.try_send(grant));
    }
}

fn limits(slots: usize) -> admission::Limits {
    admission::Limits {
        slots,
        length: LENGTH,
        per_caller: PER_CALLER,
    }
}

fn refused(refusal: &admission::Refusal) -> outcome::Outcome {
    let detail = match refusal.reason {
        reason::Reason::Overload => "the queue before the instance is full",
        _ => "the queue before the instance leaves no time for an answer",
    };
    let retry = refusal.retry.map(spread);
    outcome::Outcome::not_run(refusal.reason, detail.into(), retry)
}

/// Lengthens a hint by up to a half, or all who were refused together would come back
/// together.
fn spread(retry: time::Duration) -> time::Duration {
    retry.mul_f64(1.0 + 0.5 * fastrand::f64())
}

#[cfg(test)]
mod tests;
