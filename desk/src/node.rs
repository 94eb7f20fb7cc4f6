//! State that all sessions of this process share: the configuration, the groups of instances, keys
//! and quotas.

use std::cell;
use std::collections;
use std::rc;
use std::sync;
use std::time;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use mangotray::id;
use mangotray::stamp;
use mangotray::telemetry;

use crate::access;
use crate::acknowledgement;
use crate::boot;
use crate::catalog;
use crate::coverage;
use crate::delegate;
use crate::group;
use crate::guarantees;
use crate::key;
use crate::lending::router;
use crate::limits::allowance;
use crate::limits::borrowing;
use crate::limits::buckets;
use crate::limits::lease;
use crate::limits::ownership;
use crate::limits::quotas;
use crate::limits::shares;
use crate::limits::tokens;
use crate::listing;
use crate::member;
use crate::membership;
use crate::organisations;
use crate::question;
use crate::schedule;
use crate::seal;
use crate::upstream;
use crate::validity;

/// Time after which a partitioned counting node no longer serves anybody, if the settings have no
/// bound for the revocation of keys.
const DEFAULT_TAKEOVER: time::Duration = time::Duration::from_secs(5);

/// Number of groups of listed instances that are told in the log as not configured.
const MAX_LOGGED_GROUPS: usize = 256;

/// Listed instances whose groups are not in the configuration.
#[derive(Default)]
struct Unconfigured {
    instances: collections::BTreeMap<id::Group, Vec<catalog::Instance>>,
    list_time: id::Time,
}

/// The configuration in force and the groups.
pub struct Node {
    /// Name of this VM.
    pub name: id::Vm,
    domain: id::Domain,
    router: rc::Rc<router::Router>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    catalog: ArcSwap<catalog::Catalog>,
    groups: cell::RefCell<collections::BTreeMap<id::Group, rc::Rc<group::Group>>>,
    /// The store's records of the groups' instances.
    memberships: cell::RefCell<collections::BTreeMap<id::Group, membership::Record>>,
    listed_instances: cell::RefCell<collections::BTreeSet<upstream::Id>>,
    /// Instances that operators have declared lost.
    declared_lost: cell::RefCell<collections::BTreeSet<upstream::Id>>,
    instances_known: cell::Cell<bool>,
    listing: listing::Listing,
    coverage: cell::RefCell<coverage::Coverage>,
    started_at: id::Time,
    validity: validity::Validity,
    guarantees: guarantees::Guarantees,
    /// Whether the newest configuration could not be parsed. It may revoke keys.
    newest_unreadable: cell::Cell<bool>,
    quotas: quotas::Quotas,
    /// Groups of listed instances that are not in the configuration; each is logged once.
    unconfigured_groups: cell::RefCell<collections::BTreeSet<id::Group>>,
    /// The listed instances of such groups, and when they were read.
    unconfigured: cell::RefCell<Unconfigured>,
}

impl Node {
    /// Creates a node without a configuration.
    #[must_use]
    pub fn new(
        name: id::Vm,
        domain: id::Domain,
        router: rc::Rc<router::Router>,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
        guarantees: guarantees::Guarantees,
    ) -> rc::Rc<Self> {
        let takeover = guarantees.revocation.unwrap_or(DEFAULT_TAKEOVER);
        let buckets = buckets::Buckets::new(guarantees.tolerance, takeover)
            .with_sustained_quotas(guarantees.sustained);
        let borrowing = guarantees.share.map(|lease| {
            let timing = ownership::Timing { lease, takeover };
            let shares =
                shares::Shares::new(name.clone(), timing, guarantees.tolerance, boot::now());
            borrowing::Borrowing::start(shares, rc::Rc::clone(&router), &executor)
        });
        rc::Rc::new(Self {
            validity: validity::Validity::new(guarantees.revocation),
            guarantees,
            newest_unreadable: cell::Cell::default(),
            quotas: quotas::Quotas::new(name.clone(), rc::Rc::clone(&router), buckets, borrowing),
            name,
            domain,
            router,
            executor,
            catalog: ArcSwap::default(),
            groups: cell::RefCell::default(),
            memberships: cell::RefCell::default(),
            listed_instances: cell::RefCell::default(),
            declared_lost: cell::RefCell::default(),
            instances_known: cell::Cell::default(),
            listing: listing::Listing::default(),
            coverage: cell::RefCell::default(),
            started_at: boot::now(),
            unconfigured_groups: cell::RefCell::default(),
            unconfigured: cell::RefCell::default(),
        })
    }

