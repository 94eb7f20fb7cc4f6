//! Follows the operators' configuration in the store and puts it in force.

use std::sync;
use std::time;

use crate::declaration;
use crate::directory;
use crate::enrol;
use crate::id;
use crate::report;
use crate::store;

/// Longest wait of one watch on the configuration.
const WATCH_PATIENCE: time::Duration = time::Duration::from_secs(20);

/// Wait after a failed call to the store.
const STORE_RETRY: time::Duration = time::Duration::from_millis(500);

/// Key of the configuration in the store.
const CONFIG_KEY: &str = "config";

/// The part of the stored configuration document that a proxy needs.
#[derive(serde::Deserialize)]
struct Document {
    revision: id::Revision,
    text: String,
}

/// Keeps the newest configuration in force.
pub struct Follower {
    store: sync::Arc<dyn store::Store>,
    directory: sync::Arc<directory::Directory>,
    report: sync::Arc<report::Report>,
}

impl Follower {
    /// A follower that has seen nothing yet.
    #[must_use]
    pub fn new(
        store: sync::Arc<dyn store::Store>,
        directory: sync::Arc<directory::Directory>,
        report: sync::Arc<report::Report>,
    ) -> Self {
        Self {
            store,
            directory,
            report,
        }
    }

    /// Follows the configuration in the store for ever.
    pub async fn run(&self) {
        let mut seen = 0;
        loop {
            match self.store.watch(CONFIG_KEY, seen, WATCH_PATIENCE).await {
                Ok(Some(entry)) if entry.version != seen => {
                    seen = entry.version;
                    self.adopt(&entry.value).await;
                }
                Ok(Some(_)) => {}
                Ok(None) => pause().await,
                Err(failure) => {
                    tracing::warn!(?failure, "configuration not readable, the last one stays");
                    pause().await;
                }
            }
        }
    }

    async fn adopt(&self, value: &[u8]) {
        let document: Document = match serde_json::from_slice(value) {
            Ok(document) => document,
            Err(error) => {
                tracing::error!(%error, "stored configuration is not readable");
                return;
            }
        };
        if document.revision <= self.report.revision() {
            return;
        }
        match declaration::Declaration::parse(&document.text) {
            Ok(declared) => {
                let place = self.place().await;
                self.directory.install(&declared.catalog, place);
                self.report.adopted(document.revision);
                tracing::info!(target: "mangotray::placement", revision = document.revision,
                    "configuration in force");
            }
            Err(faults) => tracing::error!(?faults, "stored configuration is refused"),
        }
    }

    async fn place(&self) -> directory::Place {
        let listed = self.store.list(enrol::PREFIX).await.unwrap_or_default();
        let mut names: Vec<_> = listed.iter().map(|entry| entry.key.clone()).collect();
        names.sort_unstable();
        let own = format!("{}{}", enrol::PREFIX, self.report.vm());
        let rank = names.iter().position(|name| *name == own).unwrap_or(0);
        directory::Place {
            members: names.len().max(1),
            rank,
        }
    }
}

async fn pause() {
    async_io::Timer::after(STORE_RETRY).await;
}
