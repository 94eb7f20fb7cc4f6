use super::State;
use crate::class;
use crate::dial;
use crate::reply;
use crate::resend;
use crate::transaction;

fn reply(transaction: transaction::State) -> reply::Reply {
    reply::Reply {
        frames: vec![],
        transaction,
        stamp: None,
        error: None,
    }
}

#[test]
fn a_lane_is_pinned_exactly_while_a_transaction_is_open() {
    let after = |state| State::after(true, class::Class::Write, &Ok(reply(state)));
    assert_eq!(after(transaction::State::Open), State::Pinned);
    assert_eq!(after(transaction::State::Failed), State::Pinned);
    assert_eq!(after(transaction::State::Idle), State::Idle);
}

#[test]
fn a_refusal_leaves_the_transaction_as_it_was() {
    let refusal = Err(resend::no_server());
    for (pinned, state) in [(true, State::Pinned), (false, State::Idle)] {
        assert_eq!(State::after(pinned, class::Class::Write, &refusal), state);
        assert_eq!(State::after(pinned, class::Class::Commit, &refusal), state);
    }
}

#[test]
fn an_unknown_commit_ends_the_transaction() {
    let unknown = Err(resend::unknown_outcome(dial::Failure::Expired));
    let after = |class| State::after(true, class, &unknown);
    assert_eq!(after(class::Class::Commit), State::Idle);
    assert_eq!(after(class::Class::Write), State::Pinned);
}
