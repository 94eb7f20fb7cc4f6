//! Callers that run a profile and record what they were told.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use compact_str::CompactString;
use tokio::sync::mpsc;

use crate::caller;
use crate::history;
use crate::note;
use crate::profile;

/// Threads that callers are spread over.
const THREADS: usize = 2;

/// Time between two probes of a group.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Longest wait of a probe for its answer.
const PROBE_PATIENCE: time::Duration = time::Duration::from_millis(500);

/// Probes of a group that may wait at once.
const PROBES: usize = 24;

/// Callers wait this many deadlines for an answer before they give up.
const PATIENCE_DEADLINES: u32 = 2;

/// Running callers and probers.
#[derive(Debug)]
pub struct Workload {
    stop: sync::Arc<atomic::AtomicBool>,
    threads: Vec<thread::JoinHandle<Vec<note::Note>>>,
    groups: usize,
}

/// Who a task of the workload is.
#[derive(Clone, Debug)]
struct Seat {
    group: usize,
    plan: caller::Plan,
    prober: bool,
}

impl Workload {
    /// Starts all callers of a profile, and a prober for each group.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(
        profile: &sync::Arc<profile::Profile>,
        proxies: &sync::Arc<[net::SocketAddr]>,
        seed: u64,
    ) -> eyre::Result<Self> {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let seats = seats(profile, proxies, seed);
        let threads = (0..THREADS).map(|thread| {
            let own = seats
                .iter()
                .skip(thread)
                .step_by(THREADS)
                .cloned()
                .collect();
            let stop = sync::Arc::clone(&stop);
            let groups = profile.groups;
            thread::Builder::new()
                .name(format!("callers-{thread}"))
                .spawn(move || serve(own, &stop, groups))
        });
        Ok(Self {
            threads: threads.collect::<Result<_, _>>()?,
            groups: profile.groups,
            stop,
        })
    }

    /// Lets every caller finish its request, and gives what was recorded by group.
    ///
    /// # Panics
    /// When a caller has panicked.
    #[must_use]
    pub fn stop(self) -> Vec<note::Note> {
        self.stop.store(true, atomic::Ordering::Relaxed);
        let mut notes = vec![note::Note::new(); self.groups];
        for thread in self.threads {
            let own = thread.join().expect("caller threads do not panic");
            for (all, one) in notes.iter_mut().zip(own) {
                all.merge(one);
            }
        }
        notes
    }
}

fn seats(
    profile: &sync::Arc<profile::Profile>,
    proxies: &sync::Arc<[net::SocketAddr]>,
    seed: u64,
) -> Vec<Seat> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut seats = Vec::new();
    for group in 0..profile.groups {
        let history = sync::Arc::new(history::History::new());
        let mut seat = |name: CompactString, prober| Seat {
            group,
            plan: caller::Plan {
                profile: sync::Arc::clone(profile),
                database: profile.group(group),
                proxies: sync::Arc::clone(proxies),
                history: sync::Arc::clone(&history),
                name,
                seed: random.u64(..),
                patience: profile.deadline * PATIENCE_DEADLINES,
            },
            prober,
        };
        seats.push(seat(compact_str::format_compact!("g{group}p"), true));
        seats.extend(
            (0..profile.callers)
                .map(|caller| seat(compact_str::format_compact!("g{group}c{caller}"), false)),
        );
    }
    seats
}

fn serve(seats: Vec<Seat>, stop: &sync::Arc<atomic::AtomicBool>, groups: usize) -> Vec<note::Note> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime on the current thread");
    runtime.block_on(async {
        let tasks: Vec<_> = seats
            .into_iter()
            .map(|seat| (seat.group, tokio::spawn(work(seat, sync::Arc::clone(stop)))))
            .collect();
        let mut notes = vec![note::Note::new(); groups];
        for (group, task) in tasks {
            let note = task.await.expect("callers do not panic");
            notes[group].merge(note);
        }
        notes
    })
}

async fn work(seat: Seat, stop: sync::Arc<atomic::AtomicBool>) -> note::Note {
    if seat.prober {
        return probe(&seat.plan, &stop).await;
    }
    let mut caller = caller::Caller::new(seat.plan);
    while !stop.load(atomic::Ordering::Relaxed) {
        caller.step().await;
    }
    caller.finish()
}

/// Sends a probe at each tick. One that waits does not hold up the next, so the
/// gap is measured to one interval even while probes are kept waiting.
async fn probe(plan: &caller::Plan, stop: &sync::Arc<atomic::AtomicBool>) -> note::Note {
    let (give, mut idle) = mpsc::channel(PROBES);
    for index in 0..PROBES {
        let caller = caller::Caller::new(probe_plan(plan, index));
        let _ = give.try_send(caller);
    }
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    while !stop.load(atomic::Ordering::Relaxed) {
        ticks.tick().await;
        if let Ok(caller) = idle.try_recv() {
            tokio::spawn(probe_once(caller, give.clone()));
        }
    }
    let mut note = note::Note::new();
    for _ in 0..PROBES {
        let caller = idle.recv().await.expect("every prober comes back");
        note.merge(caller.finish());
    }
    // Probes give up early by themselves; that is no answer cut off by a proxy.
    note.cut = 0;
    note
}

async fn probe_once(mut caller: caller::Caller, give: mpsc::Sender<caller::Caller>) {
    caller.probe().await;
    let _ = give.send(caller).await;
}

fn probe_plan(plan: &caller::Plan, index: usize) -> caller::Plan {
    let offset = u64::try_from(index).expect("index fits");
    caller::Plan {
        name: compact_str::format_compact!("{}{index}", plan.name),
        seed: plan.seed.wrapping_add(offset),
        patience: PROBE_PATIENCE,
        ..plan.clone()
    }
}
