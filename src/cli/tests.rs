use std::time;

use assert_matches::assert_matches;

use crate::cli;

fn parse(arguments: &[&str]) -> Result<cli::Command, bpaf::ParseFailure> {
    cli::options().run_inner(arguments)
}

#[test]
fn the_parsers_keep_the_invariants_of_bpaf() {
    cli::options().check_invariants(true);
}

#[test]
fn options_may_come_before_or_after_the_file() {
    let before = parse(&["diff", "--platform", "127.0.0.1:1", "a.ini"]).unwrap();
    let after = parse(&["diff", "a.ini", "--platform", "127.0.0.1:1"]).unwrap();
    assert_eq!(before, after);
    assert_matches!(before, cli::Command::Diff(diff) if diff.timeout == time::Duration::from_secs(5));
}

#[test]
fn several_admin_addresses_are_collected() {
    let arguments = [
        "status",
        "--admin",
        "127.0.0.1:1",
        "--admin",
        "127.0.0.1:2",
        "--json",
    ];
    let parsed = parse(&arguments).unwrap();
    assert_matches!(
        parsed,
        cli::Command::Status(status)
            if status.admin.len() == 2 && status.json && status.platform.is_none()
    );
}

#[test]
fn apply_needs_a_platform() {
    assert_matches!(
        parse(&["apply", "a.ini"]),
        Err(bpaf::ParseFailure::Stderr(_))
    );
}
