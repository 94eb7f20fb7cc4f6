//! Duration of the uncertainty about lost orders through repeated resets of the store, in virtual
//! time.

use std::time::Duration;

use mangotray_desk::uncertainty;

/// Seconds between two resets.
const RESET_INTERVAL: u64 = 8;

/// Seconds, longer than any order takes.
const MAX_DELAY: u64 = 9;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a group that stays without a primary for as long as the store is reset again and
/// again.
#[test]
fn resets_in_a_row_do_not_prolong_the_uncertainty() {
    let mut uncertainty = uncertainty::Uncertainty::default().observe(1, seconds(0));
    for reset in 1..8 {
        let now = seconds(reset * RESET_INTERVAL);
        uncertainty = uncertainty.observe(reset + 1, now).held_across_reset();
        assert!(
            !uncertainty.is_open(now + seconds(1)),
            "return {reset}: {uncertainty:?}"
        );
    }
}

/// Guards against replicas of a lost promotion that are released early because a reset of the store
/// ended the uncertainty that began with the reset before.
#[test]
fn uncertainty_from_before_a_reset_remains() {
    let taken = uncertainty::Uncertainty::default()
        .observe(1, seconds(0))
        .observe(2, seconds(20));
    let returned = taken.observe(3, seconds(24)).held_across_reset();
    assert!(returned.is_open(seconds(28)), "{returned:?}");
    assert!(!returned.is_open(seconds(20 + MAX_DELAY)), "{returned:?}");
}

/// Guards against a holder from before a reset that ignores what others did in an era that it
/// hasn't seen.
#[test]
fn a_missed_reset_causes_uncertainty() {
    let uncertainty = uncertainty::Uncertainty::default().observe(1, seconds(0));
    let uncertainty = uncertainty.observe(3, seconds(30)).held_across_reset();
    assert!(uncertainty.is_open(seconds(31)), "{uncertainty:?}");
}

/// Guards against promoters that restart one after the other, each of which waits as if the store
/// had just been reset.
#[test]
fn a_process_that_starts_long_after_a_reset_has_no_uncertainty() {
    let observer = uncertainty::Uncertainty::default().observe(4, seconds(0));
    assert!(!observer.has_settled(seconds(RESET_INTERVAL)));
    assert!(observer.has_settled(seconds(MAX_DELAY)));
    let started = uncertainty::Uncertainty::default().observe(4, seconds(1));
    assert!(started.is_open(seconds(2)));
    assert!(!started.settled(observer.era()).is_open(seconds(2)));
    // An entry about an earlier era says nothing about the reset since.
    assert!(started.settled(3).is_open(seconds(2)));
}
