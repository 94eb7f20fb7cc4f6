//! Follows the operators' configuration in the store and puts it in force.

use std::sync;
use std::time;

use crate::declaration;
use crate::fleet;
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
    fleet: sync::Arc<fleet::Fleet>,
    report: sync::Arc<report::Report>,
}

impl Follower {
    /// A follower that has seen nothing yet.
    #[must_use]
    pub fn new(
        store: sync::Arc<dyn store::Store>,
        fleet: sync::Arc<fleet::Fleet>,
        report: sync::Arc<report::Report>,
    ) -> Self {
        Self {
            store,
            fleet,
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
                self.fleet.install(declared.catalog).await;
                self.report.adopted(document.revision);
                tracing::info!(target: "mangotray::placement", revision = document.revision,
                    "configuration in force");
            }
            Err(faults) => tracing::error!(?faults, "stored configuration is refused"),
        }
    }
}

async fn pause() {
    async_io::Timer::after(STORE_RETRY).await;
}
