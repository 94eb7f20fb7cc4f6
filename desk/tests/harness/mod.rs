//! Test harness of a promoter: a store in memory and a fake promotion service that record what the
//! promoter does.

#![allow(dead_code)] // Each test binary uses only a part.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::sync;
use std::thread;
use std::time;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::role;
use mangotray::store;
use mangotray_desk::boot;
use mangotray_desk::election;
use mangotray_desk::intent;
use mangotray_desk::lending::relay;
use mangotray_desk::member;
use mangotray_desk::promote;
use mangotray_desk::promoter;
use mangotray_desk::question;
use mangotray_desk::upstream;
use mangotray_desk::wait;

use crate::cluster;

/// Wait after which a faulty promoter would have acted.
pub const LONG: time::Duration = time::Duration::from_millis(1500);

/// Wait after which every other task of the test has run.
pub const SHORT: time::Duration = time::Duration::from_millis(500);

/// Shortest lease that the store grants; longer than the promoter's default. A promoter that
/// requests its default is refused: no node is ever elected, and no primary is ever replaced.
pub const SHORTEST: time::Duration = time::Duration::from_secs(5);

/// Contents and faults of the store.
#[derive(Clone, Default)]
pub struct Entries {
    /// The lock of the elected promoter.
    pub entry: Option<store::Entry>,
    /// All other keys.
    pub others: collections::BTreeMap<String, store::Entry>,
    pub revision: u64,
    /// Number of following changes that take effect, but whose answers are lost.
    pub lose: usize,
    /// Whether calls are refused.
    pub down: bool,
    /// Duration of a guarded change.
    pub takes: time::Duration,
    /// Keys of the guarded changes in progress.
    pub in_progress: Vec<String>,
    /// Incremented when the store is reset to an older copy.
    pub era: store::Era,
}

impl Entries {
    /// Whether the record of a promotion is being stored. Other guarded changes, such as the record
    /// of a group's instances, say nothing about a promotion.
    pub fn is_recording_promotion(&self) -> bool {
        let is_promotion = |key: &String| key.starts_with(intent::PREFIX);
        self.in_progress.iter().any(is_promotion)
    }

    fn find(&self, key: &str) -> Option<store::Entry> {
        if key == election::KEY {
            return self.entry.clone();
        }
        self.others.get(key).cloned()
    }

    fn put(&mut self, key: &str, value: Bytes, lease: Option<&str>) {
        self.revision += 1;
        let entry = store::Entry {
            key: key.into(),
            value,
            version: self.revision,
            lease: lease.map(Into::into),
        };
        if key == election::KEY {
            self.entry = Some(entry);
        } else {
            self.others.insert(key.to_owned(), entry);
        }
    }
}

/// A store in memory.
#[derive(Clone, Default)]
pub struct Store(sync::Arc<sync::Mutex<Entries>>);

impl Store {
    pub fn at(&self) -> sync::MutexGuard<'_, Entries> {
        self.0.lock().expect("no test panics with it")
    }

    /// Resets the store to an older copy.
    pub fn go_back(&self, copy: &Entries) {
        let mut entries = self.at();
        let era = entries.era.max(1) + 1;
        *entries = copy.clone();
        entries.era = era;
    }

    fn up(&self) -> Result<sync::MutexGuard<'_, Entries>, store::Failure> {
        let entries = self.at();
        if entries.down {
            return Err(store::Failure::NotRun("down".into()));
        }
        Ok(entries)
    }
}

/// A guarded change in progress, which also ends if its caller gives it up.
struct GuardedChange<'a> {
    store: &'a Store,
    key: &'a str,
}

impl Drop for GuardedChange<'_> {
    fn drop(&mut self) {
        let mut entries = self.store.at();
        let place = entries.in_progress.iter().position(|key| key == self.key);
        if let Some(place) = place {
            entries.in_progress.swap_remove(place);
        }
    }
}

impl store::Store for Store {
    fn era(&self) -> store::Era {
        self.at().era
    }

