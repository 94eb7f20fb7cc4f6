//! Connection pool of one instance.

use std::sync;
use std::sync::atomic;

use crate::admission;
use crate::breaker;
use crate::clock;
use crate::id;
use crate::outcome;
use crate::slots;
use crate::upstream;

/// This proxy's share of the connections and execution slots of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limit {
    /// Maximum number of working connections; the control connection is not counted.
    pub connections: usize,
    /// Maximum number of statements that run at once.
    pub slots: usize,
}

/// Pool of working connections to one instance, limited to this proxy's share.
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

/// The target share, and the number of permits still to be removed to reach it.
#[derive(Clone, Copy, Debug)]
struct Share {
    limit: Limit,
    /// Connection permits still to be removed.
    excess_connections: usize,
}

/// Holds the connection of an open transaction until the caller's next batch.
type GuardCell = sync::Mutex<Option<Guard>>;

/// Connection of an open transaction between two batches. The pool may close it, since the share
/// it belongs to can end while the caller is idle.
pub struct Parked(sync::Arc<GuardCell>);

impl Parked {
    /// Returns the connection; `None` if the pool has closed it.
    #[must_use]
    pub fn resume(self) -> Option<Guard> {
        lock(&self.0).take()
    }
}

/// A checked-out connection; closed on drop unless it was put back.
pub struct Guard {
    /// The upstream connection.
    pub connection: Box<dyn upstream::Connection>,
    /// Counts the connection against the share until it is closed or put back.
    permit: async_lock::SemaphoreGuardArc,
    checked_out: CheckedOut,
    /// Slot that a writing transaction keeps between its statements. Otherwise its next statement
    /// could wait for a slot behind writes that wait in the instance for locks of this same
    /// transaction.
    pub slot: Option<slots::Slot>,
}

/// Counts a connection as checked out until dropped.
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

/// Counts one request as load of the instance until dropped.
pub struct LoadGuard<'a>(&'a atomic::AtomicUsize);

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Pool {
    /// Creates a pool of connections to `upstream`, limited to the given share.
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

    /// Number of requests that run on or wait for this instance.
    #[must_use]
    pub fn load(&self) -> usize {
        self.load.load(atomic::Ordering::Relaxed)
    }

    /// Number of open working connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.lock_idle().len() + self.checked_out.load(atomic::Ordering::Relaxed)
    }

    /// Counts a request as load until the returned guard is dropped.
    #[must_use]
    pub fn count_request(&self) -> LoadGuard<'_> {
        self.load.fetch_add(1, atomic::Ordering::Relaxed);
        LoadGuard(&self.load)
    }

    /// Waits for a slot in the order of the admission queue.
    ///
    /// # Errors
    /// Fails if the queue refuses the ticket; the request has then not run.
    pub async fn acquire_slot(
        &self,
        ticket: admission::Ticket,
    ) -> Result<slots::Slot, outcome::Outcome> {
        self.slots.acquire(ticket).await
    }

    /// Whether the circuit breaker admits a request now.
    #[must_use]
    pub fn admits(&self) -> bool {
        lock(&self.breaker).admits(self.clock.now())
    }

    /// Permit of the circuit breaker for one request, whose result must be passed to
    /// `record_result`; `None` if the breaker does not admit it.
    #[must_use]
    pub fn permit(&self) -> Option<breaker::Permit> {
        lock(&self.breaker).permit(self.clock.now())
    }

    /// Records the result of a request in the circuit breaker.
    pub fn record_result(&self, permit: breaker::Permit, success: bool) {
        let now = self.clock.now();
        let mut breaker = lock(&self.breaker);
        if success {
            breaker.record_success(permit, now);
        } else {
            breaker.record_failure(permit, now, &mut fastrand::Rng::new());
        }
    }

    /// Checks out an idle connection, or opens one if none is idle. Idle connections to another
    /// incarnation of the instance are closed, since the instance may have lost records that the
    /// caller must see.
    ///
    /// # Errors
    /// Fails if a new connection cannot be opened or belongs to another incarnation.
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
            let detail = "the instance was restarted after it was chosen";
            return Err(upstream::Failure::NotRun(detail.into()));
        }
        Ok(Guard {
            connection,
            permit,
            checked_out,
            slot: None,
        })
    }

    /// Returns a connection to the pool; its last batch must have been answered completely.
    pub fn put_back(&self, guard: Guard) {
        let Guard {
            connection,
            permit,
            checked_out,
            slot,
        } = guard;
        drop(slot);
        // The connection becomes idle before its permit is released: otherwise the next request
        // would open one connection too many.
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

    /// Closes all idle and parked connections. Their open transactions are rolled back.
    pub fn revoke(&self) {
        self.lock_idle().clear();
        let parked = std::mem::take(&mut *lock(&self.parked));
        for cell in parked.iter().filter_map(sync::Weak::upgrade) {
            drop(lock(&cell).take());
        }
    }

    /// Changes the share. An increase takes effect at once, a decrease as requests end, see
    /// `trim_to_share`.
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
        self.trim_to_share();
    }

    /// Removes free permits and idle connections that exceed a reduced share. Returns true if no
    /// more connections and slots are in use than the share allows.
    pub fn trim_to_share(&self) -> bool {
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

/// Number of permits to add at once; a decrease is added to `excess_connections` instead.
fn resize_permits(old: usize, new: usize, excess_connections: &mut usize) -> usize {
    let growth = new.saturating_sub(old);
    let repaid = growth.min(*excess_connections);
    *excess_connections = *excess_connections - repaid + old.saturating_sub(new);
    growth - repaid
}

/// Permanently removes up to `count` free permits and returns the number removed.
fn remove_permits(semaphore: &sync::Arc<async_lock::Semaphore>, count: usize) -> usize {
    let free = (0..count).map_while(|_| semaphore.try_acquire_arc());
    free.map(async_lock::SemaphoreGuardArc::forget).count()
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
