//! One cell: an operation, with a fault at one of its steps, and the checks after it.

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
use mangotray::store as border;

use crate::fault;
use crate::follower;
use crate::instance;
use crate::operation;
use crate::operation::Kind;
use crate::operation::Operation;
use crate::proxy;
use crate::scene;
use crate::shutdown;
use crate::upstream;

/// Time for one batch of the operation.
const DEADLINE: time::Duration = time::Duration::from_millis(2_500);

/// Time for one try of a write while a promotion goes on.
const TRY: time::Duration = time::Duration::from_millis(500);

/// Time after which a promotion is given up until the fault ends.
const PROMOTION: time::Duration = time::Duration::from_secs(5);

/// Time in which everything works again once the fault has ended.
const RECOVERY: time::Duration = time::Duration::from_secs(20);

/// Time between two looks.
const LOOK_EVERY: time::Duration = time::Duration::from_millis(10);

/// The request that the operation makes.
const OWN: u64 = 100;

/// The file that the operation puts in force.
const FILE: &str = "own";

/// Time that a write takes while a proxy shuts down under it.
const EFFORT: time::Duration = time::Duration::from_millis(150);

/// The replica that has missed the last write before a read.
const STALE: id::Index = 2;

/// What became of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Done, while the fault lasted.
    Done,
    /// Refused as surely not run.
    NotRun,
    /// The caller was told that it cannot be known, or lost its proxy.
    Unknown,
    /// Done once the fault had ended.
    Later,
}

impl Class {
    /// Name in the matrix.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not run",
            Self::Unknown => "unknown",
            Self::Later => "done after the fault",
        }
    }
}

/// A cell of the matrix.
#[derive(Clone, Copy, Debug)]
pub struct Cell {
    pub operation: Operation,
    pub step: operation::Step,
    pub fault: fault::Fault,
    /// Fault that strikes at a later step besides.
    pub second: Option<(operation::Step, fault::Fault)>,
}

/// What a run of a cell showed.
#[derive(Clone, Debug)]
pub struct Finding {
    pub class: Class,
    /// Broken promises.
    pub broken: Vec<String>,
    /// Faults whose step was not reached.
    pub missed: usize,
}

/// A write that was tried.
struct Attempt {
    request: u64,
    class: Class,
}

struct Run {
    cell: Cell,
    scene: sync::Arc<scene::Scene>,
    attempts: Vec<Attempt>,
    broken: Vec<String>,
    /// Stamp of the last confirmed write.
    token: stamp::Stamp,
    next: u64,
    /// Records that reads have shown.
    shown: collections::BTreeSet<u64>,
    followed: sync::Arc<follower::Pair>,
    /// Registration of the proxy that is to shut down.
    enrolled: Option<sync::Arc<enrol::Enrolment>>,
}

impl Cell {
    /// Runs the cell.
    pub async fn run(self, pool: proxy::Executor) -> Finding {
        let scene = scene::Scene::new(&pool);
        let mut run = Run {
            cell: self,
            followed: scene.follow(),
            shown: collections::BTreeSet::new(),
            enrolled: None,
            scene,
            attempts: Vec::new(),
            broken: Vec::new(),
            token: stamp::Stamp::default(),
            next: 1,
        };
        run.prepare().await;
        run.arm();
        let class = run.operate().await;
        let missed = run.scene.world.disarm();
        run.scene.heal();
        run.recover().await;
        run.check();
        Finding {
            class,
            broken: run.broken,
            missed,
        }
    }
}

impl Run {
    /// Makes one write confirmed through another proxy than the one at work.
    async fn prepare(&mut self) {
        let proxies = self.scene.proxies();
        let ready = || {
            let held = proxies
                .iter()
                .all(|proxy| proxy.terms.reserved_term().is_some());
            let boards = proxies.iter().map(|proxy| proxy.group.watch.board());
            held && boards.into_iter().all(|board| board.leader().is_some())
        };
        self.wait("the start", RECOVERY, ready).await;
        let stale = matches!(
            self.cell.operation,
            Operation::Read | Operation::TokenRead | Operation::AgedRead
        );
        if stale {
            self.scene.world.lock().linked[STALE] = false;
        }
        if self.write(&proxies[1], RECOVERY).await != Class::Done {
            self.broken.push("the first write failed".to_owned());
        }
        if self.cell.operation == Operation::Drain {
            self.enrol().await;
        }
        if self.cell.operation == Operation::AgedRead {
            async_io::Timer::after(proxy::AGE).await;
        }
    }