    fn create<'a>(
        &'a self,
        keys: &'a [&'a str],
        value: Bytes,
        lease: &'a str,
    ) -> future::BoxFuture<'a, Result<store::Swap, store::Failure>> {
        async move {
            let mut entries = self.up()?;
            if keys.iter().any(|key| entries.find(key).is_some()) {
                return Ok(store::Swap::Conflict);
            }
            for key in keys {
                entries.put(key, value.clone(), Some(lease));
            }
            if entries.lose > 0 {
                entries.lose -= 1;
                return Err(store::Failure::Unknown("lost".into()));
            }
            Ok(store::Swap::Stored)
        }
        .boxed()
    }

    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> future::BoxFuture<'a, Result<Option<store::Entry>, store::Failure>> {
        async move { Ok(self.up()?.find(key)) }.boxed()
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> future::BoxFuture<'a, Result<Vec<store::Entry>, store::Failure>> {
        async move {
            let entries = self.up()?;
            let all = entries.entry.iter().chain(entries.others.values());
            Ok(all
                .filter(|entry| entry.key.starts_with(prefix))
                .cloned()
                .collect())
        }
        .boxed()
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expect: store::Version,
        lease: Option<&'a str>,
    ) -> future::BoxFuture<'a, Result<store::Swap, store::Failure>> {
        async move {
            let mut entries = self.up()?;
            if entries.find(key).map_or(0, |entry| entry.version) != expect {
                return Ok(store::Swap::Conflict);
            }
            entries.put(key, value, lease);
            if entries.lose > 0 {
                entries.lose -= 1;
                return Err(store::Failure::Unknown("lost".into()));
            }
            Ok(store::Swap::Stored)
        }
        .boxed()
    }

    fn put_guarded<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        guards: &'a [store::Guard<'a>],
    ) -> future::BoxFuture<'a, Result<store::Swap, store::Failure>> {
        async move {
            let takes = {
                let mut entries = self.at();
                entries.in_progress.push(key.to_owned());
                entries.takes
            };
            let change = GuardedChange { store: self, key };
            if !takes.is_zero() {
                wait::sleep(takes).await;
            }
            drop(change);
            let mut entries = self.up()?;
            let holds = |guard: &store::Guard<'_>| {
                let found = entries.find(guard.key);
                found.map_or(0, |entry| entry.version) == guard.version
            };
            if !guards.iter().all(holds) {
                return Ok(store::Swap::Conflict);
            }
            entries.put(key, value, None);
            Ok(store::Swap::Stored)
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        _key: &'a str,
        _seen: store::Version,
        _patience: time::Duration,
    ) -> future::BoxFuture<'a, Result<Option<store::Entry>, store::Failure>> {
        future::pending().boxed()
    }

    fn grant(
        &self,
        ttl: time::Duration,
    ) -> future::BoxFuture<'_, Result<store::Lease, store::Failure>> {
        async move {
            if ttl < SHORTEST {
                return Err(store::Failure::NotRun("too short a lease".into()));
            }
            self.up().map(|_| "lease".into())
        }
        .boxed()
    }

    fn renew<'a>(&'a self, lease: &'a str) -> future::BoxFuture<'a, Result<bool, store::Failure>> {
        async move {
            let entries = self.up()?;
            let held = entries
                .entry
                .as_ref()
                .and_then(|entry| entry.lease.as_deref());
            Ok(held == Some(lease))
        }
        .boxed()
    }

    fn revoke<'a>(&'a self, _lease: &'a str) -> future::BoxFuture<'a, Result<(), store::Failure>> {
        async {
            let mut entries = self.up()?;
            entries.entry = None;
            entries.others.retain(|_, entry| entry.lease.is_none());
            Ok(())
        }
        .boxed()
    }
}

/// A fake promotion service. It carries out orders immediately, unless a fault or delay is set.
pub struct FakeClient {
    pub world: cluster::Shared,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    /// Time from an order to its effect.
    pub effect_delay: cell::Cell<time::Duration>,
    /// Time from an order to its answer.
    pub answer_delay: cell::Cell<time::Duration>,
    /// Replicas that were not held when an order took effect.
    pub unheld: rc::Rc<cell::RefCell<Vec<upstream::Id>>>,
    pub orders: cell::RefCell<Vec<promote::Order>>,
    /// Number of following orders that are carried out, but whose answers are lost.
    pub lose_answers: cell::Cell<usize>,
    /// Number of following orders that are lost; the outcome is unknown to the promoter.
    pub drop_orders: cell::Cell<usize>,
    /// Whether orders are refused.
    pub refuse_orders: cell::Cell<bool>,
    /// Number of following orders that are accepted and have no effect.
    pub ignore_orders: cell::Cell<usize>,
    /// How long the whole process stands still right before the next order is sent.
    pub freeze: cell::Cell<time::Duration>,
    /// Number of orders that were not sent, as their permission had ended.
    pub unsent: cell::Cell<usize>,
    /// Number of primaries at the arrival of each order.
    pub primaries: cell::RefCell<Vec<usize>>,
}

