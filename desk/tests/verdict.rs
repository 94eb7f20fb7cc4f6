//! Tests of the decision that a promotion derives from the answers to its holds.

use std::time;

use mangotray::role;
use mangotray::stamp;
use mangotray_desk::progress;
use mangotray_desk::status;
use mangotray_desk::upstream;
use mangotray_desk::verdict;

fn report(id: &str, role: role::Role, term: u64, position: u64, held: u64) -> status::Report {
    status::Report {
        id: id.into(),
        status: upstream::Status {
            role,
            term,
            received: stamp::Stamp::new(term, position),
            held,
            load: upstream::Load::default(),
        },
        applied: None,
    }
}

fn held(id: &str, term: u64, position: u64) -> status::Report {
    report(id, role::Role::Replica, term, position, 4)
}

fn leader() -> status::Leader {
    status::Leader {
        id: "a".into(),
        term: 3,
    }
}

fn stays(_: &upstream::Id) -> bool {
    false
}

/// Guards against a loss of acknowledged writes (forty were seen) when a replica restarts without
/// its log before the list of instances shows it. The writes were acknowledged with the receipt of
/// `b`, while `c` received nothing. `b` and `c` answer their holds, but neither has what `b` was
/// known to have. Only the silent primary may have it.
#[test]
fn records_lost_with_a_replica_hold_a_promotion_back_until_the_primary_is_known() {
    let mut progress = progress::Progress::default();
    let now = time::Duration::ZERO;
    let mut record = |report: &status::Report| progress.record(report, now, now);
    assert!(!record(&report("b", role::Role::Replica, 3, 462, 0)));
    assert!(!record(&report("c", role::Role::Replica, 3, 420, 0)));
    let reports = [held("b", 1, 0), held("c", 3, 420)];
    assert!(record(&reports[0]));
    let leader = leader();
    let view = verdict::View {
        leader: &leader,
        term: 4,
        expected: 2,
        reports: &reports,
        max_received: progress
            .max_received()
            .map(|(max_received, _)| max_received),
        pending: None,
        loss: None,
    };
    assert_eq!(view.judge(stays), verdict::Verdict::Lacking);
    let resolve = |old| view.resolve(&old, stays);
    let answers = |report| resolve(verdict::Predecessor::Answers(report));
    let promote = |id: &str| verdict::Verdict::Promote(id.into());
    assert_eq!(
        resolve(verdict::Predecessor::Silent),
        verdict::Verdict::HeldBack
    );
    // The hold-back ends when the primary still leads, is a replica with its log, or has lost it.
    let primary = report("a", role::Role::Primary, 3, 470, 0);
    assert_eq!(answers(primary), verdict::Verdict::Returned);
    assert_eq!(answers(held("a", 3, 470)), promote("a"));
    assert_eq!(answers(held("a", 1, 0)), promote("c"));
    assert_eq!(resolve(verdict::Predecessor::Gone), promote("c"));
}

/// Guards against a promotion that leaves out a replica which could be held later: one that does
/// not answer, is not held, or still leads a term that is over.
#[test]
fn all_others_have_to_be_held() {
    let leader = leader();
    let rows = [
        (vec![held("c", 3, 420)], verdict::Verdict::Missing),
        (
            vec![
                report("b", role::Role::Replica, 3, 420, 3),
                held("c", 3, 420),
            ],
            verdict::Verdict::Wait,
        ),
        (
            vec![
                report("b", role::Role::Primary, 2, 400, 4),
                held("c", 3, 420),
            ],
            verdict::Verdict::Wait,
        ),
        (vec![], verdict::Verdict::Missing),
    ];
    for (reports, expected) in rows {
        let view = verdict::View {
            leader: &leader,
            term: 4,
            expected: 2,
            reports: &reports,
            max_received: None,
            pending: None,
            loss: None,
        };
        assert_eq!(view.judge(stays), expected, "{reports:?}");
    }
}

/// Guards against a replica that is passed over because a former primary answers: only a log that
/// has everything acknowledged in its term makes the missing replica dispensable.
#[test]
fn only_the_whole_log_of_a_stopped_primary_replaces_a_missing_replica() {
    let leader = leader();
    let reports = [held("b", 3, 410)];
    let view = verdict::View {
        leader: &leader,
        term: 4,
        expected: 2,
        reports: &reports,
        max_received: Some(stamp::Stamp::new(3, 412)),
        pending: None,
        loss: None,
    };
    let position = stamp::Stamp::new(3, 415);
    let resolve = |old| view.resolve_missing(&old, position, stays);
    let missing = verdict::Verdict::Missing;
    assert_eq!(view.judge(stays), missing);
    // It has lost its log, wholly or in part, has not stopped, or is not held.
    assert_eq!(resolve(held("a", 3, 0)), missing);
    assert_eq!(resolve(held("a", 1, 420)), missing);
    assert_eq!(resolve(held("a", 3, 414)), missing);
    let leads = report("a", role::Role::Primary, 3, 420, 4);
    assert_eq!(resolve(leads), missing);
    let free = report("a", role::Role::Replica, 3, 420, 0);
    assert_eq!(resolve(free), missing);
    // It follows a primary of a later term.
    assert_eq!(resolve(held("a", 4, 420)), missing);
    let promote = |id: &str| verdict::Verdict::Promote(id.into());
    assert_eq!(resolve(held("a", 3, 415)), promote("a"));
    let reports = [held("b", 3, 415)];
    let view = verdict::View {
        reports: &reports,
        ..view
    };
    let resolve = |old| view.resolve_missing(&old, position, stays);
    assert_eq!(resolve(held("a", 3, 415)), promote("b"));
    // The order for a missing instance may still take effect.
    let pending = "c".into();
    let view = verdict::View {
        pending: Some(&pending),
        ..view
    };
    let old = held("a", 3, 415);
    assert_eq!(view.resolve_missing(&old, position, stays), missing);
}

