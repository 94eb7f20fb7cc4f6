use std::sync;

use assert_matches::assert_matches;
use futures_lite::future as lite;
use proptest::prelude::*;

use crate::apply;
use crate::platform::fake;
use crate::store;

fn request(id: &str, text: &str) -> apply::Request {
    apply::Request {
        id: id.into(),
        by: compact_str::format_compact!("operator of {id}"),
        text: text.into(),
        base: None,
    }
}

fn put(
    store: &sync::Arc<fake::Fake>,
    id: &str,
    text: &str,
) -> Result<apply::Verdict, store::Failure> {
    lite::block_on(apply::put(&**store, &request(id, text)))
}

fn current(store: &sync::Arc<fake::Fake>) -> apply::File {
    lite::block_on(apply::current(&**store)).unwrap().unwrap()
}

#[test]
fn the_same_text_makes_no_new_revision() {
    let store = fake::Fake::new(&[]);
    assert_eq!(put(&store, "a", "x"), Ok(apply::Verdict::Applied(1)));
    assert_eq!(put(&store, "b", "x"), Ok(apply::Verdict::Unchanged(1)));
    assert_eq!(put(&store, "c", "y"), Ok(apply::Verdict::Applied(2)));
    assert_eq!(put(&store, "c", "y"), Ok(apply::Verdict::Applied(2)));
}

// Two operators read revision 1 and apply different files. Without the version check the second
// write would replace a file that its operator never saw.
#[test]
fn the_later_of_two_racing_applies_gets_the_revision_in_force() {
    let store = fake::Fake::new(&[]);
    put(&store, "old", "a\nb\n").unwrap();
    let (one, two) = (request("one", "a\nc\n"), request("two", "a\nd\n"));
    let (one, two) = fake::interleave(
        &[true, false, true, false],
        apply::put(&*store, &one),
        apply::put(&*store, &two),
    );
    assert_eq!(one, Ok(apply::Verdict::Applied(2)));
    let winner = assert_matches!(two, Ok(apply::Verdict::Lost(winner)) => winner);
    assert_eq!(
        (winner.revision, winner.by.as_str()),
        (2, "operator of one")
    );
    assert!(winner.diff.contains("-c\n+d\n"), "{}", winner.diff);
}

#[test]
fn a_file_made_from_an_older_revision_loses() {
    let store = fake::Fake::new(&[]);
    put(&store, "a", "x").unwrap();
    put(&store, "b", "y").unwrap();
    let stale = apply::Request {
        base: Some(1),
        ..request("c", "z")
    };
    let verdict = lite::block_on(apply::put(&*store, &stale)).unwrap();
    assert_matches!(verdict, apply::Verdict::Lost(winner) if winner.revision == 2);
    assert_eq!(current(&store).text, "y");
}

// The swap takes effect and its answer is lost. Without reading back the apply's id, a failure
// would be reported although the file is in force.
#[test]
fn a_lost_answer_is_settled_by_the_id() {
    let store = fake::Fake::new(&[fake::Behaviour::AnswerLost]);
    assert_eq!(put(&store, "a", "x"), Ok(apply::Verdict::Applied(1)));
}

#[test]
fn an_apply_that_cannot_be_settled_is_unknown() {
    let store = fake::Fake::new(&[fake::Behaviour::RequestLost; 16]);
    assert_matches!(put(&store, "a", "x"), Err(store::Failure::Unknown(_)));
}

#[test]
fn an_unknown_swap_is_superseded_by_a_later_revision() {
    let file = |revision, id: &str| apply::File {
        revision,
        id: id.into(),
        by: "rival".into(),
        text: id.into(),
    };
    let ours = file(5, "ours");
    assert_eq!(
        apply::swap_verdict(Some(&file(4, "old")), &ours, true),
        None
    );
    let verdict = |revision, outcome_unknown| {
        apply::swap_verdict(Some(&file(revision, "x")), &ours, outcome_unknown)
    };
    assert_matches!(verdict(5, true), Some(apply::Verdict::Lost(_)));
    assert_matches!(verdict(6, true), Some(apply::Verdict::Superseded(_)));
    assert_matches!(verdict(6, false), Some(apply::Verdict::Lost(_)));
}

#[test]
fn a_file_that_is_too_long_is_not_sent() {
    let store = fake::Fake::new(&[]);
    let text = "x".repeat(apply::MAX_VALUE_BYTES);
    assert_matches!(
        put(&store, "a", &text),
        Ok(apply::Verdict::TooLarge { length }) if length > apply::MAX_VALUE_BYTES
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Two applies race while answers are lost and swaps take effect late or never. Guards against
    // two operators both getting `Applied` for the same revision, and against a refused file
    // that is in force.
    #[test]
    fn verdicts_agree_with_the_store(
        behaviours in prop::collection::vec(prop_oneof![
            Just(fake::Behaviour::Answered),
            Just(fake::Behaviour::AnswerLost),
            Just(fake::Behaviour::RequestLost),
            Just(fake::Behaviour::Delayed),
        ], 0..6),
        order in prop::collection::vec(any::<bool>(), 0..24),
    ) {
        let store = fake::Fake::new(&behaviours);
        let (one, two) = (request("one", "c"), request("two", "d"));
        let (one, two) = fake::interleave(
            &order,
            apply::put(&*store, &one),
            apply::put(&*store, &two),
        );
        let file = lite::block_on(apply::current(&*store)).unwrap();
        let applied = |verdict: &Result<apply::Verdict, _>| match verdict {
            Ok(apply::Verdict::Applied(revision)) => Some(*revision),
            _ => None,
        };
        let both = (applied(&one), applied(&two));
        prop_assert!(both.0.is_none() || both.0 != both.1);
        for (id, verdict) in [("one", &one), ("two", &two)] {
            let in_force = file.as_ref().is_some_and(|file| file.id == id);
            if in_force {
                prop_assert!(matches!(verdict, Ok(apply::Verdict::Applied(_)) | Err(store::Failure::Unknown(_))));
            }
        }
    }
}
