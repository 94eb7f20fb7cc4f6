//! A queue of requests that wait for a limited resource, woken in the order of [`crate::room::schedule`].

use std::cell;

use mangotray::id;

use crate::boot;
use crate::organisation;
use crate::room::schedule;
use crate::urgency;
use crate::wait;

/// Wakes the request whose entry has the same index.
struct Waker {
    wake: async_channel::Sender<()>,
    organisation: organisation::Name,
}

/// A queue of waiting requests, ordered by urgency.
#[derive(Default)]
pub struct Queue {
    entries: cell::RefCell<Vec<schedule::Entry>>,
    /// The wakers of `entries`, by the same index.
    wakers: cell::RefCell<Vec<Waker>>,
    /// Sequence number of the next entry.
    number: cell::Cell<u64>,
    /// Number of requests woken one at a time so far.
    served: cell::Cell<u64>,
}

impl Queue {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits to be woken; returns `false` if `deadline` passes first. `since` is when the request
    /// began to wait, which may be before this call.
    pub async fn wait(
        &self,
        organisation: &organisation::Name,
        urgency: urgency::Urgency,
        since: id::Time,
        deadline: id::Time,
    ) -> bool {
        let (wake, woken) = async_channel::bounded(1);
        let number = self.number.get();
        self.number.set(number + 1);
        self.entries.borrow_mut().push(schedule::Entry {
            urgency,
            number,
            since,
        });
        self.wakers.borrow_mut().push(Waker {
            wake,
            organisation: organisation.clone(),
        });
        let guard = Guard(self, number);
        let result = wait::until(deadline, woken.recv()).await;
        drop(guard);
        if result.is_none() && woken.try_recv().is_ok() {
            // This request was woken after its deadline; the wake-up goes to the next one.
            self.wake();
        }
        result.is_some()
    }

    /// Wakes the request that [`schedule::next`] picks.
    pub fn wake(&self) {
        let served = self.served.get() + 1;
        let next = schedule::next(&self.entries.borrow(), boot::now(), served);
        if let Some(index) = next {
            self.served.set(served);
            self.wake_at(index);
        }
    }

    /// Wakes the next request of an organisation, or the next of all if none of its requests waits.
    pub fn wake_for(&self, organisation: &organisation::Name) {
        let indices: Vec<_> = {
            let wakers = self.wakers.borrow();
            let of = |index: &usize| wakers[*index].organisation == *organisation;
            (0..wakers.len()).filter(of).collect()
        };
        if indices.is_empty() {
            return self.wake();
        }
        let served = self.served.get() + 1;
        let entries: Vec<_> = {
            let entries = self.entries.borrow();
            indices.iter().map(|index| entries[*index]).collect()
        };
        if let Some(index) = schedule::next(&entries, boot::now(), served) {
            self.served.set(served);
            self.wake_at(indices[index]);
        }
    }

    /// Returns the number of waiting requests of an organisation.
    #[must_use]
    pub fn count_waiting(&self, organisation: &organisation::Name) -> usize {
        let wakers = self.wakers.borrow();
        let of = wakers
            .iter()
            .filter(|waker| waker.organisation == *organisation);
        of.count()
    }

    fn wake_at(&self, index: usize) {
        // Sending fails only if the request was dropped, which then needs no wake-up.
        let _ = self.remove(index).wake.try_send(());
    }

    /// Wakes all requests.
    pub fn wake_all(&self) {
        self.entries.take();
        for waker in self.wakers.take() {
            // Sending fails only if the request was dropped, which then needs no wake-up.
            let _ = waker.wake.try_send(());
        }
    }

    fn remove(&self, index: usize) -> Waker {
        self.entries.borrow_mut().swap_remove(index);
        self.wakers.borrow_mut().swap_remove(index)
    }
}

/// Removes a request's entry from the queue when dropped.
struct Guard<'a>(&'a Queue, u64);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let number = self.1;
        let found = self
            .0
            .entries
            .borrow()
            .iter()
            .position(|entry| entry.number == number);
        if let Some(index) = found {
            self.0.remove(index);
        }
    }
}
