//! Renews a node's evidence that its configuration is the newest; [`crate::currency`] says when.

use std::rc;
use std::time;

use futures_util::future;

use crate::boot;
use crate::currency;
use crate::delegate;
use crate::node;
use crate::question;
use crate::wait;

/// Pause after the evidence could not be renewed.
const RETRY: time::Duration = time::Duration::from_millis(250);

/// Pause after the store was asked in vain: each question is priced, and all nodes ask.
const STORE_RETRY: time::Duration = time::Duration::from_millis(700);

/// Word by which the node is chosen that asks the store for its failure domain.
const WORD: &str = "newest configuration";

/// Asks the store which configuration is the newest.
pub trait Source {
    /// Asks, takes over a newer configuration, and confirms the one in force as of the beginning of the
    /// question; `false` where there is no proof.
    fn confirm(&self) -> future::LocalBoxFuture<'_, bool>;
}

/// Keeps the evidence of a node fresh.
pub struct Confirmer {
    node: rc::Rc<node::Node>,
    source: rc::Rc<dyn Source>,
    asking: async_lock::Mutex<()>,
}

impl Confirmer {
    /// One that asks by `source`.
    #[must_use]
    pub fn new(node: rc::Rc<node::Node>, source: rc::Rc<dyn Source>) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            node,
            source,
            asking: async_lock::Mutex::new(()),
        })
    }

    /// Renews the evidence for ever.
    pub async fn run(self: rc::Rc<Self>) {
        let Some(currency) = self.node.currency() else {
            return;
        };
        let mut expired = false;
        loop {
            let now = boot::now();
            let lost = currency.standing(now) == currency::Standing::Expired;
            if lost && !expired {
                let age_ms = currency.age(now).map(|age| age.as_millis());
                tracing::warn!(
                    age_ms,
                    "serving no keys: the configuration may not be the newest"
                );
            }
            expired = lost;
            self.step(currency, now).await;
        }
    }

    async fn step(&self, currency: &currency::Currency, now: mangotray::id::Time) {
        match currency.errand(now) {
            _ if !self.node.asks_for_keys() => wait::sleep(RETRY).await,
            currency::Errand::None => {
                let age = currency.age(now).unwrap_or_default();
                wait::sleep(currency.renewal().saturating_sub(age)).await;
            }
            currency::Errand::Others => {
                let renewed = match self.ask_others(currency).await {
                    Some(renewed) => renewed,
                    None => self.ask_store(currency.renewal()).await,
                };
                if !renewed {
                    wait::sleep(RETRY).await;
                }
            }
            currency::Errand::Store => {
                let renewed = self.ask_others(currency).await == Some(true);
                if !renewed && !self.ask_store(currency.renewal()).await {
                    wait::sleep(STORE_RETRY).await;
                }
            }
        }
    }

    /// Tells another node what this one knows, after it has asked the store where that is older
    /// than `within`.
    pub async fn tell(&self, within: time::Duration) -> Option<question::Newest> {
        let arrived = boot::now();
        let currency = self.node.currency()?;
        if currency.age(arrived).is_none_or(|age| age > within) {
            wait::within(delegate::TIMEOUT, self.ask_store(within)).await;
        }
        let age = currency.age(arrived)?;
        Some(question::Newest {
            version: self.node.catalog().version,
            ago: age,
        })
    }

    // None where this node is the one to ask the store.
    async fn ask_others(&self, currency: &currency::Currency) -> Option<bool> {
        let members = self.node.router().members();
        let peers = self.node.router().peers();
        let may_ask = |name: &mangotray::id::Vm| peers.may_ask(name);
        let keeper = delegate::choose(&members, &WORD.into(), &self.node.name, may_ask)?;
        // What is told is a part of the bound old, and is used for the rest of it.
        let question = question::Question::Newest(currency.renewal());
        let sent = boot::now();
        let answer = peers.ask(&keeper, &question).await;
        let Some(question::Answer::Newest(newest)) = answer else {
            return Some(false);
        };
        // Where the other one knows of a newer configuration, this node's is old.
        if newest.version > self.node.catalog().version {
            return Some(false);
        }
        let moment = newest.moment(sent);
        currency.confirm_as_told(moment, boot::now());
        Some(
            currency
                .age(sent)
                .is_some_and(|age| age <= 2 * currency.renewal()),
        )
    }

    // One question serves all that wait for it.
    async fn ask_store(&self, within: time::Duration) -> bool {
        let _asking = self.asking.lock().await;
        let fresh = |now| {
            let currency = self.node.currency();
            let age = currency.and_then(|currency| currency.age(now));
            age.is_some_and(|age| age <= within)
        };
        fresh(boot::now()) || self.source.confirm().await
    }
}
