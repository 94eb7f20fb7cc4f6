//! Runs the failure detector and the promotion state machine of a group and performs their actions
//! on its instances.

use std::sync;
use std::time;

use futures_lite::future;

use crate::board;
use crate::clock;
use crate::database;
use crate::detect;
use crate::gap;
use crate::id;
use crate::lag;
use crate::policy;
use crate::probe;
use crate::promote;
use crate::tally;
use crate::term;
use crate::upstream;

/// Interval between runs of the failure detector while no other event arrives.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Timeout for the check for a healthy primary before a term is claimed.
const RECHECK_TIMEOUT: time::Duration = time::Duration::from_millis(30);

/// Lease duration for which the baseline policy `LeaseExpiry` waits before it replaces a primary.
const BASELINE_LEASE_DURATION: time::Duration = time::Duration::from_secs(10);

/// Replaces the primary of one group when it fails.
pub struct Failover {
    /// Name of the group, for logs and metrics.
    pub group: id::Group,
    /// Instances of the group, by index.
    pub upstreams: Vec<sync::Arc<dyn upstream::Upstream>>,
    /// Current declaration of the group by the operators.
    pub declaration: sync::Arc<arc_swap::ArcSwap<database::Group>>,
    /// Status observations of the group.
    pub watch: sync::Arc<probe::Watch>,
    /// Source of unique terms.
    pub terms: sync::Arc<term::Registry>,
    /// Monotonic clock.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Failure detector of the primary.
    pub detector: detect::Detector,
    /// Default policy, or a baseline to compare it with.
    pub policy: policy::Policy,
    /// Executor for the calls to the store and the instances.
    pub executor: sync::Arc<async_executor::Executor<'static>>,
    /// Position of this proxy among those that may promote; rank 0 tries first.
    pub rank: sync::Arc<sync::atomic::AtomicU32>,
    /// Counters for metrics and the admin status.
    pub tally: sync::Arc<tally::Tally>,
}

impl Failover {
    /// Watches the primary and replaces it when it fails; never returns.
    pub async fn run(self) {
        let rank = self.rank.load(sync::atomic::Ordering::Relaxed);
        let mut machine = promote::Machine::new(self.upstreams.len(), rank);
        let (sender, events) = async_channel::unbounded();
        let mut suspected = None;
        let mut lag = lag::Estimate::default();
        let mut meter = gap::Meter::default();
        loop {
            lag.update(&self.watch.board(), self.clock.now());
            let event = self.next_event(&events, &mut suspected, &lag).await;
            let board = self.watch.board();
            self.record_gap(meter.update(&board));
            machine.note_term(board.highest_fence());
            machine.set_rank(self.rank.load(sync::atomic::Ordering::Relaxed));
            machine.set_replaced(board.leader().map(|leader| leader.index));
            for action in machine.step(self.clock.now(), event) {
                self.perform(action, &sender);
            }
        }
    }

    fn record_gap(&self, gap: Option<time::Duration>) {
        let Some(gap) = gap else { return };
        self.tally.record_failover(&self.group, gap);
        tracing::info!(target: "mangotray::placement", group = %self.group,
            gap_ms = self.tally.last_gap_ms(), "failover completed");
    }

    async fn next_event(
        &self,
        events: &async_channel::Receiver<promote::Event>,
        suspected: &mut Option<id::Time>,
        lag: &lag::Estimate,
    ) -> promote::Event {
        let received = async { events.recv().await.ok() };
        let timer = async {
            async_io::Timer::after(POLL_INTERVAL).await;
            None
        };
        match future::or(received, timer).await {
            Some(event) => event,
            None => promote::Event::Tick(self.verdict(suspected, lag)),
        }
    }

    fn verdict(&self, suspected: &mut Option<id::Time>, lag: &lag::Estimate) -> detect::Verdict {
        let now = self.clock.now();
        let mut detector = self.detector;
        detector.stall = lag.stall_limit(detector.stall);
        let board = self.watch.board();
        let verdict = assess(detector, &self.declaration.load(), &board, now);
        if !matches!(verdict, detect::Verdict::Suspect(_)) {
            *suspected = None;
            return verdict;
        }
        let since = *suspected.get_or_insert(now);
        let lease = self.policy == policy::Policy::LeaseExpiry;
        if lease && now < since + BASELINE_LEASE_DURATION {
            return detect::Verdict::Healthy;
        }
        verdict
    }

    fn perform(&self, action: promote::Action, sender: &async_channel::Sender<promote::Event>) {
        match action {
            promote::Action::Claim { above } => self.claim(above, sender.clone()),
            promote::Action::Fence { term } => self.fence(term, sender),
            promote::Action::Promote { index, term } => self.promote(index, term, sender.clone()),
            promote::Action::Announce { index, term } => self.announce(index, term),
        }
    }

