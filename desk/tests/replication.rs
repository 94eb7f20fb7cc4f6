//! Reads of a group whose primary is down, with and without synchronous replicas.

mod cluster;

use std::time;

use mangotray::stamp;
use mangotray_desk::boot;
use mangotray_desk::catalog;
use mangotray_desk::group;
use mangotray_desk::leadership;
use mangotray_desk::source;
use mangotray_desk::status;
use mangotray_desk::wait;

const AGE: time::Duration = time::Duration::from_millis(1500);

/// Longer than the last floor before a crash serves.
const EXPIRY: time::Duration = time::Duration::from_secs(2);

const SETTLING: time::Duration = time::Duration::from_secs(3);

fn need() -> source::Requirements {
    cluster::need(catalog::Freshness::Bounded(AGE), cluster::LIMIT)
}

/// Crashes the primary after a commit that no replica has received, and waits until the last floor
/// has expired.
async fn crash_ahead(cluster: &cluster::Cluster, group: &std::rc::Rc<group::Group>) {
    assert!(group.source(&need(), &[]).await.is_some());
    {
        let mut world = cluster.world.borrow_mut();
        world.at("a").position = 12;
        world.at("a").up = false;
    }
    group.suspect(1, "the test has ended it");
    wait::sleep(EXPIRY).await;
}

/// Guards against reads that lack commits acknowledged long before: replicas that need not have every
/// commit were taken to have them all while the primary was down.
#[test]
fn replicas_that_need_not_have_every_commit_tell_no_floor() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.settled().await;
        group.set_replication(0, SETTLING);
        crash_ahead(&cluster, &group).await;
        let read = need();
        let source = group.source(&read, &[]).await;
        assert!(
            source.is_none(),
            "{:?}",
            source.and_then(|source| source.after)
        );
        // What cannot be served is refused at once.
        assert!(boot::now() < read.deadline);
        cluster.world.borrow_mut().at("a").up = true;
        group.search();
        group.wait_for_primary(boot::now() + cluster::LIMIT).await;
        let source = group.source(&need(), &[]).await.expect("a source");
        let covers = |after: stamp::Stamp| after >= stamp::Stamp::new(1, 12);
        assert!(source.after.is_none_or(covers), "{:?}", source.after);
    });
}

/// Guards against a refusal of reads that replicas can serve, as they must have every commit.
#[test]
fn synchronous_replicas_tell_a_floor_without_the_primary() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.settled().await;
        crash_ahead(&cluster, &group).await;
        assert!(group.source(&need(), &[]).await.is_some());
    });
}

/// Guards against reads that lack commits of the time before replicas had to have them, or of the time
/// after they no longer had to.
#[test]
fn a_change_of_synchronous_replicas_voids_what_replicas_alone_tell() {
    let millis = time::Duration::from_millis;
    let mut leadership = leadership::Leadership::default();
    leadership.set_replication(1, millis(0), SETTLING);
    leadership.set_leader(&status::Leader {
        id: "a".into(),
        term: 2,
    });
    let position = |number| stamp::Stamp::new(2, number);
    leadership.adopt_floor(2, millis(1000), position(7));
    let covering = |leadership: &leadership::Leadership| {
        leadership.covering_position(position(8), false, None)
    };
    assert_eq!(covering(&leadership), Some(position(8)));
    leadership.record_replica_only_floor(millis(1500), position(8));
    leadership.set_replication(0, millis(2000), SETTLING);
    assert_eq!(leadership.floors().since(millis(1000)), None);
    leadership.adopt_floor(2, millis(2500), position(9));
    assert_eq!(covering(&leadership), None);
    let answered = leadership.covering_position(position(11), true, None);
    assert_eq!(answered, Some(position(11)));
    leadership.set_replication(1, millis(3000), SETTLING);
    leadership.adopt_floor(2, millis(3500), position(12));
    assert_eq!(covering(&leadership), None);
    leadership.adopt_floor(2, millis(6500), position(13));
    assert_eq!(covering(&leadership), Some(position(13)));
}
