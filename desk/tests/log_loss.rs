//! A replica that restarts without its log right before the primary fails.

mod play;
mod stage;

use mangotray_desk::boot;
use mangotray_desk::status;
use mangotray_desk::wait;

// Only the replica `c` has received and confirmed two records. It restarts without its log, and the
// primary fails at once.
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

/// Guards against the loss of commits that a replica confirmed after its last probe, before it
/// restarted without its log.
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
        stage::until("the replicas are released", || {
            let mut world = play.stage.world.borrow_mut();
            world.at("b").held == 0 && world.at("c").held == 0
        })
        .await;
        play.led(1).await;
    });
    assert_eq!(play.leader(), ["a"]);
}

/// Guards against a group that stays without a primary while it waits for records that no instance
/// has.
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

/// Guards against a promotion that is held back although the primary was probed after the loss and
/// the other replica has everything that it had.
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
        group.query_status(&pools, status::TIMEOUT).await;
        play.stage.world.borrow_mut().at("a").up = false;
        play.led(2).await;
    });
    assert_eq!(play.leader(), ["b"]);
}
