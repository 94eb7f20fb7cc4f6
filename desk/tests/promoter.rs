//! Tests that the promoter replaces primaries without losing acknowledged commits.

mod cluster;
mod harness;

use std::rc;
use std::time;

use assert_matches::assert_matches;
use bytes::Bytes;
use mangotray::role;
use mangotray::stamp;
use mangotray::store;
use mangotray_desk::boot;
use mangotray_desk::detector;
use mangotray_desk::election;
use mangotray_desk::promotion;

use mangotray_desk::verdict;
use mangotray_desk::wait;

use harness::Harness;
use harness::LONG;
use harness::SHORT;
use harness::SHORTEST;
use harness::start;
use harness::start_on;

/// Time after its start for which a node leaves a vacant lease to others, as in the product.
const STARTUP_PERIOD: time::Duration = time::Duration::from_secs(3);

#[test]
fn a_crashed_primary_is_replaced_by_the_replica_with_the_longest_log() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("c").position = 12;
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["c"]);
    assert_eq!(harness.client.orders.borrow().len(), 1);
}

/// Guards against a lost commit when a promotion does not wait for all replicas. A commit is
/// acknowledged with the receipt of one replica, which then stops answering; the primary crashes,
/// and the other replica is promoted.
#[test]
fn no_promotion_while_a_replica_is_missing() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        for id in ["a", "b"] {
            harness.cluster.world.borrow_mut().at(id).up = false;
        }
        wait::sleep(LONG).await;
        assert!(harness.client.orders.borrow().is_empty());
        harness.cluster.world.borrow_mut().at("b").position = 15;
        harness.cluster.world.borrow_mut().at("b").up = true;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["b"]);
}

#[test]
fn a_leaving_primary_is_replaced_and_demoted() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("a").draining = true;
        harness.cluster.relist();
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader().len(), 1);
    assert_ne!(harness.leader(), ["a"]);
}

/// Guards against a lost commit after a planned promotion whose feasibility was tested by ordering
/// the leaving primary itself. That order took effect late, after a replica was ordered, and the
/// old primary led once more.
#[test]
fn a_leaving_primary_is_never_ordered_to_lead() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("a").draining = true;
        harness.cluster.relist();
        harness.wait_for_primary(2).await;
    });
    let orders = harness.client.orders.borrow();
    assert!(
        orders.iter().all(|order| order.candidate != "a"),
        "{orders:?}"
    );
}

/// Guards against writes that wait for many seconds although the primary is healthy. It announces
/// its shutdown, promotions are refused, and its replicas stayed held until promotions were
/// possible again.
#[test]
fn a_refused_order_releases_the_replicas_of_a_running_primary() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.refuse_orders.set(true);
        harness.cluster.world.borrow_mut().at("a").draining = true;
        harness.cluster.relist();
        cluster::until("orders are sent", || {
            harness.client.orders.borrow().len() >= 2
        })
        .await;
        cluster::until("the replicas are released", || {
            harness.cluster.world.borrow_mut().at("b").held == 0
        })
        .await;
        harness.client.refuse_orders.set(false);
        harness.wait_for_primary(2).await;
    });
}

/// Guards against two successive promotions for one crash. The first order is carried out but its
/// answer is lost, and another candidate was ordered without querying the first.
#[test]
fn a_lost_answer_to_an_order_is_resolved_by_asking_the_candidate() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.client.lose_answers.set(1);
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_primary(2).await;
    });
    let orders = harness.client.orders.borrow();
    assert!(
        orders
            .windows(2)
            .all(|pair| pair[0].candidate == pair[1].candidate)
    );
    assert_eq!(harness.leader().len(), 1);
}

