//! Reasons for which a statement is retried.

use std::time;

use mangotray_desk::load::budget;
use mangotray_desk::load::delay;
use mangotray_desk::reply;
use mangotray_desk::retry;
use mangotray_desk::shortage;
use mangotray_desk::upstream;

/// Guards against requests that are refused after a restart of all nodes though the instances are
/// idle. A request that waited for the first connection to be opened was treated as if it had
/// waited behind others, for which the retry deadline is shorter.
#[test]
fn a_connection_being_opened_does_not_count_as_overload() {
    let reason = retry::Reason::from_shortage;
    assert_eq!(reason(shortage::Shortage::Late), retry::Reason::Overloaded);
    assert_eq!(
        reason(shortage::Shortage::Opening),
        retry::Reason::Unreachable
    );
    assert_eq!(reason(shortage::Shortage::Down), retry::Reason::Unreachable);
}

/// Guards against writes that fail while a primary is replaced, which takes half a second. The
/// former primary refuses a write, and the refusal was treated as permanent.
#[test]
fn a_former_primary_is_unsuitable() {
    let code = reply::Code::ReadOnly;
    assert_eq!(retry::Reason::from_code(&code), retry::Reason::Unsuitable);
}

#[test]
fn an_unsent_failure_tells_overload_from_unreachable() {
    let failure = |crowded| upstream::Failure {
        sent: false,
        crowded,
        detail: "no turn in time".into(),
    };
    assert_eq!(
        retry::Reason::from_unsent(&failure(true)),
        retry::Reason::Overloaded
    );
    assert_eq!(
        retry::Reason::from_unsent(&failure(false)),
        retry::Reason::Unreachable
    );
}

/// Guards against a burst in which retries double the load: each statement is refused, and wants
/// two retries.
#[test]
fn retries_in_a_burst_stay_within_the_budget() {
    const PERCENT: u32 = 20;
    let mut budget = budget::Budget::new(PERCENT);
    let (mut statements, mut retries) = (0, 0);
    // 10 s of 50 statements a second, a burst of 2 s with ten times as many, and a quiet minute.
    let step = time::Duration::from_millis(1);
    for millisecond in 0..72_000_u32 {
        let now = step * millisecond;
        let (arriving, refused) = match millisecond {
            0..10_000 => (u32::from(millisecond % 20 == 0), false),
            10_000..12_000 => (u32::from(millisecond % 2 == 0), true),
            _ => (0, false),
        };
        for _ in 0..arriving {
            statements += 1;
            budget.note_statement(now);
            let wanted = if refused { 2 } else { 0 };
            retries += (0..wanted).filter(|_| budget.take(now)).count();
        }
    }
    assert_eq!(statements, 1500);
    let bound = 3 + statements * PERCENT as usize / 100;
    assert!(retries <= bound, "{retries} of {bound}");
    assert!(retries >= 200, "{retries}");
    // What was gathered lapses with the load that it came from.
    let later = time::Duration::from_secs(90);
    assert!((0..100).filter(|_| budget.take(later)).count() <= 3);
}

/// Guards against a node that may gather retries without end while nothing fails.
#[test]
fn a_budget_holds_the_share_of_ten_seconds() {
    let mut budget = budget::Budget::new(10);
    for second in 0..1000 {
        for _ in 0..40 {
            budget.note_statement(time::Duration::from_secs(second));
        }
    }
    let now = time::Duration::from_secs(999);
    assert_eq!((0..1000).filter(|_| budget.take(now)).count(), 40);
}

/// Guards against callers that all come back at the same moment.
#[test]
fn times_to_come_back_are_spread_above_the_value() {
    let value = time::Duration::from_millis(200);
    let mut random = fastrand::Rng::with_seed(1);
    let times: Vec<_> = (0..200)
        .map(|_| delay::spread(value, random.f64()))
        .collect();
    assert!(
        times
            .iter()
            .all(|time| (value..=value * 3 / 2).contains(time))
    );
    let late = times.iter().filter(|time| **time > value * 5 / 4).count();
    assert!((60..140).contains(&late), "{late}");
}
