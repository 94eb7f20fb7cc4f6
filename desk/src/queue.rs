//! Requests that wait for something scarce, the most urgent first.
//!
//! Once a queue stands, serving it in order makes everybody late: those that are served
//! have waited the longest, and those that come wait as long. The newest go first then:
//! as many are served, most of them in time. Routes with the shorter objective go before
//! those whose callers are still served well a second later.

use std::cell;
use std::time;

use mangotray::id;

use crate::boot;
use crate::urgency;
use crate::wait;

/// A queue whose oldest request has waited this long stands: it is half of the time in which
/// a booking is due, and longer than a burst of a few requests takes.
const STANDING: time::Duration = time::Duration::from_millis(80);

struct Waiter {
    urgency: urgency::Urgency,
    number: u64,
    since: id::Time,
    wake: async_channel::Sender<()>,
}

impl Waiter {
    fn rank(&self, newest_first: bool) -> (u8, time::Duration, u64) {
        let urgency = &self.urgency;
        if newest_first {
            (urgency.priority, urgency.objective, u64::MAX - self.number)
        } else {
            (urgency.priority, urgency.due, self.number)
        }
    }
}

/// A queue.
#[derive(Default)]
pub struct Queue {
    waiting: cell::RefCell<Vec<Waiter>>,
    number: cell::Cell<u64>,
}

impl Queue {
    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits to be woken; `false` when `deadline` comes first.
    pub async fn wait(&self, urgency: urgency::Urgency, deadline: id::Time) -> bool {
        let (wake, woken) = async_channel::bounded(1);
        let number = self.number.get();
        self.number.set(number + 1);
        self.waiting.borrow_mut().push(Waiter {
            urgency,
            number,
            since: boot::now(),
            wake,
        });
        let place = Place(self, number);
        let result = wait::until(deadline, woken.recv()).await;
        drop(place);
        if result.is_none() && woken.try_recv().is_ok() {
            // A wake-up that came too late for this one belongs to the next.
            self.wake();
        }
        result.is_some()
    }

    /// Wakes the most urgent.
    pub fn wake(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let oldest = waiting.iter().map(|waiter| waiter.since).min();
        let stands = oldest.is_some_and(|since| boot::now().saturating_sub(since) > STANDING);
        let next = (0..waiting.len()).min_by_key(|index| waiting[*index].rank(stands));
        if let Some(index) = next {
            let waiter = waiting.swap_remove(index);
            // The receiver is gone only when its request was dropped; nobody is owed then.
            let _ = waiter.wake.try_send(());
        }
    }

    /// Wakes all.
    pub fn wake_all(&self) {
        for waiter in self.waiting.take() {
            // As above.
            let _ = waiter.wake.try_send(());
        }
    }
}

/// A place in a queue, left when the request is dropped.
struct Place<'a>(&'a Queue, u64);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let number = self.1;
        self.0
            .waiting
            .borrow_mut()
            .retain(|waiter| waiter.number != number);
    }
}
