//! Probes the instances of a group and keeps their latest observations.
//!
//! At most one probe per instance is in flight. Its result is shared by all waiters: commits
//! that wait for confirmation and reads that wait for a sample. Without waiters, instances
//! are probed at a slow heartbeat for the failure detector.

use std::sync;
use std::sync::atomic;
use std::time;

use futures_lite::future;

use crate::board;
use crate::clock;
use crate::id;
use crate::upstream;

/// Heartbeat interval of a group with recent requests or a failing instance.
const ACTIVE_HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Heartbeat interval of an idle group; limits the control traffic at the target fleet size.
const IDLE_HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time after its last request during which a group counts as active.
const ACTIVE_WINDOW: time::Duration = time::Duration::from_secs(5);

/// Minimum time between the starts of two probes of one instance.
const MIN_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(1);

/// Minimum time between the starts of two probes when the first one failed.
const MIN_FAILED_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Observations of one group, with notification of waiters.
pub struct Watch {
    board: arc_swap::ArcSwap<board::Board>,
    clock: sync::Arc<dyn clock::Clock>,
    changed: event_listener::Event,
    demand: event_listener::Event,
    /// Earliest start of the probes asked for, in nanoseconds of the clock.
    wanted_since: atomic::AtomicU64,
    /// Time of the last request, in nanoseconds of the clock; 0 before the first one.
    last_request: atomic::AtomicU64,
}

impl Watch {
    /// Creates a watch for `count` instances.
    #[must_use]
    pub fn new(count: usize, clock: sync::Arc<dyn clock::Clock>) -> Self {
        Self {
            board: arc_swap::ArcSwap::from_pointee(board::Board::new(count)),
            clock,
            changed: event_listener::Event::new(),
            demand: event_listener::Event::new(),
            wanted_since: atomic::AtomicU64::new(0),
            last_request: atomic::AtomicU64::new(0),
        }
    }

    /// A snapshot of the current observations.
    #[must_use]
    pub fn board(&self) -> sync::Arc<board::Board> {
        self.board.load_full()
    }

    /// Records a request, which shortens the heartbeat interval.
    pub fn record_request(&self) {
        let now = nanos(self.clock.now());
        self.last_request.fetch_max(now, atomic::Ordering::Relaxed);
    }

    /// Requests a probe of every instance that starts at or after `since`.
    pub fn request_probes(&self, since: id::Time) {
        let since = nanos(since);
        if self.wanted_since.fetch_max(since, atomic::Ordering::AcqRel) < since {
            self.demand.notify(usize::MAX);
        }
    }

    /// Waits until `check` returns a value for the board. With `renew`, new probes are requested
    /// until it does; otherwise only one round that starts at or after `since` is requested.
    /// Returns `None` when the deadline passes first.
    pub async fn wait_until<T>(
        &self,
        since: id::Time,
        deadline: id::Time,
        renew: bool,
        check: impl Fn(&board::Board) -> Option<T>,
    ) -> Option<T> {
        self.request_probes(since);
        loop {
            let listener = self.changed.listen();
            if let Some(found) = check(&self.board.load()) {
                return Some(found);
            }
            let now = self.clock.now();
            if now >= deadline {
                return None;
            }
            if renew {
                self.request_probes(now);
            }
            wait(listener, deadline.saturating_sub(now)).await;
        }
    }

    /// Waits for the next change of the observations, at most `timeout`.
    pub async fn wait_for_change(&self, timeout: time::Duration) {
        wait(self.changed.listen(), timeout).await;
    }

    /// Records an answered probe.
    pub fn record_answer(&self, index: id::Index, observation: board::Observation) {
        self.update(|board| board.record_answer(index, observation));
    }

    /// Records a failed probe.
    pub fn record_failure(&self, index: id::Index) {
        self.update(|board| board.record_failure(index));
    }

    /// Probes one instance in an endless loop; run one such task per instance.
    pub async fn probe(&self, index: id::Index, upstream: sync::Arc<dyn upstream::Upstream>) {
        loop {
            let started = self.clock.now();
            let answer = upstream.status().await;
            let finished = self.clock.now();
            let failed = answer.is_err();
            match answer {
                Ok(status) => {
                    let observation = board::Observation {
                        started,
                        finished,
                        status,
                    };
                    self.record_answer(index, observation);
                }
                Err(_) => self.record_failure(index),
            }
            let min_interval = if failed {
                MIN_FAILED_PROBE_INTERVAL
            } else {
                MIN_PROBE_INTERVAL
            };
            async_io::Timer::after((started + min_interval).saturating_sub(finished)).await;
            self.wait_for_next_probe(started).await;
        }
    }

    /// Waits until a probe newer than `started` is requested or the heartbeat is due.
    async fn wait_for_next_probe(&self, started: id::Time) {
        loop {
            let listener = self.demand.listen();
            let elapsed = self.clock.now().saturating_sub(started);
            let heartbeat = self.heartbeat_interval();
            let wanted = self.wanted_since.load(atomic::Ordering::Acquire) > nanos(started);
            if wanted || elapsed >= heartbeat {
                return;
            }
            wait(listener, heartbeat.saturating_sub(elapsed)).await;
        }
    }

    fn heartbeat_interval(&self) -> time::Duration {
        let requested = self.last_request.load(atomic::Ordering::Relaxed);
        let quiet = nanos(self.clock.now()).saturating_sub(requested);
        let active = requested > 0 && quiet < nanos(ACTIVE_WINDOW);
        let failing = self
            .board
            .load()
            .instances()
            .iter()
            .any(|instance| instance.failures > 0);
        if active || failing {
            ACTIVE_HEARTBEAT_INTERVAL
        } else {
            IDLE_HEARTBEAT_INTERVAL
        }
    }

    fn update(&self, change: impl Fn(&mut board::Board)) {
        self.board.rcu(|old| {
            let mut new = board::Board::clone(old);
            change(&mut new);
            new
        });
        self.changed.notify(usize::MAX);
    }
}

async fn wait(listener: event_listener::EventListener, timeout: time::Duration) {
    let timer = async {
        async_io::Timer::after(timeout).await;
    };
    future::or(listener, timer).await;
}

fn nanos(time: id::Time) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}
