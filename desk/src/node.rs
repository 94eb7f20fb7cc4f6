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

use crate::access;
use crate::boot;
use crate::buckets;
use crate::catalog;
use crate::delegate;
use crate::group;
use crate::guarantees;
use crate::key;
use crate::organisations;
use crate::quotas;
use crate::router;
use crate::upstream;
use crate::validity;

/// A node that counts operations and is cut off counts for nobody after this long, where no bound of
/// revocation says so.
const DEFAULT_TAKEOVER: time::Duration = time::Duration::from_secs(5);

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
    instances_known: cell::Cell<bool>,
    validity: Option<validity::Validity>,
    /// The newest configuration was not understood: it may take keys away.
    unreadable: cell::Cell<bool>,
    quotas: quotas::Quotas,
    /// Groups of instances that no configuration names; each is logged once.
    unconfigured: cell::RefCell<collections::BTreeSet<id::Group>>,
}

impl Node {
    /// A node without a configuration.
    #[must_use]
    pub fn new(
        name: id::Vm,
        domain: id::Domain,
        router: rc::Rc<router::Router>,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
        guarantees: guarantees::Guarantees,
    ) -> rc::Rc<Self> {
        let takeover = guarantees.revocation.unwrap_or(DEFAULT_TAKEOVER);
        let buckets = buckets::Buckets::new(guarantees.tolerance, takeover);
        rc::Rc::new(Self {
            validity: guarantees.revocation.map(validity::Validity::new),
            unreadable: cell::Cell::default(),
            quotas: quotas::Quotas::new(name.clone(), rc::Rc::clone(&router), buckets),
            name,
            domain,
            router,
            executor,
            catalog: ArcSwap::default(),
            groups: cell::RefCell::default(),
            listed: cell::RefCell::default(),
            instances_known: cell::Cell::default(),
            unconfigured: cell::RefCell::default(),
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
        self.instances_known.set(true);
        let mut by_group: collections::BTreeMap<id::Group, Vec<catalog::Instance>> =
            collections::BTreeMap::new();
        for instance in instances {
            by_group
                .entry(instance.group.clone())
                .or_default()
                .push(instance);
        }
        for name in self.groups.borrow().keys() {
            by_group.entry(name.clone()).or_default();
        }
        for (name, part) in by_group {
            if self.is_configured(&name) {
                self.group(&name).update(part, since, heard);
            } else if self.unconfigured.borrow_mut().insert(name.clone()) {
                tracing::warn!(group = %name, "instances of a group that no configuration names");
            }
        }
    }

    /// Notes that the list of instances was heard of at `heard`, and has not changed.
    pub fn note_confirmed(&self, heard: id::Time) {
        for group in self.groups.borrow().values() {
            group.roster().note_confirmed(heard);
        }
    }

    /// Notes that the list of instances has come back from an older copy.
    pub fn note_store_reset(&self) {
        self.distrust_store();
        for group in self.groups.borrow().values() {
            group.roster().note_store_reset();
        }
    }

    // Whether the configuration names the group. Before there is one, every group may be.
    fn is_configured(&self, group: &id::Group) -> bool {
        let catalog = self.catalog.load();
        let configured = catalog
            .services
            .iter()
            .any(|service| service.group == *group);
        configured || catalog.services.is_empty() || self.groups.borrow().contains_key(group)
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
    pub const fn validity(&self) -> Option<&validity::Validity> {
        self.validity.as_ref()
    }

    /// Notes that nothing newer than the configuration in force had been acknowledged at `moment`.
    pub fn confirm(&self, moment: id::Time) {
        let validity = self.validity.as_ref().filter(|_| !self.unreadable.get());
        if let Some(validity) = validity {
            validity.confirm(moment, boot::now());
        }
    }

    /// Notes that a configuration was not understood, so that the one in force cannot be confirmed
    /// until another comes.
    pub fn note_unreadable(&self) {
        self.unreadable.set(true);
    }

    /// Notes that the store may hold an older configuration than the newest for a while.
    pub fn distrust_store(&self) {
        if let Some(validity) = &self.validity {
            validity.note_store_reset(boot::now());
        }
    }

    /// Whether the configuration knows organisations, so that callers need keys.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.catalog.load().organisations.is_some()
    }

    /// What may be done with keys now.
    #[must_use]
    pub fn key_validity(&self) -> validity::State {
        let validity = self.validity.as_ref().filter(|_| self.requires_keys());
        validity.map_or(validity::State::Valid, |validity| {
            validity.state(boot::now())
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
    ) -> Result<access::Caller, access::Refusal> {
        access::identify(&self.catalog.load(), route.public, key, self.key_validity())
    }

    /// Counts an operation against its organisation's limit.
    ///
    /// # Errors
    /// When it must not begin.
    pub async fn count(&self, caller: &access::Caller) -> Result<(), access::Refusal> {
        let version = self.catalog.load().version;
        self.quotas.count(caller, version).await
    }

    /// Decides about an operation that this node counts, by the newer configuration of the two nodes.
    pub fn decide(&self, mut request: buckets::Request) -> buckets::Decision {
        let catalog = self.catalog.load();
        let organisations = catalog.organisations.as_ref();
        let known = organisations.and_then(|all| all.find_by_name(&request.organisation));
        if let Some(known) = known.filter(|_| catalog.version >= request.version) {
            let Some(quota) = known.quota else {
                return buckets::Decision::Granted;
            };
            request.quota = quota;
        }
        self.quotas.decide(&request)
    }

    /// Whether configuration and instances are known, so that callers can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.instances_known.get() && self.catalog.load().version > 0
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
        let group = groups.entry(name.clone()).or_insert_with(|| {
            group::Group::new(
                name.clone(),
                self.domain.clone(),
                rc::Rc::<router::Router>::clone(&self.router),
                rc::Rc::clone(&self.executor),
            )
        });
        rc::Rc::clone(group)
    }

    /// Answers another node's question for a floor of one of the groups.
    pub async fn floor_for_peer(&self, ask: delegate::Request) -> Option<delegate::Response> {
        let group = self.groups.borrow().get(&ask.group).cloned()?;
        group.floor_for_peer(ask.within).await
    }

    /// All groups.
    #[must_use]
    pub fn groups(&self) -> Vec<rc::Rc<group::Group>> {
        self.groups.borrow().values().cloned().collect()
    }
}
