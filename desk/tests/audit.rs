//! Tests of the audit of a promotion: the instances it counted, and the records it lost.

mod cluster;
mod harness;

use std::time;

use mangotray::role;
use mangotray::stamp;
use mangotray::telemetry;
use mangotray_desk::audit;
use mangotray_desk::boot;
use mangotray_desk::member;
use mangotray_desk::status;
use mangotray_desk::upstream;
use mangotray_desk::wait;

fn report(id: &str, role: role::Role, term: u64, number: u64) -> status::Report {
    status::Report {
        id: id.into(),
        status: upstream::Status {
            role,
            term,
            received: stamp::Stamp::new(term, number),
            held: 0,
            load: upstream::Load::default(),
        },
        applied: None,
    }
}

// `b` is chosen at position 3/420 to replace `a`.
fn audit() -> audit::Audit {
    audit::Audit {
        candidate: "b".into(),
        position: stamp::Stamp::new(3, 420),
        term: 4,
        old: Some("a".into()),
        reports: vec![report("b", role::Role::Replica, 3, 420)],
        queried: ["a", "b", "c"].map(upstream::Id::from).to_vec(),
        unlisted: vec!["c".into()],
        forgotten: vec![("d".into(), time::Duration::from_secs(7))],
    }
}

fn instances_ahead(reports: &[status::Report]) -> Vec<&str> {
    let found = audit().instances_ahead(reports);
    found.iter().map(|found| found.id.as_str()).collect()
}

/// Guards against a promotion whose log lines do not show which instances were left out.
#[test]
fn every_instance_is_reported_with_its_position_or_why_it_was_not_counted() {
    let mut audit = audit();
    assert_eq!(audit.counted(), "b 3/420 term 3 held 0");
    assert_eq!(
        audit.uncounted(),
        "a replaced, c unlisted, d forgotten 7s ago"
    );
    audit.reports.push(report("c", role::Role::Replica, 3, 400));
    audit.queried.push("e".into());
    assert_eq!(
        audit.counted(),
        "b 3/420 term 3 held 0, c 3/400 term 3 held 0 unlisted"
    );
    assert_eq!(
        audit.uncounted(),
        "a replaced, e not held, d forgotten 7s ago"
    );
    assert_eq!(audit.unanswered(&audit.reports), "a, e");
}

/// Guards against an undetected loss when the replica with the lost records was not counted.
#[test]
fn records_that_the_new_primary_lacks_are_a_loss() {
    let leads = report("b", role::Role::Primary, 4, 440);
    let replica = report("c", role::Role::Replica, 3, 421);
    let old = report("a", role::Role::Primary, 3, 425);
    assert_eq!(instances_ahead(&[old, leads, replica.clone()]), ["a", "c"]);
    // The new primary does not answer.
    assert_eq!(instances_ahead(&[replica]), ["c"]);
}

/// Guards against a false alarm after a promotion that has lost nothing.
#[test]
fn records_of_the_new_primary_are_no_loss() {
    // The new primary leads a later term than its replicas were held for, and one of them already
    // has records of that term.
    let leads = report("b", role::Role::Primary, 6, 440);
    let followers = [
        report("a", role::Role::Replica, 3, 420),
        report("c", role::Role::Replica, 6, 439),
    ];
    let [first, second] = followers;
    assert!(instances_ahead(&[first, leads, second]).is_empty());
    let behind = report("c", role::Role::Replica, 2, 500);
    assert!(instances_ahead(&[behind]).is_empty());
}

// Replaces a lost primary while the other replica has `more` records than the candidate.
fn promote_past(more: u64) {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.ignore_orders.set(1);
        harness.cluster.world.borrow_mut().at("a").up = false;
        let harness::FirstOrder { candidate, other } = harness.wait_for_order().await;
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.at(other).position += more;
            world.promote(&candidate);
        }
        harness.wait_for_primary(2).await;
        wait::sleep(harness::SHORT).await;
    });
}

/// Guards against lost commits that are missing from the metrics.
#[test]
fn a_replica_ahead_of_the_new_primary_is_counted_as_a_loss() {
    let metrics = telemetry::Handle::install();
    let line = format!(
        "{}{{group=\"{}\"}} ",
        telemetry::PROMOTION_LOSSES,
        cluster::GROUP
    );
    let losses = || {
        let text = metrics.render();
        let found = text.lines().find_map(|text| text.strip_prefix(&line));
        found.map_or(0, |count| count.parse::<u64>().expect("a count"))
    };
    promote_past(0);
    assert_eq!(losses(), 0);
    promote_past(5);
    assert_eq!(losses(), 1);
}

/// Guards against commits of the new primary that nodes do not pass on, because the audit of its
/// promotion sealed its term: it leads in an earlier term than the replicas were held for.
#[test]
fn the_audit_does_not_seal_the_term_of_the_new_primary() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        harness
            .cluster
            .node
            .router()
            .set_members(vec![member::Member {
                name: "vm".into(),
                domain: "here".into(),
                address: ([127, 0, 0, 1], 1).into(),
                protocol: member::PROTOCOL,
                capacity: None,
            }]);
        // `c` is ahead of the new primary.
        harness.cluster.world.borrow_mut().at("c").position += 5;
        let promotion = audit::Audit {
            position: stamp::Stamp::new(1, 10),
            ..audit()
        };
        let node = std::rc::Rc::clone(&harness.cluster.node);
        let led = 3;
        promotion
            .check(node, std::rc::Rc::clone(&group), led, boot::now())
            .await;
        assert!(group.acknowledge(led, Some(stamp::Stamp::new(led, 1))));
    });
}
