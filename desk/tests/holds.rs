//! A replica that was held stays held until the promotion has taken effect and is settled.

mod play;
mod stage;

use std::cell;
use std::rc;
use std::time;

use bytes::Bytes;
use mangotray::role;
use mangotray::stamp;
use mangotray_desk::boot;
use mangotray_desk::cleanup;
use mangotray_desk::intent;
use mangotray_desk::resumes;
use mangotray_desk::seat;
use mangotray_desk::upstream;
use mangotray_desk::wait;

/// Shorter than the time after which a command that got no answer cannot arrive any more.
const IN_FLIGHT: time::Duration = time::Duration::from_secs(2);

/// Time in which a promotion takes effect, longer than instances need.
const PROMOTION_TIME: time::Duration = time::Duration::from_secs(1);

/// Time in which the store records a promotion, short enough for the order to leave.
const STORE_DELAY: time::Duration = time::Duration::from_millis(120);

/// Pause between looks of a test at the stage.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

fn held(play: &play::Play, id: &str) -> u64 {
    play.stage.world.borrow_mut().at(id).held
}

// Somebody else takes the seat from this node, whose lease ends.
async fn lose_seat(play: &play::Play) {
    {
        let mut entries = play.store.at();
        let entry = entries.entry.as_mut().expect("the seat is held");
        entry.value = Bytes::from_static(b"another");
        entry.lease = None;
    }
    stage::until("the seat is lost", || play.seat.held().is_none()).await;
}

// `a` is replaced while it cannot be told, and this node loses the seat before it can. Returns the replica
// that is held.
async fn lose_seat_before_cleanup(play: &play::Play) -> &'static str {
    play.led(1).await;
    play.stage.world.borrow_mut().at("a").up = false;
    play.led(2).await;
    lose_seat(play).await;
    let other = if play.leader() == ["b"] { "c" } else { "b" };
    assert_eq!(held(play, other), 2);
    play.stage.world.borrow_mut().at("a").up = true;
    stage::until("the replaced primary is told", || {
        play.stage.world.borrow_mut().at("a").role == role::Role::Replica
    })
    .await;
    other
}

/// Guards against an old primary that goes on through a promotion, as the late end of an earlier hold reaches a
/// replica after the order.
#[test]
fn no_order_is_sent_while_an_earlier_resume_may_arrive() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.duty.refuse.set(true);
        {
            let mut world = play.stage.world.borrow_mut();
            world.delay = Some(("c".into(), upstream::Command::Resume));
            world.at("a").draining = true;
        }
        play.stage.relist();
        stage::until("the end of a hold is late", || {
            !play.stage.world.borrow().late.is_empty()
        })
        .await;
        let sent = boot::now();
        let refused = play.duty.orders.borrow().len();
        play.duty.refuse.set(false);
        play.duty.takes.set(PROMOTION_TIME);
        while boot::now() < sent + IN_FLIGHT {
            assert_eq!(play.duty.orders.borrow().len(), refused);
            wait::sleep(POLL_INTERVAL).await;
        }
        play.stage.world.borrow_mut().deliver();
        play.led(2).await;
    });
    assert!(play.duty.loose.borrow().is_empty());
}

/// Guards against a holder that has lost the seat and ends the holds of its successor.
#[test]
fn a_promotion_given_up_without_the_seat_releases_no_hold() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        for id in ["a", "c"] {
            play.stage.world.borrow_mut().at(id).up = false;
        }
        stage::until("a replica is held", || held(&play, "b") == 2).await;
        lose_seat(&play).await;
        wait::sleep(play::LONG).await;
        assert_eq!(held(&play, "b"), 2);
    });
}

/// Guards against a holder that has lost the seat and ends the holds of a promotion that is no longer its own.
#[test]
fn cleanup_without_the_seat_releases_no_hold() {
    let play = play::play();
    play.stage.run(async {
        let other = lose_seat_before_cleanup(&play).await;
        wait::sleep(play::LONG).await;
        assert_eq!(held(&play, other), 2);
    });
}

