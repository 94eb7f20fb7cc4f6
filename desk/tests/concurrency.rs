//! The learned concurrency limit and expected times of an instance, on synthetic sequences, against
//! other ways to limit statements.

mod cluster;
mod contention;

use std::rc;
use std::time;

use contention::sequences;
use contention::ways;
use mangotray_desk::boot;
use mangotray_desk::concurrency::controller;
use mangotray_desk::concurrency::exchange;
use mangotray_desk::concurrency::kind;
use mangotray_desk::load::options;
use mangotray_desk::organisation;
use mangotray_desk::pool;
use mangotray_desk::urgency;

const SEEDS: u64 = 5;

type Make = fn() -> Box<dyn ways::Way>;

const WAYS: [(&str, Make); 4] = [
    ("today's rule", ways::today),
    ("fixed limit, least time", ways::least_time),
    ("gradient on latency", ways::gradient),
    ("queueing", ways::queueing),
];

fn runs(sequence: &contention::Sequence, way: Make) -> Vec<contention::Outcome> {
    let run = |seed| contention::run(sequence, way, seed);
    (0..SEEDS).map(run).collect()
}

fn mean(runs: &[contention::Outcome], of: impl Fn(&contention::Outcome) -> f64) -> f64 {
    runs.iter().map(of).sum::<f64>() / f64::from(u32::try_from(runs.len()).unwrap())
}

/// Mean of what was sampled ten times a second, between two times in seconds.
fn between(samples: &[f64], from: usize, until: usize) -> f64 {
    let part = &samples[from * 10..until * 10];
    part.iter().sum::<f64>() / f64::from(u32::try_from(part.len()).unwrap())
}

/// Guards against a limit that leaves slots idle, and against one that lets urgent statements wait
/// inside the instance: against today's rule, and for any sequence of load and faults. Prints the
/// table of the design note.
#[test]
fn few_slots_are_idle_and_urgent_statements_wait_less() {
    for sequence in sequences::ALL.iter().chain([&sequences::GROUP]) {
        let results = WAYS.map(|(name, way)| {
            let runs = runs(sequence, way);
            let throughput = mean(&runs, |run| run.throughput);
            let wait = mean(&runs, |run| run.wait);
            let wait_95 = mean(&runs, |run| run.wait_95);
            println!(
                "| {} | {name} | {throughput:.0} | {wait:.0} | {wait_95:.0} |",
                sequence.name
            );
            (throughput, wait)
        });
        let [today, _, _, learned] = results;
        assert!(learned.0 > 0.92 * today.0, "{} {results:?}", sequence.name);
        // One node alone, and one at a low rate, have no queue inside the instance to avoid.
        if sequence.nodes > 1 && today.1 > 10.0 {
            assert!(learned.1 < 0.9 * today.1, "{} {results:?}", sequence.name);
        }
    }
}

/// Parts of the light load, in seconds.
const LIGHT_PARTS: [(&str, f64, f64); 6] = [
    ("whole day", 0.0, 42.0),
    ("start, 0 to 2 s", 0.0, 2.0),
    ("one of three 3 times slower, 6 to 14 s", 6.0, 14.0),
    ("one of three 7.5 times slower, 20 to 26.5 s", 20.0, 26.5),
    ("2.4 times the load, 30 to 34 s", 30.0, 34.0),
    ("nodes restart at 38 s, to 40 s", 38.0, 40.0),
];

/// The delays of each priority over eight groups of three instances each, sorted, and the bulk
/// statements served a second.
fn eight_groups(sequence: &contention::Sequence, way: Make) -> ([Vec<f64>; 3], f64) {
    let mut delays: [Vec<f64>; 3] = Default::default();
    let mut throughput = 0.0;
    for seed in 0..8 {
        let run = contention::run(sequence, way, seed);
        throughput += run.throughput;
        for (all, some) in delays.iter_mut().zip(run.delays) {
            all.extend(some);
        }
    }
    for delays in &mut delays {
        delays.sort_by(f64::total_cmp);
    }
    (delays, throughput)
}

