//! A cell: runs an operation with a fault at one of its steps, then checks the promises.

use std::collections;
use std::sync;
use std::time;

use futures_util::future;
use mangotray::apply;
use mangotray::clock::Clock;
use mangotray::enrol;
use mangotray::id;
use mangotray::outcome;
use mangotray::stamp;
use mangotray::store as platform_store;

use crate::fault;
use crate::follower;
use crate::harness;
use crate::instance;
use crate::operation;
use crate::operation::Kind;
use crate::operation::Operation;
use crate::proxy;
use crate::shutdown;
use crate::upstream;

/// Time within which one batch of the operation must be answered.
const BATCH_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// Time for one attempt to write during a promotion.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Time to wait for a promotion during the fault.
const PROMOTION_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Time within which the group must work and converge after the fault has ended.
const RECOVERY_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Number of the operation's request.
const OPERATION_REQUEST: u64 = 100;

/// Name of the file that the operation applies.
const OPERATION_FILE: &str = "own";

/// Duration of a write during which its proxy shuts down.
const DRAIN_WRITE_DURATION: time::Duration = time::Duration::from_millis(150);

/// Index of the replica that lacks the last write before a read.
const STALE_REPLICA: id::Index = 2;

/// Outcome of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Done during the fault.
    Done,
    /// Refused; it certainly did not run.
    NotRun,
    /// The caller was told that the outcome is unknown, or its proxy ended.
    Unknown,
    /// Done only after the fault had ended.
    DoneAfterFault,
}

impl Class {
    /// Name in the matrix.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
            Self::DoneAfterFault => "done after the fault",
        }
    }
}

/// A cell of the matrix.
#[derive(Clone, Copy, Debug)]
pub struct Cell {
    pub operation: Operation,
    pub step: operation::Step,
    pub fault: fault::Fault,
    /// A second fault at a later step.
    pub second: Option<(operation::Step, fault::Fault)>,
}

/// Result of running a cell.
#[derive(Clone, Debug)]
pub struct Finding {
    pub class: Class,
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// Number of faults whose step was not reached.
    pub unreached_faults: usize,
}

/// A write that was attempted.
struct Attempt {
    request: u64,
    class: Class,
}

struct Run {
    cell: Cell,
    harness: sync::Arc<harness::Harness>,
    attempts: Vec<Attempt>,
    violations: Vec<String>,
    /// Stamp of the last confirmed write, for a read with a token.
    token: stamp::Stamp,
    next_request: u64,
    /// Requests whose records were returned by reads.
    read_requests: collections::BTreeSet<u64>,
    followers: sync::Arc<follower::Pair>,
    /// Registration of the proxy that will shut down.
    enrolment: Option<sync::Arc<enrol::Enrolment>>,
}

impl Cell {
    /// Runs the operation with its faults, ends them and checks the promises.
    pub async fn run(self, pool: proxy::Executor) -> Finding {
        let harness = harness::Harness::new(&pool);
        let mut run = Run {
            cell: self,
            followers: harness.follow(),
            read_requests: collections::BTreeSet::new(),
            enrolment: None,
            harness,
            attempts: Vec::new(),
            violations: Vec::new(),
            token: stamp::Stamp::default(),
            next_request: 1,
        };
        run.prepare().await;
        run.schedule_faults();
        let class = run.operate().await;
        let unreached_faults = run.harness.cluster.cancel_pending();
        run.harness.heal();
        run.recover().await;
        run.check();
        Finding {
            class,
            violations: run.violations,
            unreached_faults,
        }
    }
}

impl Run {
    /// Waits until the proxies are ready, then writes through the proxy that does not run the
    /// operation.
    async fn prepare(&mut self) {
        let proxies = self.harness.proxies();
        let ready = || {
            let held = proxies
                .iter()
                .all(|proxy| proxy.terms.reserved_term().is_some());
            let boards = proxies.iter().map(|proxy| proxy.group.watch.board());
            held && boards.into_iter().all(|board| board.leader().is_some())
        };
        self.wait("the proxies to be ready", RECOVERY_TIMEOUT, ready)
            .await;
        let stale = matches!(
            self.cell.operation,
            Operation::Read | Operation::TokenRead | Operation::AgedRead
        );
        if stale {
            self.harness.cluster.lock().peer_link_up[STALE_REPLICA] = false;
        }
        if self.write(&proxies[1], RECOVERY_TIMEOUT).await != Class::Done {
            self.violations.push("the first write failed".to_owned());
        }
        if self.cell.operation == Operation::Drain {
            self.enrol().await;
        }
        if self.cell.operation == Operation::AgedRead {
            async_io::Timer::after(proxy::MAX_READ_AGE).await;
        }
    }

