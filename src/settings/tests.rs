use std::time;

use proptest::prelude::*;

use crate::settings;

const MINIMAL_FILE: &str = "[vm]\nname = entry-1\nfailure_domain = patan-hall\n\
    [listen]\ncallers = 127.0.0.1:6432\n[platform]\naddress = 127.0.0.1:7000\n";

fn fault_positions(text: &str) -> Vec<(Option<usize>, String)> {
    let faults = settings::Settings::parse(text).unwrap_err();
    faults.iter().map(|f| (f.line, f.key.to_string())).collect()
}

#[test]
fn missing_settings_have_defaults() {
    let settings = settings::Settings::parse(MINIMAL_FILE).unwrap();
    assert_eq!(settings.limits, settings::Limits::default());
    assert_eq!(settings.log, settings::Log::default());
    assert_eq!(settings.listen.admin.to_string(), "127.0.0.1:9633");
}

#[test]
fn every_key_is_read() {
    let text = format!(
        "{MINIMAL_FILE}timeout = 250ms\n[limits]\ncallers = 10\ncallers_per_address = 5\n\
         message_bytes = 2KiB\nanswer_bytes = 3000\nstartup_timeout = 4s\ndrain_timeout = 5s\n\
         [log]\nformat = json\nfilter = warn,mangotray=debug\n"
    );
    let settings = settings::Settings::parse(&text).unwrap();
    assert_eq!(settings.platform.timeout, time::Duration::from_millis(250));
    let limits = settings::Limits {
        callers: 10,
        callers_per_address: 5,
        message_bytes: 2048,
        answer_bytes: 3000,
        startup_timeout: time::Duration::from_secs(4),
        drain_timeout: time::Duration::from_secs(5),
    };
    assert_eq!(settings.limits, limits);
    assert_eq!(settings.log.format, settings::Format::Json);
    assert_eq!(settings.log.filter, "warn,mangotray=debug");
}

#[test]
fn all_mistakes_are_reported_at_once_in_the_order_of_lines() {
    let text = "[vm]\nname = a b\nnmae = x\n[lsiten]\n[listen]\ncallers = here\n\
        [limits]\ncallers = 0\ncallers = 5\n[log]\nfilter = mangotray=loud\n";
    let expected = [
        (1, "[vm] failure_domain"),
        (1, "[platform] address"),
        (2, "[vm] name"),
        (3, "[vm] nmae"),
        (4, "[lsiten]"),
        (6, "[listen] callers"),
        (8, "[limits] callers"),
        (9, "[limits] callers"),
        (11, "[log] filter"),
    ];
    let expected = expected.map(|(line, key)| (Some(line), key.to_owned()));
    assert_eq!(fault_positions(text), expected);
}

#[test]
fn peers_and_admin_need_addresses_when_callers_listen_on_all_of_them() {
    let text = MINIMAL_FILE.replace("127.0.0.1:6432", "0.0.0.0:6432");
    let keys: Vec<_> = fault_positions(&text)
        .into_iter()
        .map(|(_, key)| key)
        .collect();
    assert_eq!(keys, ["[listen] peers", "[listen] admin"]);
}

#[test]
fn values_that_contradict_each_other_are_reported() {
    let text = format!("{MINIMAL_FILE}[limits]\ncallers = 5\ncallers_per_address = 6\n");
    assert_eq!(
        fault_positions(&text),
        [(Some(10), "[limits] callers_per_address".to_owned())]
    );
    let text = MINIMAL_FILE.replace("6432\n", "6432\nadmin = 127.0.0.1:6432\n");
    assert_eq!(
        fault_positions(&text),
        [(Some(6), "[listen] admin".to_owned())]
    );
    let text = MINIMAL_FILE.replace("6432\n", "0\nadmin = 127.0.0.1:0\n");
    assert!(settings::Settings::parse(&text).is_ok());
}

#[test]
fn a_mistake_on_the_command_line_has_no_line() {
    let port = settings::Override {
        section: "listen",
        key: "callers",
        value: "x".into(),
    };
    let faults = settings::Settings::parse_with(MINIMAL_FILE, &[port]).unwrap_err();
    assert_eq!(faults[0].line, None);
    assert!(
        faults[0]
            .to_string()
            .starts_with("command line: [listen] callers")
    );
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn any_text_is_parsed_or_refused_without_panic(lines in proptest::collection::vec(any_line(), 0..30)) {
        let outcome = settings::Settings::parse(&lines.join("\n"));
        prop_assert!(outcome.map_or_else(|faults| !faults.is_empty(), |_| true));
    }
}

fn any_line() -> impl Strategy<Value = String> {
    prop_oneof![
        "\\PC{0,20}",
        "\\[(vm|listen|platform|limits|log|x)\\]?",
        "(name|failure_domain|callers|peers|address|timeout|message_bytes|format|filter) ?[=:] ?\\PC{0,12}",
        "(callers|answer_bytes) = [0-9]{1,25}(KiB|GiB)?",
        "(timeout|drain_timeout) = [0-9]{1,25}(ms|s|h|years)",
    ]
}

fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

#[test]
fn seed_addresses_of_peers_are_read() {
    let text = |seeds: &str| format!("{MINIMAL_FILE}[peers]\nseeds = {seeds}\n");
    let settings = settings::Settings::parse(&text("127.0.0.1:1, 127.0.0.1:2")).unwrap();
    assert_eq!(settings.peers.seeds.len(), 2);
    for wrong in ["127.0.0.1:0", "0.0.0.0:1", "127.0.0.1:1,,", "entry-1:6433"] {
        let faults = settings::Settings::parse(&text(wrong)).unwrap_err();
        assert_eq!(faults[0].key, "[peers] seeds");
    }
}
