//! Working connections to one instance.

use std::sync;
use std::sync::atomic;

use crate::admission;
use crate::breaker;
use crate::clock;
use crate::id;
use crate::outcome;
use crate::slots;
use crate::upstream;

/// Connections and execution slots of one instance that this proxy may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limit {
    /// Working connections; the control connection is not among them.
    pub connections: usize,
    /// Statements at once.
    pub slots: usize,
}

/// Pool of working connections to one instance, within this proxy's share.
pub struct Pool {
    upstream: sync::Arc<dyn upstream::Upstream>,
    idle: sync::Mutex<Vec<Box<dyn upstream::Connection>>>,
    connections: sync::Arc<async_lock::Semaphore>,
    slots: slots::Slots,
    breaker: sync::Mutex<breaker::Breaker>,
    clock: sync::Arc<dyn clock::Clock>,
    load: atomic::AtomicUsize,
    checked_out: sync::Arc<atomic::AtomicUsize>,
    share: sync::Mutex<Share>,
    parked: sync::Mutex<Vec<sync::Weak<GuardCell>>>,
}

/// The share as it should be, and what is still to be taken away to get there.
#[derive(Clone, Copy, Debug)]
struct Share {
    limit: Limit,
    /// Connections to be taken away.
    excess_connections: usize,
}

/// Where the connection of an open transaction waits for the caller's next batch.
type GuardCell = sync::Mutex<Option<Guard>>;

/// A connection that waits for its transaction to go on. The pool may close it: the
/// share it belongs to can end while the caller is silent.
pub struct Parked(sync::Arc<GuardCell>);

impl Parked {
    /// Takes the connection back; `None` when it has been closed.
    #[must_use]
    pub fn resume(self) -> Option<Guard> {
        lock(&self.0).take()
    }
}

/// A connection that is checked out; closed on drop unless it was put back.
pub struct Guard {
    /// The connection itself.
    pub connection: Box<dyn upstream::Connection>,
    /// Held so that the share is respected until the connection is closed.
    permit: async_lock::SemaphoreGuardArc,
    checked_out: CheckedOut,
    /// Slot that a writing transaction keeps between its statements. Its next statement
    /// would otherwise wait behind writes that themselves wait, inside the instance, for
    /// locks of this very transaction.
    pub slot: Option<slots::Slot>,
}

/// Counts a connection as lent while it lives.
struct CheckedOut(sync::Arc<atomic::AtomicUsize>);

