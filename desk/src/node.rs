//! What all sessions of this process share.

use std::cell;
use std::collections;
use std::rc;
use std::sync;
use std::time;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use mangotray::id;
use mangotray::telemetry;

use crate::boot;
use crate::catalog;
use crate::currency;
use crate::delegate;
use crate::gate;
use crate::group;
use crate::key;
use crate::ledger;
use crate::organisations;
use crate::promises;
use crate::quotas;
use crate::router;
use crate::upstream;

/// A node that counts operations and is cut off counts for nobody after this long, where no bound of
/// revocation says so.
const TAKEOVER: time::Duration = time::Duration::from_secs(5);

/// The configuration in force and the groups.
pub struct Node {
    /// Name of this VM.
    pub name: id::Vm,
    domain: id::Domain,
    router: rc::Rc<router::Router>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    catalog: ArcSwap<catalog::Catalog>,
    groups: cell::RefCell<collections::BTreeMap<id::Group, rc::Rc<group::Group>>>,
    listed: cell::RefCell<collections::BTreeSet<upstream::Id>>,
    seen: cell::Cell<bool>,
    currency: Option<currency::Currency>,
    /// The newest configuration was not understood: it may take keys away.
    unreadable: cell::Cell<bool>,
    quotas: quotas::Quotas,
    /// Groups of instances that no configuration names; each is logged once.
    unnamed: cell::RefCell<collections::BTreeSet<id::Group>>,
}

impl Node {
    /// A node without a configuration.
    #[must_use]
    pub fn new(
        name: id::Vm,
        domain: id::Domain,
        router: rc::Rc<router::Router>,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
        promises: promises::Promises,
    ) -> rc::Rc<Self> {
        let takeover = promises.revocation.unwrap_or(TAKEOVER);
        let ledger = ledger::Ledger::new(promises.tolerance, takeover);
        rc::Rc::new(Self {
            currency: promises.revocation.map(currency::Currency::new),
            unreadable: cell::Cell::default(),
            quotas: quotas::Quotas::new(name.clone(), rc::Rc::clone(&router), ledger),
            name,
            domain,
            router,
            executor,
            catalog: ArcSwap::default(),
            groups: cell::RefCell::default(),
            listed: cell::RefCell::default(),
            seen: cell::Cell::default(),
            unnamed: cell::RefCell::default(),
        })
    }

    /// Executor of all tasks of this process.
    #[must_use]
    pub fn executor(&self) -> &rc::Rc<async_executor::LocalExecutor<'static>> {
        &self.executor
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn apply(&self, catalog: catalog::Catalog) -> bool {
        self.unreadable.set(false);
        let version = self.catalog.load().version;
        if catalog.version <= version {
            return false;
        }
        tracing::info!(
            version = catalog.version,
            before = version,
            routes = catalog.routes.len(),
            organisations = catalog
                .organisations
                .as_ref()
                .map(organisations::Organisations::len),
            "configuration in force"
        );
        let shown = u32::try_from(catalog.version).unwrap_or(u32::MAX);
        metrics::gauge!(telemetry::CONFIG_REVISION).set(shown);
        for service in &catalog.services {
            self.group(&service.group);
        }
        self.router.apply(&catalog);
        self.catalog.store(sync::Arc::new(catalog));
        true
    }

    /// Takes a new list of instances as it was at `heard`, of which the news may date back to
    /// `since`, or be of any age without one.
    pub fn update(
        &self,
        instances: Vec<catalog::Instance>,
        since: Option<id::Time>,
        heard: id::Time,
    ) {
        let listed = instances
            .iter()
            .map(|instance| instance.id.clone())
            .collect();
        self.listed.replace(listed);
        self.seen.set(true);
        let mut parts: collections::BTreeMap<id::Group, Vec<catalog::Instance>> =
            collections::BTreeMap::new();
        for instance in instances {
            parts
                .entry(instance.group.clone())
                .or_default()
                .push(instance);
        }
        for name in self.groups.borrow().keys() {
            parts.entry(name.clone()).or_default();
        }
        for (name, part) in parts {
            if self.is_named(&name) {
                self.group(&name).update(part, since, heard);
            } else if self.unnamed.borrow_mut().insert(name.clone()) {
                tracing::warn!(group = %name, "instances of a group that no configuration names");
            }
        }
    }

    /// Notes that the list of instances was heard of at `heard`, and has not changed.
    pub fn note_word(&self, heard: id::Time) {
        for group in self.groups.borrow().values() {
            group.roster().note_confirmed(heard);
        }
    }

    /// Notes that the list of instances has come back from an older copy.
    pub fn note_return(&self) {
        self.distrust_store();
        for group in self.groups.borrow().values() {
            group.roster().note_store_reset();
        }
    }

