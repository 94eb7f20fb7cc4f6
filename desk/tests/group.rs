//! Selection of an instance for a read, and the cases in which none may be selected.

mod cluster;

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
    cluster::need(freshness, LIMIT)
}

// Like [`need`], with a short deadline.
fn soon(freshness: catalog::Freshness) -> source::Requirements {
    let need = need(freshness);
    source::Requirements {
        deadline: need.arrived + SHORT,
        ..need
    }
}

#[test]
fn a_bounded_read_goes_to_a_replica_with_a_floor() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let bounded = need(catalog::Freshness::Bounded(AGE));
        let source = group.source(&bounded, &[]).await.expect("a source");
        assert_ne!(source.pool.id(), "a");
        assert_eq!(source.after.map(|stamp| stamp.position), Some(10));
    });
}

/// Guards against work for an instance after it has stopped. The store refuses this node, an
/// instance announces its end, and two seconds later the node reads the list again. The
/// announcement was dated at the time of reading, and a request reached the instance 7,004 ms after
/// the announcement.
#[test]
fn an_announcement_found_after_an_outage_is_as_old_as_the_outage() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        cluster.world.borrow_mut().at("b").draining = true;
        cluster.world.borrow_mut().at("c").draining = true;
        let list = cluster.world.borrow().list();
        let long_ago = boot::now().saturating_sub(time::Duration::from_secs(6));
        cluster.node.update(list, Some(long_ago), boot::now());
        let bounded = need(catalog::Freshness::Bounded(AGE));
        let source = group.source(&bounded, &["a".into()]).await;
        assert!(
            source.is_none(),
            "both replicas have passed their leaving deadline"
        );
    });
}

/// Guards against work for an instance after it has stopped, where the answer that shows its
/// announcement, or its absence, took seconds to arrive.
#[test]
fn a_list_is_dated_at_the_start_of_its_request() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        cluster.world.borrow_mut().at("b").draining = true;
        let mut list = cluster.world.borrow().list();
        list.retain(|instance| instance.id != "c");
        let begun = boot::now().saturating_sub(time::Duration::from_secs(6));
        cluster.node.update(list, Some(boot::now()), begun);
        let bounded = need(catalog::Freshness::Bounded(AGE));
        let source = group.source(&bounded, &["a".into()]).await;
        assert!(
            source.is_none(),
            "both replicas have passed their leaving deadline"
        );
    });
}

/// Guards against a read at a replaced primary that misses a commit of the new one. A replica is
/// promoted elsewhere, and the old primary keeps answering. Its own answer was taken for proof that
/// it leads.
#[test]
fn a_read_of_all_commits_never_goes_to_a_replaced_primary() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let current = need(catalog::Freshness::Current);
        let first = group.source(&current, &[]).await.expect("a source");
        assert_eq!(first.pool.id(), "a");
        cluster.world.borrow_mut().promote("b");
        cluster.world.borrow_mut().at("c").term = 2;
        let current = need(catalog::Freshness::Current);
        let second = group.source(&current, &[]).await.expect("a source");
        assert_eq!(second.pool.id(), "b");
        assert_eq!(second.leads, Some(2 as id::Term));
    });
}

/// Guards against a read at a primary that is being replaced, after its successor has accepted
/// commits. All replicas are held for the next term. A hold was not taken for the beginning of a
/// promotion.
#[test]
fn a_held_replica_proves_nothing_for_the_old_term() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let mut current = need(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_some());
        for id in ["b", "c"] {
            cluster.world.borrow_mut().at(id).held = 2;
        }
        current.deadline = boot::now() + time::Duration::from_millis(50);
        assert!(group.source(&current, &[]).await.is_none());
    });
}

/// Guards against failing reads that accept some staleness while there is no primary. The primary
/// has ended, no successor leads yet, and both replicas answer. Floors were derived only from the
/// primary's own position.
#[test]
fn bounded_reads_go_on_without_a_primary() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let bounded = need(catalog::Freshness::Bounded(AGE));
        assert!(group.source(&bounded, &[]).await.is_some());
        cluster.world.borrow_mut().at("a").up = false;
        let tight = need(catalog::Freshness::Bounded(time::Duration::from_millis(70)));
        let source = group.source(&tight, &[]).await.expect("a replica");
        assert_ne!(source.pool.id(), "a");
    });
}