    fn arm(&self) {
        {
            let mut state = self.scene.world.lock();
            state.answered = false;
            state.ran = false;
        }
        self.scene.arm(self.cell.step.point, self.cell.fault);
        if let Some((step, fault)) = self.cell.second {
            self.scene.arm(step.point, fault);
        }
    }

    async fn operate(&mut self) -> Class {
        let proxy = self.scene.proxies()[0].clone();
        match self.cell.operation {
            Operation::Write => self.own_write(&proxy).await,
            Operation::Transaction => self.transaction(&proxy).await,
            Operation::Read | Operation::TokenRead | Operation::AgedRead => {
                self.read(&proxy, true, DEADLINE).await
            }
            Operation::Promotion => {
                self.scene.world.lock().instances[0].stop();
                self.promotion().await
            }
            Operation::Replacement => {
                let proxies = self.scene.proxies().into_iter();
                proxies.for_each(|proxy| proxy.declare(Some(0)));
                self.promotion().await
            }
            Operation::Apply => self.apply(&proxy).await,
            Operation::Drain => self.drain(&proxy).await,
        }
    }

    async fn own_write(&mut self, proxy: &sync::Arc<proxy::Proxy>) -> Class {
        let mut session = proxy.session();
        let batch = session.batch(Kind::Write, OWN, DEADLINE);
        let answer = session.run(batch, true).await;
        let class = self.class(answer, Kind::Write, OWN);
        self.note(OWN, class)
    }

    async fn transaction(&mut self, proxy: &sync::Arc<proxy::Proxy>) -> Class {
        let mut session = proxy.session();
        for kind in [Kind::Begin, Kind::Insert, Kind::Commit] {
            let batch = session.batch(kind, OWN, DEADLINE);
            let answer = session.run(batch, kind == Kind::Begin).await;
            let class = self.class(answer, kind, OWN);
            if class != Class::Done || kind == Kind::Commit {
                return self.note(OWN, class);
            }
        }
        unreachable!("the commit returns")
    }

    async fn apply(&mut self, proxy: &sync::Arc<proxy::Proxy>) -> Class {
        let client = self.scene.client(proxy.number);
        let put = async move { apply::put(&client, &scene::request(FILE)).await };
        let run = async { Some(proxy.life.work(put).await) };
        let end = async {
            proxy.life.ended().await;
            None
        };
        let answer = futures_lite::future::or(run, end).await;
        let files = self.scene.service.files();
        let held = files.iter().find(|file| file.id == FILE);
        match answer {
            Some(Ok(apply::Verdict::Applied(revision))) => {
                if held.is_none_or(|file| file.revision != revision) {
                    self.broken.push(format!("the apply is not in {files:?}"));
                }
                Class::Done
            }
            Some(Ok(apply::Verdict::Lost(_)) | Err(border::Failure::NotRun(_))) => {
                if held.is_some() {
                    self.broken
                        .push(format!("an apply that was lost is in {files:?}"));
                }
                Class::NotRun
            }
            _ => Class::Unknown,
        }
    }

