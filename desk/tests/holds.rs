//! Tests that a held replica stays held until the promotion has taken effect and its cleanup
//! releases it.

mod cluster;
mod harness;

use std::cell;
use std::rc;
use std::time;

use bytes::Bytes;
use mangotray::role;
use mangotray::stamp;
use mangotray_desk::boot;
use mangotray_desk::cleanup;
use mangotray_desk::election;
use mangotray_desk::intent;
use mangotray_desk::resumes;
use mangotray_desk::upstream;
use mangotray_desk::wait;

/// Shorter than the time in which an unanswered command can still arrive.
const IN_FLIGHT: time::Duration = time::Duration::from_secs(2);

/// Time in which a promotion takes effect; longer than real instances need.
const PROMOTION_TIME: time::Duration = time::Duration::from_secs(1);

/// Time in which the store records a promotion; short enough for the order to be sent.
const STORE_DELAY: time::Duration = time::Duration::from_millis(120);

/// Interval at which a test checks the simulated instances.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

fn held(harness: &harness::Harness, id: &str) -> u64 {
    harness.cluster.world.borrow_mut().at(id).held
}

// Gives the promoter lease to another holder.
async fn lose_lease(harness: &harness::Harness) {
    {
        let mut entries = harness.store.at();
        let entry = entries.entry.as_mut().expect("the promoter lease is held");
        entry.value = Bytes::from_static(b"another");
        entry.lease = None;
    }
    cluster::until("the promoter lease is lost", || {
        harness.election.held().is_none()
    })
    .await;
}

// Replaces the unreachable `a`, and makes this node lose the promoter lease before `a` can be
// demoted. Returns the replica that is held.
async fn lose_lease_before_cleanup(harness: &harness::Harness) -> &'static str {
    harness.wait_for_primary(1).await;
    harness.cluster.world.borrow_mut().at("a").up = false;
    harness.wait_for_primary(2).await;
    lose_lease(harness).await;
    let other = if harness.leader() == ["b"] { "c" } else { "b" };
    assert_eq!(held(harness, other), 2);
    harness.cluster.world.borrow_mut().at("a").up = true;
    cluster::until("the replaced primary is demoted", || {
        harness.cluster.world.borrow_mut().at("a").role == role::Role::Replica
    })
    .await;
    other
}

/// Guards against an old primary that keeps acknowledging writes during a promotion because a late
/// resume command of an earlier attempt releases a replica after the order.
#[test]
fn no_order_is_sent_while_an_earlier_resume_may_arrive() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.refuse_orders.set(true);
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.delay = Some(("c".into(), upstream::Command::Resume));
            world.at("a").draining = true;
        }
        harness.cluster.relist();
        cluster::until("a resume command is delayed", || {
            !harness.cluster.world.borrow().late.is_empty()
        })
        .await;
        let sent = boot::now();
        let refused = harness.client.orders.borrow().len();
        harness.client.refuse_orders.set(false);
        harness.client.effect_delay.set(PROMOTION_TIME);
        while boot::now() < sent + IN_FLIGHT {
            assert_eq!(harness.client.orders.borrow().len(), refused);
            wait::sleep(POLL_INTERVAL).await;
        }
        harness.cluster.world.borrow_mut().deliver();
        harness.wait_for_primary(2).await;
    });
    assert!(harness.client.unheld.borrow().is_empty());
}

/// Guards against a node that has lost the promoter lease and releases the holds of its successor.
#[test]
fn a_promotion_given_up_without_the_lease_releases_no_hold() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        for id in ["a", "c"] {
            harness.cluster.world.borrow_mut().at(id).up = false;
        }
        cluster::until("a replica is held", || held(&harness, "b") == 2).await;
        lose_lease(&harness).await;
        wait::sleep(harness::LONG).await;
        assert_eq!(held(&harness, "b"), 2);
    });
}

/// Guards against a node that has lost the promoter lease and still releases replicas in the
/// cleanup of its promotion.
#[test]
fn cleanup_without_the_lease_releases_no_hold() {
    let harness = harness::start();
    harness.cluster.run(async {
        let other = lose_lease_before_cleanup(&harness).await;
        wait::sleep(harness::LONG).await;
        assert_eq!(held(&harness, other), 2);
    });
}

