//! A replica that starts again without its log right before the primary is lost.

mod play;
mod stage;

use mangotray_desk::boot;
use mangotray_desk::sampler;
use mangotray_desk::wait;

// The replica `c` alone has received and confirmed two records, and starts again without its log; the
// primary is lost at once.
fn lose_log_and_primary(play: &play::Play) {
    {
        let mut world = play.stage.world.borrow_mut();
        world.at("a").position = 12;
        let replica = world.at("c");
        replica.position = 0;
        replica.born = 2;
        replica.held = 0;
    }
    play.stage.relist();
    play.stage.world.borrow_mut().at("a").up = false;
}

/// Guards against commits that a replica confirmed after it was last looked at, and lost as it started again.
#[test]
fn a_replica_that_lost_its_log_holds_a_promotion_back_while_the_primary_may_return() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.stage.settled().await;
        lose_log_and_primary(&play);
        wait::sleep(2 * play::LONG).await;
        assert!(play.duty.orders.borrow().is_empty());
        play.stage.world.borrow_mut().at("a").up = true;
        stage::until("the primary finds free replicas", || {
            let mut world = play.stage.world.borrow_mut();
            world.at("b").held == 0 && world.at("c").held == 0
        })
        .await;
        play.led(1).await;
    });
    assert_eq!(play.leader(), ["a"]);
}

/// Guards against a group without a primary for as long as records are missed that nobody has.
#[test]
fn a_replica_that_lost_its_log_holds_nothing_back_once_the_primary_is_gone() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        play.stage.settled().await;
        lose_log_and_primary(&play);
        wait::sleep(play::LONG).await;
        play.stage.world.borrow_mut().at("a").listed = false;
        play.stage.relist();
        play.led(2).await;
    });
    assert_eq!(play.leader(), ["b"]);
}

/// Guards against a promotion that is held back although the other replica has all that the primary had
/// after the loss.
#[test]
fn a_replica_that_lost_its_log_holds_nothing_back_once_the_primary_was_seen_after_it() {
    let play = play::play();
    play.stage.run(async {
        play.led(1).await;
        let group = play.stage.settled().await;
        {
            let mut world = play.stage.world.borrow_mut();
            world.at("c").position = 0;
            world.at("c").born = 2;
        }
        play.stage.relist();
        assert!(group.prove(boot::now() + stage::LIMIT).await.is_some());
        let pools = group.roster().pools();
        group.look_at(&pools, sampler::LOOK_LIMIT).await;
        play.stage.world.borrow_mut().at("a").up = false;
        play.led(2).await;
    });
    assert_eq!(play.leader(), ["b"]);
}
