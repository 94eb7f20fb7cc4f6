//! Reaches each instance directly or through another node.
//!
//! A large fleet would exhaust an instance's connections. A few nodes then hold all of them and
//! lend them to the other nodes; which ones is decided in [`serving`]. In a small fleet every
//! node dials the instance, and uses another node only while its own link is cut. The router
//! remembers for some seconds which nodes and instances did not answer, and skips them.

use std::cell;
use std::collections;
use std::io;
use std::rc;
use std::sync;
use std::time;

use futures_util::FutureExt;
use futures_util::future;
use mangotray::id;

use crate::boot;
use crate::catalog;
use crate::delegate;
use crate::lending::fleet;
use crate::lending::relay;
use crate::lending::remote;
use crate::lending::serving;
use crate::lending::shard;
use crate::load::budget;
use crate::load::forecast;
use crate::load::options;
use crate::load::subscription;
use crate::load::table;
use crate::member;
use crate::organisation;
use crate::organisations;
use crate::peers;
use crate::pool;
use crate::question;
use crate::reply;
use crate::room::size;
use crate::upstream;
use crate::wait;

/// Nodes that are asked in parallel for a connection after the first has failed. When a network
/// partition cuts most nodes off from an instance, one in four reaches it; asking them one after
/// the other would take longer than callers wait.
const MAX_PARALLEL_LENDERS: usize = 3;

/// Timeout for borrowing a connection from another node.
const BORROW_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// Time for which a node that refused or broke the connection is not asked again; it is
/// probably restarting.
const RESTARTING_NODE_PAUSE: time::Duration = time::Duration::from_millis(700);

/// Time for which a node that could not reach an instance is not asked again for this instance.
/// It may reach all others: links are cut one by one, and a cut lasts some seconds.
const UNREACHABLE_PAUSE: time::Duration = time::Duration::from_secs(3);

/// Time for which a node that did not answer is not asked again. It is cut off or has ended, and
/// each request to it delays a caller.
const SILENT_NODE_PAUSE: time::Duration = time::Duration::from_secs(5);

/// Delay after which an instance that has not completed the handshake is also tried through other
/// nodes. A handshake takes 12 ms, and up to 160 ms if it waits for a slot.
const DETOUR_DELAY: time::Duration = time::Duration::from_millis(180);

/// Nodes that are tried in parallel when an instance is silent. If half of the nodes are cut off
/// from it, at least one of three reaches it in seven cases of eight.
const MAX_PARALLEL_DETOURS: usize = 3;

/// Time for which an instance that was silent is tried through other nodes without delay.
const SILENT_INSTANCE_PERIOD: time::Duration = time::Duration::from_secs(2);

/// Idle timeout of connections on a lending node. It does not share its part of the instance's
/// connections, and opening a new one takes a slot of the instance.
const LENT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Connections that a node opens concurrently, to all instances together. When all nodes restart,
/// each dials every instance through nodes that are starting as well: the more dials run at once,
/// the fewer are answered in time.
pub const MAX_CONCURRENT_DIALS: usize = 16;

/// Lifetime of a connection through another node; afterwards the instance is dialled directly
/// again, in case the link has recovered.
const DETOUR_LIFETIME: time::Duration = time::Duration::from_secs(3);

/// A lending node with a longer expected wait is late: a read waits this long for a connection
/// before it tries another instance.
const LATE_WAIT: time::Duration = time::Duration::from_millis(120);

/// Priority by whose wait lending nodes are compared when a connection is opened, as the
/// connection will serve statements of several priorities.
const DIAL_PRIORITY: u8 = 1;

/// Lowest protocol version of a member that knows requests for load reports.
const REPORT_PROTOCOL: u32 = 1;

