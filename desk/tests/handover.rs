//! A promoter's successor finds what its predecessor left behind.

mod play;
mod stage;

use std::cell;
use std::rc;

use mangotray::role;
use mangotray_desk::wait;

/// A world in which `a` was replaced by `b`, in term 2, while it could not be told, and
/// whose promoter ended right after. Replica `c` is still held, and `a` takes itself for
/// the primary of term 1.
fn unfinished_promotion() -> (stage::Shared, play::Store) {
    let first = play::play();
    first.stage.run(async {
        first.led(1).await;
        first.stage.world.borrow_mut().at("b").position = 12;
        first.stage.world.borrow_mut().at("a").up = false;
        stage::until("the successor leads", || {
            first.stage.world.borrow_mut().at("b").role == role::Role::Primary
        })
        .await;
    });
    // Nothing of this node runs any more. Its lease ends.
    first.store.at().entry = None;
    let world = rc::Rc::clone(&first.stage.world);
    world.borrow_mut().at("a").position = 12;
    (world, first.store.clone())
}

// Both replicas start again without their logs, and the list tells so.
fn lose_logs(world: &mut stage::World) {
    for id in ["b", "c"] {
        world.at(id).born = 2;
        world.at(id).position = 0;
    }
}

// The primary announces its end, and so many orders for its successor are lost on their way.
async fn lose_orders(play: &play::Play, count: usize) {
    play.duty.vanish.set(count);
    play.stage.world.borrow_mut().at("a").draining = true;
    play.stage.relist();
    stage::until("the order is lost", || {
        !play.duty.orders.borrow().is_empty()
    })
    .await;
}

// Whether `a` could acknowledge a write that nobody who leads later would have.
fn could_acknowledge(world: &cell::RefCell<stage::World>) -> bool {
    let mut world = world.borrow_mut();
    let leads_old_term = world.at("a").role == role::Role::Primary && world.at("a").term == 1;
    let is_up = world.at("a").up;
    let has_free_replica = world.at("c").held == 0 && world.at("c").term == 1;
    leads_old_term && is_up && has_free_replica
}

/// Symptom: forty acknowledged writes are gone, and reads miss them.
/// Events: primary `a` is cut off and replaced by `b`; the promoter is killed before `a` is
/// told; `b` crashes, and `a` can be reached again. The next promoter finds `c` held and
/// goes on with the promotion, but `b` does not answer. It gives up and frees `c`; `a`
/// acknowledges writes with the receipt of `c`. `b` comes back, leads its later term, and
/// those writes are gone.
/// Cause: a promoter that gave up freed replicas whoever had held them. Its log said so:
/// `promotion given up` with `answers 1` of `expected 2`, and `instance told c Resume` right
/// after, while another promoter's `promotion over b leads true` stood before both.
#[test]
fn a_promoter_that_gives_up_keeps_the_holds_of_its_predecessor() {
    let (world, store) = unfinished_promotion();
    world.borrow_mut().at("b").up = false;
    world.borrow_mut().at("a").up = true;
    let second = play::play_with(stage::Stage::of(rc::Rc::clone(&world)), store);
    second.stage.run(async {
        let told = || {
            assert!(!could_acknowledge(&world), "a hold was ended too early");
            world.borrow_mut().at("a").term > 1
                || world.borrow_mut().at("a").role == role::Role::Replica
        };
        stage::until("the replaced primary is told", told).await;
        // One of those that answer takes over from the one that crashed.
        second.led(3).await;
    });
    assert_ne!(second.leader(), ["b"]);
}

/// Symptom: no write is served any more, though a primary leads.
/// Events: as above, but `b` goes on leading; `c` is held for a term above that of `b`, by a
/// promoter that ended before it ordered anything, and `a` does not answer.
/// Cause: the next promoter wanted to finish that promotion, which needs an answer of all, and
/// began anew every four seconds: `replacing the primary ... Unfinished`, `promotion given up`.
/// Nobody told the first primary that it leads no more, as whoever had replaced it was gone.
#[test]
fn a_leading_primary_is_kept_and_its_predecessor_is_demoted() {
    let (world, store) = unfinished_promotion();
    world.borrow_mut().at("c").held = 3;
    let second = play::play_with(stage::Stage::of(rc::Rc::clone(&world)), store);
    second.stage.run(async {
        stage::until("its replica receives again", || {
            world.borrow_mut().at("c").held == 0
        })
        .await;
        second.led(2).await;
        world.borrow_mut().at("c").term = 2;
        world.borrow_mut().at("a").up = true;
        stage::until("the replaced primary is told", || {
            world.borrow_mut().at("a").role == role::Role::Replica
        })
        .await;
    });
    assert_eq!(second.leader(), ["b"]);
    assert!(second.duty.orders.borrow().is_empty());
}

/// Symptom: a group has no primary for ever, and its callers wait each time until they are refused.
/// Events: one replica alone receives some records and starts again without them; the primary
/// starts again too, empty and as a replica, as all nodes know.
/// Cause: a primary that may come back with its log was waited for. It had come back, without it:
/// `no replica has all that one had received before it started again` every second.
#[test]
fn a_promotion_is_held_back_only_while_an_instance_may_have_the_records() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.stage.settled().await;
        {
            let mut world = play.stage.world.borrow_mut();
            world.at("a").up = false;
            lose_logs(&mut world);
        }
        play.stage.relist();
        wait::sleep(2 * play::LONG).await;
        assert!(play.duty.orders.borrow().is_empty());
        {
            let mut world = play.stage.world.borrow_mut();
            let first = world.at("a");
            first.up = true;
            first.role = role::Role::Replica;
            first.position = 0;
            first.born = 2;
        }
        play.stage.relist();
        play.led(2).await;
    });
    assert_eq!(play.leader().len(), 1);
}

