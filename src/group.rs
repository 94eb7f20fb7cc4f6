//! Runtime of one database group on this proxy.

use std::sync;
use std::sync::atomic;

use crate::admin;
use crate::batch;
use crate::board;
use crate::clock;
use crate::confirmation;
use crate::database;
use crate::detect;
use crate::enrol;
use crate::failover;
use crate::id;
use crate::policy;
use crate::pool;
use crate::probe;
use crate::retry;
use crate::route;
use crate::stamp;
use crate::status;
use crate::tally;
use crate::term;
use crate::upstream;

/// Interval between checks whether the reserved term is still usable.
const RESERVE_CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_secs(2);

/// Maximum age of an answer for its instance to count as reachable for routing.
const REACHABLE_MAX_AGE: std::time::Duration = std::time::Duration::from_secs(1);

/// Dependencies and settings of a [`Group`].
pub struct Parts {
    /// The operators' declaration.
    pub declaration: database::Group,
    /// The instances, in the order of the declaration.
    pub upstreams: Vec<sync::Arc<dyn upstream::Upstream>>,
    /// This proxy's share of each instance.
    pub limit: pool::Limit,
    /// Source of unique terms.
    pub terms: sync::Arc<term::Registry>,
    /// Clock used for all times of the group.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Failure domain of this proxy.
    pub domain: id::Domain,
    /// The default policy or a baseline.
    pub policy: policy::Policy,
    /// This proxy's rank among those that may promote; 0 tries first.
    pub rank: u32,
    /// Executor that runs the group's tasks.
    pub executor: sync::Arc<async_executor::Executor<'static>>,
}

/// A database group on this proxy: observations, connections and failover.
pub struct Group {
    declaration: sync::Arc<arc_swap::ArcSwap<database::Group>>,
    /// Observations of the instances.
    pub watch: sync::Arc<probe::Watch>,
    /// Clock used for all times of the group.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// The default policy or a baseline.
    pub policy: policy::Policy,
    pools: Vec<pool::Pool>,
    /// Expiry of the seats behind the share, in nanoseconds of the clock.
    until: atomic::AtomicU64,
    limit: sync::Mutex<pool::Limit>,
    retries: sync::Mutex<retry::Budget>,
    confirmations: sync::Mutex<confirmation::Estimate>,
    domain: id::Domain,
    rank: sync::Arc<atomic::AtomicU32>,
    tally: sync::Arc<tally::Tally>,
    tasks: sync::Mutex<Vec<async_executor::Task<()>>>,
}

impl Group {
    /// Creates the group and starts its probes, failover and reservation of terms.
    #[must_use]
    pub fn start(parts: Parts) -> sync::Arc<Self> {
        let count = parts.upstreams.len();
        let watch = sync::Arc::new(probe::Watch::new(count, parts.clock.clone()));
        let rank = sync::Arc::new(atomic::AtomicU32::new(parts.rank));
        let declaration = arc_swap::ArcSwap::from_pointee(parts.declaration.clone());
        let declaration = sync::Arc::new(declaration);
        let failover = build_failover(&parts, &watch, &rank, &declaration);
        let tally = failover.tally.clone();
        let mut tasks = spawn_probes(&parts, &watch);
        tasks.push(parts.executor.spawn(failover.run()));
        tasks.push(
            parts
                .executor
                .spawn(keep_term_reserved(parts.terms.clone(), watch.clone())),
        );
        let pools = parts
            .upstreams
            .iter()
            .map(|upstream| pool::Pool::new(upstream.clone(), parts.limit, parts.clock.clone()))
            .collect();
        sync::Arc::new(Self {
            declaration,
            watch,
            retries: sync::Mutex::new(retry::Budget::new(parts.clock.now())),
            confirmations: sync::Mutex::default(),
            clock: parts.clock,
            policy: parts.policy,
            until: atomic::AtomicU64::new(0),
            limit: sync::Mutex::new(parts.limit),
            pools,
            domain: parts.domain,
            rank,
            tally,
            tasks: sync::Mutex::new(tasks),
        })
    }

    /// The current declaration by the operators.
    #[must_use]
    pub fn declaration(&self) -> sync::Arc<database::Group> {
        self.declaration.load_full()
    }

