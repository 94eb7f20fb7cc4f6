//! Reasons for which a statement is retried.

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
