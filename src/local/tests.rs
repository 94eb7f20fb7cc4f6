use std::time;

use super::Answer;
use super::Command;
use super::Settings;
use crate::sql;

fn run(settings: &mut Settings, text: &str) -> Result<Answer, &'static str> {
    let statement = &sql::split(text).unwrap()[0];
    let command = Command::from_statement(statement).expect(text);
    settings.run(&command).map_err(|error| error.code)
}

#[test]
fn show_returns_the_value_that_was_set() {
    let cases = [
        (
            "SET mangotray.token = '3/77'",
            "SHOW mangotray.token",
            "3/77",
        ),
        (
            "SET SESSION mangotray.deadline TO '1s'",
            "SHOW mangotray.deadline",
            "1000ms",
        ),
        (
            "set MANGOTRAY.deadline = 250",
            "show mangotray.DEADLINE",
            "250ms",
        ),
        (
            "SET application_name TO desk",
            "SHOW application_name",
            "desk",
        ),
        ("RESET mangotray.token", "SHOW mangotray.token", ""),
        (
            "SET mangotray.deadline TO DEFAULT",
            "SHOW mangotray.deadline",
            "",
        ),
    ];
    let mut settings = Settings::default();
    for (set, show, expected) in cases {
        assert_eq!(run(&mut settings, set), Ok(Answer::Done("SET")), "{set}");
        let shown = run(&mut settings, show);
        let value = match &shown {
            Ok(Answer::Row { value, .. }) => value.as_str(),
            other => panic!("{other:?}"),
        };
        assert_eq!(value, expected, "{show}");
    }
}

#[test]
fn malformed_values_change_nothing() {
    let mut settings = Settings::default();
    run(&mut settings, "SET mangotray.token = '3/77'").unwrap();
    run(&mut settings, "SET mangotray.deadline = 5").unwrap();
    let before = settings.clone();
    let cases = [
        ("SET mangotray.token = '77'", "22023"),
        ("SET mangotray.token = '-1/77'", "22023"),
        ("SET mangotray.deadline = 'soon'", "22023"),
        ("SET mangotray.deadline = 0", "22023"),
        ("SET mangotray.deadline = '2 days'", "22023"),
        ("SET mangotray.last_outcome = 'done'", "55P02"),
        ("SET mangotray.tokens = '1/1'", "42704"),
        ("SHOW mangotray.tokens", "42704"),
    ];
    for (text, code) in cases {
        assert_eq!(run(&mut settings, text), Err(code), "{text}");
    }
    assert_eq!(settings, before);
    assert_eq!(settings.deadline, Some(time::Duration::from_millis(5)));
}

#[test]
fn only_fixed_values_are_accepted() {
    let accepted = [
        ("client_encoding", "UTF-8"),
        ("DATESTYLE", "iso"),
        ("timezone", "Etc/UTC"),
        ("extra_float_digits", "2"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in accepted {
        assert!(super::is_fixed_value(name, Some(value)), "{name} {value}");
    }
    let refused = [
        ("client_encoding", "latin1"),
        ("datestyle", "German"),
        ("timezone", "Asia/Kathmandu"),
        ("extra_float_digits", "0"),
        ("standard_conforming_strings", "off"),
        ("search_path", "public"),
    ];
    for (name, value) in refused {
        assert!(!super::is_fixed_value(name, Some(value)), "{name} {value}");
    }
}

#[test]
fn statements_for_the_database_are_not_answered_by_the_proxy() {
    for text in [
        "SET LOCAL mangotray.token = '1/1'",
        "SHOW mangotray.token, a",
        "SET a",
        "SHOW",
    ] {
        let statement = &sql::split(text).unwrap()[0];
        assert_eq!(Command::from_statement(statement), None, "{text}");
    }
}