/// Guards against a learned limit that serves callers worse than today's rule on a day where the
/// instances are used to a third: one that begins low made statements wait for 2 to 5 ms in the mean
/// after a start and after a restart of the nodes. Prints the table of the design note.
#[test]
fn a_learned_limit_costs_nothing_where_instances_are_not_busy() {
    for (part, from, until) in LIGHT_PARTS {
        let sequence = contention::Sequence {
            counted: (from, until),
            ..sequences::LIGHT
        };
        let [today, _, learned] = [WAYS[0], WAYS[1], WAYS[3]].map(|(name, way)| {
            let (delays, throughput) = eight_groups(&sequence, way);
            let figures = delays.map(|delays| {
                let percentile = |percent| contention::percentile(&delays, percent);
                (contention::mean(&delays), percentile(95), percentile(99))
            });
            let cells = figures.map(|(mean, p95, p99)| format!("{mean:.1} / {p95:.0} / {p99:.0}"));
            println!(
                "| {part} | {name} | {} | {throughput:.0} |",
                cells.join(" | ")
            );
            (figures, throughput)
        });
        assert!(learned.1 > 0.995 * today.1, "{part} {today:?} {learned:?}");
        for (learned, today) in learned.0.iter().zip(&today.0) {
            let (mean, p95, p99) = today;
            let within = learned.0 < mean + 1.0 && learned.1 < p95 + 4.0 && learned.2 < p99 + 12.0;
            assert!(within, "{part} {today:?} {learned:?}");
            if from < 1.0 && until > 40.0 {
                assert!(
                    learned.0 < *mean && learned.2 < *p99,
                    "{today:?} {learned:?}"
                );
            }
        }
    }
}

/// Guards against limits that do not fit the instance, or that one node keeps from the others: two
/// or five nodes learn their shares without messages.
#[test]
fn nodes_share_an_instance_without_messages() {
    for sequence in [&sequences::CONSTANT, &sequences::FIVE_NODES] {
        let today = mean(&runs(sequence, ways::today), |run| {
            between(&run.limits, 4, 20)
        });
        let runs = runs(sequence, ways::queueing);
        let sum = mean(&runs, |run| between(&run.limits, 4, 20));
        assert!(sum > 4.0 && sum < 0.9 * today, "{sum} {today}");
        let ratio = mean(&runs, |run| run.shares.1 / run.shares.0);
        assert!(ratio < 3.0, "{ratio}");
    }
}

/// Guards against an instance that is three times as slow and gets as much work as before for
/// longer than two seconds, and against one whose limit shrinks although a small limit does not
/// make it faster.
#[test]
fn a_slowed_instance_is_known_and_its_slots_stay_busy() {
    let runs = runs(&sequences::SLOWER, ways::queueing);
    let expected = |from, until| mean(&runs, |run| between(&run.expected, from, until));
    assert!(expected(10, 16) > 1.8 * expected(4, 8));
    assert!(expected(9, 10) > 1.6 * expected(4, 8));
    assert!(expected(18, 20) < 1.6 * expected(4, 8));
    assert!(mean(&runs, |run| between(&run.limits, 10, 16)) > 4.0);
}

/// Guards against an instance that gets slow with load from half of its slots on, and is kept
/// there: the limit falls within two seconds, and returns.
#[test]
fn an_instance_that_slows_down_with_load_gets_less() {
    let runs = runs(&sequences::SLOW_WITH_LOAD, ways::queueing);
    let limit = |from, until| mean(&runs, |run| between(&run.limits, from, until));
    assert!(limit(10, 16) < 0.85 * limit(4, 8));
    assert!(limit(18, 20) > 0.9 * limit(4, 8));
}

/// Guards against a limit or an expected time that a few answers a second make nonsense of.
#[test]
fn a_few_answers_a_second_leave_the_estimate_sane() {
    for run in runs(&sequences::FEW, ways::queueing) {
        assert!(run.limits.iter().all(|sum| *sum >= 2.0), "{:?}", run.limits);
        let expected = &run.expected[20..];
        assert!(expected.iter().all(|ms| (2.0..60.0).contains(ms)));
    }
}

