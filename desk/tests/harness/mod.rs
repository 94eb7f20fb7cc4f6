//! A promoter on stage: a store, a call that promotes, and what there is to see of them.

#![allow(dead_code)] // Each test program uses its own part.

use std::cell;
use std::collections;
use std::rc;
use std::sync;
use std::time;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::role;
use mangotray::store;
use mangotray_desk::boot;
use mangotray_desk::election;
use mangotray_desk::promote;
use mangotray_desk::promoter;
use mangotray_desk::upstream;
use mangotray_desk::wait;

use crate::cluster;

/// Long enough for a promoter to act wrongly if it would.
pub const LONG: time::Duration = time::Duration::from_millis(1500);

/// Long enough for a task of the test to have its turn.
pub const SHORT: time::Duration = time::Duration::from_millis(500);

/// Shortest lease that the store grants; longer than the promoter would choose. With the
/// promoter's own choice no node ever takes the seat, and no primary is ever replaced.
pub const SHORTEST: time::Duration = time::Duration::from_secs(5);

/// What the store holds.
#[derive(Clone, Default)]
pub struct Entries {
    /// The promoter's seat.
    pub entry: Option<store::Entry>,
    /// All other keys.
    pub others: collections::BTreeMap<String, store::Entry>,
    pub revision: u64,
    /// The next changes take effect, their answers are lost.
    pub lose: usize,
    /// Calls are refused.
    pub down: bool,
    /// Time that a guarded change takes.
    pub takes: time::Duration,
    /// Guarded changes that are under way.
    pub under_way: usize,
    /// Rises when the store comes back from an older copy.
    pub era: store::Era,
}

impl Entries {
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

/// A store.
#[derive(Clone, Default)]
pub struct Store(sync::Arc<sync::Mutex<Entries>>);

impl Store {
    pub fn at(&self) -> sync::MutexGuard<'_, Entries> {
        self.0.lock().expect("no test panics with it")
    }

    /// Comes back from a copy that was taken before.
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
                entries.under_way += 1;
                entries.takes
            };
            if !takes.is_zero() {
                wait::sleep(takes).await;
            }
            self.at().under_way -= 1;
            let mut entries = self.up()?;
            let holds = |guard: &store::Guard<'_>| {
                let found = entries.find(guard.key).map(|entry| entry.version);
                found == Some(guard.version)
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

/// Carries orders out on stage, at once where nothing else is wanted.
pub struct FakeClient {
    pub world: cluster::Shared,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    /// Time from an order to its effect.
    pub effect_delay: cell::Cell<time::Duration>,
    /// Time from an order to its answer.
    pub answer_delay: cell::Cell<time::Duration>,
    /// Replicas that were not held for it when an order took effect.
    pub unheld: rc::Rc<cell::RefCell<Vec<upstream::Id>>>,
    pub orders: cell::RefCell<Vec<promote::Order>>,
    /// The next orders are carried out, their answers are lost.
    pub lose_answers: cell::Cell<usize>,
    /// The next orders do not arrive, and nobody knows.
    pub drop_orders: cell::Cell<usize>,
    /// Orders are refused.
    pub refuse_orders: cell::Cell<bool>,
    /// The next orders are accepted and have no effect.
    pub ignore_orders: cell::Cell<usize>,
    /// Primaries that there were when the orders came.
    pub primaries: cell::RefCell<Vec<usize>>,
}

impl promote::Client for FakeClient {
    fn promote<'a>(
        &'a self,
        order: &'a promote::Order,
    ) -> future::LocalBoxFuture<'a, promote::Outcome> {
        async move {
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

// The replicas that an order has to find held.
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

/// One node that takes the seat, and what it works with.
pub struct Harness {
    pub cluster: cluster::Cluster,
    pub store: Store,
    pub election: rc::Rc<election::Election>,
    pub client: rc::Rc<FakeClient>,
}

/// A promoter before a calm group.
pub fn start() -> Harness {
    start_on(cluster::Cluster::new())
}

/// A promoter on that stage.
pub fn start_on(cluster: cluster::Cluster) -> Harness {
    start_with(cluster, Store::default())
}

/// A promoter on that stage, which finds in the store what others have left there.
pub fn start_with(cluster: cluster::Cluster, store: Store) -> Harness {
    let shared: rc::Rc<dyn store::Store> = rc::Rc::new(store.clone());
    let election = election::Election::new(shared, &"vm".into(), SHORTEST);
    start_as(cluster, store, election)
}

/// The same for a process that has had the seat before.
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

/// The replicas of a group whose primary `a` is replaced.
pub struct FirstOrder {
    /// The one that was ordered first.
    pub candidate: upstream::Id,
    /// The one that is to follow it.
    pub other: &'static str,
}

impl Harness {
    /// Waits until the first order for another primary than `a` has left.
    pub async fn wait_for_order(&self) -> FirstOrder {
        cluster::until("an order leaves", || {
            !self.client.orders.borrow().is_empty()
        })
        .await;
        let candidate = self.client.orders.borrow()[0].candidate.clone();
        let other = if candidate == "b" { "c" } else { "b" };
        FirstOrder { candidate, other }
    }

    /// Waits until the group has settled on a primary of at least `term`.
    pub async fn wait_for_primary(&self, term: u64) {
        let group = self.cluster.node.group(&cluster::GROUP.into());
        cluster::until("a primary leads", || {
            group.leader().is_some_and(|lead| lead.term >= term) && self.election.held().is_some()
        })
        .await;
    }

    /// Lets both replicas hold a record that takes them nine seconds, and the node see that.
    pub async fn stall_replicas(&self) {
        for id in ["b", "c"] {
            let lag = time::Duration::from_secs(9);
            self.cluster.world.borrow_mut().at(id).lag = Some((lag, 5));
        }
        let group = self.cluster.node.group(&cluster::GROUP.into());
        let deadline = boot::now() + cluster::LIMIT;
        assert!(group.prove(deadline).await.is_some());
    }

    pub fn leader(&self) -> Vec<String> {
        let world = self.cluster.world.borrow();
        let up = world.instances.iter().filter(|(_, instance)| instance.up);
        let leads = up.filter(|(_, instance)| instance.role == role::Role::Primary);
        leads.map(|(id, _)| id.to_string()).collect()
    }
}