/// A dialer that reaches instances directly or through the other nodes of the fleet.
pub struct Router {
    name: id::Vm,
    direct: rc::Rc<dyn upstream::Dialer>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    fleet: cell::RefCell<fleet::Fleet>,
    connection_limits: cell::RefCell<collections::BTreeMap<id::Group, usize>>,
    pools: cell::RefCell<collections::BTreeMap<upstream::Id, rc::Rc<pool::Pool>>>,
    avoided_nodes: cell::RefCell<collections::BTreeMap<id::Vm, id::Time>>,
    unreachable_instances: cell::RefCell<collections::BTreeMap<(id::Vm, upstream::Id), id::Time>>,
    silent_instances: cell::RefCell<collections::BTreeMap<upstream::Id, id::Time>>,
    organisation_count: cell::Cell<usize>,
    transaction_idle: cell::Cell<Option<time::Duration>>,
    options: cell::Cell<options::Options>,
    reports: rc::Rc<table::Table>,
    /// The budget of this node's retries, if they are limited.
    retries: cell::Cell<Option<budget::Budget>>,
    peers: peers::Peers,
    dial_permits: sync::Arc<async_lock::Semaphore>,
}

impl Router {
    /// Creates a router for the node `name`, without other members.
    #[must_use]
    pub fn new(
        name: id::Vm,
        direct: rc::Rc<dyn upstream::Dialer>,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            name,
            direct,
            executor,
            fleet: cell::RefCell::default(),
            connection_limits: cell::RefCell::default(),
            pools: cell::RefCell::default(),
            avoided_nodes: cell::RefCell::default(),
            unreachable_instances: cell::RefCell::default(),
            silent_instances: cell::RefCell::default(),
            organisation_count: cell::Cell::default(),
            transaction_idle: cell::Cell::default(),
            options: cell::Cell::default(),
            reports: rc::Rc::default(),
            retries: cell::Cell::default(),
            peers: peers::Peers::default(),
            dial_permits: sync::Arc::new(async_lock::Semaphore::new(MAX_CONCURRENT_DIALS)),
        })
    }

    /// Sets which decisions under load are switched on, for pools that are created from now on.
    pub fn set_options(&self, options: options::Options) {
        self.options.set(options);
        self.retries
            .set(options.retry_percent.map(budget::Budget::new));
    }

    // Applies a change to the budget of retries, if they are limited, and returns its result.
    fn with_budget<T>(&self, change: impl FnOnce(&mut budget::Budget) -> T) -> Option<T> {
        let mut budget = self.retries.get()?;
        let result = change(&mut budget);
        self.retries.set(Some(budget));
        Some(result)
    }

    /// Decisions under load that are switched on.
    #[must_use]
    pub const fn options(&self) -> options::Options {
        self.options.get()
    }

    /// Replaces the list of members.
    pub fn set_members(&self, members: Vec<member::Member>) {
        if self.fleet.borrow().members() != members {
            tracing::info!(members = members.len(), "fleet changed");
            self.forget_changed(&members);
            self.fleet.borrow_mut().replace(members);
        }
    }

    // Drops the reports of members that have left, or came back at another address.
    fn forget_changed(&self, members: &[member::Member]) {
        let now = boot::now();
        for former in self.fleet.borrow().members() {
            let same = |member: &member::Member| {
                (&member.name, member.address) == (&former.name, former.address)
            };
            if !members.iter().any(same) {
                self.reports.forget_lender(&former.name, now);
            }
        }
    }

    /// Applies the connection limits, the number of organisations and the idle timeout of
    /// transactions of a new configuration.
    pub fn apply(&self, catalog: &catalog::Catalog) {
        let limits = catalog.services.iter();
        let limits = limits.map(|service| (service.group.clone(), service.connections));
        self.connection_limits.replace(limits.collect());
        let organisations = catalog.organisations.as_ref();
        self.organisation_count
            .set(organisations.map_or(0, organisations::Organisations::len));
        self.transaction_idle.set(catalog.transaction_idle);
    }

    /// The fleet's nodes, as far as this node knows them.
    #[must_use]
    pub fn members(&self) -> Vec<member::Member> {
        self.fleet.borrow().members().to_vec()
    }

    /// The client for questions to other nodes.
    #[must_use]
    pub const fn peers(&self) -> &peers::Peers {
        &self.peers
    }

    /// The pool of this node's direct connections to an instance, for its own sessions and for the
    /// nodes that it lends to.
    pub fn pool(&self, target: &upstream::Target) -> rc::Rc<pool::Pool> {
        let size = self.size(target);
        let mut pools = self.pools.borrow_mut();
        // The instance has restarted: the pool of its earlier process is dropped.
        pools.retain(|id, pool| *id != target.id || pool.born() >= target.born);
        let pool = pools.entry(target.id.clone()).or_insert_with(|| {
            let instance = catalog::Instance {
                id: target.id.clone(),
                born: target.born,
                group: target.group.clone(),
                address: target.address,
                domain: target.domain.clone(),
                slots: target.slots,
                draining: false,
                leads: false,
                any: target.any,
            };
            let dialer = rc::Rc::clone(&self.direct);
            let executor = rc::Rc::clone(&self.executor);
            let pool = pool::Pool::new(instance, dialer, executor, size);
            rc::Rc::new(pool.with_options(self.options.get()))
        });
        pool.resize(size);
        rc::Rc::clone(pool)
    }

    // How many connections this node may have to an instance, for itself and for the nodes that it
    // lends to. A node that lends only as a substitute leaves most of them to the regular ones.
    fn size(&self, target: &upstream::Target) -> size::Size {
        let (nodes, each) = match self.serving_mode(target) {
            serving::Mode::Direct => return size::Size::shared(),
            serving::Mode::Shared { nodes, each } => (nodes, each),
        };
        let max_statements = serving::concurrency(target.slots, each);
        let mut fleet = self.fleet.borrow_mut();
        let order = fleet.order(&target.id, &target.domain);
        let serves = order
            .iter()
            .take(nodes)
            .any(|position| fleet.members()[*position].name == self.name);
        let (max_connections, idle_timeout) = match (self.partitions_connections(), serves) {
            (false, _) => (each, size::IDLE_TIMEOUT),
            (true, true) => (each, LENT_IDLE_TIMEOUT),
            (true, false) => (max_statements + 1, size::IDLE_TIMEOUT),
        };
        size::Size {
            max_connections,
            max_statements,
            idle_timeout,
            lends: true,
            transaction_idle: self.transaction_idle.get(),
        }
    }

    // Whether each connection belongs to one organisation, so that connections are always scarce.
    fn partitions_connections(&self) -> bool {
        self.organisation_count.get() > 1
    }

    /// Closes spare idle connections, and removes pools of unlisted instances and expired marks.
    pub fn prune(&self, listed: impl Fn(&upstream::Id) -> bool) {
        self.pools.borrow_mut().retain(|id, pool| {
            pool.trim();
            listed(id) || pool.load() > 0
        });
        let now = boot::now();
        self.reports.prune(now);
        self.fleet.borrow_mut().prune(&listed);
        self.silent_instances
            .borrow_mut()
            .retain(|_, until| now < *until);
        self.unreachable_instances
            .borrow_mut()
            .retain(|_, until| now < *until);
    }

    fn serving_mode(&self, target: &upstream::Target) -> serving::Mode {
        let connections = self.connection_limits.borrow().get(&target.group).copied();
        serving::mode(
            connections.unwrap_or_default(),
            self.fleet.borrow().members().len(),
            self.organisation_count.get(),
        )
    }

    // The nodes to borrow from, in order of preference; only this node itself if it is one of them.
    fn lenders(&self, target: &upstream::Target) -> Vec<member::Member> {
        let serving::Mode::Shared { nodes, .. } = self.serving_mode(target) else {
            return Vec::new();
        };
        let mut fleet = self.fleet.borrow_mut();
        let order = fleet.order(&target.id, &target.domain);
        let available = order
            .iter()
            .map(|position| &fleet.members()[*position])
            .filter(|member| self.may_lend(&member.name, &target.id));
        let mut serving: Vec<_> = available.take(nodes).cloned().collect();
        match serving.iter().position(|member| member.name == self.name) {
            Some(own) => serving = vec![serving.swap_remove(own)],
            None if target.organisation == organisation::OWN => {
                fastrand::shuffle(&mut serving);
                self.prefer_shorter_wait(target, &mut serving);
            }
            // All connections of an organisation are held by the same lending node.
            None if !serving.is_empty() => {
                let first = shard::of(&target.organisation) % serving.len();
                serving.rotate_left(first);
                self.pass_over_late(target, &mut serving);
            }
            None => {}
        }
        serving
    }

    // Of two nodes that are drawn at random, possibly the same, the one with the shorter expected
    // wait is asked first, if both waits are known. The nodes are shuffled, so the first is drawn.
    fn prefer_shorter_wait(&self, target: &upstream::Target, lenders: &mut [member::Member]) {
        if lenders.is_empty() || !self.options.get().load_reports {
            return;
        }
        let other = fastrand::usize(..lenders.len());
        let wait = |index: usize| self.wait_at(&lenders[index], target);
        if let (Some(first), Some(second)) = (wait(0), wait(other))
            && second < first
        {
            lenders.swap(0, other);
        }
    }

    // An organisation's connections lead to the node of its shard, the first here, unless that is
    // known to be late and another one is known not to be.
    fn pass_over_late(&self, target: &upstream::Target, lenders: &mut [member::Member]) {
        let wait = |lender: &member::Member| self.wait_at(lender, target);
        let late = lenders.first().and_then(wait) > Some(LATE_WAIT);
        let timely = |lender: &member::Member| wait(lender).is_some_and(|wait| wait <= LATE_WAIT);
        if late && let Some(other) = lenders.iter().position(timely) {
            lenders.swap(0, other);
        }
    }

    // The expected wait at a lending node, by its fresh report if there is one.
    fn wait_at(
        &self,
        lender: &member::Member,
        target: &upstream::Target,
    ) -> Option<time::Duration> {
        if !self.options.get().load_reports {
            return None;
        }
        let now = boot::now();
        let forecast = self
            .reports
            .find(&target.id, target.born, &lender.name, now)?;
        Some(forecast.wait(DIAL_PRIORITY))
    }

    fn may_lend(&self, name: &id::Vm, instance: &upstream::Id) -> bool {
        let now = boot::now();
        let expired = |until: &id::Time| *until < now;
        let avoided_nodes = self.avoided_nodes.borrow();
        let unreachable = self.unreachable_instances.borrow();
        avoided_nodes.get(name).is_none_or(expired)
            && unreachable
                .get(&(name.clone(), instance.clone()))
                .is_none_or(expired)
    }

    // What the last load report on an instance lets expect, from the node that this node's
    // connections for the organisation lead to; this node's own pool if it lends to itself.
    fn forecast_for(&self, target: &upstream::Target) -> Option<forecast::Forecast> {
        let now = boot::now();
        let lenders = self.lenders(target);
        let own = lenders.first().is_some_and(|first| first.name == self.name);
        if own {
            let pools = self.pools.borrow();
            let pool = pools.get(&target.id)?;
            return (pool.born() == target.born).then(|| forecast::Forecast {
                report: pool.load_report(),
                age: time::Duration::ZERO,
                added: 0,
            });
        }
        let find = |lender: &member::Member| {
            self.reports
                .find(&target.id, target.born, &lender.name, now)
        };
        if target.organisation == organisation::OWN {
            // The connection that was used last is used next.
            let found = lenders.iter().filter_map(find);
            return found.min_by_key(|forecast| forecast.age);
        }
        find(lenders.first()?)
    }

    async fn connect(&self, target: &upstream::Target) -> Dialled {
        let lenders = self.lenders(target);
        if lenders.is_empty() {
            return self.dial_directly(target).await;
        }
        match self.borrow_from_first(target, &lenders).await {
            Err(upstream::Refusal::Silent(_)) => {}
            result => return result,
        }
        let others = self.lenders(target);
        if others.iter().any(|other| other.name == self.name) {
            return self.borrow_from_first(target, &others).await;
        }
        let others = others.iter().take(MAX_PARALLEL_LENDERS);
        let attempts = others.map(|other| self.borrow_from(other, target, None).boxed_local());
        let attempts: Vec<_> = attempts.collect();
        if !attempts.is_empty()
            && let Ok((dialled, _)) = future::select_ok(attempts).await
        {
            return Ok(dialled);
        }
        // No lending node can be reached: a direct connection beyond this node's share is better
        // than none.
        tracing::info!(instance = %target.id, "no node lends a connection; dialling the instance directly");
        self.dial_directly(target).await
    }

    // Borrows from the first of these nodes, which may be this one.
    async fn borrow_from_first(
        &self,
        target: &upstream::Target,
        lenders: &[member::Member],
    ) -> Dialled {
        let Some(lender) = lenders.first() else {
            return Err(upstream::Refusal::Silent("no node to ask".into()));
        };
        if lender.name != self.name {
            return self.borrow_from(lender, target, None).await;
        }
        let local = relay::Session::new(self.pool(target), target.organisation.clone());
        let opened = local.open().await;
        if let Err(refusal) = &opened {
            self.note_refusal(&self.name, target, refusal);
        }
        Ok((Box::new(relay::Local(local)), opened?))
    }

    async fn borrow_from(
        &self,
        lender: &member::Member,
        target: &upstream::Target,
        lifetime: Option<time::Duration>,
    ) -> Dialled {
        let dialled = wait::within(
            BORROW_TIMEOUT,
            remote::dial(
                lender.address,
                target,
                lifetime,
                self.subscribe(lender, target, lifetime),
            ),
        )
        .await;
        let refusal = match dialled {
            Some(Ok(Ok(dialled))) => return Ok(dialled),
            Some(Ok(Err(refusal))) => {
                self.note_refusal(&lender.name, target, &refusal);
                refusal
            }
            Some(Err(error)) => {
                let silent = error.kind() == io::ErrorKind::TimedOut;
                let pause = if silent {
                    SILENT_NODE_PAUSE
                } else {
                    RESTARTING_NODE_PAUSE
                };
                self.avoid(&lender.name, pause);
                upstream::Refusal::Silent(compact_str::format_compact!("{error}"))
            }
            None => {
                self.avoid(&lender.name, SILENT_NODE_PAUSE);
                upstream::Refusal::Silent("the node does not answer".into())
            }
        };
        tracing::info!(node = %lender.name, instance = %target.id, ?refusal, "node did not lend a connection");
        Err(refusal)
    }

    // Where load reports on the instance from a lending node are recorded; `None` if they are not
    // wanted, the node does not know them, or the connection is a detour.
    fn subscribe(
        &self,
        lender: &member::Member,
        target: &upstream::Target,
        lifetime: Option<time::Duration>,
    ) -> Option<subscription::Subscription> {
        let wanted = self.options.get().load_reports && lifetime.is_none();
        (wanted && lender.protocol >= REPORT_PROTOCOL).then(|| subscription::Subscription {
            table: rc::Rc::clone(&self.reports),
            lender: lender.name.clone(),
            instance: target.id.clone(),
            born: target.born,
        })
    }

    fn avoid(&self, name: &id::Vm, pause: time::Duration) {
        self.reports.forget_lender(name, boot::now());
        let until = boot::now() + pause;
        self.avoided_nodes.borrow_mut().insert(name.clone(), until);
    }

    // Records that a node could not reach an instance, if that was the reason of its refusal.
    fn note_refusal(&self, name: &id::Vm, target: &upstream::Target, refusal: &upstream::Refusal) {
        self.reports.forget(&target.id, name, boot::now());
        if matches!(refusal, upstream::Refusal::Silent(_)) {
            let pair = (name.clone(), target.id.clone());
            self.unreachable_instances
                .borrow_mut()
                .insert(pair, boot::now() + UNREACHABLE_PAUSE);
        }
    }

    /// Dials the instance directly, and through other nodes if it does not answer in time.
    ///
    /// The link between this node and an instance can be cut while both are healthy. This is no
    /// reason to replace a primary, but without a detour all callers of this node would time out.
    async fn dial_directly(&self, target: &upstream::Target) -> Dialled {
        let silent = self.is_silent(&target.id);
        let delay = if silent {
            time::Duration::ZERO
        } else {
            DETOUR_DELAY
        };
        let mut direct = self.direct.dial(target);
        if let Some(dialled) = wait::within(delay, &mut direct).await {
            self.note_result(target, &dialled);
            return dialled;
        }
        if let Some(dialled) = self.dial_through_others(target).await {
            let until = boot::now() + SILENT_INSTANCE_PERIOD;
            self.silent_instances
                .borrow_mut()
                .insert(target.id.clone(), until);
            return Ok(dialled);
        }
        let dialled = direct.await;
        self.note_result(target, &dialled);
        dialled
    }

    async fn dial_through_others(&self, target: &upstream::Target) -> Option<upstream::Dialled> {
        let mut others = self.members();
        others.retain(|member| member.name != self.name && self.may_lend(&member.name, &target.id));
        fastrand::shuffle(&mut others);
        others.truncate(MAX_PARALLEL_DETOURS);
        let attempts = others.iter().map(|other| {
            self.borrow_from(other, target, Some(DETOUR_LIFETIME))
                .boxed_local()
        });
        let attempts: Vec<_> = attempts.collect();
        if attempts.is_empty() {
            return None;
        }
        let (dialled, _) = future::select_ok(attempts).await.ok()?;
        tracing::info!(instance = %target.id, "instance is silent; connected through another node");
        Some(dialled)
    }

    fn is_silent(&self, id: &upstream::Id) -> bool {
        let silent = self.silent_instances.borrow();
        silent.get(id).is_some_and(|until| boot::now() < *until)
    }

    fn note_result(&self, target: &upstream::Target, dialled: &Dialled) {
        let mut silent = self.silent_instances.borrow_mut();
        if matches!(dialled, Err(upstream::Refusal::Silent(_))) {
            silent.insert(target.id.clone(), boot::now() + SILENT_INSTANCE_PERIOD);
        } else {
            silent.remove(&target.id);
        }
    }
}

