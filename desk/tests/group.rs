//! What a group is asked for, and what it must never give.

mod stage;

use std::time;

use mangotray::id;
use mangotray_desk::boot;
use mangotray_desk::catalog;
use mangotray_desk::connection;
use mangotray_desk::organisation;
use mangotray_desk::source;
use mangotray_desk::urgency;
use mangotray_desk::wait;

const AGE: time::Duration = time::Duration::from_millis(1500);
const SHORT: time::Duration = time::Duration::from_millis(600);
const LIMIT: time::Duration = time::Duration::from_secs(5);

fn need(freshness: catalog::Freshness) -> source::Requirements {
    let now = boot::now();
    source::Requirements {
        arrived: now,
        freshness,
        writes: false,
        own: None,
        organisation: organisation::OWN,
        deadline: now + LIMIT,
    }
}

// The same for a caller that does not wait for long.
fn soon(freshness: catalog::Freshness) -> source::Requirements {
    let need = need(freshness);
    source::Requirements {
        deadline: need.arrived + SHORT,
        ..need
    }
}

#[test]
fn a_bounded_read_goes_to_a_replica_with_a_floor() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        let bounded = need(catalog::Freshness::Bounded(AGE));
        let source = group.source(&bounded, &[]).await.expect("a source");
        assert_ne!(source.pool.id(), "a");
        assert_eq!(source.after.map(|stamp| stamp.position), Some(10));
    });
}

/// Symptom: a request reached an instance 7,004 ms after it had announced its end.
/// Events: the store turns this node away; an instance announces its end; the store takes
/// the node back two seconds later; the node reads the announcement from the list.
/// Cause: the announcement was taken for as old as the reading of it.
#[test]
fn an_announcement_found_after_an_outage_is_as_old_as_the_outage() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        stage.world.borrow_mut().at("b").draining = true;
        stage.world.borrow_mut().at("c").draining = true;
        let list = stage.world.borrow().list();
        let long_ago = boot::now().saturating_sub(time::Duration::from_secs(6));
        stage.node.update(list, Some(long_ago), boot::now());
        let bounded = need(catalog::Freshness::Bounded(AGE));
        let source = group.source(&bounded, &["a".into()]).await;
        assert!(source.is_none(), "both replicas are past their time");
    });
}

/// Guards against work for an instance after its time, where the answer with its announcement, or
/// with its absence, took seconds to come.
#[test]
fn what_a_list_tells_is_as_old_as_its_beginning() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        stage.world.borrow_mut().at("b").draining = true;
        let mut list = stage.world.borrow().list();
        list.retain(|instance| instance.id != "c");
        let begun = boot::now().saturating_sub(time::Duration::from_secs(6));
        stage.node.update(list, Some(boot::now()), begun);
        let bounded = need(catalog::Freshness::Bounded(AGE));
        let source = group.source(&bounded, &["a".into()]).await;
        assert!(source.is_none(), "both replicas are past their time");
    });
}

/// Symptom: a read at the old primary misses a commit acknowledged by the new one.
/// Events: a replica is promoted elsewhere; the old primary has not heard of it and goes
/// on answering; a read that needs all commits arrives.
/// Cause: the old primary's own word was taken for proof that it leads.
#[test]
fn a_read_of_all_commits_never_goes_to_a_replaced_primary() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        let current = need(catalog::Freshness::Current);
        let first = group.source(&current, &[]).await.expect("a source");
        assert_eq!(first.pool.id(), "a");
        stage.world.borrow_mut().promote("b");
        stage.world.borrow_mut().at("c").term = 2;
        let current = need(catalog::Freshness::Current);
        let second = group.source(&current, &[]).await.expect("a source");
        assert_eq!(second.pool.id(), "b");
        assert_eq!(second.leads, Some(2 as id::Term));
    });
}

/// Symptom: while a promotion is under way a read is answered from the primary that is
/// about to be replaced, after its successor has taken commits.
/// Events: all replicas are held for the next term; a read arrives.
/// Cause: a hold was not taken for the beginning of a promotion.
#[test]
fn a_held_replica_proves_nothing_for_the_old_term() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        let mut current = need(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_some());
        for id in ["b", "c"] {
            stage.world.borrow_mut().at(id).held = 2;
        }
        current.deadline = boot::now() + time::Duration::from_millis(50);
        assert!(group.source(&current, &[]).await.is_none());
    });
}