/// Guards against two nodes that order promotions in turns. The promoter lease is ended from
/// outside and taken by another node, and the old holder orders a promotion without confirming its
/// lease with the store.
#[test]
fn a_holder_unaware_that_it_lost_its_lease_orders_nothing() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        {
            let mut entries = harness.store.at();
            let entry = entries.entry.as_mut().expect("the promoter lease is held");
            entry.value = Bytes::from_static(b"another");
            entry.version += 1;
        }
        harness.cluster.world.borrow_mut().at("a").up = false;
        wait::sleep(LONG).await;
    });
    assert!(harness.client.orders.borrow().is_empty());
}

/// Guards against a fleet without a promoter. A claim of the promoter lease takes effect but its
/// answer is lost, and the claimant did not check whether the entry is its own.
#[test]
fn a_claim_whose_answer_is_lost_is_resolved_by_reading() {
    let harness = start();
    harness.store.at().lose = 1;
    harness
        .cluster
        .run(async { harness.wait_for_primary(1).await });
    assert!(harness.election.held().is_some());
}

#[test]
fn a_later_holder_has_a_higher_fencing_token() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        let first = harness.election.held().expect("held").fence;
        harness.election.resign().await;
        let shared: rc::Rc<dyn store::Store> = rc::Rc::new(harness.store.clone());
        let other = election::Election::new(shared, &"other".into(), SHORTEST);
        harness
            .cluster
            .executor
            .spawn(rc::Rc::clone(&other).run())
            .detach();
        other.note_vacant();
        cluster::until("the promoter lease is taken", || other.held().is_some()).await;
        assert!(other.held().expect("held").fence > first);
    });
}

/// Guards against a group that never gets a primary. A promoter holds all replicas and stops before
/// its order, while the primary runs. The next one waited for a primary, but none can be confirmed
/// while the replicas are held.
#[test]
fn an_unfinished_promotion_is_finished_by_the_next_holder() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        for id in ["b", "c"] {
            harness.cluster.world.borrow_mut().at(id).held = 2;
        }
        harness
            .cluster
            .node
            .group(&cluster::GROUP.into())
            .suspect(1, "test");
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.client.orders.borrow().len(), 1);
}

/// Guards against a group that never gets a primary after a failure of all nodes. They fail during
/// a promotion and restart while the replicas are held and the primary has ended. A promoter
/// monitored only primaries that it had seen leading.
#[test]
fn a_holder_that_never_saw_a_primary_finds_one() {
    let cluster = cluster::Cluster::new();
    {
        let mut world = cluster.world.borrow_mut();
        world.at("a").up = false;
        world.at("b").held = 2;
        world.at("c").held = 2;
    }
    let harness = start_on(cluster);
    harness
        .cluster
        .run(async { harness.wait_for_primary(2).await });
    assert_eq!(harness.leader().len(), 1);
}

/// Guards against a late replacement of a primary that crashes during an outage of the store. The
/// outage lasts until the promoter lease may have ended, but the lease still exists when the store
/// returns. The lease holder had discarded its observations when it could not act.
#[test]
fn a_primary_lost_in_an_outage_is_replaced_when_the_store_is_back() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.store.at().down = true;
        cluster::until("the lease may have ended", || {
            harness.election.held().is_none()
        })
        .await;
        assert!(harness.election.is_last_known_holder());
        harness.cluster.world.borrow_mut().at("a").up = false;
        wait::sleep(LONG).await;
        assert!(harness.client.orders.borrow().is_empty());
        harness.store.at().down = false;
        harness.election.note_store_reachable();
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.client.orders.borrow().len(), 1);
}

/// Guards against a group that never gets a primary although all its instances are healthy. The old
/// primary is demoted and the order for its successor is lost. The lease holder took the answer of
/// the demoted primary as proof that it leads, and the next holder expected the lost primary to be
/// a silent instance.
#[test]
fn a_group_without_a_leader_gets_a_primary() {
    for seen in [true, false] {
        let cluster = cluster::Cluster::new();
        if !seen {
            cluster.world.borrow_mut().at("a").role = role::Role::Replica;
        }
        let harness = start_on(cluster);
        harness.cluster.run(async {
            if seen {
                harness.wait_for_primary(1).await;
                harness.cluster.world.borrow_mut().at("a").role = role::Role::Replica;
                harness
                    .cluster
                    .node
                    .group(&cluster::GROUP.into())
                    .suspect(1, "test");
            }
            harness.wait_for_primary(2).await;
        });
        assert_eq!(harness.leader().len(), 1);
    }
}

