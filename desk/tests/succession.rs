//! When a primary is replaced.

use std::time;

use mangotray::stamp;
use mangotray_desk::succession;

fn at(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// A look at a leaving primary.
fn round(millis: u64, added: u64) -> succession::Round {
    let stamp = stamp::Stamp::new(1, 5);
    succession::Round {
        started: at(millis),
        primary: succession::Reach::Answered(stamp),
        leaving: true,
        added: at(added),
        received: Some(stamp),
        held: false,
    }
}

/// Symptom: an acknowledged booking is gone after a planned change of primary.
/// Events: a primary announces its end; its successor has started but is listed 170 ms
/// later; the promotion begins before.
/// Cause: nothing waited for the successor, which may be the only one with a commit.
#[test]
fn a_planned_change_waits_for_the_list_to_settle() {
    let mut watch = succession::Watch::default();
    assert_eq!(watch.judge(&round(10_000, 9_900)), None);
    assert_eq!(watch.judge(&round(10_300, 10_170)), None);
    assert_eq!(watch.judge(&round(10_900, 10_170)), None);
    let planned = Some(succession::Cause::Planned);
    assert_eq!(watch.judge(&round(11_000, 10_170)), planned);
}

#[test]
fn a_planned_change_waits_no_longer_than_the_primary_works() {
    let mut watch = succession::Watch::default();
    for millis in (10_000..12_900).step_by(300) {
        assert_eq!(watch.judge(&round(millis, millis)), None);
    }
    let planned = Some(succession::Cause::Planned);
    assert_eq!(watch.judge(&round(13_000, 13_000)), planned);
}
