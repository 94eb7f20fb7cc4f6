//! What a promoter does when the store comes back from an older copy.

mod play;
mod stage;

use std::rc;

use mangotray::stamp;
use mangotray::store;
use mangotray_desk::election;
use mangotray_desk::intent;
use mangotray_desk::promote;
use mangotray_desk::wait;

use play::LONG;
use play::Play;
use play::SHORT;
use play::SHORTEST;
use play::play_with;

/// Long enough for a lease of the stand-in to end, and for the seat to be taken then.
const LEASE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(6);

/// A promoter before a store that has come back once before.
fn play() -> Play {
    let store = play::Store::default();
    store.at().era = 1;
    play_with(stage::Stage::new(), store)
}

/// The same, long after that, as the store tells.
fn play_with_settled_era() -> Play {
    let store = play::Store::default();
    store.at().era = 1;
    publish_settled_era(&store, 1);
    play_with(stage::Stage::new(), store)
}

/// Both replicas are held for the next term, as by a promotion that is under way.
fn hold_replicas(play: &Play) {
    for id in ["b", "c"] {
        play.stage.world.borrow_mut().at(id).held = 2;
    }
}

fn holds(play: &Play) -> [u64; 2] {
    ["b", "c"].map(|id| play.stage.world.borrow_mut().at(id).held)
}

