use std::sync;
use std::sync::atomic;
use std::time;

use assert_matches::assert_matches;
use futures_util::FutureExt;
use futures_util::future;

use crate::batch;
use crate::board;
use crate::class;
use crate::clock;
use crate::declaration;
use crate::direct;
use crate::frame;
use crate::group;
use crate::id;
use crate::lane::Lane;
use crate::outcome;
use crate::path;
use crate::platform::fake;
use crate::policy;
use crate::pool;
use crate::reason;
use crate::reply;
use crate::retry;
use crate::role;
use crate::stamp;
use crate::status;
use crate::term;
use crate::upstream;

pub(crate) const START: id::Time = time::Duration::from_secs(100);
pub(crate) const BATCH_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Clock that advances only when a test calls `advance`.
pub(crate) struct ManualClock(sync::Mutex<id::Time>);

impl clock::Clock for ManualClock {
    fn now(&self) -> id::Time {
        *self.0.lock().unwrap()
    }
}

/// Shared behaviour of the test's instances.
#[derive(Default)]
pub(crate) struct Upstreams {
    pub(crate) sent: atomic::AtomicUsize,
    /// Number of batches whose connection is lost; later connections are refused.
    lost: usize,
}

struct Instance(sync::Arc<Upstreams>);

type Failure = upstream::Failure;

impl upstream::Upstream for Instance {
    fn status(&self) -> future::BoxFuture<'_, Result<status::Status, Failure>> {
        future::ready(Err(Failure::NotRun("not implemented in this test".into()))).boxed()
    }

    fn fence(&self, _: id::Term) -> future::BoxFuture<'_, Result<status::Status, Failure>> {
        self.status()
    }

    fn promote(&self, _: id::Term) -> future::BoxFuture<'_, Result<status::Status, Failure>> {
        self.status()
    }

    fn open(&self) -> future::BoxFuture<'_, Result<Box<dyn upstream::Connection>, Failure>> {
        let sent = self.0.sent.load(atomic::Ordering::SeqCst);
        let connection: Box<dyn upstream::Connection> = Box::new(Connection(self.0.clone()));
        let refused = Err(Failure::NotRun("refused".into()));
        let answer = if sent < self.0.lost {
            Ok(connection)
        } else {
            refused
        };
        future::ready(answer).boxed()
    }
}

struct Connection(sync::Arc<Upstreams>);

impl upstream::Connection for Connection {
    fn incarnation(&self) -> id::Incarnation {
        1
    }

    fn run<'a>(
        &'a mut self,
        _: &'a [frame::Frame],
    ) -> future::BoxFuture<'a, Result<reply::Reply, Failure>> {
        self.0.sent.fetch_add(1, atomic::Ordering::SeqCst);
        future::ready(Err(Failure::Unknown("reset by peer".into()))).boxed()
    }
}

/// A group whose background tasks never run; the test sets the state on its board.
pub(crate) struct Setup {
    pub(crate) group: sync::Arc<group::Group>,
    pub(crate) clock: sync::Arc<ManualClock>,
    pub(crate) upstreams: sync::Arc<Upstreams>,
}

const DECLARATION: &str = "[group g]\ndatabase = d\n\
    instances = a@x:10.0.0.1:5, b@y:10.0.0.2:5, c@z:10.0.0.3:5\n\
    connections = 20\nslots = 3\ndeadline = 2s\n";

pub(crate) fn setup(lost: usize) -> Setup {
    let clock = sync::Arc::new(ManualClock(sync::Mutex::new(START)));
    let upstreams = sync::Arc::new(Upstreams {
        lost,
        ..Upstreams::default()
    });
    let declaration = declaration::Declaration::parse(DECLARATION).unwrap();
    let instance =
        || sync::Arc::new(Instance(upstreams.clone())) as sync::Arc<dyn upstream::Upstream>;
    let limit = pool::Limit {
        connections: 6,
        slots: 3,
    };
    let group = group::Group::start(group::Parts {
        declaration: declaration.catalog.groups[0].clone(),
        upstreams: (0..3).map(|_| instance()).collect(),
        limit,
        terms: sync::Arc::new(term::Registry::new(
            fake::Fake::new(&[]),
            "g",
            "vm".into(),
            1,
        )),
        clock: clock.clone(),
        domain: "x".into(),
        policy: policy::Policy::Default,
        rank: 0,
        executor: sync::Arc::default(),
    });
    group.set_share(limit, START * 10);
    let setup = Setup {
        group,
        clock,
        upstreams,
    };
    (0..3).for_each(|index| setup.report_position(index, 5));
    setup
}

impl Setup {
    fn report_position(&self, index: id::Index, position: id::Position) {
        let now = clock::Clock::now(&*self.clock);
        let primary = index == 0;
        let observation = board::Observation {
            started: now,
            finished: now,
            status: status::Status {
                stamp: stamp::Stamp::new(1, position),
                fence: 1,
                role: if primary {
                    role::Role::Primary
                } else {
                    role::Role::Replica
                },
                voter: true,
                incarnation: 1,
            },
        };
        self.group.watch.record_answer(index, observation);
    }

