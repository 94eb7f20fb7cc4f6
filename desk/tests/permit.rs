//! Orders that must not arrive after their sender's lease has ended.

mod cluster;
mod harness;

use std::rc;
use std::time;

use mangotray_desk::election;
use mangotray_desk::permit;
use mangotray_desk::promote;
use mangotray_desk::wait;

/// Longer than a permit to send an order lasts, and shorter than the lease of these tests.
const FREEZE: time::Duration = time::Duration::from_millis(700);

const STEP: time::Duration = time::Duration::from_millis(1);

/// Obtains a lease, and a permit that was asked for at its time zero.
async fn obtain(harness: &harness::Harness) -> (election::Lease, permit::Permit) {
    harness.wait_for_primary(1).await;
    let lease = harness.election.held().expect("a lease");
    let permit = permit::Permit::new(lease.fence, time::Duration::ZERO);
    (lease, permit)
}

/// Guards against an order that arrives after its sender's lease has ended, at whatever moment the
/// sender is suspended, by trying each time of sending.
#[test]
fn an_order_is_sent_only_if_it_arrives_within_its_lease() {
    let harness = harness::start();
    harness.cluster.run(async {
        let (lease, permit) = obtain(&harness).await;
        let spans = [0, 500, 800, 900, 1100, 2000].map(time::Duration::from_millis);
        for until in spans {
            let mut lease = lease.clone();
            lease.until = until;
            let mut now = time::Duration::ZERO;
            while now < time::Duration::from_secs(3) {
                if permit.allows(Some(&lease), now) {
                    assert!(
                        now + promote::DELIVERY_LIMIT <= until,
                        "{now:?} of {until:?}"
                    );
                    assert!(now < FREEZE, "{now:?}");
                }
                now += STEP;
            }
        }
        assert!(permit.allows(Some(&lease), time::Duration::ZERO));
    });
}

#[test]
fn a_permit_holds_for_the_lease_that_it_was_given_under() {
    let harness = harness::start();
    harness.cluster.run(async {
        let (mut lease, permit) = obtain(&harness).await;
        lease.fence += 1;
        assert!(!permit.allows(Some(&lease), time::Duration::ZERO));
        assert!(!permit.allows(None, time::Duration::ZERO));
    });
}

/// Guards against the order of a process that stood still between its last check and the sending:
/// another holder may have promoted an instance meanwhile.
#[test]
fn a_process_that_was_suspended_before_its_order_does_not_send_it() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.freeze.set(FREEZE);
        harness.cluster.world.borrow_mut().at("a").up = false;
        cluster::until("an order is not sent", || harness.client.unsent.get() == 1).await;
        assert!(harness.client.orders.borrow().is_empty());
        // It begins anew, with a new record, and the group has a primary again.
        harness.wait_for_primary(2).await;
    });
}

/// Guards against a successor that obtains the lease while an order of its predecessor is on its
/// way: a node that stopped gave up the lease in the middle of a promotion.
#[test]
fn a_lease_is_not_resigned_while_an_order_is_in_flight() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.answer_delay.set(harness::SHORT);
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_order().await;
        let election = rc::Rc::clone(&harness.election);
        let resigned = harness
            .cluster
            .executor
            .spawn(async move { election.resign().await });
        wait::sleep(harness::SHORT / 5).await;
        assert!(!resigned.is_finished());
        assert!(harness.store.at().entry.is_some(), "the lease was given up");
        resigned.await;
        assert!(harness.store.at().entry.is_none());
    });
}