/// Guards against replicas that stay held as nobody but a holder that lost the seat would have freed them.
#[test]
fn replicas_left_held_are_released_by_the_next_holder_of_the_seat() {
    for same in [true, false] {
        let play = play::play();
        play.stage.run(async {
            let other = lose_seat_before_cleanup(&play).await;
            wait::sleep(play::SHORT).await;
            assert_eq!(held(&play, other), 2);
            play.store.at().entry = None;
            let next = (!same).then(|| {
                let stage = play.stage.another("next");
                play::play_with(stage, play.store.clone())
            });
            if next.is_none() {
                play.seat.vacated();
            }
            stage::until("its replica is freed", || held(&play, other) == 0).await;
            let holder = next.as_ref().unwrap_or(&play);
            assert!(holder.seat.held().is_some());
        });
    }
}

/// Guards against a settled promotion whose late end of a hold undoes a hold of the next one.
#[test]
fn no_order_is_sent_while_a_resume_of_a_cleanup_may_arrive() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.stage.world.borrow_mut().at("a").up = false;
        play.led(2).await;
        let first = play.leader().remove(0);
        let other = if first == "b" { "c" } else { "b" };
        {
            let mut world = play.stage.world.borrow_mut();
            world.delay = Some((other.into(), upstream::Command::Resume));
            world.at("a").up = true;
        }
        stage::until("the end of a hold is late", || {
            !play.stage.world.borrow().late.is_empty()
        })
        .await;
        let sent = boot::now();
        play.duty.takes.set(PROMOTION_TIME);
        play.stage.world.borrow_mut().at(&first).up = false;
        while boot::now() < sent + IN_FLIGHT {
            assert_eq!(play.duty.orders.borrow().len(), 1);
            wait::sleep(POLL_INTERVAL).await;
        }
        play.stage.world.borrow_mut().deliver();
        play.led(3).await;
    });
    assert!(play.duty.loose.borrow().is_empty());
}

// The end of a promotion to term 1, by a node that holds the seat and promotes nobody else.
async fn cleanup_of_term_one(
    stage: &stage::Stage,
    resumes: &rc::Rc<cell::RefCell<resumes::Resumes>>,
) -> cleanup::Cleanup {
    let store = rc::Rc::new(play::Store::default());
    let seat = seat::Seat::new(store, &"vm".into(), play::SHORTEST);
    stage.executor.spawn(rc::Rc::clone(&seat).keep()).detach();
    seat.vacated();
    stage::until("the seat is taken", || seat.held().is_some()).await;
    let group = stage.node.group(&stage::GROUP.into());
    let intent = intent::Intent {
        group: group.name.clone(),
        candidate: "a".into(),
        born: 1,
        term: 1,
        old: None,
        received: stamp::Stamp::default(),
        place: intent::Place::default(),
    };
    cleanup::Cleanup::new(group, &intent, intent.term, seat, rc::Rc::clone(resumes))
}

/// Guards against a settled promotion that ends the holds of the next one, between its look and its command.
#[test]
fn cleanup_releases_no_hold_while_the_next_promotion_runs() {
    let stage = stage::Stage::new();
    stage.run(async {
        let resumes = rc::Rc::default();
        let cleanup = cleanup_of_term_one(&stage, &resumes).await;
        resumes.borrow_mut().promotes(&stage::GROUP.into(), true);
        stage.world.borrow_mut().at("c").held = 1;
        let free = async move { cleanup.release().await };
        stage.executor.spawn(free).detach();
        wait::sleep(play::LONG).await;
        assert_eq!(stage.world.borrow_mut().at("c").held, 1);
        resumes.borrow_mut().promotes(&stage::GROUP.into(), false);
        stage::until("the replica is freed", || {
            stage.world.borrow_mut().at("c").held == 0
        })
        .await;
    });
}

/// Guards against a settled promotion that ends holds for a later term.
#[test]
fn cleanup_releases_only_its_own_holds() {
    let stage = stage::Stage::new();
    stage.run(async {
        let cleanup = cleanup_of_term_one(&stage, &rc::Rc::default()).await;
        stage.world.borrow_mut().at("b").held = 7;
        stage.world.borrow_mut().at("c").held = 1;
        assert!(cleanup.release().await);
        let mut world = stage.world.borrow_mut();
        assert_eq!((world.at("b").held, world.at("c").held), (7, 0));
    });
}

