//! Handles the calls of other proxies.

use std::sync;

use futures_util::FutureExt;
use futures_util::future;

use crate::detect;
use crate::directory;
use crate::gossip;
use crate::lane;
use crate::peer;

/// Implementation of the operations that other proxies can call.
pub struct Handler {
    /// Groups that this proxy serves.
    pub directory: sync::Arc<directory::Directory>,
    /// Exchange of the configuration and the roster with other proxies.
    pub gossip: sync::Arc<gossip::Gossip>,
}

impl peer::Handler for Handler {
    fn lanes(&self) -> sync::Arc<dyn lane::Factory> {
        sync::Arc::new(directory::PeerLanes(self.directory.clone()))
    }

    fn exchange(&self, digest: peer::Digest) -> future::BoxFuture<'_, peer::News> {
        self.gossip.answer_digest(digest).boxed()
    }

    fn announce(&self, news: peer::News) -> future::BoxFuture<'_, ()> {
        self.gossip.handle_news(news).boxed()
    }

    fn suspects(&self, suspect: &peer::Suspect) -> bool {
        let entries = self.directory.entries();
        let entry = entries.values().find(|entry| entry.name == suspect.group);
        let group = entry.and_then(|entry| entry.runtime());
        group.is_some_and(|group| matches!(group.verdict(), detect::Verdict::Suspect(_)))
    }
}
