//! A primary without replicas changes places only where that can help.

mod play;
mod stage;

use mangotray_desk::wait;

use play::LONG;
use play::Play;
use play::play;
use play::play_on;

/// Records that the primary takes and no replica receives.
fn stall(play: &Play) {
    play.stage.world.borrow_mut().at("a").position = 20;
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

/// Guards against primaries that change places every second, as whoever takes over has no replica either.
#[test]
fn a_stall_that_a_change_of_places_does_not_end_is_not_answered_with_the_next_at_once() {
    let play = play();
    play.stage.run(async {
        play.led(1).await;
        stall(&play);
        play.led(2).await;
        wait::sleep(2 * LONG).await;
    });
    assert_eq!(play.duty.orders.borrow().len(), 1);
}

/// Guards against a promotion of the only replica, which has none itself while the old primary is out of reach.
#[test]
fn a_stalled_primary_with_one_replica_goes_on() {
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
