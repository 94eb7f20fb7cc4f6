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
fn refusals_prove_that_nothing_ran() {
    for status in [400, 413, 429, 503] {
        assert_matches!(
            consul::accepted(answer(status, "")),
            Err(store::Failure::NotRun(_))
        );
    }
}

// Symptom: an apply is told "not run" though its file is in force.
// Events: a gateway passes a write on, loses its backend and answers 502 or 504.
// Cause: those statuses say nothing about the write, so they must map to "unknown".
#[test]
fn broken_gateways_prove_nothing() {
    for status in [500, 502, 504] {
        assert_matches!(
            consul::accepted(answer(status, "")),
            Err(store::Failure::Unknown(_))
        );
    }
}

#[test]
fn a_read_changes_nothing_whatever_the_answer() {
    for status in [429, 500, 503, 504] {
        let answer = answer(status, "");
        assert_matches!(consul::rows(&answer), Err(store::Failure::NotRun(_)));
        let parsed = consul::parse::<Vec<store::Listing>>(&answer);
        assert_matches!(parsed, Err(store::Failure::NotRun(_)));
    }
}

#[test]
fn rows_are_read_in_the_published_form() {
    let body = r#"[{"LockIndex":0,"Key":"a/b","Flags":0,"Value":"dGVzdA==","CreateIndex":3,"ModifyIndex":7,"Session":"s1"},
        {"Key":"a/c","Value":null,"ModifyIndex":8}]"#;
    let rows = consul::rows(&answer(200, body)).unwrap();
    assert_eq!(&rows[0].value[..], b"test");
    assert_eq!((rows[0].version, rows[0].lease.as_deref()), (7, Some("s1")));
    assert!(rows[1].value.is_empty());
}

#[test]
fn keys_are_escaped_but_for_their_slashes() {
    assert_eq!(
        consul::escape("group/a b?/terms").to_string(),
        "group/a%20b%3F/terms"
    );
}
