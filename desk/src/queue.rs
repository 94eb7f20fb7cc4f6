//! Requests that wait for something scarce; [`crate::order`] says who goes next.

use std::cell;

use mangotray::id;

use crate::boot;
use crate::organisation;
use crate::schedule;
use crate::urgency;
use crate::wait;

/// One that waits at the same index of the places.
struct Waker {
    wake: async_channel::Sender<()>,
    organisation: organisation::Name,
}

/// A queue.
#[derive(Default)]
pub struct Queue {
    entries: cell::RefCell<Vec<schedule::Entry>>,
    /// Wakes those who wait at the same index.
    wakers: cell::RefCell<Vec<Waker>>,
    number: cell::Cell<u64>,
    /// Requests woken so far.
    served: cell::Cell<u64>,
}

impl Queue {
    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits to be woken; `false` when `deadline` comes first. It has waited since `since` already.
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
            // A wake-up that came too late for this one belongs to the next.
            self.wake();
        }
        result.is_some()
    }

    /// Wakes the most urgent.
    pub fn wake(&self) {
        let served = self.served.get() + 1;
        let next = schedule::next(&self.entries.borrow(), boot::now(), served);
        if let Some(index) = next {
            self.served.set(served);
            self.wake_at(index);
        }
    }

    /// Wakes the most urgent of an organisation; the most urgent of all where none of it waits.
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

    /// How many of an organisation wait.
    #[must_use]
    pub fn count_waiting(&self, organisation: &organisation::Name) -> usize {
        let wakers = self.wakers.borrow();
        let of = wakers
            .iter()
            .filter(|waker| waker.organisation == *organisation);
        of.count()
    }

    fn wake_at(&self, index: usize) {
        // The receiver is gone only when its request was dropped; nobody is owed then.
        let _ = self.remove(index).wake.try_send(());
    }

    /// Wakes all.
    pub fn wake_all(&self) {
        self.entries.take();
        for waker in self.wakers.take() {
            // The receiver is gone only when its request was dropped; nobody is owed then.
            let _ = waker.wake.try_send(());
        }
    }

    fn remove(&self, index: usize) -> Waker {
        self.entries.borrow_mut().swap_remove(index);
        self.wakers.borrow_mut().swap_remove(index)
    }
}

/// A place in a queue, left when the request is dropped.
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
