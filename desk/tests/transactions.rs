//! The bound on open transactions. Guards against callers that are idle in transaction and occupy
//! all connections of an instance, while its slots are free.

mod cluster;

use std::rc;
use std::time;

use mangotray_desk::boot;
use mangotray_desk::lending::relay;
use mangotray_desk::load::options;
use mangotray_desk::organisation;
use mangotray_desk::pool;
use mangotray_desk::room::size;
use mangotray_desk::room::transactions;
use mangotray_desk::upstream;
use mangotray_desk::urgency;
use mangotray_desk::wait;

const LIMIT: time::Duration = time::Duration::from_secs(5);
const SHORT: time::Duration = time::Duration::from_millis(100);
const IDLE_TIMEOUT: u64 = 3000;

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

/// What became of transactions and short statements.
#[derive(Debug, Default)]
struct Outcome {
    begun: u32,
    /// Refused before the end of their waiting time, with this end and when a place was expected.
    refused: Vec<(u64, time::Duration)>,
    /// Times at which a place came free.
    freed: Vec<u64>,
    short: u32,
    started_in_time: u32,
}

/// Simulates 9 connections and 4 slots: 120 callers that begin a transaction in the first second
/// and leave it idle, beside 60 short statements a second.
fn run(bound: usize) -> Outcome {
    const CONNECTIONS: usize = 9;
    const LATEST_START: u64 = 440;
    let mut random = fastrand::Rng::with_seed(4);
    let mut outcome = Outcome::default();
    let mut open: Vec<transactions::Open> = Vec::new();
    let mut callers: Vec<u64> = (0..120).map(|_| random.u64(..1000)).collect();
    let mut short: Vec<u64> = Vec::new();
    let mut running: Vec<u64> = Vec::new();
    for now in 0..6000 {
        let idle_since = |one: &transactions::Open| one.idle_since.unwrap_or_default();
        let ended = open.extract_if(.., |one| {
            idle_since(one) + millis(IDLE_TIMEOUT) <= millis(now)
        });
        outcome.freed.extend(ended.map(|_| now));
        callers.retain(|arrived| {
            if now < *arrived {
                return true;
            }
            if open.len() < bound && open.len() + running.len() < CONNECTIONS {
                outcome.begun += 1;
                open.push(transactions::Open {
                    organisation: "idle".into(),
                    idle_since: Some(millis(now)),
                });
                return false;
            }
            let deadline = arrived + LATEST_START;
            let end = transactions::earliest_end(&open, Some(millis(IDLE_TIMEOUT)), millis(now));
            if let Some(end) = end.filter(|end| *end > millis(deadline)) {
                outcome.refused.push((deadline, end));
                return false;
            }
            now < deadline
        });
        if random.u64(..1000) < 60 {
            short.push(now);
            outcome.short += 1;
        }
        running.retain(|end| *end > now);
        short.retain(|arrived| now < arrived + LATEST_START);
        while !short.is_empty() && running.len() < 4 && open.len() + running.len() < CONNECTIONS {
            let arrived = short.remove(0);
            outcome.started_in_time += u32::from(now <= arrived + 250);
            running.push(now + 14);
        }
    }
    outcome
}

#[test]
fn short_statements_start_in_time_beside_120_idle_transactions() {
    let bounded = run(transactions::bound(9, 5));
    let unbounded = run(usize::MAX);
    println!("bounded {bounded:?}\nunbounded {unbounded:?}");
    assert_eq!(bounded.started_in_time, bounded.short);
    assert!(unbounded.started_in_time < unbounded.short * 3 / 4);
}

/// Guards against a refusal of a transaction that would have got a place.
#[test]
fn a_transaction_is_refused_only_if_no_place_comes_free_in_time() {
    let outcome = run(transactions::bound(9, 5));
    assert!(!outcome.refused.is_empty());
    let freed = outcome.freed.first().expect("a transaction has ended");
    for (deadline, expected) in outcome.refused {
        assert!(*freed > deadline);
        assert_eq!(millis(*freed), expected);
    }
}

