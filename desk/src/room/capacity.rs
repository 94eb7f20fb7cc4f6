//! How many connections this node may have to an instance, and how many are useful.

use std::cell;
use std::time;

use mangotray::id;

use crate::boot;
use crate::room::size;
use crate::room::transactions;

/// Delay before a new connection to an instance that reported that it has none left.
const FULL_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// The bounds on the number of connections to one instance.
pub(crate) struct Capacity {
    size: cell::Cell<size::Size>,
    /// Connections with an open transaction.
    pinned: cell::Cell<usize>,
    full_until: cell::Cell<id::Time>,
    /// Connections that this node had when the instance last reported that it was full, and until
    /// when it opens no more than these.
    ceiling: cell::Cell<(usize, id::Time)>,
}

impl Capacity {
    pub(crate) fn new(size: size::Size) -> Self {
        Self {
            size: cell::Cell::new(size),
            pinned: cell::Cell::default(),
            full_until: cell::Cell::default(),
            ceiling: cell::Cell::default(),
        }
    }

    pub(crate) fn resize(&self, size: size::Size) {
        self.size.set(size);
    }

    pub(crate) fn size(&self) -> size::Size {
        self.size.get()
    }

    /// Idle time after which a connection beyond the minimum is closed.
    pub(crate) fn idle_timeout(&self) -> time::Duration {
        self.size.get().idle_timeout
    }

    /// Whether this node holds the connections for other nodes too.
    pub(crate) fn lends(&self) -> bool {
        self.size.get().lends
    }

    /// Bounds on open transactions, with this concurrency limit.
    pub(crate) fn transaction_bounds(&self, window: usize) -> transactions::Bounds {
        let size = self.size.get();
        transactions::Bounds {
            count: transactions::bound(size.max_connections, window),
            idle_timeout: size.transaction_idle,
        }
    }

    /// Counts one more connection with an open transaction.
    pub(crate) fn pin(&self) {
        self.pinned.set(self.pinned.get() + 1);
    }

    /// Counts one connection with an open transaction less.
    pub(crate) fn unpin(&self) {
        self.pinned.set(self.pinned.get() - 1);
    }

    /// Whether the instance reported a short time ago that it has no connection left for this
    /// node, which had no other.
    pub(crate) fn is_full(&self) -> bool {
        boot::now() < self.full_until.get()
    }

    /// Records that the instance reported that it is full, while this node has `others`
    /// connections to it. The node keeps these, so an idle one can still be replaced.
    pub(crate) fn note_full(&self, others: usize) {
        let until = boot::now() + FULL_RETRY_DELAY;
        if others == 0 {
            self.full_until.set(until);
        } else {
            self.ceiling.set((others, until));
        }
    }

    /// Number of connections that are useful now: those of open transactions, one for each
    /// statement within the concurrency limit `window`, and one for the next statement. Any more
    /// would only be held by statements that wait.
    pub(crate) fn useful(&self, window: usize) -> usize {
        let useful = self.pinned.get() + window + 1;
        useful.min(self.size.get().max_connections)
    }

    /// Number of connections that this node may have now.
    pub(crate) fn limit(&self) -> usize {
        let most = self.size.get().max_connections;
        match self.ceiling.get() {
            (ceiling, until) if boot::now() < until => most.min(ceiling),
            _ => most,
        }
    }
}