/// Symptom: hundreds of acknowledged writes are gone, though an instance had them all the time.
/// Events: both replicas start again without their logs; the primary, which has gone over to
/// being a replica, still has its own.
/// Cause: the one that is replaced was never a candidate.
#[test]
fn a_replaced_primary_that_alone_has_the_records_leads_again() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        let group = play.stage.settled().await;
        {
            let mut world = play.stage.world.borrow_mut();
            world.at("a").role = role::Role::Replica;
            lose_logs(&mut world);
        }
        play.stage.relist();
        group.doubt(1, "test");
        play.led(2).await;
    });
    assert_eq!(play.leader(), ["a"]);
}

/// Symptom: four hundred acknowledged writes are lost: all of the group's log.
/// Events: a primary announces its end; the order for its successor is lost on the way, and
/// then the store is away for ten seconds. Meanwhile all three instances start again empty, one
/// after the other, and none receives anything from another.
/// Cause: the primary was told that it leads no more although nobody knew of a successor:
/// `promotion ordered ... Unknown`, `instance told i-a Demote`, `promotion over ... leads false`.
#[test]
fn a_running_primary_is_demoted_only_once_its_successor_may_lead() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        lose_orders(&play, 1).await;
        play.store.at().down = true;
        wait::sleep(play::LONG).await;
        assert_eq!(
            play.stage.world.borrow_mut().at("a").role,
            role::Role::Primary
        );
        play.store.at().down = false;
        play.seat.store_is_back();
        play.led(2).await;
        stage::until("the replaced primary is told", || {
            play.stage.world.borrow_mut().at("a").role == role::Role::Replica
        })
        .await;
    });
}

/// Symptom: a group has no primary for ever, though one leads with all records.
/// Events: as above; the candidate of the lost order starts again without its log, and so does
/// the other replica; the holder ends.
/// Cause: an order that might take effect late was waited for, for ever, though the process that
/// it named is gone.
#[test]
fn an_order_for_a_process_that_is_gone_is_dropped() {
    let first = play::play();
    let world = rc::Rc::clone(&first.stage.world);
    first.stage.run(async {
        first.led(1).await;
        lose_orders(&first, usize::MAX).await;
    });
    first.store.at().entry = None;
    {
        let mut world = world.borrow_mut();
        world.at("a").draining = false;
        lose_logs(&mut world);
    }
    let second = play::play_with(stage::Stage::of(rc::Rc::clone(&world)), first.store.clone());
    second.stage.run(async {
        stage::until("the replicas receive again", || {
            let mut world = world.borrow_mut();
            world.at("b").held == 0 && world.at("c").held == 0
        })
        .await;
        second.led(1).await;
    });
    assert_eq!(second.leader(), ["a"]);
}

/// Symptom: a group takes no writes for as long as nobody can be promoted, though its primary lives.
/// Events: a primary announces its end; the order for its successor is lost, and so are all that
/// follow.
/// Cause: an order that might take effect late kept the replicas held, however late it was.
#[test]
fn a_running_primary_continues_once_a_lost_order_has_timed_out() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        lose_orders(&play, 1).await;
        play.duty.refuse.set(true);
        play.stage.world.borrow_mut().at("a").draining = false;
        play.stage.relist();
        stage::until("the replicas receive again", || {
            let mut world = play.stage.world.borrow_mut();
            world.at("b").held == 0 && world.at("c").held == 0
        })
        .await;
        play.led(1).await;
    });
    assert_eq!(play.leader(), ["a"]);
}

/// Guards against a primary that is dismissed for a candidate that has never led, by a holder that cannot order
/// anybody.
#[test]
fn a_primary_is_dismissed_only_by_a_holder_that_can_order() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        lose_orders(&play, usize::MAX).await;
        let candidate = play.duty.orders.borrow()[0].candidate.clone();
        {
            let mut world = play.stage.world.borrow_mut();
            world.at("a").draining = false;
            world.at(&candidate).up = false;
        }
        play.stage.relist();
        play.store.at().down = true;
        for _ in 0..40 {
            wait::sleep(play::LONG / 20).await;
            assert_eq!(play.leader(), ["a"]);
        }
        play.store.at().down = false;
        play.duty.vanish.set(0);
        play.led(2).await;
    });
}

/// Guards against a group without a primary for as long as replicas are held for a term that nobody leads.
#[test]
fn a_promotion_that_takes_effect_in_an_earlier_term_than_replicas_were_held_for_comes_to_its_end() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.duty.ignore.set(1);
        play.stage.world.borrow_mut().at("a").up = false;
        // The candidate ends before it leads, and the replaced primary has given up.
        let play::Ordered { candidate, other } = play.ordered().await;
        {
            let mut world = play.stage.world.borrow_mut();
            world.at(&candidate).up = false;
            world.at("a").up = true;
            world.at("a").role = role::Role::Replica;
        }
        stage::until("another is promoted", || play.leader().len() == 1).await;
        // The promotion ends all holds as it takes effect.
        let leader = play.leader().remove(0);
        let follower = if leader == "a" { other } else { "a" };
        {
            let mut world = play.stage.world.borrow_mut();
            assert_eq!(world.at(&leader).term, 2);
            world.at(follower).held = 0;
            world.at(follower).term = 2;
        }
        wait::sleep(play::LONG).await;
        assert_eq!(play.stage.world.borrow_mut().at(follower).held, 0);
        let group = play.stage.node.group(&stage::GROUP.into());
        assert_eq!(group.lead().map(|lead| lead.term), Some(2));
        let recorded = play.seat.intent(&stage::GROUP.into());
        assert_eq!(recorded.map(|intent| intent.term), Some(2));
    });
}