impl CheckedOut {
    fn new(count: &sync::Arc<atomic::AtomicUsize>) -> Self {
        count.fetch_add(1, atomic::Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for CheckedOut {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Counts one request before the instance while it lives.
pub struct Waiting<'a>(&'a atomic::AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Pool {
    /// A pool before `upstream` with the given share.
    #[must_use]
    pub fn new(
        upstream: sync::Arc<dyn upstream::Upstream>,
        limit: Limit,
        clock: sync::Arc<dyn clock::Clock>,
    ) -> Self {
        Self {
            upstream,
            idle: sync::Mutex::default(),
            connections: sync::Arc::new(async_lock::Semaphore::new(limit.connections)),
            slots: slots::Slots::new(limit.slots, clock.clone()),
            breaker: sync::Mutex::new(breaker::Breaker::new(breaker::Limits::default())),
            clock,
            load: atomic::AtomicUsize::new(0),
            checked_out: sync::Arc::default(),
            share: sync::Mutex::new(Share {
                limit,
                excess_connections: 0,
            }),
            parked: sync::Mutex::default(),
        }
    }

    /// Requests running or waiting before this instance.
    #[must_use]
    pub fn load(&self) -> usize {
        self.load.load(atomic::Ordering::Relaxed)
    }

    /// Open working connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.lock_idle().len() + self.checked_out.load(atomic::Ordering::Relaxed)
    }

    /// Counts a request as load until the result is dropped.
    #[must_use]
    pub fn enter(&self) -> Waiting<'_> {
        self.load.fetch_add(1, atomic::Ordering::Relaxed);
        Waiting(&self.load)
    }

    /// Waits for a slot in the order of the queue.
    ///
    /// # Errors
    /// When the queue refuses the ticket: it surely did not run.
    pub async fn slot(&self, ticket: admission::Ticket) -> Result<slots::Slot, outcome::Outcome> {
        self.slots.acquire(ticket).await
    }

    /// Whether the breaker lets a request through now.
    #[must_use]
    pub fn passes(&self) -> bool {
        lock(&self.breaker).passes(self.clock.now())
    }

    /// Leave from the breaker for one request, whose result is to be recorded.
    #[must_use]
    pub fn permit(&self) -> Option<breaker::Permit> {
        lock(&self.breaker).permit(self.clock.now())
    }

    /// Records the result of a request with the breaker.
    pub fn record(&self, permit: breaker::Permit, success: bool) {
        let now = self.clock.now();
        let mut breaker = lock(&self.breaker);
        if success {
            breaker.success(permit, now);
        } else {
            breaker.failure(permit, now, &mut fastrand::Rng::new());
        }
    }

    /// Checks a connection out, opening one when none is idle. A connection to an
    /// earlier incarnation of the instance is closed, since the instance may have
    /// lost records that the caller must see.
    ///
    /// # Errors
    /// When a new connection cannot be opened.
    pub async fn checkout(
        &self,
        incarnation: Option<id::Incarnation>,
    ) -> Result<Guard, upstream::Failure> {
        let permit = self.connections.acquire_arc().await;
        let checked_out = CheckedOut::new(&self.checked_out);
        let connection = match self.take_idle(incarnation) {
            Some(connection) => connection,
            None => self.upstream.open().await?,
        };
        if incarnation.is_some_and(|wanted| connection.incarnation() != wanted) {
            let detail = "the instance was started anew since it was chosen";
            return Err(upstream::Failure::NotRun(detail.into()));
        }
        Ok(Guard {
            connection,
            permit,
            checked_out,
            slot: None,
        })
    }

    /// Takes back a connection whose last batch was answered whole.
    pub fn put_back(&self, guard: Guard) {
        let Guard {
            connection,
            permit,
            checked_out,
            slot,
        } = guard;
        drop(slot);
        // Idle before the permit is free, or the next request would open one too many.
        self.lock_idle().push(connection);
        drop(checked_out);
        drop(permit);
    }

    /// Keeps the connection of an open transaction until its next batch.
    #[must_use]
    pub fn park(&self, guard: Guard) -> Parked {
        let cell = sync::Arc::new(sync::Mutex::new(Some(guard)));
        let mut parked = lock(&self.parked);
        parked.retain(|cell| cell.strong_count() > 0);
        parked.push(sync::Arc::downgrade(&cell));
        Parked(cell)
    }

    /// Closes every connection that runs nothing. Open transactions are rolled back.
    pub fn revoke(&self) {
        self.lock_idle().clear();
        let parked = std::mem::take(&mut *lock(&self.parked));
        for cell in parked.iter().filter_map(sync::Weak::upgrade) {
            drop(lock(&cell).take());
        }
    }

    /// Changes the share. More takes effect at once; less as work ends, see `settle`.
    pub fn resize(&self, limit: Limit) {
        let mut share = lock(&self.share);
        let connections = resize_permits(
            share.limit.connections,
            limit.connections,
            &mut share.excess_connections,
        );
        share.limit = limit;
        drop(share);
        self.connections.add_permits(connections);
        self.slots.resize(limit.slots);
        self.settle();
    }

    /// Takes away what is free of a share that has become smaller. True when no more
    /// is in use than the share allows.
    pub fn settle(&self) -> bool {
        let mut share = lock(&self.share);
        share.excess_connections -= remove_permits(&self.connections, share.excess_connections);
        let mut idle = self.lock_idle();
        let checked_out = self.checked_out.load(atomic::Ordering::Relaxed);
        idle.truncate(share.limit.connections.saturating_sub(checked_out));
        let slots = self.slots.running() <= share.limit.slots;
        slots && share.excess_connections == 0 && checked_out <= share.limit.connections
    }

    fn take_idle(
        &self,
        incarnation: Option<id::Incarnation>,
    ) -> Option<Box<dyn upstream::Connection>> {
        let mut idle = self.lock_idle();
        if let Some(wanted) = incarnation {
            idle.retain(|connection| connection.incarnation() == wanted);
        }
        idle.pop()
    }

    fn lock_idle(&self) -> sync::MutexGuard<'_, Vec<Box<dyn upstream::Connection>>> {
        lock(&self.idle)
    }
}

/// Permits to add at once; a decrease is noted in `excess` instead.
fn resize_permits(old: usize, new: usize, excess_connections: &mut usize) -> usize {
    let growth = new.saturating_sub(old);
    let repaid = growth.min(*excess_connections);
    *excess_connections = *excess_connections - repaid + old.saturating_sub(new);
    growth - repaid
}

/// Takes up to `count` free permits away for good.
fn remove_permits(semaphore: &sync::Arc<async_lock::Semaphore>, count: usize) -> usize {
    let free = (0..count).map_while(|_| semaphore.try_acquire_arc());
    free.map(async_lock::SemaphoreGuardArc::forget).count()
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
