//! Counters of a stand-in instance.

use std::sync::Arc;

use crate::instance;

/// Counters of one instance since its cluster's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Greatest number of connections open at once.
    pub peak_connections: usize,
    /// Greatest number of slots in use at once.
    pub peak_busy: usize,
    /// Statements run, without those of the control path.
    pub statements: usize,
    /// Connections refused because the limit was reached.
    pub refused_connections: usize,
    /// Connections open now.
    pub connections: usize,
    /// Slots in use now.
    pub busy_slots: usize,
    /// Batches received and not yet answered, including those that wait for a slot.
    pub batches: usize,
}

/// An open connection; it is counted until this is dropped.
pub(crate) struct Connection(Arc<instance::Instance>);

impl Connection {
    /// Counts a new connection; `None` when the instance has reached its limit.
    pub(crate) fn acquire(instance: &Arc<instance::Instance>) -> Option<Self> {
        let mut stats = instance.stats();
        if stats.connections >= instance.options.connections {
            stats.refused_connections += 1;
            return None;
        }
        stats.connections += 1;
        stats.peak_connections = stats.peak_connections.max(stats.connections);
        Some(Self(Arc::clone(instance)))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.stats().connections -= 1;
    }
}

/// A batch in progress; it is counted until this is dropped.
pub(crate) struct Batch(Arc<instance::Instance>);

impl Batch {
    pub(crate) fn count(instance: &Arc<instance::Instance>) -> Self {
        instance.stats().batches += 1;
        Self(Arc::clone(instance))
    }
}

impl Drop for Batch {
    fn drop(&mut self) {
        self.0.stats().batches -= 1;
    }
}

/// A slot in use; it is counted until this is dropped.
pub(crate) struct BusySlot<'a>(&'a instance::Instance);

impl<'a> BusySlot<'a> {
    pub(crate) fn count(instance: &'a instance::Instance) -> Self {
        let mut stats = instance.stats();
        stats.busy_slots += 1;
        stats.peak_busy = stats.peak_busy.max(stats.busy_slots);
        Self(instance)
    }
}

impl Drop for BusySlot<'_> {
    fn drop(&mut self) {
        self.0.stats().busy_slots -= 1;
    }
}
