//! Refusal of requests at arrival, in virtual time. Guards against a refusal of what would have
//! been served.

mod cluster;
mod setup;

use std::cell;
use std::rc;
use std::time;

use mangotray_desk::boot;
use mangotray_desk::lending::relay;
use mangotray_desk::load::options;
use mangotray_desk::organisation;
use mangotray_desk::pool;
use mangotray_desk::room::schedule;
use mangotray_desk::room::shedding;
use mangotray_desk::room::size;
use mangotray_desk::room::turns;
use mangotray_desk::urgency;
use mangotray_desk::wait;
use setup::millis;
use setup::queueing::Request;
use setup::queueing::SLOTS;
use setup::queueing::names;
use setup::queueing::queue;

const WORK: u64 = 14;

/// Requests that arrived, that would have been refused when they did, and that were served although
/// they would have been refused.
#[derive(Debug, Default)]
struct Outcome {
    arrived: u32,
    marked: u32,
    served_marked: u32,
}

/// Simulates 10 s of an instance for which one organisation sends `large` requests a second, and 72
/// others send 2 each, of priorities 1 and 2. Marks those that [`shedding::refuse`] would refuse
/// and lets them wait.
fn run(large: u64, seed: u64) -> Outcome {
    let mut random = fastrand::Rng::with_seed(seed);
    let names: Vec<organisation::Name> = names(73);
    let mut outcome = Outcome::default();
    let mut waiting: Vec<Request<bool>> = Vec::new();
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut turns = turns::Turns::default();
    let mut rate = shedding::Rate::default();
    let (mut number, mut served, mut backlog_since) = (0, 0, 0);
    for now in 0..10_000 {
        for (index, name) in names.iter().enumerate() {
            let expected = if index == 0 { large } else { 2 };
            for _ in 0..(random.u64(..1000) + expected) / 1000 {
                number += 1;
                outcome.arrived += 1;
                let left = random.u64(20..440);
                let urgency = urgency::Urgency {
                    priority: random.u8(1..=2),
                    objective: millis(250),
                    due: millis(now + 250),
                    until: millis(now + left),
                    awaited: millis(now + 800),
                };
                let (entries, of) = queue(&waiting, &names);
                let ahead = shedding::Ahead::of(&turns, &entries, &of, name, urgency.priority);
                let interval = rate.interval(millis(now));
                let marked =
                    shedding::refuse(ahead, waiting.len(), interval, millis(left)).is_some();
                outcome.marked += u32::from(marked);
                if waiting.is_empty() {
                    backlog_since = now;
                }
                let entry = schedule::Entry {
                    urgency,
                    number,
                    since: millis(now),
                };
                waiting.push(Request {
                    entry,
                    organisation: index,
                    note: marked,
                });
            }
        }
        waiting.retain(|request| request.entry.urgency.until > millis(now));
        for (_, organisation) in running.extract_if(.., |(end, _)| *end <= now) {
            turns.settle(&names[organisation], millis(WORK));
        }
        while running.len() < SLOTS {
            let (entries, of) = queue(&waiting, &names);
            served += 1;
            let Some(next) = turns.next(&entries, &of, millis(now), served) else {
                break;
            };
            rate.note(millis(now), millis(backlog_since));
            turns.charge(of[next], &of);
            let request = waiting.swap_remove(next);
            outcome.served_marked += u32::from(request.note);
            running.push((now + WORK, request.organisation));
        }
    }
    outcome
}

#[test]
fn hardly_anything_is_refused_that_would_have_been_served() {
    for seed in 0..5 {
        let outcome = run(900, seed);
        println!("{outcome:?}");
        assert!(outcome.marked > 100, "{outcome:?}");
        assert!(outcome.served_marked * 50 <= outcome.marked, "{outcome:?}");
    }
}

#[test]
fn nothing_is_refused_without_a_backlog() {
    for seed in 0..5 {
        let outcome = run(60, seed);
        assert_eq!(outcome.marked, 0, "{outcome:?}");
    }
}