/// Guards against a group with a primary whose replicas are held every four seconds. The order of
/// another lease holder has taken effect, and this one still monitors the previous primary.
#[test]
fn a_primary_of_a_later_term_is_taken_over() {
    let leader = leader();
    let reports = [
        report("b", role::Role::Primary, 5, 430, 0),
        held("c", 3, 420),
    ];
    let view = verdict::View {
        leader: &leader,
        term: 4,
        expected: 2,
        reports: &reports,
        max_received: None,
        pending: None,
        loss: None,
    };
    let found = status::Leader {
        id: "b".into(),
        term: 5,
    };
    assert_eq!(view.judge(stays), verdict::Verdict::Overtaken(found));
}

// Verdict for `b` and `c` at these log positions. `pending` may have been ordered to lead.
fn judge_pair(positions: (u64, u64), max_received: u64, pending: Option<&str>) -> verdict::Verdict {
    let leader = leader();
    let pending = pending.map(upstream::Id::from);
    let reports = [held("b", 3, positions.0), held("c", 3, positions.1)];
    let view = verdict::View {
        leader: &leader,
        term: 4,
        expected: 2,
        reports: &reports,
        max_received: Some(stamp::Stamp::new(3, max_received)),
        pending: pending.as_ref(),
        loss: None,
    };
    view.judge(stays)
}

/// Guards against a loss of hundreds of acknowledged writes when a candidate whose order may still
/// take effect loses its log.
#[test]
fn a_pending_candidate_is_preferred_only_while_it_has_all_records() {
    let promote = |id: &str| verdict::Verdict::Promote(id.into());
    assert_eq!(judge_pair((420, 420), 420, Some("b")), promote("b"));
    // `b` may still lead without its log, beside another instance that is ordered now.
    assert_eq!(judge_pair((0, 420), 420, Some("b")), verdict::Verdict::Wait);
    assert_eq!(judge_pair((0, 420), 420, None), promote("c"));
}

/// Guards against a pending candidate that is preferred although another replica answers its hold
/// with more records.
#[test]
fn a_candidate_must_have_all_records_of_the_held_replicas() {
    let promote = |id: &str| verdict::Verdict::Promote(id.into());
    assert_eq!(judge_pair((5, 9), 5, Some("b")), verdict::Verdict::Wait);
    // The order has timed out.
    assert_eq!(judge_pair((5, 9), 5, None), promote("c"));
    assert_eq!(judge_pair((9, 9), 5, Some("b")), promote("b"));
    assert_eq!(judge_pair((9, 5), 5, Some("b")), promote("b"));
}

/// Guards against two instances that lead alternately once the replaced primary has ended or become
/// a replica.
#[test]
fn a_primary_that_has_ended_does_not_end_the_wait_for_an_order() {
    let leader = leader();
    let pending = upstream::Id::from("b");
    let reports = [held("b", 3, 5), held("c", 3, 9)];
    let view = |pending| verdict::View {
        leader: &leader,
        term: 4,
        expected: 2,
        reports: &reports,
        max_received: Some(stamp::Stamp::new(3, 12)),
        pending,
        loss: None,
    };
    let predecessors = [
        (verdict::Predecessor::Gone, "c"),
        (verdict::Predecessor::Answers(held("a", 3, 12)), "a"),
        (verdict::Predecessor::Answers(held("a", 3, 4)), "c"),
    ];
    for (old, later) in predecessors {
        let resolve = |pending| view(pending).resolve(&old, stays);
        assert_eq!(resolve(Some(&pending)), verdict::Verdict::Wait, "{old:?}");
        assert_eq!(resolve(None), verdict::Verdict::Promote(later.into()));
    }
}

/// Guards against a loss of records that a replica confirmed, without being queried in between,
/// before it lost its log.
#[test]
fn only_the_primarys_position_covers_a_lost_log() {
    let leader = leader();
    let reports = [held("b", 3, 410), held("c", 3, 0)];
    let view = |loss| verdict::View {
        leader: &leader,
        term: 4,
        expected: 2,
        reports: &reports,
        max_received: Some(stamp::Stamp::new(3, 400)),
        pending: None,
        loss,
    };
    let within = |number| Some(verdict::Loss::Within(stamp::Stamp::new(3, number)));
    let promote = verdict::Verdict::Promote("b".into());
    let unknown = Some(verdict::Loss::Unknown);
    assert_eq!(view(unknown).judge(stays), verdict::Verdict::Lacking);
    assert_eq!(view(within(411)).judge(stays), verdict::Verdict::Lacking);
    assert_eq!(view(within(410)).judge(stays), promote);
    assert_eq!(view(None).judge(stays), promote);
    let resolve = |old| view(unknown).resolve(&old, stays);
    assert_eq!(
        resolve(verdict::Predecessor::Silent),
        verdict::Verdict::HeldBack
    );
    assert_eq!(resolve(verdict::Predecessor::Gone), promote);
}