    fn schedule_faults(&self) {
        {
            let mut state = self.harness.cluster.lock();
            state.batch_answered = false;
            state.batch_committed = false;
        }
        self.harness
            .schedule_fault(self.cell.step.point, self.cell.fault);
        if let Some((step, fault)) = self.cell.second {
            self.harness.schedule_fault(step.point, fault);
        }
    }

    async fn operate(&mut self) -> Class {
        let proxy = self.harness.proxies()[0].clone();
        match self.cell.operation {
            Operation::Write => self.single_write(&proxy).await,
            Operation::Transaction => self.transaction(&proxy).await,
            Operation::Read | Operation::TokenRead | Operation::AgedRead => {
                self.read(&proxy, true, BATCH_TIMEOUT).await
            }
            Operation::Promotion => {
                self.harness.cluster.lock().instances[0].stop();
                self.promotion().await
            }
            Operation::Replacement => {
                let proxies = self.harness.proxies().into_iter();
                proxies.for_each(|proxy| proxy.declare(Some(0)));
                self.promotion().await
            }
            Operation::Apply => self.apply(&proxy).await,
            Operation::Drain => self.drain(&proxy).await,
        }
    }

    async fn single_write(&mut self, proxy: &sync::Arc<proxy::Proxy>) -> Class {
        let mut session = proxy.session();
        let batch = session.batch(Kind::Write, OPERATION_REQUEST, BATCH_TIMEOUT);
        let answer = session.run(batch, true).await;
        let class = self.classify(answer, Kind::Write, OPERATION_REQUEST);
        self.record_attempt(OPERATION_REQUEST, class)
    }

    async fn transaction(&mut self, proxy: &sync::Arc<proxy::Proxy>) -> Class {
        let mut session = proxy.session();
        for kind in [Kind::Begin, Kind::Insert, Kind::Commit] {
            let batch = session.batch(kind, OPERATION_REQUEST, BATCH_TIMEOUT);
            let answer = session.run(batch, kind == Kind::Begin).await;
            let class = self.classify(answer, kind, OPERATION_REQUEST);
            if class != Class::Done || kind == Kind::Commit {
                return self.record_attempt(OPERATION_REQUEST, class);
            }
        }
        unreachable!("the commit returns")
    }

    async fn apply(&mut self, proxy: &sync::Arc<proxy::Proxy>) -> Class {
        let client = self.harness.client(proxy.number);
        let put = async move { apply::put(&client, &harness::request(OPERATION_FILE)).await };
        let run = async { Some(proxy.process.run(put).await) };
        let end = async {
            proxy.process.wait_for_end().await;
            None
        };
        let answer = futures_lite::future::or(run, end).await;
        let files = self.harness.service.applied_files();
        let held = files.iter().find(|file| file.id == OPERATION_FILE);
        match answer {
            Some(Ok(apply::Verdict::Applied(revision))) => {
                if held.is_none_or(|file| file.revision != revision) {
                    self.violations
                        .push(format!("the applied file is missing in {files:?}"));
                }
                Class::Done
            }
            Some(Ok(apply::Verdict::Lost(_)) | Err(platform_store::Failure::NotRun(_))) => {
                if held.is_some() {
                    self.violations
                        .push(format!("a file that was not applied is in {files:?}"));
                }
                Class::NotRun
            }
            _ => Class::Unknown,
        }
    }

    /// Shuts the proxy down as the daemon does: marks it as draining, waits for the write in
    /// flight, revokes its lease.
    async fn drain(&mut self, proxy: &sync::Arc<proxy::Proxy>) -> Class {
        let enrolment = self.enrolment.take().expect("prepared");
        let timeout = BATCH_TIMEOUT;
        let mut session = proxy.session();
        let batch = session.batch(Kind::Write, OPERATION_REQUEST, timeout);
        let marking = enrolment.clone();
        let mark = proxy
            .process
            .run(async move { marking.mark_draining().await });
        let mark = futures_lite::future::or(mark, proxy.process.wait_for_end());
        let (answer, ()) = future::join(session.run(batch, false), mark).await;
        let class = self.classify(answer, Kind::Write, OPERATION_REQUEST);
        let leave = proxy
            .process
            .run(async move { enrolment.revoke_lease().await });
        futures_lite::future::or(leave, proxy.process.wait_for_end()).await;
        if !proxy.process.has_ended() {
            let revoked = !self
                .harness
                .service
                .has_key(&shutdown::registration_key(proxy));
            if !revoked && self.cell.fault != fault::Fault::StoreDown {
                self.violations.push("the lease was not revoked".to_owned());
            }
            proxy.group.revoke();
            let settled = || proxy.group.trim_to_share();
            self.wait("the proxy to become idle", RECOVERY_TIMEOUT, settled)
                .await;
            proxy.process.end();
        }
        self.record_attempt(OPERATION_REQUEST, class)
    }

