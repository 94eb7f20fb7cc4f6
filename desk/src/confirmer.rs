//! Renews a node's proof that its configuration is the newest; [`crate::schedule`] says when.
//!
//! One node of each failure domain queries the store, and its peers ask that node. A node that gets
//! no proof from its peer in time queries the store itself. The answers also tell how far the store is;
//! a node whose watches are behind that for long reads all changes ([`crate::coverage`]).

use std::rc;
use std::time;

use futures_util::future;
use mangotray::telemetry;

use crate::boot;
use crate::delegate;
use crate::member;
use crate::node;
use crate::question;
use crate::schedule;
use crate::validity;
use crate::wait;

/// Delay after a failed renewal.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

/// Delay after a query to the store failed. Longer, as each query has a price and all nodes retry.
const STORE_RETRY_DELAY: time::Duration = time::Duration::from_millis(700);

/// Rendezvous key that selects the node that queries the store for its failure domain.
const RENDEZVOUS_KEY: &str = "newest configuration";

/// Access to the newest configuration in the store.
pub trait Source {
    /// Queries the store, applies a newer configuration, and confirms the one in force as of the
    /// time at which the query was sent. Returns `false` if there is no proof.
    fn confirm(&self) -> future::LocalBoxFuture<'_, bool>;

    /// Whether changes are being received. Asking for them once more would delay them.
    fn is_receiving(&self) -> bool;
}

/// Renews the proof of a node.
pub struct Confirmer {
    node: rc::Rc<node::Node>,
    source: rc::Rc<dyn Source>,
    store_query: async_lock::Mutex<()>,
}

impl Confirmer {
    /// Creates a confirmer that queries the store through `source`.
    #[must_use]
    pub fn new(node: rc::Rc<node::Node>, source: rc::Rc<dyn Source>) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            node,
            source,
            store_query: async_lock::Mutex::new(()),
        })
    }

    /// Renews the proof in an endless loop.
    pub async fn run(self: rc::Rc<Self>) {
        let mut was_expired = false;
        loop {
            let is_expired = self.node.key_validity() == validity::State::Expired;
            if is_expired && !was_expired {
                let age = self.node.validity().age(boot::now());
                let age_ms = age.map(|age| age.as_millis());
                tracing::warn!(
                    age_ms,
                    "refusing all keys: the configuration may not be the newest"
                );
            }
            was_expired = is_expired;
            self.step().await;
            self.catch_up().await;
        }
    }

    // Reads all changes from the store if watches do not tell them in time.
    async fn catch_up(&self) {
        let (lag, followed) = {
            let coverage = self.node.coverage().borrow();
            (coverage.lag(boot::now()), coverage.followed())
        };
        metrics::gauge!(telemetry::STORE_LAG).set(lag.as_secs_f64());
        // While the store is out of reach, a list is asked for again and again.
        let overdue = followed.is_some() && self.node.schedule().is_overdue(lag);
        if !overdue || self.source.is_receiving() {
            return;
        }
        let read = self.node.listing().request().await;
        tracing::info!(
            lag_ms = lag.as_millis(),
            read,
            "watches are behind the store; read its changes"
        );
    }

    async fn step(&self) {
        let age = self.node.validity().age(boot::now());
        let schedule = self.node.schedule();
        match schedule.next_action(age) {
            schedule::Action::None => {
                let age = age.unwrap_or_default();
                wait::sleep(schedule.renewal().saturating_sub(age)).await;
            }
            schedule::Action::AskPeer => {
                let renewed = match self.ask_peer(schedule.renewal()).await {
                    Some(renewed) => renewed,
                    None => self.ask_store(schedule.renewal()).await,
                };
                if !renewed {
                    wait::sleep(RETRY_DELAY).await;
                }
            }
            schedule::Action::AskStore => {
                let renewed = self.ask_peer(schedule.renewal()).await == Some(true);
                if !renewed && !self.ask_store(schedule.renewal()).await {
                    wait::sleep(STORE_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Answers a peer with this node's proof. Queries the store first if the proof is older than
    /// `within`.
    pub async fn newest(&self, within: time::Duration) -> Option<question::Newest> {
        let arrived = boot::now();
        let validity = self.node.validity();
        if validity.age(arrived).is_none_or(|age| age > within) {
            wait::within(delegate::TIMEOUT, self.ask_store(within)).await;
        }
        let age = validity.age(arrived)?;
        Some(question::Newest {
            version: self.node.catalog().version,
            ago: age,
        })
    }

    /// Like [`Confirmer::newest`], with the last position of the store that this node was told.
    pub async fn position(
        &self,
        within: time::Duration,
    ) -> Option<(question::Newest, question::Told)> {
        let arrived = boot::now();
        let newest = self.newest(within).await?;
        let (moment, position) = self.node.coverage().borrow().newest()?;
        let ago = arrived.saturating_sub(moment);
        Some((newest, question::Told { position, ago }))
    }

    // Asks the peer for a proof that is no older than `within`. Returns whether its answer renewed the
    // proof, or `None` if this node is the one of its failure domain that queries the store.
    async fn ask_peer(&self, within: time::Duration) -> Option<bool> {
        let members = self.node.router().members();
        let peers = self.node.router().peers();
        let may_ask = |name: &mangotray::id::Vm| peers.may_ask(name);
        let delegate =
            delegate::choose(&members, &RENDEZVOUS_KEY.into(), &self.node.name, may_ask)?;
        // The peer's proof may be as old as the renewal age; it is used for the rest of the bound.
        let question = if delegate.protocol >= member::POSITION_PROTOCOL {
            question::Question::Position(within)
        } else {
            question::Question::Newest(within)
        };
        let sent = boot::now();
        let newest = match peers.ask(&delegate, &question).await {
            Some(question::Answer::Newest(newest)) => newest,
            Some(question::Answer::Position(newest, told)) => {
                let mut coverage = self.node.coverage().borrow_mut();
                coverage.note_told(told.position, told.moment(sent));
                newest
            }
            _ => return Some(false),
        };
        // The peer knows of a newer configuration: the one in force here is outdated.
        if newest.version > self.node.catalog().version {
            return Some(false);
        }
        let moment = newest.moment(sent);
        let validity = self.node.validity();
        validity.confirm_from_peer(moment, boot::now());
        Some(validity.age(sent).is_some_and(|age| age <= 2 * within))
    }

    // One query serves all tasks that wait for it.
    async fn ask_store(&self, within: time::Duration) -> bool {
        let _guard = self.store_query.lock().await;
        let fresh = |now| {
            let age = self.node.validity().age(now);
            age.is_some_and(|age| age <= within)
        };
        fresh(boot::now()) || self.source.confirm().await
    }
}
