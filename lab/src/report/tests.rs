use std::time;

use crate::ledger;
use crate::note;
use crate::report::{Report, replica_share};

fn unviolated_report() -> Report {
    Report {
        settled: true,
        seconds: 2.0,
        ..Report::default()
    }
}

#[test]
fn each_broken_guarantee_is_a_violation() {
    let violations: [fn(&mut Report); 7] = [
        |report| report.lost = 1,
        |report| report.doubled = 1,
        |report| report.stale = 1,
        |report| report.mixed = 1,
        |report| report.foreign = 1,
        |report| report.not_run_but_ran = 1,
        |report| report.settled = false,
    ];
    assert!(!unviolated_report().is_violated());
    for (index, violate) in violations.iter().enumerate() {
        let mut report = unviolated_report();
        violate(&mut report);
        assert!(report.is_violated(), "case {index}");
    }
}

#[test]
fn the_longest_gap_is_reported() {
    let mut report = unviolated_report();
    let gap = |millis| Some(time::Duration::from_millis(millis));
    report.add_gaps(&[gap(300), gap(700)]);
    assert_eq!(report.failover_gap_ms, Some(700.0));
    assert_eq!(report.failover_gaps_ms, [Some(300.0), Some(700.0)]);
}

#[test]
fn a_gap_that_never_ends_is_not_reported() {
    let mut report = unviolated_report();
    report.add_gaps(&[Some(time::Duration::from_millis(300)), None]);
    assert_eq!(report.failover_gap_ms, None);
}

#[test]
fn rates_count_callers_without_the_prober() {
    let mut note = note::Note::new();
    let attempt = |item, outcome| ledger::Attempt {
        key: "key-a-1".into(),
        marker: "m".into(),
        item,
        outcome,
    };
    note.attempts = vec![
        attempt(0, ledger::Outcome::Confirmed),
        attempt(1, ledger::Outcome::Confirmed),
        attempt(2, ledger::Outcome::Confirmed),
        attempt(2, ledger::Outcome::Unknown),
    ];
    note.reads = 7;
    let mut report = unviolated_report();
    report.add_note(&note);
    assert_eq!((report.confirmed, report.unknown), (2, 1));
    assert!((report.writes_per_s - 1.0).abs() < f64::EPSILON);
    assert!((report.reads_per_s - 3.5).abs() < f64::EPSILON);
}

#[test]
fn a_replica_share_is_at_most_one() {
    let cases = [(0, 0, 0.0), (1, 4, 0.25), (5, 4, 1.0)];
    for (replica_statements, reads, expected) in cases {
        let found = replica_share(replica_statements, reads);
        assert!((found - expected).abs() < f64::EPSILON, "{found}");
    }
}
