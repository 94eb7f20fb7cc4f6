//! Proofs of leadership from instances' reports where the list of instances is incomplete or out of
//! date.

mod cluster;

use std::time;

use mangotray::role;
use mangotray_desk::boot;
use mangotray_desk::catalog;
use mangotray_desk::group;
use mangotray_desk::organisation;
use mangotray_desk::source;
use mangotray_desk::wait;

/// Longer than floors determined before remain usable.
const SHORT: time::Duration = time::Duration::from_millis(600);

/// Longer than a node considers its list of instances up to date without an update.
const LIST_EXPIRY: time::Duration = time::Duration::from_millis(4200);

async fn settled(cluster: &cluster::Cluster) -> std::rc::Rc<group::Group> {
    let group = cluster.settled().await;
    cluster.relist();
    assert!(group.prove(boot::now() + cluster::LIMIT).await.is_some());
    group
}

/// Guards against reads that accept some staleness and miss ten commits. One of two replicas
/// receives nothing; commits are acknowledged by the other, which restarts without its log before
/// any list shows it; the primary is unreachable. A replica that reports less than it had received
/// before was counted as complete.
#[test]
fn no_floor_is_derived_from_replicas_after_an_unlisted_one_lost_its_log() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = settled(&cluster).await;
        {
            let mut world = cluster.world.borrow_mut();
            world.at("a").position = 20;
            world.at("b").position = 20;
        }
        group.suspect(1, "test");
        cluster::until("the primary is found again", || group.leader().is_some()).await;
        {
            let mut world = cluster.world.borrow_mut();
            world.at("a").position = 30;
            world.at("a").up = false;
            world.at("b").position = 0;
        }
        wait::sleep(SHORT).await;
        let now = boot::now();
        let bounded = source::Requirements {
            arrived: now,
            freshness: catalog::Freshness::Bounded(SHORT / 2),
            writes: false,
            own: None,
            organisation: organisation::OWN,
            deadline: now + SHORT,
            urgency: None,
        };
        assert!(group.source(&bounded, &[]).await.is_none());
    });
}

/// Guards against a read of current data at a replaced primary. Both replicas are held for a
/// promotion; the one that this node queries restarts without its hold and without knowledge of any
/// term, before any list shows it. A report that didn't know of the primary was taken for proof
/// that it leads.
#[test]
fn a_replica_that_does_not_know_the_primary_proves_nothing_alone() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        for id in ["a", "b", "c"] {
            cluster.world.borrow_mut().at(id).term = 5;
        }
        let group = settled(&cluster).await;
        for (restarted, held) in [("b", "c"), ("c", "b")] {
            {
                let mut world = cluster.world.borrow_mut();
                world.at(restarted).term = 1;
                world.at(restarted).held = 0;
                world.at(held).term = 5;
                world.at(held).held = 6;
            }
            assert!(group.prove(boot::now() + SHORT).await.is_none());
            group.suspect(5, "test");
            cluster.world.borrow_mut().at(held).held = 0;
            cluster.world.borrow_mut().at(restarted).term = 5;
            cluster::until("the primary is found again", || group.leader().is_some()).await;
        }
    });
}

/// Guards against a read of current data at a replaced primary. This node and a replica can't reach
/// the list of instances; the replica is no longer listed, and a promoter holds only the other one.
/// This node queries the replica that was left out. A single instance of an old list was taken for
/// proof that the primary leads.
#[test]
fn one_instance_of_an_old_list_proves_nothing_alone() {
    for held in ["b", "c"] {
        let cluster = cluster::Cluster::new();
        cluster.run(async {
            let group = settled(&cluster).await;
            wait::sleep(LIST_EXPIRY).await;
            cluster.world.borrow_mut().at(held).held = 2;
            assert!(group.prove(boot::now() + SHORT).await.is_none());
            assert_eq!(cluster.world.borrow_mut().at("a").role, role::Role::Primary);
        });
    }
}

/// Guards against too strict a rule, by which no read of current data is served while the store is
/// unreachable: this node can't reach the list of instances, and the process of one replica has
/// ended.
#[test]
fn an_old_list_does_not_stop_reads_if_all_live_instances_answer() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = settled(&cluster).await;
        cluster.world.borrow_mut().at("b").up = false;
        wait::sleep(LIST_EXPIRY).await;
        cluster::until("the lost replica is noticed", || {
            let pools = group.roster().pools();
            pools.iter().any(|pool| pool.is_closed()) || {
                group.search();
                false
            }
        })
        .await;
        assert!(group.prove(boot::now() + cluster::LIMIT).await.is_some());
    });
}

/// Guards against a read of current data at a primary that was replaced 160 ms before, which misses
/// a commit. One replica receives nothing; the other takes over. The promotion ends all holds, so
/// the first replica is no longer held, and it doesn't know of the later term. A node that has not
/// used the group since queries that replica. A replica that isn't held and knows of no later term
/// was taken for proof that the primary leads, whether or not it follows the primary.
///
/// The fault was seen with one replica at `received: 1/18` in the message `replicas are behind`,
/// the primary at 1/93, and a read at 1/93 right after the promotion that lacked 2/95.
#[test]
fn a_replica_that_receives_nothing_proves_nothing_alone() {
    for (lagging, successor) in [("b", "c"), ("c", "b")] {
        let cluster = cluster::Cluster::new();
        cluster.run(async {
            let group = settled(&cluster).await;
            {
                let mut world = cluster.world.borrow_mut();
                world.at("a").position = 20;
                world.at(successor).position = 20;
                world.at(lagging).position = 15;
            }
            group.suspect(1, "test");
            cluster::until("the primary is found again", || group.leader().is_some()).await;
            wait::sleep(SHORT / 2).await;
            {
                let mut world = cluster.world.borrow_mut();
                world.promote(successor);
                world.at("a").role = role::Role::Replica;
            }
            assert!(group.prove(boot::now() + SHORT).await.is_none());
        });
    }
}
