//! A database group in memory, with its network links and the faults scheduled for its steps.

use std::collections;
use std::sync;
use std::time;

use futures_lite::future;
use mangotray::clock;
use mangotray::clock::Clock;
use mangotray::id;

use crate::instance;
use crate::operation;

/// Number of instances in the group.
pub const INSTANCES: usize = 3;

/// Time between two rounds of log shipping.
const REPLICATION_INTERVAL: time::Duration = time::Duration::from_millis(2);

/// Time between two records that a slow replica applies.
const SLOW_RECORD_INTERVAL: time::Duration = time::Duration::from_millis(120);

/// Records of other sessions that are appended, not yet replicated, when replicas fall behind.
const BACKLOG_RECORDS: u64 = 5;

/// Request number of the first backlog record; far above those of the cell's own requests.
const FIRST_BACKLOG_REQUEST: u64 = 1_000_000;

/// Applies a fault to the group. The argument is the number of the proxy that reached the
/// step; the result is the time by which its call is delayed. Runs under the lock of the group
/// together with the step, so that no other call and no replication happens in between.
pub type Action = Box<dyn FnOnce(&mut State, usize) -> time::Duration + Send>;

/// A fault scheduled for a step.
pub struct Injection {
    /// Step at which the fault is injected.
    pub point: operation::Point,
    /// Effect of the fault.
    pub action: Action,
}

/// Mutable state of the group.
pub struct State {
    /// Instances by index.
    pub instances: Vec<instance::Instance>,
    /// Whether each instance can exchange records with the others.
    pub peer_link_up: [bool; INSTANCES],
    /// Whether proxies can connect to each instance.
    pub proxy_link_up: [bool; INSTANCES],
    /// Whether replicas apply one record at a time.
    pub slow_replicas: bool,
    /// Instances that were promoted, by term.
    pub primaries_by_term: collections::BTreeMap<id::Term, collections::BTreeSet<id::Index>>,
    /// Requests whose record has ever been in any log.
    pub appended_requests: collections::BTreeSet<u64>,
    /// Requests that were appended to a log which already held them.
    pub duplicate_requests: collections::BTreeSet<u64>,
    /// Proxies that will not receive their next answer from an instance.
    pub proxies_losing_answer: collections::BTreeSet<usize>,
    /// Whether an instance has answered the write or commit under test.
    pub batch_answered: bool,
    /// Time that an instance takes to execute a write.
    pub write_duration: time::Duration,
    /// Whether the write or commit under test has been executed.
    pub batch_committed: bool,
    injections: Vec<Injection>,
    fence_count: usize,
    last_shipment: time::Duration,
}

/// A database group shared by the proxies of a cell.
pub struct Cluster {
    state: sync::Mutex<State>,
    /// Clock of the cell's group and proxies.
    pub clock: sync::Arc<clock::Monotonic>,
}

impl Cluster {
    pub fn new() -> sync::Arc<Self> {
        let instances = (0..INSTANCES)
            .map(|index| instance::Instance::new(index == 0))
            .collect();
        let first = collections::BTreeSet::from([0]);
        let state = State {
            instances,
            peer_link_up: [true; INSTANCES],
            proxy_link_up: [true; INSTANCES],
            slow_replicas: false,
            primaries_by_term: collections::BTreeMap::from([(1, first)]),
            appended_requests: collections::BTreeSet::new(),
            duplicate_requests: collections::BTreeSet::new(),
            proxies_losing_answer: collections::BTreeSet::new(),
            batch_answered: false,
            batch_committed: false,
            write_duration: time::Duration::ZERO,
            injections: Vec::new(),
            fence_count: 0,
            last_shipment: time::Duration::ZERO,
        };
        sync::Arc::new(Self {
            state: sync::Mutex::new(state),
            clock: sync::Arc::default(),
        })
    }

    pub fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Schedules a fault. Faults are injected in the order in which they were scheduled.
    pub fn schedule(&self, injection: Injection) {
        self.lock().injections.push(injection);
    }

    /// Removes the faults that were not injected; returns their number.
    pub fn cancel_pending(&self) -> usize {
        std::mem::take(&mut self.lock().injections).len()
    }

    /// Records that a proxy has reached a step and injects the fault that is next if it is
    /// scheduled for this step. Yields after an injection, so that a stopped proxy does not
    /// continue.
    pub async fn reach(&self, proxy: usize, point: operation::Point) {
        self.reach_by(proxy, |_| (point, ())).await;
    }

