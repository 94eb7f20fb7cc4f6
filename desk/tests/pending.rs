//! An order that may yet take effect, for a candidate that lacks what another has.

mod play;
mod stage;

use mangotray_desk::wait;

/// Guards against records that a held replica told of and that the candidate ordered first lacks.
#[test]
fn a_candidate_that_lacks_what_a_held_replica_has_is_waited_for_and_then_left() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.duty.ignore.set(1);
        play.stage.world.borrow_mut().at("a").up = false;
        let other = play.ordered().await.other;
        // It received until it was held anew.
        play.stage.world.borrow_mut().at(other).ahead = 5;
        stage::until("the replicas are held anew", || {
            play.stage.world.borrow_mut().at(other).ahead == 0
        })
        .await;
        wait::sleep(play::LONG).await;
        // The first order may take effect: nobody else is ordered beside it.
        assert_eq!(play.duty.orders.borrow().len(), 1);
        play.led(2).await;
        assert_eq!(play.leader(), [other]);
    });
}
