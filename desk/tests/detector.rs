//! Tests of the failure detector and of the backoff between promotions.

use std::time;

use mangotray::stamp;
use mangotray_desk::backoff;
use mangotray_desk::detector;

fn at(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// A round with a leaving primary.
fn round(millis: u64, last_added: u64) -> detector::Round {
    let stamp = stamp::Stamp::new(1, 5);
    detector::Round {
        started: at(millis),
        primary: detector::Reach::Answered(stamp),
        primary_leaving: true,
        last_added: at(last_added),
        received: Some(stamp),
        held_for_later_term: false,
        replica_count: 2,
        answer_count: 2,
    }
}

/// A round with a primary that has records which no replica receives.
fn stalled(millis: u64, replica_count: usize, answer_count: usize) -> detector::Round {
    detector::Round {
        primary: detector::Reach::Answered(stamp::Stamp::new(1, 9)),
        primary_leaving: false,
        replica_count,
        answer_count,
        ..round(millis, 0)
    }
}

fn judge_for_seconds(replica_count: usize, answer_count: usize) -> Option<detector::Cause> {
    let mut detector = detector::Detector::default();
    let rounds = (10_000..13_000).step_by(100);
    rounds.fold(None, |cause, millis| {
        cause.or(detector.judge(&stalled(millis, replica_count, answer_count)))
    })
}

/// Guards against a lost commit after a planned promotion. A new instance has started when the
/// primary announces its shutdown, but is listed 170 ms later. It may be the only replica with some
/// commit, and the promotion began without it.
#[test]
fn a_planned_promotion_waits_for_the_list_to_be_stable() {
    let mut detector = detector::Detector::default();
    assert_eq!(detector.judge(&round(10_000, 9_900)), None);
    assert_eq!(detector.judge(&round(10_300, 10_170)), None);
    assert_eq!(detector.judge(&round(10_900, 10_170)), None);
    let planned = Some(detector::Cause::Planned);
    assert_eq!(detector.judge(&round(11_000, 10_170)), planned);
}

#[test]
fn a_planned_promotion_waits_no_longer_than_the_primary_runs() {
    let mut detector = detector::Detector::default();
    for millis in (10_000..12_900).step_by(300) {
        assert_eq!(detector.judge(&round(millis, millis)), None);
    }
    let planned = Some(detector::Cause::Planned);
    assert_eq!(detector.judge(&round(13_000, 13_000)), planned);
}

/// Guards against a promotion that leaves the new primary without a replica as well.
#[test]
fn a_primary_without_replicas_is_replaced_only_where_two_answer() {
    assert_eq!(judge_for_seconds(2, 2), Some(detector::Cause::Stalled));
    assert_eq!(judge_for_seconds(1, 1), None);
    assert_eq!(judge_for_seconds(2, 1), None);
}

/// Guards against a late promotion for a stall with two healthy replicas.
#[test]
fn a_stall_with_two_replicas_triggers_a_promotion_after_700_ms() {
    let mut detector = detector::Detector::default();
    assert_eq!(detector.judge(&stalled(10_000, 2, 2)), None);
    assert_eq!(detector.judge(&stalled(10_600, 2, 2)), None);
    let cause = Some(detector::Cause::Stalled);
    assert_eq!(detector.judge(&stalled(10_700, 2, 2)), cause);
}

/// Guards against a stalled primary that is kept for seconds because it answers only every other
/// status query while its callers' writes wait.
#[test]
fn a_stalled_primary_that_answers_now_and_then_is_replaced() {
    let mut detector = detector::Detector::default();
    let silent = |millis| detector::Round {
        primary: detector::Reach::Silent,
        ..stalled(millis, 2, 2)
    };
    assert_eq!(detector.judge(&stalled(10_000, 2, 2)), None);
    assert_eq!(detector.judge(&silent(10_300)), None);
    assert_eq!(detector.judge(&stalled(10_600, 2, 2)), None);
    assert_eq!(detector.judge(&silent(10_800)), None);
    let cause = Some(detector::Cause::Stalled);
    assert_eq!(detector.judge(&stalled(11_100, 2, 2)), cause);
}

/// Guards against a primary that is taken for stalled because of a record in flight after a short
/// silence.
#[test]
fn a_record_in_flight_after_a_silence_is_no_stall() {
    let mut detector = detector::Detector::default();
    let at_work = |millis, own, theirs| detector::Round {
        primary: detector::Reach::Answered(stamp::Stamp::new(1, own)),
        received: Some(stamp::Stamp::new(1, theirs)),
        ..stalled(millis, 2, 2)
    };
    let silent = |millis| detector::Round {
        primary: detector::Reach::Silent,
        ..at_work(millis, 9, 8)
    };
    assert_eq!(detector.judge(&at_work(10_000, 8, 7)), None);
    assert_eq!(detector.judge(&silent(10_300)), None);
    assert_eq!(detector.judge(&silent(10_800)), None);
    assert_eq!(detector.judge(&at_work(11_100, 9, 8)), None);
}

/// Guards against repeated promotions between instances that cannot reach each other.
#[test]
fn stall_promotions_between_the_same_instances_back_off() {
    let mut backoff = backoff::Backoff::default();
    let cause = detector::Cause::Stalled;
    let (a, b) = ("a".into(), "b".into());
    backoff.note_promotion(&a, &b, cause, at(10_000));
    assert!(!backoff.permits(&b, cause, at(13_900)));
    assert!(backoff.permits(&b, cause, at(14_000)));
    backoff.note_promotion(&b, &a, cause, at(14_000));
    assert!(!backoff.permits(&a, cause, at(21_900)));
    assert!(backoff.permits(&a, cause, at(22_000)));
    // A different primary that has lost its replicas is replaced at once.
    assert!(backoff.permits(&"c".into(), cause, at(14_000)));
}

/// Guards against replicas that are held again and again by failed promotions, while the primary
/// gets no commit confirmed.
#[test]
fn given_up_promotions_back_off_and_repeat_before_a_leaving_primary_ends() {
    let mut backoff = backoff::Backoff::default();
    let cause = detector::Cause::Planned;
    let primary = "a".into();
    let (mut now, mut tries) = (13_000, Vec::new());
    while now < 17_000 {
        if backoff.permits(&primary, cause, at(now)) {
            backoff.note_given_up(cause, at(now));
            tries.push(now);
        }
        now += 100;
    }
    assert_eq!(tries, [13_000, 13_500, 14_500, 16_000]);
}

/// Guards against a primary without power that counts as leaving because its entry has expired: its
/// promotion was postponed again and again as a planned one.
#[test]
fn a_leaving_primary_that_does_not_answer_is_replaced_as_a_silent_one() {
    let mut detector = detector::Detector::default();
    let silent = |millis| detector::Round {
        primary: detector::Reach::Silent,
        primary_leaving: true,
        received: Some(stamp::Stamp::new(1, 8)),
        ..round(millis, 0)
    };
    assert_eq!(detector.judge(&silent(10_000)), None);
    assert_eq!(detector.judge(&silent(10_500)), None);
    let cause = Some(detector::Cause::Silent);
    assert_eq!(detector.judge(&silent(10_600)), cause);
    assert_eq!(detector.judge(&silent(14_000)), cause);
}
