//! What instances' answers prove, where the list of instances does not tell all.

mod stage;

use std::time;

use mangotray::role;
use mangotray_desk::boot;
use mangotray_desk::catalog;
use mangotray_desk::group;
use mangotray_desk::organisation;
use mangotray_desk::source;
use mangotray_desk::wait;

/// More than a floor of before is good for.
const SHORT: time::Duration = time::Duration::from_millis(600);

/// Longer than a node takes its list of instances for known without a word of it.
const LIST_EXPIRY: time::Duration = time::Duration::from_millis(4200);

async fn settled(stage: &stage::Stage) -> std::rc::Rc<group::Group> {
    let group = stage.settled().await;
    stage.relist();
    assert!(group.prove(boot::now() + stage::LIMIT).await.is_some());
    group
}

/// Symptom: reads that accept some age miss ten commits.
/// Events: one of two replicas receives nothing; commits are acknowledged with the receipt of the
/// other, which starts again without its log; no list tells so yet, and the primary is out
/// of this node's reach.
/// Cause: a replica that had less than it was seen to have counted as one that has all.
#[test]
fn a_replica_that_lost_its_log_unlisted_takes_its_receipts_with_it() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = settled(&stage).await;
        {
            let mut world = stage.world.borrow_mut();
            world.at("a").position = 20;
            world.at("b").position = 20;
        }
        group.suspect(1, "test");
        stage::until("the primary is found again", || group.leader().is_some()).await;
        {
            let mut world = stage.world.borrow_mut();
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
        };
        assert!(group.source(&bounded, &[]).await.is_none());
    });
}

/// Symptom: a read of all commits runs at a primary that was replaced.
/// Events: both replicas are held for a promotion; the one that this node asks starts again,
/// without its hold and without knowing any term; no list tells so yet.
/// Cause: an answer that knew nothing of the primary proved that it leads.
#[test]
fn a_replica_that_does_not_know_the_primary_proves_nothing_alone() {
    let stage = stage::Stage::new();
    stage.run(async {
        for id in ["a", "b", "c"] {
            stage.world.borrow_mut().at(id).term = 5;
        }
        let group = settled(&stage).await;
        for (forgetful, held) in [("b", "c"), ("c", "b")] {
            {
                let mut world = stage.world.borrow_mut();
                world.at(forgetful).term = 1;
                world.at(forgetful).held = 0;
                world.at(held).term = 5;
                world.at(held).held = 6;
            }
            assert!(group.prove(boot::now() + SHORT).await.is_none());
            group.suspect(5, "test");
            stage.world.borrow_mut().at(held).held = 0;
            stage.world.borrow_mut().at(forgetful).term = 5;
            stage::until("the primary is found again", || group.leader().is_some()).await;
        }
    });
}

/// Symptom: a read of all commits runs at a primary that was replaced.
/// Events: this node is cut off from the list of instances; a replica that cannot reach the list
/// either is listed no more, and a promoter that has forgotten it holds the other one
/// only. This node asks the one that was passed over.
/// Cause: one instance of an old list proved that the primary leads.
#[test]
fn one_instance_of_an_old_list_proves_nothing_alone() {
    for held in ["b", "c"] {
        let stage = stage::Stage::new();
        stage.run(async {
            let group = settled(&stage).await;
            wait::sleep(LIST_EXPIRY).await;
            stage.world.borrow_mut().at(held).held = 2;
            assert!(group.prove(boot::now() + SHORT).await.is_none());
            assert_eq!(stage.world.borrow_mut().at("a").role, role::Role::Primary);
        });
    }
}

/// Symptom: none; with too strict a rule no read of all commits is served while the store is away.
/// Events: this node is cut off from the list of instances; one replica's process is gone.
#[test]
fn an_old_list_does_not_stop_reads_where_all_that_live_answer() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = settled(&stage).await;
        stage.world.borrow_mut().at("b").up = false;
        wait::sleep(LIST_EXPIRY).await;
        stage::until("the lost replica is noticed", || {
            let pools = group.roster().pools();
            pools.iter().any(|pool| pool.is_closed()) || {
                group.search();
                false
            }
        })
        .await;
        assert!(group.prove(boot::now() + stage::LIMIT).await.is_some());
    });
}

/// Symptom: a read of all commits runs at a primary that was replaced 160 ms before, and misses one.
/// Events: one replica receives nothing; the other takes over, and the primary is told. A
/// promotion ends all holds, so that the first one is not held any more, and knows of no later term.
/// A node that has had nothing to do with the group since asks it.
/// Cause: a replica that is not held, and knows no later term, proved that the primary leads,
/// whether it follows it or not. Seen: `received: 1/18` of one replica in `replicas are behind`, with
/// the primary at 1/93, and a read at 1/93 right after the promotion that lacked 2/95.
#[test]
fn a_replica_that_receives_nothing_proves_nothing_alone() {
    for (deaf, successor) in [("b", "c"), ("c", "b")] {
        let stage = stage::Stage::new();
        stage.run(async {
            let group = settled(&stage).await;
            {
                let mut world = stage.world.borrow_mut();
                world.at("a").position = 20;
                world.at(successor).position = 20;
                world.at(deaf).position = 15;
            }
            group.suspect(1, "test");
            stage::until("the primary is found again", || group.leader().is_some()).await;
            wait::sleep(SHORT / 2).await;
            {
                let mut world = stage.world.borrow_mut();
                world.promote(successor);
                world.at("a").role = role::Role::Replica;
            }
            assert!(group.prove(boot::now() + SHORT).await.is_none());
        });
    }
}
