//! Running instances that are missing from the list.

mod cluster;
mod harness;

use std::time;

use mangotray::role;
use mangotray_desk::absence;
use mangotray_desk::boot;
use mangotray_desk::catalog;
use mangotray_desk::organisation;
use mangotray_desk::source;
use mangotray_desk::wait;

use harness::LONG;
use harness::start;

/// Age of data that a read accepts; shorter than the wait before the read.
const AGE: time::Duration = time::Duration::from_millis(500);

/// Guards against acknowledged commits that are lost because a running replica without an entry
/// isn't held.
#[test]
fn an_unlisted_replica_is_held_as_long_as_it_runs() {
    for announced in [false, true] {
        let harness = start();
        harness.cluster.run_housekeeping();
        harness.cluster.run(async {
            harness.wait_for_primary(1).await;
            harness.cluster.world.borrow_mut().at("c").draining = announced;
            harness.cluster.relist();
            harness.cluster.unlist("c").await;
            {
                let mut world = harness.cluster.world.borrow_mut();
                world.at("c").position = 12;
                world.at("a").up = false;
            }
            harness.wait_for_primary(2).await;
        });
        assert_eq!(harness.leader(), ["c"], "announced: {announced}");
    }
}

/// Guards against a replaced primary that is never demoted because its entry had already expired.
#[test]
fn an_unlisted_primary_is_demoted_after_its_replacement() {
    let harness = start();
    harness.cluster.run_housekeeping();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.unlist("a").await;
        harness.wait_for_primary(2).await;
        cluster::until("the old primary is told", || {
            harness.cluster.world.borrow_mut().at("a").role == role::Role::Replica
        })
        .await;
    });
    assert_eq!(harness.leader().len(), 1);
}

/// Guards against callers' work for an instance that has been missing from the list for seconds.
#[test]
fn callers_work_avoids_an_unlisted_instance() {
    let cluster = cluster::Cluster::new();
    cluster.run_housekeeping();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        cluster.unlist("c").await;
        assert_eq!(group.roster().pools().len(), 3);
        assert!(group.roster().pool(&"c".into()).is_none());
    });
}

/// Guards against a group without a primary while a promotion waits for an instance that has ended.
#[test]
fn an_unlisted_instance_that_has_ended_holds_no_promotion_back() {
    let harness = start();
    harness.cluster.run_housekeeping();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.world.borrow_mut().at("c").up = false;
        harness.cluster.unlist("c").await;
        harness.cluster.world.borrow_mut().at("a").up = false;
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["b"]);
}

/// Guards against acknowledged commits that are lost because a replica that restarted at its
/// address, under an id that isn't listed, isn't held.
#[test]
fn a_replica_that_starts_again_under_an_unlisted_id_is_held() {
    let harness = start();
    harness.cluster.run_housekeeping();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        harness.cluster.unlist("c").await;
        {
            let mut world = harness.cluster.world.borrow_mut();
            let mut successor = world.instances.remove("c").expect("the instance exists");
            successor.position = 12;
            world.instances.insert("d".into(), successor);
        }
        let group = harness.cluster.node.group(&cluster::GROUP.into());
        let counted = || {
            group
                .roster()
                .pools()
                .iter()
                .any(|pool| pool.instance.borrow().any)
        };
        cluster::until("the successor is counted", counted).await;
        harness.cluster.world.borrow_mut().at("a").up = false;
        cluster::until("the successor is held", || {
            harness.cluster.world.borrow_mut().at("d").held > 0
        })
        .await;
        wait::sleep(LONG).await;
        assert!(harness.client.orders.borrow().is_empty());
        // It can write its entry again.
        harness.cluster.world.borrow_mut().at("d").listed = true;
        harness.cluster.relist();
        harness.wait_for_primary(2).await;
    });
    assert_eq!(harness.leader(), ["d"]);
}