    async fn enrol(&mut self) {
        let proxy = self.harness.proxies()[0].clone();
        let enrolment = shutdown::enrolment(&self.harness, &proxy);
        let (service, key) = (
            self.harness.service.clone(),
            shutdown::registration_key(&proxy),
        );
        self.wait("the registration", RECOVERY_TIMEOUT, || {
            service.has_key(&key)
        })
        .await;
        self.enrolment = Some(enrolment);
        self.harness.cluster.lock().write_duration = DRAIN_WRITE_DURATION;
    }

    async fn write(&mut self, proxy: &sync::Arc<proxy::Proxy>, timeout: time::Duration) -> Class {
        let request = self.next_request;
        self.next_request += 1;
        let mut session = proxy.session();
        let batch = session.batch(Kind::Write, request, timeout);
        let answer = session.run(batch, false).await;
        if let Some(Ok(reply)) = &answer {
            self.token = reply.stamp.unwrap_or(self.token);
        }
        let class = self.classify(answer, Kind::Write, request);
        self.record_attempt(request, class)
    }

    async fn read(
        &mut self,
        proxy: &sync::Arc<proxy::Proxy>,
        is_first_batch: bool,
        timeout: time::Duration,
    ) -> Class {
        let before: Vec<u64> = self.confirmed().collect();
        let mut session = proxy.session();
        let plain = session.batch(Kind::Read, OPERATION_REQUEST, timeout);
        let batch = match self.cell.operation {
            Operation::TokenRead if is_first_batch => proxy::with_token(plain, self.token),
            Operation::AgedRead if is_first_batch => proxy::with_accepted_age(plain),
            _ => plain,
        };
        let answer = session.run(batch, is_first_batch).await;
        if let Some(Ok(reply)) = &answer {
            let rows = upstream::rows(reply, Kind::Read, OPERATION_REQUEST).unwrap_or_default();
            self.read_requests.extend(&rows);
            let missing: Vec<_> = before.iter().filter(|held| !rows.contains(held)).collect();
            if !missing.is_empty() {
                self.violations.push(format!("a read lacks {missing:?}"));
            }
        }
        self.classify(answer, Kind::Read, OPERATION_REQUEST)
    }

    /// Waits until another instance is primary, then writes until a write is confirmed.
    async fn promotion(&mut self) -> Class {
        let end = self.now() + PROMOTION_TIMEOUT;
        while self.now() < end {
            async_io::Timer::after(POLL_INTERVAL).await;
            let replaced = self
                .harness
                .cluster
                .lock()
                .primary()
                .is_some_and(|index| index != 0);
            let running = self.harness.proxies().into_iter();
            let running: Vec<_> = running.filter(|proxy| proxy.process.is_running()).collect();
            let Some(proxy) = running.get(self.attempts.len() % running.len().max(1)) else {
                continue;
            };
            if replaced && self.write(proxy, ATTEMPT_TIMEOUT).await == Class::Done {
                return Class::Done;
            }
        }
        Class::DoneAfterFault
    }

    /// Checks through a new proxy that writes and reads succeed, and waits until configuration
    /// and logs have converged.
    async fn recover(&mut self) {
        let fresh = self.harness.start_proxy(0);
        let end = self.now() + RECOVERY_TIMEOUT;
        while self.write(&fresh, BATCH_TIMEOUT).await != Class::Done {
            if self.now() >= end {
                self.violations
                    .push("no write succeeds after the fault".to_owned());
                return;
            }
        }
        if self.read(&fresh, false, RECOVERY_TIMEOUT).await != Class::Done {
            self.violations
                .push("no read succeeds after the fault".to_owned());
        }
        let (nodes, service) = (self.followers.clone(), self.harness.service.clone());
        let current = || {
            let newest = service.applied_files().last().map(|file| file.revision);
            let adopted = nodes.adopted_revisions();
            adopted
                .iter()
                .all(|adopted| adopted.last().copied() == newest)
        };
        self.wait(
            "the nodes to adopt the newest file",
            RECOVERY_TIMEOUT,
            current,
        )
        .await;
        let cluster = self.harness.cluster.clone();
        let converged = || cluster.lock().converged();
        self.wait("the logs to converge", RECOVERY_TIMEOUT, converged)
            .await;
        if !converged() {
            let statuses = cluster
                .lock()
                .instances
                .iter()
                .map(instance::Instance::status)
                .collect::<Vec<_>>();
            self.violations
                .push(format!("the logs differ: {statuses:?}"));
        }
    }

