//! What this proxy does for its peers.

use std::sync;

use futures_util::FutureExt;
use futures_util::future;

use crate::detect;
use crate::directory;
use crate::enrol;
use crate::lane;
use crate::peer;
use crate::report;

/// Answers the calls of other proxies.
pub struct Handler {
    /// Groups served here.
    pub directory: sync::Arc<directory::Directory>,
    /// Contact with the store.
    pub enrolment: sync::Arc<enrol::Enrolment>,
    /// Revision in force.
    pub report: sync::Arc<report::Report>,
}

impl Handler {
    fn news(&self) -> peer::News {
        let shared = self.directory.shared();
        peer::News {
            vm: shared.vm.clone(),
            incarnation: shared.incarnation,
            revision: self.report.revision(),
            text: None,
            primaries: Vec::new(),
            witness: self.enrolment.report(),
            suspects: Vec::new(),
        }
    }
}

impl peer::Handler for Handler {
    fn switch(&self) -> sync::Arc<dyn lane::Switch> {
        sync::Arc::new(directory::Here(self.directory.clone()))
    }

    fn exchange(&self, _digest: peer::Digest) -> future::BoxFuture<'_, peer::News> {
        future::ready(self.news()).boxed()
    }

    fn announce(&self, _news: peer::News) -> future::BoxFuture<'_, ()> {
        future::ready(()).boxed()
    }

    fn suspects(&self, suspect: &peer::Suspect) -> bool {
        let entries = self.directory.entries();
        let entry = entries.values().find(|entry| entry.name == suspect.group);
        let group = entry.and_then(|entry| entry.runtime());
        group.is_some_and(|group| matches!(group.verdict(), detect::Verdict::Suspect(_)))
    }
}
