//! Sessions on shared connections, and what callers are told about failures.

mod cluster;

use std::time;

use assert_matches::assert_matches;
use mangotray_desk::boot;
use mangotray_desk::deadline;
use mangotray_desk::organisation;
use mangotray_desk::reply;
use mangotray_desk::upstream;
use mangotray_desk::urgency;
use mangotray_desk::wait;

#[test]
fn values_of_one_session_never_reach_another() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let mut one = cluster.session("own");
        let mut other = cluster.session("own");
        one.handle(&cluster::request("SET colour red")).await;
        for text in ["WRITE x 1", "READ x"] {
            assert!(one.handle(&cluster::request(text)).await.is_done());
        }
        for text in ["WRITE y 1", "READ y"] {
            assert!(other.handle(&cluster::request(text)).await.is_done());
        }
    });
    let world = cluster.world.borrow();
    for ran in &world.ran {
        let coloured = ran.values.contains_key("colour");
        assert_eq!(coloured, ran.text.contains('x'), "{ran:?}");
    }
}

/// Guards against a statement that runs with other session values than its caller set. An instance
/// fails the command that sets a session's value, and runs the statement sent after it. The
/// statement was sent without waiting for the value to be set.
#[test]
fn a_statement_waits_until_its_values_are_set() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        cluster.world.borrow_mut().fail_sets = 2;
        let mut session = cluster.session("own");
        session.handle(&cluster::request("SET colour red")).await;
        for text in ["READ x", "WRITE x 1", "READ x"] {
            session.handle(&cluster::request(text)).await;
        }
    });
    let world = cluster.world.borrow();
    assert!(!world.ran.is_empty());
    for ran in &world.ran {
        assert_eq!(ran.values.len(), 1, "{ran:?}");
    }
}

/// Guards against a prepared statement that is unknown although its preparation was acknowledged.
/// An instance fails the command that prepares it; the connection counted it as prepared, and each
/// later transaction on the connection was told that there is no such statement.
#[test]
fn a_statement_counts_as_prepared_only_once_the_instance_has_confirmed_it() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let mut session = cluster.session("current");
        session
            .handle(&cluster::request("PREPARE p WRITE seats"))
            .await;
        cluster.world.borrow_mut().fail_prepares = 1;
        session.handle(&cluster::request("BEGIN")).await;
        let reply = session.handle(&cluster::request("EXEC p 1")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Aborted));
        session.handle(&cluster::request("ROLLBACK")).await;
        session.handle(&cluster::request("BEGIN")).await;
        assert!(
            session
                .handle(&cluster::request("EXEC p 2"))
                .await
                .is_done()
        );
        assert!(session.handle(&cluster::request("COMMIT")).await.is_done());
    });
}

/// Guards against a write that is told that there is no such statement, while the instance fails
/// each command that prepares it.
#[test]
fn a_write_is_not_told_that_its_prepared_statement_is_unknown() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let mut session = cluster.session("current");
        session
            .handle(&cluster::request("PREPARE p WRITE seats"))
            .await;
        cluster.world.borrow_mut().fail_prepares = usize::MAX;
        let reply = session.handle(&cluster::request("EXEC p 1")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Busy));
        cluster.world.borrow_mut().fail_prepares = 0;
        assert!(
            session
                .handle(&cluster::request("EXEC p 2"))
                .await
                .is_done()
        );
    });
}

#[test]
fn equal_statement_names_are_separate_in_each_session() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let mut one = cluster.session("current");
        let mut other = cluster.session("current");
        one.handle(&cluster::request("PREPARE p WRITE seats")).await;
        other
            .handle(&cluster::request("PREPARE p WRITE slots"))
            .await;
        assert!(one.handle(&cluster::request("EXEC p 1")).await.is_done());
        assert!(other.handle(&cluster::request("EXEC p 2")).await.is_done());
        one.handle(&cluster::request("FORGET p")).await;
        let reply = one.handle(&cluster::request("EXEC p 3")).await;
        assert_eq!(reply.code(), Some(&reply::Code::NoStatement));
    });
    let texts = cluster.world.borrow().texts("a");
    assert_eq!(texts, ["WRITE 1 AS seats", "WRITE 2 AS slots"]);
}

#[test]
fn a_transaction_keeps_its_connection_to_itself() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let mut one = cluster.session("current");
        let mut other = cluster.session("current");
        one.handle(&cluster::request("BEGIN")).await;
        assert!(one.handle(&cluster::request("WRITE x 1")).await.is_done());
        assert!(other.handle(&cluster::request("WRITE y 1")).await.is_done());
        assert!(one.handle(&cluster::request("COMMIT")).await.is_done());
        assert!(other.handle(&cluster::request("WRITE y 2")).await.is_done());
    });
    let world = cluster.world.borrow();
    for ran in &world.ran {
        assert_eq!(ran.inside, !ran.text.contains('y'), "{ran:?}");
    }
}

