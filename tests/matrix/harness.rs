//! Components of one cell, and the effects of faults on them.

use std::sync;
use std::time;

use futures_util::future;
use mangotray::apply;
use mangotray::id;
use mangotray::store as platform_store;

use crate::cluster;
use crate::fault;
use crate::follower;
use crate::instance;
use crate::proxy;
use crate::store;

/// Shortest time for which a proxy is paused. The pause lasts until another proxy has replaced the
/// primary.
const PROXY_PAUSE: time::Duration = time::Duration::from_millis(900);

/// Longest time for which a proxy is paused, if the primary cannot be replaced.
const MAX_PROXY_PAUSE: time::Duration = time::Duration::from_secs(5);

/// Interval at which a pause looks for the replacement.
const REPLACEMENT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Time left of a proxy's share when it is paused.
const LEASE_LEFT_AT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Time for which a call is delayed while operators apply their files; longer than the
/// change of the primary that follows.
const OPERATOR_RACE_DELAY: time::Duration = time::Duration::from_millis(300);

/// Client number of the operators and the nodes that follow the configuration.
const OPERATOR_CLIENT: usize = store::FIRST_EXEMPT_CLIENT;

/// Result of applying a file.
pub type ApplyResult = Result<apply::Verdict, platform_store::Failure>;

/// Group, store and proxies of one cell.
pub struct Harness {
    pub pool: proxy::Executor,
    pub cluster: sync::Arc<cluster::Cluster>,
    pub service: sync::Arc<store::Service>,
    pub apply_results: sync::Mutex<Vec<ApplyResult>>,
    proxies: sync::Mutex<Vec<sync::Arc<proxy::Proxy>>>,
    tasks: sync::Mutex<Vec<async_executor::Task<()>>>,
}

impl Harness {
    pub fn new(pool: &proxy::Executor) -> sync::Arc<Self> {
        let cluster = cluster::Cluster::new();
        let replicating = cluster.clone();
        let task = pool.spawn(async move { replicating.replicate().await });
        let harness = sync::Arc::new(Self {
            pool: pool.clone(),
            cluster,
            service: sync::Arc::default(),
            apply_results: sync::Mutex::default(),
            proxies: sync::Mutex::default(),
            tasks: sync::Mutex::new(vec![task]),
        });
        harness.start_proxy(0);
        harness.start_proxy(1);
        harness
    }

    /// Starts another proxy; the one with rank 0 is the first to try a promotion.
    pub fn start_proxy(&self, rank: u32) -> sync::Arc<proxy::Proxy> {
        let mut proxies = lock(&self.proxies);
        let number = proxies.len();
        let started = proxy::Proxy::start(&self.pool, &self.cluster, &self.service, number, rank);
        proxies.push(started.clone());
        started
    }

    pub fn proxies(&self) -> Vec<sync::Arc<proxy::Proxy>> {
        lock(&self.proxies).clone()
    }

    /// Schedules a fault for a step.
    pub fn schedule_fault(
        self: &sync::Arc<Self>,
        point: crate::operation::Point,
        fault: fault::Fault,
    ) {
        let harness = sync::Arc::downgrade(self);
        let action = Box::new(move |state: &mut cluster::State, proxy| {
            if let Some(harness) = harness.upgrade() {
                harness.inject(state, fault, proxy);
            }
            call_delay(fault)
        });
        self.cluster.schedule(cluster::Injection { point, action });
    }

    /// Applies a fault to the group, the store or the proxy that reached the step.
    fn inject(
        self: &sync::Arc<Self>,
        state: &mut cluster::State,
        fault: fault::Fault,
        proxy_number: usize,
    ) {
        let target = state.fault_target();
        let proxy = self.proxies().get(proxy_number).cloned();
        match fault {
            fault::Fault::PrimaryLost => state.instances[target].stop(),
            fault::Fault::PrimaryIsolated => {
                state.peer_link_up[target] = false;
                state.proxy_link_up[target] = false;
            }
            fault::Fault::PrimaryStalled => state.peer_link_up[target] = false,
            fault::Fault::ReplicasBehind => state.delay_replicas(),
            fault::Fault::ProxyDies => proxy.iter().for_each(|proxy| proxy.process.end()),
            fault::Fault::StoreDown => self.service.set_behaviour(store::Behaviour::Down),
            fault::Fault::StoreSlow => self.service.set_behaviour(store::Behaviour::Slow),
            fault::Fault::StoreAnswerLost => self.service.lose_next_answer(),
            fault::Fault::LeaseLapsed => {
                if let Some(proxy) = proxy {
                    self.pause_past_lease(&proxy, target);
                }
            }
            fault::Fault::OperatorsRace => {
                self.race_operators(target);
            }
            fault::Fault::AnswerLost => {
                state.proxies_losing_answer.insert(proxy_number);
            }
        }
    }

