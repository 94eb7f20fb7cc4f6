use crate::daemon;
use crate::settings;

// Symptom: an answer larger than `answer_bytes` is relayed, and memory grows with it.
// Cause: links to instances that are opened with a limit of their own.
#[test]
fn links_get_the_configured_answer_limit() {
    let limits = settings::Limits {
        answer_bytes: 4096,
        ..settings::Limits::default()
    };
    assert_eq!(daemon::control_options(&limits).link.limit, 4096);
}
