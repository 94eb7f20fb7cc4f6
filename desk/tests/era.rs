//! The promoter when the store is reset to an older copy.

mod cluster;
mod harness;

use std::rc;

use mangotray::stamp;
use mangotray::store;
use mangotray_desk::election;
use mangotray_desk::intent;
use mangotray_desk::promote;
use mangotray_desk::wait;

use harness::Harness;
use harness::LONG;
use harness::SHORT;
use harness::SHORTEST;
use harness::start_with;

/// Long enough for a lease of the fake store to expire and be obtained again.
const LEASE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(6);

/// A promoter with a store that has been reset once.
fn start() -> Harness {
    let store = harness::Store::default();
    store.at().era = 1;
    start_with(cluster::Cluster::new(), store)
}

/// The same, with a store that says that the reset was long ago.
fn play_with_settled_era() -> Harness {
    let store = harness::Store::default();
    store.at().era = 1;
    publish_settled_era(&store, 1);
    start_with(cluster::Cluster::new(), store)
}

/// Holds both replicas for the next term, as a promotion in progress does.
fn hold_replicas(harness: &Harness) {
    for id in ["b", "c"] {
        harness.cluster.world.borrow_mut().at(id).held = 2;
    }
}

fn holds(harness: &Harness) -> [u64; 2] {
    ["b", "c"].map(|id| harness.cluster.world.borrow_mut().at(id).held)
}

fn publish_settled_era(store: &harness::Store, era: store::Era) {
    let entry = store::Entry {
        key: election::SETTLED_ERA_KEY.into(),
        value: era.to_string().into(),
        version: 1,
        lease: None,
    };
    store
        .at()
        .others
        .insert(election::SETTLED_ERA_KEY.to_owned(), entry);
}

/// Another node that takes part in the election in the same store.
fn other(harness: &Harness) -> rc::Rc<election::Election> {
    let shared: rc::Rc<dyn store::Store> = rc::Rc::new(harness.store.clone());
    let other = election::Election::new(shared, &"other".into(), SHORTEST);
    let run = rc::Rc::clone(&other).run();
    harness.cluster.executor.spawn(run).detach();
    other
}

fn record(term: u64, place: intent::Place) -> intent::Intent {
    intent::Intent {
        group: cluster::GROUP.into(),
        candidate: "b".into(),
        born: 1,
        term,
        old: Some("a".into()),
        received: stamp::Stamp::new(1, 10),
        place,
    }
}

async fn settled(harness: &Harness) {
    harness.cluster.settled().await;
}

/// The holder of the lease resigns, and the store is reset to a copy from before the lease.
async fn leave_and_reset(harness: &Harness, copy: &harness::Entries) {
    harness.wait_for_primary(1).await;
    settled(harness).await;
    harness.election.resign().await;
    harness.store.go_back(copy);
}

/// Guards against promotions with a lower fencing token than an earlier one, or two holders with
/// the same token. A node obtains the lease, the store is reset to a copy from before that, and
/// another node obtains it at a lower or the same revision. The token was the revision alone, which
/// the store reuses.
#[test]
fn fencing_tokens_rise_although_revisions_go_back() {
    let harness = start();
    let copy = harness.store.at().clone();
    harness.store.at().revision = 40;
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        let first = harness.election.held().expect("held").fence;
        harness.store.go_back(&copy);
        let other = other(&harness);
        other.note_vacant();
        let held = || harness.election.held().or(other.held());
        cluster::until("the lease is obtained", || held().is_some()).await;
        assert!(held().expect("held").fence > first);
    });
}

/// Guards against two nodes that promote alternately. The store is reset to a copy from before a
/// holder obtained the lease, and another node obtains it at the same revision. The first hasn't
/// noticed, relies on its lease and revision, and a primary crashes.
#[test]
fn a_holder_orders_nothing_after_a_reset() {
    let harness = start();
    let copy = harness.store.at().clone();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        settled(&harness).await;
        let shared: rc::Rc<dyn store::Store> = rc::Rc::new(harness.store.clone());
        harness.store.go_back(&copy);
        let rival =
            store::Store::create(&*shared, &[election::KEY, "usurper"], "u".into(), "l").await;
        assert_eq!(rival, Ok(store::Swap::Stored));
        assert!(harness.election.held().is_none());
        harness.cluster.world.borrow_mut().at("a").up = false;
        wait::sleep(LONG).await;
    });
    assert!(harness.client.orders.borrow().is_empty());
}

