//! Tests of promotions that an earlier promoter left unfinished, and of promotions whose order is
//! lost.

mod cluster;
mod harness;

use std::cell;
use std::rc;

use mangotray::role;
use mangotray_desk::wait;

/// Returns a world in which `b` has replaced `a` in term 2 while `a` was unreachable, and whose
/// promoter stopped right after. Replica `c` is still held, and `a` still leads term 1.
fn unfinished_promotion() -> (cluster::Shared, harness::Store) {
    let first = harness::start();
    first.cluster.run(async {
        first.wait_for_primary(1).await;
        first.cluster.world.borrow_mut().at("b").position = 12;
        first.cluster.world.borrow_mut().at("a").up = false;
        cluster::until("the new primary leads", || {
            first.cluster.world.borrow_mut().at("b").role == role::Role::Primary
        })
        .await;
    });
    // The node has stopped and its lease ends.
    first.store.at().entry = None;
    let world = rc::Rc::clone(&first.cluster.world);
    world.borrow_mut().at("a").position = 12;
    (world, first.store.clone())
}

// Restarts both replicas without their logs.
fn lose_logs(world: &mut cluster::World) {
    for id in ["b", "c"] {
        world.at(id).born = 2;
        world.at(id).position = 0;
    }
}

// Makes the primary announce its shutdown and loses the first `count` orders for its successor.
async fn lose_orders(harness: &harness::Harness, count: usize) {
    harness.client.drop_orders.set(count);
    harness.cluster.world.borrow_mut().at("a").draining = true;
    harness.cluster.relist();
    cluster::until("the order is lost", || {
        !harness.client.orders.borrow().is_empty()
    })
    .await;
}

// Whether `a` could acknowledge a write that no later primary would have.
fn could_acknowledge(world: &cell::RefCell<cluster::World>) -> bool {
    let mut world = world.borrow_mut();
    let leads_old_term = world.at("a").role == role::Role::Primary && world.at("a").term == 1;
    let is_up = world.at("a").up;
    let has_free_replica = world.at("c").held == 0 && world.at("c").term == 1;
    leads_old_term && is_up && has_free_replica
}

/// Guards against a loss of acknowledged writes (forty were seen) when a promoter that gives up
/// releases replicas held by an earlier promoter. `b` replaces the unreachable `a`, the promoter
/// is killed before it demotes `a`, and `b` crashes. The next promoter finds `c` held, gives up as
/// `b` does not answer, and releases `c`. `a` acknowledges writes with `c`, and `b` comes back and
/// leads its later term without them.
#[test]
fn a_promoter_that_gives_up_keeps_the_holds_of_its_predecessor() {
    let (world, store) = unfinished_promotion();
    world.borrow_mut().at("b").up = false;
    world.borrow_mut().at("a").up = true;
    let second = harness::start_with(cluster::Cluster::of(rc::Rc::clone(&world)), store);
    second.cluster.run(async {
        let told = || {
            assert!(
                !could_acknowledge(&world),
                "a replica was released too early"
            );
            world.borrow_mut().at("a").term > 1
                || world.borrow_mut().at("a").role == role::Role::Replica
        };
        cluster::until("the replaced primary is demoted", told).await;
        // An instance that answers takes over from the crashed `b`.
        second.wait_for_primary(3).await;
    });
    assert_ne!(second.leader(), ["b"]);
}

/// Guards against a group that serves no writes although its primary `b` leads. A promoter stops
/// after holding `c` for a later term, without an order, and `a` does not answer. The next promoter
/// tried to finish that promotion, which needs all answers, and started over every four seconds. It
/// never demoted `a`, as the promoter that had replaced `a` had ended.
#[test]
fn a_leading_primary_is_kept_and_its_predecessor_is_demoted() {
    let (world, store) = unfinished_promotion();
    world.borrow_mut().at("c").held = 3;
    let second = harness::start_with(cluster::Cluster::of(rc::Rc::clone(&world)), store);
    second.cluster.run(async {
        cluster::until("its replica is released", || {
            world.borrow_mut().at("c").held == 0
        })
        .await;
        second.wait_for_primary(2).await;
        world.borrow_mut().at("c").term = 2;
        world.borrow_mut().at("a").up = true;
        cluster::until("the replaced primary is demoted", || {
            world.borrow_mut().at("a").role == role::Role::Replica
        })
        .await;
    });
    assert_eq!(second.leader(), ["b"]);
    assert!(second.client.orders.borrow().is_empty());
}

/// Guards against a group that never gets a primary after records were lost. One replica alone
/// receives some records and restarts without them; the primary restarts as an empty replica. The
/// promoter kept waiting for the primary to come back with its log, although it was back without
/// it.
#[test]
fn a_promotion_is_held_back_only_while_an_instance_may_have_the_records() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.settled().await;
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.at("a").up = false;
            lose_logs(&mut world);
        }
        harness.cluster.relist();
        wait::sleep(2 * harness::LONG).await;
        assert!(harness.client.orders.borrow().is_empty());
        {
            let mut world = harness.cluster.world.borrow_mut();
            let first = world.at("a");
            first.up = true;
            first.role = role::Role::Replica;
            first.position = 0;
            first.born = 2;
        }
        harness.cluster.relist();
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader().len(), 1);
}

