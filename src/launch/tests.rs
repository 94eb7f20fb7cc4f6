use assert_matches::assert_matches;

use crate::launch;

#[test]
fn the_parser_satisfies_the_invariants_of_bpaf() {
    launch::options().check_invariants(true);
}

#[test]
fn each_flag_names_its_section_and_key() {
    let arguments = [
        "--settings",
        "vm.ini",
        "--check",
        "--log-filter",
        "debug",
        "--platform",
        "127.0.0.1:1",
    ];
    let parsed = launch::options().run_inner(arguments.as_slice()).unwrap();
    assert!(parsed.check);
    let places: Vec<_> = parsed
        .overrides
        .iter()
        .map(|flag| (flag.section, flag.key))
        .collect();
    assert_eq!(places, [("log", "filter"), ("platform", "address")]);
}

#[test]
fn the_settings_file_is_required() {
    assert_matches!(
        launch::options().run_inner(&["--check"]),
        Err(bpaf::ParseFailure::Stderr(_))
    );
}
