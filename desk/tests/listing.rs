//! Planned promotions on a node whose list of instances is seconds old.

mod cluster;
mod harness;

use std::rc;

use mangotray::role;
use mangotray::stamp;
use mangotray_desk::boot;
use mangotray_desk::intent;
use mangotray_desk::wait;

/// Starts the replica `d`, which alone has the last commits and is in the store's list, but not in
/// the node's.
fn start_replica_that_is_heard_of_late(harness: &harness::Harness) {
    let mut world = harness.cluster.world.borrow_mut();
    let replica = cluster::Instance {
        port: 4,
        position: 12,
        ..world.at("c").clone()
    };
    world.instances.insert("d".into(), replica);
}

/// Makes the node hear that the primary is leaving, but not of `d`.
fn drain_primary(harness: &harness::Harness) {
    let list = {
        let mut world = harness.cluster.world.borrow_mut();
        world.at("a").draining = true;
        world.at("d").listed = false;
        let list = world.list();
        world.at("d").listed = true;
        list
    };
    let now = boot::now();
    harness.cluster.node.update(list, Some(now), now);
}

/// Answers requests for a list with that of the store. The node gets no other list.
fn answer_requests(harness: &harness::Harness) {
    let node = rc::Rc::clone(&harness.cluster.node);
    let world = rc::Rc::clone(&harness.cluster.world);
    let answer = async move {
        loop {
            node.listing().requested().await;
            let (list, now) = (world.borrow().list(), boot::now());
            node.update(list, Some(now), now);
            node.listing().note_read(now);
        }
    };
    harness.cluster.executor.spawn(answer).detach();
}

fn orders(harness: &harness::Harness) -> Vec<String> {
    let orders = harness.client.orders.borrow();
    let candidates = orders.iter().map(|order| order.candidate.to_string());
    candidates.collect()
}

/// Guards against the loss of commits that only a replica has which is missing from an old list.
#[test]
fn a_planned_promotion_holds_the_replicas_of_a_list_that_was_read_for_it() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.node.listing().follow();
        start_replica_that_is_heard_of_late(&harness);
        drain_primary(&harness);
        answer_requests(&harness);
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["d"]);
}

/// Guards against replicas that are held, so that their primary gets no commit confirmed, for a
/// planned promotion that cannot be recorded as the store is away.
#[test]
fn no_replica_is_held_for_a_planned_promotion_while_the_store_does_not_answer() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        // No task answers.
        harness.cluster.node.listing().follow();
        harness.cluster.world.borrow_mut().at("a").draining = true;
        harness.cluster.relist();
        for _ in 0..150 {
            wait::sleep(harness::LONG / 50).await;
            let mut world = harness.cluster.world.borrow_mut();
            assert_eq!((world.at("b").held, world.at("c").held), (0, 0));
        }
    });
    assert!(harness.client.orders.borrow().is_empty());
}

/// Guards against the loss of commits that a crashed primary has acknowledged because of a replica
/// which is in the store's list, but in no answer to a watch yet. The node that has passed them on has
/// ended as well.
#[test]
fn the_promotion_after_a_crash_holds_the_replicas_of_a_list_that_was_read_for_it() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.node.listing().follow();
        start_replica_that_is_heard_of_late(&harness);
        answer_requests(&harness);
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(orders(&harness), ["d"]);
}

/// Guards against the same loss with a relieved primary: the replica is listed after the primary has
/// stepped down, and watches tell of it later than after the usual delay.
#[test]
fn a_relief_holds_the_replicas_of_a_list_that_was_read_after_the_step_down() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.node.listing().follow();
        answer_requests(&harness);
        harness.cluster.world.borrow_mut().at("a").ahead = 1;
        harness.stall_replicas().await;
        cluster::until("the primary steps down", || {
            harness.cluster.world.borrow_mut().at("a").role == role::Role::Replica
        })
        .await;
        start_replica_that_is_heard_of_late(&harness);
        {
            let mut world = harness.cluster.world.borrow_mut();
            let replica = world.at("d");
            (replica.position, replica.held, replica.lag) = (11, 0, None);
        }
        harness.wait_for_primary(2).await;
    });
    assert_eq!(orders(&harness), ["d"]);
}

/// Guards against a group that stays without a primary because the store records promotions, but its
/// list does not arrive.
#[test]
fn a_crashed_primary_is_replaced_after_a_bounded_wait_for_a_list() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        // No task answers.
        harness.cluster.node.listing().follow();
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(orders(&harness).len(), 1);
}

/// Guards against the loss of commits that a primary acknowledges after its replicas were released,
/// although an order to replace it may take effect: its candidate was in no list that the next holder
/// of the promoter's lease knew, which counted as its end.
#[test]
fn an_order_for_a_replica_that_is_heard_of_late_is_not_void() {
    let harness = harness::start();
    let leads = || harness.cluster.world.borrow_mut().at("d").role == role::Role::Primary;
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.node.listing().follow();
        start_replica_that_is_heard_of_late(&harness);
        answer_requests(&harness);
        {
            let mut world = harness.cluster.world.borrow_mut();
            for id in ["b", "c", "d"] {
                (world.at(id).position, world.at(id).held) = (10, 2);
            }
            world.commits = true;
        }
        harness.election.records().note(intent::Intent {
            group: cluster::GROUP.into(),
            candidate: "d".into(),
            born: 1,
            term: 2,
            old: Some("a".into()),
            received: stamp::Stamp::new(1, 10),
            place: intent::Place { fence: 1, turn: 1 },
        });
        cluster::until("the order was judged", || {
            harness.cluster.world.borrow().released > 0 || leads()
        })
        .await;
        wait::sleep(harness::SHORT).await;
        if !leads() {
            // The order takes effect.
            harness.cluster.world.borrow_mut().promote("d");
        }
    });
    let world = harness.cluster.world.borrow();
    assert_eq!(world.lost, 0, "acknowledged commits were lost");
}

/// Guards against a replaced primary that goes on beside its successor with released replicas: it was in
/// no list that the holder of the promoter's lease knew, which counted as its end.
#[test]
fn no_replica_is_released_before_a_replaced_primary_that_is_heard_of_late_is_demoted() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.node.listing().follow();
        start_replica_that_is_heard_of_late(&harness);
        answer_requests(&harness);
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.at("d").role = role::Role::Primary;
            world.at("a").role = role::Role::Replica;
            (world.at("a").held, world.at("b").held) = (2, 2);
            world.promote("c");
        }
        harness.election.records().note(intent::Intent {
            group: cluster::GROUP.into(),
            candidate: "c".into(),
            born: 1,
            term: 2,
            old: Some("d".into()),
            received: stamp::Stamp::new(1, 10),
            place: intent::Place { fence: 1, turn: 1 },
        });
        cluster::until("a replica is released", || {
            harness.cluster.world.borrow().released > 0
        })
        .await;
    });
    let world = harness.cluster.world.borrow();
    assert_eq!(world.instances["d"].role, role::Role::Replica);
}
