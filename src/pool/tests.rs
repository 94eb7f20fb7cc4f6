use std::cmp;
use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_util::FutureExt;
use futures_util::future;

use crate::admission;
use crate::clock;
use crate::id;
use crate::outcome;
use crate::pool;
use crate::reply;
use crate::status;
use crate::transaction;
use crate::upstream;

const SERVICE_TIME: time::Duration = time::Duration::from_millis(10);
const TIMEOUT: time::Duration = time::Duration::from_millis(200);
const DURATION: time::Duration = time::Duration::from_secs(10);
const LIMIT: pool::Limit = pool::Limit {
    connections: 6,
    slots: 3,
};
/// Requests per second that the slots can serve.
const CAPACITY: f64 = 300.0;

type Wake = async_channel::Sender<()>;

/// Simulation in virtual time, which advances only when no task can run.
#[derive(Default)]
struct Simulation {
    now: sync::Mutex<id::Time>,
    sleepers: sync::Mutex<collections::BTreeMap<(id::Time, usize), Wake>>,
    sleeps: atomic::AtomicUsize,
    connections: Peak,
    running: Peak,
}

/// Concurrency counter with its maximum.
#[derive(Default)]
struct Peak {
    count: atomic::AtomicUsize,
    max: atomic::AtomicUsize,
}

impl Peak {
    fn enter(&self) {
        let count = self.count.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        self.max.fetch_max(count, atomic::Ordering::SeqCst);
    }

    fn leave(&self) {
        self.count.fetch_sub(1, atomic::Ordering::SeqCst);
    }

    fn max(&self) -> usize {
        self.max.load(atomic::Ordering::SeqCst)
    }
}

impl clock::Clock for Simulation {
    fn now(&self) -> id::Time {
        *self.now.lock().unwrap()
    }
}

impl Simulation {
    async fn sleep(&self, until: id::Time) {
        let number = self.sleeps.fetch_add(1, atomic::Ordering::SeqCst);
        let (wake, woken) = async_channel::bounded(1);
        self.sleepers.lock().unwrap().insert((until, number), wake);
        woken.recv().await.unwrap();
    }

    /// Runs all tasks to completion.
    fn run_to_completion(&self, executor: &async_executor::Executor<'_>) {
        loop {
            while executor.try_tick() {}
            let next = self.sleepers.lock().unwrap().pop_first();
            let Some(((time, _), wake)) = next else {
                return;
            };
            let mut now = self.now.lock().unwrap();
            *now = cmp::max(*now, time);
            drop(now);
            wake.try_send(()).unwrap();
        }
    }
}

/// Instance with a constant service time.
struct Instance(sync::Arc<Simulation>);

type Failed = upstream::Failure;

impl upstream::Upstream for Instance {
    fn status(&self) -> future::BoxFuture<'_, Result<status::Status, Failed>> {
        future::ready(Err(Failed::NotRun("not asked here".into()))).boxed()
    }

    fn fence(&self, _: id::Term) -> future::BoxFuture<'_, Result<status::Status, Failed>> {
        self.status()
    }

    fn promote(&self, _: id::Term) -> future::BoxFuture<'_, Result<status::Status, Failed>> {
        self.status()
    }

    fn open(&self) -> future::BoxFuture<'_, Result<Box<dyn upstream::Connection>, Failed>> {
        self.0.connections.enter();
        let connection: Box<dyn upstream::Connection> = Box::new(Connection(self.0.clone()));
        future::ready(Ok(connection)).boxed()
    }
}

struct Connection(sync::Arc<Simulation>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.connections.leave();
    }
}

impl upstream::Connection for Connection {
    fn incarnation(&self) -> id::Incarnation {
        1
    }

    fn run<'a>(
        &'a mut self,
        _: &'a [crate::frame::Frame],
    ) -> future::BoxFuture<'a, Result<reply::Reply, Failed>> {
        let run = async {
            self.0.running.enter();
            let now = clock::Clock::now(&*self.0);
            self.0.sleep(now + SERVICE_TIME).await;
            self.0.running.leave();
            Ok(reply::Reply {
                frames: vec![],
                transaction: transaction::State::Idle,
                stamp: None,
                error: None,
            })
        };
        run.boxed()
    }
}

/// Result of one request.
struct Completion {
    ticket: admission::Ticket,
    answered: bool,
    at: id::Time,
}