impl promote::Client for FakeClient {
    fn promote<'a>(
        &'a self,
        order: &'a promote::Order,
        may_send: &'a dyn Fn() -> bool,
    ) -> future::LocalBoxFuture<'a, promote::Outcome> {
        async move {
            thread::sleep(self.freeze.take());
            if !may_send() {
                self.unsent.set(self.unsent.get() + 1);
                return promote::Outcome::Refused("not sent".into());
            }
            self.orders.borrow_mut().push(order.clone());
            if self.refuse_orders.get() {
                return promote::Outcome::Refused("not now".into());
            }
            if self.drop_orders.get() > 0 {
                self.drop_orders.set(self.drop_orders.get() - 1);
                return promote::Outcome::Unknown("no answer".into());
            }
            if self.ignore_orders.get() > 0 {
                self.ignore_orders.set(self.ignore_orders.get() - 1);
                return promote::Outcome::Accepted;
            }
            let leads = |instance: &&cluster::Instance| instance.role == role::Role::Primary;
            let primaries = {
                let world = self.world.borrow();
                world.instances.values().filter(leads).count()
            };
            self.primaries.borrow_mut().push(primaries);
            self.execute(order.candidate.clone());
            if !self.answer_delay.get().is_zero() {
                wait::sleep(self.answer_delay.get()).await;
            }
            if self.lose_answers.get() > 0 {
                self.lose_answers.set(self.lose_answers.get() - 1);
                return promote::Outcome::Unknown("lost".into());
            }
            promote::Outcome::Accepted
        }
        .boxed_local()
    }
}

impl FakeClient {
    fn execute(&self, candidate: upstream::Id) {
        let delay = self.effect_delay.get();
        let effect = Effect {
            world: rc::Rc::clone(&self.world),
            others: others(&self.world.borrow(), &candidate),
            candidate,
            unheld: rc::Rc::clone(&self.unheld),
        };
        if delay.is_zero() {
            return effect.apply();
        }
        let later = async move {
            wait::sleep(delay).await;
            effect.apply();
        };
        self.executor.spawn(later).detach();
    }
}

// The replicas that must be held when the order takes effect.
fn others(world: &cluster::World, candidate: &upstream::Id) -> Vec<upstream::Id> {
    let is_other = |(id, instance): &(&upstream::Id, &cluster::Instance)| {
        instance.role == role::Role::Replica && *id != candidate
    };
    let others = world.instances.iter().filter(is_other);
    others.map(|(id, _)| id.clone()).collect()
}

struct Effect {
    world: cluster::Shared,
    candidate: upstream::Id,
    others: Vec<upstream::Id>,
    unheld: rc::Rc<cell::RefCell<Vec<upstream::Id>>>,
}

impl Effect {
    fn apply(self) {
        let mut world = self.world.borrow_mut();
        if world.at(&self.candidate).role != role::Role::Replica {
            return;
        }
        let replaced = world.instances.values().map(|instance| instance.term).max();
        let unheld = self.others.into_iter();
        let unheld = unheld.filter(|id| Some(world.at(id).held) <= replaced);
        self.unheld.borrow_mut().extend(unheld);
        world.promote(&self.candidate);
    }
}

/// A node that is elected as promoter, with its store and instances.
pub struct Harness {
    pub cluster: cluster::Cluster,
    pub store: Store,
    pub election: rc::Rc<election::Election>,
    pub client: rc::Rc<FakeClient>,
}

/// Starts a promoter on a healthy group.
pub fn start() -> Harness {
    start_on(cluster::Cluster::new())
}

/// Starts a promoter on this cluster.
pub fn start_on(cluster: cluster::Cluster) -> Harness {
    start_with(cluster, Store::default())
}

/// Starts a promoter on this cluster, with a store that others have written to.
pub fn start_with(cluster: cluster::Cluster, store: Store) -> Harness {
    let shared: rc::Rc<dyn store::Store> = rc::Rc::new(store.clone());
    let election = election::Election::new(shared, &"vm".into(), SHORTEST);
    start_as(cluster, store, election)
}

