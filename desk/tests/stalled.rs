//! Tests that a stalled primary is replaced only if that can help, and that the replicas of a
//! running primary are not held otherwise.

mod play;
mod stage;

use std::time;

use mangotray_desk::wait;

use play::LONG;
use play::Play;
use play::play;
use play::play_on;

/// Interval at which a test checks the simulated instances.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Adds records to the primary that no replica receives.
fn stall(play: &Play) {
    play.stage.world.borrow_mut().at("a").position = 20;
}

/// Whether a replica is held at any time within `limit`.
async fn is_held_within(play: &Play, id: &str, limit: time::Duration) -> bool {
    let held = async {
        while play.stage.world.borrow_mut().at(id).held == 0 {
            wait::sleep(POLL_INTERVAL).await;
        }
    };
    wait::within(limit, held).await.is_some()
}

#[test]
fn a_stalled_primary_with_two_replicas_is_replaced() {
    let play = play();
    play.stage.run(async {
        play.led(1).await;
        stall(&play);
        play.led(2).await;
    });
    assert_ne!(play.leader(), ["a"]);
}

/// Guards against a promotion every second because each new primary has no replica either.
#[test]
fn a_stall_that_outlasts_a_promotion_triggers_no_second_one_at_once() {
    let play = play();
    play.stage.run(async {
        play.led(1).await;
        stall(&play);
        play.led(2).await;
        wait::sleep(2 * LONG).await;
    });
    assert_eq!(play.duty.orders.borrow().len(), 1);
}

/// Guards against a promotion of the only replica, which itself has no replica while it cannot
/// reach the old primary.
#[test]
fn a_stalled_primary_with_one_replica_is_kept() {
    let world = stage::world();
    world.borrow_mut().instances.remove("c");
    let play = play_on(stage::Stage::of(world));
    play.stage.run(async {
        play.led(1).await;
        stall(&play);
        wait::sleep(2 * LONG).await;
    });
    assert_eq!(play.leader(), ["a"]);
    assert!(play.duty.orders.borrow().is_empty());
}

/// Guards against seconds without writes in which the replicas of a leaving primary are held
/// although one of them does not answer.
#[test]
fn replicas_of_a_leaving_primary_are_not_held_while_one_does_not_answer() {
    let play = play();
    play.stage.run(async {
        play.led(1).await;
        play.stage.world.borrow_mut().at("c").up = false;
        play.stage.world.borrow_mut().at("a").draining = true;
        play.stage.relist();
        assert!(!is_held_within(&play, "b", 2 * LONG).await);
        play.stage.world.borrow_mut().at("c").up = true;
        play.led(2).await;
    });
    assert_ne!(play.leader(), ["a"]);
}