const READ: exchange::Exchange = exchange::Exchange {
    kind: kind::Kind {
        operation: kind::Operation::Read,
        priority: 1,
        delayed: false,
    },
    took: time::Duration::from_millis(10),
    outcome: exchange::Outcome::Done,
    full: true,
    others: 4,
};

/// A controller after answers, one each five milliseconds, and each lost one after the wait for it.
fn after(answers: impl IntoIterator<Item = exchange::Exchange>) -> controller::Controller {
    let mut learned = controller::Controller::new(5, 12);
    let mut now = time::Duration::from_secs(1);
    for answer in answers {
        now += if answer.outcome == exchange::Outcome::Lost {
            answer.took / 3
        } else {
            time::Duration::from_millis(5)
        };
        learned.record(now, &answer);
    }
    learned
}

/// Guards against single slow answers, lost answers of a broken connection, failures, commits that
/// wait for a replica and reads that wait for records, which shrank the limit or counted as fast.
#[test]
fn answers_that_do_not_show_the_load_change_nothing() {
    let steady = after((0..900).map(|_| READ));
    let slow = exchange::Exchange {
        took: 7 * READ.took,
        ..READ
    };
    let instant = exchange::Exchange {
        took: time::Duration::from_millis(1),
        ..READ
    };
    let odd = |outcome| exchange::Exchange { outcome, ..instant };
    let commit = exchange::Exchange {
        kind: kind::Kind {
            operation: kind::Operation::Change,
            ..READ.kind
        },
        took: time::Duration::from_secs(1),
        ..READ
    };
    let behind = exchange::Exchange {
        kind: kind::Kind {
            delayed: true,
            ..READ.kind
        },
        ..commit
    };
    let cases = [
        (slow, 33),
        (odd(exchange::Outcome::Failed), 2),
        (odd(exchange::Outcome::Lost), 2),
        (commit, 2),
        (behind, 2),
    ];
    for (other, every) in cases {
        let mut learned = steady;
        let rounds = (0..200).filter(|count| {
            let now = time::Duration::from_secs(50) + *count * 5 * READ.took;
            learned.record(now, &other).is_some()
        });
        // The first round is that of the reads before.
        let shows_load = other.kind.shows_load() && other.outcome == exchange::Outcome::Done;
        assert_eq!(rounds.count() > 1, shows_load, "{other:?}");
        let mixed = (0..1800).map(|count| if count % every == 0 { other } else { READ });
        let learned = after(mixed);
        assert_eq!(learned.limit(), steady.limit(), "{other:?}");
        let expected = learned.expected_of(1).unwrap();
        assert!(
            expected >= READ.took && expected < 2 * READ.took,
            "{other:?}"
        );
    }
}

/// Guards against a single answer that makes an instance look twice as slow.
#[test]
fn one_slow_answer_moves_the_expected_time_little() {
    let slow = exchange::Exchange {
        took: 100 * READ.took,
        ..READ
    };
    let learned = after((0..900).map(|_| READ).chain([slow]));
    assert!(learned.expected().unwrap() < 6 * READ.took / 5);
}

/// Guards against a limit that stays low after the load has gone, and holds back the next burst.
#[test]
fn a_limit_that_is_not_reached_is_not_lowest() {
    let refused = exchange::Exchange {
        outcome: exchange::Outcome::Refused,
        ..READ
    };
    let idle = exchange::Exchange {
        full: false,
        ..READ
    };
    let full = (0..900).map(|_| READ).chain((0..400).map(|_| refused));
    assert_eq!(after(full.clone()).limit(), 1);
    assert_eq!(after(full.chain((0..100).map(|_| idle))).limit(), 5);
}

/// Guards against a limit below the fixed value that nothing calls for: at the beginning, and where
/// an instance is slow while the limit is not used in full.
#[test]
fn a_limit_that_is_not_reached_is_never_below_the_fixed_one() {
    let mut learned = controller::Controller::new(5, 12);
    assert_eq!(learned.limit(), 5);
    for count in 0..3000_u32 {
        let slow = (1000..2000).contains(&count);
        let answer = exchange::Exchange {
            took: if slow { 8 * READ.took } else { READ.took },
            full: false,
            others: usize::try_from(count % 4).unwrap(),
            ..READ
        };
        let now = time::Duration::from_secs(1) + count * READ.took;
        learned.record(now, &answer);
        assert!(learned.limit() >= 5, "{count}");
    }
}

