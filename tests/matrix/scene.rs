//! The parts of one cell, and what faults do to them.

use std::sync;
use std::time;

use futures_util::future;
use mangotray::apply;
use mangotray::id;
use mangotray::store as border;

use crate::fault;
use crate::follower;
use crate::instance;
use crate::proxy;
use crate::store;
use crate::world;

/// Time for which a proxy stands still; longer than another one needs to promote.
const PAUSE: time::Duration = time::Duration::from_millis(900);

/// Time left of its lease when it stops.
const LEFT: time::Duration = time::Duration::from_millis(50);

/// Time for which a call is held up while operators apply their files; longer than the
/// change of the primary that follows.
const HELD_UP: time::Duration = time::Duration::from_millis(300);

/// Number by which racing operators meet the store.
const OPERATORS: usize = store::BYSTANDER;

/// What became of an apply.
pub type Applied = Result<apply::Verdict, border::Failure>;

/// The parts of one cell.
pub struct Scene {
    pub pool: proxy::Executor,
    pub world: sync::Arc<world::World>,
    pub service: sync::Arc<store::Service>,
    pub applied: sync::Mutex<Vec<Applied>>,
    proxies: sync::Mutex<Vec<sync::Arc<proxy::Proxy>>>,
    tasks: sync::Mutex<Vec<async_executor::Task<()>>>,
}

impl Scene {
    pub fn new(pool: &proxy::Executor) -> sync::Arc<Self> {
        let world = world::World::new();
        let shipping = world.clone();
        let task = pool.spawn(async move { shipping.replicate().await });
        let scene = sync::Arc::new(Self {
            pool: pool.clone(),
            world,
            service: sync::Arc::default(),
            applied: sync::Mutex::default(),
            proxies: sync::Mutex::default(),
            tasks: sync::Mutex::new(vec![task]),
        });
        scene.enter(0);
        scene.enter(1);
        scene
    }

    /// Starts another proxy.
    pub fn enter(&self, rank: u32) -> sync::Arc<proxy::Proxy> {
        let mut proxies = lock(&self.proxies);
        let number = proxies.len();
        let started = proxy::Proxy::start(&self.pool, &self.world, &self.service, number, rank);
        proxies.push(started.clone());
        started
    }

    pub fn proxies(&self) -> Vec<sync::Arc<proxy::Proxy>> {
        lock(&self.proxies).clone()
    }

    /// Sets a trap for a fault.
    pub fn arm(self: &sync::Arc<Self>, point: crate::operation::Point, fault: fault::Fault) {
        let scene = sync::Arc::downgrade(self);
        let blow = Box::new(move |state: &mut world::State, proxy| {
            if let Some(scene) = scene.upgrade() {
                scene.strike(state, fault, proxy);
            }
            delay(fault)
        });
        self.world.arm(world::Trap { point, blow });
    }

    fn strike(self: &sync::Arc<Self>, state: &mut world::State, fault: fault::Fault, at: usize) {
        let target = state.target();
        let proxy = self.proxies().get(at).cloned();
        match fault {
            fault::Fault::PrimaryLost => state.instances[target].stop(),
            fault::Fault::PrimaryIsolated => {
                state.linked[target] = false;
                state.reachable[target] = false;
            }
            fault::Fault::PrimaryStalled => state.linked[target] = false,
            fault::Fault::ReplicasBehind => state.fall_behind(),
            fault::Fault::ProxyDies => proxy.iter().for_each(|proxy| proxy.life.end()),
            fault::Fault::StoreDown => self.service.set(store::Mood::Down),
            fault::Fault::StoreSlow => self.service.set(store::Mood::Slow),
            fault::Fault::StoreAnswerLost => self.service.lose_answer(),
            fault::Fault::LeaseLapsed => {
                if let Some(proxy) = proxy {
                    self.pause(&proxy, target);
                }
            }
            fault::Fault::OperatorsRace => {
                self.race(target);
            }
            fault::Fault::AnswerLost => {
                state.deaf.insert(at);
            }
        }
    }

    fn pause(self: &sync::Arc<Self>, proxy: &sync::Arc<proxy::Proxy>, target: id::Index) {
        proxy.lapse(LEFT);
        proxy.life.pause();
        let others = self.proxies().into_iter();
        others
            .filter(|other| other.number != proxy.number)
            .for_each(|other| other.declare(Some(target)));
        let life = proxy.life.clone();
        self.spawn(async move {
            async_io::Timer::after(PAUSE).await;
            life.resume();
        });
    }

    fn race(self: &sync::Arc<Self>, target: id::Index) {
        let scene = self.clone();
        self.spawn(async move {
            let answers = future::join(scene.apply("one"), scene.apply("two")).await;
            let in_force = matches!(answers.0, Ok(apply::Verdict::Applied(_)));
            lock(&scene.applied).extend([answers.0, answers.1]);
            if in_force {
                let proxies = scene.proxies().into_iter();
                proxies.for_each(|proxy| proxy.declare(Some(target)));
            }
        });
    }

    /// Puts a file in force.
    async fn apply(&self, name: &str) -> Applied {
        apply::put(&self.client(OPERATORS), &request(name)).await
    }

    /// A way to the store.
    pub fn client(&self, proxy: usize) -> store::Client {
        store::Client {
            service: self.service.clone(),
            world: self.world.clone(),
            proxy,
        }
    }

    /// Lets two nodes follow the configuration; what each has adopted, in that order.
    pub fn follow(self: &sync::Arc<Self>) -> sync::Arc<follower::Pair> {
        let pair = sync::Arc::new(follower::Pair::default());
        let (nodes, client) = (pair.clone(), self.client(OPERATORS));
        self.spawn(async move { nodes.run(&client).await });
        pair
    }

    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        lock(&self.tasks).push(self.pool.spawn(task));
    }

    /// Ends every fault. Proxies that died stay dead.
    pub fn heal(&self) {
        self.service.heal();
        {
            let mut state = self.world.lock();
            state.linked = [true; world::INSTANCES];
            state.reachable = [true; world::INSTANCES];
            state.slow = false;
            state.deaf.clear();
            state
                .instances
                .iter_mut()
                .for_each(instance::Instance::start);
        }
        for proxy in self.proxies() {
            proxy.declare(None);
            proxy.life.resume();
            proxy.renew();
        }
    }
}

/// An operator's wish to put a file in force.
pub fn request(name: &str) -> apply::Request {
    apply::Request {
        id: name.into(),
        by: name.into(),
        text: name.into(),
        base: None,
    }
}

/// How long the call that meets the fault is held up.
fn delay(fault: fault::Fault) -> time::Duration {
    match fault {
        fault::Fault::OperatorsRace => HELD_UP,
        _ => time::Duration::ZERO,
    }
}

pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