/// Guards against a lost commit when a cleanup releases holds of a later promotion. The old primary
/// is unreachable for a while after a promotion, and a second promotion holds the replicas for a
/// later term. Once the old primary is demoted, the first cleanup released the replicas, which then
/// received commits that the second candidate lacks.
#[test]
fn cleanup_without_the_lease_keeps_the_holds_of_a_later_term() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_primary(2).await;
        // From here on this node only runs the cleanup of its promotion.
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
        for id in ["b", "c"] {
            harness.cluster.world.borrow_mut().at(id).held = 7;
        }
        harness.cluster.world.borrow_mut().at("a").up = true;
        cluster::until("the old primary is demoted", || {
            harness.cluster.world.borrow_mut().at("a").role != role::Role::Primary
        })
        .await;
        wait::sleep(LONG).await;
    });
    let mut world = harness.cluster.world.borrow_mut();
    assert_eq!((world.at("b").held, world.at("c").held), (7, 7));
}

/// Guards against a lost commit after a planned promotion. The instance that takes the place of a
/// leaving primary has started but is not listed yet, and a commit is acknowledged with its
/// receipt while only the listed replicas are held. One of those was promoted.
#[test]
fn no_replica_takes_over_from_a_primary_that_has_more() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("a").position = 11;
        harness.cluster.world.borrow_mut().at("a").draining = true;
        harness.cluster.relist();
        wait::sleep(2 * LONG).await;
        assert!(harness.client.orders.borrow().is_empty());
        harness.cluster.world.borrow_mut().at("c").position = 11;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["c"]);
}

fn crash_promotion(harness: &Harness) -> promotion::Promotion {
    let group = harness.cluster.node.group(&cluster::GROUP.into());
    let mut pools = group.roster().pools();
    promotion::Promotion {
        old: Some(pools.remove(0)),
        group,
        cause: detector::Cause::Crashed,
        term: 2,
        began: boot::now(),
        max_received: Some(stamp::Stamp::new(1, 11)),
    }
}

/// Guards against a crashed primary that counts as gone because it is unlisted and does not answer:
/// it comes back with its log, which may have the only copy of a commit.
#[test]
fn a_crashed_primary_is_gone_only_by_evidence() {
    let harness = start();
    harness.cluster.run(async {
        let promotion = crash_promotion(&harness);
        harness.cluster.world.borrow_mut().at("a").up = false;
        let predecessor = || promotion.query_predecessor();
        assert_eq!(predecessor().await, verdict::Predecessor::Silent);
        harness.cluster.world.borrow_mut().at("a").listed = false;
        harness.cluster.relist();
        assert_eq!(predecessor().await, verdict::Predecessor::Silent);
        harness.cluster.world.borrow_mut().at("a").up = true;
        wait::sleep(SHORT).await;
        assert_matches!(predecessor().await, verdict::Predecessor::Answers(_));
        let replaced = promotion::Promotion {
            old: None,
            ..promotion
        };
        assert_eq!(
            replaced.query_predecessor().await,
            verdict::Predecessor::Gone
        );
    });
}

/// Guards against an old primary that acknowledges commits which its successor never receives. A
/// held replica restarts without its hold before the order, or a replica that was never held is
/// added to the list. A hold applies to one process, not to the instance.
#[test]
fn a_hold_ends_when_its_replica_restarts() {
    let harness = start();
    harness.cluster.run(async {
        let promotion = crash_promotion(&harness);
        let processes = promotion.processes();
        harness.cluster.relist();
        assert_eq!(promotion.processes(), processes);
        harness.cluster.world.borrow_mut().at("c").born = 2;
        harness.cluster.relist();
        assert_ne!(promotion.processes(), processes);
    });
}