    /// As the daemon does: tells the others, lets the work end, gives its lease back.
    async fn drain(&mut self, proxy: &sync::Arc<proxy::Proxy>) -> Class {
        let enrolment = self.enrolled.take().expect("prepared");
        let patience = DEADLINE;
        let mut session = proxy.session();
        let batch = session.batch(Kind::Write, OWN, patience);
        let telling = enrolment.clone();
        let tell = proxy
            .life
            .work(async move { telling.mark_draining().await });
        let tell = futures_lite::future::or(tell, proxy.life.ended());
        let (answer, ()) = future::join(session.run(batch, false), tell).await;
        let class = self.class(answer, Kind::Write, OWN);
        let leave = proxy
            .life
            .work(async move { enrolment.revoke_lease().await });
        futures_lite::future::or(leave, proxy.life.ended()).await;
        if !proxy.life.gone() {
            let left = !self.scene.service.holds(&shutdown::key(proxy));
            if !left && self.cell.fault != fault::Fault::StoreDown {
                self.broken.push("the lease was not given back".to_owned());
            }
            proxy.group.revoke();
            let settled = || proxy.group.trim_to_share();
            self.wait("the end of all work", RECOVERY, settled).await;
            proxy.life.end();
        }
        self.note(OWN, class)
    }

    async fn enrol(&mut self) {
        let proxy = self.scene.proxies()[0].clone();
        let enrolment = shutdown::enrolment(&self.scene, &proxy);
        let (service, key) = (self.scene.service.clone(), shutdown::key(&proxy));
        self.wait("the registration", RECOVERY, || service.holds(&key))
            .await;
        self.enrolled = Some(enrolment);
        self.scene.world.lock().effort = EFFORT;
    }

    async fn write(&mut self, proxy: &sync::Arc<proxy::Proxy>, patience: time::Duration) -> Class {
        let request = self.next;
        self.next += 1;
        let mut session = proxy.session();
        let batch = session.batch(Kind::Write, request, patience);
        let answer = session.run(batch, false).await;
        if let Some(Ok(reply)) = &answer {
            self.token = reply.stamp.unwrap_or(self.token);
        }
        let class = self.class(answer, Kind::Write, request);
        self.note(request, class)
    }

    async fn read(
        &mut self,
        proxy: &sync::Arc<proxy::Proxy>,
        started: bool,
        patience: time::Duration,
    ) -> Class {
        let before: Vec<u64> = self.confirmed().collect();
        let mut session = proxy.session();
        let plain = session.batch(Kind::Read, OWN, patience);
        let batch = match self.cell.operation {
            Operation::TokenRead if started => proxy::with_token(plain, self.token),
            Operation::AgedRead if started => proxy::aged(plain),
            _ => plain,
        };
        let answer = session.run(batch, started).await;
        if let Some(Ok(reply)) = &answer {
            let rows = upstream::rows(reply, Kind::Read, OWN).unwrap_or_default();
            self.shown.extend(&rows);
            let missing: Vec<_> = before.iter().filter(|held| !rows.contains(held)).collect();
            if !missing.is_empty() {
                self.broken.push(format!("a read lacks {missing:?}"));
            }
        }
        self.class(answer, Kind::Read, OWN)
    }

    /// Writes until one is confirmed in a later term than the first.
    async fn promotion(&mut self) -> Class {
        let end = self.now() + PROMOTION;
        while self.now() < end {
            async_io::Timer::after(LOOK_EVERY).await;
            let replaced = self
                .scene
                .world
                .lock()
                .primary()
                .is_some_and(|index| index != 0);
            let running = self.scene.proxies().into_iter();
            let running: Vec<_> = running.filter(|proxy| proxy.life.runs()).collect();
            let Some(proxy) = running.get(self.attempts.len() % running.len().max(1)) else {
                continue;
            };
            if replaced && self.write(proxy, TRY).await == Class::Done {
                return Class::Done;
            }
        }
        Class::Later
    }

    /// Everything works again, also through a proxy that knows nothing of the past.
    async fn recover(&mut self) {
        let fresh = self.scene.enter(0);
        let end = self.now() + RECOVERY;
        while self.write(&fresh, DEADLINE).await != Class::Done {
            if self.now() >= end {
                self.broken
                    .push("no write succeeds after the fault".to_owned());
                return;
            }
        }
        if self.read(&fresh, false, RECOVERY).await != Class::Done {
            self.broken
                .push("no read succeeds after the fault".to_owned());
        }
        let (nodes, service) = (self.followed.clone(), self.scene.service.clone());
        let current = || {
            let newest = service.files().last().map(|file| file.revision);
            let adopted = nodes.adopted();
            adopted
                .iter()
                .all(|adopted| adopted.last().copied() == newest)
        };
        self.wait("the file in force", RECOVERY, current).await;
        let world = self.scene.world.clone();
        let converged = || world.lock().converged();
        self.wait("one log", RECOVERY, converged).await;
        if !converged() {
            let statuses = world
                .lock()
                .instances
                .iter()
                .map(instance::Instance::status)
                .collect::<Vec<_>>();
            self.broken.push(format!("left with {statuses:?}"));
        }
    }

