//! Tests that a held replica stays held until the promotion has taken effect and its cleanup
//! releases it.

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
use mangotray_desk::election;
use mangotray_desk::intent;
use mangotray_desk::resumes;
use mangotray_desk::upstream;
use mangotray_desk::wait;

/// Shorter than the time in which an unanswered command can still arrive.
const IN_FLIGHT: time::Duration = time::Duration::from_secs(2);

/// Time in which a promotion takes effect; longer than real instances need.
const PROMOTION_TIME: time::Duration = time::Duration::from_secs(1);

/// Time in which the store records a promotion; short enough for the order to be sent.
const STORE_DELAY: time::Duration = time::Duration::from_millis(120);

/// Interval at which a test checks the simulated instances.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

fn held(play: &play::Play, id: &str) -> u64 {
    play.stage.world.borrow_mut().at(id).held
}

// Gives the promoter lease to another holder.
async fn lose_seat(play: &play::Play) {
    {
        let mut entries = play.store.at();
        let entry = entries.entry.as_mut().expect("the promoter lease is held");
        entry.value = Bytes::from_static(b"another");
        entry.lease = None;
    }
    stage::until("the promoter lease is lost", || {
        play.election.held().is_none()
    })
    .await;
}

// Replaces the unreachable `a`, and makes this node lose the promoter lease before `a` can be
// demoted. Returns the replica that is held.
async fn lose_seat_before_cleanup(play: &play::Play) -> &'static str {
    play.led(1).await;
    play.stage.world.borrow_mut().at("a").up = false;
    play.led(2).await;
    lose_seat(play).await;
    let other = if play.leader() == ["b"] { "c" } else { "b" };
    assert_eq!(held(play, other), 2);
    play.stage.world.borrow_mut().at("a").up = true;
    stage::until("the replaced primary is demoted", || {
        play.stage.world.borrow_mut().at("a").role == role::Role::Replica
    })
    .await;
    other
}

/// Guards against an old primary that keeps acknowledging writes during a promotion because a late
/// resume command of an earlier attempt releases a replica after the order.
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
        stage::until("a resume command is delayed", || {
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

/// Guards against a node that has lost the promoter lease and releases the holds of its successor.
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

/// Guards against a node that has lost the promoter lease and still releases replicas in the
/// cleanup of its promotion.
#[test]
fn cleanup_without_the_seat_releases_no_hold() {
    let play = play::play();
    play.stage.run(async {
        let other = lose_seat_before_cleanup(&play).await;
        wait::sleep(play::LONG).await;
        assert_eq!(held(&play, other), 2);
    });
}

/// Guards against replicas that stay held indefinitely because only the node that lost the promoter
/// lease would have released them.
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
                play.election.note_vacant();
            }
            stage::until("its replica is released", || held(&play, other) == 0).await;
            let holder = next.as_ref().unwrap_or(&play);
            assert!(holder.election.held().is_some());
        });
    }
}

/// Guards against a late resume command from the cleanup of one promotion that releases a hold of
/// the next one.
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
        stage::until("a resume command is delayed", || {
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

// The cleanup of a promotion to term 1, by a node that holds the promoter lease and runs no other
// promotion.
async fn cleanup_of_term_one(
    stage: &stage::Stage,
    resumes: &rc::Rc<cell::RefCell<resumes::Resumes>>,
) -> cleanup::Cleanup {
    let store = rc::Rc::new(play::Store::default());
    let election = election::Election::new(store, &"vm".into(), play::SHORTEST);
    stage
        .executor
        .spawn(rc::Rc::clone(&election).run())
        .detach();
    election.note_vacant();
    stage::until("the promoter lease is taken", || election.held().is_some()).await;
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
    cleanup::Cleanup::new(
        group,
        &intent,
        intent.term,
        election,
        rc::Rc::clone(resumes),
    )
}

/// Guards against a cleanup that releases a hold of the next promotion because that promotion
/// begins between the cleanup's status query and its resume command.
#[test]
fn cleanup_releases_no_hold_while_the_next_promotion_runs() {
    let stage = stage::Stage::new();
    stage.run(async {
        let resumes = rc::Rc::default();
        let cleanup = cleanup_of_term_one(&stage, &resumes).await;
        resumes
            .borrow_mut()
            .set_promoting(&stage::GROUP.into(), true);
        stage.world.borrow_mut().at("c").held = 1;
        let free = async move { cleanup.release().await };
        stage.executor.spawn(free).detach();
        wait::sleep(play::LONG).await;
        assert_eq!(stage.world.borrow_mut().at("c").held, 1);
        resumes
            .borrow_mut()
            .set_promoting(&stage::GROUP.into(), false);
        stage::until("the replica is released", || {
            stage.world.borrow_mut().at("c").held == 0
        })
        .await;
    });
}

/// Guards against a cleanup that releases holds for a later term.
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

/// Guards against an old primary that keeps acknowledging writes during a promotion because a
/// replica restarted after the order and lost its hold.
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

/// Guards against an old primary that keeps acknowledging writes during a promotion because a
/// replica is released while the call for the order is still unanswered.
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

/// Guards against a replica that loses its hold and is not held again because another replica does
/// not answer.
#[test]
fn a_silent_replica_delays_no_hold_of_another() {
    let world = stage::world();
    let fourth = world.borrow_mut().at("c").clone();
    world.borrow_mut().instances.insert("d".into(), fourth);
    // `b` is known to have all records, so it is the candidate.
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

/// Guards against a replica that stays held because a hold arrives only after the promotion has
/// taken effect and its cleanup has released the replicas.
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
        stage::until("a hold is delayed", || {
            !play.stage.world.borrow().late.is_empty()
        })
        .await;
        play.led(2).await;
        play.stage.world.borrow_mut().at("a").up = true;
        stage::until("the replicas are released", || {
            let told = play.stage.world.borrow_mut().at("a").role == role::Role::Replica;
            told && held(&play, other) == 0
        })
        .await;
        // `a` follows the new primary, the other replica does not know its term yet.
        play.stage.world.borrow_mut().at("a").term = 2;
        wait::sleep(play::SHORT).await;
        play.stage.world.borrow_mut().deliver();
        assert_eq!(held(&play, other), 2);
        stage::until("the replica is released", || held(&play, other) == 0).await;
    });
}

/// Guards against an order that is sent although a replica was released while the store recorded
/// the promotion.
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
