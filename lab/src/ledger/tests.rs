use crate::ledger::{Audit, Holding, Promise, Record, Row, Told, key, keys};

const ITEM: u32 = 4;

fn promise(sequence: u32, told: Told) -> Promise {
    Promise {
        key: key("a", sequence),
        marker: compact_str::format_compact!("m{sequence}"),
        item: ITEM,
        told,
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
fn holding(sequences: &[u32]) -> Holding {
    let rows: Vec<_> = sequences.iter().copied().map(row).collect();
    let log: Vec<_> = sequences.iter().copied().map(record).collect();
    Holding {
        bookings: rows.clone(),
        entries: rows,
        taken: [(ITEM, i64::try_from(sequences.len()).unwrap())].into(),
        logs: vec![log],
    }
}

#[test]
fn kept_promises_give_no_violation() {
    let promises = [
        promise(1, Told::Confirmed),
        promise(2, Told::Unknown),
        promise(3, Told::Unknown),
        promise(4, Told::NotRun),
        promise(5, Told::Rejected),
    ];
    assert_eq!(
        Audit::of(&promises, &holding(&[1, 2])),
        Audit::default(),
        "an unknown write may have run or not"
    );
}

#[test]
fn lost() {
    // Symptom: a caller holds a confirmation and the group has no such row.
    // Events: confirmed on the primary alone; promotion of a replica without it.
    // Cause: confirmation before a majority held the record.
    let promises = [promise(1, Told::Confirmed), promise(2, Told::Confirmed)];
    let audit = Audit::of(&promises, &holding(&[1]));
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
    // Symptom: two rows for one key, and a counter of two.
    // Events: answer of the first run lost; the statements sent again.
    // Cause: a retry of a write that was not proven unrun.
    let promises = [promise(1, Told::Confirmed)];
    assert_eq!(Audit::of(&promises, &holding(&[1, 1])).doubled, 1);
}

#[test]
fn doubled_by_a_counter_that_is_off() {
    // Symptom: a counter of two over one row.
    // Events: the counting statement ran twice, the insert once.
    // Cause: a single statement of a transaction was repeated.
    let mut held = holding(&[1]);
    held.taken.insert(ITEM, 2);
    let audit = Audit::of(&[promise(1, Told::Confirmed)], &held);
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
    // Symptom: the log of one instance has a key in two records.
    // Events: a replaced primary ran the repetition; its log was not repaired yet.
    // Cause: a retry went to the old primary and the new one.
    let mut held = holding(&[1]);
    held.logs.push(vec![record(1), record(1)]);
    let audit = Audit::of(&[promise(1, Told::Confirmed)], &held);
    assert_eq!(audit.doubled, 1);
}

#[test]
fn same_key_in_two_logs_is_replication() {
    let mut held = holding(&[1]);
    held.logs.push(vec![record(1)]);
    let audit = Audit::of(&[promise(1, Told::Confirmed)], &held);
    assert_eq!(audit, Audit::default());
}

#[test]
fn mixed_by_a_half_transaction() {
    // Symptom: a booking without its ledger row.
    // Events: the connection changed between two statements of a transaction.
    // Cause: statements outside the transaction they belong to.
    let mut held = holding(&[1, 2]);
    held.entries.pop();
    let promises = [promise(1, Told::Confirmed), promise(2, Told::Confirmed)];
    assert_eq!(Audit::of(&promises, &held).mixed, 1);
}

#[test]
fn mixed_by_a_foreign_marker() {
    // Symptom: a row carries the marker of another write.
    // Events: two callers' statements met on one connection.
    // Cause: a connection shared inside a transaction.
    let mut held = holding(&[1]);
    held.entries[0].marker = "m2".into();
    assert_eq!(Audit::of(&[promise(1, Told::Confirmed)], &held).mixed, 1);
}

#[test]
fn mixed_by_a_row_that_nobody_asked_for() {
    assert_eq!(Audit::of(&[], &holding(&[9])).mixed, 1);
}

#[test]
fn mixed_in_one_log_record() {
    // Symptom: one log record holds statements of two transactions.
    // Events: both callers' statements ran between one BEGIN and one COMMIT.
    // Cause: a connection shared inside a transaction.
    let mut held = holding(&[1, 2]);
    held.logs = vec![vec![vec![key("a", 1), key("a", 2)]]];
    let promises = [promise(1, Told::Confirmed), promise(2, Told::Confirmed)];
    assert_eq!(Audit::of(&promises, &held).mixed, 2);
}

#[test]
fn not_run_but_ran() {
    // Symptom: a caller was told "not run" and the row is there.
    // Events: the statements were sent, the answer did not come, the refusal said not run.
    // Cause: an unknown outcome taken for a refusal.
    for told in [Told::NotRun, Told::Rejected] {
        let audit = Audit::of(&[promise(1, told)], &holding(&[1]));
        assert_eq!(audit.not_run_but_ran, 1, "{told:?}");
    }
}

#[test]
fn not_run_but_in_the_log_of_a_replaced_primary() {
    let mut held = holding(&[]);
    held.taken.clear();
    held.logs.push(vec![record(1)]);
    let audit = Audit::of(&[promise(1, Told::NotRun)], &held);
    assert_eq!(
        audit,
        Audit {
            not_run_but_ran: 1,
            ..Audit::default()
        }
    );
}

#[test]
fn answers_are_read_from_error_fields() {
    let cases = [
        ("08007", "not run", None, Told::Unknown),
        ("40001", "x", Some("Not run: no primary"), Told::NotRun),
        ("53300", "too many", None, Told::NotRun),
        ("08006", "connection failure", None, Told::Unknown),
        ("08006", "connection failure; not run", None, Told::NotRun),
        ("57P01", "terminating", None, Told::Unknown),
        ("40001", "could not serialize", None, Told::Rejected),
    ];
    for (code, message, detail, told) in cases {
        assert_eq!(
            Told::from_error(code, message, detail),
            told,
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
