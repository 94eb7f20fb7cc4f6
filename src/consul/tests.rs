use assert_matches::assert_matches;

use crate::consul;
use crate::http;
use crate::store;

fn answer(status: u16, body: &str) -> http::Answer {
    http::Answer {
        status: hyper::StatusCode::from_u16(status).unwrap(),
        index: None,
        headers: hyper::HeaderMap::new(),
        body: body.to_owned().into(),
    }
}

#[test]
fn refused_changes_are_reported_as_not_run() {
    for status in [400, 413, 429, 503] {
        assert_matches!(
            consul::check_change(answer(status, "")),
            Err(store::Failure::NotRun(_))
        );
    }
}

// Guards against an apply that reports "not run" although its file is in force. A gateway that
// forwards a write and then loses its backend answers 502 or 504, and the write may have been made.
#[test]
fn server_errors_on_changes_are_reported_as_unknown() {
    for status in [500, 502, 504] {
        assert_matches!(
            consul::check_change(answer(status, "")),
            Err(store::Failure::Unknown(_))
        );
    }
}

#[test]
fn failed_reads_are_always_reported_as_not_run() {
    for status in [429, 500, 503, 504] {
        let answer = answer(status, "");
        assert_matches!(consul::entries(&answer), Err(store::Failure::NotRun(_)));
        let parsed = consul::parse::<Vec<store::Listing>>(&answer);
        assert_matches!(parsed, Err(store::Failure::NotRun(_)));
    }
}

#[test]
fn entries_are_parsed_from_the_consul_form() {
    let body = r#"[{"LockIndex":0,"Key":"a/b","Flags":0,"Value":"dGVzdA==","CreateIndex":3,"ModifyIndex":7,"Session":"s1"},
        {"Key":"a/c","Value":null,"ModifyIndex":8}]"#;
    let entries = consul::entries(&answer(200, body)).unwrap();
    assert_eq!(&entries[0].value[..], b"test");
    assert_eq!(
        (entries[0].version, entries[0].lease.as_deref()),
        (7, Some("s1"))
    );
    assert!(entries[1].value.is_empty());
}

#[test]
fn keys_are_escaped_except_slashes() {
    assert_eq!(
        consul::escape("group/a b?/terms").to_string(),
        "group/a%20b%3F/terms"
    );
}
