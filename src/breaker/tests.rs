use std::time;

use assert_matches::assert_matches;

use crate::breaker;
use crate::id;

fn ms(count: u64) -> id::Time {
    time::Duration::from_millis(count)
}

fn random() -> fastrand::Rng {
    fastrand::Rng::with_seed(7)
}

fn opened(random: &mut fastrand::Rng) -> (breaker::Breaker, id::Time) {
    let mut breaker = breaker::Breaker::new(breaker::Limits::default());
    for _ in 0..5 {
        let permit = breaker.permit(ms(0)).unwrap();
        breaker.record_failure(permit, ms(0), random);
    }
    let until = assert_matches!(breaker.state(), breaker::State::Open { until } => until);
    (breaker, until)
}

#[test]
fn opens_after_failures_in_a_row_and_tries_once() {
    let (mut breaker, until) = opened(&mut random());
    assert!(breaker.permit(until.saturating_sub(ms(1))).is_none());
    let trial = breaker.permit(until).unwrap();
    assert!(breaker.permit(until).is_none());
    breaker.record_success(trial, until + ms(5));
    assert_eq!(breaker.state(), breaker::State::Closed);
}

#[test]
fn successes_between_failures_keep_it_closed_below_the_ratio() {
    let mut random = random();
    let mut breaker = breaker::Breaker::new(breaker::Limits::default());
    for step in 0..300 {
        let permit = breaker.permit(ms(step)).unwrap();
        if step % 3 == 0 {
            breaker.record_failure(permit, ms(step), &mut random);
        } else {
            breaker.record_success(permit, ms(step));
        }
    }
    assert_eq!(breaker.state(), breaker::State::Closed);
}

#[test]
fn opens_on_the_ratio_within_the_window_only() {
    let mut random = random();
    let mut breaker = breaker::Breaker::new(breaker::Limits::default());
    let mut sample = |breaker: &mut breaker::Breaker, at: id::Time, failed: bool| {
        let permit = breaker.permit(at).unwrap();
        if failed {
            breaker.record_failure(permit, at, &mut random);
        } else {
            breaker.record_success(permit, at);
        }
    };
    (0..18).for_each(|step| sample(&mut breaker, ms(step), step % 2 == 0));
    let later = ms(11_000);
    (0..18).for_each(|step| sample(&mut breaker, later, step % 2 == 1));
    assert_eq!(breaker.state(), breaker::State::Closed);
    sample(&mut breaker, later, false);
    sample(&mut breaker, later, true);
    assert_matches!(breaker.state(), breaker::State::Open { .. });
}

#[test]
fn failed_trials_lengthen_the_pause_up_to_the_ceiling() {
    let mut random = random();
    let (mut breaker, mut until) = opened(&mut random);
    let ceiling = breaker::Limits::default().ceiling;
    let mut longest = ms(0);
    for _ in 0..20 {
        let now = until;
        let trial = breaker.permit(now).unwrap();
        breaker.record_failure(trial, now, &mut random);
        until = assert_matches!(breaker.state(), breaker::State::Open { until } => until);
        longest = longest.max(until.saturating_sub(now));
    }
    assert!(longest > ceiling / 2 && longest <= ceiling * 3 / 2);
}

/// Guards against an instance that hangs being put back into use repeatedly: a request is sent,
/// others fail and open the breaker, a trial starts, and then the late answer to the first
/// request is counted as the trial's.
#[test]
fn a_result_from_before_the_change_is_ignored() {
    let mut random = random();
    let mut breaker = breaker::Breaker::new(breaker::Limits::default());
    let early = breaker.permit(ms(0)).unwrap();
    for _ in 0..5 {
        let permit = breaker.permit(ms(0)).unwrap();
        breaker.record_failure(permit, ms(0), &mut random);
    }
    let trial = breaker.permit(ms(1_000)).unwrap();
    breaker.record_success(early, ms(1_001));
    assert_matches!(breaker.state(), breaker::State::HalfOpen { .. });
    breaker.record_failure(trial, ms(1_002), &mut random);
    assert_matches!(breaker.state(), breaker::State::Open { .. });
}

/// Guards against a healthy instance that never gets requests again: the trial's caller
/// disconnects before the answer, so no result is reported and no other trial may start.
#[test]
fn a_lost_trial_is_replaced() {
    let (mut breaker, until) = opened(&mut random());
    breaker.permit(until).unwrap();
    let again = until + breaker::Limits::default().ceiling;
    assert!(breaker.permit(again.saturating_sub(ms(1))).is_none());
    let trial = breaker.permit(again).unwrap();
    breaker.record_success(trial, again);
    assert_eq!(breaker.state(), breaker::State::Closed);
}

#[test]
fn reopening_is_jittered() {
    let (_, first) = opened(&mut fastrand::Rng::with_seed(1));
    let (_, second) = opened(&mut fastrand::Rng::with_seed(2));
    assert_ne!(first, second);
}
