//! Planned promotions on a node whose list of instances is seconds old.

mod cluster;
mod harness;

use std::rc;

use mangotray_desk::boot;
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

/// Guards against the loss of commits that only a replica has which is missing from an old list.
#[test]
fn a_planned_promotion_holds_the_replicas_of_a_list_that_was_read_for_it() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.node.listing().follow();
        start_replica_that_is_heard_of_late(&harness);
        drain_primary(&harness);
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
