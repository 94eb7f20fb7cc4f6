//! How long a holder doubts, through returns of the store in a row, in virtual time.

use std::time::Duration;

use mangotray_desk::uncertainty;

/// A return each so often.
const RESET_INTERVAL: u64 = 8;

/// Longer than any order takes.
const MAX_DELAY: u64 = 9;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a group that stays without a primary for as long as the store goes on coming back.
#[test]
fn returns_in_a_row_do_not_prolong_a_holders_doubt() {
    let mut uncertainty = uncertainty::Uncertainty::default().observe(1, seconds(0));
    for turn in 1..8 {
        let now = seconds(turn * RESET_INTERVAL);
        uncertainty = uncertainty.observe(turn + 1, now).held_across_reset();
        assert!(
            !uncertainty.is_open(now + seconds(1)),
            "return {turn}: {uncertainty:?}"
        );
    }
}

/// Guards against replicas of a lost promotion that are freed early, as a return of the store ended a doubt that
/// began with the one before.
#[test]
fn a_holder_goes_on_doubting_what_it_doubted_before_a_return() {
    let taken = uncertainty::Uncertainty::default()
        .observe(1, seconds(0))
        .observe(2, seconds(20));
    let returned = taken.observe(3, seconds(24)).held_across_reset();
    assert!(returned.is_open(seconds(28)), "{returned:?}");
    assert!(!returned.is_open(seconds(20 + MAX_DELAY)), "{returned:?}");
}

/// Guards against a holder of before a return that takes what others did in an era that it has not seen for nothing.
#[test]
fn a_return_that_was_missed_is_doubted() {
    let uncertainty = uncertainty::Uncertainty::default().observe(1, seconds(0));
    let uncertainty = uncertainty.observe(3, seconds(30)).held_across_reset();
    assert!(uncertainty.is_open(seconds(31)), "{uncertainty:?}");
}

/// Guards against holders that start again, one after the other, and each of which waits as if the store had
/// just come back.
#[test]
fn a_process_that_starts_long_after_a_return_doubts_nothing() {
    let witness = uncertainty::Uncertainty::default().observe(4, seconds(0));
    assert!(!witness.has_settled(seconds(RESET_INTERVAL)));
    assert!(witness.has_settled(seconds(MAX_DELAY)));
    let started = uncertainty::Uncertainty::default().observe(4, seconds(1));
    assert!(started.is_open(seconds(2)));
    assert!(!started.settled(witness.era()).is_open(seconds(2)));
    // What was told of an earlier era says nothing of the return since.
    assert!(started.settled(3).is_open(seconds(2)));
}