/// A pool of four connections with one statement at a time, so that two transactions may be open.
fn pool(cluster: &cluster::Cluster, lends: bool) -> rc::Rc<pool::Pool> {
    let instance = cluster.world.borrow().list().remove(0);
    let dialer = rc::Rc::new(cluster::Dialer(rc::Rc::clone(&cluster.world)));
    let executor = rc::Rc::clone(&cluster.executor);
    let size = size::Size {
        max_connections: 4,
        max_statements: 1,
        lends,
        transaction_idle: Some(millis(IDLE_TIMEOUT)),
        ..size::Size::shared()
    };
    let options = options::Options {
        transactions: options::Transactions::Bounded,
        ..options::Options::default()
    };
    rc::Rc::new(pool::Pool::new(instance, dialer, executor, size).with_options(options))
}

fn urgency(limit: time::Duration) -> urgency::Urgency {
    let now = boot::now();
    urgency::Urgency {
        priority: 1,
        objective: limit,
        due: now + limit,
        until: now + limit,
        awaited: now + LIMIT,
    }
}

/// Begins a transaction in a relayed session.
async fn begin(
    pool: &rc::Rc<pool::Pool>,
    name: &'static str,
    limit: time::Duration,
) -> Result<relay::Session, upstream::Failure> {
    let begin = [upstream::Command::Begin {
        id: name.into(),
        read_only: true,
        after: None,
    }];
    let mut session = relay::Session::new(rc::Rc::clone(pool), name.into());
    session.run(&begin, urgency(limit), &name.into()).await?;
    Ok(session)
}

async fn roll_back(session: &mut relay::Session, name: &organisation::Name) {
    let rollback = [upstream::Command::Rollback { id: None }];
    let replies = session.run(&rollback, urgency(LIMIT), name).await;
    replies.expect("an answer");
}

#[test]
fn a_transaction_beyond_the_bound_is_not_begun() {
    let cluster = cluster::Cluster::new();
    let pool = pool(&cluster, true);
    cluster.run(async {
        let mut first = begin(&pool, "a", LIMIT).await.expect("a place");
        let _second = begin(&pool, "a", LIMIT).await.expect("a place");
        let refused = begin(&pool, "a", SHORT).await.err().expect("a refusal");
        assert!(!refused.sent && refused.crowded, "{refused:?}");
        let mut other = relay::Session::new(rc::Rc::clone(&pool), "b".into());
        let read = cluster::read("read");
        let read = other.run(&read, urgency(LIMIT), &"b".into()).await;
        read.expect("short statements run");
        // A place whose transaction has ended is given to another one.
        roll_back(&mut first, &"a".into()).await;
        begin(&pool, "a", LIMIT).await.expect("a place");
        // One that was dropped gives its place back too.
        begin(&pool, "a", LIMIT).await.expect("a place");
    });
}

#[test]
fn where_nodes_connect_directly_transactions_are_not_bounded() {
    let cluster = cluster::Cluster::new();
    let pool = pool(&cluster, false);
    cluster.run(async {
        let mut sessions = Vec::new();
        for _ in 0..4 {
            sessions.push(begin(&pool, "a", LIMIT).await.expect("a connection"));
        }
    });
}

/// Guards against an organisation whose many transactions keep those of others from beginning.
#[test]
fn an_organisation_has_half_of_the_places_while_another_one_waits() {
    let cluster = cluster::Cluster::new();
    let pool = pool(&cluster, true);
    cluster.run(async {
        let mut first = begin(&pool, "a", LIMIT).await.expect("a place");
        for _ in 0..4 {
            // Served as much as the first one, so that it does not come first for this reason.
            begin(&pool, "b", LIMIT).await.expect("a place");
        }
        let _second = begin(&pool, "a", LIMIT).await.expect("a place");
        let waiting = |name| {
            let pool = rc::Rc::clone(&pool);
            let begin = async move { begin(&pool, name, LIMIT).await };
            cluster.executor.spawn(begin)
        };
        let third = waiting("a");
        wait::sleep(millis(5)).await;
        let other = waiting("b");
        wait::sleep(millis(5)).await;
        let list = || (third.is_finished(), other.is_finished());
        assert_eq!(list(), (false, false));
        roll_back(&mut first, &"a".into()).await;
        cluster::until("the other organisation begins", || other.is_finished()).await;
        assert!(!third.is_finished());
        drop(other.await.expect("a place"));
        third.await.expect("a place");
    });
}
