use assert_matches::assert_matches;

use super::{Verdict, session_ended, unknown_outcome};
use crate::class;
use crate::dial;
use crate::outcome;
use crate::reason;

const CLASSES: [class::Class; 6] = [
    class::Class::Read,
    class::Class::Write,
    class::Class::Begin,
    class::Class::BeginRead,
    class::Class::Commit,
    class::Class::Rollback,
];

fn refusal(reason: reason::Reason) -> outcome::Outcome {
    outcome::Outcome::NotRun {
        reason,
        detail: "".into(),
        retry: None,
    }
}

#[test]
fn an_unsent_batch_goes_to_the_next_member_as_not_run() {
    for class in CLASSES {
        let verdict = Verdict::new(class, Err(dial::Failure::Unsent));
        assert_matches!(verdict, Verdict::TryNext(outcome::Outcome::NotRun { .. }));
    }
}

#[test]
fn a_sent_batch_is_repeated_only_if_it_reads() {
    for class in CLASSES {
        let reads = matches!(class, class::Class::Read | class::Class::BeginRead);
        let verdict = Verdict::new(class, Err(dial::Failure::Lost));
        assert_eq!(matches!(verdict, Verdict::TryNext(_)), reads, "{class:?}");
        let verdict = Verdict::new(class, Err(dial::Failure::Expired));
        assert_eq!(
            verdict,
            Verdict::Done(Err(unknown_outcome(dial::Failure::Expired)))
        );
    }
}

#[test]
fn only_refusals_by_the_proxy_itself_go_to_the_next_member() {
    for reason in [reason::Reason::NoServer, reason::Reason::Draining] {
        let verdict = Verdict::new(class::Class::Write, Ok(Err(refusal(reason))));
        assert_eq!(verdict, Verdict::TryNext(refusal(reason)));
    }
    for reason in [reason::Reason::NoPrimary, reason::Reason::Overload] {
        let verdict = Verdict::new(class::Class::Write, Ok(Err(refusal(reason))));
        assert_eq!(verdict, Verdict::Done(Err(refusal(reason))));
    }
}

#[test]
fn a_draining_proxy_keeps_its_open_transactions() {
    assert!(!session_ended(&Ok(Err(refusal(reason::Reason::Draining)))));
}