    fn check(&mut self) {
        let mut violations = Vec::new();
        let state = self.harness.cluster.lock();
        let log = state.log();
        for Attempt { request, class } in &self.attempts {
            let count = log.iter().filter(|held| *held == request).count();
            if *class == Class::Done && count != 1 {
                violations.push(format!(
                    "confirmed write {request} is in the log {count} times"
                ));
            }
            if *class == Class::NotRun && state.appended_requests.contains(request) {
                violations.push(format!(
                    "write {request} ran, but its caller was told that it did not"
                ));
            }
        }
        let distinct: collections::BTreeSet<_> = log.iter().collect();
        if distinct.len() != log.len() || !state.duplicate_requests.is_empty() {
            violations.push(format!("duplicate records: {:?}", state.duplicate_requests));
        }
        let missing: Vec<_> = self
            .read_requests
            .iter()
            .filter(|shown| !log.contains(shown))
            .collect();
        if !missing.is_empty() {
            violations.push(format!("reads returned {missing:?}, which the log lacks"));
        }
        for (term, instances) in &state.primaries_by_term {
            if instances.len() > 1 {
                violations.push(format!("term {term} has several primaries: {instances:?}"));
            }
        }
        drop(state);
        self.violations.extend(violations);
        self.check_revisions();
    }

    fn check_revisions(&mut self) {
        let files = self.harness.service.applied_files();
        let revisions: Vec<_> = files.iter().map(|file| file.revision).collect();
        let strictly_increasing =
            |revisions: &[id::Revision]| revisions.is_sorted_by(|one, two| one < two);
        if !strictly_increasing(&revisions) {
            self.violations
                .push(format!("revisions do not increase: {revisions:?}"));
        }
        for adopted in self.followers.adopted_revisions() {
            if !strictly_increasing(&adopted) || adopted.last() != revisions.last() {
                let violation = format!("a node adopted {adopted:?} of revisions {revisions:?}");
                self.violations.push(violation);
            }
        }
        let applied = harness::lock(&self.harness.apply_results);
        let in_force =
            |answer: &&harness::ApplyResult| matches!(answer, Ok(apply::Verdict::Applied(_)));
        let count = applied.iter().filter(in_force).count();
        if count > revisions.len() {
            let violation = format!("{count} applies succeeded, but revisions are {revisions:?}");
            self.violations.push(violation);
        }
    }

    fn confirmed(&self) -> impl Iterator<Item = u64> + '_ {
        let done = self.attempts.iter();
        done.filter(|attempt| attempt.class == Class::Done)
            .map(|attempt| attempt.request)
    }

    fn record_attempt(&mut self, request: u64, class: Class) -> Class {
        self.attempts.push(Attempt { request, class });
        class
    }

    fn classify(&mut self, answer: Option<proxy::Answer>, kind: Kind, request: u64) -> Class {
        match answer {
            None | Some(Err(outcome::Outcome::Unknown { .. })) => Class::Unknown,
            Some(Err(outcome::Outcome::NotRun { .. })) => Class::NotRun,
            Some(Ok(reply)) => {
                if upstream::rows(&reply, kind, request).is_none() {
                    self.violations
                        .push(format!("{reply:?} does not answer {kind:?} {request}"));
                }
                if reply.error.is_some() {
                    return Class::NotRun;
                }
                Class::Done
            }
        }
    }

    async fn wait(&mut self, event: &str, timeout: time::Duration, condition: impl Fn() -> bool) {
        let end = self.now() + timeout;
        while !condition() {
            if self.now() >= end {
                self.violations
                    .push(format!("timed out waiting for {event}"));
                return;
            }
            async_io::Timer::after(POLL_INTERVAL).await;
        }
    }

    fn now(&self) -> id::Time {
        self.harness.cluster.clock.now()
    }
}