    fn check(&mut self) {
        let mut broken = Vec::new();
        let state = self.scene.world.lock();
        let log: Vec<u64> = state
            .primary()
            .map(|index| state.instances[index].writes().collect())
            .unwrap_or_default();
        for Attempt { request, class } in &self.attempts {
            let count = log.iter().filter(|held| *held == request).count();
            if *class == Class::Done && count != 1 {
                broken.push(format!("confirmed write {request} is there {count} times"));
            }
            if *class == Class::NotRun && state.ever.contains(request) {
                broken.push(format!("write {request} ran, though told not run"));
            }
        }
        let distinct: collections::BTreeSet<_> = log.iter().collect();
        if distinct.len() != log.len() || !state.doubled.is_empty() {
            broken.push(format!("records stand twice: {:?}", state.doubled));
        }
        let vanished: Vec<_> = self
            .shown
            .iter()
            .filter(|shown| !log.contains(shown))
            .collect();
        if !vanished.is_empty() {
            broken.push(format!("reads showed {vanished:?}, which are gone"));
        }
        for (term, instances) in &state.reigns {
            if instances.len() > 1 {
                broken.push(format!("term {term} has primaries {instances:?}"));
            }
        }
        drop(state);
        self.broken.extend(broken);
        self.check_revisions();
    }

    fn check_revisions(&mut self) {
        let files = self.scene.service.files();
        let revisions: Vec<_> = files.iter().map(|file| file.revision).collect();
        let rises = |revisions: &[id::Revision]| revisions.is_sorted_by(|one, two| one < two);
        if !rises(&revisions) {
            self.broken.push(format!("revisions went {revisions:?}"));
        }
        for adopted in self.followed.adopted() {
            if !rises(&adopted) || adopted.last() != revisions.last() {
                let words = format!("a node adopted {adopted:?} of {revisions:?}");
                self.broken.push(words);
            }
        }
        let applied = scene::lock(&self.scene.applied);
        let in_force = |answer: &&scene::Applied| matches!(answer, Ok(apply::Verdict::Applied(_)));
        let count = applied.iter().filter(in_force).count();
        if count > revisions.len() {
            let words = format!("{count} applies in force, revisions {revisions:?}");
            self.broken.push(words);
        }
    }

    fn confirmed(&self) -> impl Iterator<Item = u64> + '_ {
        let done = self.attempts.iter();
        done.filter(|attempt| attempt.class == Class::Done)
            .map(|attempt| attempt.request)
    }

    fn note(&mut self, request: u64, class: Class) -> Class {
        self.attempts.push(Attempt { request, class });
        class
    }

    fn class(&mut self, answer: Option<proxy::Answer>, kind: Kind, request: u64) -> Class {
        match answer {
            None | Some(Err(outcome::Outcome::Unknown { .. })) => Class::Unknown,
            Some(Err(outcome::Outcome::NotRun { .. })) => Class::NotRun,
            Some(Ok(reply)) => {
                if upstream::rows(&reply, kind, request).is_none() {
                    self.broken
                        .push(format!("{reply:?} is not {kind:?} {request}"));
                }
                if reply.error.is_some() {
                    return Class::NotRun;
                }
                Class::Done
            }
        }
    }

    async fn wait(&mut self, what: &str, patience: time::Duration, check: impl Fn() -> bool) {
        let end = self.now() + patience;
        while !check() {
            if self.now() >= end {
                self.broken.push(format!("{what} never came"));
                return;
            }
            async_io::Timer::after(LOOK_EVERY).await;
        }
    }

    fn now(&self) -> id::Time {
        self.scene.world.clock.now()
    }
}
