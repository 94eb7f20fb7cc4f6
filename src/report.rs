//! State of this process, as reported to operators.

use std::collections;
use std::sync;
use std::sync::atomic;

use crate::admin;
use crate::directory;
use crate::drain;
use crate::id;
use crate::telemetry;

/// Collects the status and the gauges of one process.
pub struct Report {
    vm: id::Vm,
    incarnation: id::Incarnation,
    revision: atomic::AtomicU64,
    directory: sync::Arc<directory::Directory>,
    drain: drain::Signal,
    /// Groups whose gauges were set; the gauges of groups no longer served are reset to 0.
    published: sync::Mutex<collections::BTreeSet<id::Group>>,
}

impl Report {
    /// Creates a report with revision 0, before any configuration is in force.
    #[must_use]
    pub fn new(
        vm: id::Vm,
        incarnation: id::Incarnation,
        directory: sync::Arc<directory::Directory>,
        drain: drain::Signal,
    ) -> Self {
        Self {
            vm,
            incarnation,
            revision: atomic::AtomicU64::new(0),
            directory,
            drain,
            published: sync::Mutex::default(),
        }
    }

    /// Name of this VM.
    #[must_use]
    pub fn vm(&self) -> &id::Vm {
        &self.vm
    }

    /// Revision of the configuration in force; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> id::Revision {
        self.revision.load(atomic::Ordering::Acquire)
    }

    /// Records the revision in force. An earlier revision does not lower [`Self::revision`].
    pub fn set_revision(&self, revision: id::Revision) {
        self.revision.fetch_max(revision, atomic::Ordering::AcqRel);
        metrics::gauge!(telemetry::CONFIG_REVISION).set(gauge_value(revision));
    }
}

fn set_gauges(group: &id::Group, queue: usize, connections: usize) {
    let label = || group.to_string();
    metrics::gauge!(telemetry::QUEUE_DEPTH, "group" => label()).set(gauge_value(queue as u64));
    metrics::gauge!(telemetry::UPSTREAM_CONNECTIONS, "group" => label())
        .set(gauge_value(connections as u64));
}

/// Converts a count to a gauge's floating-point value; counts stay far below the first integer
/// that a float can't represent exactly.
#[allow(clippy::cast_precision_loss)]
fn gauge_value(count: u64) -> f64 {
    count as f64
}

impl admin::Source for Report {
    fn status(&self) -> admin::Status {
        admin::Status {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            revision: self.revision(),
            draining: self.drain.started(),
            groups: self.directory.status(),
        }
    }

    fn update_gauges(&self) {
        let groups = self.directory.status();
        for group in &groups {
            let connections = group.instances.iter().map(|i| i.connections).sum();
            set_gauges(&group.name, group.queue, connections);
        }
        let served: collections::BTreeSet<_> = groups.into_iter().map(|g| g.name).collect();
        let published = self.published.lock();
        let mut published = published.unwrap_or_else(sync::PoisonError::into_inner);
        published
            .difference(&served)
            .for_each(|group| set_gauges(group, 0, 0));
        *published = served;
    }
}
