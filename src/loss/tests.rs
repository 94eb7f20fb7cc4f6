use super::Loss;
use crate::class::Class;
use crate::classify::Verdict;
use crate::transaction::State;

#[test]
fn a_canceled_batch_is_unknown_only_if_it_may_have_changed_data() {
    let cases = [
        (Class::Read, State::Idle, "57014"),
        (Class::Write, State::Idle, "08007"),
        (Class::Write, State::Open, "57014"),
        (Class::Commit, State::Open, "08007"),
        (Class::Commit, State::Failed, "57014"),
        (Class::Begin, State::Idle, "57014"),
        (Class::Rollback, State::Open, "57014"),
    ];
    for (class, state, code) in cases {
        let error = Loss::Canceled.error(&Verdict::of_class(class), state);
        assert_eq!(error.code, code, "{class:?} {state:?}");
    }
}

#[test]
fn a_canceled_batch_that_contains_a_commit_is_unknown() {
    // Guards against a caller that repeats a write that is already committed. Within a transaction
    // it sends "INSERT ...; COMMIT" as one text and cancels it; the class of the text is write, so
    // the class alone does not show that the text may have committed.
    let verdict = crate::classify::classify("INSERT INTO a VALUES (1); COMMIT").unwrap();
    let error = Loss::Canceled.error(&verdict, State::Open);
    assert_eq!(error.code, "08007");
}
