//! Decisions by load reports, in virtual time: where reads go, and which are refused.

use std::time;

use mangotray_desk::candidate;
use mangotray_desk::load::admission;
use mangotray_desk::load::choice;
use mangotray_desk::load::report;
use mangotray_desk::load::table;
use mangotray_desk::retry;
use mangotray_desk::upstream;

const NODES: usize = 60;
const ROUNDS: u64 = 200;
const INSTANCES: [&str; 3] = ["a", "b", "c"];

/// Latest start of the reads.
const WITHIN: time::Duration = millis(176);

const fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

const fn report(wait: u16, exchange: u16) -> report::Report {
    report::Report {
        waits_ms: [wait; 3],
        exchange_ms: exchange,
        limit: 5,
    }
}

/// A node's reports on the three instances, each from one lending node.
#[derive(Default)]
struct Node {
    table: table::Table,
    usual: Option<usize>,
}

impl Node {
    fn learn(&self, instance: usize, report: report::Report, now: time::Duration) {
        let id: upstream::Id = INSTANCES[instance].into();
        let ticket = self.table.note_sent(&id, 1, &"lender".into(), now);
        self.table.record(&id, &"lender".into(), ticket, report);
    }

    fn offers(&self, now: time::Duration) -> Vec<choice::Offer> {
        let offer = |instance: usize| {
            let id = INSTANCES[instance].into();
            let forecast = self.table.find(&id, 1, &"lender".into(), now);
            let candidate = candidate::Candidate {
                other_preferred: self.usual.is_some_and(|usual| usual != instance),
                ..candidate::Candidate::default()
            };
            candidate.offer(forecast.as_ref(), 1, WITHIN)
        };
        (0..INSTANCES.len()).map(offer).collect()
    }

    fn choose(&self, random: &mut fastrand::Rng, now: time::Duration) -> usize {
        let draw = choice::Draw {
            usual: random.usize(..),
            other: random.usize(..),
        };
        choice::choose(&self.offers(now), draw).expect("an instance")
    }
}

/// Reads of each round that go to the cheapest instance, when all nodes learn the same at once.
fn herd(reports: [report::Report; 3], preferences: bool) -> Vec<usize> {
    let (learned, now) = (millis(1000), millis(1020));
    let round = |seed| {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut first = 0;
        for number in 0..NODES {
            let node = Node {
                usual: preferences.then_some(number % INSTANCES.len()),
                ..Node::default()
            };
            for (instance, report) in reports.into_iter().enumerate() {
                node.learn(instance, report, learned);
            }
            first += usize::from(node.choose(&mut random, now) == 0);
        }
        first
    };
    (0..ROUNDS).map(round).collect()
}

/// Guards against a herd: sixty nodes that learn the same report at once send everything to the
/// cheapest instance, which is the most expensive one a moment later. At most twice the mean may
/// go there, on average over the random numbers, and in a single round seldom more.
#[test]
fn nodes_that_learn_the_same_do_not_all_move() {
    let twice_the_mean = 2 * NODES / INSTANCES.len();
    for reports in [
        [report(0, 20), report(90, 20), report(90, 20)],
        [report(0, 20), report(40, 20), report(120, 20)],
        [report(0, 5), report(0, 60), report(0, 60)],
        [report(0, 20), report(0, 20), report(150, 20)],
    ] {
        for preferences in [false, true] {
            let rounds = herd(reports, preferences);
            let sum: usize = rounds.iter().sum();
            assert!(sum <= twice_the_mean * rounds.len(), "{sum} {reports:?}");
            let above = rounds.iter().filter(|count| **count > twice_the_mean);
            let above = above.count();
            assert!(above <= rounds.len() / 10, "{above} {reports:?}");
        }
    }
}

/// Reads of the nodes that usually use instance c, of 300, that go there at `now`.
fn at_the_slow_one(node: &Node, now: time::Duration) -> usize {
    let mut random = fastrand::Rng::with_seed(7);
    let chosen = (0..300).map(|_| node.choose(&mut random, now));
    chosen.filter(|instance| *instance == 2).count()
}

/// Guards against an instance with three times the others' exchange time that gets as much work as
/// they do, and against one that gets nothing for good after it has recovered.
#[test]
fn a_slow_instance_gets_less_and_has_its_part_back() {
    for usual in [None, Some(2)] {
        let node = Node {
            usual,
            ..Node::default()
        };
        let learn = |exchange, now| {
            node.learn(0, report(0, 20), now);
            node.learn(1, report(0, 20), now);
            node.learn(2, report(0, exchange), now);
        };
        learn(20, millis(1000));
        let part = at_the_slow_one(&node, millis(1010));
        assert!(part >= 80, "{part}");
        learn(60, millis(1100));
        let less = at_the_slow_one(&node, millis(1110));
        assert!(less < part / 2, "{less} of {part}");
        // Reports on the others arrive, none on the slow one: it is tried again.
        node.learn(0, report(0, 20), millis(1600));
        node.learn(1, report(0, 20), millis(1600));
        let tried = at_the_slow_one(&node, millis(1610));
        assert!(tried > 0, "{tried}");
        learn(20, millis(1700));
        let back = at_the_slow_one(&node, millis(1710));
        assert!(back >= part, "{back} of {part}");
    }
}

