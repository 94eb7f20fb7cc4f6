//! Fair queueing in a pool whose connections are lent to other nodes. Guards against statements of
//! one organisation that keep those of others from permits and connections.

mod cluster;

use std::cell;
use std::rc;
use std::time;

use futures_lite::future as poll;
use futures_util::FutureExt;
use futures_util::future;
use mangotray_desk::boot;
use mangotray_desk::checkout;
use mangotray_desk::connection;
use mangotray_desk::lending::shard;
use mangotray_desk::load::options;
use mangotray_desk::organisation;
use mangotray_desk::pool;
use mangotray_desk::reply;
use mangotray_desk::room::size;
use mangotray_desk::upstream;
use mangotray_desk::urgency;
use mangotray_desk::wait;

const LIMIT: time::Duration = time::Duration::from_secs(5);

/// An organisation whose connections are held by the same lending node as those of "large".
const SMALL: &str = "small";

/// Time that an instance takes for each exchange.
const WORK: time::Duration = time::Duration::from_millis(15);

/// Opens connections on which each exchange takes [`WORK`].
struct Dialer {
    inner: cluster::Dialer,
    /// Whether they lead to lending nodes, and serve any organisation.
    links: bool,
}

struct Connection {
    inner: Box<dyn upstream::Connection>,
    organisation: organisation::Name,
    links: bool,
}

impl upstream::Dialer for Dialer {
    fn dial<'a>(
        &'a self,
        target: &'a upstream::Target,
    ) -> future::LocalBoxFuture<'a, Result<upstream::Dialled, upstream::Refusal>> {
        async move {
            let (inner, position) = self.inner.dial(target).await?;
            let link: Box<dyn upstream::Connection> = Box::new(Connection {
                inner,
                organisation: target.organisation.clone(),
                links: self.links,
            });
            Ok((link, position))
        }
        .boxed_local()
    }

    fn status(&self, reply: &reply::Reply) -> Option<upstream::Status> {
        self.inner.status(reply)
    }

    fn is_shared(&self, _target: &upstream::Target) -> bool {
        self.links
    }
}

impl upstream::Connection for Connection {
    fn run<'a>(
        &'a mut self,
        commands: &'a [upstream::Command],
        urgency: urgency::Urgency,
        organisation: &'a organisation::Name,
    ) -> future::LocalBoxFuture<'a, Result<Vec<reply::Reply>, upstream::Failure>> {
        async move {
            wait::sleep(WORK).await;
            let organisation = if self.links {
                &self.organisation
            } else {
                organisation
            };
            self.inner.run(commands, urgency, organisation).await
        }
        .boxed_local()
    }

    fn alive(&mut self) -> bool {
        self.inner.alive()
    }

    fn serves_any_organisation(&self) -> bool {
        self.links
    }

    fn silence_timeout(&self) -> time::Duration {
        self.inner.silence_timeout()
    }
}

/// A pool with fair queueing, of a node that lends its connections if `lends`.
fn pool(
    cluster: &cluster::Cluster,
    max_connections: usize,
    max_statements: usize,
    lends: bool,
) -> rc::Rc<pool::Pool> {
    let dialer = Dialer {
        inner: cluster::Dialer(rc::Rc::clone(&cluster.world)),
        links: false,
    };
    pool_of(
        cluster,
        rc::Rc::new(dialer),
        max_connections,
        max_statements,
        lends,
    )
}

fn pool_of(
    cluster: &cluster::Cluster,
    dialer: rc::Rc<dyn upstream::Dialer>,
    max_connections: usize,
    max_statements: usize,
    lends: bool,
) -> rc::Rc<pool::Pool> {
    let instance = cluster.world.borrow().list().remove(0);
    let executor = rc::Rc::clone(&cluster.executor);
    let size = size::Size {
        max_connections,
        max_statements,
        lends,
        ..size::Size::shared()
    };
    let options = options::Options {
        fair_queueing: true,
        ..options::Options::default()
    };
    let pool = pool::Pool::new(instance, dialer, executor, size);
    rc::Rc::new(pool.with_options(options))
}

fn urgency(priority: u8) -> urgency::Urgency {
    let now = boot::now();
    urgency::Urgency {
        priority,
        objective: time::Duration::from_millis(250),
        due: now + time::Duration::from_millis(250),
        until: now + LIMIT,
        awaited: now + LIMIT,
    }
}

async fn check_out(pool: &rc::Rc<pool::Pool>, name: &'static str) -> checkout::Checkout {
    let values = connection::Values::new();
    let organisation = organisation::Name::from(name);
    let deadline = boot::now() + LIMIT;
    let checkout = pool.check_out(urgency(1), &organisation, &values, deadline);
    checkout.await.expect("a connection")
}

type Done = rc::Rc<cell::RefCell<Vec<&'static str>>>;

async fn run(mut checkout: checkout::Checkout, name: &'static str, done: Done) {
    let read = cluster::read(name);
    let replies = checkout.run(&read, boot::now() + LIMIT).await;
    replies.expect("an answer");
    done.borrow_mut().push(name);
}

/// The order in which an organisation with forty reads and, behind them, one with a single read are
/// answered over one connection.
fn read_order(cluster: &cluster::Cluster, pool: &rc::Rc<pool::Pool>) -> Vec<&'static str> {
    let done = Done::default();
    cluster.run(async {
        let names = ["large"; 40].into_iter().chain([SMALL]);
        let reads = names.map(|name| {
            let (pool, done) = (rc::Rc::clone(pool), rc::Rc::clone(&done));
            let read = async move { run(check_out(&pool, name).await, name, done).await };
            cluster.executor.spawn(read)
        });
        future::join_all(reads.collect::<Vec<_>>()).await;
    });
    done.take()
}