/// Guards against replicas that stay held indefinitely because only the node that lost the promoter
/// lease would have released them.
#[test]
fn replicas_left_held_are_released_by_the_next_holder_of_the_lease() {
    for same in [true, false] {
        let harness = harness::start();
        harness.cluster.run(async {
            let other = lose_lease_before_cleanup(&harness).await;
            wait::sleep(harness::SHORT).await;
            assert_eq!(held(&harness, other), 2);
            harness.store.at().entry = None;
            let next = (!same).then(|| {
                let cluster = harness.cluster.another("next");
                harness::start_with(cluster, harness.store.clone())
            });
            if next.is_none() {
                harness.election.note_vacant();
            }
            cluster::until("its replica is released", || held(&harness, other) == 0).await;
            let holder = next.as_ref().unwrap_or(&harness);
            assert!(holder.election.held().is_some());
        });
    }
}

/// Guards against a late resume command from the cleanup of one promotion that releases a hold of
/// the next one.
#[test]
fn no_order_is_sent_while_a_resume_of_a_cleanup_may_arrive() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_primary(2).await;
        let first = harness.leader().remove(0);
        let other = if first == "b" { "c" } else { "b" };
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.delay = Some((other.into(), upstream::Command::Resume));
            world.at("a").up = true;
        }
        cluster::until("a resume command is delayed", || {
            !harness.cluster.world.borrow().late.is_empty()
        })
        .await;
        let sent = boot::now();
        harness.client.effect_delay.set(PROMOTION_TIME);
        harness.cluster.world.borrow_mut().at(&first).up = false;
        while boot::now() < sent + IN_FLIGHT {
            assert_eq!(harness.client.orders.borrow().len(), 1);
            wait::sleep(POLL_INTERVAL).await;
        }
        harness.cluster.world.borrow_mut().deliver();
        harness.wait_for_primary(3).await;
    });
    assert!(harness.client.unheld.borrow().is_empty());
}

// The cleanup of a promotion to term 1, by a node that holds the promoter lease and runs no other
// promotion.
async fn cleanup_of_term_one(
    cluster: &cluster::Cluster,
    resumes: &rc::Rc<cell::RefCell<resumes::Resumes>>,
) -> cleanup::Cleanup {
    let store = rc::Rc::new(harness::Store::default());
    let election = election::Election::new(store, &"vm".into(), harness::SHORTEST);
    cluster
        .executor
        .spawn(rc::Rc::clone(&election).run())
        .detach();
    election.note_vacant();
    cluster::until("the promoter lease is taken", || election.held().is_some()).await;
    let group = cluster.node.group(&cluster::GROUP.into());
    let intent = intent::Intent {
        group: group.name.clone(),
        candidate: "a".into(),
        born: 1,
        term: 1,
        old: None,
        received: stamp::Stamp::default(),
        place: intent::Place::default(),
    };
    cleanup::Cleanup::new(
        group,
        &intent,
        intent.term,
        election,
        rc::Rc::clone(resumes),
    )
}

/// Guards against a cleanup that releases a hold of the next promotion because that promotion
/// begins between the cleanup's status query and its resume command.
#[test]
fn cleanup_releases_no_hold_while_the_next_promotion_runs() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let resumes = rc::Rc::default();
        let cleanup = cleanup_of_term_one(&cluster, &resumes).await;
        resumes
            .borrow_mut()
            .set_promoting(&cluster::GROUP.into(), true);
        cluster.world.borrow_mut().at("c").held = 1;
        let free = async move { cleanup.release().await };
        cluster.executor.spawn(free).detach();
        wait::sleep(harness::LONG).await;
        assert_eq!(cluster.world.borrow_mut().at("c").held, 1);
        resumes
            .borrow_mut()
            .set_promoting(&cluster::GROUP.into(), false);
        cluster::until("the replica is released", || {
            cluster.world.borrow_mut().at("c").held == 0
        })
        .await;
    });
}

/// Guards against a cleanup that releases holds for a later term.
#[test]
fn cleanup_releases_only_its_own_holds() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let cleanup = cleanup_of_term_one(&cluster, &rc::Rc::default()).await;
        cluster.world.borrow_mut().at("b").held = 7;
        cluster.world.borrow_mut().at("c").held = 1;
        assert!(cleanup.release().await);
        let mut world = cluster.world.borrow_mut();
        assert_eq!((world.at("b").held, world.at("c").held), (7, 0));
    });
}

/// Guards against an old primary that keeps acknowledging writes during a promotion because a
/// replica restarted after the order and lost its hold.
#[test]
fn a_replica_that_restarts_after_the_order_is_held_before_the_promotion() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.effect_delay.set(PROMOTION_TIME);
        harness.cluster.world.borrow_mut().at("a").up = false;
        let other = harness.wait_for_order().await.other;
        harness.cluster.world.borrow_mut().at(other).held = 0;
        harness.cluster.world.borrow_mut().at(other).born = 2;
        harness.cluster.relist();
        harness.wait_for_primary(2).await;
    });
    assert!(harness.client.unheld.borrow().is_empty());
}

