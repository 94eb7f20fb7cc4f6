//! What a failed try means for the next one.

use mangotray_desk::pool;
use mangotray_desk::reply;
use mangotray_desk::retry;
use mangotray_desk::upstream;

/// Symptom: after a restart of all nodes, requests are refused though the instances are idle.
/// Events: the first connections to an instance are still being opened; a request waits for
/// one and is told that it waited behind others, for which there is little patience.
/// Cause: a missing connection was taken for a busy one.
#[test]
fn a_connection_being_opened_does_not_count_as_overload() {
    let reason = retry::Reason::from_shortage;
    assert_eq!(reason(pool::Shortage::Late), retry::Reason::Overloaded);
    assert_eq!(reason(pool::Shortage::Opening), retry::Reason::Unreachable);
    assert_eq!(reason(pool::Shortage::Down), retry::Reason::Unreachable);
}

/// Symptom: bookings fail while a primary is replaced, which takes half a second.
/// Events: the old primary refuses a write, as it leads no more.
/// Cause: the refusal was taken for one that stays.
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