/// Guards against an organisation that keeps an instance's only free connection for as long as any
/// of its requests wait.
#[test]
fn a_connection_changes_hands_while_its_organisation_still_waits() {
    let position = |lends| {
        let cluster = cluster::Cluster::new();
        let order = read_order(&cluster, &pool(&cluster, 1, 1, lends));
        order.iter().position(|name| *name == SMALL)
    };
    assert_eq!(
        position(false),
        Some(40),
        "not where nodes connect directly"
    );
    assert!(position(true) < Some(20), "{:?}", position(true));
}

/// Guards against an organisation that keeps the only link to a lending node, which serves others
/// as well, for as long as any of its requests wait.
#[test]
fn a_link_to_a_lending_node_goes_to_the_next_in_turn() {
    let cluster = cluster::Cluster::new();
    let dialer = Dialer {
        inner: cluster::Dialer(rc::Rc::clone(&cluster.world)),
        links: true,
    };
    assert_eq!(shard::of(&"large".into()), shard::of(&SMALL.into()));
    let pool = pool_of(&cluster, rc::Rc::new(dialer), 1, 1, false);
    let order = read_order(&cluster, &pool);
    let small = order.iter().position(|name| *name == SMALL);
    assert!(small < Some(10), "{order:?}");
}

/// Guards against the statements of one organisation's many open transactions that go before all
/// others, as they arrived earlier.
#[test]
fn statements_get_permits_by_turns() {
    let order = |lends| {
        let cluster = cluster::Cluster::new();
        let pool = pool(&cluster, 20, 1, lends);
        let done = Done::default();
        cluster.run(async {
            let mut checkouts = Vec::new();
            let names = ["large"; 9].into_iter().chain([SMALL]);
            for name in names.chain(["large"; 9]) {
                let mut checkout = check_out(&pool, name).await;
                let begin = [upstream::Command::Begin {
                    id: "begin".into(),
                    read_only: true,
                    after: None,
                }];
                let replies = checkout.run(&begin, boot::now() + LIMIT);
                replies.await.expect("an open transaction");
                checkouts.push((name, checkout));
            }
            let statements = checkouts.into_iter().map(|(name, mut checkout)| {
                checkout.set_urgency(urgency(1));
                cluster
                    .executor
                    .spawn(run(checkout, name, rc::Rc::clone(&done)))
            });
            future::join_all(statements.collect::<Vec<_>>()).await;
        });
        done.take()
    };
    let small = |order: &[&str]| order.iter().position(|name| *name == SMALL);
    let (by_urgency, by_turns) = (order(false), order(true));
    assert!(small(&by_urgency) >= Some(9), "{by_urgency:?}");
    assert!(small(&by_turns) < Some(5), "{by_turns:?}");
}

/// Guards against statements that wait beside an idle instance: the one that was woken had left
/// before it could continue.
#[test]
fn a_place_is_not_lost_with_a_caller_that_leaves() {
    let cluster = cluster::Cluster::new();
    let pool = pool(&cluster, 6, 1, true);
    cluster.run(async {
        let mut first = check_out(&pool, "one").await;
        let mut second = check_out(&pool, "two").await;
        let begin = [upstream::Command::Begin {
            id: "begin".into(),
            read_only: true,
            after: None,
        }];
        let limit = boot::now() + LIMIT;
        let replies = second.run(&begin, limit).await;
        replies.expect("an open transaction");
        let mut third = check_out(&pool, "three").await;
        for _ in 0..2 {
            // Served more than the second one, so that it comes after it.
            let replies = third.run(&begin, limit).await;
            replies.expect("an open transaction");
        }
        let read = cluster::read("read");
        let mut busy = first.run(&read, limit).boxed_local();
        assert!(poll::poll_once(&mut busy).await.is_none());
        let mut leaving = second.run(&read, limit).boxed_local();
        assert!(poll::poll_once(&mut leaving).await.is_none());
        let mut last = third.run(&read, limit).boxed_local();
        assert!(poll::poll_once(&mut last).await.is_none());
        // The permit goes to the second one, which is dropped before it runs.
        busy.await.expect("an answer");
        drop(leaving);
        last.await.expect("the place was passed on");
    });
}

/// Guards against a pool that closes connections of organisations which need them again at once:
/// the statements of few organisations are most of all.
#[test]
fn skewed_use_opens_fewer_connections() {
    const STATEMENTS: usize = 2000;
    let opened = |lends| {
        let cluster = cluster::Cluster::new();
        let dialer = cluster::Dialer(rc::Rc::clone(&cluster.world));
        let pool = pool_of(&cluster, rc::Rc::new(dialer), 9, 4, lends);
        let weights: Vec<f64> = (1..=73).map(|rank| 1.0 / f64::from(rank)).collect();
        let mut random = fastrand::Rng::with_seed(3);
        cluster.run(async {
            for _ in 0..STATEMENTS {
                let mut draw = random.f64() * weights.iter().sum::<f64>();
                let drawn = weights.iter().position(|weight| {
                    draw -= weight;
                    draw < 0.0
                });
                let name = compact_str::format_compact!("o{}", drawn.unwrap_or_default());
                let values = connection::Values::new();
                let deadline = boot::now() + LIMIT;
                let checkout = pool.check_out(urgency(1), &name, &values, deadline);
                let read = cluster::read("read");
                let mut checkout = checkout.await.expect("a connection");
                let replies = checkout.run(&read, deadline).await;
                replies.expect("an answer");
            }
        });
        cluster.world.borrow().connections
    };
    let (by_worth, by_last_use) = (opened(true), opened(false));
    println!(
        "{STATEMENTS} statements: {by_worth} new connections by worth, {by_last_use} by last use"
    );
    assert!(by_worth * 100 < by_last_use * 90);
}
