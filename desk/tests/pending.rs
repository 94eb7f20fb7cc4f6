//! A pending order whose candidate lacks records that another replica has.

mod cluster;
mod harness;

use mangotray_desk::wait;

/// Guards against records that a held replica has reported and that the candidate ordered first
/// lacks.
#[test]
fn a_candidate_that_lacks_records_of_a_held_replica_is_replaced_after_a_wait() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.ignore_orders.set(1);
        harness.cluster.world.borrow_mut().at("a").up = false;
        let other = harness.wait_for_order().await.other;
        // It went on receiving until it was held again.
        harness.cluster.world.borrow_mut().at(other).ahead = 5;
        cluster::until("the replicas are held again", || {
            harness.cluster.world.borrow_mut().at(other).ahead == 0
        })
        .await;
        wait::sleep(harness::LONG).await;
        // The first order may still take effect, so no other candidate is ordered.
        assert_eq!(harness.client.orders.borrow().len(), 1);
        harness.wait_for_primary(2).await;
        assert_eq!(harness.leader(), [other]);
    });
}