    // Whether the configuration names the group. Before there is one, every group may be.
    fn is_named(&self, group: &id::Group) -> bool {
        let catalog = self.catalog.load();
        let named = catalog
            .services
            .iter()
            .any(|service| service.group == *group);
        named || catalog.services.is_empty() || self.groups.borrow().contains_key(group)
    }

    /// Housekeeping of all groups; called about once a second.
    pub fn tidy(&self) {
        let listed = self.listed.borrow();
        for group in self.groups.borrow().values() {
            group.tidy(|id| listed.contains(id));
        }
        self.router.tidy(|id| listed.contains(id));
        self.quotas.tidy();
    }

    /// How this node reaches instances.
    #[must_use]
    pub const fn router(&self) -> &rc::Rc<router::Router> {
        &self.router
    }

    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> sync::Arc<catalog::Catalog> {
        self.catalog.load_full()
    }

    /// Evidence that the configuration is the newest, where that is needed.
    #[must_use]
    pub const fn currency(&self) -> Option<&currency::Currency> {
        self.currency.as_ref()
    }

    /// Notes that nothing newer than the configuration in force had been acknowledged at `moment`.
    pub fn confirm(&self, moment: id::Time) {
        let currency = self.currency.as_ref().filter(|_| !self.unreadable.get());
        if let Some(currency) = currency {
            currency.confirm(moment, boot::now());
        }
    }

    /// Notes that a configuration was not understood, so that the one in force cannot be confirmed
    /// until another comes.
    pub fn note_unreadable(&self) {
        self.unreadable.set(true);
    }

    /// Notes that the store may hold an older configuration than the newest for a while.
    pub fn distrust_store(&self) {
        if let Some(currency) = &self.currency {
            currency.note_return(boot::now());
        }
    }

    /// Whether the configuration knows organisations, so that callers need keys.
    #[must_use]
    pub fn asks_for_keys(&self) -> bool {
        self.catalog.load().organisations.is_some()
    }

    /// What may be done with keys now.
    #[must_use]
    pub fn standing(&self) -> currency::Standing {
        let currency = self.currency.as_ref().filter(|_| self.asks_for_keys());
        currency.map_or(currency::Standing::Good, |currency| {
            currency.standing(boot::now())
        })
    }

    /// Whom a caller with this key works for on a route.
    ///
    /// # Errors
    /// When the caller must not be served.
    pub fn identify(
        &self,
        route: &catalog::Route,
        key: &key::Key,
    ) -> Result<gate::Caller, gate::Refusal> {
        gate::identify(&self.catalog.load(), route.public, key, self.standing())
    }

    /// Counts an operation against its organisation's limit.
    ///
    /// # Errors
    /// When it must not begin.
    pub async fn count(&self, caller: &gate::Caller) -> Result<(), gate::Refusal> {
        let version = self.catalog.load().version;
        self.quotas.count(caller, version).await
    }

    /// Decides about an operation that this node counts, by the newer configuration of the two nodes.
    pub fn decide(&self, mut ask: ledger::Ask) -> ledger::Decision {
        let catalog = self.catalog.load();
        let organisations = catalog.organisations.as_ref();
        let known = organisations.and_then(|all| all.named(&ask.organisation));
        if let Some(known) = known.filter(|_| catalog.version >= ask.version) {
            let Some(quota) = known.quota else {
                return ledger::Decision::Granted;
            };
            ask.quota = quota;
        }
        self.quotas.decide(&ask)
    }

    /// Whether configuration and instances are known, so that callers can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.seen.get() && self.catalog.load().version > 0
    }

    /// The route of a database, if there is one now.
    #[must_use]
    pub fn route(&self, database: &CompactString) -> Option<rc::Rc<catalog::Route>> {
        let catalog = self.catalog.load();
        catalog.route(database).cloned().map(rc::Rc::new)
    }

    /// The group of that name, made when it is first asked for.
    pub fn group(&self, name: &id::Group) -> rc::Rc<group::Group> {
        let mut groups = self.groups.borrow_mut();
        let made = groups.entry(name.clone()).or_insert_with(|| {
            group::Group::new(
                name.clone(),
                self.domain.clone(),
                rc::Rc::<router::Router>::clone(&self.router),
                rc::Rc::clone(&self.executor),
            )
        });
        rc::Rc::clone(made)
    }

    /// Answers another node's question for a floor of one of the groups.
    pub async fn tell_floor(&self, ask: delegate::Request) -> Option<delegate::Response> {
        let group = self.groups.borrow().get(&ask.group).cloned()?;
        group.floor_for_peer(ask.within).await
    }

    /// All groups.
    #[must_use]
    pub fn groups(&self) -> Vec<rc::Rc<group::Group>> {
        self.groups.borrow().values().cloned().collect()
    }
}
