//! A database group in memory, with its links and a trap for one step.

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
const SHIP_EVERY: time::Duration = time::Duration::from_millis(2);

/// Time between two records that a replica applies while it is far behind.
const SLOW_RECORD: time::Duration = time::Duration::from_millis(120);

/// Records that other sessions have left unshipped when replicas fall behind.
const BACKLOG: u64 = 5;

/// First number of such records; far above those of the cell's own requests.
const FILLER: u64 = 1_000_000;

/// What happens when a step is reached, told which proxy reached it; answers how long
/// the call that reached it is held up. It strikes in the moment of the step: nobody else
/// comes past, or ships a record, in between.
pub type Blow = Box<dyn FnOnce(&mut State, usize) -> time::Duration + Send>;

/// A fault waiting for its step.
pub struct Trap {
    /// The step.
    pub point: operation::Point,
    /// The fault.
    pub blow: Blow,
}

/// All of the group that can change.
pub struct State {
    /// The instances.
    pub instances: Vec<instance::Instance>,
    /// Whether the instance reaches its peers.
    pub linked: [bool; INSTANCES],
    /// Whether the proxies reach the instance.
    pub reachable: [bool; INSTANCES],
    /// Whether replicas apply one record at a time.
    pub slow: bool,
    /// Instances that were made primary, by term.
    pub reigns: collections::BTreeMap<id::Term, collections::BTreeSet<id::Index>>,
    /// Every request's record that was ever in any log.
    pub ever: collections::BTreeSet<u64>,
    /// Records that stood twice in one log.
    pub doubled: collections::BTreeSet<u64>,
    /// Proxies whose next answer is lost.
    pub deaf: collections::BTreeSet<usize>,
    /// Whether the awaited batch has been answered by an instance.
    pub answered: bool,
    /// Time that an instance takes for a write.
    pub effort: time::Duration,
    /// Whether the awaited batch has committed.
    pub ran: bool,
    traps: Vec<Trap>,
    fences: usize,
    shipped: time::Duration,
}

/// The group.
pub struct World {
    state: sync::Mutex<State>,
    /// Time of all cells' parts.
    pub clock: sync::Arc<clock::Monotonic>,
}

impl World {
    pub fn new() -> sync::Arc<Self> {
        let instances = (0..INSTANCES)
            .map(|index| instance::Instance::new(index == 0))
            .collect();
        let first = collections::BTreeSet::from([0]);
        let state = State {
            instances,
            linked: [true; INSTANCES],
            reachable: [true; INSTANCES],
            slow: false,
            reigns: collections::BTreeMap::from([(1, first)]),
            ever: collections::BTreeSet::new(),
            doubled: collections::BTreeSet::new(),
            deaf: collections::BTreeSet::new(),
            answered: false,
            ran: false,
            effort: time::Duration::ZERO,
            traps: Vec::new(),
            fences: 0,
            shipped: time::Duration::ZERO,
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

    /// Sets a trap; traps are sprung in the order in which they were set.
    pub fn arm(&self, trap: Trap) {
        self.lock().traps.push(trap);
    }

    /// Takes the traps away that were not sprung; their number.
    pub fn disarm(&self) -> usize {
        std::mem::take(&mut self.lock().traps).len()
    }

    /// A proxy has reached a step: springs the trap that waits for it, then lets go of
    /// the processor, so that a proxy that was stopped goes no further.
    pub async fn reach(&self, proxy: usize, point: operation::Point) {
        self.reach_by(proxy, |_| (point, ())).await;
    }

    /// The same for a step that is reached by something that is done to the group.
    pub async fn reach_by<T>(
        &self,
        proxy: usize,
        act: impl FnOnce(&mut State) -> (operation::Point, T),
    ) -> T {
        let (done, delay) = {
            let mut state = self.lock();
            let (point, done) = act(&mut state);
            (done, state.spring(proxy, point))
        };
        if let Some(delay) = delay {
            future::yield_now().await;
            async_io::Timer::after(delay).await;
        }
        done
    }

    /// Ships records for ever.
    pub async fn replicate(&self) {
        loop {
            async_io::Timer::after(SHIP_EVERY).await;
            let now = self.clock.now();
            self.lock().ship(now);
        }
    }
}

impl State {
    // Springs the trap that waits for this step, if one does.
    fn spring(&mut self, proxy: usize, point: operation::Point) -> Option<time::Duration> {
        let next = self.traps.first().is_some_and(|trap| trap.point == point);
        next.then(|| {
            let trap = self.traps.remove(0);
            (trap.blow)(self, proxy)
        })
    }

    /// Number of fencing calls that took effect before this one.
    pub const fn count_fence(&mut self) -> usize {
        self.fences += 1;
        self.fences - 1
    }

    /// The instance that a fault of the primary strikes: the one that leads the highest
    /// term, or the one that is to be promoted next.
    pub fn target(&self) -> id::Index {
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
            if self.instances[index].holds(*write) {
                self.doubled.insert(*write);
            }
            self.instances[index].append(*write);
            self.ever.insert(*write);
        }
    }

    /// Makes replicas slow and gives them a backlog.
    pub fn fall_behind(&mut self) {
        self.slow = true;
        let index = self.target();
        let leads = self.instances[index].running && self.instances[index].leads();
        if leads {
            let first = FILLER + self.ever.len() as u64 * BACKLOG;
            let fillers: Vec<u64> = (first..first + BACKLOG).collect();
            self.append(index, &fillers);
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
        let next = self.traps.first().map(|trap| trap.point);
        if self.ran && next == Some(operation::Point::Confirms) {
            return;
        }
        if self.slow && now < self.shipped + SLOW_RECORD {
            return;
        }
        self.shipped = now;
        let sources: Vec<_> = (0..INSTANCES)
            .filter(|index| self.linked[*index] && self.instances[*index].running)
            .filter(|index| self.instances[*index].leads())
            .collect();
        let Some(source) = sources
            .into_iter()
            .max_by_key(|index| self.instances[*index].fence)
        else {
            return;
        };
        let leader = self.instances[source].clone();
        let bound = if self.slow { 1 } else { usize::MAX };
        for index in (0..INSTANCES).filter(|index| *index != source) {
            if self.linked[index] && self.instances[index].running {
                self.instances[index].follow(&leader, bound);
            }
        }
    }
}
