//! Tests that a stalled primary is replaced only if that can help, and that the replicas of a
//! running primary are not held otherwise.

mod cluster;
mod harness;

use std::time;

use mangotray_desk::wait;

use harness::Harness;
use harness::LONG;
use harness::start;
use harness::start_on;

/// Interval at which a test checks the simulated instances.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Adds records to the primary that no replica receives.
fn stall(harness: &Harness) {
    harness.cluster.world.borrow_mut().at("a").position = 20;
}

/// Whether a replica is held at any time within `limit`.
async fn is_held_within(harness: &Harness, id: &str, limit: time::Duration) -> bool {
    let held = async {
        while harness.cluster.world.borrow_mut().at(id).held == 0 {
            wait::sleep(POLL_INTERVAL).await;
        }
    };
    wait::within(limit, held).await.is_some()
}

#[test]
fn a_stalled_primary_with_two_replicas_is_replaced() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        stall(&harness);
        harness.wait_for_primary(2).await;
    });
    assert_ne!(harness.leader(), ["a"]);
}

/// Guards against a promotion every second because each new primary has no replica either.
#[test]
fn a_stall_that_outlasts_a_promotion_triggers_no_second_one_at_once() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        stall(&harness);
        harness.wait_for_primary(2).await;
        wait::sleep(2 * LONG).await;
    });
    assert_eq!(harness.client.orders.borrow().len(), 1);
}

/// Guards against a promotion of the only replica, which itself has no replica while it cannot
/// reach the old primary.
#[test]
fn a_stalled_primary_with_one_replica_is_kept() {
    let world = cluster::world();
    world.borrow_mut().instances.remove("c");
    let harness = start_on(cluster::Cluster::of(world));
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        stall(&harness);
        wait::sleep(2 * LONG).await;
    });
    assert_eq!(harness.leader(), ["a"]);
    assert!(harness.client.orders.borrow().is_empty());
}

/// Guards against seconds without writes in which the replicas of a leaving primary are held
/// although one of them does not answer.
#[test]
fn replicas_of_a_leaving_primary_are_not_held_while_one_does_not_answer() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("c").up = false;
        harness.cluster.world.borrow_mut().at("a").draining = true;
        harness.cluster.relist();
        assert!(!is_held_within(&harness, "b", 2 * LONG).await);
        harness.cluster.world.borrow_mut().at("c").up = true;
        harness.wait_for_primary(2).await;
    });
    assert_ne!(harness.leader(), ["a"]);
}