/// Symptom: reads that accept some age fail while there is no primary.
/// Events: the primary is gone, no successor leads yet; both replicas answer.
/// Cause: floors were made only from the primary's word.
#[test]
fn bounded_reads_go_on_without_a_primary() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        let bounded = need(catalog::Freshness::Bounded(AGE));
        assert!(group.source(&bounded, &[]).await.is_some());
        stage.world.borrow_mut().at("a").up = false;
        let tight = need(catalog::Freshness::Bounded(time::Duration::from_millis(70)));
        let source = group.source(&tight, &[]).await.expect("a replica");
        assert_ne!(source.pool.id(), "a");
    });
}

/// Symptom: a read that accepts some age runs on the log of a replaced primary.
/// Events: this node reaches only the old primary; then also the new one, and looks at
/// both to renew its floor; a read arrives before the node has changed its mind.
/// Cause: the new primary's evidence was taken for proof that the old one leads.
#[test]
fn evidence_of_a_later_term_proves_nothing_for_the_old_primary() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        let bounded = need(catalog::Freshness::Bounded(AGE));
        assert!(group.source(&bounded, &[]).await.is_some());
        stage.world.borrow_mut().promote("b");
        stage.world.borrow_mut().at("c").up = false;
        wait::sleep(time::Duration::from_millis(100)).await;
        let tight = need(catalog::Freshness::Bounded(time::Duration::from_millis(70)));
        let tried = ["b".into(), "c".into()];
        let source = group.source(&tight, &tried).await;
        let trusted =
            source.is_some_and(|source| source.pool.id() == "a" && source.after.is_none());
        assert!(!trusted, "the old primary is trusted");
    });
}

/// Symptom: as before.
/// Events: no primary is known; the old one, demoted, and one replica answer; the third,
/// which leads by now, is out of reach.
/// Cause: any two of three were taken for all that could hold a commit.
#[test]
fn a_silent_instance_may_be_the_one_that_leads() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        stage.world.borrow_mut().at("a").role = mangotray::role::Role::Replica;
        stage.world.borrow_mut().promote("b");
        stage.world.borrow_mut().at("b").up = false;
        group.suspect(1, "test");
        let mut tight = need(catalog::Freshness::Bounded(time::Duration::from_millis(70)));
        tight.deadline = boot::now() + time::Duration::from_millis(600);
        assert!(group.source(&tight, &[]).await.is_none());
    });
}

/// Symptom: reads are sent to a replica that refuses them, and kept from one that is well.
/// Events: a replica that had announced its end, with a long log, starts again under its
/// id with an empty one.
/// Cause: its applied position, its announcement and its connections were kept by id.
#[test]
fn nothing_seen_of_an_instance_outlives_its_process() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        let find = || {
            let mut pools = group.roster().pools();
            pools.retain(|pool| pool.id() == "b");
            pools.remove(0)
        };
        let before = find();
        let deadline = boot::now() + LIMIT;
        let urgency = urgency::Urgency::immediate(deadline);
        drop(
            before
                .lend(
                    urgency,
                    &organisation::OWN,
                    &connection::Values::new(),
                    deadline,
                )
                .await,
        );
        assert_eq!(before.applied().position, 10);
        before.note_behind();
        stage.world.borrow_mut().at("b").draining = true;
        stage.relist();
        assert!(group.roster().is_leaving(&"b".into()));
        {
            let mut world = stage.world.borrow_mut();
            let instance = world.at("b");
            instance.draining = false;
            instance.born = 2;
            instance.position = 0;
        }
        stage.relist();
        let after = find();
        assert_eq!((after.born(), after.applied().position), (2, 0));
        assert_eq!(after.last_behind(), id::Time::ZERO);
        assert!(!group.roster().is_leaving(&"b".into()));
        assert!(after.restarted_at().is_some());
    });
}

/// Symptom: a read of all commits misses one that the new primary has acknowledged.
/// Events: a promotion holds both replicas and one of them takes over; the other starts
/// again, and this node reaches just that one and the old primary.
/// Cause: a replica that had lost its hold with its process vouched for the old primary.
#[test]
fn a_replica_that_started_again_proves_nothing_by_itself() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        let current = need(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_some());
        {
            let mut world = stage.world.borrow_mut();
            world.promote("b");
            world.at("b").up = false;
            world.at("c").born = 2;
        }
        stage.relist();
        let current = soon(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_none());
        stage.world.borrow_mut().at("b").up = true;
        let current = need(catalog::Freshness::Current);
        let source = group.source(&current, &[]).await.expect("a source");
        assert_eq!(source.pool.id(), "b");
    });
}