/// Guards against the same fault after the order: a primary is replaced while it is unreachable,
/// and the other replica restarts without its hold. Replicas were held only once.
#[test]
fn a_restarted_replica_is_held_again_until_the_old_primary_is_demoted() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_primary(2).await;
        let other = if harness.leader() == ["b"] { "c" } else { "b" };
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.at(other).born = 2;
            world.at(other).held = 0;
        }
        harness.cluster.relist();
        cluster::until("the restarted replica is held again", || {
            harness.cluster.world.borrow_mut().at(other).held == 2
        })
        .await;
    });
}

/// Guards against a primary that serves all reads alone while both replicas apply one slow record,
/// which takes them nine seconds. A primary was replaced only for its own failures.
#[test]
fn a_group_whose_replicas_are_stuck_changes_its_primary_once() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.stall_replicas().await;
        harness.wait_for_primary(2).await;
        // All instances follow the new primary from here on.
        for id in ["a", "b", "c"] {
            harness.cluster.world.borrow_mut().at(id).term = 2;
        }
        wait::sleep(LONG).await;
        assert_eq!(harness.client.orders.borrow().len(), 1);
        assert_eq!(harness.client.primaries.borrow()[..], [0]);
    });
}

/// Guards against a loaded primary that is never relieved and whose writes wait for each of a dozen
/// attempts. The replicas are held and the primary appends one more record, which it cannot
/// acknowledge. A primary ahead of the held replicas was not replaced.
#[test]
fn a_primary_that_is_ahead_steps_down_before_its_successor_is_ordered() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("a").ahead = 1;
        harness.stall_replicas().await;
        harness.wait_for_primary(2).await;
        assert_eq!(harness.client.primaries.borrow()[..], [0]);
    });
}

/// Guards against a lost commit after a relief promotion. As above, but an instance that is not
/// listed yet has received the record, so that it was acknowledged. The instance is listed while
/// the primary steps down.
#[test]
fn an_instance_that_is_listed_late_is_not_passed_over() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("a").ahead = 1;
        harness.stall_replicas().await;
        cluster::until("the primary steps down", || {
            harness.cluster.world.borrow_mut().at("a").role == role::Role::Replica
        })
        .await;
        {
            let mut world = harness.cluster.world.borrow_mut();
            let newcomer = cluster::Instance {
                position: 11,
                held: 0,
                lag: None,
                ..world.at("b").clone()
            };
            world.instances.insert("d".into(), newcomer);
        }
        harness.cluster.relist();
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["d"]);
}

/// Guards against a lost commit after a crash. The store returns from an outage in which all
/// entries expired. A node starts, takes the promoter lease and lists the instances before one of
/// two replicas is listed again. The primary has ended, and the listed replica has received less.
#[test]
fn a_holder_that_has_just_started_waits_for_a_complete_list() {
    let world = cluster::world();
    let missing = world.borrow_mut().instances.remove("c");
    world.borrow_mut().at("b").position = 5;
    let harness = start_on(cluster::Cluster::of(world));
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("a").up = false;
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        let settles = group.roster().settles_at().expect("a list");
        // The replica is listed again shortly before the list counts as complete.
        cluster::until("the list is nearly old enough", || {
            assert!(harness.client.orders.borrow().is_empty());
            boot::now() + SHORT >= settles
        })
        .await;
        let missing = missing.expect("the replica was among the instances");
        harness
            .cluster
            .world
            .borrow_mut()
            .instances
            .insert("c".into(), missing);
        harness.cluster.relist();
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["c"]);
}

