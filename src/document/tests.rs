use proptest::prelude::*;

use crate::document;

#[test]
fn every_bad_line_is_reported_with_its_number() {
    let text = "key = early\n[a]\n# comment\nx = 1\nx = 2\n[b\n[a]\n[c] y = 1\nword\n";
    let document = document::Document::parse(text);
    let lines: Vec<_> = document.faults.iter().map(|f| f.line).collect();
    assert_eq!(lines, [1, 5, 6, 7, 8, 9].map(Some));
}

#[test]
fn quotes_and_blanks_around_a_value_are_dropped() {
    let document = document::Document::parse("[ a   b ]\n  key =  \"v w\"  \r\n");
    assert_eq!(document.faults, []);
    assert_eq!(document.sections[0].title, "a b");
    assert_eq!(document.sections[0].entries[0].value, "v w");
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn any_text_is_read_without_panic(text in "\\PC*|([\\[\\]=:#;\"'\\\\a \n\r\t]){0,60}") {
        let document = document::Document::parse(&text);
        let lines = text.lines().count();
        prop_assert!(document.faults.iter().all(|f| f.line <= Some(lines)));
    }
}

fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
