use std::time;

use crate::outcome;
use crate::reason::Reason;

const ALL: [(Reason, &str); 11] = [
    (Reason::NoPrimary, "57P03"),
    (Reason::NoInstance, "57P03"),
    (Reason::NoMajority, "57P03"),
    (Reason::NoServer, "57P03"),
    (Reason::Draining, "57P01"),
    (Reason::Overload, "53300"),
    (Reason::Deadline, "57014"),
    (Reason::ConnectionLost, "40001"),
    (Reason::Unconfirmed, "40001"),
    (Reason::Unsupported, "0A000"),
    (Reason::TooLarge, "54000"),
];

#[test]
fn each_reason_has_its_code_and_name() {
    for (reason, code) in ALL {
        let error = super::error(&outcome::Outcome::NotRun {
            reason,
            detail: "why".into(),
            retry: None,
        });
        assert_eq!(error.code, code);
        assert_eq!(error.message, "why (not run)");
        let name = serde_json::to_value(reason).unwrap();
        assert_eq!(name.as_str(), Some(super::name(reason)));
        let detail = format!("outcome=not-run reason={}", super::name(reason));
        assert_eq!(error.detail.as_deref(), Some(detail.as_str()));
    }
}

#[test]
fn unknown_outcome_has_one_code_for_all_reasons() {
    for (reason, _) in ALL {
        let detail = "why".into();
        let error = super::error(&outcome::Outcome::Unknown { reason, detail });
        assert_eq!(error.code, "08007");
        assert_eq!(error.message, "why (outcome unknown)");
    }
}

#[test]
fn hint_gives_the_delay_in_milliseconds() {
    let error = super::error(&outcome::Outcome::NotRun {
        reason: Reason::NoPrimary,
        detail: "".into(),
        retry: Some(time::Duration::from_millis(1_250)),
    });
    assert_eq!(error.hint.as_deref(), Some("Try again in 1250 ms."));
    assert_eq!(error.message, "no primary (not run)");
}

#[test]
fn nul_character_does_not_split_a_field() {
    let frame = super::Error::new(super::SYNTAX_ERROR, "a\0Cfake").frame();
    assert!(frame.body.windows(7).any(|part| part == b"MaCfake"));
}
