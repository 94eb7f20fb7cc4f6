use assert_matches::assert_matches;

use crate::cli;

#[test]
fn the_parsers_hold_together() {
    cli::options().check_invariants(true);
}

#[test]
fn check_needs_a_file() {
    let parsed = cli::options().run_inner(&["check"]);
    assert_matches!(parsed, Err(bpaf::ParseFailure::Stderr(_)));
}