    /// Like [`Self::reach`], for a step that is reached by `effect`, a change of the group. The
    /// change and the fault happen under one lock.
    pub async fn reach_by<T>(
        &self,
        proxy: usize,
        effect: impl FnOnce(&mut State) -> (operation::Point, T),
    ) -> T {
        let (result, delay) = {
            let mut state = self.lock();
            let (point, result) = effect(&mut state);
            (result, state.trigger(proxy, point))
        };
        if let Some(delay) = delay {
            future::yield_now().await;
            async_io::Timer::after(delay).await;
        }
        result
    }

    /// Replicates records until the task is dropped.
    pub async fn replicate(&self) {
        loop {
            async_io::Timer::after(REPLICATION_INTERVAL).await;
            let now = self.clock.now();
            self.lock().ship(now);
        }
    }
}

impl State {
    // Injects the next fault if it is scheduled for this step; returns the delay of the call.
    fn trigger(&mut self, proxy: usize, point: operation::Point) -> Option<time::Duration> {
        let next = self
            .injections
            .first()
            .is_some_and(|injection| injection.point == point);
        next.then(|| {
            let injection = self.injections.remove(0);
            (injection.action)(self, proxy)
        })
    }

    /// Counts a fencing call; returns the number of calls that took effect before it.
    pub const fn count_fence(&mut self) -> usize {
        self.fence_count += 1;
        self.fence_count - 1
    }

    /// Returns the instance that a fault of the primary affects: the running primary of the
    /// highest term, or the instance to be promoted next if there is none.
    pub fn fault_target(&self) -> id::Index {
        let running = || (0..INSTANCES).filter(|index| self.instances[*index].running);
        running()
            .filter(|index| self.instances[*index].leads())
            .max_by_key(|index| self.instances[*index].fence)
            .or_else(|| {
                running().max_by_key(|index| (self.instances[*index].stamp(), INSTANCES - index))
            })
            .unwrap_or(0)
    }

    /// Returns the primary of the highest term, even if it is stopped or cut off.
    pub fn primary(&self) -> Option<id::Index> {
        let leading = (0..INSTANCES).filter(|index| self.instances[*index].leads());
        leading.max_by_key(|index| self.instances[*index].fence)
    }

    /// Whether another instance leads than this one.
    pub fn is_replaced(&self, index: id::Index) -> bool {
        self.primary().is_some_and(|primary| primary != index)
    }

    /// Writes in the log of the group: that of the primary, or the longest one while nobody leads.
    pub fn log(&self) -> Vec<u64> {
        let longest = (0..INSTANCES).max_by_key(|index| self.instances[*index].stamp());
        let index = self.primary().or(longest);
        index.map_or_else(Vec::new, |index| self.instances[index].writes().collect())
    }

    /// Appends the records of a committed transaction to an instance's log.
    pub fn append(&mut self, index: id::Index, writes: &[u64]) {
        for write in writes {
            if self.instances[index].contains(*write) {
                self.duplicate_requests.insert(*write);
            }
            self.instances[index].append(*write);
            self.appended_requests.insert(*write);
        }
    }

    /// Slows replication down and appends a backlog to the primary's log.
    pub fn delay_replicas(&mut self) {
        self.slow_replicas = true;
        let index = self.fault_target();
        let leads = self.instances[index].running && self.instances[index].leads();
        if leads {
            let first =
                FIRST_BACKLOG_REQUEST + self.appended_requests.len() as u64 * BACKLOG_RECORDS;
            let backlog: Vec<u64> = (first..first + BACKLOG_RECORDS).collect();
            self.append(index, &backlog);
        }
    }

    /// Whether all instances run and have equal logs.
    pub fn converged(&self) -> bool {
        let first = &self.instances[0];
        self.instances
            .iter()
            .all(|instance| instance.running && instance.log() == first.log())
    }

    fn ship(&mut self, now: time::Duration) {
        // A fault scheduled before the confirmation must precede replication of the record.
        let next = self.injections.first().map(|injection| injection.point);
        if self.batch_committed && next == Some(operation::Point::Confirms) {
            return;
        }
        if self.slow_replicas && now < self.last_shipment + SLOW_RECORD_INTERVAL {
            return;
        }
        self.last_shipment = now;
        let primaries: Vec<_> = (0..INSTANCES)
            .filter(|index| self.peer_link_up[*index] && self.instances[*index].running)
            .filter(|index| self.instances[*index].leads())
            .collect();
        let Some(primary) = primaries
            .into_iter()
            .max_by_key(|index| self.instances[*index].fence)
        else {
            return;
        };
        let primary_instance = self.instances[primary].clone();
        let max_records = if self.slow_replicas { 1 } else { usize::MAX };
        for index in (0..INSTANCES).filter(|index| *index != primary) {
            if self.peer_link_up[index] && self.instances[index].running {
                self.instances[index].follow(&primary_instance, max_records);
            }
        }
    }
}
