//! Reaches each instance directly or through another node.

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
use crate::keeper;
use crate::lane;
use crate::member;
use crate::organisation;
use crate::organisations;
use crate::peers;
use crate::pool;
use crate::question;
use crate::relay;
use crate::remote;
use crate::reply;
use crate::serving;
use crate::size;
use crate::upstream;
use crate::wait;

/// Nodes that are asked at once for a connection after the first has failed. Where a cut
/// parts most nodes from an instance, one in four reaches it; asking one after the other
/// would take longer than callers wait.
const MAX_PARALLEL_LENDERS: usize = 3;

/// Longest wait for another node to lend a connection.
const LEND_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// A node that is starting again is not asked for this long.
const RESTARTING_NODE_PAUSE: time::Duration = time::Duration::from_millis(700);

/// A node that could not reach an instance is not asked for this one for this long. It may
/// reach all others: links are cut one by one, and a cut lasts some seconds.
const UNREACHABLE_PAUSE: time::Duration = time::Duration::from_secs(3);

/// A node that did not answer at all is dark, or gone for good: it is not asked for this
/// long, as each question costs its caller some time.
const SILENT_NODE_PAUSE: time::Duration = time::Duration::from_secs(5);

/// An instance that has not greeted after this long is also tried through other nodes. A
/// greeting takes 12 ms, and up to 160 ms where it waits for a slot.
const DETOUR_DELAY: time::Duration = time::Duration::from_millis(180);

/// Nodes that are tried at once when an instance is silent: where half of the nodes are cut
/// off from it, one of three reaches it seven times in eight.
const MAX_PARALLEL_DETOURS: usize = 3;

/// An instance that was silent is tried through other nodes at once for this long.
const SILENT_INSTANCE_PERIOD: time::Duration = time::Duration::from_secs(2);

/// A lending node has its part of an instance's connections for itself, and keeps those that lie
/// idle this long: opening one takes a slot of the instance.
const LENT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Connections that one node opens at once. After a loss of all nodes each seeks every instance through nodes
/// that are starting too; the more it tries at once, the fewer are answered in time.
pub const MAX_CONCURRENT_DIALS: usize = 16;

/// A connection through another node is given up after this long, in favour of one of
/// this node's own if the link is well again.
const DETOUR_LIFETIME: time::Duration = time::Duration::from_secs(3);

/// A dialer that knows the fleet.
pub struct Router {
    name: id::Vm,
    direct: rc::Rc<dyn upstream::Dialer>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    members: cell::RefCell<Vec<member::Member>>,
    connections: cell::RefCell<collections::BTreeMap<id::Group, usize>>,
    pools: cell::RefCell<collections::BTreeMap<upstream::Id, rc::Rc<pool::Pool>>>,
    avoided: cell::RefCell<collections::BTreeMap<id::Vm, id::Time>>,
    unreachable: cell::RefCell<collections::BTreeMap<(id::Vm, upstream::Id), id::Time>>,
    silent: cell::RefCell<collections::BTreeMap<upstream::Id, id::Time>>,
    organisations: cell::Cell<usize>,
    peers: peers::Peers,
    dial_permits: sync::Arc<async_lock::Semaphore>,
}

