use std::time;

use assert_matches::assert_matches;

use crate::cli;

fn parse(words: &[&str]) -> Result<cli::Command, bpaf::ParseFailure> {
    cli::options().run_inner(words)
}

#[test]
fn the_parsers_hold_together() {
    cli::options().check_invariants(true);
}

#[test]
fn options_stand_before_or_after_the_file() {
    let before = parse(&["diff", "--platform", "127.0.0.1:1", "a.ini"]).unwrap();
    let after = parse(&["diff", "a.ini", "--platform", "127.0.0.1:1"]).unwrap();
    assert_eq!(before, after);
    assert_matches!(before, cli::Command::Diff(diff) if diff.timeout == time::Duration::from_secs(5));
}

#[test]
fn several_admin_addresses_are_collected() {
    let words = [
        "status",
        "--admin",
        "127.0.0.1:1",
        "--admin",
        "127.0.0.1:2",
        "--json",
    ];
    let parsed = parse(&words).unwrap();
    assert_matches!(parsed, cli::Command::Status(s) if s.admin.len() == 2 && s.json && s.platform.is_none());
}

#[test]
fn apply_needs_a_platform() {
    assert_matches!(
        parse(&["apply", "a.ini"]),
        Err(bpaf::ParseFailure::Stderr(_))
    );
}
