//! The phases of a stop, in virtual time.

use std::time;

use mangotray_desk::phase;
use mangotray_desk::shutdown;

/// When the stops of these tests are requested.
const REQUESTED: time::Duration = time::Duration::from_secs(1000);

const STEP: time::Duration = time::Duration::from_millis(1);

fn graces() -> impl Iterator<Item = time::Duration> {
    [200, 1000, 2000, 3000, 4000, 6000, 10_000, 60_000]
        .into_iter()
        .map(time::Duration::from_millis)
}

/// When a phase or a later one begins, counted from the request to stop.
fn start_of(phase: phase::Phase, grace: time::Duration) -> time::Duration {
    let shutdown = shutdown::Shutdown::new(REQUESTED, grace);
    let mut elapsed = time::Duration::ZERO;
    while shutdown.phase(REQUESTED + elapsed) < phase {
        elapsed += STEP;
    }
    elapsed
}

#[test]
fn phases_follow_each_other_and_leave_time_at_any_grace_period() {
    for grace in graces() {
        let closing = start_of(phase::Phase::Closing, grace);
        let finishing = start_of(phase::Phase::Finishing, grace);
        let ending = start_of(phase::Phase::Ending, grace);
        let exit = shutdown::Shutdown::new(time::Duration::ZERO, grace).exit_at();
        let order = [closing, finishing, ending, exit, grace];
        assert!(order.is_sorted_by(|one, next| one < next), "{order:?}");
    }
}

/// Guards against transactions that are rolled back although the platform gives them half of the
/// grace period to end.
#[test]
fn open_transactions_have_half_of_the_grace_period() {
    for grace in graces() {
        assert!(start_of(phase::Phase::Finishing, grace) >= grace / 2);
    }
}

/// Guards against requests that are given up earlier than the last sixth of the grace period,
/// before which nothing excuses an unfinished one.
#[test]
fn nothing_is_given_up_before_the_last_sixth_of_the_grace_period() {
    for grace in graces() {
        assert!(start_of(phase::Phase::Ending, grace) >= grace * 5 / 6);
    }
}

/// Guards against a node that was suspended during a stop and then goes on where it was.
#[test]
fn a_suspension_takes_the_node_to_the_phase_of_the_clock() {
    let grace = time::Duration::from_secs(6);
    let shutdown = shutdown::Shutdown::new(REQUESTED, grace);
    assert_eq!(shutdown.phase(REQUESTED + grace), phase::Phase::Ending);
    assert_eq!(shutdown.phase(REQUESTED + 10 * grace), phase::Phase::Ending);
}

#[test]
fn no_grace_period_ends_everything_at_once() {
    let shutdown = shutdown::Shutdown::new(REQUESTED, time::Duration::ZERO);
    assert_eq!(shutdown.phase(REQUESTED), phase::Phase::Ending);
    assert_eq!(shutdown.exit_at(), REQUESTED);
}
