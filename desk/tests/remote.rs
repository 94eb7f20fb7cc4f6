//! Connections through another node that is busy or has failed.

mod cluster;
mod setup;

use std::net;
use std::rc;
use std::time;

use assert_matches::assert_matches;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::stamp;
use mangotray_desk::boot;
use mangotray_desk::connection;
use mangotray_desk::lending::relay;
use mangotray_desk::lending::remote;
use mangotray_desk::lifecycle;
use mangotray_desk::message;
use mangotray_desk::organisation;
use mangotray_desk::phase;
use mangotray_desk::pool;
use mangotray_desk::room::size;
use mangotray_desk::shutdown;
use mangotray_desk::upstream;
use mangotray_desk::urgency;
use mangotray_desk::wait;
use setup::lending::address;
use setup::lending::listen;
use setup::lending::target;

/// Test timeout, far above any wait on a working connection.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Deadline of statements, too long to be reached in a test.
const LONG_DEADLINE: time::Duration = time::Duration::from_mins(10);

/// Longer than a relaying node takes to send the first heartbeat.
const SEVERAL_HEARTBEATS: time::Duration = time::Duration::from_millis(300);

/// Starts a node that relays to the primary of the cluster, and returns its address.
async fn start_relay(cluster: &cluster::Cluster) -> net::SocketAddr {
    start_relay_with(cluster, &rc::Rc::default()).await
}

async fn start_relay_with(
    cluster: &cluster::Cluster,
    lifecycle: &rc::Rc<lifecycle::Lifecycle>,
) -> net::SocketAddr {
    let address = address();
    let pool = cluster.pool(3, 3);
    let pool = move |_: &upstream::Target| rc::Rc::clone(&pool);
    setup::lending::lend(&cluster.executor, address, pool, lifecycle).await;
    address
}

/// Dials instances only through the node at an address.
struct ThroughNode(net::SocketAddr);

impl upstream::Dialer for ThroughNode {
    fn dial<'a>(
        &'a self,
        target: &'a upstream::Target,
    ) -> future::LocalBoxFuture<'a, Result<upstream::Dialled, upstream::Refusal>> {
        async move {
            let dialled = remote::dial(self.0, target, None, None).await;
            dialled.unwrap_or(Err(upstream::Refusal::Closed))
        }
        .boxed_local()
    }

    fn status(&self, _reply: &mangotray_desk::reply::Reply) -> Option<upstream::Status> {
        None
    }
}

/// Guards against a busy relaying node that is taken for failed, by checking that it sends
/// heartbeats while a statement runs.
#[test]
fn a_relaying_node_sends_heartbeats_while_a_statement_runs() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let address = start_relay(&cluster).await;
        let dialled = remote::dial(address, &target(&cluster), None, None).await;
        let (mut link, _) = dialled.expect("a node").expect("a connection");
        let pulse = link.heartbeat().expect("a pulse");
        cluster.world.borrow_mut().stalled = true;
        let sent = boot::now();
        let run = cluster.executor.spawn(async move {
            let urgency = urgency::Urgency::immediate(boot::now() + LONG_DEADLINE);
            link.run(&cluster::read("one"), urgency, &organisation::OWN)
                .await
        });
        cluster::until("a heartbeat", || pulse.get() > sent).await;
        cluster.world.borrow_mut().stalled = false;
        assert!(run.await.is_ok());
    });
}

/// Guards against a read that waits for half of its timeout on a broken connection: the other node
/// accepts the connection and then neither answers nor sends heartbeats.
#[test]
fn a_read_on_a_broken_connection_is_given_up_soon() {
    let cluster = cluster::Cluster::new();
    let address = address();
    let listener = listen(address);
    let unresponsive = async move {
        let mut silent = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let target: Result<upstream::Target, _> = message::receive(&mut stream).await;
            let opened: relay::Opened = Ok(Some(stamp::Stamp::default()));
            if target.is_ok() && message::send(&mut stream, &opened).await.is_ok() {
                silent.push(stream);
            }
        }
    };
    cluster.executor.spawn(unresponsive).detach();
    let instance = cluster.world.borrow().list().remove(0);
    let pool = rc::Rc::new(pool::Pool::new(
        instance,
        rc::Rc::new(ThroughNode(address)),
        rc::Rc::clone(&cluster.executor),
        size::Size::shared(),
    ));
    cluster.run(async {
        let urgency = urgency::Urgency::immediate(boot::now() + LONG_DEADLINE);
        let (values, own) = (connection::Values::new(), organisation::OWN);
        let pending = pool.check_out(urgency, &own, &values, boot::now() + TEST_TIMEOUT);
        let mut checkout = pending.await.expect("a connection");
        let read = cluster::read("one");
        let run = checkout.run_unless_silent(&read, boot::now() + LONG_DEADLINE);
        let failure = wait::within(TEST_TIMEOUT, run)
            .await
            .expect("given up in time");
        assert!(failure.expect_err("nobody answers").sent);
    });
}

