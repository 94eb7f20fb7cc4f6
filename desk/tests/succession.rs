//! When a primary is replaced.

use std::time;

use mangotray::stamp;
use mangotray_desk::backoff;
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
        replicas: 2,
        answers: 2,
    }
}

/// A look at a primary that holds records which no replica receives.
fn stalled(millis: u64, replicas: usize, answers: usize) -> succession::Round {
    succession::Round {
        primary: succession::Reach::Answered(stamp::Stamp::new(1, 9)),
        leaving: false,
        replicas,
        answers,
        ..round(millis, 0)
    }
}

fn judge_for_seconds(replicas: usize, answers: usize) -> Option<succession::Cause> {
    let mut watch = succession::Watch::default();
    let rounds = (10_000..13_000).step_by(100);
    rounds.fold(None, |cause, millis| {
        cause.or(watch.judge(&stalled(millis, replicas, answers)))
    })
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

/// Guards against a change of places that leaves the new primary without a replica as well.
#[test]
fn a_primary_without_replicas_is_replaced_only_where_two_answer() {
    assert_eq!(judge_for_seconds(2, 2), Some(succession::Cause::Stalled));
    assert_eq!(judge_for_seconds(1, 1), None);
    assert_eq!(judge_for_seconds(2, 1), None);
}

/// Guards against a stall with two healthy replicas that takes longer to mend than it has to.
#[test]
fn a_stall_with_two_replicas_is_answered_after_seven_tenths_of_a_second() {
    let mut watch = succession::Watch::default();
    assert_eq!(watch.judge(&stalled(10_000, 2, 2)), None);
    assert_eq!(watch.judge(&stalled(10_600, 2, 2)), None);
    let cause = Some(succession::Cause::Stalled);
    assert_eq!(watch.judge(&stalled(10_700, 2, 2)), cause);
}

/// Guards against a stalled primary that is kept for seconds, as it answers only every other look while its callers' writes wait.
#[test]
fn a_stalled_primary_that_answers_now_and_then_is_replaced() {
    let mut watch = succession::Watch::default();
    let silent = |millis| succession::Round {
        primary: succession::Reach::Silent,
        ..stalled(millis, 2, 2)
    };
    assert_eq!(watch.judge(&stalled(10_000, 2, 2)), None);
    assert_eq!(watch.judge(&silent(10_300)), None);
    assert_eq!(watch.judge(&stalled(10_600, 2, 2)), None);
    assert_eq!(watch.judge(&silent(10_800)), None);
    let cause = Some(succession::Cause::Stalled);
    assert_eq!(watch.judge(&stalled(11_100, 2, 2)), cause);
}

/// Guards against a primary that is taken for stalled for a record that is only on its way, after a moment of silence.
#[test]
fn a_record_on_its_way_after_a_silence_is_no_stall() {
    let mut watch = succession::Watch::default();
    let at_work = |millis, own, theirs| succession::Round {
        primary: succession::Reach::Answered(stamp::Stamp::new(1, own)),
        received: Some(stamp::Stamp::new(1, theirs)),
        ..stalled(millis, 2, 2)
    };
    let silent = |millis| succession::Round {
        primary: succession::Reach::Silent,
        ..at_work(millis, 9, 8)
    };
    assert_eq!(watch.judge(&at_work(10_000, 8, 7)), None);
    assert_eq!(watch.judge(&silent(10_300)), None);
    assert_eq!(watch.judge(&silent(10_800)), None);
    assert_eq!(watch.judge(&at_work(11_100, 9, 8)), None);
}

/// Guards against instances that cannot reach each other and change places again and again.
#[test]
fn changes_of_places_for_a_stall_between_the_same_instances_come_less_and_less_often() {
    let mut backoff = backoff::Backoff::default();
    let cause = succession::Cause::Stalled;
    let (a, b) = ("a".into(), "b".into());
    backoff.changed(&a, &b, cause, at(10_000));
    assert!(!backoff.permits(&b, cause, at(13_900)));
    assert!(backoff.permits(&b, cause, at(14_000)));
    backoff.changed(&b, &a, cause, at(14_000));
    assert!(!backoff.permits(&a, cause, at(21_900)));
    assert!(backoff.permits(&a, cause, at(22_000)));
    // Another primary that has lost its replicas is replaced at once.
    assert!(backoff.permits(&"c".into(), cause, at(14_000)));
}

/// Guards against replicas that are held again and again in vain, with a primary that can have nothing confirmed meanwhile.
#[test]
fn promotions_that_are_given_up_come_less_and_less_often_and_before_a_leaving_primary_ends() {
    let mut backoff = backoff::Backoff::default();
    let cause = succession::Cause::Planned;
    let primary = "a".into();
    let (mut now, mut tries) = (13_000, Vec::new());
    while now < 17_000 {
        if backoff.permits(&primary, cause, at(now)) {
            backoff.given_up(cause, at(now));
            tries.push(now);
        }
        now += 100;
    }
    assert_eq!(tries, [13_000, 13_500, 14_500, 16_000]);
}
