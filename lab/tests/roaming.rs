//! Real proxies before one group of stand-ins, met by sessions that roam.

use std::net;
use std::time;

use mangotray::policy;
use mangotray_lab::link;
use mangotray_lab::profile;
use mangotray_lab::ready;
use mangotray_lab::stage;

/// Generous, so that a busy machine changes no verdict.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Long enough that a replica does not catch up within a test.
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

/// A group and two proxies that take writes.
fn stage() -> stage::Stage {
    let profile = profile();
    let stage = stage::Stage::start(&stage::Options {
        program: env!("CARGO_BIN_EXE_mangotray-lab").into(),
        groups: profile.groups,
        callers: vec![net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)); 2],
        policy: policy::Policy::Default,
        profile,
    });
    let stage = stage.unwrap();
    takes_writes(&stage).unwrap();
    stage
}

fn takes_writes(stage: &stage::Stage) -> eyre::Result<()> {
    let profile = profile();
    ready::wait(&profile, &[profile.group(0)], &stage.callers, TIMEOUT)
}

fn block_on<T>(task: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(task)
}

async fn open(stage: &stage::Stage, proxy: usize) -> link::Link {
    let database = profile().group(0);
    link::Link::open(stage.callers[proxy], &database, time::Duration::ZERO)
        .await
        .unwrap()
}

async fn rows(link: &link::Link, sql: &str) -> Vec<tokio_postgres::SimpleQueryRow> {
    match link.ask(sql, TIMEOUT).await.0 {
        link::Answer::Rows(rows) => rows,
        other => panic!("{sql}: {other:?}"),
    }
}

#[test]
fn session_reads_what_it_wrote_through_another_proxy() {
    // Symptom: a clerk does not find a booking that was confirmed a moment ago.
    // Events: the clerk writes through the first proxy, then through the second, and
    // reads through the first; one replica holds the first write only.
    // Cause: the first proxy takes the stamp of the write that it has seen itself for
    // all that this caller must see.
    let stage = stage();
    let missing = block_on(async {
        let (first, second) = (open(&stage, 0).await, open(&stage, 1).await);
        rows(&first, "INSERT INTO ledger VALUES ('one', 'm', 1)").await;
        assert!(stage.settle(TIMEOUT));
        let lagging = stage.replica(0);
        stage.clusters[0].set_lag(lagging, REPLICA_LAG);
        rows(&second, "INSERT INTO ledger VALUES ('two', 'm', 1)").await;
        let mut missing = 0;
        for _ in 0..READ_COUNT {
            let found = rows(&first, "SELECT booking FROM ledger").await;
            missing += usize::from(found.len() != 2);
        }
        missing
    });
    stage.stop();
    assert_eq!(missing, 0, "stale reads of {READ_COUNT}");
}

#[test]
fn primary_cut_off_from_its_group_is_replaced() {
    // Symptom: no write is confirmed for as long as a partition lasts.
    // Events: the primary is cut off from its replicas, still believes that it leads,
    // and still answers the proxies; nothing it runs reaches a second instance.
    // Cause: a primary that answers probes is taken for one that can serve.
    let stage = stage();
    let old = stage.primary(0).unwrap();
    stage.clusters[0].cut(old, true);
    let confirmed = takes_writes(&stage);
    let new = stage.primary(0);
    stage.stop();
    confirmed.unwrap();
    assert_ne!(new, Some(old));
}

#[test]
fn crashed_proxy_closes_its_connections() {
    // Symptom: a caller waits for an answer long after its proxy is gone.
    // Events: the proxy is ended abruptly while a caller is connected.
    // Cause: tasks that outlive the proxy keep its sockets open.
    let mut stage = stage();
    let closed = block_on(async {
        let link = open(&stage, 1).await;
        rows(&link, "SELECT booking FROM ledger").await;
        stage.crash_proxy();
        let (answer, _) = link.ask("SELECT booking FROM ledger", TIMEOUT).await;
        matches!(answer, link::Answer::Lost) && !link.is_open()
    });
    stage.stop();
    assert!(closed);
}
