use std::io;

use assert_matches::assert_matches;
use futures_lite::future;

use crate::apply as file;
use crate::cli;
use crate::command::apply;
use crate::console;
use crate::exit;
use crate::platform::fake;
use crate::store;

fn arguments() -> cli::Apply {
    cli::Apply {
        platform: ([127, 0, 0, 1], 1).into(),
        timeout: std::time::Duration::from_secs(1),
        base: None,
        by: Some("asha".into()),
        file: "system.ini".into(),
    }
}

fn code(outcome: &apply::Outcome) -> exit::Code {
    let mut console = console::Console {
        out: Box::new(io::sink()),
        err: Box::new(io::sink()),
        colour: false,
    };
    apply::report(&arguments(), outcome, &mut console).unwrap()
}

// Every answer to the first attempt is lost. Without a repeat with the same id the operator would
// get an unknown outcome, or a conflict, although the file is in force.
#[test]
fn an_apply_whose_answers_are_lost_is_repeated_with_its_id() {
    let store = fake::Fake::new(&[fake::Behaviour::RequestLost; 4]);
    let request = apply::request(&arguments(), "text", 0);
    let outcome = future::block_on(apply::put(&*store, &request));
    assert!(outcome.answer_lost);
    assert_matches!(outcome.verdict, Ok(file::Verdict::Applied(1)));
    assert_eq!(code(&outcome), exit::Code::Success);
}

// The answer to the swap is lost, then the store becomes unavailable. The failed read that follows
// must not hide that the swap was sent: a script that takes the apply for refused may apply an
// older file over the one in force.
#[test]
fn an_outage_after_a_lost_answer_leaves_the_outcome_unknown() {
    let store = fake::Fake::new(&[fake::Behaviour::AnswerLost]);
    let request = apply::request(&arguments(), "text", 0);
    let outage = async {
        future::yield_now().await;
        store.state.lock().unwrap().unavailable = true;
    };
    let (outcome, ()) = future::block_on(future::zip(apply::put(&*store, &request), outage));
    assert_matches!(outcome.verdict, Err(store::Failure::NotRun(_)));
    assert_eq!(code(&outcome), exit::Code::Unknown);
}

#[test]
fn a_refused_apply_is_unreachable() {
    let store = fake::Fake::new(&[fake::Behaviour::Refused]);
    let request = apply::request(&arguments(), "text", 0);
    let outcome = future::block_on(apply::put(&*store, &request));
    assert_eq!(code(&outcome), exit::Code::Unreachable);
}

#[test]
fn each_verdict_has_its_code() {
    let winner = || file::Winner {
        revision: 2,
        by: "binh".into(),
        diff: String::new(),
    };
    let cases = [
        (file::Verdict::Unchanged(1), exit::Code::Success),
        (file::Verdict::Lost(winner()), exit::Code::Conflict),
        (file::Verdict::Superseded(winner()), exit::Code::Conflict),
        (
            file::Verdict::TooLarge { length: 9 },
            exit::Code::InvalidFile,
        ),
    ];
    for (verdict, expected) in cases {
        let verdict = Ok(verdict);
        let answer_lost = false;
        assert_eq!(
            code(&apply::Outcome {
                verdict,
                answer_lost
            }),
            expected
        );
    }
}
