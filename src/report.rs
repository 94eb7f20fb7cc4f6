//! State of this process, as operators see it.

use std::sync;
use std::sync::atomic;

use crate::admin;
use crate::directory;
use crate::drain;
use crate::id;

/// Collects the state of one process.
pub struct Report {
    vm: id::Vm,
    incarnation: id::Incarnation,
    revision: atomic::AtomicU64,
    directory: sync::Arc<directory::Directory>,
    drain: drain::Signal,
}

impl Report {
    /// A report before any configuration is in force.
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
        }
    }

    /// Name of this VM.
    #[must_use]
    pub fn vm(&self) -> &id::Vm {
        &self.vm
    }

    /// Revision in force; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> id::Revision {
        self.revision.load(atomic::Ordering::Acquire)
    }

    /// Notes the revision in force; an earlier one changes nothing.
    pub fn adopted(&self, revision: id::Revision) {
        self.revision.fetch_max(revision, atomic::Ordering::AcqRel);
        metrics::gauge!("mangotray_config_revision").set(as_float(revision));
    }
}

/// Gauges are floating-point; revisions stay far below the first inexact integer.
#[allow(clippy::cast_precision_loss)]
fn as_float(revision: id::Revision) -> f64 {
    revision as f64
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
}
