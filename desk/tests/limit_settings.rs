//! The settings of shared limits. Guards against a lease length that would refuse all callers or
//! hold shares for minutes, taken from a mistyped value.

use std::time;

use mangotray_desk::settings;

fn parse(share: &str) -> eyre::Result<settings::Settings> {
    let text = format!(
        "[vm]\nname = a\ndomain = d\n[listen]\ncallers = 127.0.0.1:1\nhealth = 127.0.0.1:2\n\
         peers = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:3\nlease_least_ms = 1000\n\
         [duty]\naddress =\n[stop]\ngrace_s = 6\n[limits]\ndescriptors = 4200\n{share}"
    );
    settings::Settings::parse(&text)
}

#[test]
fn the_length_of_leases_is_checked() {
    let share = |text: &str| parse(text).expect("valid settings").guarantees.share;
    assert_eq!(share(""), None);
    assert_eq!(share("[organisations]\nshare_ms =\n"), None);
    let two = time::Duration::from_secs(2);
    assert_eq!(share("[organisations]\nshare_ms = 2000\n"), Some(two));
    for value in [
        "0",
        "-5",
        "two",
        "NaN",
        "399",
        "10001",
        "99999999999999999999",
    ] {
        let error = parse(&format!("[organisations]\nshare_ms = {value}\n"));
        let error = format!("{:?}", error.expect_err(value));
        assert!(
            error.contains("[organisations] share_ms"),
            "{value}: {error}"
        );
    }
}

/// Guards against limits that are spread over a window which is not known, and against a mistyped
/// switch that is taken for off.
#[test]
fn limits_are_sustained_only_over_a_known_window() {
    let sustained = |text: &str| parse(text).map(|found| found.guarantees.sustained);
    let on = |text: &str| sustained(text).expect("valid settings");
    assert!(!on(""));
    assert!(!on("[organisations]\nwindow_s = 5\n"));
    assert!(!on("[organisations]\nsustained_limits = true\n"));
    assert!(on(
        "[organisations]\nwindow_s = 5\nsustained_limits = true\n"
    ));
    let error = sustained("[organisations]\nwindow_s = 5\nsustained_limits = yes\n");
    let error = format!("{:?}", error.expect_err("not a truth value"));
    assert!(
        error.contains("[organisations] sustained_limits"),
        "{error}"
    );
}
