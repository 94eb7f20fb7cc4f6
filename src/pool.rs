//! Working connections to one instance.

use std::sync;
use std::sync::atomic;

use crate::id;
use crate::upstream;

/// Connections and execution slots of one instance that this proxy may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
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
    slots: sync::Arc<async_lock::Semaphore>,
    waiting: atomic::AtomicUsize,
    lent: sync::Arc<atomic::AtomicUsize>,
}

/// A connection that is checked out; closed on drop unless it was put back.
pub struct Guard {
    /// The connection itself.
    pub connection: Box<dyn upstream::Connection>,
    /// Held so that the share is respected until the connection is closed.
    permit: async_lock::SemaphoreGuardArc,
    lent: Lent,
}

/// Counts a connection as lent while it lives.
struct Lent(sync::Arc<atomic::AtomicUsize>);

impl Lent {
    fn new(count: &sync::Arc<atomic::AtomicUsize>) -> Self {
        count.fetch_add(1, atomic::Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Permission to run one statement at the instance.
pub type Slot = async_lock::SemaphoreGuardArc;

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
    pub fn new(upstream: sync::Arc<dyn upstream::Upstream>, limit: Limit) -> Self {
        Self {
            upstream,
            idle: sync::Mutex::default(),
            connections: sync::Arc::new(async_lock::Semaphore::new(limit.connections)),
            slots: sync::Arc::new(async_lock::Semaphore::new(limit.slots)),
            waiting: atomic::AtomicUsize::new(0),
            lent: sync::Arc::default(),
        }
    }

    /// Requests running or waiting before this instance.
    #[must_use]
    pub fn load(&self) -> usize {
        self.waiting.load(atomic::Ordering::Relaxed)
    }

    /// Open working connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.lock_idle().len() + self.lent.load(atomic::Ordering::Relaxed)
    }

    /// Counts a request as load until the result is dropped.
    #[must_use]
    pub fn enter(&self) -> Waiting<'_> {
        self.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        Waiting(&self.waiting)
    }

    /// Waits for a slot.
    pub async fn slot(&self) -> Slot {
        self.slots.acquire_arc().await
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
        let lent = Lent::new(&self.lent);
        let connection = match self.take_idle(incarnation) {
            Some(connection) => connection,
            None => self.upstream.open().await?,
        };
        Ok(Guard {
            connection,
            permit,
            lent,
        })
    }

    /// Takes back a connection whose last batch was answered whole.
    pub fn put_back(&self, guard: Guard) {
        let Guard {
            connection,
            permit,
            lent,
        } = guard;
        // Idle before the permit is free, or the next request would open one too many.
        self.lock_idle().push(connection);
        drop(lent);
        drop(permit);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock_idle().clear();
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
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
