//! Callers that run the workload of a profile and record the answers.

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

/// Number of threads that callers are spread over.
const CALLER_THREADS: usize = 2;

/// Time between the starts of two probes of a group.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Longest wait of a probe for its answer.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Probes of a group that may wait for their answers at once.
const MAX_WAITING_PROBES: usize = 24;

/// Longest wait of a caller for an answer, as a multiple of the deadline.
const ANSWER_TIMEOUT_DEADLINES: u32 = 2;

/// Running callers and probers.
#[derive(Debug)]
pub struct Workload {
    stop: sync::Arc<atomic::AtomicBool>,
    threads: Vec<thread::JoinHandle<Vec<note::Note>>>,
    groups: usize,
}

/// A task that runs one caller, or the prober of a group.
#[derive(Clone, Debug)]
struct Task {
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
        let tasks = tasks(profile, proxies, seed);
        let threads = (0..CALLER_THREADS).map(|thread| {
            let thread_tasks = tasks
                .iter()
                .skip(thread)
                .step_by(CALLER_THREADS)
                .cloned()
                .collect();
            let stop = sync::Arc::clone(&stop);
            let groups = profile.groups;
            thread::Builder::new()
                .name(format!("callers-{thread}"))
                .spawn(move || run_tasks(thread_tasks, &stop, groups))
        });
        Ok(Self {
            threads: threads.collect::<Result<_, _>>()?,
            groups: profile.groups,
            stop,
        })
    }

    /// Stops the callers after their present request, and returns the records of each group.
    ///
    /// # Panics
    /// When a caller has panicked.
    #[must_use]
    pub fn stop(self) -> Vec<note::Note> {
        self.stop.store(true, atomic::Ordering::Relaxed);
        let mut notes = vec![note::Note::new(); self.groups];
        for thread in self.threads {
            let thread_notes = thread.join().expect("caller threads do not panic");
            for (all, one) in notes.iter_mut().zip(thread_notes) {
                all.merge(one);
            }
        }
        notes
    }
}

fn tasks(
    profile: &sync::Arc<profile::Profile>,
    proxies: &sync::Arc<[net::SocketAddr]>,
    seed: u64,
) -> Vec<Task> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut tasks = Vec::new();
    for group in 0..profile.groups {
        let history = sync::Arc::new(history::History::new());
        let mut task = |name: CompactString, prober| Task {
            group,
            plan: caller::Plan {
                profile: sync::Arc::clone(profile),
                database: profile.group(group),
                proxies: sync::Arc::clone(proxies),
                history: sync::Arc::clone(&history),
                name,
                seed: random.u64(..),
                answer_timeout: profile.deadline * ANSWER_TIMEOUT_DEADLINES,
            },
            prober,
        };
        tasks.push(task(compact_str::format_compact!("g{group}p"), true));
        tasks.extend(
            (0..profile.callers)
                .map(|caller| task(compact_str::format_compact!("g{group}c{caller}"), false)),
        );
    }
    tasks
}

fn run_tasks(
    tasks: Vec<Task>,
    stop: &sync::Arc<atomic::AtomicBool>,
    groups: usize,
) -> Vec<note::Note> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime on the current thread can be built");
    runtime.block_on(async {
        let handles: Vec<_> = tasks
            .into_iter()
            .map(|task| {
                (
                    task.group,
                    tokio::spawn(run_task(task, sync::Arc::clone(stop))),
                )
            })
            .collect();
        let mut notes = vec![note::Note::new(); groups];
        for (group, handle) in handles {
            let note = handle.await.expect("callers do not panic");
            notes[group].merge(note);
        }
        notes
    })
}

async fn run_task(task: Task, stop: sync::Arc<atomic::AtomicBool>) -> note::Note {
    if task.prober {
        return probe(&task.plan, &stop).await;
    }
    let mut caller = caller::Caller::new(task.plan);
    while !stop.load(atomic::Ordering::Relaxed) {
        caller.run_request().await;
    }
    caller.finish()
}

/// Sends a probe at each tick, also while earlier probes still wait for their answers. This
/// measures the failover gap with a resolution of one interval.
async fn probe(plan: &caller::Plan, stop: &sync::Arc<atomic::AtomicBool>) -> note::Note {
    let (idle_sender, mut idle) = mpsc::channel(MAX_WAITING_PROBES);
    for index in 0..MAX_WAITING_PROBES {
        let caller = caller::Caller::new(prober_plan(plan, index));
        let _ = idle_sender.try_send(caller);
    }
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    while !stop.load(atomic::Ordering::Relaxed) {
        ticks.tick().await;
        if let Ok(caller) = idle.try_recv() {
            tokio::spawn(probe_once(caller, idle_sender.clone()));
        }
    }
    let mut note = note::Note::new();
    for _ in 0..MAX_WAITING_PROBES {
        let caller = idle.recv().await.expect("each probe returns its caller");
        note.merge(caller.finish());
    }
    // Probes give up after a short timeout, so a missing answer is not the proxy's fault.
    note.unanswered = 0;
    note
}

async fn probe_once(mut caller: caller::Caller, idle_sender: mpsc::Sender<caller::Caller>) {
    caller.probe().await;
    let _ = idle_sender.send(caller).await;
}

fn prober_plan(plan: &caller::Plan, index: usize) -> caller::Plan {
    let offset = u64::try_from(index).expect("index fits");
    caller::Plan {
        name: compact_str::format_compact!("{}{index}", plan.name),
        seed: plan.seed.wrapping_add(offset),
        answer_timeout: PROBE_TIMEOUT,
        ..plan.clone()
    }
}