/// Guards against an old primary that keeps acknowledging writes during a promotion because a
/// replica is released while the call for the order is still unanswered.
#[test]
fn a_replica_released_while_the_order_is_unanswered_is_held_again() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.answer_delay.set(PROMOTION_TIME);
        harness.client.effect_delay.set(PROMOTION_TIME);
        harness.cluster.world.borrow_mut().at("a").up = false;
        let other = harness.wait_for_order().await.other;
        harness.cluster.world.borrow_mut().at(other).held = 0;
        harness.wait_for_primary(2).await;
    });
    assert!(harness.client.unheld.borrow().is_empty());
}

/// Guards against a replica that loses its hold and is not held again because another replica does
/// not answer.
#[test]
fn a_silent_replica_delays_no_hold_of_another() {
    let world = cluster::world();
    let fourth = world.borrow_mut().at("c").clone();
    world.borrow_mut().instances.insert("d".into(), fourth);
    // `b` is known to have all records, so it is the candidate.
    world.borrow_mut().at("b").position = 12;
    let harness = harness::start_on(cluster::Cluster::of(world));
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.effect_delay.set(PROMOTION_TIME);
        harness.cluster.world.borrow_mut().at("a").up = false;
        assert_eq!(harness.wait_for_order().await.other, "c");
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.delay = Some(("c".into(), upstream::Command::Status));
            world.at("d").held = 0;
        }
        harness.wait_for_primary(2).await;
    });
    assert!(harness.client.unheld.borrow().is_empty());
}

/// Guards against a replica that stays held because a hold arrives only after the promotion has
/// taken effect and its cleanup has released the replicas.
#[test]
fn a_hold_that_arrives_after_the_promotion_is_released() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.effect_delay.set(PROMOTION_TIME);
        harness.cluster.world.borrow_mut().at("a").up = false;
        let other = harness.wait_for_order().await.other;
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.delay = Some((other.into(), upstream::Command::Hold(2)));
            world.at(other).held = 0;
        }
        cluster::until("a hold is delayed", || {
            !harness.cluster.world.borrow().late.is_empty()
        })
        .await;
        harness.wait_for_primary(2).await;
        harness.cluster.world.borrow_mut().at("a").up = true;
        cluster::until("the replicas are released", || {
            let told = harness.cluster.world.borrow_mut().at("a").role == role::Role::Replica;
            told && held(&harness, other) == 0
        })
        .await;
        // `a` follows the new primary, the other replica does not know its term yet.
        harness.cluster.world.borrow_mut().at("a").term = 2;
        wait::sleep(harness::SHORT).await;
        harness.cluster.world.borrow_mut().deliver();
        assert_eq!(held(&harness, other), 2);
        cluster::until("the replica is released", || held(&harness, other) == 0).await;
    });
}

/// Guards against an order that is sent although a replica was released while the store recorded
/// the promotion.
#[test]
fn no_order_is_sent_once_a_replica_reports_a_lost_hold() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.store.at().takes = STORE_DELAY;
        harness.cluster.world.borrow_mut().at("a").up = false;
        cluster::until("the promotion is being recorded", || {
            harness.store.at().is_recording_promotion()
        })
        .await;
        for id in ["b", "c"] {
            harness.cluster.world.borrow_mut().at(id).held = 0;
        }
        harness.wait_for_primary(2).await;
    });
    assert!(harness.client.unheld.borrow().is_empty());
}

/// Guards against a primary that gets no commit confirmed, as its replicas stay held for a planned
/// promotion whose record the store does not confirm.
#[test]
fn a_hold_ends_when_the_store_does_not_record_the_promotion() {
    let harness = harness::start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        // The store never answers.
        harness.store.at().takes = 10 * cluster::LIMIT;
        harness.cluster.world.borrow_mut().at("a").draining = true;
        harness.cluster.relist();
        cluster::until("the promotion is being recorded", || {
            harness.store.at().is_recording_promotion()
        })
        .await;
        assert_eq!(held(&harness, "b").max(held(&harness, "c")), 2);
        cluster::until("the replicas are released", || {
            held(&harness, "b") == 0 && held(&harness, "c") == 0
        })
        .await;
    });
    assert!(harness.client.orders.borrow().is_empty());
    assert_eq!(harness.leader(), ["a"]);
}