/// Guards against a holder's record that is written while another node holds the lease. The store
/// is reset, another node obtains the lease at the same revision, and the first records a promotion
/// before any answer tells it of the reset. The record's guard named a revision but no holder.
#[test]
fn a_record_is_refused_under_the_lease_of_another_holder() {
    let harness = start();
    let copy = harness.store.at().clone();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        let version = harness.store.at().entry.as_ref().expect("held").version;
        harness.store.go_back(&copy);
        // No answer tells of the reset.
        harness.store.at().era = copy.era;
        let shared: rc::Rc<dyn store::Store> = rc::Rc::new(harness.store.clone());
        let created =
            store::Store::create(&*shared, &[election::KEY, "usurper"], "u".into(), "l").await;
        assert_eq!(created, Ok(store::Swap::Stored));
        assert_eq!(
            harness.store.at().entry.as_ref().expect("held").version,
            version
        );
        let intent = record(2, intent::Place::default());
        assert_eq!(harness.election.record(&intent).await, None);
        assert!(!harness.store.at().others.contains_key(&intent.key()));
    });
}

/// Guards against a replaced primary that still acknowledges writes, which are lost. A promotion is
/// recorded and ordered, the store is reset to a copy from before the record, and the holder fails.
/// The next holder found no record, although every node had been notified of it.
#[test]
fn the_next_holder_writes_a_lost_record_again() {
    let harness = start();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        let fence = harness.election.held().expect("held").fence;
        let lost = record(7, intent::Place { fence, turn: 1 });
        let other = other(&harness);
        other.records().note(lost.clone());
        harness.election.resign().await;
        other.note_vacant();
        cluster::until("the lease is obtained", || other.held().is_some()).await;
        assert_eq!(other.intent(&cluster::GROUP.into()), Some(lost.clone()));
        let found = harness.store.at().others.get(&lost.key()).cloned();
        let found = found.and_then(|entry| intent::Intent::read(&entry));
        assert_eq!(found, Some(lost));
    });
}

/// Guards against a completed promotion that is repeated with an instance that lacks what was
/// acknowledged since. The store is reset to an older copy with an older record of the group. The
/// record that was read last counted, instead of the one that was written last.
#[test]
fn an_older_record_from_the_copy_does_not_replace_a_later_one() {
    let harness = start();
    let place = |fence: promote::Fence, turn| intent::Place { fence, turn };
    let group = cluster::GROUP.into();
    let later = record(5, place(9, 2));
    harness.election.records().note(later.clone());
    harness.election.records().note(record(3, place(9, 1)));
    assert_eq!(harness.election.intent(&group), Some(later));
    // A record that is known never to take effect doesn't come back either, whoever reports it.
    harness.election.retract(&group);
    harness.election.records().note(record(5, place(9, 2)));
    assert_eq!(harness.election.intent(&group), None);
    let next = record(6, place(10, 1));
    harness.election.records().note(next.clone());
    assert_eq!(harness.election.intent(&group), Some(next));
}

/// Guards against acknowledged bookings that are lost after a change of primary. All replicas are
/// held and one is ordered to lead; the store is reset to a copy from before the record, and the
/// holder fails. The next holder finds held replicas, a primary that answers, and no record. It
/// took the promotion for never ordered and released the replicas, which received from the old
/// primary again, or ordered another candidate.
#[test]
fn replicas_that_are_found_held_after_a_reset_stay_held() {
    let harness = start();
    let copy = harness.store.at().clone();
    harness.cluster.run(async {
        leave_and_reset(&harness, &copy).await;
        hold_replicas(&harness);
        // A node that never held the lease obtains it and knows of no order.
        let second = successor(&harness);
        cluster::until("the lease is obtained", || second.election.held().is_some()).await;
        wait::sleep(2 * LONG).await;
        assert_eq!(holds(&second), [2, 2]);
        assert_eq!(*second.client.orders.borrow(), []);
        // The order takes effect late: the new holder accepts its candidate and releases the other
        // replica.
        second.cluster.world.borrow_mut().promote("b");
        cluster::until("the old primary knows", || second.leader() == ["b"]).await;
        cluster::until("the other replica is released", || {
            second.cluster.world.borrow_mut().at("c").held == 0
        })
        .await;
        assert_eq!(*second.client.orders.borrow(), []);
    });
}

/// Guards against a group that waits eight seconds for a primary after a reset of the store. No
/// replica is held when the primary crashes, so no order can be in flight, but every promotion was
/// postponed.
#[test]
fn a_reset_delays_no_promotion_if_no_replica_is_held() {
    let harness = start();
    let copy = harness.store.at().clone();
    harness.cluster.run(async {
        leave_and_reset(&harness, &copy).await;
        let second = successor(&harness);
        cluster::until("the lease is obtained", || second.election.held().is_some()).await;
        second.cluster.world.borrow_mut().at("a").up = false;
        wait::within(LEASE_TIMEOUT, second.wait_for_primary(2))
            .await
            .expect("it is replaced in time");
    });
}