fn publish_settled_era(store: &play::Store, era: store::Era) {
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

/// Another node's seat of the same store, which it tries to take.
fn other(play: &Play) -> rc::Rc<election::Election> {
    let shared: rc::Rc<dyn store::Store> = rc::Rc::new(play.store.clone());
    let other = election::Election::new(shared, &"other".into(), SHORTEST);
    let keep = rc::Rc::clone(&other).run();
    play.stage.executor.spawn(keep).detach();
    other
}

fn record(term: u64, place: intent::Place) -> intent::Intent {
    intent::Intent {
        group: stage::GROUP.into(),
        candidate: "b".into(),
        born: 1,
        term,
        old: Some("a".into()),
        received: stamp::Stamp::new(1, 10),
        place,
    }
}

async fn settled(play: &Play) {
    play.stage.settled().await;
}

/// The holder of the seat leaves, and the store comes back from before it held it.
async fn leave_and_reset(play: &Play, copy: &play::Entries) {
    play.led(1).await;
    settled(play).await;
    play.election.resign().await;
    play.store.go_back(copy);
}

/// Symptom: promotions carry a lower number than one before them, or two holders the same.
/// Events: a node takes the seat at some revision; the store comes back from before that; another
/// takes the seat at a lower revision, or at the same.
/// Cause: the number was the seat's revision, which the store gives out again.
#[test]
fn a_holders_number_rises_although_revisions_go_back() {
    let play = play();
    let copy = play.store.at().clone();
    play.store.at().revision = 40;
    play.stage.run(async {
        play.led(1).await;
        let first = play.election.held().expect("held").fence;
        play.store.go_back(&copy);
        let other = other(&play);
        other.note_vacant();
        let held = || play.election.held().or(other.held());
        stage::until("the seat is taken", || held().is_some()).await;
        assert!(held().expect("held").fence > first);
    });
}

/// Symptom: two nodes promote in turns.
/// Events: the store comes back from before a holder took the seat, and another takes it at the
/// same revision; the first has not noticed, and a primary crashes.
/// Cause: a holder believed in its lease, and in a revision, of a content that the store has lost.
#[test]
fn a_holder_orders_nothing_after_a_return() {
    let play = play();
    let copy = play.store.at().clone();
    play.stage.run(async {
        play.led(1).await;
        settled(&play).await;
        let shared: rc::Rc<dyn store::Store> = rc::Rc::new(play.store.clone());
        play.store.go_back(&copy);
        let rival =
            store::Store::create(&*shared, &[election::KEY, "usurper"], "u".into(), "l").await;
        assert_eq!(rival, Ok(store::Swap::Stored));
        assert!(play.election.held().is_none());
        play.stage.world.borrow_mut().at("a").up = false;
        wait::sleep(LONG).await;
    });
    assert!(play.duty.orders.borrow().is_empty());
}

/// Symptom: a holder's record is written in the term of another holder.
/// Events: the store comes back from before a holder took the seat; another takes it at the
/// same revision; the first records a promotion before any answer tells it of the return.
/// Cause: the record's guard named a revision, and no holder.
#[test]
fn a_record_is_refused_in_the_term_of_another_holder() {
    let play = play();
    let copy = play.store.at().clone();
    play.stage.run(async {
        play.led(1).await;
        let version = play.store.at().entry.as_ref().expect("held").version;
        play.store.go_back(&copy);
        // No answer tells of the return.
        play.store.at().era = copy.era;
        let shared: rc::Rc<dyn store::Store> = rc::Rc::new(play.store.clone());
        let created =
            store::Store::create(&*shared, &[election::KEY, "usurper"], "u".into(), "l").await;
        assert_eq!(created, Ok(store::Swap::Stored));
        assert_eq!(
            play.store.at().entry.as_ref().expect("held").version,
            version
        );
        let intent = record(2, intent::Place::default());
        assert_eq!(play.election.record(&intent).await, None);
        assert!(!play.store.at().others.contains_key(&intent.key()));
    });
}

/// Symptom: a replaced primary goes on, and its writes are lost.
/// Events: a promotion is recorded and ordered; the store comes back from before the record, and the
/// holder is gone.
/// Cause: the next holder found no record, although every node had heard of it.
#[test]
fn the_next_holder_writes_a_lost_record_again() {
    let play = play();
    play.stage.run(async {
        play.led(1).await;
        let fence = play.election.held().expect("held").fence;
        let lost = record(7, intent::Place { fence, turn: 1 });
        let other = other(&play);
        other.records().note(lost.clone());
        play.election.resign().await;
        other.note_vacant();
        stage::until("the seat is taken", || other.held().is_some()).await;
        assert_eq!(other.intent(&stage::GROUP.into()), Some(lost.clone()));
        let found = play.store.at().others.get(&lost.key()).cloned();
        let found = found.and_then(|entry| intent::Intent::read(&entry));
        assert_eq!(found, Some(lost));
    });
}

/// Symptom: a promotion that is long over is done once more, with an instance that lacks what was
/// acknowledged since.
/// Events: the store comes back from an older copy, with an older record of the group.
/// Cause: the record that was read last counted, not the one that was written last.
#[test]
fn an_older_record_from_the_copy_does_not_replace_a_later_one() {
    let play = play();
    let place = |fence: promote::Fence, turn| intent::Place { fence, turn };
    let group = stage::GROUP.into();
    let later = record(5, place(9, 2));
    play.election.records().note(later.clone());
    play.election.records().note(record(3, place(9, 1)));
    assert_eq!(play.election.intent(&group), Some(later));
    // One that is known never to take effect does not come back either, whoever tells of it.
    play.election.retract(&group);
    play.election.records().note(record(5, place(9, 2)));
    assert_eq!(play.election.intent(&group), None);
    let next = record(6, place(10, 1));
    play.election.records().note(next.clone());
    assert_eq!(play.election.intent(&group), Some(next));
}

/// Symptom: acknowledged bookings are gone after a change of primary.
/// Events: all replicas are held and one is ordered to lead; the store comes back from before the
/// record, and the holder is gone. The next one finds held replicas, a primary that answers, and no
/// record; it frees the replicas, which receive from the old primary again, or orders another.
/// Cause: what is not recorded was taken for never ordered.
#[test]
fn replicas_that_are_found_held_after_a_return_stay_held() {
    let play = play();
    let copy = play.store.at().clone();
    play.stage.run(async {
        leave_and_reset(&play, &copy).await;
        hold_replicas(&play);
        // A node that never held the seat takes it, and knows nothing of what was ordered.
        let second = successor(&play);
        stage::until("the seat is taken", || second.election.held().is_some()).await;
        wait::sleep(2 * LONG).await;
        assert_eq!(holds(&second), [2, 2]);
        assert_eq!(*second.duty.orders.borrow(), []);
        // The order takes effect late: its candidate is taken over, and the others are freed.
        second.stage.world.borrow_mut().promote("b");
        stage::until("the old primary knows", || second.leader() == ["b"]).await;
        stage::until("the other is freed", || {
            second.stage.world.borrow_mut().at("c").held == 0
        })
        .await;
        assert_eq!(*second.duty.orders.borrow(), []);
    });
}

/// Symptom: a group whose primary is lost after a return of the store waits eight seconds.
/// Events: the store comes back; no replica is held; the primary crashes.
/// Cause: any promotion was put off, also where no order can be under way.
#[test]
fn a_return_puts_no_promotion_off_where_no_replica_is_held() {
    let play = play();
    let copy = play.store.at().clone();
    play.stage.run(async {
        leave_and_reset(&play, &copy).await;
        let second = successor(&play);
        stage::until("the seat is taken", || second.election.held().is_some()).await;
        second.stage.world.borrow_mut().at("a").up = false;
        wait::within(LEASE_TIMEOUT, second.led(2))
            .await
            .expect("it is replaced in time");
    });
}

/// Symptom: nobody promotes any more after a return.
/// Events: the store comes back with the holder's own seat, under what is left of its lease.
/// Cause: the holder gave its seat up and took the entry for somebody else's for ever.
#[test]
fn the_holder_takes_its_seat_again_when_its_old_lease_has_ended() {
    let play = play_with_settled_era();
    play.stage.run(async {
        play.led(1).await;
        let first = play.election.held().expect("held").fence;
        let copy = play.store.at().clone();
        play.store.go_back(&copy);
        stage::until("the seat is void", || !play.election.is_last_known_holder()).await;
        wait::sleep(SHORT).await;
        assert!(play.election.held().is_none());
        {
            let mut entries = play.store.at();
            entries.entry = None;
            entries.others.retain(|_, entry| entry.lease.is_none());
        }
        play.election.note_vacant();
        stage::until("the seat is taken", || play.election.held().is_some()).await;
        assert!(play.election.held().expect("held").fence > first);
        assert!(!play.election.may_have_lost_order());
    });
}

/// Guards against replicas of a promotion that are freed while its order may yet take effect, as the store came back
/// once more and its holder took that return for the only one.
#[test]
fn a_second_return_does_not_free_what_the_first_left_in_doubt() {
    let play = play();
    let copy = play.store.at().clone();
    play.stage.run(async {
        leave_and_reset(&play, &copy).await;
        hold_replicas(&play);
        let second = successor(&play);
        stage::until("the seat is taken", || second.election.held().is_some()).await;
        second.store.go_back(&copy);
        stage::until("the seat is void", || {
            !second.election.is_last_known_holder()
        })
        .await;
        second.election.note_vacant();
        stage::until("the seat is taken", || second.election.held().is_some()).await;
        wait::sleep(LONG).await;
        assert_eq!(holds(&second), [2, 2]);
        assert_eq!(*second.duty.orders.borrow(), []);
    });
}

/// Guards against a second order, or freed replicas, while the first order may yet take effect, as all replicas have
/// started again since and are held no more.
#[test]
fn replicas_that_have_lost_their_holds_end_no_doubt() {
    let play = play();
    let copy = play.store.at().clone();
    play.stage.run(async {
        leave_and_reset(&play, &copy).await;
        let second = successor(&play);
        stage::until("the seat is taken", || second.election.held().is_some()).await;
        for id in ["b", "c"] {
            second.stage.world.borrow_mut().at(id).born = 2;
        }
        second.stage.relist();
        second.stage.world.borrow_mut().at("a").up = false;
        wait::sleep(2 * LONG).await;
        assert_eq!(*second.duty.orders.borrow(), []);
    });
}

/// Guards against a group that waits for a primary with each holder that starts again, although the store has not
/// come back for long.
#[test]
fn a_holder_that_starts_long_after_a_return_frees_held_replicas() {
    let play = play_with_settled_era();
    hold_replicas(&play);
    play.stage.run(async {
        stage::until("the seat is taken", || play.election.held().is_some()).await;
        assert!(!play.election.may_have_lost_order());
        stage::until("the replicas are free", || holds(&play) == [0, 0]).await;
    });
}

/// Guards against holders that never tell how long the store has not come back, so that each later one waits.
#[test]
fn a_holder_tells_once_that_the_last_return_is_long_past() {
    let play = play();
    play.stage.run(async {
        let told = || {
            play.store
                .at()
                .others
                .get(election::SETTLED_ERA_KEY)
                .cloned()
        };
        let patience = std::time::Duration::from_mins(1);
        let known = async { stage::until("it is told", || told().is_some()).await };
        wait::within(patience, known).await.expect("it is told");
        let entry = told().expect("an entry");
        assert_eq!((entry.value.as_ref(), entry.lease), (&b"1"[..], None));
        let version = entry.version;
        wait::sleep(LONG).await;
        assert_eq!(told().map(|entry| entry.version), Some(version));
    });
}

/// Another node before the same group, that takes the seat.
fn successor(play: &Play) -> Play {
    let shared: rc::Rc<dyn store::Store> = rc::Rc::new(play.store.clone());
    let election = election::Election::new(shared, &"heir".into(), SHORTEST);
    play::play_as(play.stage.another("heir"), play.store.clone(), election)
}

/// Symptom: six hundred acknowledged bookings are gone: the whole log.
/// Events: the primary is cut off from its replicas, and both start again empty; a promoter that has
/// just started finds a primary with records that no replica has. The record of the last promotion,
/// which told how far the log reached, went with a return of the store.
/// Cause: a replica without any record was promoted over a primary that answered.
#[test]
fn no_empty_replica_replaces_a_primary_that_answers() {
    let stage = stage::Stage::new();
    {
        let mut world = stage.world.borrow_mut();
        world.at("b").position = 0;
        world.at("c").position = 0;
    }
    let play = play_with(stage, play::Store::default());
    play.stage.run(async {
        stage::until("the seat is taken", || play.election.held().is_some()).await;
        settled(&play).await;
        wait::sleep(2 * LONG).await;
    });
    assert_eq!(*play.duty.orders.borrow(), []);
    assert_eq!(play.leader(), ["a"]);
}
