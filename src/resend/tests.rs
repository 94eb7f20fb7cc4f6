use assert_matches::assert_matches;

use super::{Verdict, ended, unknown};
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
fn what_was_never_sent_goes_to_the_next_member_as_not_run() {
    for class in CLASSES {
        let verdict = Verdict::new(class, Err(dial::Failure::Unsent));
        assert_matches!(verdict, Verdict::Next(outcome::Outcome::NotRun { .. }));
    }
}

#[test]
fn what_was_sent_is_repeated_only_when_it_reads() {
    for class in CLASSES {
        let reads = matches!(class, class::Class::Read | class::Class::BeginRead);
        let verdict = Verdict::new(class, Err(dial::Failure::Lost));
        assert_eq!(matches!(verdict, Verdict::Next(_)), reads, "{class:?}");
        let verdict = Verdict::new(class, Err(dial::Failure::Expired));
        assert_eq!(verdict, Verdict::Done(Err(unknown(dial::Failure::Expired))));
    }
}

#[test]
fn only_refusals_by_the_proxy_itself_go_to_the_next_member() {
    for reason in [reason::Reason::NoServer, reason::Reason::Draining] {
        let verdict = Verdict::new(class::Class::Write, Ok(Err(refusal(reason))));
        assert_eq!(verdict, Verdict::Next(refusal(reason)));
    }
    for reason in [reason::Reason::NoPrimary, reason::Reason::Overload] {
        let verdict = Verdict::new(class::Class::Write, Ok(Err(refusal(reason))));
        assert_eq!(verdict, Verdict::Done(Err(refusal(reason))));
    }
}

#[test]
fn a_draining_proxy_keeps_its_open_transactions() {
    assert!(!ended(&Ok(Err(refusal(reason::Reason::Draining)))));
}
