//! Fair queueing over organisations in virtual time. Guards against an organisation that sends many
//! times its usual load and takes the places of all others at an instance.

mod cluster;
mod setup;

use mangotray_desk::organisation;
use mangotray_desk::room::schedule;
use mangotray_desk::room::turns;
use mangotray_desk::urgency;
use setup::millis;
use setup::queueing::Request;
use setup::queueing::SLOTS;
use setup::queueing::names;
use setup::queueing::queue;

const MILLIS: u64 = 10_000;
const SEEDS: u64 = 5;

/// A kind of statement: its share of all, priority, and times in milliseconds.
struct Kind {
    percent: u64,
    priority: u8,
    work: u64,
    objective: u64,
    latest_start: u64,
}

const KINDS: [Kind; 3] = [
    Kind {
        percent: 13,
        priority: 0,
        work: 5,
        objective: 150,
        latest_start: 440,
    },
    Kind {
        percent: 63,
        priority: 1,
        work: 14,
        objective: 250,
        latest_start: 440,
    },
    Kind {
        percent: 24,
        priority: 2,
        work: 22,
        objective: 800,
        latest_start: 825,
    },
];

/// How requests are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    Schedule,
    Turns,
}

/// Requests that arrived and that were answered within their objectives, and work that was done.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    arrived: u32,
    in_time: u32,
    work: u64,
}

impl Tally {
    fn share(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }
}

/// Simulates an instance for which organisations send so many requests a second each; returns a
/// tally for each organisation and kind.
fn run(rates: &[u64], order: Order, seed: u64) -> Vec<[Tally; 3]> {
    let mut random = fastrand::Rng::with_seed(seed);
    let names: Vec<organisation::Name> = names(rates.len());
    let mut tallies = vec![[Tally::default(); 3]; rates.len()];
    let mut waiting: Vec<Request<usize>> = Vec::new();
    let mut running: Vec<(u64, usize, u64)> = Vec::new();
    let mut turns = turns::Turns::default();
    let (mut number, mut served) = (0, 0);
    for now in 0..MILLIS {
        for (organisation, rate) in rates.iter().enumerate() {
            if random.u64(..1000) >= *rate {
                continue;
            }
            let draw = random.u64(..100);
            let kind = [KINDS[0].percent, 100 - KINDS[2].percent]
                .iter()
                .filter(|bound| draw >= **bound)
                .count();
            number += 1;
            tallies[organisation][kind].arrived += 1;
            let spec = &KINDS[kind];
            let urgency = urgency::Urgency {
                priority: spec.priority,
                objective: millis(spec.objective),
                due: millis(now + spec.objective),
                until: millis(now + spec.latest_start),
                awaited: millis(now + 800),
            };
            let entry = schedule::Entry {
                urgency,
                number,
                since: millis(now),
            };
            waiting.push(Request {
                entry,
                organisation,
                note: kind,
            });
        }
        waiting.retain(|request| request.entry.urgency.until > millis(now));
        for (_, organisation, work) in running.extract_if(.., |(end, ..)| *end <= now) {
            turns.settle(&names[organisation], millis(work));
        }
        while running.len() < SLOTS {
            let (entries, of) = queue(&waiting, &names);
            served += 1;
            let next = match order {
                Order::Schedule => schedule::next(&entries, millis(now), served),
                Order::Turns => turns.next(&entries, &of, millis(now), served),
            };
            let Some(next) = next else { break };
            turns.charge(of[next], &of);
            let request = waiting.swap_remove(next);
            let kind = &KINDS[request.note];
            let end = now + kind.work;
            running.push((end, request.organisation, kind.work));
            let tally = &mut tallies[request.organisation][request.note];
            tally.work += kind.work;
            tally.in_time += u32::from(millis(end) <= request.entry.urgency.due);
        }
    }
    tallies
}

/// Sum over organisations of one kind, over all seeds.
fn sum(rates: &[u64], order: Order, organisations: std::ops::Range<usize>) -> [Tally; 3] {
    let mut sums = [Tally::default(); 3];
    for seed in 0..SEEDS {
        for tallies in &run(rates, order, seed)[organisations.clone()] {
            for (sum, tally) in sums.iter_mut().zip(tallies) {
                sum.arrived += tally.arrived;
                sum.in_time += tally.in_time;
                sum.work += tally.work;
            }
        }
    }
    sums
}

/// 72 organisations with 2 requests a second each, and one with so many.
fn rates(large: u64) -> Vec<u64> {
    let mut rates = vec![2; 73];
    rates[0] = large;
    rates
}

const USUAL: u64 = 30;