/// A connection to an instance, or why there is none.
type Dialled = Result<upstream::Dialled, upstream::Refusal>;

impl upstream::Dialer for Router {
    fn dial<'a>(
        &'a self,
        target: &'a upstream::Target,
    ) -> future::LocalBoxFuture<'a, Result<upstream::Dialled, upstream::Refusal>> {
        self.connect(target).boxed_local()
    }

    fn permit(&self) -> future::LocalBoxFuture<'_, Option<upstream::Permit>> {
        self.dial_permits.acquire_arc().map(Some).boxed_local()
    }

    fn load_options(&self) -> options::Options {
        self.options.get()
    }

    fn exchange(&self, target: &upstream::Target) -> Option<time::Duration> {
        if !self.options.get().load_reports {
            return None;
        }
        let lenders = self.lenders(target);
        let reported = lenders.iter().filter_map(|lender| {
            self.reports
                .exchange(&target.id, target.born, &lender.name, boot::now())
        });
        reported.max()
    }

    fn forecast(&self, target: &upstream::Target) -> Option<forecast::Forecast> {
        let wanted = self.options.get().load_reports;
        wanted.then(|| self.forecast_for(target)).flatten()
    }

    fn limits_retries(&self, target: &upstream::Target) -> bool {
        let limited = self.options.get().retry_percent.is_some();
        limited && self.serving_mode(target) != serving::Mode::Direct
    }

    fn note_statement(&self) {
        self.with_budget(|budget| budget.note_statement(boot::now()));
    }

    fn take_retry(&self) -> bool {
        let taken = self.with_budget(|budget| budget.take(boot::now()));
        if let Some(allowed) = taken {
            let result = if allowed { "allowed" } else { "denied" };
            metrics::counter!("mangotray_retry_budget_total", "result" => result).increment(1);
        }
        taken.unwrap_or(true)
    }

    fn node_count(&self) -> usize {
        self.fleet.borrow().members().len().max(1)
    }

    fn is_shared(&self, target: &upstream::Target) -> bool {
        self.serving_mode(target) != serving::Mode::Direct
    }

    fn is_last_resort(&self, target: &upstream::Target) -> bool {
        self.partitions_connections() && self.serving_mode(target) != serving::Mode::Direct
    }

    fn request_floor<'a>(
        &'a self,
        request: &'a delegate::Request,
    ) -> future::LocalBoxFuture<'a, Option<delegate::Response>> {
        async move {
            let may_ask = |name: &id::Vm| self.peers.may_ask(name);
            let delegate = delegate::choose(
                self.fleet.borrow().members(),
                &request.group,
                &self.name,
                may_ask,
            )?;
            let question = question::Question::Floor(request.clone());
            match self.peers.ask(&delegate, &question).await? {
                question::Answer::Floor(response) => Some(response),
                _ => None,
            }
        }
        .boxed_local()
    }

    fn status(&self, reply: &reply::Reply) -> Option<upstream::Status> {
        self.direct.status(reply)
    }
}