/// Request of nodes of an earlier version, without the trailing byte that asks for heartbeats.
#[derive(serde::Serialize)]
struct Work {
    urgency: urgency::Urgency,
    organisation: organisation::Name,
    commands: Vec<upstream::Command>,
}

/// Guards against heartbeats to nodes of an earlier version, which take them for malformed answers
/// during a rolling upgrade.
#[test]
fn a_node_that_does_not_know_heartbeats_gets_none() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let address = start_relay(&cluster).await;
        let mut stream = async_net::TcpStream::connect(address)
            .await
            .expect("a connection to the node");
        message::send(&mut stream, &target(&cluster))
            .await
            .expect("a connection to the node");
        let opened: relay::Opened = message::receive(&mut stream).await.expect("an answer");
        opened.expect("a connection");
        cluster.world.borrow_mut().stalled = true;
        let work = Work {
            urgency: urgency::Urgency::immediate(boot::now() + LONG_DEADLINE).to_remaining(),
            organisation: organisation::OWN,
            commands: cluster::read("one"),
        };
        message::send(&mut stream, &work)
            .await
            .expect("a connection to the node");
        wait::sleep(SEVERAL_HEARTBEATS).await;
        cluster.world.borrow_mut().stalled = false;
        let answer: relay::Answer = message::receive(&mut stream).await.expect("an answer");
        assert!(answer.is_ok());
    });
}

/// Begins a stop that was requested `ago` and has a grace period of so many seconds.
fn stop(lifecycle: &lifecycle::Lifecycle, ago: time::Duration, grace_seconds: u64) {
    let requested = boot::now().saturating_sub(ago);
    let grace = time::Duration::from_secs(grace_seconds);
    lifecycle.begin(shutdown::Shutdown::new(requested, grace));
}

/// Begins a stop in which idle sessions are closed and transactions have an hour left.
fn close(lifecycle: &lifecycle::Lifecycle) {
    stop(lifecycle, time::Duration::from_millis(2300), 3600);
    assert_eq!(lifecycle.phase(), phase::Phase::Closing);
}

/// Guards against writes whose callers are told that their outcome is unknown because the node that
/// relayed them has stopped: it relayed until its process exited.
#[test]
fn a_stopping_node_refuses_relayed_statements_as_not_run() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let lifecycle = rc::Rc::default();
        let address = start_relay_with(&cluster, &lifecycle).await;
        let dialled = remote::dial(address, &target(&cluster), None, None).await;
        let (mut link, _) = dialled.expect("a node").expect("a connection");
        let mut run = async |id: &str| {
            let urgency = urgency::Urgency::immediate(boot::now() + LONG_DEADLINE);
            link.run(&cluster::read(id), urgency, &organisation::OWN)
                .await
        };
        assert!(run("one").await.is_ok());
        stop(&lifecycle, time::Duration::ZERO, 3600);
        let new = remote::dial(address, &target(&cluster), None, None).await;
        let refusal = new.expect("a node").err();
        assert_matches!(refusal, Some(upstream::Refusal::Silent(_)));
        close(&lifecycle);
        let failure = run("two").await.expect_err("a refusal");
        assert!(!failure.sent, "{failure:?}");
    });
    let world = cluster.world.borrow();
    assert!(world.ran.iter().all(|ran| ran.id != "two"));
}

/// Guards against transactions that are rolled back as soon as the node that relays them stops, and
/// against a commit that it takes so late that its outcome is unknown.
#[test]
fn a_relayed_transaction_goes_on_until_its_node_starts_nothing_more() {
    let cluster = cluster::Cluster::new();
    cluster.run(async {
        let lifecycle = rc::Rc::default();
        let address = start_relay_with(&cluster, &lifecycle).await;
        let dialled = remote::dial(address, &target(&cluster), None, None).await;
        let (mut link, _) = dialled.expect("a node").expect("a connection");
        let mut run = async |command: upstream::Command| {
            let urgency = urgency::Urgency::immediate(boot::now() + LONG_DEADLINE);
            link.run(&[command], urgency, &organisation::OWN).await
        };
        let begin = upstream::Command::Begin {
            id: "begin".into(),
            read_only: false,
            after: None,
        };
        let statement = |id: &str, text: &str| upstream::Command::Run {
            id: id.into(),
            text: text.into(),
            after: None,
        };
        run(begin).await.expect("an answer");
        close(&lifecycle);
        run(statement("one", "WRITE x 1")).await.expect("an answer");
        stop(&lifecycle, time::Duration::from_millis(4300), 6);
        let failure = run(statement("two", "COMMIT")).await;
        assert!(!failure.expect_err("a refusal").sent);
    });
    let world = cluster.world.borrow();
    assert!(world.ran.iter().all(|ran| ran.id != "two"));
}