/// Guards against groups that have no primary for 2.4 s longer than necessary after an outage of
/// the store. Of two nodes that find the promoter lease free, the one that had just started took
/// it, and then waited for its list of instances to be complete.
#[test]
fn a_node_that_has_just_started_leaves_the_seat_to_others() {
    let harness = start();
    let started = boot::now();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.settled().await;
        wait::sleep((started + STARTUP_PERIOD).saturating_sub(boot::now())).await;
        let fence = |election: &election::Election| election.held().map(|held| held.fence);
        let first = fence(&harness.election).expect("the promoter holds the lease");
        let shared: rc::Rc<dyn store::Store> = rc::Rc::new(harness.store.clone());
        let newcomer = election::Election::new(shared, &"new".into(), SHORTEST);
        harness
            .cluster
            .executor
            .spawn(rc::Rc::clone(&newcomer).run())
            .detach();
        // The holder loses its lease, and both nodes learn at the same time that it is vacant.
        harness.store.at().entry = None;
        newcomer.note_vacant();
        harness.election.note_vacant();
        harness.election.note_store_reachable();
        // The holder may claim at once, so that only the fence tells the new lease from the lost
        // one.
        cluster::until("the promoter lease is taken", || {
            fence(&harness.election).is_some_and(|fence| fence > first) || newcomer.held().is_some()
        })
        .await;
        assert!(newcomer.held().is_none());
        assert!(fence(&harness.election) > Some(first));
    });
}

/// Guards against a loss of hundreds of acknowledged commits in a second attempt. Both replicas
/// restart with empty logs while the primary is silent for a while. The first attempt is given up,
/// as no replica has the records that one had received. The replicas stayed held, and their earlier
/// log positions were discarded with that attempt.
#[test]
fn empty_replicas_are_not_promoted_at_the_second_try_either() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.settled().await;
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.at("a").up = false;
            for id in ["b", "c"] {
                world.at(id).born = 2;
                world.at(id).position = 0;
            }
        }
        harness.cluster.relist();
        wait::sleep(2 * LONG).await;
        assert!(harness.client.orders.borrow().is_empty());
        harness.cluster.world.borrow_mut().at("a").up = true;
        cluster::until("the replicas of the primary are released", || {
            let mut world = harness.cluster.world.borrow_mut();
            world.at("b").held == 0 && world.at("c").held == 0
        })
        .await;
        harness.wait_for_primary(1).await;
    });
    assert_eq!(harness.leader(), ["a"]);
}

/// Guards against a group that never gets a primary after a refused relief promotion. A primary
/// ahead of its replicas steps down, and the order for its successor is refused. The records of the
/// former primary then counted as received by a replica, so that no replica seemed to have all.
#[test]
fn a_relief_whose_order_is_refused_is_finished() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("a").ahead = 1;
        harness.client.refuse_orders.set(true);
        harness.stall_replicas().await;
        cluster::until("the order is refused", || {
            !harness.client.orders.borrow().is_empty()
        })
        .await;
        // Long enough for the node to query the primary that stepped down.
        wait::sleep(SHORT).await;
        harness.client.refuse_orders.set(false);
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader().len(), 1);
}

/// Guards against a loss of acknowledged commits (three hundred were seen) through a restarted
/// candidate. A replica is ordered to lead, the order has no visible effect, and the replica
/// restarts with an empty log. The promoter still preferred it by its id, as its order might take
/// effect.
#[test]
fn a_restarted_candidate_is_not_promoted() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.settled().await;
        harness.client.ignore_orders.set(1);
        harness.cluster.world.borrow_mut().at("a").up = false;
        cluster::until("an order is sent", || {
            !harness.client.orders.borrow().is_empty()
        })
        .await;
        let first = harness.client.orders.borrow()[0].candidate.clone();
        {
            let mut world = harness.cluster.world.borrow_mut();
            let candidate = world.at(&first);
            candidate.born = 2;
            candidate.position = 0;
            candidate.held = 0;
        }
        harness.cluster.relist();
        harness.wait_for_primary(2).await;
        assert_ne!(harness.leader(), [first.to_string()]);
    });
}