/// Guards against a group without a primary while a process that has ended is still listed.
#[test]
fn a_listed_process_replaced_at_its_address_holds_no_promotion_back() {
    let harness = start();
    harness.cluster.run_housekeeping();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        let group = harness.cluster.settled().await;
        let list = {
            let mut world = harness.cluster.world.borrow_mut();
            let list = world.list();
            let successor = world.instances.remove("c").expect("the instance exists");
            world.instances.insert("d".into(), successor);
            world.at("a").up = false;
            list
        };
        // The list still has the process that has ended.
        harness
            .cluster
            .node
            .update(list, Some(boot::now()), boot::now());
        harness.wait_for_primary(2).await;
        assert!(group.roster().pools().iter().all(|pool| pool.id() != "c"));
        assert!(harness.cluster.world.borrow_mut().at("d").held > 0);
    });
    assert_eq!(harness.leader(), ["b"]);
}

/// Guards against a successor that is counted twice when it is listed before its predecessor is
/// forgotten.
#[test]
fn a_successor_that_was_listed_first_is_counted_once() {
    let cluster = cluster::Cluster::new();
    cluster.run_housekeeping();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let (before, both) = {
            let mut world = cluster.world.borrow_mut();
            let mut list = world.list();
            let successor = world.instances.remove("c").expect("the instance exists");
            world.instances.insert("d".into(), successor);
            let after = world.list();
            list.extend(after.iter().filter(|instance| instance.id == "d").cloned());
            (after, list)
        };
        cluster.node.update(both, Some(boot::now()), boot::now());
        let ids = || {
            let pools = group.roster().pools();
            pools.iter().map(|pool| pool.id()).collect::<Vec<_>>()
        };
        cluster::until("the predecessor is forgotten", || {
            let pools = group.roster().pools();
            let old = pools.iter().find(|pool| pool.id() == "c");
            if let Some(pool) = old {
                pool.suspect(&organisation::OWN);
            }
            old.is_none()
        })
        .await;
        wait::sleep(LONG).await;
        assert_eq!(ids(), ["a", "b", "d"]);
        cluster.node.update(before, Some(boot::now()), boot::now());
        assert_eq!(ids(), ["a", "b", "d"]);
    });
}

/// Guards against the successor of a successor that is never searched for.
#[test]
fn an_unlisted_successor_that_starts_again_is_counted_again() {
    let cluster = cluster::Cluster::new();
    cluster.run_housekeeping();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let counted = || {
            let pools = group.roster().pools();
            pools.iter().any(|pool| pool.instance.borrow().any)
        };
        cluster.unlist("c").await;
        let rename = |from: &str, to: &str| {
            let mut world = cluster.world.borrow_mut();
            let instance = world.instances.remove(from).expect("the instance exists");
            world.instances.insert(to.into(), instance);
        };
        rename("c", "d");
        cluster::until("the successor is counted", counted).await;
        cluster.world.borrow_mut().at("d").up = false;
        cluster::until("the successor is forgotten", || !counted()).await;
        cluster.world.borrow_mut().at("d").up = true;
        rename("d", "e");
        cluster::until("its successor is counted", counted).await;
    });
}

/// Guards against a successor that is counted twice and holds promotions back under an id that
/// never answers.
#[test]
fn a_successor_that_is_listed_is_counted_once() {
    let cluster = cluster::Cluster::new();
    cluster.run_housekeeping();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        cluster.unlist("c").await;
        {
            let mut world = cluster.world.borrow_mut();
            let successor = world.instances.remove("c").expect("the instance exists");
            world.instances.insert("d".into(), successor);
        }
        let ids = || {
            let pools = group.roster().pools();
            pools.iter().map(|pool| pool.id()).collect::<Vec<_>>()
        };
        cluster::until("the successor is counted", || {
            ids().len() == 3 && !ids().contains(&"c".into())
        })
        .await;
        cluster.world.borrow_mut().at("d").listed = true;
        cluster.relist();
        assert_eq!(ids(), ["a", "b", "d"]);
    });
}