    pub(crate) fn advance(&self, time: time::Duration) {
        *self.clock.0.lock().unwrap() += time;
    }

    pub(crate) fn batch(&self, class: class::Class, timeout: time::Duration) -> batch::Batch {
        let now = clock::Clock::now(&*self.clock);
        batch::Batch {
            request: 1,
            caller: 1,
            frames: vec![],
            class,
            mixed: false,
            own: None,
            tables: vec![],
            token: None,
            arrived: now,
            deadline: now + timeout,
        }
    }

    fn run(&self, class: class::Class) -> outcome::Outcome {
        let mut lane = direct::Lane::new(self.group.clone());
        async_io::block_on(lane.run(self.batch(class, BATCH_TIMEOUT))).unwrap_err()
    }

    fn primary(&self, timeout: time::Duration) -> Result<id::Index, outcome::Outcome> {
        let path = path::Path::new(self.group.clone());
        let place = async_io::block_on(path.primary(&self.batch(class::Class::Write, timeout)));
        place.map(|place| place.index)
    }
}

fn is_refused_for(result: &Result<id::Index, outcome::Outcome>, expected: reason::Reason) -> bool {
    matches!(result, Err(outcome::Outcome::NotRun { reason, retry: Some(_), .. }) if *reason == expected)
}

/// Guards against reporting a read as not run although an instance may have run it. Its first
/// connection is lost and no other instance accepts it, and only the outcome of the last attempt
/// is reported.
#[test]
fn a_read_that_was_sent_and_lost_ends_unknown() {
    for class in [class::Class::Read, class::Class::BeginRead] {
        let setup = setup(1);
        assert_matches!(setup.run(class), outcome::Outcome::Unknown { .. });
        assert_eq!(setup.upstreams.sent.load(atomic::Ordering::SeqCst), 1);
    }
}

#[test]
fn a_read_that_was_never_sent_ends_as_not_run() {
    let outcome = setup(0).run(class::Class::Read);
    assert_matches!(outcome, outcome::Outcome::NotRun { retry: Some(_), .. });
}

/// Guards against overloading a returning instance with retries. The retry budget is spent and a
/// read is lost, and it is sent again without regard to the shared budget.
#[test]
fn a_read_is_not_sent_again_without_budget() {
    let setup = setup(usize::MAX);
    let now = clock::Clock::now(&*setup.clock);
    setup.run(class::Class::Read);
    let sent = setup.upstreams.sent.swap(0, atomic::Ordering::SeqCst);
    assert_eq!(sent, usize::try_from(retry::MAX_ATTEMPTS).unwrap());
    while setup.group.retry_budget().take_retry(now) {}
    assert_matches!(
        setup.run(class::Class::Read),
        outcome::Outcome::Unknown { .. }
    );
    assert_eq!(setup.upstreams.sent.load(atomic::Ordering::SeqCst), 1);
}

/// Guards against sending reads to an instance that answers none while others work. It answers
/// status probes but fails each request, and the choice depends on the probes alone.
#[test]
fn an_instance_with_an_open_breaker_is_not_chosen() {
    let setup = setup(0);
    let board = setup.group.watch.board();
    let floor = stamp::Stamp::new(1, 5);
    let chosen = setup.group.choose(&board, floor, &[]).unwrap();
    let pool = setup.group.pool(chosen);
    while let Some(permit) = pool.permit() {
        assert_eq!(setup.group.choose(&board, floor, &[]), Some(chosen));
        pool.record_result(permit, false);
    }
    assert_ne!(setup.group.choose(&board, floor, &[]), Some(chosen));
}

/// Guards against an unknown outcome of a write that the caller could have repeated elsewhere.
/// The replicas answer but make no progress, so nothing is confirmed, and the write runs although
/// its confirmation cannot arrive in time.
#[test]
fn a_write_that_cannot_be_confirmed_in_time_is_refused() {
    let setup = setup(0);
    setup.report_position(0, 9);
    setup.advance(time::Duration::from_secs(4));
    let wait = time::Duration::from_secs(10);
    assert_eq!(setup.primary(wait), Ok(0));
    assert_eq!(setup.primary(BATCH_TIMEOUT), Ok(0), "the trial");
    assert!(is_refused_for(
        &setup.primary(BATCH_TIMEOUT),
        reason::Reason::NoMajority
    ));
    setup.advance(time::Duration::from_secs(1));
    assert_eq!(setup.primary(BATCH_TIMEOUT), Ok(0), "the next trial");
    setup.report_position(1, 9);
    assert_eq!(setup.primary(BATCH_TIMEOUT), Ok(0));
    assert_eq!(setup.primary(BATCH_TIMEOUT), Ok(0));
}

#[test]
fn too_few_instances_are_told_from_a_missing_primary() {
    let none = time::Duration::ZERO;
    let setup = setup(0);
    setup.group.watch.record_failure(0);
    assert!(is_refused_for(
        &setup.primary(none),
        reason::Reason::NoPrimary
    ));
    setup.group.watch.record_failure(1);
    assert!(is_refused_for(
        &setup.primary(none),
        reason::Reason::NoMajority
    ));
}