    /// Replaces the declaration by another one with the same instances.
    pub fn set_declaration(&self, declaration: database::Group) {
        self.declaration.store(sync::Arc::new(declaration));
    }

    /// Connection pool of an instance.
    #[must_use]
    pub fn pool(&self, index: id::Index) -> &pool::Pool {
        &self.pools[index]
    }

    /// Changes this proxy's rank among those that may promote.
    pub fn set_rank(&self, rank: u32) {
        self.rank.store(rank, atomic::Ordering::Relaxed);
    }

    /// Time until which the instances may be used; extended by each renewal.
    #[must_use]
    pub fn usable_until(&self) -> id::Time {
        id::Time::from_nanos(self.until.load(atomic::Ordering::Acquire))
    }

    /// Whether the instances may be used now.
    #[must_use]
    pub fn usable(&self) -> bool {
        let has_share = self.lock_limit().connections > 0;
        has_share && self.clock.now() < self.usable_until()
    }

    /// Sets the share and the time until which it may be used.
    pub fn set_share(&self, limit: pool::Limit, until: id::Time) {
        let nanos = u64::try_from(until.as_nanos()).unwrap_or(u64::MAX);
        self.until.store(nanos, atomic::Ordering::Release);
        let mut known = self.lock_limit();
        if *known != limit {
            *known = limit;
            self.pools.iter().for_each(|pool| pool.resize(limit));
        }
    }

    /// Stops using the instances: ends the tasks and closes connections that run nothing.
    /// Batches that are already running end by the previous `until`.
    pub fn revoke(&self) {
        self.until.store(0, atomic::Ordering::Release);
        // Sessions may keep the group alive for a long time; without seats it must neither
        // probe nor promote.
        lock(&self.tasks).clear();
        self.pools.iter().for_each(pool::Pool::revoke);
    }

    /// Closes idle connections that exceed a reduced share; returns whether the connections in use
    /// are within it.
    #[must_use]
    pub fn trim_to_share(&self) -> bool {
        self.pools.iter().all(pool::Pool::trim_to_share)
    }

    /// Whether a majority of the instances has answered this proxy recently.
    #[must_use]
    pub fn reachable(&self) -> bool {
        let since = self.clock.now().saturating_sub(REACHABLE_MAX_AGE);
        self.watch.board().reachable(since)
    }

    /// The failure detector's verdict on the primary.
    #[must_use]
    pub fn verdict(&self) -> detect::Verdict {
        detect::Detector::default().assess(&self.watch.board(), self.clock.now())
    }

    /// Maximum age of a batch's data; `None` unless all its tables have a declared limit.
    #[must_use]
    pub fn age_limit(&self, batch: &batch::Batch) -> Option<std::time::Duration> {
        if batch.tables.is_empty() {
            return None;
        }
        let limits = batch.tables.iter().map(|table| self.table_limit(table));
        limits.min().flatten()
    }

