use crate::daemon;
use crate::settings;

// Symptom: an answer larger than `answer_bytes` is relayed, and memory grows with it.
// Cause: links to instances that are opened with a limit of their own.
#[test]
fn the_limit_of_answers_reaches_the_links() {
    let limits = settings::Limits {
        answer_bytes: 4096,
        ..settings::Limits::default()
    };
    assert_eq!(daemon::control(&limits).link.limit, 4096);
}
