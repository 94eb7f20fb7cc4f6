//! A pending order whose candidate lacks records that another replica has.

mod play;
mod stage;

use mangotray_desk::wait;

/// Guards against records that a held replica has reported and that the candidate ordered first
/// lacks.
#[test]
fn a_candidate_that_lacks_what_a_held_replica_has_is_replaced_after_a_wait() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.duty.ignore.set(1);
        play.stage.world.borrow_mut().at("a").up = false;
        let other = play.ordered().await.other;
        // It went on receiving until it was held again.
        play.stage.world.borrow_mut().at(other).ahead = 5;
        stage::until("the replicas are held again", || {
            play.stage.world.borrow_mut().at(other).ahead == 0
        })
        .await;
        wait::sleep(play::LONG).await;
        // The first order may still take effect, so no other candidate is ordered.
        assert_eq!(play.duty.orders.borrow().len(), 1);
        play.led(2).await;
        assert_eq!(play.leader(), [other]);
    });
}