    /// Retry budget shared by all requests of the group.
    pub fn retry_budget(&self) -> sync::MutexGuard<'_, retry::Budget> {
        lock(&self.retries)
    }

    /// Estimate of the time that confirmations take.
    pub fn confirmation_estimate(&self) -> sync::MutexGuard<'_, confirmation::Estimate> {
        lock(&self.confirmations)
    }

    fn lock_limit(&self) -> sync::MutexGuard<'_, pool::Limit> {
        lock(&self.limit)
    }

    fn table_limit(&self, table: &str) -> Option<std::time::Duration> {
        let declaration = self.declaration();
        let covering = declaration.ages.iter();
        let covering = covering.filter(|age| age.tables.iter().any(|name| name == table));
        covering.map(|age| age.limit).min()
    }

    /// Chooses the instance for a read that must include `floor`, excluding instances that
    /// already failed this request.
    #[must_use]
    pub fn choose(
        &self,
        board: &board::Board,
        floor: stamp::Stamp,
        failed: &[id::Index],
    ) -> Option<id::Index> {
        let candidates: Vec<_> = (0..self.pools.len())
            .filter(|index| !failed.contains(index))
            .filter(|index| in_leader_term(board, *index))
            .map(|index| self.candidate(board, index))
            .collect();
        route::read(floor, board.leader(), &candidates)
    }

    /// State of the group, for operators.
    #[must_use]
    pub fn status(&self) -> admin::Group {
        let declaration = self.declaration();
        let board = self.watch.board();
        let leader = board.leader();
        let leader_status = leader.and_then(|leader| board.status(leader.index));
        let instances = (0..self.pools.len())
            .map(|index| self.instance_status(&board, index, leader_status))
            .collect();
        admin::Group {
            name: declaration.name.clone(),
            primary: leader.map(|leader| declaration.instances[leader.index].name.clone()),
            term: leader.map_or(0, |leader| leader.term),
            instances,
            queue: self.pools.iter().map(pool::Pool::load).sum(),
            promotions: self.tally.promotions(),
            last_failover_gap_ms: self.tally.last_gap_ms(),
        }
    }

    fn instance_status(
        &self,
        board: &board::Board,
        index: id::Index,
        leader_status: Option<status::Status>,
    ) -> admin::Instance {
        let instance = &board.instances()[index];
        let status = instance.last.map(|last| last.status);
        let lag = status
            .zip(leader_status)
            .filter(|(status, leader)| status.stamp.term == leader.stamp.term);
        admin::Instance {
            name: self.declaration().instances[index].name.clone(),
            role: status.map(|status| status.role),
            stamp: status.map(|status| status.stamp).unwrap_or_default(),
            fence: status.map_or(0, |status| status.fence),
            lag_records: lag.map(|(status, leader)| {
                leader.stamp.position.saturating_sub(status.stamp.position)
            }),
            reachable: status.is_some() && instance.failures == 0,
            connections: self.pools[index].open_connections(),
            busy: self.pools[index].load(),
        }
    }

    fn candidate(&self, board: &board::Board, index: id::Index) -> route::Candidate {
        let declaration = self.declaration();
        let declared = &declaration.instances[index];
        let instance = &board.instances()[index];
        route::Candidate {
            index,
            stamp: instance.last.map(|last| last.status.stamp),
            usable: instance.failures == 0 && instance.last.is_some() && self.pools[index].admits(),
            leaving: declared.leaving,
            near: declared.domain == self.domain,
            load: self.pools[index].load(),
        }
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn spawn_probes(parts: &Parts, watch: &sync::Arc<probe::Watch>) -> Vec<async_executor::Task<()>> {
    let upstreams = parts.upstreams.iter().enumerate();
    upstreams
        .map(|(index, upstream)| {
            let watch = watch.clone();
            let upstream = upstream.clone();
            let task = async move { watch.probe(index, upstream).await };
            parts.executor.spawn(task)
        })
        .collect()
}

fn build_failover(
    parts: &Parts,
    watch: &sync::Arc<probe::Watch>,
    rank: &sync::Arc<atomic::AtomicU32>,
    declaration: &sync::Arc<arc_swap::ArcSwap<database::Group>>,
) -> failover::Failover {
    failover::Failover {
        group: parts.declaration.name.clone(),
        upstreams: parts.upstreams.clone(),
        declaration: declaration.clone(),
        watch: watch.clone(),
        terms: parts.terms.clone(),
        clock: parts.clock.clone(),
        detector: detect::Detector::default(),
        policy: parts.policy,
        executor: parts.executor.clone(),
        rank: rank.clone(),
        tally: sync::Arc::default(),
    }
}

/// Keeps a term above all known ones reserved, so that a promotion is possible while the store
/// is down. A promotion by any proxy makes the old reservation unusable.
async fn keep_term_reserved(terms: sync::Arc<term::Registry>, watch: sync::Arc<probe::Watch>) {
    loop {
        let known = watch.board().highest_fence();
        if terms.reserved_term().is_none_or(|held| held <= known)
            && let Err(failure) = terms.reserve(known).await
        {
            tracing::info!(?failure, "no term could be reserved in advance");
        }
        async_io::Timer::after(enrol::jittered(RESERVE_CHECK_INTERVAL)).await;
    }
}

/// Whether an instance's log has reached the leader's term. The log of a replaced primary may
/// look fresh although its tail holds records that will never be confirmed.
fn in_leader_term(board: &board::Board, index: id::Index) -> bool {
    let term = board.status(index).map(|status| status.stamp.term);
    board
        .leader()
        .is_none_or(|leader| term >= Some(leader.term))
}