/// Like [`start_with`], for a process that has already been elected before.
pub fn start_as(
    cluster: cluster::Cluster,
    store: Store,
    election: rc::Rc<election::Election>,
) -> Harness {
    let client = rc::Rc::new(FakeClient {
        world: rc::Rc::clone(&cluster.world),
        executor: rc::Rc::clone(&cluster.executor),
        effect_delay: cell::Cell::default(),
        answer_delay: cell::Cell::default(),
        unheld: rc::Rc::default(),
        orders: cell::RefCell::default(),
        lose_answers: cell::Cell::default(),
        drop_orders: cell::Cell::default(),
        refuse_orders: cell::Cell::default(),
        ignore_orders: cell::Cell::default(),
        freeze: cell::Cell::default(),
        unsent: cell::Cell::default(),
        primaries: cell::RefCell::default(),
    });
    let ordered: rc::Rc<dyn promote::Client> = rc::Rc::<FakeClient>::clone(&client);
    let promoter = promoter::Promoter::new(
        rc::Rc::clone(&cluster.node),
        rc::Rc::clone(&election),
        ordered,
    );
    cluster
        .executor
        .spawn(rc::Rc::clone(&election).run())
        .detach();
    cluster.executor.spawn(promoter.run()).detach();
    election.note_vacant();
    Harness {
        cluster,
        store,
        election,
        client,
    }
}

/// The two replicas of a group whose primary `a` is replaced.
pub struct FirstOrder {
    /// Candidate of the first order.
    pub candidate: upstream::Id,
    /// The other replica, which is to follow the candidate.
    pub other: &'static str,
}

impl Harness {
    /// Waits until the first order to replace `a` is sent.
    pub async fn wait_for_order(&self) -> FirstOrder {
        cluster::until("an order leaves", || {
            !self.client.orders.borrow().is_empty()
        })
        .await;
        let candidate = self.client.orders.borrow()[0].candidate.clone();
        let other = if candidate == "b" { "c" } else { "b" };
        FirstOrder { candidate, other }
    }

    /// Waits until the group has a primary of at least `term`, and this node holds the promoter's
    /// lease.
    pub async fn wait_for_primary(&self, term: u64) {
        let group = self.cluster.node.group(&cluster::GROUP.into());
        cluster::until("a primary leads", || {
            group.leader().is_some_and(|leader| leader.term >= term)
                && self.election.held().is_some()
        })
        .await;
    }

    /// Starts another node that answers questions like this, and returns its entry.
    pub async fn start_other_node(
        &self,
        answer: impl Fn(question::Question) -> question::Answer + 'static,
    ) -> member::Member {
        let free = net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = free.local_addr().expect("an address");
        drop(free);
        let router = rc::Rc::clone(self.cluster.node.router());
        let find = move |target: &_| router.pool(target);
        let executor = rc::Rc::clone(&self.cluster.executor);
        let server = relay::Server::new(find, executor, rc::Rc::default());
        server.set_question_handler(move |question| future::ready(answer(question)).boxed_local());
        let serve = server.serve(address);
        let serve = async move { serve.await.expect("a port") };
        self.cluster.executor.spawn(serve).detach();
        while async_net::TcpStream::connect(address).await.is_err() {
            wait::sleep(time::Duration::from_millis(5)).await;
        }
        member::Member {
            name: "other".into(),
            domain: "here".into(),
            address,
            protocol: member::PROTOCOL,
            capacity: None,
        }
    }

    /// Stalls both replicas with a record that takes nine seconds to apply, and waits until the
    /// node has queried their status.
    pub async fn stall_replicas(&self) {
        for id in ["b", "c"] {
            let lag = time::Duration::from_secs(9);
            self.cluster.world.borrow_mut().at(id).lag = Some((lag, 5));
        }
        let group = self.cluster.node.group(&cluster::GROUP.into());
        let deadline = boot::now() + cluster::LIMIT;
        assert!(group.prove(deadline).await.is_some());
    }

    /// Ids of the running instances that are primary.
    pub fn leader(&self) -> Vec<String> {
        let world = self.cluster.world.borrow();
        let up = world.instances.iter().filter(|(_, instance)| instance.up);
        let leads = up.filter(|(_, instance)| instance.role == role::Role::Primary);
        leads.map(|(id, _)| id.to_string()).collect()
    }
}
