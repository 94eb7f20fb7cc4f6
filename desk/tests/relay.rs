//! Relayed connections.

mod cluster;

use std::rc;
use std::time;

use mangotray_desk::boot;
use mangotray_desk::lending::relay;
use mangotray_desk::organisation;
use mangotray_desk::urgency;
use mangotray_desk::wait;

const SHORT: time::Duration = time::Duration::from_millis(40);
const LONG: time::Duration = time::Duration::from_secs(5);

/// Guards against an overloaded primary that runs reads whose callers were refused long before, and
/// serves a third of its capacity. A relayed statement waited for a permit at the relaying node
/// while its sender gave up and asked another node. The relaying node did not know the sender's
/// deadline and kept the statement for thirty seconds.
#[test]
fn a_statement_whose_sender_has_given_up_is_not_run() {
    let cluster = cluster::Cluster::new();
    let pool = cluster.pool(3, 1);
    cluster.run(async {
        let mut first = relay::Session::new(rc::Rc::clone(&pool), organisation::OWN);
        let mut second = relay::Session::new(pool, organisation::OWN);
        first.open().await.expect("a reachable instance");
        cluster.world.borrow_mut().stalled = true;
        let busy = cluster.executor.spawn(async move {
            let urgency = urgency::Urgency::immediate(boot::now() + LONG);
            first
                .run(&cluster::read("first"), urgency, &organisation::OWN)
                .await
        });
        wait::sleep(SHORT).await;
        let urgency = urgency::Urgency::immediate(boot::now() + SHORT);
        let waiting = wait::within(
            LONG,
            second.run(&cluster::read("second"), urgency, &organisation::OWN),
        )
        .await;
        let failure = waiting.expect("an answer").expect_err("a refusal");
        assert!(!failure.sent, "{failure:?}");
        cluster.world.borrow_mut().stalled = false;
        busy.await.expect("an answer");
        wait::sleep(SHORT).await;
        let ran = cluster.world.borrow().ran.clone();
        assert!(ran.iter().all(|ran| ran.id == "first"), "{ran:?}");
    });
}

/// Guards against a node that refuses all statements for an instance for half a minute while the
/// instance answers other nodes. Some answers were lost in transit, and each of these statements
/// kept its permit at the relaying node, which runs only a few statements on an instance at once:
/// it waited for the answers long after the sender had given up.
#[test]
fn a_lost_answer_does_not_keep_its_permit() {
    let cluster = cluster::Cluster::new();
    let pool = cluster.pool(3, 1);
    cluster.run(async {
        let mut session = relay::Session::new(pool, organisation::OWN);
        session.open().await.expect("a reachable instance");
        cluster.world.borrow_mut().stalled = true;
        let urgency = urgency::Urgency::immediate(boot::now() + SHORT);
        let run = wait::within(
            LONG,
            session.run(&cluster::read("lost"), urgency, &organisation::OWN),
        )
        .await;
        let failure = run.expect("an answer").expect_err("a failure");
        assert!(failure.sent, "{failure:?}");
    });
}

/// Guards against a batch that is reported as not run although a part of it has run. The first of
/// two commands in one message succeeded; then the instance exited, and no connection was left for
/// the second one. Only the second command's failure was reported.
#[test]
fn a_batch_that_has_begun_is_not_reported_as_unsent() {
    let cluster = cluster::Cluster::new();
    let pool = cluster.pool(3, 1);
    cluster.run(async {
        let mut session = relay::Session::new(pool, organisation::OWN);
        let until = boot::now() + SHORT;
        let batch = [cluster::read("one"), cluster::read("two")].concat();
        session.open().await.expect("a reachable instance");
        cluster.world.borrow_mut().die_after = Some(1);
        let result = session
            .run(
                &batch,
                urgency::Urgency::immediate(until),
                &organisation::OWN,
            )
            .await;
        let failure = result.expect_err("a failure");
        assert_eq!(cluster.world.borrow().ran.len(), 1);
        assert!(failure.sent, "{failure:?}");
    });
}