    /// Executor of all tasks of this process.
    #[must_use]
    pub fn executor(&self) -> &rc::Rc<async_executor::LocalExecutor<'static>> {
        &self.executor
    }

    /// Puts a configuration in force and returns `true`, unless its version is not higher than that
    /// of the one in force.
    pub fn apply(&self, catalog: catalog::Catalog) -> bool {
        self.newest_unreadable.set(false);
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
            let group = self.group(&service.group);
            group.set_replication(service.sync, self.guarantees.application);
        }
        self.router.apply(&catalog);
        self.catalog.store(sync::Arc::new(catalog));
        self.adopt_listed();
        true
    }

    // Adds the instances that were listed before their group was configured.
    fn adopt_listed(&self) {
        let Unconfigured {
            instances,
            list_time,
        } = self.unconfigured.take();
        let mut rest = collections::BTreeMap::new();
        for (name, instances) in instances {
            if self.is_configured(&name) {
                // What they announce may be of any age.
                self.group(&name).update(instances, None, list_time);
            } else {
                rest.insert(name, instances);
            }
        }
        self.unconfigured.replace(Unconfigured {
            instances: rest,
            list_time,
        });
    }

    /// Applies a new list of instances, read at `list_time`. Its changes are no older than `since`, or
    /// of unknown age if that is `None`.
    pub fn update(
        &self,
        instances: Vec<catalog::Instance>,
        since: Option<id::Time>,
        list_time: id::Time,
    ) {
        let listed = instances
            .iter()
            .map(|instance| instance.id.clone())
            .collect();
        self.listed_instances.replace(listed);
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
        let mut unconfigured = collections::BTreeMap::new();
        for (name, group_instances) in by_group {
            if self.is_configured(&name) {
                self.group(&name).update(group_instances, since, list_time);
            } else {
                self.note_unconfigured(&name);
                unconfigured.insert(name, group_instances);
            }
        }
        self.unconfigured.replace(Unconfigured {
            instances: unconfigured,
            list_time,
        });
    }

    fn note_unconfigured(&self, group: &id::Group) {
        let mut noted = self.unconfigured_groups.borrow_mut();
        if noted.len() < MAX_LOGGED_GROUPS && !noted.contains(group) {
            tracing::warn!(%group, "listed instances belong to a group that is not in the configuration");
            noted.insert(group.clone());
        }
    }

    /// Sets the records of the groups' instances. `whole` tells whether these are all records, or
    /// only changed ones.
    pub fn set_memberships(&self, records: Vec<membership::Record>, whole: bool) {
        if whole {
            self.memberships.borrow_mut().clear();
        }
        let named = |record: membership::Record| (record.membership.group.clone(), record);
        let changed: Vec<_> = records.into_iter().map(named).collect();
        let groups: Vec<_> = if whole {
            self.groups.borrow().keys().cloned().collect()
        } else {
            changed.iter().map(|(name, _)| name.clone()).collect()
        };
        self.memberships.borrow_mut().extend(changed);
        for name in groups {
            if let Some(group) = self.groups.borrow().get(&name) {
                group.set_recorded(self.memberships.borrow().get(&name).cloned());
            }
        }
    }

    /// Sets the records of the groups' instances in a store that was reset to an older copy.
    pub fn restore_memberships(&self, records: Vec<membership::Record>) {
        let named = |record: membership::Record| (record.membership.group.clone(), record);
        let restored = records.into_iter().map(named).collect();
        self.memberships.replace(restored);
        for (name, group) in &*self.groups.borrow() {
            group.restore_recorded(self.memberships.borrow().get(name).cloned());
        }
    }

    /// Sets the instances that operators have declared lost, for all groups.
    pub fn set_declared_lost(&self, lost: collections::BTreeSet<upstream::Id>) {
        let before = self.declared_lost.replace(lost);
        let lost = self.declared_lost.borrow();
        if *lost == before {
            return;
        }
        let declared: Vec<_> = lost.difference(&before).collect();
        let ended: Vec<_> = before.difference(&lost).collect();
        tracing::warn!(?declared, ?ended, "declarations of lost instances changed");
        for group in self.groups.borrow().values() {
            group.roster().set_declared_lost(lost.clone());
        }
    }

    /// The instances that operators have declared lost.
    #[must_use]
    pub fn declared_lost(&self) -> collections::BTreeSet<upstream::Id> {
        self.declared_lost.borrow().clone()
    }

    /// Requests for a list of instances that is not stale.
    #[must_use]
    pub const fn listing(&self) -> &listing::Listing {
        &self.listing
    }

    /// How far the content of the store that this node follows is behind.
    #[must_use]
    pub const fn coverage(&self) -> &cell::RefCell<coverage::Coverage> {
        &self.coverage
    }

    /// Whether an instance is in the list of instances.
    #[must_use]
    pub fn is_listed(&self, id: &upstream::Id) -> bool {
        self.listed_instances.borrow().contains(id)
    }

    /// Records that the list of instances was confirmed as unchanged at `list_time`.
    pub fn note_confirmed(&self, list_time: id::Time) {
        for group in self.groups.borrow().values() {
            group.roster().note_confirmed(list_time);
        }
    }

    /// Records that the store, with the list of instances, was reset to an older copy.
    pub fn note_store_reset(&self) {
        self.distrust_store();
        for group in self.groups.borrow().values() {
            group.roster().note_store_reset();
        }
    }

    // Whether the group is in the configuration. Any group is, as long as there is no
    // configuration.
    fn is_configured(&self, group: &id::Group) -> bool {
        let catalog = self.catalog.load();
        let configured = catalog
            .services
            .iter()
            .any(|service| service.group == *group);
        configured || catalog.services.is_empty() || self.groups.borrow().contains_key(group)
    }

    /// Removes outdated state of groups, connections and quotas; called about once a second.
    pub fn maintain(&self) {
        let listed = self.listed_instances.borrow();
        for group in self.groups.borrow().values() {
            group.maintain(|id| listed.contains(id));
        }
        self.router.prune(|id| listed.contains(id));
        self.quotas.prune();
    }

    /// Router to the instances and peers.
    #[must_use]
    pub const fn router(&self) -> &rc::Rc<router::Router> {
        &self.router
    }

    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> sync::Arc<catalog::Catalog> {
        self.catalog.load_full()
    }

    /// Validity of the configuration.
    #[must_use]
    pub const fn validity(&self) -> &validity::Validity {
        &self.validity
    }

    /// When the proof of the configuration is to be renewed: it may grow no older than a change may
    /// take to be in force, nor than a revoked key may be accepted.
    #[must_use]
    pub fn schedule(&self) -> schedule::Schedule {
        let application = self.guarantees.application;
        let revocation = self.guarantees.revocation.filter(|_| self.requires_keys());
        let bound = revocation.map_or(application, |revocation| revocation.min(application));
        schedule::Schedule::new(bound)
    }

    /// Records that the store had acknowledged nothing newer than the configuration in force at
    /// `moment`.
    pub fn confirm(&self, moment: id::Time) {
        if !self.newest_unreadable.get() {
            self.validity.confirm(moment, boot::now());
        }
    }

    /// Records that the newest configuration could not be parsed. The one in force cannot be
    /// confirmed until another one arrives.
    pub fn note_unreadable(&self) {
        self.newest_unreadable.set(true);
    }

    /// Records that the store may hold an outdated configuration for a while.
    pub fn distrust_store(&self) {
        self.validity.note_store_reset(boot::now());
    }

    /// Whether the configuration has organisations, so that callers need keys.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.catalog.load().organisations.is_some()
    }

    /// Whether keys are accepted now. Always valid if callers need none, or no bound is set.
    #[must_use]
    pub fn key_validity(&self) -> validity::State {
        if self.requires_keys() {
            self.validity.state(boot::now())
        } else {
            validity::State::Valid
        }
    }

    /// Finds the organisation of a caller by its key.
    ///
    /// # Errors
    /// As [`access::identify`].
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
    /// As [`quotas::Quotas::count`].
    pub async fn count(&self, caller: &access::Caller) -> Result<(), access::Refusal> {
        let version = self.catalog.load().version;
        self.quotas.count(caller, version).await
    }

    /// Decides a token request of another node, by the newer of the two nodes' configurations.
    pub fn decide(&self, mut request: buckets::Request) -> buckets::Decision {
        if self.adopt_limit(&mut request) {
            self.quotas.decide(&request)
        } else {
            buckets::Decision::Granted
        }
    }

    /// Decides a request of another node for tokens of shared limits, by the newer of the two nodes'
    /// configurations. `None` if this node does not share limits.
    pub fn grant(&self, mut request: tokens::Request) -> Option<tokens::Decision> {
        let borrowing = self.quotas.borrowing()?;
        if self.key_validity() == validity::State::Expired {
            // Members may have changed without its knowledge, and others own its share.
            return Some(tokens::Decision::Unknown(allowance::MAX_DELAY));
        }
        if self.adopt_limit(&mut request.token) {
            Some(borrowing.grant(&request))
        } else {
            Some(tokens::Decision::Granted(1))
        }
    }

    /// Answers another node's question about a share of limits; `None` if this node does not share
    /// limits.
    pub fn answer_about_share(&self, request: &lease::Request) -> Option<lease::Response> {
        let borrowing = self.quotas.borrowing()?;
        let lends = self.key_validity() != validity::State::Expired;
        if request.kind == lease::Kind::Borrow && !lends {
            return Some(lease::Response::Kept);
        }
        Some(borrowing.answer(request))
    }

    // Applies the limit of this node's configuration to a request with an older one. Returns
    // whether there is a limit.
    fn adopt_limit(&self, request: &mut buckets::Request) -> bool {
        let catalog = self.catalog.load();
        let organisations = catalog.organisations.as_ref();
        let known = organisations.and_then(|all| all.find_by_name(&request.organisation));
        if let Some(known) = known.filter(|_| catalog.version >= request.version) {
            let Some(quota) = known.quota else {
                return false;
            };
            request.quota = quota;
        }
        true
    }

    /// Whether the configuration and the list of instances are known, so that callers can be
    /// served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.instances_known.get() && self.catalog.load().version > 0
    }

    /// Returns the route of a database in the configuration in force.
    #[must_use]
    pub fn route(&self, database: &CompactString) -> Option<rc::Rc<catalog::Route>> {
        let catalog = self.catalog.load();
        catalog.route(database).cloned().map(rc::Rc::new)
    }

    /// Returns the group with this name, and creates it on first use.
    pub fn group(&self, name: &id::Group) -> rc::Rc<group::Group> {
        let mut groups = self.groups.borrow_mut();
        let group = groups.entry(name.clone()).or_insert_with(|| {
            let group = group::Group::new(
                name.clone(),
                self.domain.clone(),
                rc::Rc::<router::Router>::clone(&self.router),
                rc::Rc::clone(&self.executor),
            );
            group.roster().set_declared_lost(self.declared_lost());
            group.set_recorded(self.memberships.borrow().get(name).cloned());
            group
        });
        rc::Rc::clone(group)
    }

    /// Answers a peer's question for the read floor of a group; `None` if the group is unknown or
    /// has no floor.
    pub async fn floor_for_peer(&self, request: delegate::Request) -> Option<delegate::Response> {
        let group = self.groups.borrow().get(&request.group).cloned()?;
        group.floor_for_peer(request.within).await
    }

    /// All groups.
    #[must_use]
    pub fn groups(&self) -> Vec<rc::Rc<group::Group>> {
        self.groups.borrow().values().cloned().collect()
    }

    /// Highest position that this node has passed on as acknowledged in a group.
    #[must_use]
    pub fn acknowledged(&self, group: &id::Group) -> Option<stamp::Stamp> {
        let groups = self.groups.borrow();
        groups.get(group).and_then(|group| group.acknowledged())
    }

    /// Seals a term of a group at this node.
    #[must_use]
    pub fn seal(&self, request: &seal::Request) -> seal::Response {
        let group = self.group(&request.group);
        seal::Response {
            acknowledged: group.seal(request.term),
            uptime: boot::now().saturating_sub(self.started_at),
            ended: group.roster().ended(),
        }
    }

    /// Seals a term of a group at all nodes, and returns their answers; none if this node does not
    /// know yet which nodes there are.
    pub async fn seal_everywhere(&self, request: &seal::Request) -> Vec<Option<seal::Response>> {
        let question = question::Question::Seal(request.clone());
        let seals = |member: &member::Member| member.protocol >= member::SEAL_PROTOCOL;
        if !self.is_member() {
            return Vec::new();
        }
        let others = self.ask_others(&question, seals).await;
        let mut unanswered = Vec::new();
        let mut answers = vec![Some(self.seal(request))];
        for (name, answer) in others {
            let Some(question::Answer::Sealed(response)) = answer else {
                unanswered.push(name);
                answers.push(None);
                continue;
            };
            answers.push(Some(response));
        }
        tracing::info!(group = %request.group, term = request.term, nodes = answers.len(), ?unanswered,
            acknowledged = seal::highest(&answers).map(tracing::field::display), "term sealed");
        answers
    }

    /// What this node, and the others that answer, have passed on as acknowledged in a group.
    pub async fn acknowledged_anywhere(
        &self,
        group: &id::Group,
    ) -> acknowledgement::Acknowledgement {
        let question = question::Question::Acknowledged(group.clone());
        let others = self.ask_others(&question, |_| true).await;
        let answers: Vec<_> = others.into_iter().map(|(_, answer)| answer).collect();
        let positions = answers.iter().flatten().filter_map(|answer| match answer {
            question::Answer::Acknowledged(position) => Some(*position),
            _ => None,
        });
        acknowledgement::Acknowledgement {
            position: positions.max().max(self.acknowledged(group)),
            complete: self.is_member() && answers.iter().all(Option::is_some),
        }
    }

    // Whether this node is among the members that it knows. One that has just started may not know
    // the others yet, nor itself.
    fn is_member(&self) -> bool {
        let members = self.router.members();
        members.iter().any(|member| member.name == self.name)
    }

    // Asks all other nodes at once, and returns the answer of each. A node that does not understand
    // the question, or was silent a moment ago, has none.
    async fn ask_others(
        &self,
        question: &question::Question,
        understands: impl Fn(&member::Member) -> bool,
    ) -> Vec<(id::Vm, Option<question::Answer>)> {
        let mut others = self.router.members();
        others.retain(|member| member.name != self.name);
        let peers = self.router.peers();
        let asked = others.iter().map(|member| async {
            let able = understands(member) && peers.may_ask(&member.name);
            let answer = if able {
                peers.ask(member, question).await
            } else {
                None
            };
            (member.name.clone(), answer)
        });
        futures_util::future::join_all(asked).await
    }
}
