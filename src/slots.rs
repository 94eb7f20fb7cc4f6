//! Asynchronous acquisition of an instance's execution slots.
//!
//! The module `admission` decides on order and refusals; this module notifies the waiting tasks
//! of its decisions.

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

/// Maximum number of requests that wait for one instance; the queue's searches are linear.
const MAX_WAITING: usize = 256;

/// Maximum number of waiting requests of one caller.
const MAX_WAITING_PER_CALLER: usize = 32;

/// Execution slots of one instance, with the queue for them.
pub struct Slots(sync::Arc<Shared>);

struct Shared {
    clock: sync::Arc<dyn clock::Clock>,
    state: sync::Mutex<State>,
}

struct State {
    queue: admission::Queue,
    waiters: collections::HashMap<id::Request, async_channel::Sender<Decision>>,
    last_request: id::Request,
}

/// Final decision on a request: a slot or a refusal.
type Decision = Result<Slot, admission::Refusal>;

/// Decisions to be sent to waiters. They are sent after the state is unlocked: if the waiter no
/// longer exists, its slot is dropped at once, which locks the state again.
type Notifications = Vec<(async_channel::Sender<Decision>, Decision)>;

/// Permission to run on the instance; released on drop.
pub struct Slot {
    shared: sync::Arc<Shared>,
    number: id::Request,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        self.shared
            .apply(|state| state.queue.release(self.number, now));
    }
}

/// A ticket that waits; removed from the queue on drop, when the caller has disconnected.
struct Waiter<'a> {
    shared: &'a sync::Arc<Shared>,
    number: id::Request,
    decision: async_channel::Receiver<Decision>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if state.waiters.remove(&self.number).is_some() {
            state.queue.remove(self.number);
        }
    }
}

/// Creates the ticket of a batch. [`Slots::acquire`] replaces its request number, since the
/// numbers of forwarded batches are unique only on the proxy that sent them.
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
    /// Creates `count` free slots.
    #[must_use]
    pub fn new(count: usize, clock: sync::Arc<dyn clock::Clock>) -> Self {
        Self(sync::Arc::new(Shared {
            clock,
            state: sync::Mutex::new(State {
                queue: admission::Queue::new(limits(count)),
                waiters: collections::HashMap::new(),
                last_request: 0,
            }),
        }))
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// Fails at once if the queue is full or the deadline cannot be met; fails later if the waiting
    /// ticket is displaced or can no longer be answered in time.
    pub async fn acquire(&self, ticket: admission::Ticket) -> Result<Slot, outcome::Outcome> {
        let waiter = self.0.offer(ticket).map_err(|refusal| not_run(&refusal))?;
        let shared = waiter.shared;
        loop {
            let decision = async { Some(waiter.decision.recv().await) };
            let expired = async {
                shared.wait_for_expiry(waiter.number, ticket.deadline).await;
                None
            };
            match future::or(decision, expired).await {
                Some(Ok(decision)) => return decision.map_err(|refusal| not_run(&refusal)),
                Some(Err(_)) => unreachable!("a decision is sent before the sender is dropped"),
                None => self.expire(),
            }
        }
    }

    /// Changes the number of slots. A decrease takes effect as running requests end.
    pub fn resize(&self, count: usize) {
        let now = self.0.clock.now();
        self.0.apply(|state| state.queue.resize(limits(count), now));
    }

    /// Number of slots in use.
    #[must_use]
    pub fn running(&self) -> usize {
        self.0.lock().queue.running()
    }

    /// Refuses the tickets that can no longer be answered in time and fills free slots.
    fn expire(&self) {
        let now = self.0.clock.now();
        self.0.apply(|state| state.queue.expire(now));
    }
}

impl Shared {
    fn offer(
        self: &sync::Arc<Self>,
        ticket: admission::Ticket,
    ) -> Result<Waiter<'_>, admission::Refusal> {
        let now = self.clock.now();
        let (sender, decision) = async_channel::bounded(1);
        let mut state = self.lock();
        state.last_request += 1;
        let number = state.last_request;
        let numbered = admission::Ticket {
            request: number,
            ..ticket
        };
        let notifications = match state.queue.offer(numbered, now) {
            admission::Verdict::Run => vec![(sender, Ok(self.slot(number)))],
            admission::Verdict::Wait { displaced } => {
                state.waiters.insert(number, sender);
                refusal_notifications(&mut state, displaced)
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
            decision,
        };
        notify(notifications);
        Ok(waiter)
    }

    /// Sleeps until the ticket can no longer be answered in time. Never returns once the ticket
    /// has its decision.
    async fn wait_for_expiry(&self, number: id::Request, deadline: id::Time) {
        loop {
            let Some(service) = self.service_if_waiting(number) else {
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

    /// Expected service time; `None` if the ticket no longer waits.
    fn service_if_waiting(&self, number: id::Request) -> Option<time::Duration> {
        let state = self.lock();
        let service = state.queue.average_service_time().unwrap_or_default();
        state.waiters.contains_key(&number).then_some(service)
    }

    fn apply(self: &sync::Arc<Self>, step: impl FnOnce(&mut State) -> admission::Change) {
        let mut state = self.lock();
        let change = step(&mut state);
        let mut notifications = refusal_notifications(&mut state, change.refused);
        for ticket in change.run {
            // Created even without a waiter: dropping it then releases the slot.
            let slot = self.slot(ticket.request);
            let waiter = state.waiters.remove(&ticket.request);
            let sender = waiter.unwrap_or_else(|| async_channel::bounded(1).0);
            notifications.push((sender, Ok(slot)));
        }
        drop(state);
        notify(notifications);
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

fn refusal_notifications(
    state: &mut State,
    refused: impl IntoIterator<Item = admission::Refusal>,
) -> Notifications {
    let notification = |refusal: admission::Refusal| {
        let sender = state.waiters.remove(&refusal.ticket.request)?;
        Some((sender, Err(refusal)))
    };
    refused.into_iter().filter_map(notification).collect()
}

fn notify(notifications: Notifications) {
    for (sender, decision) in notifications {
        // Fails if the waiter no longer exists; the slot is then released on drop.
        drop(sender.try_send(decision));
    }
}

fn limits(slots: usize) -> admission::Limits {
    admission::Limits {
        slots,
        length: MAX_WAITING,
        per_caller: MAX_WAITING_PER_CALLER,
    }
}

fn not_run(refusal: &admission::Refusal) -> outcome::Outcome {
    let detail = match refusal.reason {
        reason::Reason::Overload => "the queue before the instance is full",
        _ => "the queue before the instance leaves no time for an answer",
    };
    let retry = refusal.retry.map(with_jitter);
    outcome::Outcome::not_run(refusal.reason, detail.into(), retry)
}

/// Adds up to 50 % of jitter to a retry delay, so that callers refused at the same time do not
/// retry at the same time.
fn with_jitter(retry: time::Duration) -> time::Duration {
    retry.mul_f64(1.0 + 0.5 * fastrand::f64())
}

#[cfg(test)]
mod tests;
