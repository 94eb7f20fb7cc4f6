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
const TOGETHER: usize = 3;

/// Longest wait for another node to lend a connection.
const LIMIT: time::Duration = time::Duration::from_millis(350);

/// A node that is starting again is not asked for this long.
const PAUSE: time::Duration = time::Duration::from_millis(700);

/// A node that could not reach an instance is not asked for this one for this long. It may
/// reach all others: links are cut one by one, and a cut lasts some seconds.
const APART: time::Duration = time::Duration::from_secs(3);

/// A node that did not answer at all is dark, or gone for good: it is not asked for this
/// long, as each question costs its caller some time.
const SILENT_PAUSE: time::Duration = time::Duration::from_secs(5);

/// An instance that has not greeted after this long is also tried through other nodes. A
/// greeting takes 12 ms, and up to 160 ms where it waits for a slot.
const PATIENCE: time::Duration = time::Duration::from_millis(180);

/// Nodes that are tried at once when an instance is silent: where half of the nodes are cut
/// off from it, one of three reaches it seven times in eight.
const DETOURS: usize = 3;

/// An instance that was silent is tried through other nodes at once for this long.
const DARK: time::Duration = time::Duration::from_secs(2);

/// A lending node has its part of an instance's connections for itself, and keeps those that lie
/// idle this long: opening one takes a slot of the instance.
const LENT_IDLE: time::Duration = time::Duration::from_secs(15);

/// Connections that one node opens at once. After a loss of all nodes each seeks every instance through nodes
/// that are starting too; the more it tries at once, the fewer are answered in time.
pub const AT_ONCE: usize = 16;

/// A connection through another node is given up after this long, in favour of one of
/// this node's own if the link is well again.
const DETOUR_LIFE: time::Duration = time::Duration::from_secs(3);