/// Guards against a read on the log of a replaced primary. This node reaches only the old primary,
/// then also the new one, and queries both to renew its floor; the read arrives before the node has
/// changed the known primary. The new primary's evidence was taken for proof that the old one
/// leads.
#[test]
fn evidence_of_a_later_term_proves_nothing_for_the_old_primary() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let bounded = need(catalog::Freshness::Bounded(AGE));
        assert!(group.source(&bounded, &[]).await.is_some());
        cluster.world.borrow_mut().promote("b");
        cluster.world.borrow_mut().at("c").up = false;
        wait::sleep(time::Duration::from_millis(100)).await;
        let tight = need(catalog::Freshness::Bounded(time::Duration::from_millis(70)));
        let tried = ["b".into(), "c".into()];
        let source = group.source(&tight, &tried).await;
        let trusted =
            source.is_some_and(|source| source.pool.id() == "a" && source.after.is_none());
        assert!(!trusted, "the old primary is trusted");
    });
}

/// Guards against a read on the log of a replaced primary. No primary is known; the old one,
/// demoted, and one replica answer; the third instance, which leads by now, is unreachable. Any two
/// of three instances were assumed to hold all commits.
#[test]
fn no_floor_is_derived_while_a_possible_primary_is_silent() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        cluster.world.borrow_mut().at("a").role = mangotray::role::Role::Replica;
        cluster.world.borrow_mut().promote("b");
        cluster.world.borrow_mut().at("b").up = false;
        group.suspect(1, "test");
        let mut tight = need(catalog::Freshness::Bounded(time::Duration::from_millis(70)));
        tight.deadline = boot::now() + time::Duration::from_millis(600);
        assert!(group.source(&tight, &[]).await.is_none());
    });
}

/// Guards against reads sent to a replica that refuses them, and withheld from a healthy one. A
/// replica with a long log that had announced its end restarts under the same id with an empty log.
/// Its applied position, its announcement and its connections were kept by id.
#[test]
fn state_of_an_instance_is_reset_when_its_process_restarts() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
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
                .check_out(
                    urgency,
                    &organisation::OWN,
                    &connection::Values::new(),
                    deadline,
                )
                .await,
        );
        assert_eq!(before.applied().position, 10);
        before.note_behind();
        cluster.world.borrow_mut().at("b").draining = true;
        cluster.relist();
        assert!(group.roster().is_leaving(&"b".into()));
        {
            let mut world = cluster.world.borrow_mut();
            let instance = world.at("b");
            instance.draining = false;
            instance.born = 2;
            instance.position = 0;
        }
        cluster.relist();
        let after = find();
        assert_eq!((after.born(), after.applied().position), (2, 0));
        assert_eq!(after.last_behind(), id::Time::ZERO);
        assert!(!group.roster().is_leaving(&"b".into()));
        assert!(after.restarted_at().is_some());
    });
}

/// Guards against a read of current data that misses a commit of the new primary. A promotion holds
/// both replicas and one of them takes over; the other restarts, and this node reaches only that
/// one and the old primary. The restarted replica had lost its hold and was accepted as proof that
/// the old primary leads.
#[test]
fn a_restarted_replica_proves_nothing_alone() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let current = need(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_some());
        {
            let mut world = cluster.world.borrow_mut();
            world.promote("b");
            world.at("b").up = false;
            world.at("c").born = 2;
        }
        cluster.relist();
        let current = soon(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_none());
        cluster.world.borrow_mut().at("b").up = true;
        let current = need(catalog::Freshness::Current);
        let source = group.source(&current, &[]).await.expect("a source");
        assert_eq!(source.pool.id(), "b");
    });
}

/// Guards against a group that serves no read of current data although all its instances are
/// healthy. Both replicas restart, one after the other. Their reports have to count when all
/// instances other than the primary are queried together.
#[test]
fn restarted_replicas_prove_leadership_together() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        for id in ["b", "c"] {
            cluster.world.borrow_mut().at(id).born = 2;
        }
        cluster.relist();
        cluster::until("the list is settled", || group.roster().is_settled()).await;
        let current = need(catalog::Freshness::Current);
        let source = group.source(&current, &[]).await.expect("a source");
        assert_eq!(source.pool.id(), "a");
    });
}

