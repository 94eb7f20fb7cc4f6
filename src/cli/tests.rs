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
    let before = parse(&["explain", "--database", "d", "SELECT 1"]).unwrap();
    let after = parse(&["explain", "SELECT 1", "--database", "d"]).unwrap();
    assert_eq!(before, after);
    assert_matches!(before, cli::Command::Explain(e) if e.sql == "SELECT 1" && e.file.is_none());
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
