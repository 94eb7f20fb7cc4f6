use crate::ledger::{Attempt, Audit, Contents, Outcome, Record, Row, key, keys};

const ITEM: u32 = 4;

fn attempt(sequence: u32, outcome: Outcome) -> Attempt {
    Attempt {
        key: key("a", sequence),
        marker: compact_str::format_compact!("m{sequence}"),
        item: ITEM,
        outcome,
    }
}

fn row(sequence: u32) -> Row {
    Row {
        key: key("a", sequence),
        marker: compact_str::format_compact!("m{sequence}"),
        item: ITEM,
    }
}

fn record(sequence: u32) -> Record {
    vec![key("a", sequence)]
}

/// A group that ran the given writes once each.
fn contents(sequences: &[u32]) -> Contents {
    let rows: Vec<_> = sequences.iter().copied().map(row).collect();
    let log: Vec<_> = sequences.iter().copied().map(record).collect();
    Contents {
        bookings: rows.clone(),
        entries: rows,
        counters: [(ITEM, i64::try_from(sequences.len()).unwrap())].into(),
        logs: vec![log],
    }
}

#[test]
fn writes_that_match_their_outcomes_give_no_violation() {
    let attempts = [
        attempt(1, Outcome::Confirmed),
        attempt(2, Outcome::Unknown),
        attempt(3, Outcome::Unknown),
        attempt(4, Outcome::NotRun),
        attempt(5, Outcome::Rejected),
    ];
    assert_eq!(
        Audit::of(&attempts, &contents(&[1, 2])),
        Audit::default(),
        "a write of unknown outcome may have run or not"
    );
}

#[test]
fn lost_confirmed_write() {
    // A write that was confirmed is missing from the group. This happens when a primary
    // confirms before a majority has the record, and a replica without it is promoted.
    let attempts = [
        attempt(1, Outcome::Confirmed),
        attempt(2, Outcome::Confirmed),
    ];
    let audit = Audit::of(&attempts, &contents(&[1]));
    assert_eq!(
        audit,
        Audit {
            lost: 1,
            ..Audit::default()
        }
    );
}

#[test]
fn doubled_by_a_second_run() {
    // One key has two rows and a counter of two. This happens when the answer to a write is
    // lost and the write is sent again without proof that it had not run.
    let attempts = [attempt(1, Outcome::Confirmed)];
    assert_eq!(Audit::of(&attempts, &contents(&[1, 1])).doubled, 1);
}

#[test]
fn doubled_by_a_wrong_counter() {
    // The counter is two for one row. This happens when a single statement of a transaction,
    // here the update of the counter, is repeated.
    let mut contents = contents(&[1]);
    contents.counters.insert(ITEM, 2);
    let audit = Audit::of(&[attempt(1, Outcome::Confirmed)], &contents);
    assert_eq!(
        audit,
        Audit {
            doubled: 1,
            ..Audit::default()
        }
    );
}

#[test]
fn doubled_in_one_log_only() {
    // The log of one instance has a key in two records. This happens when a retry reaches a
    // replaced primary whose log has not been repaired yet.
    let mut contents = contents(&[1]);
    contents.logs.push(vec![record(1), record(1)]);
    let audit = Audit::of(&[attempt(1, Outcome::Confirmed)], &contents);
    assert_eq!(audit.doubled, 1);
}

#[test]
fn same_key_in_two_logs_is_replication() {
    let mut contents = contents(&[1]);
    contents.logs.push(vec![record(1)]);
    let audit = Audit::of(&[attempt(1, Outcome::Confirmed)], &contents);
    assert_eq!(audit, Audit::default());
}

#[test]
fn mixed_by_a_partial_transaction() {
    // A booking has no ledger row. This happens when the connection changes between two
    // statements of a transaction, so that one runs outside of it.
    let mut contents = contents(&[1, 2]);
    contents.entries.pop();
    let attempts = [
        attempt(1, Outcome::Confirmed),
        attempt(2, Outcome::Confirmed),
    ];
    assert_eq!(Audit::of(&attempts, &contents).mixed, 1);
}

#[test]
fn mixed_by_a_foreign_marker() {
    // A row has the marker of another write. This happens when two callers share a connection
    // during a transaction.
    let mut contents = contents(&[1]);
    contents.entries[0].marker = "m2".into();
    assert_eq!(
        Audit::of(&[attempt(1, Outcome::Confirmed)], &contents).mixed,
        1
    );
}

#[test]
fn mixed_by_a_row_without_an_attempt() {
    assert_eq!(Audit::of(&[], &contents(&[9])).mixed, 1);
}

#[test]
fn mixed_in_one_log_record() {
    // One log record has statements of two transactions. This happens when two callers share a
    // connection, so that the statements of both run between one BEGIN and one COMMIT.
    let mut contents = contents(&[1, 2]);
    contents.logs = vec![vec![vec![key("a", 1), key("a", 2)]]];
    let attempts = [
        attempt(1, Outcome::Confirmed),
        attempt(2, Outcome::Confirmed),
    ];
    assert_eq!(Audit::of(&attempts, &contents).mixed, 2);
}

#[test]
fn not_run_but_ran() {
    // A write was answered as "not run" and its row exists. This happens when the statements
    // were sent, no answer came, and the unknown outcome is reported as a refusal.
    for outcome in [Outcome::NotRun, Outcome::Rejected] {
        let audit = Audit::of(&[attempt(1, outcome)], &contents(&[1]));
        assert_eq!(audit.not_run_but_ran, 1, "{outcome:?}");
    }
}

#[test]
fn not_run_but_in_the_log_of_a_replaced_primary() {
    let mut contents = contents(&[]);
    contents.counters.clear();
    contents.logs.push(vec![record(1)]);
    let audit = Audit::of(&[attempt(1, Outcome::NotRun)], &contents);
    assert_eq!(
        audit,
        Audit {
            not_run_but_ran: 1,
            ..Audit::default()
        }
    );
}

#[test]
fn outcomes_are_read_from_error_fields() {
    let cases = [
        ("08007", "not run", None, Outcome::Unknown),
        ("40001", "x", Some("Not run: no primary"), Outcome::NotRun),
        ("53300", "too many", None, Outcome::NotRun),
        ("08006", "connection failure", None, Outcome::Unknown),
        (
            "08006",
            "connection failure; not run",
            None,
            Outcome::NotRun,
        ),
        ("57P01", "terminating", None, Outcome::Unknown),
        ("40001", "could not serialize", None, Outcome::Rejected),
    ];
    for (code, message, detail, expected) in cases {
        assert_eq!(
            Outcome::from_error(code, message, detail),
            expected,
            "{code} {message}"
        );
    }
}

#[test]
fn keys_are_found_once_in_any_text() {
    let text = "BEGIN; INSERT INTO b VALUES ('key-a-1', 'm'); INSERT INTO l VALUES ('key-a-1')";
    assert_eq!(keys(text), [key("a", 1)]);
    assert!(keys("UPDATE calendar SET taken = taken + 1").is_empty());
}
