//! What the answers to holds mean for a promotion.

use std::time;

use mangotray::role;
use mangotray::stamp;
use mangotray_desk::receipts;
use mangotray_desk::sampler;
use mangotray_desk::upstream;
use mangotray_desk::verdict;

fn look(id: &str, role: role::Role, term: u64, position: u64, held: u64) -> sampler::Look {
    sampler::Look {
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

fn held(id: &str, term: u64, position: u64) -> sampler::Look {
    look(id, role::Role::Replica, term, position, 4)
}

fn lead() -> sampler::Lead {
    sampler::Lead {
        id: "a".into(),
        term: 3,
    }
}

fn stays(_: &upstream::Id) -> bool {
    false
}

/// Symptom: forty acknowledged writes are lost.
/// Events: `c` receives nothing; writes are acknowledged with the receipt of `b`, which starts again
/// without its log before the list of instances tells so; the primary does not answer.
/// Cause: `b` answers a hold, and `c` has the furthest log of those that answer. Neither has
/// what `b` was seen to have; only the primary may have it.
#[test]
fn receipts_that_were_lost_hold_a_promotion_back_until_the_primary_is_known() {
    let mut receipts = receipts::Receipts::default();
    let now = time::Duration::ZERO;
    let mut hear = |look: &sampler::Look| receipts.hear(look, now, now);
    assert!(!hear(&look("b", role::Role::Replica, 3, 462, 0)));
    assert!(!hear(&look("c", role::Role::Replica, 3, 420, 0)));
    let looks = [held("b", 1, 0), held("c", 3, 420)];
    assert!(hear(&looks[0]));
    let lead = lead();
    let view = verdict::View {
        lead: &lead,
        term: 4,
        expected: 2,
        looks: &looks,
        furthest: receipts.furthest().map(|(furthest, _)| furthest),
        pending: None,
    };
    assert_eq!(view.judge(stays), verdict::Verdict::Lacking);
    let resolve = |old| view.resolve(&old, stays);
    let answers = |look| resolve(verdict::Old::Answers(look));
    let promote = |id: &str| verdict::Verdict::Promote(id.into());
    assert_eq!(resolve(verdict::Old::Silent), verdict::Verdict::HeldBack);
    // It ends: the primary leads on, or hands over what it has, or has nothing any more.
    let primary = look("a", role::Role::Primary, 3, 470, 0);
    assert_eq!(answers(primary), verdict::Verdict::Returned);
    assert_eq!(answers(held("a", 3, 470)), promote("a"));
    assert_eq!(answers(held("a", 1, 0)), promote("c"));
    assert_eq!(resolve(verdict::Old::Gone), promote("c"));
}

/// Symptom: a replica that could be held later is passed over.
/// Events: one does not answer, is not held, or leads a term that is over, as nobody told it.
#[test]
fn all_others_have_to_be_held() {
    let lead = lead();
    let rows = [
        vec![held("c", 3, 420)],
        vec![look("b", role::Role::Replica, 3, 420, 3), held("c", 3, 420)],
        vec![look("b", role::Role::Primary, 2, 400, 4), held("c", 3, 420)],
        vec![],
    ];
    for looks in rows {
        let view = verdict::View {
            lead: &lead,
            term: 4,
            expected: 2,
            looks: &looks,
            furthest: None,
            pending: None,
        };
        assert_eq!(view.judge(stays), verdict::Verdict::Wait, "{looks:?}");
    }
}

/// Symptom: a group whose primary leads is held up every four seconds.
/// Events: another holder's order has taken effect; this one still believes in the primary before.
#[test]
fn a_primary_of_a_later_term_is_taken_over() {
    let lead = lead();
    let looks = [look("b", role::Role::Primary, 5, 430, 0), held("c", 3, 420)];
    let view = verdict::View {
        lead: &lead,
        term: 4,
        expected: 2,
        looks: &looks,
        furthest: None,
        pending: None,
    };
    let found = sampler::Lead {
        id: "b".into(),
        term: 5,
    };
    assert_eq!(view.judge(stays), verdict::Verdict::Overtaken(found));
}

/// Symptom: hundreds of acknowledged writes are lost.
/// Events: a candidate whose order may yet take effect loses its log.
#[test]
fn a_candidate_is_kept_to_only_while_it_has_all_records() {
    let lead = lead();
    let pending = upstream::Id::from("b");
    for (position, chosen) in [(420, "b"), (0, "c")] {
        let looks = [held("b", 3, position), held("c", 3, 420)];
        let view = verdict::View {
            lead: &lead,
            term: 4,
            expected: 2,
            looks: &looks,
            furthest: Some(stamp::Stamp::new(3, 420)),
            pending: Some(&pending),
        };
        assert_eq!(view.judge(stays), verdict::Verdict::Promote(chosen.into()));
    }
}