/// Guards against a queue that is there from the first round on and is taken for the usual time:
/// statements that were sent while few others ran show the time without a wait.
#[test]
fn a_queue_from_the_beginning_is_seen() {
    let quiet = exchange::Exchange {
        others: 0,
        full: false,
        ..READ
    };
    let queued = exchange::Exchange {
        took: 3 * READ.took,
        ..READ
    };
    let answers = |first: exchange::Exchange| {
        let first = (0..4).map(move |_| first);
        first.chain((0..60).map(|_| queued))
    };
    assert!(after(answers(quiet)).limit() < 5);
    assert!(after(answers(queued)).limit() >= 5);
}

/// Guards against refusals that count as fast answers: the limit grew while the instance was full.
#[test]
fn refusals_shrink_the_limit() {
    let refused = exchange::Exchange {
        took: time::Duration::from_millis(1),
        outcome: exchange::Outcome::Refused,
        ..READ
    };
    let learned = after((0..900).map(|_| READ).chain((0..100).map(|_| refused)));
    assert!(learned.limit() < 4);
    assert_eq!(learned.expected(), Some(READ.took));
}

/// Guards against an instance that answers nothing, whose expected time and limit stay as they were.
#[test]
fn lost_answers_count_as_the_time_waited() {
    let lost = exchange::Exchange {
        took: time::Duration::from_millis(800),
        outcome: exchange::Outcome::Lost,
        ..READ
    };
    let steady = (0..900).map(|_| READ);
    let learned = after(steady.clone().chain((0..400).map(|_| lost)));
    assert!(learned.limit() <= 2);
    assert!(learned.expected() > Some(10 * READ.took));
    let back = after(
        steady
            .chain((0..400).map(|_| lost))
            .chain((0..900).map(|_| READ)),
    );
    assert!(back.limit() > 5);
}

fn pool(cluster: &cluster::Cluster, connections: usize, learns: bool) -> pool::Pool {
    let pool = rc::Rc::try_unwrap(cluster.pool(connections, 5)).ok();
    pool.expect("the only owner")
        .with_options(options::Options {
            adaptive_concurrency: learns,
            ..options::Options::default()
        })
}

/// Runs some statements over a connection of the pool.
async fn run_some(pool: &rc::Rc<pool::Pool>) {
    let deadline = boot::now() + time::Duration::from_secs(5);
    let urgency = urgency::Urgency::immediate(deadline);
    let values = std::collections::BTreeMap::new();
    let checkout = pool
        .check_out(urgency, &organisation::OWN, &values, deadline)
        .await;
    let mut checkout = checkout.expect("a connection");
    for _ in 0..20 {
        let replies = checkout.run(&cluster::read("read"), deadline).await;
        assert!(replies.expect("an answer")[0].is_done());
    }
}

/// Guards against a limit that is learned where the setting is absent, or where each node connects
/// for itself.
#[test]
fn the_limit_is_learned_where_it_is_switched_on_and_connections_are_lent() {
    for (connections, switched_on) in [(12, false), (5, true), (12, true)] {
        let cluster = cluster::Cluster::new();
        let pool = rc::Rc::new(pool(&cluster, connections, switched_on));
        cluster.run(async {
            run_some(&pool).await;
            let learns = pool.expected_exchange() != pool.latency();
            assert_eq!(learns, switched_on && connections == 12, "{connections}");
            assert_eq!(pool.window(), 5);
            pool.resize(mangotray_desk::room::size::Size::shared());
            assert_eq!(pool.expected_exchange(), pool.latency());
            assert_eq!(pool.window(), 5);
        });
    }
}

/// Guards against answers that do not reach the learned state.
#[test]
fn a_pool_learns_the_time_of_an_exchange() {
    let cluster = cluster::Cluster::new();
    let pool = rc::Rc::new(pool(&cluster, 12, true));
    cluster.run(async {
        run_some(&pool).await;
        assert!(pool.expected_exchange() > time::Duration::ZERO);
        assert_ne!(pool.expected_exchange(), pool.latency());
    });
}
