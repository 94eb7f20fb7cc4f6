//! A database group in memory, with its links and an injection for one step.

use std::collections;
use std::sync;
use std::time;

use futures_lite::future;
use mangotray::clock;
use mangotray::clock::Clock;
use mangotray::id;

use crate::instance;
use crate::operation;

/// Instances of the group.
pub const INSTANCES: usize = 3;

/// Time between two rounds of replication.
const REPLICATION_INTERVAL: time::Duration = time::Duration::from_millis(2);

/// Time between two records that a replica applies while it is far behind.
const SLOW_RECORD_INTERVAL: time::Duration = time::Duration::from_millis(120);

/// Records that other sessions have left unshipped when replicas fall behind.
const BACKLOG_RECORDS: u64 = 5;

/// First number of such records; far above those of the cell's own requests.
const FIRST_BACKLOG_REQUEST: u64 = 1_000_000;

/// What happens when a step is reached, told which proxy reached it; answers how long
/// the call that reached it is held up. It strikes in the moment of the step: nobody else
/// comes past, or ships a record, in between.
pub type Action = Box<dyn FnOnce(&mut State, usize) -> time::Duration + Send>;

/// A fault waiting for its step.
pub struct Injection {
    /// The step.
    pub point: operation::Point,
    /// The fault.
    pub action: Action,
}

/// All of the group that can change.
pub struct State {
    /// The instances.
    pub instances: Vec<instance::Instance>,
    /// Whether the instance reaches its peers.
    pub peer_link_up: [bool; INSTANCES],
    /// Whether the proxies reach the instance.
    pub proxy_link_up: [bool; INSTANCES],
    /// Whether replicas apply one record at a time.
    pub slow_replicas: bool,
    /// Instances that were made primary, by term.
    pub primaries_by_term: collections::BTreeMap<id::Term, collections::BTreeSet<id::Index>>,
    /// Every request's record that was ever in any log.
    pub appended_requests: collections::BTreeSet<u64>,
    /// Records that stood twice in one log.
    pub duplicate_requests: collections::BTreeSet<u64>,
    /// Proxies whose next answer is lost.
    pub proxies_losing_answer: collections::BTreeSet<usize>,
    /// Whether the awaited batch has been answered by an instance.
    pub batch_answered: bool,
    /// Time that an instance takes for a write.
    pub write_duration: time::Duration,
    /// Whether the awaited batch has committed.
    pub batch_committed: bool,
    injections: Vec<Injection>,
    fence_count: usize,
    last_shipment: time::Duration,
}

/// The group.
pub struct Cluster {
    state: sync::Mutex<State>,
    /// Time of all cells' parts.
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

    /// Sets an injection; injections are sprung in the order in which they were set.
    pub fn schedule(&self, injection: Injection) {
        self.lock().injections.push(injection);
    }

    /// Takes the injections away that were not sprung; their number.
    pub fn cancel_pending(&self) -> usize {
        std::mem::take(&mut self.lock().injections).len()
    }

    /// A proxy has reached a step: springs the injection that waits for it, then lets go of
    /// the processor, so that a proxy that was stopped goes no further.
    pub async fn reach(&self, proxy: usize, point: operation::Point) {
        self.reach_by(proxy, |_| (point, ())).await;
    }

    /// The same for a step that is reached by something that is done to the group.
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

    /// Ships records for ever.
    pub async fn replicate(&self) {
        loop {
            async_io::Timer::after(REPLICATION_INTERVAL).await;
            let now = self.clock.now();
            self.lock().ship(now);
        }
    }
}

impl State {
    // Springs the injection that waits for this step, if one does.
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

    /// Number of fencing calls that took effect before this one.
    pub const fn count_fence(&mut self) -> usize {
        self.fence_count += 1;
        self.fence_count - 1
    }

    /// The instance that a fault of the primary strikes: the one that leads the highest
    /// term, or the one that is to be promoted next.
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

    /// The primary of the highest term, wherever it is.
    pub fn primary(&self) -> Option<id::Index> {
        let leading = (0..INSTANCES).filter(|index| self.instances[*index].leads());
        leading.max_by_key(|index| self.instances[*index].fence)
    }

    /// Appends records of a committed transaction.
    pub fn append(&mut self, index: id::Index, writes: &[u64]) {
        for write in writes {
            if self.instances[index].contains(*write) {
                self.duplicate_requests.insert(*write);
            }
            self.instances[index].append(*write);
            self.appended_requests.insert(*write);
        }
    }

    /// Makes replicas slow and gives them a backlog.
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

    /// Whether all instances run and hold one log.
    pub fn converged(&self) -> bool {
        let first = &self.instances[0];
        self.instances
            .iter()
            .all(|instance| instance.running && instance.log() == first.log())
    }

    fn ship(&mut self, now: time::Duration) {
        // The fault is to strike before the record is on a second instance.
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
