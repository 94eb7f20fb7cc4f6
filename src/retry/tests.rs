use std::cmp;
use std::collections;
use std::time;

use assert_matches::assert_matches;

use crate::class;
use crate::id;
use crate::outcome;
use crate::reason;
use crate::retry;

const CLASSES: [class::Class; 6] = [
    class::Class::Read,
    class::Class::Write,
    class::Class::Begin,
    class::Class::BeginRead,
    class::Class::Commit,
    class::Class::Rollback,
];

fn ms(count: u64) -> id::Time {
    time::Duration::from_millis(count)
}

fn not_run(reason: reason::Reason) -> outcome::Outcome {
    outcome::Outcome::NotRun {
        reason,
        detail: "".into(),
        retry: None,
    }
}

fn unknown() -> outcome::Outcome {
    outcome::Outcome::Unknown {
        reason: reason::Reason::ConnectionLost,
        detail: "".into(),
    }
}

fn attempt(class: class::Class) -> retry::Attempt {
    retry::Attempt {
        class,
        pinned: false,
        number: 1,
        deadline: ms(5_000),
    }
}

fn decide(attempt: &retry::Attempt, outcome: &outcome::Outcome) -> retry::Decision {
    retry::decide(
        attempt,
        outcome,
        ms(0),
        &mut retry::Budget::new(ms(0)),
        &mut retry::Backoff::default(),
        &mut fastrand::Rng::with_seed(5),
    )
}

/// Guards against a booking that is made twice: the write runs, its answer is lost, and the
/// proxy sends it again because it treats the unknown outcome as "not run".
#[test]
fn only_a_read_is_repeated_after_an_unknown_outcome() {
    for class in CLASSES {
        let again = decide(&attempt(class), &unknown()) != retry::Decision::GiveUp;
        assert_eq!(again, class == class::Class::Read, "{class:?}");
    }
}

#[test]
fn not_run_is_repeated_unless_it_ends_a_transaction() {
    for class in CLASSES {
        let outcome = not_run(reason::Reason::NoPrimary);
        let again = decide(&attempt(class), &outcome) != retry::Decision::GiveUp;
        let ends = matches!(class, class::Class::Commit | class::Class::Rollback);
        assert_eq!(again, !ends, "{class:?}");
    }
}

#[test]
fn nothing_of_an_open_transaction_is_repeated() {
    for class in CLASSES {
        let mut pinned = attempt(class);
        pinned.pinned = true;
        let outcome = not_run(reason::Reason::ConnectionLost);
        assert_eq!(decide(&pinned, &outcome), retry::Decision::GiveUp);
    }
}

#[test]
fn an_overload_refusal_is_not_retried() {
    let outcome = not_run(reason::Reason::Overload);
    assert_eq!(
        decide(&attempt(class::Class::Read), &outcome),
        retry::Decision::GiveUp
    );
}

#[test]
fn a_hint_beyond_the_deadline_and_the_last_attempt_give_up() {
    let outcome = outcome::Outcome::NotRun {
        reason: reason::Reason::NoPrimary,
        detail: "".into(),
        retry: Some(ms(2_000)),
    };
    let mut attempt = attempt(class::Class::Read);
    assert_matches!(decide(&attempt, &outcome), retry::Decision::Again { after } if after >= ms(2_000));
    attempt.deadline = ms(2_000);
    assert_eq!(decide(&attempt, &outcome), retry::Decision::GiveUp);
    attempt.deadline = ms(5_000);
    attempt.number = retry::MAX_ATTEMPTS;
    assert_eq!(decide(&attempt, &outcome), retry::Decision::GiveUp);
}

#[derive(Default)]
struct Counts {
    firsts: u64,
    sent: u64,
    served: u64,
}

/// Time, number and deadline of an attempt. `Reverse` makes the heap return the earliest first.
type Event = cmp::Reverse<(id::Time, u32, id::Time)>;

fn arrivals(count: u64) -> collections::BinaryHeap<Event> {
    (0..count)
        .map(|number| cmp::Reverse((ms(number * 2), 1, ms(number * 2 + 2_000))))
        .collect()
}

/// Guards against an upstream that fails again right after an outage: all requests during an
/// outage of 10 s fail and are retried until after its end, and without a common limit the
/// retries multiply the load.
#[test]
fn load_through_an_outage_stays_within_the_budget() {
    let outage = ms(5_000)..ms(15_000);
    let mut random = fastrand::Rng::with_seed(11);
    let mut budget = retry::Budget::new(ms(0));
    let mut counts = Counts::default();
    let mut events = arrivals(12_500);
    while let Some(cmp::Reverse((now, number, deadline))) = events.pop() {
        counts.sent += 1;
        if number == 1 {
            counts.firsts += 1;
            budget.record_first_attempt();
        }
        if outage.contains(&now) {
            let attempt = retry::Attempt {
                number,
                deadline,
                ..attempt(class::Class::Read)
            };
            let mut backoff = retry::Backoff::default();
            let decision = retry::decide(
                &attempt,
                &not_run(reason::Reason::NoPrimary),
                now,
                &mut budget,
                &mut backoff,
                &mut random,
            );
            if let retry::Decision::Again { after } = decision {
                events.push(cmp::Reverse((now + after, number + 1, deadline)));
            }
        } else {
            counts.served += 1;
        }
        let bound = retry::Budget::max_retries(counts.firsts, now);
        assert!(counts.sent - counts.firsts <= bound, "at {now:?}");
    }
    println!(
        "{} first attempts, {} sent, {} served",
        counts.firsts, counts.sent, counts.served
    );
    assert_eq!(counts.firsts, 12_500);
    assert!(
        counts.sent > counts.firsts + 400,
        "too few retries during the outage"
    );
    assert!(counts.sent * 10 <= counts.firsts * 11 + 10 * 35);
}
