//! Sessions that use several real proxies in front of one group of stand-ins.

use std::net;
use std::time;

use mangotray::policy;
use mangotray_lab::environment;
use mangotray_lab::link;
use mangotray_lab::profile;
use mangotray_lab::ready;

/// Longest wait for an expected event; long, so that a busy machine fails no test.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Longer than a test, so that the replica does not catch up.
const REPLICA_LAG: time::Duration = time::Duration::from_mins(10);

const READ_COUNT: usize = 40;

fn profile() -> profile::Profile {
    profile::Profile {
        groups: 1,
        deadline: time::Duration::from_secs(10),
        caller_delay: time::Duration::ZERO,
        ..profile::Profile::tarapath()
    }
}

/// Starts a group and two proxies, and waits until both accept writes.
fn environment() -> environment::Environment {
    let profile = profile();
    let environment = environment::Environment::start(&environment::Options {
        program: env!("CARGO_BIN_EXE_mangotray-lab").into(),
        groups: profile.groups,
        caller_addresses: vec![net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)); 2],
        policy: policy::Policy::Default,
        profile,
    });
    let environment = environment.unwrap();
    takes_writes(&environment).unwrap();
    environment
}

fn takes_writes(environment: &environment::Environment) -> eyre::Result<()> {
    let profile = profile();
    ready::wait(
        &profile,
        &[profile.group(0)],
        &environment.caller_addresses,
        TIMEOUT,
    )
}

fn block_on<T>(task: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(task)
}

async fn open(environment: &environment::Environment, proxy: usize) -> link::Link {
    let database = profile().group(0);
    link::Link::open(
        environment.caller_addresses[proxy],
        &database,
        time::Duration::ZERO,
    )
    .await
    .unwrap()
}

async fn rows(link: &link::Link, sql: &str) -> Vec<tokio_postgres::SimpleQueryRow> {
    match link.query(sql, TIMEOUT).await.0 {
        link::Answer::Rows(rows) => rows,
        other => panic!("{sql}: {other:?}"),
    }
}

#[test]
fn session_reads_what_it_wrote_through_another_proxy() {
    // Guards against a caller that does not find its own confirmed write: the caller writes
    // through the first proxy, then through the second, and reads through the first, while one
    // replica has only the first write. The first proxy must not rely only on the stamp of the
    // write that went through itself.
    let environment = environment();
    let missing = block_on(async {
        let (first, second) = (open(&environment, 0).await, open(&environment, 1).await);
        rows(&first, "INSERT INTO ledger VALUES ('one', 'm', 1)").await;
        assert!(environment.wait_until_settled(TIMEOUT));
        let lagging = environment.replica(0);
        environment.clusters[0].set_lag(lagging, REPLICA_LAG);
        rows(&second, "INSERT INTO ledger VALUES ('two', 'm', 1)").await;
        let mut missing = 0;
        for _ in 0..READ_COUNT {
            let found = rows(&first, "SELECT booking FROM ledger").await;
            missing += usize::from(found.len() != 2);
        }
        missing
    });
    environment.stop();
    assert_eq!(missing, 0, "stale reads of {READ_COUNT}");
}

#[test]
fn primary_cut_off_from_its_group_is_replaced() {
    // Guards against a group that confirms no write during a partition: the primary cannot reach
    // its replicas, but keeps its role and still answers the proxies. A primary that answers
    // probes is not thereby able to confirm writes.
    let environment = environment();
    let old = environment.primary(0).unwrap();
    environment.clusters[0].set_replication_cut(old, true);
    let confirmed = takes_writes(&environment);
    let new = environment.primary(0);
    environment.stop();
    confirmed.unwrap();
    assert_ne!(new, Some(old));
}

#[test]
fn crashed_proxy_closes_its_connections() {
    // Guards against a caller that waits for an answer after its proxy has crashed, because
    // tasks that outlive the proxy keep its sockets open.
    let mut environment = environment();
    let closed = block_on(async {
        let link = open(&environment, 1).await;
        rows(&link, "SELECT booking FROM ledger").await;
        environment.crash_proxy();
        let (answer, _) = link.query("SELECT booking FROM ledger", TIMEOUT).await;
        matches!(answer, link::Answer::Lost) && !link.is_open()
    });
    environment.stop();
    assert!(closed);
}