impl Router {
    /// A router of the node `name` that knows no other node.
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
            members: cell::RefCell::default(),
            connections: cell::RefCell::default(),
            pools: cell::RefCell::default(),
            avoided: cell::RefCell::default(),
            unreachable: cell::RefCell::default(),
            silent: cell::RefCell::default(),
            organisations: cell::Cell::default(),
            peers: peers::Peers::default(),
            dial_permits: sync::Arc::new(async_lock::Semaphore::new(MAX_CONCURRENT_DIALS)),
        })
    }

    /// Takes a new list of members.
    pub fn set_members(&self, members: Vec<member::Member>) {
        if *self.members.borrow() != members {
            tracing::info!(members = members.len(), "fleet changed");
            self.members.replace(members);
        }
    }

    /// Takes the limits of a new configuration.
    pub fn apply(&self, catalog: &catalog::Catalog) {
        let limits = catalog.services.iter();
        let limits = limits.map(|service| (service.group.clone(), service.connections));
        self.connections.replace(limits.collect());
        let organisations = catalog.organisations.as_ref();
        self.organisations
            .set(organisations.map_or(0, organisations::Organisations::len));
    }

    /// The nodes that this one knows of.
    #[must_use]
    pub fn members(&self) -> Vec<member::Member> {
        self.members.borrow().clone()
    }

    /// Asks other nodes.
    #[must_use]
    pub const fn peers(&self) -> &peers::Peers {
        &self.peers
    }

    /// This node's own connections to an instance, for itself and for those that it serves.
    pub fn pool(&self, target: &upstream::Target) -> rc::Rc<pool::Pool> {
        let size = self.size(target);
        let mut pools = self.pools.borrow_mut();
        // What was seen of an instance's earlier life, and its connections, are over.
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
            rc::Rc::new(pool::Pool::new(instance, dialer, executor, size))
        });
        pool.resize(size);
        rc::Rc::clone(pool)
    }

    // How many connections this node may have to an instance, for itself and for those that it
    // serves. One that stands in for a serving node leaves it most of them.
    fn size(&self, target: &upstream::Target) -> size::Size {
        let (nodes, each) = match self.way(target) {
            serving::Way::Direct => return size::Size::shared(),
            serving::Way::Through { nodes, each } => (nodes, each),
        };
        let abreast = serving::abreast(target.slots, each);
        let members = self.members.borrow();
        let order = serving::order(&members, &target.id, &target.domain);
        let serves = order
            .iter()
            .take(nodes)
            .any(|member| member.name == self.name);
        let (most, spare_idle) = match (self.partitions_connections(), serves) {
            (false, _) => (each, size::SPARE_IDLE),
            (true, true) => (each, LENT_IDLE_TIMEOUT),
            (true, false) => (abreast + 1, size::SPARE_IDLE),
        };
        size::Size {
            most,
            abreast,
            spare_idle,
        }
    }

    // Whether connections belong to one organisation each, so that there are never enough.
    fn partitions_connections(&self) -> bool {
        self.organisations.get() > 1
    }

    /// Gives spare connections back and forgets instances that are gone.
    pub fn tidy(&self, listed: impl Fn(&upstream::Id) -> bool) {
        self.pools.borrow_mut().retain(|id, pool| {
            pool.trim();
            listed(id) || pool.load() > 0
        });
        let now = boot::now();
        self.silent.borrow_mut().retain(|_, until| now < *until);
        self.unreachable
            .borrow_mut()
            .retain(|_, until| now < *until);
    }

    fn way(&self, target: &upstream::Target) -> serving::Way {
        let connections = self.connections.borrow().get(&target.group).copied();
        serving::way(
            connections.unwrap_or_default(),
            self.members.borrow().len(),
            self.organisations.get(),
        )
    }

    // The nodes to ask, in order; this node itself where it is one of the serving ones.
    fn lenders(&self, target: &upstream::Target) -> Vec<member::Member> {
        let serving::Way::Through { nodes, .. } = self.way(target) else {
            return Vec::new();
        };
        let members = self.members.borrow();
        let order = serving::order(&members, &target.id, &target.domain);
        let available = order
            .into_iter()
            .filter(|member| self.may_lend(&member.name, &target.id));
        let mut serving: Vec<_> = available.take(nodes).cloned().collect();
        match serving.iter().position(|member| member.name == self.name) {
            Some(own) => serving = vec![serving.swap_remove(own)],
            None if target.organisation == organisation::OWN => fastrand::shuffle(&mut serving),
            // Each organisation's connections are at one of them.
            None if !serving.is_empty() => {
                let first = lane::of(&target.organisation) % serving.len();
                serving.rotate_left(first);
            }
            None => {}
        }
        serving
    }

    fn may_lend(&self, name: &id::Vm, instance: &upstream::Id) -> bool {
        let now = boot::now();
        let expired = |until: &id::Time| *until < now;
        let avoided = self.avoided.borrow();
        let unreachable = self.unreachable.borrow();
        avoided.get(name).is_none_or(expired)
            && unreachable
                .get(&(name.clone(), instance.clone()))
                .is_none_or(expired)
    }

    async fn connect(&self, target: &upstream::Target) -> Dialled {
        let lenders = self.lenders(target);
        if lenders.is_empty() {
            return self.dial_directly(target).await;
        }
        match self.borrow_from_first(target, &lenders).await {
            Err(upstream::Refusal::Silent(_)) => {}
            known => return known,
        }
        let others = self.lenders(target);
        if others.iter().any(|other| other.name == self.name) {
            return self.borrow_from_first(target, &others).await;
        }
        let others = others.iter().take(MAX_PARALLEL_LENDERS);
        let asked = others.map(|other| self.borrow_from(other, target, None).boxed_local());
        let asked: Vec<_> = asked.collect();
        if !asked.is_empty()
            && let Ok((dialled, _)) = future::select_ok(asked).await
        {
            return Ok(dialled);
        }
        // No serving node is there: better one connection too many than none.
        tracing::info!(instance = %target.id, "no node lends, dialling the instance");
        self.dial_directly(target).await
    }

    // From the first of these nodes, which may be this one.
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
        let local = relay::Lender::new(self.pool(target), target.organisation.clone());
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
        let dialled =
            wait::within(LEND_TIMEOUT, remote::dial(lender.address, target, lifetime)).await;
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
        tracing::info!(node = %lender.name, instance = %target.id, ?refusal, "node does not lend");
        Err(refusal)
    }

    fn avoid(&self, name: &id::Vm, pause: time::Duration) {
        let until = boot::now() + pause;
        self.avoided.borrow_mut().insert(name.clone(), until);
    }

    // Notes that a node was not able to reach an instance.
    fn note_refusal(&self, name: &id::Vm, target: &upstream::Target, refusal: &upstream::Refusal) {
        if matches!(refusal, upstream::Refusal::Silent(_)) {
            let pair = (name.clone(), target.id.clone());
            self.unreachable
                .borrow_mut()
                .insert(pair, boot::now() + UNREACHABLE_PAUSE);
        }
    }

    /// Dials the instance itself, and goes through another node when it stays silent.
    ///
    /// A link between this node and an instance can be cut while both are well. The
    /// instance is not lost then, and no reason to replace a primary; but all callers of
    /// this node would wait for it in vain.
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
            self.silent.borrow_mut().insert(target.id.clone(), until);
            return Ok(dialled);
        }
        let dialled = direct.await;
        self.note_result(target, &dialled);
        dialled
    }

    async fn dial_through_others(&self, target: &upstream::Target) -> Option<upstream::Dialled> {
        let mut others = self.members.borrow().clone();
        others.retain(|member| member.name != self.name && self.may_lend(&member.name, &target.id));
        fastrand::shuffle(&mut others);
        others.truncate(MAX_PARALLEL_DETOURS);
        let asked = others.iter().map(|other| {
            self.borrow_from(other, target, Some(DETOUR_LIFETIME))
                .boxed_local()
        });
        let asked: Vec<_> = asked.collect();
        if asked.is_empty() {
            return None;
        }
        let (dialled, _) = future::select_ok(asked).await.ok()?;
        tracing::info!(instance = %target.id, "instance reached through another node");
        Some(dialled)
    }

    fn is_silent(&self, id: &upstream::Id) -> bool {
        let silent = self.silent.borrow();
        silent.get(id).is_some_and(|until| boot::now() < *until)
    }

    fn note_result(&self, target: &upstream::Target, dialled: &Dialled) {
        let mut silent = self.silent.borrow_mut();
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

    fn nodes(&self) -> usize {
        self.members.borrow().len().max(1)
    }

    fn is_last_resort(&self, target: &upstream::Target) -> bool {
        self.partitions_connections() && self.way(target) != serving::Way::Direct
    }

    fn floor<'a>(
        &'a self,
        ask: &'a keeper::Ask,
    ) -> future::LocalBoxFuture<'a, Option<keeper::Told>> {
        async move {
            let may_ask = |name: &id::Vm| self.peers.may_ask(name);
            let keeper = keeper::of(&self.members.borrow(), &ask.group, &self.name, may_ask)?;
            let question = question::Question::Floor(ask.clone());
            match self.peers.ask(&keeper, &question).await? {
                question::Answer::Floor(told) => Some(told),
                _ => None,
            }
        }
        .boxed_local()
    }

    fn status(&self, reply: &reply::Reply) -> Option<upstream::Status> {
        self.direct.status(reply)
    }
}