/// A dialer that knows the fleet.
pub struct Router {
    name: id::Vm,
    direct: rc::Rc<dyn upstream::Dialer>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    members: cell::RefCell<Vec<member::Member>>,
    connections: cell::RefCell<collections::BTreeMap<id::Group, usize>>,
    pools: cell::RefCell<collections::BTreeMap<upstream::Id, rc::Rc<pool::Pool>>>,
    avoided: cell::RefCell<collections::BTreeMap<id::Vm, id::Time>>,
    apart: cell::RefCell<collections::BTreeMap<(id::Vm, upstream::Id), id::Time>>,
    dark: cell::RefCell<collections::BTreeMap<upstream::Id, id::Time>>,
    organisations: cell::Cell<usize>,
    peers: peers::Peers,
    opening: sync::Arc<async_lock::Semaphore>,
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
            apart: cell::RefCell::default(),
            dark: cell::RefCell::default(),
            organisations: cell::Cell::default(),
            peers: peers::Peers::default(),
            opening: sync::Arc::new(async_lock::Semaphore::new(AT_ONCE)),
        })
    }

    /// Takes a new list of members.
    pub fn meet(&self, members: Vec<member::Member>) {
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
        let made = pools.entry(target.id.clone()).or_insert_with(|| {
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
        made.resize(size);
        rc::Rc::clone(made)
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
        let (most, spare_idle) = match (self.parts_connections(), serves) {
            (false, _) => (each, size::SPARE_IDLE),
            (true, true) => (each, LENT_IDLE),
            (true, false) => (abreast + 1, size::SPARE_IDLE),
        };
        size::Size {
            most,
            abreast,
            spare_idle,
        }
    }

    // Whether connections belong to one organisation each, so that there are never enough.
    fn parts_connections(&self) -> bool {
        self.organisations.get() > 1
    }

    /// Gives spare connections back and forgets instances that are gone.
    pub fn tidy(&self, listed: impl Fn(&upstream::Id) -> bool) {
        self.pools.borrow_mut().retain(|id, pool| {
            pool.trim();
            listed(id) || pool.load() > 0
        });
        let now = boot::now();
        self.dark.borrow_mut().retain(|_, until| now < *until);
        self.apart.borrow_mut().retain(|_, until| now < *until);
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
    fn servers(&self, target: &upstream::Target) -> Vec<member::Member> {
        let serving::Way::Through { nodes, .. } = self.way(target) else {
            return Vec::new();
        };
        let members = self.members.borrow();
        let order = serving::order(&members, &target.id, &target.domain);
        let well = order
            .into_iter()
            .filter(|member| self.may_lend(&member.name, &target.id));
        let mut serving: Vec<_> = well.take(nodes).cloned().collect();
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
        let past = |until: &id::Time| *until < now;
        let avoided = self.avoided.borrow();
        let apart = self.apart.borrow();
        avoided.get(name).is_none_or(past)
            && apart
                .get(&(name.clone(), instance.clone()))
                .is_none_or(past)
    }

    async fn route(&self, target: &upstream::Target) -> Dialled {
        let servers = self.servers(target);
        if servers.is_empty() {
            return self.straight(target).await;
        }
        match self.lend_from(target, &servers).await {
            Err(upstream::Refusal::Silent(_)) => {}
            known => return known,
        }
        let others = self.servers(target);
        if others.iter().any(|other| other.name == self.name) {
            return self.lend_from(target, &others).await;
        }
        let others = others.iter().take(TOGETHER);
        let asked = others.map(|other| self.ask(other, target, None).boxed_local());
        let asked: Vec<_> = asked.collect();
        if !asked.is_empty()
            && let Ok((dialled, _)) = future::select_ok(asked).await
        {
            return Ok(dialled);
        }
        // No serving node is there: better one connection too many than none.
        tracing::info!(instance = %target.id, "no node lends, dialling the instance");
        self.straight(target).await
    }

    // From the first of these nodes, which may be this one.
    async fn lend_from(&self, target: &upstream::Target, servers: &[member::Member]) -> Dialled {
        let Some(server) = servers.first() else {
            return Err(upstream::Refusal::Silent("no node to ask".into()));
        };
        if server.name != self.name {
            return self.ask(server, target, None).await;
        }
        let lender = relay::Lender::new(self.pool(target), target.organisation.clone());
        let opened = lender.open().await;
        if let Err(refusal) = &opened {
            self.note(&self.name, target, refusal);
        }
        Ok((Box::new(relay::Local(lender)), opened?))
    }

    async fn ask(
        &self,
        server: &member::Member,
        target: &upstream::Target,
        lifetime: Option<time::Duration>,
    ) -> Dialled {
        let dialled = wait::within(LIMIT, remote::dial(server.address, target, lifetime)).await;
        let refusal = match dialled {
            Some(Ok(Ok(dialled))) => return Ok(dialled),
            Some(Ok(Err(refusal))) => {
                self.note(&server.name, target, &refusal);
                refusal
            }
            Some(Err(error)) => {
                let silent = error.kind() == io::ErrorKind::TimedOut;
                let pause = if silent { SILENT_PAUSE } else { PAUSE };
                self.avoid(&server.name, pause);
                upstream::Refusal::Silent(compact_str::format_compact!("{error}"))
            }
            None => {
                self.avoid(&server.name, SILENT_PAUSE);
                upstream::Refusal::Silent("the node does not answer".into())
            }
        };
        tracing::info!(node = %server.name, instance = %target.id, ?refusal, "node does not lend");
        Err(refusal)
    }

    fn avoid(&self, name: &id::Vm, pause: time::Duration) {
        let until = boot::now() + pause;
        self.avoided.borrow_mut().insert(name.clone(), until);
    }

    // Notes that a node was not able to reach an instance.
    fn note(&self, name: &id::Vm, target: &upstream::Target, refusal: &upstream::Refusal) {
        if matches!(refusal, upstream::Refusal::Silent(_)) {
            let pair = (name.clone(), target.id.clone());
            self.apart.borrow_mut().insert(pair, boot::now() + APART);
        }
    }

    /// Dials the instance itself, and goes through another node when it stays silent.
    ///
    /// A link between this node and an instance can be cut while both are well. The
    /// instance is not lost then, and no reason to replace a primary; but all callers of
    /// this node would wait for it in vain.
    async fn straight(&self, target: &upstream::Target) -> Dialled {
        let dark = self.is_dark(&target.id);
        let patience = if dark { time::Duration::ZERO } else { PATIENCE };
        let mut direct = self.direct.dial(target);
        if let Some(dialled) = wait::within(patience, &mut direct).await {
            self.mark(target, &dialled);
            return dialled;
        }
        if let Some(dialled) = self.detour(target).await {
            let until = boot::now() + DARK;
            self.dark.borrow_mut().insert(target.id.clone(), until);
            return Ok(dialled);
        }
        let dialled = direct.await;
        self.mark(target, &dialled);
        dialled
    }

    async fn detour(&self, target: &upstream::Target) -> Option<upstream::Dialled> {
        let mut others = self.members.borrow().clone();
        others.retain(|member| member.name != self.name && self.may_lend(&member.name, &target.id));
        fastrand::shuffle(&mut others);
        others.truncate(DETOURS);
        let asked = others
            .iter()
            .map(|other| self.ask(other, target, Some(DETOUR_LIFE)).boxed_local());
        let asked: Vec<_> = asked.collect();
        if asked.is_empty() {
            return None;
        }
        let (dialled, _) = future::select_ok(asked).await.ok()?;
        tracing::info!(instance = %target.id, "instance reached through another node");
        Some(dialled)
    }

    fn is_dark(&self, id: &upstream::Id) -> bool {
        let dark = self.dark.borrow();
        dark.get(id).is_some_and(|until| boot::now() < *until)
    }

    fn mark(&self, target: &upstream::Target, dialled: &Dialled) {
        let mut dark = self.dark.borrow_mut();
        if matches!(dialled, Err(upstream::Refusal::Silent(_))) {
            dark.insert(target.id.clone(), boot::now() + DARK);
        } else {
            dark.remove(&target.id);
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
        self.route(target).boxed_local()
    }

    fn permit(&self) -> future::LocalBoxFuture<'_, Option<upstream::Permit>> {
        self.opening.acquire_arc().map(Some).boxed_local()
    }

    fn nodes(&self) -> usize {
        self.members.borrow().len().max(1)
    }

    fn is_last_resort(&self, target: &upstream::Target) -> bool {
        self.parts_connections() && self.way(target) != serving::Way::Direct
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