/// Guards against promotions that stop after a reset. The store is reset to a copy that has the
/// holder's own key, under the rest of its lease. The holder gave up its lease and took the entry
/// for another node's without end.
#[test]
fn the_holder_obtains_the_lease_again_when_its_old_one_has_expired() {
    let harness = play_with_settled_era();
    harness.cluster.run(async {
        harness.wait_for_primary(1).await;
        let first = harness.election.held().expect("held").fence;
        let copy = harness.store.at().clone();
        harness.store.go_back(&copy);
        cluster::until("the lease is void", || {
            !harness.election.is_last_known_holder()
        })
        .await;
        wait::sleep(SHORT).await;
        assert!(harness.election.held().is_none());
        {
            let mut entries = harness.store.at();
            entries.entry = None;
            entries.others.retain(|_, entry| entry.lease.is_none());
        }
        harness.election.note_vacant();
        cluster::until("the lease is obtained", || {
            harness.election.held().is_some()
        })
        .await;
        assert!(harness.election.held().expect("held").fence > first);
        assert!(!harness.election.may_have_lost_order());
    });
}

/// Guards against replicas that are released while an order may still take effect. The store is
/// reset a second time, and its holder took that reset for the only one.
#[test]
fn a_second_reset_releases_no_replica_that_the_first_left_held() {
    let harness = start();
    let copy = harness.store.at().clone();
    harness.cluster.run(async {
        leave_and_reset(&harness, &copy).await;
        hold_replicas(&harness);
        let second = successor(&harness);
        cluster::until("the lease is obtained", || second.election.held().is_some()).await;
        second.store.go_back(&copy);
        cluster::until("the lease is void", || {
            !second.election.is_last_known_holder()
        })
        .await;
        second.election.note_vacant();
        cluster::until("the lease is obtained", || second.election.held().is_some()).await;
        wait::sleep(LONG).await;
        assert_eq!(holds(&second), [2, 2]);
        assert_eq!(*second.client.orders.borrow(), []);
    });
}

/// Guards against a second order, or released replicas, while the first order may still take
/// effect. All replicas have restarted since and are no longer held.
#[test]
fn replicas_that_have_lost_their_holds_end_no_uncertainty() {
    let harness = start();
    let copy = harness.store.at().clone();
    harness.cluster.run(async {
        leave_and_reset(&harness, &copy).await;
        let second = successor(&harness);
        cluster::until("the lease is obtained", || second.election.held().is_some()).await;
        for id in ["b", "c"] {
            second.cluster.world.borrow_mut().at(id).born = 2;
        }
        second.cluster.relist();
        second.cluster.world.borrow_mut().at("a").up = false;
        wait::sleep(2 * LONG).await;
        assert_eq!(*second.client.orders.borrow(), []);
    });
}

/// Guards against a group that waits for a primary after each restart of the promoter, although the
/// last reset of the store was long ago.
#[test]
fn a_holder_that_starts_long_after_a_reset_releases_held_replicas() {
    let harness = play_with_settled_era();
    hold_replicas(&harness);
    harness.cluster.run(async {
        cluster::until("the lease is obtained", || {
            harness.election.held().is_some()
        })
        .await;
        assert!(!harness.election.may_have_lost_order());
        cluster::until("the replicas are released", || holds(&harness) == [0, 0]).await;
    });
}

/// Guards against holders that never publish that the last reset was long ago, so that each later
/// holder waits.
#[test]
fn a_holder_publishes_once_that_the_era_has_settled() {
    let harness = start();
    harness.cluster.run(async {
        let published = || {
            harness
                .store
                .at()
                .others
                .get(election::SETTLED_ERA_KEY)
                .cloned()
        };
        let time_limit = std::time::Duration::from_mins(1);
        let known = async {
            cluster::until("the settled era is published", || published().is_some()).await;
        };
        wait::within(time_limit, known)
            .await
            .expect("the settled era is published");
        let entry = published().expect("an entry");
        assert_eq!((entry.value.as_ref(), entry.lease), (&b"1"[..], None));
        let version = entry.version;
        wait::sleep(LONG).await;
        assert_eq!(published().map(|entry| entry.version), Some(version));
    });
}

/// Another node with the same group that takes part in the election.
fn successor(harness: &Harness) -> Harness {
    let shared: rc::Rc<dyn store::Store> = rc::Rc::new(harness.store.clone());
    let election = election::Election::new(shared, &"heir".into(), SHORTEST);
    harness::start_as(
        harness.cluster.another("heir"),
        harness.store.clone(),
        election,
    )
}

/// Guards against the loss of a whole log: six hundred acknowledged bookings. The primary is cut
/// off from its replicas, and both restart empty. A promoter that has just started finds a primary
/// with records that no replica has; the record of the last promotion, which said how far the log
/// reached, was lost with a reset of the store. An empty replica was promoted over a primary that
/// answered.
#[test]
fn no_empty_replica_replaces_a_primary_that_answers() {
    let cluster = cluster::Cluster::new();
    {
        let mut world = cluster.world.borrow_mut();
        world.at("b").position = 0;
        world.at("c").position = 0;
    }
    let harness = start_with(cluster, harness::Store::default());
    harness.cluster.run(async {
        cluster::until("the lease is obtained", || {
            harness.election.held().is_some()
        })
        .await;
        settled(&harness).await;
        wait::sleep(2 * LONG).await;
    });
    assert_eq!(*harness.client.orders.borrow(), []);
    assert_eq!(harness.leader(), ["a"]);
}