/// Guards against choices by reports that are older than 500 ms, or from a lending node that has
/// restarted since.
#[test]
fn old_reports_decide_nothing() {
    let node = Node::default();
    node.learn(0, report(900, 60), millis(1000));
    let unknown = Node::default().offers(millis(1000));
    assert_ne!(node.offers(millis(1499)), unknown);
    assert_eq!(node.offers(millis(1500)), unknown);
    node.learn(0, report(900, 60), millis(2000));
    assert!(node.offers(millis(2010))[0].late);
    node.table.forget_lender(&"lender".into(), millis(2020));
    assert_eq!(node.offers(millis(2020)), unknown);
}

/// Guards against organisations whose reads move between replicas for small differences: each move
/// may open a connection, which takes 12 ms of a slot.
#[test]
fn an_organisation_keeps_its_replica_unless_another_is_clearly_cheaper() {
    let node = Node {
        usual: Some(1),
        ..Node::default()
    };
    let moved = |node: &Node, now| {
        let mut random = fastrand::Rng::with_seed(3);
        (0..100).any(|_| node.choose(&mut random, now) != 1)
    };
    node.learn(0, report(0, 20), millis(1000));
    node.learn(1, report(10, 24), millis(1000));
    node.learn(2, report(0, 20), millis(1000));
    assert!(!moved(&node, millis(1000)));
    node.learn(1, report(40, 24), millis(1100));
    assert!(moved(&node, millis(1100)));
}

/// Guards against a node that sends many statements by one report, as if each were the first.
#[test]
fn own_statements_since_the_report_count() {
    let table = table::Table::default();
    let (id, lender) = ("a".into(), "lender".into());
    let ticket = table.note_sent(&id, 1, &lender, millis(1000));
    table.record(&id, &lender, ticket, report(0, 20));
    for _ in 0..10 {
        let _ = table.note_sent(&id, 1, &lender, millis(1010));
    }
    let forecast = table.find(&id, 1, &lender, millis(1020));
    let wait = forecast.map(|forecast| forecast.wait(1));
    assert_eq!(wait, Some(millis(40)));
}

/// Guards against refusals while an instance could serve: of one that is not known, and of one whose
/// queue may have become shorter since the report.
#[test]
fn a_statement_is_refused_only_if_it_cannot_start_in_time_anywhere() {
    let late = choice::Offer {
        expected: millis(300),
        late: true,
        ..choice::Offer::default()
    };
    let dear = choice::Offer {
        fixed: millis(500),
        late: false,
        ..late
    };
    let shorter = choice::Offer {
        expected: millis(250),
        ..late
    };
    for other in 0..12 {
        let draw = choice::Draw { usual: 0, other };
        assert_eq!(choice::choose(&[late, dear, shorter], draw), Some(1));
        assert_eq!(choice::choose(&[late, late, shorter], draw), Some(2));
    }
    let node = Node::default();
    let check = |now| {
        let forecast = node.table.find(&"a".into(), 1, &"lender".into(), now);
        admission::check(None, forecast.as_ref(), 1, WITHIN, || true)
    };
    assert_eq!(check(millis(900)), Ok(()));
    node.learn(0, report(200, 20), millis(1000));
    let refusal = check(millis(1020)).expect_err("a refusal");
    assert_eq!(refusal.reason, admission::Reason::Late);
    assert_eq!(refusal.delay, millis(180));
    assert_eq!(check(millis(1030)), Ok(()));
}

/// Guards against retries that add to an overload: after a refusal for overload, a statement is not
/// sent to an instance that is known to have no room either.
#[test]
fn a_retry_after_overload_needs_room() {
    let overloaded = Some(retry::Reason::Overloaded);
    let check = |last: &Option<retry::Reason>, wait| {
        let node = Node::default();
        node.learn(0, report(wait, 20), millis(1000));
        let forecast = node
            .table
            .find(&"a".into(), 1, &"lender".into(), millis(1000));
        let checked = admission::check(last.as_ref(), forecast.as_ref(), 1, WITHIN, || true);
        checked.map_err(|refusal| refusal.reason)
    };
    assert_eq!(check(&overloaded, 0), Ok(()));
    assert_eq!(check(&overloaded, 40), Err(admission::Reason::NoRoom));
    assert_eq!(check(&None, 40), Ok(()));
}
