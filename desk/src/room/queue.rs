//! A queue of requests that wait for a limited resource, woken in the order of
//! [`crate::room::schedule`] or, between organisations, of [`crate::room::turns`].

use std::cell;
use std::time;

use mangotray::id;

use crate::boot;
use crate::organisation;
use crate::room::schedule;
use crate::room::shedding;
use crate::room::turns;
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
    /// Whether organisations are served in turn.
    fair: cell::Cell<bool>,
    turns: cell::RefCell<turns::Turns>,
    /// Number of requests that were woken and have not continued yet.
    woken: cell::Cell<usize>,
    /// Rate at which requests were woken while others waited.
    rate: cell::Cell<shedding::Rate>,
    /// When the first request began to wait, since the queue was last empty.
    backlog_since: cell::Cell<id::Time>,
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

    /// Sets whether organisations are served in turn.
    pub fn set_fair(&self, fair: bool) {
        self.fair.set(fair);
    }

    /// Returns whether organisations are served in turn.
    #[must_use]
    pub const fn is_fair(&self) -> bool {
        self.fair.get()
    }

    /// Returns the number of requests that were woken and have not continued yet.
    #[must_use]
    pub const fn woken(&self) -> usize {
        self.woken.get()
    }

    /// Charges an organisation with a request that did not have to wait.
    pub fn charge(&self, organisation: &organisation::Name) {
        if !self.is_fair() {
            return;
        }
        let wakers = self.wakers.borrow();
        let waiting: Vec<_> = wakers.iter().map(|waker| &waker.organisation).collect();
        self.turns.borrow_mut().charge(organisation, &waiting);
    }

    /// Replaces the expected work that an organisation was charged with by what a request took.
    pub fn settle(&self, organisation: &organisation::Name, took: time::Duration) {
        if self.is_fair() {
            self.turns.borrow_mut().settle(organisation, took);
        }
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
        if self.is_empty() {
            self.backlog_since.set(boot::now());
        }
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
        let guard = Guard {
            queue: self,
            number,
            organisation,
            continued: cell::Cell::new(false),
        };
        let result = wait::until(deadline, woken.recv()).await;
        guard.continued.set(result.is_some());
        drop(guard);
        if result.is_none() && woken.try_recv().is_ok() && !self.is_fair() {
            // This request was woken after its deadline; the wake-up goes to the next one.
            self.wake();
        }
        result.is_some()
    }

    /// Returns when a request that arrives should come back, if it clearly cannot start in time.
    #[must_use]
    pub fn refusal(
        &self,
        organisation: &organisation::Name,
        urgency: &urgency::Urgency,
        deadline: id::Time,
    ) -> Option<time::Duration> {
        let (entries, wakers) = (self.entries.borrow(), self.wakers.borrow());
        let names: Vec<_> = wakers.iter().map(|waker| &waker.organisation).collect();
        let turns = self.turns.borrow();
        let priority = urgency.priority;
        let ahead = shedding::Ahead::of(&turns, &entries, &names, organisation, priority);
        let now = boot::now();
        let left = deadline.min(urgency.until).saturating_sub(now);
        shedding::refuse(ahead, entries.len(), self.rate.get().interval(now), left)
    }

    /// Returns the organisation whose waiting request should get a place that `holder` gives back,
    /// rather than the next request of `holder` itself, which could use the place without delay.
    /// Leaves out organisations with as many places on the way, by `coming`, as waiting requests.
    #[must_use]
    pub fn rival(
        &self,
        holder: &organisation::Name,
        coming: impl Fn(&organisation::Name) -> usize,
    ) -> Option<organisation::Name> {
        if !self.is_fair() {
            return None;
        }
        let (entries, wakers) = (self.entries.borrow(), self.wakers.borrow());
        let of = |index: &usize| &wakers[*index].organisation;
        let (own, others): (Vec<_>, Vec<_>) =
            (0..wakers.len()).partition(|index| of(index) == holder);
        let short = |index: &usize| self.count_waiting(of(index)) > coming(of(index));
        let others: Vec<_> = others.into_iter().filter(short).collect();
        let served = self.served.get() + 1;
        let (own, other) = (
            self.next_among(&own, served)?,
            self.next_among(&others, served)?,
        );
        let turns = self.turns.borrow();
        let lead = turns.start(holder).saturating_sub(turns.start(of(&other)));
        turns::changes_hands(&entries[own], &entries[other], lead).then(|| of(&other).clone())
    }

    /// Wakes the request that is next.
    pub fn wake(&self) {
        let served = self.served.get() + 1;
        if let Some(index) = self.next(served) {
            self.served.set(served);
            self.wake_at(index);
        }
    }

    fn next(&self, served: u64) -> Option<usize> {
        if !self.is_fair() {
            return schedule::next(&self.entries.borrow(), boot::now(), served);
        }
        let all: Vec<_> = (0..self.len()).collect();
        self.next_among(&all, served)
    }

    // The next in turn of the requests with these indices.
    fn next_among(&self, indices: &[usize], served: u64) -> Option<usize> {
        let (entries, wakers) = (self.entries.borrow(), self.wakers.borrow());
        let claims: Vec<_> = indices.iter().map(|index| entries[*index]).collect();
        let names = indices.iter().map(|index| &wakers[*index].organisation);
        let names: Vec<_> = names.collect();
        let turns = self.turns.borrow();
        let next = turns.next(&claims, &names, boot::now(), served);
        next.map(|next| indices[next])
    }

    /// Wakes the next request of an organisation, or the next of all if none of its requests waits.
    pub fn wake_for(&self, organisation: &organisation::Name) {
        self.wake_among(|name| name == organisation);
    }

    /// Wakes the next request of the organisations for which `may` holds, or the next of all if
    /// none of these waits.
    pub fn wake_among(&self, may: impl Fn(&organisation::Name) -> bool) {
        let indices: Vec<_> = {
            let wakers = self.wakers.borrow();
            let may = |index: &usize| may(&wakers[*index].organisation);
            (0..wakers.len()).filter(may).collect()
        };
        let served = self.served.get() + 1;
        let Some(index) = self.next_among(&indices, served) else {
            return self.wake();
        };
        self.served.set(served);
        self.wake_at(index);
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
        let mut rate = self.rate.get();
        rate.note(boot::now(), self.backlog_since.get());
        self.rate.set(rate);
        let organisation = self.wakers.borrow()[index].organisation.clone();
        self.charge(&organisation);
        let waker = self.remove(index);
        self.send(&waker);
    }

    /// Wakes all requests.
    pub fn wake_all(&self) {
        for waker in self.wakers.borrow().iter() {
            self.charge(&waker.organisation);
        }
        self.entries.take();
        for waker in self.wakers.take() {
            self.send(&waker);
        }
    }

    fn send(&self, waker: &Waker) {
        // Sending fails only if the request was dropped, which then needs no wake-up.
        if waker.wake.try_send(()).is_ok() {
            self.woken.set(self.woken.get() + 1);
        }
    }

    fn remove(&self, index: usize) -> Waker {
        self.entries.borrow_mut().swap_remove(index);
        self.wakers.borrow_mut().swap_remove(index)
    }
}

/// Removes a request's entry from the queue when dropped, or counts its wake-up as done.
struct Guard<'a> {
    queue: &'a Queue,
    number: u64,
    organisation: &'a organisation::Name,
    /// Whether the request was woken in time and has continued.
    continued: cell::Cell<bool>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let queue = self.queue;
        let found = queue
            .entries
            .borrow()
            .iter()
            .position(|entry| entry.number == self.number);
        if let Some(index) = found {
            queue.remove(index);
            return;
        }
        queue.woken.set(queue.woken.get() - 1);
        if queue.is_fair() && !self.continued.get() {
            // It was woken after its deadline, or dropped before it continued. A place that is
            // reserved for it would otherwise stay unused.
            queue.settle(self.organisation, time::Duration::ZERO);
            queue.wake();
        }
    }
}