/// Guards against a write that runs twice. Its answer is lost after it ran, and it was sent again
/// although it might have run.
#[test]
fn a_write_whose_answer_is_lost_is_not_sent_again() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        cluster.world.borrow_mut().at("a").lose_answers = 1;
        let mut session = cluster.session("current");
        let reply = session.handle(&cluster::request("WRITE x 1")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Unsure));
    });
    assert_eq!(cluster.world.borrow().texts("a"), ["WRITE x 1"]);
}

/// Guards against a committed transaction that is reported as rolled back. The COMMIT runs and its
/// answer is lost; the caller was sent a code that promises that nothing was committed.
#[test]
fn a_commit_whose_answer_is_lost_promises_nothing() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let mut session = cluster.session("current");
        for text in ["BEGIN", "WRITE x 1"] {
            assert!(session.handle(&cluster::request(text)).await.is_done());
        }
        cluster.world.borrow_mut().at("a").lose_answers = 1;
        let reply = session.handle(&cluster::request("COMMIT")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Unsure));
    });
}

#[test]
fn a_write_refused_as_not_run_is_retried() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        cluster.world.borrow_mut().at("a").refuse = 2;
        let mut session = cluster.session("current");
        assert!(
            session
                .handle(&cluster::request("WRITE x 1"))
                .await
                .is_done()
        );
    });
    assert_eq!(cluster.world.borrow().texts("a"), ["WRITE x 1"]);
}

#[test]
fn a_transaction_that_lost_its_instance_keeps_nothing_and_says_so() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let mut session = cluster.session("current");
        for text in ["BEGIN", "WRITE x 1"] {
            assert!(session.handle(&cluster::request(text)).await.is_done());
        }
        cluster.world.borrow_mut().at("a").up = false;
        let reply = session.handle(&cluster::request("WRITE x 2")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Aborted));
        assert_eq!(reply.state, reply::State::Failed);
        let reply = session.handle(&cluster::request("COMMIT")).await;
        assert_eq!(reply.code(), Some(&reply::Code::Aborted));
        assert_eq!(reply.state, reply::State::Idle);
    });
}

#[test]
fn a_session_reads_its_own_write_from_a_replica_only_once_that_has_it() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let mut session = cluster.session("own");
        let written = session.handle(&cluster::request("WRITE x 1")).await;
        assert!(written.is_done());
        let read = session.handle(&cluster::request("READ x")).await;
        assert!(read.is_done());
        assert!(read.position >= written.position);
    });
}

#[test]
fn a_transaction_that_exceeded_its_idle_timeout_has_failed() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let mut session = cluster.session("current");
        for text in ["BEGIN", "WRITE x 1"] {
            session.handle(&cluster::request(text)).await;
        }
        session.abort("idle for too long");
        let reply = session.handle(&cluster::request("COMMIT")).await;
        assert_matches!(reply.code(), Some(reply::Code::Aborted));
    });
    assert!(!cluster.world.borrow().texts("a").contains(&"COMMIT".into()));
}

/// Guards against a caller that is told nothing, or something untrue, of the transaction that a
/// stopping node has rolled back: each first request after it is told so, and none runs.
#[test]
fn a_transaction_that_the_node_rolled_back_is_told_so_once() {
    for text in ["WRITE x 2", "READ x", "COMMIT"] {
        let cluster = cluster::Cluster::new();
        cluster.run(async {
            let mut session = cluster.session("current");
            for text in ["BEGIN", "WRITE x 1"] {
                session.handle(&cluster::request(text)).await;
            }
            session.abort("stopping");
            assert_eq!(session.state(), reply::State::Failed);
            let reply = session.handle(&cluster::request(text)).await;
            assert_eq!(reply.code(), Some(&reply::Code::Aborted), "{text}");
            if text == "COMMIT" {
                assert_eq!(reply.state, reply::State::Idle);
            } else {
                assert_eq!(reply.state, reply::State::Failed);
                let next = session.handle(&cluster::request("READ x")).await;
                assert_eq!(next.code(), Some(&reply::Code::Bad));
            }
        });
        assert_eq!(cluster.world.borrow().texts("a"), ["WRITE x 1"]);
    }
}

/// Guards against a refusal that is untrue: what a stopping node refuses must not run, and an open
/// transaction must keep nothing.
#[test]
fn a_refused_request_does_not_run() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let mut idle = cluster.session("current");
        let reply = idle.refuse(&cluster::request("WRITE y 1"), "stopping");
        assert_eq!(reply.code(), Some(&reply::Code::Busy));
        assert_eq!(reply.state, reply::State::Idle);
        let mut open = cluster.session("current");
        for text in ["BEGIN", "WRITE x 1"] {
            open.handle(&cluster::request(text)).await;
        }
        let reply = open.refuse(&cluster::request("COMMIT"), "stopping");
        assert_eq!(reply.code(), Some(&reply::Code::Aborted));
        assert_eq!(reply.state, reply::State::Idle);
    });
    assert_eq!(cluster.world.borrow().texts("a"), ["WRITE x 1"]);
}

