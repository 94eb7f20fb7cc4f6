//! What this proxy does for its peers.

use std::sync;

use futures_util::FutureExt;
use futures_util::future;

use crate::detect;
use crate::directory;
use crate::gossip;
use crate::lane;
use crate::peer;

/// Answers the calls of other proxies.
pub struct Handler {
    /// Groups served here.
    pub directory: sync::Arc<directory::Directory>,
    /// Exchange of configuration and roster.
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
