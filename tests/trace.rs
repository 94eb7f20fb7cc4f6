//! Tests that the nodes' logs alone lead from the id of a failed request to its cause.
//!
//! The logs come from a run during which the platform's store and a primary were unavailable.

use mangotray::command::trace;

fn request_timeline(log: &str, request: &str) -> Vec<String> {
    let lines = trace::timeline(log, request);
    assert!(!lines.is_empty(), "no line about {request}");
    lines
}

/// Checks that lines with each of `texts` come in this order.
fn assert_order(lines: &[String], texts: &[&str]) {
    let mut from = 0;
    for text in texts {
        let found = lines[from..].iter().position(|line| line.contains(text));
        let found = found.unwrap_or_else(|| panic!("no {text:?} in order in {lines:#?}"));
        from += found;
    }
}

#[test]
fn a_refused_read_leads_to_the_instance_that_lost_its_answer() {
    let log = include_str!("logs/refused-read.log");
    let lines = request_timeline(log, "00b63cd6f26b2d50");
    assert_order(
        &lines,
        &[
            "- store lost",
            "read not answered",
            "- primary in doubt",
            "statement failed code=Aborted",
        ],
    );
}

#[test]
fn an_unknown_outcome_leads_to_the_primary_that_was_replaced_after_it() {
    let log = include_str!("logs/unknown-outcome.log");
    let lines = request_timeline(log, "52bc144bcdeda6ce");
    assert_order(
        &lines,
        &[
            "- primary in doubt",
            "statement failed code=Unsure",
            "- replacing the primary cause=Silent",
            "- promotion over",
        ],
    );
}

#[test]
fn a_refused_write_leads_to_the_outage_in_which_nobody_could_promote() {
    let log = include_str!("logs/no-primary.log");
    let lines = request_timeline(log, "5b2f6e75f9302ca0");
    assert_order(
        &lines,
        &[
            "- primary in doubt",
            "statement failed code=Busy",
            "- store regained",
            "- promotion over",
        ],
    );
}