/// Guards against refusals after a start or a pause, by a rate that is not known.
#[test]
fn without_a_rate_nothing_is_refused() {
    let ahead = shedding::Ahead {
        more_urgent: u32::MAX,
        same_priority: u32::MAX,
    };
    let mut rate = shedding::Rate::default();
    for count in 0..19 {
        rate.note(millis(10 * count), millis(0));
        let interval = rate.interval(millis(10 * count));
        let refusal = shedding::refuse(ahead, 1000, interval, millis(1));
        assert_eq!(refusal, None);
    }
    rate.note(millis(190), millis(0));
    let refusal = |now| shedding::refuse(ahead, 1000, rate.interval(now), millis(1));
    assert!(refusal(millis(190)).is_some());
    assert_eq!(refusal(millis(4191)), None);
}

/// Guards against a rate that seems low because nobody waited.
#[test]
fn time_without_a_backlog_does_not_lower_the_rate() {
    let mut rate = shedding::Rate::default();
    for count in 0..40 {
        // One request every 100 ms that waits for 3 ms.
        let arrived = 100 * count;
        rate.note(millis(arrived + 3), millis(arrived));
    }
    assert_eq!(rate.interval(millis(4000)), Some(millis(3)));
}

/// The answer to a read of priority 2 that has 100 ms to start, behind a hundred of priority 1 that
/// are served one every 15 ms.
fn answer_behind_a_backlog(lends: bool) -> relay::Answer {
    const LIMIT: time::Duration = time::Duration::from_secs(20);
    let cluster = cluster::Cluster::new();
    let instance = cluster.world.borrow().list().remove(0);
    let dialer = rc::Rc::new(cluster::Dialer(rc::Rc::clone(&cluster.world)));
    let size = size::Size {
        max_connections: 1,
        max_statements: 1,
        lends,
        ..size::Size::shared()
    };
    let options = options::Options {
        fair_queueing: true,
        ..options::Options::default()
    };
    let executor = rc::Rc::clone(&cluster.executor);
    let pool = pool::Pool::new(instance, dialer, executor, size).with_options(options);
    let pool = rc::Rc::new(pool);
    let urgency = |priority, limit| urgency::Urgency {
        priority,
        objective: limit,
        due: boot::now() + limit,
        until: boot::now() + limit,
        awaited: boot::now() + limit,
    };
    let served = rc::Rc::new(cell::Cell::new(0));
    cluster.run(async {
        for _ in 0..100 {
            let (pool, urgency) = (rc::Rc::clone(&pool), urgency(1, LIMIT));
            let served = rc::Rc::clone(&served);
            let hold = async move {
                let deadline = urgency.until;
                let values = std::collections::BTreeMap::new();
                let busy = organisation::Name::from("busy");
                let checkout = pool.check_out(urgency, &busy, &values, deadline);
                let _checkout = checkout.await;
                wait::sleep(millis(15)).await;
                served.set(served.get() + 1);
            };
            cluster.executor.spawn(hold).detach();
        }
        cluster::until("the rate is known", || served.get() >= 30).await;
        let mut session = relay::Session::new(rc::Rc::clone(&pool), "busy".into());
        let (read, urgency) = (cluster::read("read"), urgency(2, millis(100)));
        session.run(&read, urgency, &"busy".into()).await
    })
}

/// Guards against callers that wait in vain, although it is known that they cannot be served in
/// time.
#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let refused = answer_behind_a_backlog(true).expect_err("a refusal");
    assert!(!refused.sent && refused.crowded, "{refused:?}");
    assert!(refused.detail.contains("come back in"), "{refused:?}");
    // Where nodes connect directly, it waits as before.
    let late = answer_behind_a_backlog(false).expect_err("a refusal");
    assert_eq!(late.detail, "the lending node has no connection: Late");
}