/// Guards against a promise about a request that was given up while it may have run.
#[test]
fn a_request_that_is_given_up_promises_only_what_is_known() {
    let expected = [
        (&["WRITE x 1"][..], reply::Code::Unsure, reply::State::Idle),
        (&["READ x"], reply::Code::Aborted, reply::State::Idle),
        (
            &["BEGIN", "WRITE x 1", "COMMIT"],
            reply::Code::Unsure,
            reply::State::Idle,
        ),
        (
            &["BEGIN", "WRITE x 1", "WRITE x 2"],
            reply::Code::Aborted,
            reply::State::Failed,
        ),
    ];
    for (texts, code, state) in expected {
        let cluster = cluster::Cluster::new();
        cluster.run(async {
            let mut session = cluster.session("current");
            let (last, before) = texts.split_last().expect("a request");
            for text in before {
                session.handle(&cluster::request(text)).await;
            }
            let group = cluster.node.group(&cluster::GROUP.into());
            cluster::until("a primary leads", || group.leader().is_some()).await;
            cluster.world.borrow_mut().stalled = true;
            let request = cluster::request(last);
            let arrived = boot::now();
            let short = time::Duration::from_millis(50);
            assert!(
                wait::within(short, session.handle(&request))
                    .await
                    .is_none()
            );
            let reply = session.give_up(&request, arrived, "stopping");
            assert_eq!(reply.code(), Some(&code), "{texts:?}");
            assert_eq!(reply.state, state, "{texts:?}");
            assert_eq!(session.state(), state, "{texts:?}");
        });
    }
}

/// Guards against a statement that runs inside another caller's transaction. A caller leaves while
/// the next statement of its transaction waits, and the connection returned to the pool with the
/// transaction open.
#[test]
fn a_connection_with_an_open_transaction_is_never_lent_again() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        let (pool, _) = group.wait_for_primary(deadline()).await.expect("a primary");
        let values = std::collections::BTreeMap::new();
        let mut checkout = pool
            .check_out(
                urgency::Urgency::immediate(deadline()),
                &organisation::OWN,
                &values,
                deadline(),
            )
            .await
            .expect("a connection");
        let begin = upstream::Command::Begin {
            id: "BEGIN".into(),
            read_only: false,
            after: None,
        };
        checkout.run(&[begin], deadline()).await.expect("an answer");
        drop(checkout);
        let mut other = cluster.session("current");
        assert!(other.handle(&cluster::request("WRITE y 1")).await.is_done());
    });
    assert!(cluster.world.borrow().ran.iter().all(|ran| !ran.inside));
}

fn deadline() -> mangotray::id::Time {
    boot::now() + std::time::Duration::from_secs(5)
}

/// Guards against a node that keeps callers waiting although another node would serve them at once.
/// The node is cut off from all instances of a group; each request waited for most of its time, as
/// if the first connection were still being opened, and was then refused.
#[test]
fn a_group_that_is_lost_to_a_node_is_refused_at_once() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        for id in ["a", "b", "c"] {
            cluster.world.borrow_mut().at(id).up = false;
        }
        let group = cluster.node.group(&cluster::GROUP.into());
        let mut session = cluster.session("bounded");
        let lost = async {
            while !group.roster().is_unreachable() {
                session.handle(&cluster::request("READ 1")).await;
            }
        };
        wait::within(time::Duration::from_secs(20), lost)
            .await
            .expect("a lost group");
        let request = cluster::request("READ 2");
        let reply = session.handle(&request);
        // It would wait two seconds for an instance that may still connect, but only 50 ms for a
        // lost group.
        let soon = wait::within(time::Duration::from_millis(1500), reply).await;
        assert_eq!(soon.expect("a refusal").code(), Some(&reply::Code::Busy));
    });
}

/// Guards against callers that wait until they time out in a group without a primary, and retry at
/// once. The primary is lost and no replica can be promoted. Each statement waited as long as right
/// after the loss, and the refusal named no time for a retry.
#[test]
fn a_group_that_stays_without_a_primary_refuses_with_a_retry_delay() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let group = cluster.node.group(&cluster::GROUP.into());
        cluster::until("a primary leads", || group.leader().is_some()).await;
        cluster.world.borrow_mut().at("a").up = false;
        group.suspect(1, "test");
        let since = group.vacancy().since;
        cluster::until("the group has had no primary for long", || {
            deadline::is_vacant(since, boot::now())
        })
        .await;
        let mut session = cluster.session("own");
        let reply = session.handle(&cluster::request("WRITE x 1")).await;
        assert_matches!(reply.end, reply::End::Error { code: reply::Code::Busy, text }
            if text.contains("come back in"));
    });
}