/// Guards against a loss of hundreds of acknowledged writes that one instance still had. Both
/// replicas restart without their logs, while the primary has become a replica and keeps its own.
/// The replaced primary was never considered as a candidate.
#[test]
fn a_replaced_primary_that_alone_has_the_records_leads_again() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        let group = harness.cluster.settled().await;
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.at("a").role = role::Role::Replica;
            lose_logs(&mut world);
        }
        harness.cluster.relist();
        group.suspect(1, "test");
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["a"]);
}

/// Guards against a loss of the whole log (four hundred acknowledged writes were seen). A primary
/// announces its shutdown, the order for its successor is lost, and the store is unavailable for
/// ten seconds. All three instances then restart empty in turn, and none can copy the log from
/// another, as the primary was demoted although no successor was known to lead.
#[test]
fn a_running_primary_is_demoted_only_once_its_successor_may_lead() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        lose_orders(&harness, 1).await;
        harness.store.at().down = true;
        wait::sleep(harness::LONG).await;
        assert_eq!(
            harness.cluster.world.borrow_mut().at("a").role,
            role::Role::Primary
        );
        harness.store.at().down = false;
        harness.election.note_store_reachable();
        harness.wait_for_primary(2).await;
        cluster::until("the replaced primary is demoted", || {
            harness.cluster.world.borrow_mut().at("a").role == role::Role::Replica
        })
        .await;
    });
}

/// Guards against a group that never gets a usable primary although one leads with all records. The
/// order for a successor is lost, both replicas restart without their logs, and the lease holder
/// stops. The next holder waited without limit for an order whose candidate process has ended.
#[test]
fn an_order_for_a_process_that_has_ended_is_dropped() {
    let first = harness::start();
    let world = rc::Rc::clone(&first.cluster.world);
    first.cluster.run(async {
        first.wait_for_primary(1).await;
        lose_orders(&first, usize::MAX).await;
    });
    first.store.at().entry = None;
    {
        let mut world = world.borrow_mut();
        world.at("a").draining = false;
        lose_logs(&mut world);
    }
    let second = harness::start_with(
        cluster::Cluster::of(rc::Rc::clone(&world)),
        first.store.clone(),
    );
    second.cluster.run(async {
        cluster::until("the replicas are released", || {
            let mut world = world.borrow_mut();
            world.at("b").held == 0 && world.at("c").held == 0
        })
        .await;
        second.wait_for_primary(1).await;
    });
    assert_eq!(second.leader(), ["a"]);
}

/// Guards against a group that takes no writes while promotions fail, although its primary runs. A
/// primary announces its shutdown, the order for its successor is lost, and all later orders fail.
/// The lost order kept the replicas held without a time limit.
#[test]
fn a_running_primary_continues_once_a_lost_order_has_timed_out() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        lose_orders(&harness, 1).await;
        harness.client.refuse_orders.set(true);
        harness.cluster.world.borrow_mut().at("a").draining = false;
        harness.cluster.relist();
        cluster::until("the replicas are released", || {
            let mut world = harness.cluster.world.borrow_mut();
            world.at("b").held == 0 && world.at("c").held == 0
        })
        .await;
        harness.wait_for_primary(1).await;
    });
    assert_eq!(harness.leader(), ["a"]);
}

/// Guards against a lease holder that demotes the primary in favour of a candidate that never led,
/// while it cannot order a promotion.
#[test]
fn a_primary_is_demoted_only_by_a_holder_that_can_order() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        lose_orders(&harness, usize::MAX).await;
        let candidate = harness.client.orders.borrow()[0].candidate.clone();
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.at("a").draining = false;
            world.at(&candidate).up = false;
        }
        harness.cluster.relist();
        harness.store.at().down = true;
        for _ in 0..40 {
            wait::sleep(harness::LONG / 20).await;
            assert_eq!(harness.leader(), ["a"]);
        }
        harness.store.at().down = false;
        harness.client.drop_orders.set(0);
        harness.wait_for_primary(2).await;
    });
}

/// Guards against a group without a primary because its replicas are held for a term that no
/// instance leads.
#[test]
fn a_promotion_that_takes_effect_in_an_earlier_term_than_replicas_were_held_for_comes_to_its_end() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.ignore_orders.set(1);
        harness.cluster.world.borrow_mut().at("a").up = false;
        // The candidate stops before it leads, and the replaced primary has stepped down.
        let harness::FirstOrder { candidate, other } = harness.wait_for_order().await;
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.at(&candidate).up = false;
            world.at("a").up = true;
            world.at("a").role = role::Role::Replica;
        }
        cluster::until("another is promoted", || harness.leader().len() == 1).await;
        // The promotion releases all holds when it takes effect.
        let leader = harness.leader().remove(0);
        let follower = if leader == "a" { other } else { "a" };
        {
            let mut world = harness.cluster.world.borrow_mut();
            assert_eq!(world.at(&leader).term, 2);
            world.at(follower).held = 0;
            world.at(follower).term = 2;
        }
        wait::sleep(harness::LONG).await;
        assert_eq!(harness.cluster.world.borrow_mut().at(follower).held, 0);
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        assert_eq!(group.leader().map(|leader| leader.term), Some(2));
        let recorded = harness.election.intent(&cluster::GROUP.into());
        assert_eq!(recorded.map(|intent| intent.term), Some(2));
    });
}
