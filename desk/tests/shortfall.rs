//! Promotions whose candidate lacks commits that callers were told are kept.

mod cluster;
mod harness;

use std::time;

use mangotray::role;
use mangotray::stamp;
use mangotray_desk::boot;
use mangotray_desk::question;
use mangotray_desk::shortfall;
use mangotray_desk::wait;

/// Position of the last commit that only the replica `d`, which is not listed, has confirmed; the
/// listed replicas end at 10.
const ACKNOWLEDGED: stamp::Stamp = stamp::Stamp::new(1, 12);

fn start_unlisted_replica(harness: &harness::Harness) {
    let mut world = harness.cluster.world.borrow_mut();
    let replica = cluster::Instance {
        position: 12,
        port: 4,
        listed: false,
        ..world.at("c").clone()
    };
    world.instances.insert("d".into(), replica);
}

fn list_replica(harness: &harness::Harness) {
    harness.cluster.world.borrow_mut().at("d").listed = true;
    harness.cluster.relist();
}

fn orders(harness: &harness::Harness) -> Vec<String> {
    let orders = harness.client.orders.borrow();
    orders
        .iter()
        .map(|order| order.candidate.to_string())
        .collect()
}

/// Starts another node that has passed on a commit as acknowledged.
async fn start_other_node(harness: &harness::Harness) {
    let answer = |question| match question {
        question::Question::Acknowledged(group) if group == cluster::GROUP => {
            question::Answer::Acknowledged(ACKNOWLEDGED)
        }
        _ => question::Answer::Nothing,
    };
    let other = harness.start_other_node(answer).await;
    harness.cluster.node.router().set_members(vec![other]);
}

/// Guards against the loss of commits that only a replica has that is not listed yet: a candidate
/// below what this node has passed on as acknowledged was promoted.
#[test]
fn a_promotion_waits_for_a_replica_that_has_the_acknowledged_commits() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        start_unlisted_replica(&harness);
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        group.note_acknowledged(Some(ACKNOWLEDGED));
        harness.cluster.world.borrow_mut().at("a").up = false;
        cluster::until("the promotion is held back", || group.holdback().is_some()).await;
        assert!(orders(&harness).is_empty());
        list_replica(&harness);
        harness.wait_for_primary(2).await;
    });
    assert_eq!(orders(&harness), ["d"]);
}

/// Guards against the same loss when another node than the promoter has passed the commits on.
#[test]
fn what_another_node_has_passed_on_counts() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        start_other_node(&harness).await;
        start_unlisted_replica(&harness);
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        harness.cluster.world.borrow_mut().at("a").up = false;
        cluster::until("the promotion is held back", || group.holdback().is_some()).await;
        assert!(orders(&harness).is_empty());
        list_replica(&harness);
        harness.wait_for_primary(2).await;
    });
    assert_eq!(orders(&harness), ["d"]);
}

/// Guards against a stalled primary that is replaced although it runs and alone, with a replica that
/// is not listed yet, has acknowledged commits.
#[test]
fn a_running_primary_with_acknowledged_commits_is_not_replaced() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("a").position = 12;
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        group.note_acknowledged(Some(ACKNOWLEDGED));
        wait::sleep(2 * harness::LONG).await;
    });
    assert!(orders(&harness).is_empty());
    assert_eq!(harness.leader(), ["a"]);
}

/// Guards against a group that never has a primary again, because no instance that is left has all
/// acknowledged commits.
#[test]
fn the_wait_for_acknowledged_commits_is_bounded() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        group.note_acknowledged(Some(ACKNOWLEDGED));
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(orders(&harness).len(), 1);
}

/// Guards against a position that counts as acknowledged although no commit was: a read, or the end
/// of a transaction that wrote nothing.
#[test]
fn only_commits_of_writes_are_acknowledged() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let mut session = cluster.session("current");
        for text in ["READ x", "BEGIN", "READ x", "COMMIT"] {
            assert!(session.handle(&cluster::request(text)).await.is_done());
        }
        assert_eq!(group.acknowledged(), None);
        for text in ["BEGIN", "WRITE x 1", "COMMIT"] {
            assert!(session.handle(&cluster::request(text)).await.is_done());
        }
        let first = group.acknowledged();
        assert!(first.is_some());
        let written = session.handle(&cluster::request("WRITE x 2")).await;
        assert!(written.is_done());
        assert!(group.acknowledged() > first);
        let leads = |instance: &cluster::Instance| instance.role == role::Role::Primary;
        let world = cluster.world.borrow();
        let primary = world.instances.values().find(|instance| leads(instance));
        let position = primary.map(|instance| stamp::Stamp::new(1, instance.position));
        assert_eq!(group.acknowledged(), position);
    });
}

#[test]
fn a_wait_begins_anew_only_when_more_was_acknowledged() {
    let seconds = time::Duration::from_secs;
    let now = boot::now();
    let mut shortfall = shortfall::Shortfall::note(None, ACKNOWLEDGED, now);
    for step in 1..=4 {
        let later = now + seconds(step);
        shortfall = shortfall::Shortfall::note(Some(shortfall), ACKNOWLEDGED, later);
        assert!(!shortfall.is_over(later));
    }
    assert!(shortfall.is_over(now + seconds(5)));
    let more = stamp::Stamp::new(1, 13);
    shortfall = shortfall::Shortfall::note(Some(shortfall), more, now + seconds(5));
    assert!(!shortfall.is_over(now + seconds(9)));
}