    /// Pauses a proxy until its share has ended and the primary is replaced; marks the primary as leaving
    /// on the others.
    fn pause_past_lease(
        self: &sync::Arc<Self>,
        proxy: &sync::Arc<proxy::Proxy>,
        target: id::Index,
    ) {
        proxy.end_share_after(LEASE_LEFT_AT_PAUSE);
        proxy.process.pause();
        let others = self.proxies().into_iter();
        others
            .filter(|other| other.number != proxy.number)
            .for_each(|other| other.declare(Some(target)));
        let (process, cluster) = (proxy.process.clone(), self.cluster.clone());
        self.spawn(async move {
            let limit = time::Instant::now() + MAX_PROXY_PAUSE;
            async_io::Timer::after(PROXY_PAUSE).await;
            while !cluster.lock().is_replaced(target) && time::Instant::now() < limit {
                async_io::Timer::after(REPLACEMENT_CHECK_INTERVAL).await;
            }
            process.resume();
        });
    }

    /// Applies two files at once; if the first one wins, it marks the primary as leaving.
    fn race_operators(self: &sync::Arc<Self>, target: id::Index) {
        let harness = self.clone();
        self.spawn(async move {
            let answers = future::join(harness.apply("one"), harness.apply("two")).await;
            let first_applied = matches!(answers.0, Ok(apply::Verdict::Applied(_)));
            lock(&harness.apply_results).extend([answers.0, answers.1]);
            if first_applied {
                let proxies = harness.proxies().into_iter();
                proxies.for_each(|proxy| proxy.declare(Some(target)));
            }
        });
    }

    /// Applies a file as an operator.
    async fn apply(&self, name: &str) -> ApplyResult {
        apply::put(&self.client(OPERATOR_CLIENT), &request(name)).await
    }

    /// Returns a client of the store with the given number.
    pub fn client(&self, proxy: usize) -> store::Client {
        store::Client {
            service: self.service.clone(),
            cluster: self.cluster.clone(),
            proxy,
        }
    }

    /// Starts two nodes that follow the configuration and record the revisions they adopt.
    pub fn follow(self: &sync::Arc<Self>) -> sync::Arc<follower::Pair> {
        let pair = sync::Arc::new(follower::Pair::default());
        let (nodes, client) = (pair.clone(), self.client(OPERATOR_CLIENT));
        self.spawn(async move { nodes.run(&client).await });
        pair
    }

    /// Spawns a task that is dropped with the harness.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        lock(&self.tasks).push(self.pool.spawn(task));
    }

    /// Ends all faults and starts stopped instances. Ended proxies are not started again.
    pub fn heal(&self) {
        self.service.heal();
        {
            let mut state = self.cluster.lock();
            state.peer_link_up = [true; cluster::INSTANCES];
            state.proxy_link_up = [true; cluster::INSTANCES];
            state.slow_replicas = false;
            state.proxies_losing_answer.clear();
            state
                .instances
                .iter_mut()
                .for_each(instance::Instance::start);
        }
        for proxy in self.proxies() {
            proxy.declare(None);
            proxy.process.resume();
            proxy.renew_share();
        }
    }
}

/// Returns an operator's request to apply a file.
pub fn request(name: &str) -> apply::Request {
    apply::Request {
        id: name.into(),
        by: name.into(),
        text: name.into(),
        base: None,
    }
}

/// Returns the delay of the call that reached the fault's step.
fn call_delay(fault: fault::Fault) -> time::Duration {
    match fault {
        fault::Fault::OperatorsRace => OPERATOR_RACE_DELAY,
        _ => time::Duration::ZERO,
    }
}

/// Locks a mutex, also after a panic of another holder.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
