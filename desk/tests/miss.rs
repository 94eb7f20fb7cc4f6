//! What a failed try means for the next one.

use mangotray_desk::miss;
use mangotray_desk::pool;
use mangotray_desk::reply;
use mangotray_desk::upstream;

/// Symptom: after a restart of all nodes, requests are refused though the instances are idle.
/// Events: the first connections to an instance are still being opened; a request waits for
/// one and is told that it waited behind others, for which there is little patience.
/// Cause: a missing connection was taken for a busy one.
#[test]
fn a_connection_that_is_being_opened_is_no_crowd() {
    let of = miss::Miss::of_shortage;
    assert_eq!(of(pool::Shortage::Late), miss::Miss::Crowded);
    assert_eq!(of(pool::Shortage::Opening), miss::Miss::Unreachable);
    assert_eq!(of(pool::Shortage::Down), miss::Miss::Unreachable);
}

/// Symptom: bookings fail while a primary is replaced, which takes half a second.
/// Events: the old primary refuses a write, as it leads no more.
/// Cause: the refusal was taken for one that stays.
#[test]
fn a_primary_that_leads_no_more_is_no_reason_to_give_up() {
    let code = reply::Code::ReadOnly;
    assert_eq!(miss::Miss::of_code(&code), miss::Miss::Elsewhere);
}

#[test]
fn a_refusal_says_whether_the_statement_waited_behind_others() {
    let failure = |crowded| upstream::Failure {
        sent: false,
        crowded,
        detail: "no turn in time".into(),
    };
    assert_eq!(miss::Miss::of_unsent(&failure(true)), miss::Miss::Crowded);
    assert_eq!(
        miss::Miss::of_unsent(&failure(false)),
        miss::Miss::Unreachable
    );
}