/// Guards against an old primary that goes on through a promotion, as a replica has started again since the order.
#[test]
fn a_replica_that_restarts_after_the_order_is_held_before_the_promotion() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.duty.takes.set(PROMOTION_TIME);
        play.stage.world.borrow_mut().at("a").up = false;
        let other = play.ordered().await.other;
        play.stage.world.borrow_mut().at(other).held = 0;
        play.stage.world.borrow_mut().at(other).born = 2;
        play.stage.relist();
        play.led(2).await;
    });
    assert!(play.duty.loose.borrow().is_empty());
}

/// Guards against an old primary that goes on through a promotion, as the call for it is answered late and a
/// replica is freed meanwhile.
#[test]
fn a_replica_released_while_the_order_is_unanswered_is_held_again() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.duty.answers.set(PROMOTION_TIME);
        play.duty.takes.set(PROMOTION_TIME);
        play.stage.world.borrow_mut().at("a").up = false;
        let other = play.ordered().await.other;
        play.stage.world.borrow_mut().at(other).held = 0;
        play.led(2).await;
    });
    assert!(play.duty.loose.borrow().is_empty());
}

/// Guards against a silent replica for which those that answer are left without a hold.
#[test]
fn a_silent_replica_delays_no_hold_of_another() {
    let world = stage::world();
    let fourth = world.borrow_mut().at("c").clone();
    world.borrow_mut().instances.insert("d".into(), fourth);
    // It is known to have all records, so that it is the candidate.
    world.borrow_mut().at("b").position = 12;
    let play = play::play_on(stage::Stage::of(world));
    play.stage.run(async {
        play.led(1).await;
        play.duty.takes.set(PROMOTION_TIME);
        play.stage.world.borrow_mut().at("a").up = false;
        assert_eq!(play.ordered().await.other, "c");
        {
            let mut world = play.stage.world.borrow_mut();
            world.delay = Some(("c".into(), upstream::Command::Status));
            world.at("d").held = 0;
        }
        play.led(2).await;
    });
    assert!(play.duty.loose.borrow().is_empty());
}

/// Guards against a replica that nobody frees, as its hold arrives only after the effect and the end of the promotion.
#[test]
fn a_hold_that_arrives_after_the_promotion_is_released() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.duty.takes.set(PROMOTION_TIME);
        play.stage.world.borrow_mut().at("a").up = false;
        let other = play.ordered().await.other;
        {
            let mut world = play.stage.world.borrow_mut();
            world.delay = Some((other.into(), upstream::Command::Hold(2)));
            world.at(other).held = 0;
        }
        stage::until("a hold is late", || {
            !play.stage.world.borrow().late.is_empty()
        })
        .await;
        play.led(2).await;
        play.stage.world.borrow_mut().at("a").up = true;
        stage::until("the replicas are free", || {
            let told = play.stage.world.borrow_mut().at("a").role == role::Role::Replica;
            told && held(&play, other) == 0
        })
        .await;
        // One of them follows the new primary, the other has not heard of it yet.
        play.stage.world.borrow_mut().at("a").term = 2;
        wait::sleep(play::SHORT).await;
        play.stage.world.borrow_mut().deliver();
        assert_eq!(held(&play, other), 2);
        stage::until("the replica is freed", || held(&play, other) == 0).await;
    });
}

/// Guards against an order that leaves although a replica was freed while the store recorded the promotion.
#[test]
fn no_order_is_sent_once_a_replica_reports_a_lost_hold() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.store.at().takes = STORE_DELAY;
        play.stage.world.borrow_mut().at("a").up = false;
        stage::until("the promotion is being recorded", || {
            play.store.at().under_way > 0
        })
        .await;
        for id in ["b", "c"] {
            play.stage.world.borrow_mut().at(id).held = 0;
        }
        play.led(2).await;
    });
    assert!(play.duty.loose.borrow().is_empty());
}