#[test]
fn an_organisation_at_seven_times_its_load_takes_no_more_than_its_turn() {
    let rates = rates(7 * USUAL);
    let before = sum(&rates, Order::Schedule, 1..73);
    let others = sum(&rates, Order::Turns, 1..73);
    let large = sum(&rates, Order::Turns, 0..1);
    let usual = sum(&self::rates(USUAL), Order::Turns, 0..1);
    println!("others before {before:?}\nothers {others:?}\nlarge {large:?}\nusual {usual:?}");
    for (kind, tally) in others.iter().enumerate().take(2) {
        assert!(tally.share() > 0.95, "kind {kind}: {others:?}");
    }
    assert!(others[1].in_time > before[1].in_time, "{before:?}");
    assert!(others[2].in_time > 3 * before[2].in_time / 2, "{before:?}");
    let work = |tallies: &[Tally; 3]| tallies.iter().map(|tally| tally.work).sum::<u64>();
    // It still gets what the others leave.
    assert!(work(&large) > work(&usual), "{large:?} {usual:?}");
}

#[test]
fn neither_an_organisation_nor_a_priority_starves() {
    let rates = rates(30 * USUAL);
    for seed in 0..SEEDS {
        let tallies = run(&rates, Order::Turns, seed);
        let served = |tallies: &[Tally; 3]| tallies.iter().map(|tally| tally.work).sum::<u64>();
        assert!(tallies.iter().all(|tallies| served(tallies) > 0));
        for kind in 0..KINDS.len() {
            let work: u64 = tallies.iter().map(|tallies| tallies[kind].work).sum();
            assert!(work > 0, "kind {kind}");
        }
    }
}

fn entry(random: &mut fastrand::Rng, number: u64) -> schedule::Entry {
    let objective = millis([150, 250, 800][random.usize(..3)]);
    let since = millis(random.u64(..300));
    schedule::Entry {
        urgency: urgency::Urgency {
            priority: random.u8(..4),
            objective,
            due: since + objective,
            ..urgency::Urgency::default()
        },
        number,
        since,
    }
}

#[test]
fn with_one_organisation_the_order_is_that_of_the_schedule() {
    let mut random = fastrand::Rng::with_seed(7);
    let name = organisation::Name::from("only");
    let mut turns = turns::Turns::default();
    for round in 0..300 {
        let mut waiting: Vec<_> = (0..random.u64(1..30))
            .map(|number| entry(&mut random, number))
            .collect();
        let now = millis(random.u64(100..500));
        for served in round.. {
            let names = vec![&name; waiting.len()];
            let next = turns.next(&waiting, &names, now, served);
            assert_eq!(next, schedule::next(&waiting, now, served));
            let Some(next) = next else { break };
            turns.charge(&name, &names);
            turns.settle(&name, millis(random.u64(..50)));
            waiting.swap_remove(next);
        }
    }
}

#[test]
fn an_organisation_that_was_idle_starts_at_the_current_virtual_time() {
    let (busy, idle) = ("busy".into(), "idle".into());
    let mut turns = turns::Turns::default();
    for _ in 0..100 {
        turns.charge(&busy, &[&busy]);
    }
    // It has no claim to the hundred turns that it left out.
    let mut of_idle = 0;
    for _ in 0..20 {
        let waiting = [&busy, &idle];
        let mut random = fastrand::Rng::with_seed(1);
        let entries = [entry(&mut random, 1); 2];
        let next = turns.next(&entries, &waiting, millis(1), 1);
        let next = waiting[next.expect("a request")];
        turns.charge(next, &waiting);
        of_idle += u32::from(*next == idle);
    }
    assert!((9..=11).contains(&of_idle), "{of_idle}");
}

/// Guards against status requests that wait behind callers, so that an instance under load counts
/// as lost.
#[test]
fn this_nodes_own_status_requests_go_first() {
    let mut random = fastrand::Rng::with_seed(2);
    let (own, other) = (organisation::OWN, "other".into());
    let mut turns = turns::Turns::default();
    for _ in 0..10 {
        turns.charge(&own, &[&own]);
    }
    let mut status = entry(&mut random, 1);
    status.urgency = urgency::Urgency {
        due: millis(400),
        ..urgency::Urgency::immediate(millis(900))
    };
    for now in [millis(10), millis(400)] {
        let mut urgent = entry(&mut random, 2);
        urgent.urgency.priority = 0;
        let waiting = [urgent, status, urgent];
        let names = [&other, &own, &other];
        for served in 0..40 {
            assert_eq!(turns.next(&waiting, &names, now, served), Some(1));
        }
    }
}