async fn request(
    simulation: &Simulation,
    pool: &pool::Pool,
    ticket: admission::Ticket,
) -> Completion {
    simulation.sleep(ticket.arrived).await;
    let slot = pool.acquire_slot(ticket).await;
    let answered = slot.is_ok();
    match slot {
        Ok(slot) => {
            let mut guard = pool.checkout(Some(1)).await.unwrap();
            guard.slot = Some(slot);
            guard.connection.run(&[]).await.unwrap();
            pool.put_back(guard);
        }
        Err(outcome) => assert!(matches!(outcome, outcome::Outcome::NotRun { .. })),
    }
    Completion {
        ticket,
        answered,
        at: clock::Clock::now(simulation),
    }
}

/// Requests with exponential interarrival times at `rate` per second; `callers` gives the caller
/// of each request number.
fn arrivals(
    callers: impl Fn(u64) -> u64,
    rate: f64,
    random: &mut fastrand::Rng,
) -> Vec<admission::Ticket> {
    let mut at = 0.0;
    let mut tickets = Vec::new();
    while at < DURATION.as_secs_f64() {
        at -= (1.0 - random.f64()).ln() / rate;
        let arrived = time::Duration::from_secs_f64(at);
        let number = u64::try_from(tickets.len()).unwrap();
        tickets.push(admission::Ticket {
            request: number,
            caller: callers(number),
            priority: admission::Priority::Fresh,
            deadline: arrived + TIMEOUT,
            arrived,
        });
    }
    tickets
}

/// Runs all requests and asserts that the limits of slots and connections were kept.
fn run(tickets: Vec<admission::Ticket>) -> Vec<Completion> {
    let simulation = sync::Arc::new(Simulation::default());
    let upstream = sync::Arc::new(Instance(simulation.clone()));
    let pool = pool::Pool::new(upstream, LIMIT, simulation.clone());
    let (ended, completions) = async_channel::unbounded();
    let count = tickets.len();
    let executor = async_executor::Executor::new();
    for ticket in tickets {
        let (simulation, pool, ended) = (&simulation, &pool, ended.clone());
        let task = async move { ended.send(request(simulation, pool, ticket).await).await };
        executor.spawn(task).detach();
    }
    simulation.run_to_completion(&executor);
    assert!(simulation.running.max() <= LIMIT.slots);
    assert!(simulation.connections.max() <= LIMIT.connections);
    let completions: Vec<Completion> = std::iter::from_fn(|| completions.try_recv().ok()).collect();
    assert_eq!(completions.len(), count);
    completions
}

fn answered(completions: &[Completion]) -> usize {
    completions
        .iter()
        .filter(|completion| completion.answered)
        .count()
}

/// Guards against a collapse of goodput at three times the capacity. When more requests arrive
/// than the slots can serve, for longer than a deadline, each waits past its deadline and the
/// slots are spent on late answers.
#[test]
fn overload_keeps_the_goodput_without_late_answers() {
    for seed in 1..=3 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut load = |factor| run(arrivals(|number| number, CAPACITY * factor, &mut random));
        let peak = [0.8, 1.0, 1.2].map(|factor| answered(&load(factor)));
        let peak = peak.into_iter().max().unwrap();
        let completions = load(3.0);
        assert!(answered(&completions) * 10 >= peak * 9, "seed {seed}");
        assert!(
            completions
                .iter()
                .all(|completion| completion.at <= completion.ticket.deadline)
        );
    }
}

/// Guards against one caller starving another. One sends three times what the instance can serve,
/// the other a tenth of it. Without turns, a caller with more waiting requests gets more slots.
#[test]
fn a_flooding_caller_does_not_starve_another() {
    for seed in 1..=3 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut tickets = arrivals(|_| 1, CAPACITY * 3.0, &mut random);
        tickets.extend(arrivals(|_| 2, CAPACITY / 10.0, &mut random));
        let completions = run(tickets);
        let of = |caller| {
            completions
                .iter()
                .filter(move |completion| completion.ticket.caller == caller)
        };
        assert!(of(2).all(|completion| completion.answered), "seed {seed}");
        assert!(of(1).any(|completion| !completion.answered));
        assert!(
            completions
                .iter()
                .all(|completion| completion.at <= completion.ticket.deadline)
        );
    }
}
