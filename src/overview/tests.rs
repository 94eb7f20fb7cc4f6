use crate::admin;
use crate::overview;
use crate::role;
use crate::stamp;

fn instance(name: &str, role: role::Role, fence: u64, reachable: bool) -> admin::Instance {
    admin::Instance {
        name: name.into(),
        role: Some(role),
        stamp: stamp::Stamp::new(fence, 10),
        fence,
        lag_records: Some(fence),
        reachable,
        connections: 3,
        busy: 1,
    }
}

fn vm(name: &str, revision: u64, group: admin::Group) -> overview::Vm {
    let status = admin::Status {
        vm: name.into(),
        revision,
        groups: vec![group],
        ..admin::Status::default()
    };
    overview::Vm {
        name: name.into(),
        admin: ([127, 0, 0, 1], 1).into(),
        status: Some(status),
        error: None,
    }
}

fn group(term: u64, primary: Option<&str>, instances: Vec<admin::Instance>) -> admin::Group {
    admin::Group {
        name: "g".into(),
        primary: primary.map(Into::into),
        term,
        instances,
        queue: 2,
        promotions: 1,
        last_failover_gap_ms: Some(term),
    }
}

// One proxy is disconnected and still reports term 3; another one has seen the promotion of term 4.
// If the answers were merged in the order of the proxies rather than of their terms, the replaced
// primary could be shown as the primary.
#[test]
fn the_highest_term_names_the_primary() {
    let old = vm(
        "v1",
        7,
        group(
            3,
            Some("a"),
            vec![instance("a", role::Role::Primary, 3, false)],
        ),
    );
    let new = vm(
        "v2",
        7,
        group(
            4,
            Some("b"),
            vec![instance("a", role::Role::Replica, 4, true)],
        ),
    );
    for vms in [vec![old.clone(), new.clone()], vec![new, old]] {
        let overview = overview::Overview::new(vms);
        let merged = &overview.groups[0];
        assert_eq!(merged.primary.as_deref(), Some("b"));
        assert_eq!((merged.term, merged.queue, merged.promotions), (4, 4, 2));
        assert_eq!(merged.instances[0].role, Some(role::Role::Replica));
        assert_eq!(merged.instances[0].lag_records, Some(3));
        assert_eq!(
            overview.problems,
            ["g: instance a is reached by 1 of 2 proxies"]
        );
    }
}

#[test]
fn a_healthy_system_has_no_problems() {
    let healthy = || {
        group(
            4,
            Some("a"),
            vec![instance("a", role::Role::Primary, 4, true)],
        )
    };
    let overview = overview::Overview::new(vec![vm("v1", 7, healthy()), vm("v2", 7, healthy())]);
    assert!(overview.problems.is_empty(), "{:?}", overview.problems);
    let text = overview.to_string();
    assert!(text.contains("group g: term 4, primary a"), "{text}");
}

#[test]
fn missing_answers_old_revisions_and_unknown_primaries_are_problems() {
    let mut unanswered = vm("v3", 0, group(0, None, Vec::new()));
    unanswered.status = None;
    unanswered.error = Some("connection refused".into());
    let overview = overview::Overview::new(vec![
        unanswered,
        vm("v2", 6, group(4, None, Vec::new())),
        vm("v1", 7, group(4, None, Vec::new())),
    ]);
    let expected = [
        "v3: no status: connection refused",
        "v2: still at revision 6, not 7",
        "g: no primary is known; writes are refused",
    ];
    assert_eq!(overview.problems, expected);
}

#[test]
fn a_system_without_a_file_has_a_problem() {
    let mut fresh = vm("v1", 0, group(0, None, Vec::new()));
    fresh.status.as_mut().unwrap().groups.clear();
    let overview = overview::Overview::new(vec![fresh]);
    assert_eq!(
        overview.problems,
        ["no configuration is in force; apply a file"]
    );
}