/// Guards against a read that misses a commit older than its staleness bound. The primary is
/// unreachable, and the only replica that had received the commit restarts. A floor was derived
/// from the replicas' received positions, although one log was empty.
#[test]
fn no_floor_is_derived_from_a_log_that_was_reset() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let current = need(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_some());
        {
            let mut world = cluster.world.borrow_mut();
            world.at("a").up = false;
            world.at("b").born = 2;
            world.at("b").position = 0;
            world.at("c").position = 9;
        }
        cluster.relist();
        // Earlier floors have expired by then.
        wait::sleep(SHORT).await;
        let bounded = soon(catalog::Freshness::Bounded(SHORT / 2));
        assert!(group.source(&bounded, &[]).await.is_none());
    });
}

/// Guards against a read that accepts some staleness and misses a commit that is 1.6 s old. The
/// store returns from an outage in which all entries expired, and a node starts and lists the
/// instances while one of two replicas is not listed again. The other replica receives nothing, and
/// the primary is too busy to answer. A floor was derived from all replicas of a list that was
/// still incomplete.
#[test]
fn a_node_that_has_just_started_derives_no_floor_from_replicas() {
    let world = cluster::world();
    let missing = world.borrow_mut().instances.remove("c");
    for id in ["a", "b"] {
        world.borrow_mut().at(id).position = 5;
    }
    let cluster = cluster::Cluster::of(world);
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let current = need(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_some());
        cluster.world.borrow_mut().at("a").position = 10;
        cluster.world.borrow_mut().at("a").up = false;
        // Earlier floors have expired by then.
        wait::sleep(SHORT).await;
        let bounded = soon(catalog::Freshness::Bounded(SHORT / 2));
        assert!(group.source(&bounded, &[]).await.is_none());
        // Once the list is complete, the replicas together cover all acknowledged commits.
        let missing = missing.expect("instance c was in the world");
        cluster
            .world
            .borrow_mut()
            .instances
            .insert("c".into(), missing);
        cluster.relist();
        cluster::until("the list is settled", || group.roster().is_settled()).await;
        let bounded = need(catalog::Freshness::Bounded(AGE));
        let source = group.source(&bounded, &[]).await.expect("a source");
        assert_eq!(source.after.map(|stamp| stamp.position), Some(10));
    });
}

/// Guards against reads that accept some staleness and miss fifty commits. One of two replicas
/// receives nothing; commits are acknowledged by the other, which then never returns; the primary
/// is unreachable. A floor was derived from the remaining replica alone.
#[test]
fn no_floor_is_derived_from_replicas_after_one_is_lost() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.settled().await;
        let current = need(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_some());
        {
            let mut world = cluster.world.borrow_mut();
            world.at("a").position = 60;
            world.at("b").draining = true;
        }
        cluster.relist();
        {
            let mut world = cluster.world.borrow_mut();
            world.instances.remove("b");
            world.at("a").up = false;
        }
        cluster.relist();
        cluster::until("the instance is forgotten", || {
            group.roster().last_lost().is_some()
        })
        .await;
        // Earlier floors have expired by then.
        wait::sleep(SHORT).await;
        let bounded = soon(catalog::Freshness::Bounded(SHORT / 2));
        assert!(group.source(&bounded, &[]).await.is_none());
    });
}

/// Guards against reads that miss commits: the replicas are held for a promotion that cannot be
/// recorded, and the primary goes on with a replica that is not listed. What the held replicas had
/// received counted as a floor.
#[test]
fn no_floor_from_held_replicas_is_below_what_a_running_primary_has() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.settled().await;
        let current = need(catalog::Freshness::Current);
        assert!(group.source(&current, &[]).await.is_some());
        {
            let mut world = cluster.world.borrow_mut();
            let unlisted = cluster::Instance {
                port: 4,
                listed: false,
                position: 60,
                ..world.at("c").clone()
            };
            world.instances.insert("d".into(), unlisted);
            world.at("a").position = 60;
            for id in ["b", "c"] {
                world.at(id).held = 2;
            }
        }
        group.suspect(1, "test");
        // Earlier floors have expired by then.
        wait::sleep(SHORT).await;
        let bounded = soon(catalog::Freshness::Bounded(SHORT / 2));
        let source = group.source(&bounded, &[]).await;
        let after = source.and_then(|source| source.after);
        assert!(
            after.is_none_or(|after| after.position == 60),
            "{after:?} lacks acknowledged commits"
        );
    });
}
