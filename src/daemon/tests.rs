use crate::daemon;
use crate::settings;

// Guards against links to instances that use their default limit instead of `answer_bytes`: larger
// answers would be relayed and would take as much memory.
#[test]
fn links_get_the_configured_answer_limit() {
    let limits = settings::Limits {
        answer_bytes: 4096,
        ..settings::Limits::default()
    };
    assert_eq!(daemon::control_options(&limits).link.limit, 4096);
}
