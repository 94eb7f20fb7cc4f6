//! Bad settings of the decisions under load.

use mangotray_desk::settings;

fn parse(load: &str) -> Result<Option<u32>, String> {
    let text = format!(
        "[vm]\nname = a\ndomain = d\n[listen]\ncallers = 127.0.0.1:1\nhealth = 127.0.0.1:2\n\
         peers = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:3\nlease_least_ms = 1000\n[duty]\n\
         address =\n[stop]\ngrace_s = 6\n[limits]\ndescriptors = 4200\n[load]\n{load}\n"
    );
    let settings = settings::Settings::parse(&text);
    settings
        .map(|settings| settings.load.retry_percent)
        .map_err(|error| format!("{error:#}"))
}

/// Guards against a node that starts with a budget that refuses or allows every retry, or that
/// ends without saying which setting is wrong.
#[test]
fn a_bad_share_of_retries_is_an_error_that_names_it() {
    assert_eq!(parse(""), Ok(None));
    assert_eq!(parse("retry_percent ="), Ok(None));
    assert_eq!(parse("retry_percent = 1"), Ok(Some(1)));
    assert_eq!(parse("retry_percent = 100"), Ok(Some(100)));
    for bad in ["0", "101", "-5", "2.5", "NaN", "ten", "4294967296"] {
        let error = parse(&format!("retry_percent = {bad}")).expect_err(bad);
        assert!(error.contains("[load] retry_percent"), "{error}");
        assert!(error.contains(bad), "{error}");
    }
}