    fn claim(&self, above: id::Term, sender: async_channel::Sender<promote::Event>) {
        tracing::warn!(target: "mangotray::placement", group = %self.group, above,
            "primary suspected, claiming a term");
        let terms = self.terms.clone();
        let watch = self.watch.clone();
        let clock = self.clock.clone();
        let detector = self.detector;
        let declaration = self.declaration.clone();
        let task = async move {
            let board = recheck(&watch, &*clock).await;
            let is_healthy = |board: &board::Board| {
                let verdict = assess(detector, &declaration.load(), board, clock.now());
                verdict == detect::Verdict::Healthy
            };
            let event = if board.is_some_and(|board| is_healthy(&board)) {
                promote::Event::ClaimFailed
            } else {
                claim_term(&terms, above).await
            };
            let _ = sender.send(event).await;
        };
        self.executor.spawn(task).detach();
    }

    fn fence(&self, term: id::Term, sender: &async_channel::Sender<promote::Event>) {
        tracing::info!(target: "mangotray::placement", group = %self.group, term,
            "fencing all instances");
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let upstream = upstream.clone();
            let sender = sender.clone();
            let task = async move {
                let event = match upstream.fence(term).await {
                    Ok(status) => promote::Event::Fenced(index, status),
                    Err(_) => promote::Event::FenceFailed(index),
                };
                let _ = sender.send(event).await;
            };
            self.executor.spawn(task).detach();
        }
    }

    fn promote(
        &self,
        index: id::Index,
        term: id::Term,
        sender: async_channel::Sender<promote::Event>,
    ) {
        tracing::info!(target: "mangotray::placement", group = %self.group, term, index,
            "promoting the most advanced fenced instance");
        let upstream = self.upstreams[index].clone();
        let watch = self.watch.clone();
        let clock = self.clock.clone();
        let task = async move {
            let started = clock.now();
            let event = match upstream.promote(term).await {
                Ok(status) => {
                    let finished = clock.now();
                    watch.record_answer(
                        index,
                        board::Observation {
                            started,
                            finished,
                            status,
                        },
                    );
                    promote::Event::Promoted(status)
                }
                Err(_) => promote::Event::PromoteFailed,
            };
            let _ = sender.send(event).await;
        };
        self.executor.spawn(task).detach();
    }

    fn announce(&self, index: id::Index, term: id::Term) {
        self.tally.record_promotion(&self.group);
        tracing::warn!(target: "mangotray::placement", group = %self.group, term, index,
            "new primary");
        let terms = self.terms.clone();
        let task = async move {
            // Reserves another term, for a promotion during an outage of the store.
            if let Err(failure) = terms.reserve(term).await {
                tracing::info!(?failure, "no term could be reserved in advance");
            }
        };
        self.executor.spawn(task).detach();
    }
}

/// Assesses the primary from the observations and the operators' declaration.
fn assess(
    detector: detect::Detector,
    declaration: &database::Group,
    board: &board::Board,
    now: id::Time,
) -> detect::Verdict {
    if is_leaving(declaration, board, now.saturating_sub(detector.silence)) {
        return detect::Verdict::Suspect(detect::Cause::Leaving);
    }
    detector.assess(board, now)
}

/// Returns whether the operators are taking the primary out of service and the other instances
/// form a majority without it. With fewer others the primary would be promoted again and again
/// until they return.
fn is_leaving(declaration: &database::Group, board: &board::Board, recent: id::Time) -> bool {
    let Some(leader) = board.leader() else {
        return false;
    };
    let answers = |instance: &board::Instance| {
        let last = instance.last.filter(|last| last.finished >= recent);
        instance.failures == 0 && last.is_some_and(|last| last.status.voter)
    };
    let others = board.instances().iter().enumerate();
    let others = others.filter(|(index, instance)| *index != leader.index && answers(instance));
    declaration.instances[leader.index].leaving && others.count() >= board.majority()
}

/// Waits for fresh observations before a term is claimed: a leader that they still show need not be
/// replaced.
///
/// Proxies that start together suspect the primary at the same time, and the second would fence
/// the primary that the first has just promoted, aborting its first transactions.
async fn recheck(
    watch: &probe::Watch,
    clock: &dyn clock::Clock,
) -> Option<sync::Arc<board::Board>> {
    let since = clock.now();
    let fresh = watch.wait_until(since, since + RECHECK_TIMEOUT, false, |board| {
        board.floor(since).and_then(|_| board.leader())
    });
    fresh.await.map(|_| watch.board())
}

async fn claim_term(terms: &term::Registry, above: id::Term) -> promote::Event {
    match terms.claim(above).await {
        Ok(term) => promote::Event::Claimed(term),
        Err(failure) => use_reserved_term(terms, above, &failure),
    }
}

/// Falls back to the term reserved in advance, if any, after a claim from the store failed.
fn use_reserved_term(
    terms: &term::Registry,
    above: id::Term,
    failure: &crate::store::Failure,
) -> promote::Event {
    match terms.take_reserved(above) {
        Some(term) => {
            tracing::warn!(target: "mangotray::placement", term, ?failure,
                "store not reachable, using the reserved term");
            promote::Event::Claimed(term)
        }
        None => promote::Event::ClaimFailed,
    }
}