/// Guards against reads that miss commits received only by a replica without an entry.
#[test]
fn no_floor_is_derived_without_a_running_replica() {
    let cluster = cluster::Cluster::new();
    cluster.run_housekeeping();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        cluster.unlist("c").await;
        assert!(group.prove(boot::now() + cluster::LIMIT).await.is_some());
        {
            let mut world = cluster.world.borrow_mut();
            world.at("c").position = 30;
            world.at("a").up = false;
        }
        wait::sleep(LONG).await;
        let now = boot::now();
        let bounded = source::Requirements {
            arrived: now,
            freshness: catalog::Freshness::Bounded(AGE),
            writes: false,
            own: None,
            organisation: organisation::OWN,
            deadline: now + LONG,
            urgency: None,
        };
        let source = group.source(&bounded, &[]).await;
        let floor = source.and_then(|source| source.after);
        assert!(floor.is_none_or(|floor| floor.position >= 30), "{floor:?}");
    });
}

/// Guards against an instance that counts as ended because it is silent, however long: it may be out
/// of reach or without power, and have records that no other instance has.
#[test]
fn an_instance_has_ended_only_by_evidence() {
    let seconds = time::Duration::from_secs;
    let absence = absence::Absence {
        unlisted_since: seconds(100),
        noticed_at: seconds(100),
        end_announced: false,
    };
    let announced = absence::Absence {
        end_announced: true,
        ..absence
    };
    let activity = |last_answer, refused_since: Option<u64>| absence::Activity {
        last_answer: seconds(last_answer),
        refused_since: refused_since.map(seconds),
        replaced: false,
    };
    let standings = [
        absence::Standing::Primary,
        absence::Standing::Follower,
        absence::Standing::Vacant,
    ];
    for standing in standings {
        // Silence is no evidence.
        for at in [101, 109, 130, 100_000] {
            assert!(!absence.has_ended(activity(99, None), standing, seconds(at)));
            assert!(!announced.has_ended(activity(99, None), standing, seconds(at)));
        }
        // It may be restarting.
        assert!(!absence.has_ended(activity(99, Some(99)), standing, seconds(104)));
        // One refused connection shortly after an answer or a silence is no end, however long the
        // instance is missing.
        assert!(!absence.has_ended(activity(999, Some(999)), standing, seconds(1000)));
        assert!(!absence.has_ended(activity(99, Some(999)), standing, seconds(1000)));
        // Another process has its address.
        let replaced = absence::Activity {
            replaced: true,
            ..activity(99, None)
        };
        assert!(absence.has_ended(replaced, standing, seconds(101)));
    }
    let (primary, follower, vacant) = (standings[0], standings[1], standings[2]);
    let refused = activity(99, Some(100));
    assert!(absence.has_ended(refused, follower, seconds(106)));
    // Its records are not bounded by a primary's answers.
    assert!(!absence.has_ended(refused, vacant, seconds(100_000)));
    // It had announced its end, and its process has ended.
    assert!(announced.has_ended(refused, follower, seconds(100)));
    assert!(announced.has_ended(refused, vacant, seconds(100)));
    // A primary comes back with its log, or a successor at its address does.
    assert!(!absence.has_ended(refused, primary, seconds(100_000)));
    assert!(!announced.has_ended(refused, primary, seconds(100_000)));
}

/// Guards against records that only an ended replica had confirmed and that nobody bounds, because
/// the process that now has its address is taken for its successor with its log.
#[test]
fn the_log_of_a_replica_whose_address_another_group_uses_is_lost() {
    let harness = start();
    harness.cluster.run_housekeeping();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        let group = harness.cluster.settled().await;
        {
            let mut world = harness.cluster.world.borrow_mut();
            world.at("a").position = 12;
            world.at("a").up = false;
        }
        // Only the replica `c` had the records, and `a` does not answer after its end.
        harness.cluster.replace_at_address("c", "x");
        harness.cluster.relist();
        cluster::until("the replica is forgotten", || {
            let pools = group.roster().pools();
            if let Some(pool) = pools.iter().find(|pool| pool.id() == "c") {
                pool.suspect(&organisation::OWN);
            }
            pools.iter().all(|pool| pool.id() != "c")
        })
        .await;
        wait::sleep(2 * LONG).await;
        assert!(harness.client.orders.borrow().is_empty());
        harness.cluster.world.borrow_mut().at("a").up = true;
        harness.wait_for_primary(1).await;
    });
    assert_eq!(harness.leader(), ["a"]);
}