/// Symptom: a group serves nothing that needs all commits, though all its instances are well.
/// Events: both replicas start again, one after the other.
/// Cause: none, if all that do not lead are asked together.
#[test]
fn replicas_that_all_started_again_prove_together() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        for id in ["b", "c"] {
            stage.world.borrow_mut().at(id).born = 2;
        }
        stage.relist();
        stage::until("the list is settled", || group.roster().is_settled()).await;
        let current = need(catalog::Freshness::Current);
        let source = group.source(&current, &[]).await.expect("a source");
        assert_eq!(source.pool.id(), "a");
    });
}

/// Symptom: a read that accepts some age misses a commit that is older than that.
/// Events: the primary is out of reach; the replica that alone had received the commit
/// starts again; a floor is made of what the replicas have received.
/// Cause: "the furthest of all replicas has every acknowledged commit" was believed of a
/// replica with an empty log.
#[test]
fn no_floor_is_made_of_a_log_that_began_anew() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        let current = need(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_some());
        {
            let mut world = stage.world.borrow_mut();
            world.at("a").up = false;
            world.at("b").born = 2;
            world.at("b").position = 0;
            world.at("c").position = 9;
        }
        stage.relist();
        // Well after the floors of before, of which nothing may be left.
        wait::sleep(SHORT).await;
        let bounded = soon(catalog::Freshness::Bounded(SHORT / 2));
        assert!(group.source(&bounded, &[]).await.is_none());
    });
}

/// Symptom: a read that accepts some age misses a commit that is 1.6 s old.
/// Events: the store comes back from an outage in which all entries ended; a node starts and
/// lists the instances while one of two replicas is not listed again; the other receives
/// nothing; the primary is too busy to answer.
/// Cause: "all others have answered" was believed of a list that was not whole yet.
#[test]
fn a_node_that_has_just_started_makes_no_floor_of_all_replicas() {
    let world = stage::world();
    let missing = world.borrow_mut().instances.remove("c");
    for id in ["a", "b"] {
        world.borrow_mut().at(id).position = 5;
    }
    let stage = stage::Stage::of(world);
    stage.run(async {
        let group = stage.node.group(&stage::GROUP.into());
        let current = need(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_some());
        stage.world.borrow_mut().at("a").position = 10;
        stage.world.borrow_mut().at("a").up = false;
        // Well after the floors of before, of which nothing may be left.
        wait::sleep(SHORT).await;
        let bounded = soon(catalog::Freshness::Bounded(SHORT / 2));
        assert!(group.source(&bounded, &[]).await.is_none());
        // Once the list is whole, the replicas tell together what was acknowledged.
        let missing = missing.expect("it was on stage");
        stage
            .world
            .borrow_mut()
            .instances
            .insert("c".into(), missing);
        stage.relist();
        stage::until("the list is settled", || group.roster().is_settled()).await;
        let bounded = need(catalog::Freshness::Bounded(AGE));
        let source = group.source(&bounded, &[]).await.expect("a source");
        assert_eq!(source.after.map(|stamp| stamp.position), Some(10));
    });
}

/// Symptom: reads that accept some age miss fifty commits.
/// Events: one of two replicas receives nothing; commits are acknowledged with the receipt
/// of the other, which is then gone for good; the primary is out of this node's reach.
/// Cause: "all replicas" were those that were left.
#[test]
fn a_lost_replica_takes_its_receipts_with_it() {
    let stage = stage::Stage::new();
    stage.run(async {
        let group = stage.settled().await;
        let current = need(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_some());
        {
            let mut world = stage.world.borrow_mut();
            world.at("a").position = 60;
            world.at("b").draining = true;
        }
        stage.relist();
        {
            let mut world = stage.world.borrow_mut();
            world.instances.remove("b");
            world.at("a").up = false;
        }
        stage.relist();
        stage::until("the instance is forgotten", || {
            group.roster().last_lost().is_some()
        })
        .await;
        // Well after the floors of before, of which nothing may be left.
        wait::sleep(SHORT).await;
        let bounded = soon(catalog::Freshness::Bounded(SHORT / 2));
        assert!(group.source(&bounded, &[]).await.is_none());
    });
}
