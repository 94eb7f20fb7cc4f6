//! Two nodes that follow the configuration: one reads the store, both exchange it.

use std::sync;
use std::time;

use mangotray::apply;
use mangotray::id;
use mangotray::revision;

use crate::harness;
use crate::store;

/// Time between two rounds of reading and exchanging the configuration.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(15);

#[derive(Default)]
struct Node {
    state: revision::State,
    adopted_revisions: Vec<id::Revision>,
}

impl Node {
    fn offer(&mut self, file: &revision::File) {
        if self.state.offer(file.revision, &file.text) == revision::Offer::Adopted {
            self.adopted_revisions.push(file.revision);
        }
    }
}

/// The two nodes; the first one reads the store.
#[derive(Default)]
pub struct Pair([sync::Mutex<Node>; 2]);

impl Pair {
    /// Follows the configuration until the task is dropped. The first node reads the store;
    /// then each node offers the other its file if it is newer.
    pub async fn run(&self, client: &store::Client) {
        loop {
            if let Ok(Some(file)) = apply::current(client).await {
                harness::lock(&self.0[0]).offer(&revision::File {
                    revision: file.revision,
                    text: file.text,
                });
            }
            self.exchange(0, 1);
            self.exchange(1, 0);
            async_io::Timer::after(POLL_INTERVAL).await;
        }
    }

    fn exchange(&self, from: usize, to: usize) {
        let digest = harness::lock(&self.0[to]).state.digest();
        let newer = harness::lock(&self.0[from])
            .state
            .file_newer_than(&digest)
            .cloned();
        if let Some(file) = newer {
            harness::lock(&self.0[to]).offer(&file);
        }
    }

    /// Returns the revisions that each node has adopted, in order.
    pub fn adopted_revisions(&self) -> Vec<Vec<id::Revision>> {
        let nodes = self.0.iter();
        nodes
            .map(|node| harness::lock(node).adopted_revisions.clone())
            .collect()
    }
}
