use std::time;

use crate::fault::{DEFAULT_DURATION, Fault, KINDS, Kind};

#[test]
fn names_are_parsed_as_displayed() {
    for (name, kind) in KINDS {
        assert_eq!(name.parse::<Kind>().unwrap(), kind);
        assert_eq!(kind.to_string(), name);
    }
}

#[test]
fn faults_last_a_default_time() {
    let fault: Fault = "replica-lag@3".parse().unwrap();
    assert_eq!(fault.start, time::Duration::from_secs(3));
    assert_eq!(fault.duration, DEFAULT_DURATION);
    assert_eq!(fault.to_string(), "replica-lag@3+8/0");
}

#[test]
fn malformed_faults_are_refused() {
    for text in [
        "primary-crash",
        "primary-crash@",
        "crash@2",
        "replica-lag@-1",
        "replica-lag@1+x",
        "replica-lag@1/x",
    ] {
        assert!(text.parse::<Fault>().is_err(), "{text}");
    }
}
