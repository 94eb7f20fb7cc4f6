//! Connections that a node lends to others.

mod stage;

use std::rc;
use std::time;

use mangotray_desk::boot;
use mangotray_desk::organisation;
use mangotray_desk::relay;
use mangotray_desk::urgency;
use mangotray_desk::wait;

const SHORT: time::Duration = time::Duration::from_millis(40);
const LONG: time::Duration = time::Duration::from_secs(5);

/// Symptom: an overloaded primary runs reads whose callers were refused long before, and
/// serves a third of what it could.
/// Events: a relayed statement waits for its turn at the lending node; its sender gives up
/// and asks elsewhere; the turn comes.
/// Cause: the lending node knew nothing of the sender's limit and kept the statement for
/// thirty seconds.
#[test]
fn a_statement_that_nobody_awaits_any_more_is_not_run() {
    let stage = stage::Stage::new();
    let pool = stage.pool(3, 1);
    stage.run(async {
        let mut first = relay::Session::new(rc::Rc::clone(&pool), organisation::OWN);
        let mut second = relay::Session::new(pool, organisation::OWN);
        first.open().await.expect("an instance in reach");
        stage.world.borrow_mut().stalled = true;
        let busy = stage.executor.spawn(async move {
            let urgency = urgency::Urgency::immediate(boot::now() + LONG);
            first
                .run(&stage::read("first"), urgency, &organisation::OWN)
                .await
        });
        wait::sleep(SHORT).await;
        let urgency = urgency::Urgency::immediate(boot::now() + SHORT);
        let waiting = wait::within(
            LONG,
            second.run(&stage::read("second"), urgency, &organisation::OWN),
        )
        .await;
        let failure = waiting.expect("an answer").expect_err("a refusal");
        assert!(!failure.sent, "{failure:?}");
        stage.world.borrow_mut().stalled = false;
        busy.await.expect("an answer");
        wait::sleep(SHORT).await;
        let ran = stage.world.borrow().ran.clone();
        assert!(ran.iter().all(|ran| ran.id == "first"), "{ran:?}");
    });
}

/// Symptom: a node refuses all statements for an instance for half a minute, while the
/// instance answers everybody else.
/// Events: some answers are lost on their way; each statement keeps its turn at the
/// lending node, which lets an instance work on a few at once.
/// Cause: the lending node waited for an answer long after the sender had given up.
#[test]
fn a_lost_answer_does_not_keep_its_turn() {
    let stage = stage::Stage::new();
    let pool = stage.pool(3, 1);
    stage.run(async {
        let mut session = relay::Session::new(pool, organisation::OWN);
        session.open().await.expect("an instance in reach");
        stage.world.borrow_mut().stalled = true;
        let urgency = urgency::Urgency::immediate(boot::now() + SHORT);
        let run = wait::within(
            LONG,
            session.run(&stage::read("lost"), urgency, &organisation::OWN),
        )
        .await;
        let failure = run.expect("an answer").expect_err("a failure");
        assert!(failure.sent, "{failure:?}");
    });
}

/// Symptom: a promise that nothing ran is given for a batch of which a part has run.
/// Events: of two commands in one message the first is done; then the instance ends, and
/// no connection is left for the second.
/// Cause: only the last command's failure was reported.
#[test]
fn a_batch_that_has_begun_is_not_reported_as_unsent() {
    let stage = stage::Stage::new();
    let pool = stage.pool(3, 1);
    stage.run(async {
        let mut session = relay::Session::new(pool, organisation::OWN);
        let until = boot::now() + SHORT;
        let batch = [stage::read("one"), stage::read("two")].concat();
        session.open().await.expect("an instance in reach");
        stage.world.borrow_mut().die_after = Some(1);
        let result = session
            .run(
                &batch,
                urgency::Urgency::immediate(until),
                &organisation::OWN,
            )
            .await;
        let failure = result.expect_err("a failure");
        assert_eq!(stage.world.borrow().ran.len(), 1);
        assert!(failure.sent, "{failure:?}");
    });
}
