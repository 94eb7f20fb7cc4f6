//! Planned promotions beside a replica that is in no list yet: it receives records, so that commits
//! are acknowledged which only it and the primary have.

mod cluster;
mod harness;

use std::rc;
use std::time;

use mangotray::role;
use mangotray_desk::upstream;

/// Time from an order to its effect, as on real instances.
const PROMOTION_TIME: time::Duration = time::Duration::from_millis(400);

/// Time in which the store records a promotion; short enough for the order to be sent.
const STORE_DELAY: time::Duration = time::Duration::from_millis(120);

/// Starts the replica `d`, which receives records and is not listed.
fn start_unlisted_replica(harness: &harness::Harness) {
    let mut world = harness.cluster.world.borrow_mut();
    let replica = cluster::Instance {
        port: 4,
        listed: false,
        ..world.at("c").clone()
    };
    world.instances.insert("d".into(), replica);
}

/// Makes the primary announce its end.
fn begin_release(harness: &harness::Harness) {
    harness.client.effect_delay.set(PROMOTION_TIME);
    harness.store.at().takes = STORE_DELAY;
    harness.cluster.world.borrow_mut().at("a").draining = true;
    harness.cluster.relist();
}

/// Guards against the loss of commits that an unlisted replica confirms after the last check of the
/// candidate and before the demotion of the primary.
#[test]
fn a_planned_promotion_loses_no_commit_that_only_an_unlisted_replica_confirmed() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        start_unlisted_replica(&harness);
        begin_release(&harness);
        cluster::until("the promotion is being recorded", || {
            harness.store.at().is_recording_promotion()
        })
        .await;
        harness.cluster.world.borrow_mut().commits = true;
        harness.wait_for_primary(2).await;
    });
    let world = harness.cluster.world.borrow();
    assert_eq!(world.lost, 0, "acknowledged commits were lost");
    assert_eq!(world.instances["a"].role, role::Role::Replica);
}

/// Guards against a leaving primary that is never replaced, and whose writes wait for each attempt,
/// because it commits all the time.
#[test]
fn a_leaving_primary_that_commits_all_the_time_is_replaced() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        start_unlisted_replica(&harness);
        harness.cluster.world.borrow_mut().commits = true;
        begin_release(&harness);
        harness.wait_for_primary(2).await;
    });
    let world = harness.cluster.world.borrow();
    assert_eq!(world.lost, 0, "acknowledged commits were lost");
    assert_eq!(world.instances["a"].role, role::Role::Replica);
}

/// Guards against the loss of commits that an unlisted replica confirms after a candidate was held
/// again, because the answer to its order was lost.
#[test]
fn a_candidate_whose_order_was_not_answered_goes_on_following_the_primary() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        start_unlisted_replica(&harness);
        harness.client.lose_answers.set(1);
        harness.cluster.world.borrow_mut().commits = true;
        begin_release(&harness);
        harness.wait_for_primary(2).await;
    });
    let world = harness.cluster.world.borrow();
    assert_eq!(world.lost, 0, "acknowledged commits were lost");
}

/// Guards against the loss of commits that an unlisted replica confirms while a promotion is finished
/// whose first order was lost, as its primary runs on and its candidate is held.
#[test]
fn an_unfinished_promotion_loses_no_commit_that_only_an_unlisted_replica_confirmed() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        start_unlisted_replica(&harness);
        harness.client.drop_orders.set(1);
        harness.cluster.world.borrow_mut().commits = true;
        begin_release(&harness);
        harness.wait_for_primary(2).await;
    });
    let world = harness.cluster.world.borrow();
    assert_eq!(world.lost, 0, "acknowledged commits were lost");
    assert_eq!(harness.client.orders.borrow().len(), 2);
}

/// Guards against a primary that goes on beside its successor, and gets commits confirmed by an
/// unlisted replica, because one demotion was lost.
#[test]
fn a_lost_demotion_is_repeated_before_the_successor_leads() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        start_unlisted_replica(&harness);
        harness.cluster.world.borrow_mut().delay = Some(("a".into(), upstream::Command::Demote(2)));
        begin_release(&harness);
        let stopped = harness.cluster.world.borrow_mut().at("a").role;
        assert_eq!(stopped, role::Role::Primary);
        cluster::until("the primary is demoted or replaced", || {
            let mut world = harness.cluster.world.borrow_mut();
            let replaced = ["b", "c"].map(|id| world.at(id).role);
            world.at("a").role == role::Role::Replica || replaced.contains(&role::Role::Primary)
        })
        .await;
        assert_eq!(harness.leader(), Vec::<&str>::new(), "two instances lead");
    });
}

/// Guards against the loss of commits that an unlisted replica confirms in a group with one listed
/// replica.
#[test]
fn a_planned_promotion_of_the_only_listed_replica_loses_no_commit() {
    let world = cluster::world();
    let replica = world.borrow_mut().instances.remove("c");
    let harness = harness::start_on(cluster::Cluster::of(rc::Rc::clone(&world)));
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        let unlisted = cluster::Instance {
            listed: false,
            ..replica.expect("the replica exists")
        };
        world.borrow_mut().instances.insert("d".into(), unlisted);
        begin_release(&harness);
        cluster::until("the promotion is being recorded", || {
            harness.store.at().is_recording_promotion()
        })
        .await;
        world.borrow_mut().commits = true;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(world.borrow().lost, 0, "acknowledged commits were lost");
}
