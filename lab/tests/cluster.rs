//! Tests of the stand-in group, through the proxy's own client and through tokio-postgres.

use std::sync::Arc;
use std::sync::atomic;
use std::time;

use assert_matches::assert_matches;
use futures_lite::future;
use mangotray::control;
use mangotray::frame;
use mangotray::link;
use mangotray::reply;
use mangotray::role;
use mangotray::stamp;
use mangotray::transaction;
use mangotray::upstream;
use mangotray::upstream::Connection as _;
use mangotray::upstream::Upstream;
use mangotray_lab::cluster;
use mangotray_lab::journal;
use pgwire::messages::simplequery;

/// Longest wait for an expected event; long, so that a busy machine fails no test.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(2);

type Connection = Box<dyn upstream::Connection>;
type Log = Vec<Arc<journal::Record>>;

struct Bench {
    cluster: Arc<cluster::Cluster>,
    /// Threads of the executor; one that ends before the test shows that a task panicked.
    threads: Vec<std::thread::JoinHandle<()>>,
    /// Ends the executor's threads when dropped.
    _stop: async_channel::Sender<()>,
}

impl Bench {
    fn start(options: cluster::Options) -> Self {
        let executor = Arc::new(async_executor::Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let threads = (0..2).map(|_| {
            let (executor, stopped) = (Arc::clone(&executor), stopped.clone());
            std::thread::spawn(move || {
                let _ = async_io::block_on(executor.run(stopped.recv()));
            })
        });
        let threads = threads.collect();
        let cluster = cluster::Cluster::start(options, &executor).unwrap();
        Self {
            cluster,
            threads,
            _stop: stop,
        }
    }

    /// Starts a group with a table, whose primary is instance 0 at term 1.
    fn with_primary() -> Self {
        let bench = Self::start(options());
        bench.cluster.fence_and_promote(0, 1).unwrap();
        bench
    }

    fn control(&self, index: usize) -> control::Control {
        let generous = control::Options {
            probe: TIMEOUT,
            change: TIMEOUT,
            ..control::Options::default()
        };
        let address = self.cluster.addresses()[index];
        control::Control::new(address, "dome_sched", generous)
    }

    fn open(&self, index: usize) -> Connection {
        future::block_on(self.control(index).open()).unwrap()
    }

    fn seats(&self, index: usize) -> Vec<String> {
        let sql = "SELECT name FROM seats ORDER BY name";
        let rows = self.cluster.query(index, sql).unwrap();
        rows.into_iter().flatten().flatten().collect()
    }

    fn eventually(&self, what: &str, check: impl Fn(&cluster::Cluster) -> bool) {
        let start = time::Instant::now();
        while !check(&self.cluster) {
            let in_time = start.elapsed() < TIMEOUT;
            assert!(
                in_time,
                "timed out waiting for: {what}; {}",
                self.describe_state()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the log of the first instance and the seats of each, read while all instances agree and
    /// no log changes: a write whose client has given up runs on, and commits between two reads.
    fn snapshot(&self) -> (Log, Vec<Vec<String>>) {
        let start = time::Instant::now();
        loop {
            self.eventually("all instances agree", |cluster| {
                (1..cluster::INSTANCE_COUNT)
                    .all(|index| cluster.status(index).stamp == cluster.status(0).stamp)
            });
            let logs = self.logs();
            let seats = (0..cluster::INSTANCE_COUNT)
                .map(|index| self.seats(index))
                .collect();
            let complete = logs.iter().all(|log| log.len() == logs[0].len());
            if complete && logs == self.logs() {
                for log in &logs {
                    assert_eq!(*log, logs[0], "{}", self.describe_state());
                }
                return (logs[0].clone(), seats);
            }
            let in_time = start.elapsed() < TIMEOUT;
            assert!(
                in_time,
                "the logs go on changing; {}",
                self.describe_state()
            );
        }
    }

    fn logs(&self) -> Vec<Log> {
        (0..cluster::INSTANCE_COUNT)
            .map(|index| self.cluster.log(index))
            .collect()
    }

    /// Describes the status and log length of each instance, and counts the executor's threads
    /// that have ended, which happens when a task panics.
    fn describe_state(&self) -> String {
        let threads = self.threads.iter().filter(|thread| thread.is_finished());
        let ended = threads.count();
        let of = |index| {
            let status = self.cluster.status(index);
            let records = self.cluster.log(index).len();
            format!("instance {index}: {status:?}, {records} records")
        };
        let instances: Vec<_> = (0..cluster::INSTANCE_COUNT).map(of).collect();
        format!(
            "{}; threads of the executor ended: {ended}",
            instances.join("; ")
        )
    }
}

fn options() -> cluster::Options {
    cluster::Options {
        connect_cost: time::Duration::ZERO,
        schema: vec!["CREATE TABLE seats (name TEXT PRIMARY KEY, row INT, price BIGINT, free BOOL, score FLOAT8)".into()],
        ..cluster::Options::default()
    }
}

fn query(sql: &str) -> Vec<frame::Frame> {
    vec![frame::Frame::encode(&simplequery::Query::new(sql.into()))]
}

fn run(connection: &mut Connection, sql: &str) -> Result<reply::Reply, upstream::Failure> {
    future::block_on(connection.run(&query(sql)))
}

fn insert(name: &str) -> String {
    format!("INSERT INTO seats (name) VALUES ('{name}')")
}

#[test]
fn reports_status_and_the_stamp_of_a_commit() {
    let bench = Bench::start(options());
    let control = bench.control(0);
    let status = future::block_on(control.status()).unwrap();
    assert_eq!(status.stamp, stamp::Stamp::new(0, 0));
    assert_eq!(status.role, role::Role::Replica);
    assert!(status.voter);
    assert_eq!(future::block_on(control.fence(3)).unwrap().fence, 3);
    let status = future::block_on(control.promote(3)).unwrap();
    assert_eq!(status.role, role::Role::Primary);
    assert_eq!(status.stamp, stamp::Stamp::new(3, 1));
    assert_eq!(future::block_on(control.promote(3)).unwrap(), status);

    let mut link = bench.open(0);
    assert_eq!(link.incarnation(), status.incarnation);
    let reply = run(&mut link, &insert("A1")).unwrap();
    assert_eq!(reply.error, None);
    assert_eq!(reply.stamp, Some(stamp::Stamp::new(3, 2)));
    assert_eq!(reply.transaction, transaction::State::Idle);
    let reply = run(&mut link, "SELECT name FROM seats").unwrap();
    assert_eq!(reply.stamp, Some(stamp::Stamp::new(3, 2)));
    assert!(reply.frames.iter().all(|frame| frame.tag != b'S'));
    let reply = run(&mut link, &insert("A1")).unwrap();
    assert_eq!(reply.error.as_deref(), Some("23505"));
    assert_eq!(bench.cluster.log(0).len(), 2);
}

#[test]
fn replicates_whole_transactions_in_order() {
    let bench = Bench::with_primary();
    let mut link = bench.open(0);
    let reply = run(&mut link, "BEGIN").unwrap();
    assert_eq!(reply.transaction, transaction::State::Open);
    assert_eq!(reply.stamp, None);
    run(&mut link, &insert("A1")).unwrap();
    run(&mut link, "SAVEPOINT one").unwrap();
    run(&mut link, &insert("A2")).unwrap();
    run(&mut link, "ROLLBACK TO SAVEPOINT one").unwrap();
    run(&mut link, &insert("A3")).unwrap();
    assert!(bench.seats(1).is_empty());
    let stamp = run(&mut link, "COMMIT").unwrap().stamp.unwrap();
    bench.eventually("replicas catch up", |cluster| {
        (1..3).all(|index| cluster.status(index).stamp == stamp)
    });
    assert_eq!(bench.seats(1), ["A1", "A3"]);
    assert_eq!(bench.cluster.log(2), bench.cluster.log(0));
    let mut replica = bench.open(1);
    let reply = run(&mut replica, &insert("B1")).unwrap();
    assert_eq!(reply.error.as_deref(), Some("25006"));
    let reply = run(&mut replica, "SELECT * FROM seats").unwrap();
    assert_eq!(reply.stamp, Some(stamp));
}

#[test]
fn a_failed_transaction_takes_only_a_rollback() {
    let bench = Bench::with_primary();
    let mut link = bench.open(0);
    run(&mut link, "BEGIN").unwrap();
    run(&mut link, &insert("A1")).unwrap();
    let reply = run(&mut link, "SELECT * FROM ghosts").unwrap();
    assert_eq!(reply.error.as_deref(), Some("42P01"));
    assert_eq!(reply.transaction, transaction::State::Failed);
    let reply = run(&mut link, &insert("A2")).unwrap();
    assert_eq!(reply.error.as_deref(), Some("25P02"));
    run(&mut link, "COMMIT").unwrap();
    let reply = run(&mut link, "SELEKT").unwrap();
    assert_eq!(reply.error.as_deref(), Some("42601"));
    let reply = run(&mut link, &format!("{}; {}", insert("A3"), insert("A3"))).unwrap();
    assert_eq!(reply.error.as_deref(), Some("23505"));
    assert!(bench.seats(0).is_empty());
    assert_eq!(bench.cluster.log(0).len(), 1);
}

#[test]
fn refuses_a_promotion_without_the_fence() {
    let bench = Bench::with_primary();
    let control = bench.control(1);
    assert_matches!(
        future::block_on(control.promote(2)),
        Err(upstream::Failure::NotRun(words)) if words.contains("55000")
    );
    assert_eq!(future::block_on(control.fence(5)).unwrap().fence, 5);
    assert_eq!(future::block_on(control.fence(4)).unwrap().fence, 5);
}

/// Guards against a primary that confirms a write after it was replaced: a transaction is open,
/// the primary is fenced for a promotion of another instance, and the commit does not check the
/// fence.
#[test]
fn a_fenced_primary_rolls_back_its_open_transactions() {
    let bench = Bench::with_primary();
    let mut link = bench.open(0);
    run(&mut link, "BEGIN").unwrap();
    run(&mut link, &insert("A1")).unwrap();
    future::block_on(bench.control(0).fence(2)).unwrap();
    let reply = run(&mut link, "COMMIT").unwrap();
    assert_eq!(reply.error.as_deref(), Some("25006"));
    assert_eq!(reply.transaction, transaction::State::Idle);
    assert!(bench.seats(0).is_empty());
    assert_eq!(bench.cluster.status(0).role, role::Role::Replica);
}

/// Guards against a write of a replaced primary that stays visible: the primary is partitioned
/// and still commits, another instance is promoted and commits, and after the partition the old
/// primary keeps records that the new primary's log lacks.
#[test]
fn a_cut_off_primary_goes_on_and_is_repaired_later() {
    let bench = Bench::with_primary();
    bench.eventually("term 1 everywhere", |cluster| {
        (0..3).all(|index| cluster.status(index).stamp == stamp::Stamp::new(1, 1))
    });
    let mut old = bench.open(0);
    bench.cluster.set_replication_cut(0, true);
    let reply = run(&mut old, &insert("lost")).unwrap();
    assert_eq!(reply.stamp, Some(stamp::Stamp::new(1, 2)));
    for index in 1..3 {
        future::block_on(bench.control(index).fence(2)).unwrap();
    }
    future::block_on(bench.control(1).promote(2)).unwrap();
    let mut new = bench.open(1);
    let reply = run(&mut new, &insert("kept")).unwrap();
    let stamp = reply.stamp.unwrap();
    assert_eq!(stamp, stamp::Stamp::new(2, 3));
    run(&mut old, "BEGIN").unwrap();
    run(&mut old, &insert("open")).unwrap();
    assert_eq!(bench.seats(0), ["lost"]);

    bench.cluster.set_replication_cut(0, false);
    bench.eventually("repaired", |cluster| cluster.status(0).stamp == stamp);
    assert_eq!(bench.seats(0), ["kept"]);
    assert_eq!(bench.cluster.log(0), bench.cluster.log(1));
    let reply = run(&mut old, "COMMIT").unwrap();
    assert_eq!(reply.error.as_deref(), Some("25006"));
    let reply = run(&mut old, "SELECT name FROM seats").unwrap();
    assert_eq!(reply.stamp, Some(stamp));
}

/// Guards against the loss of a write that a replaced primary confirms: instances 1 and 2 are
/// fenced at term 2, instance 1 loses its data and with it the fence, and copies the log of the
/// partitioned primary of term 1. It must not count as a voter again below a fence that it has
/// answered.
#[test]
fn a_wiped_instance_counts_only_after_copying_a_current_log() {
    let bench = Bench::with_primary();
    let incarnation = bench.cluster.status(1).incarnation;
    bench.cluster.crash(2);
    for index in 1..3 {
        future::block_on(async {
            bench.cluster.restart(index);
            bench.control(index).fence(2).await.unwrap();
        });
    }
    bench.cluster.wipe(1).unwrap();
    let status = bench.cluster.status(1);
    assert_ne!(status.incarnation, incarnation);
    assert!(!status.voter);
    bench.eventually("copied from the stale primary", |cluster| {
        cluster.status(1).stamp == cluster.status(0).stamp
    });
    std::thread::sleep(time::Duration::from_millis(100));
    assert!(!bench.cluster.status(1).voter);
    future::block_on(bench.control(2).promote(2)).unwrap();
    bench.eventually("voter again", |cluster| cluster.status(1).voter);
    assert_eq!(bench.cluster.log(1), bench.cluster.log(2));
}

/// Guards against the loss of a write that a replaced primary confirms: instance 1 answers a
/// fence at term 3 that no other instance has received, loses its data twice, and copies the
/// whole log of the primary of term 1. It would become a voter too early if it only compared
/// its fence with those of other instances, or lost the barrier at the second loss.
#[test]
fn a_wiped_instance_remembers_the_fence_that_it_answered() {
    let bench = Bench::with_primary();
    future::block_on(bench.control(1).fence(3)).unwrap();
    for _ in 0..2 {
        bench.cluster.wipe(1).unwrap();
        bench.eventually("copied", |cluster| {
            cluster.status(1).stamp == cluster.status(0).stamp
        });
        std::thread::sleep(time::Duration::from_millis(100));
        assert!(!bench.cluster.status(1).voter);
    }
    bench.cluster.fence_and_promote(0, 3).unwrap();
    bench.eventually("voter again", |cluster| cluster.status(1).voter);
}

/// Guards against a promotion that loses confirmed writes: an instance loses its log, and is
/// fenced and promoted before it has copied another log. A promotion has to check that the
/// instance is a voter.
#[test]
fn refuses_to_promote_a_wiped_instance() {
    let bench = Bench::with_primary();
    bench.cluster.set_replication_cut(1, true);
    bench.cluster.wipe(1).unwrap();
    let control = bench.control(1);
    future::block_on(control.fence(2)).unwrap();
    assert_matches!(
        future::block_on(control.promote(2)),
        Err(upstream::Failure::NotRun(words)) if words.contains("55000")
    );
    assert_eq!(bench.cluster.status(1).role, role::Role::Replica);
    assert_matches!(future::block_on(control.status()), Ok(status) if !status.voter);
}

#[test]
fn refuses_connections_over_the_limit() {
    let bench = Bench::start(cluster::Options {
        connections: 2,
        ..options()
    });
    let first = bench.open(0);
    let _second = bench.open(0);
    let third = future::block_on(bench.control(0).open());
    assert_matches!(third.err(), Some(upstream::Failure::NotRun(words)) if words.contains("53300"));
    assert_eq!(bench.cluster.stats(0).refused_connections, 1);
    drop(first);
    bench.eventually("seat free", |cluster| cluster.stats(0).connections == 1);
    drop(bench.open(0));
    assert_eq!(bench.cluster.stats(0).peak_connections, 2);
}

#[test]
fn control_statements_need_no_slot() {
    let bench = Bench::start(cluster::Options {
        statement_cost: TIMEOUT * 10,
        ..options()
    });
    let mut links: Vec<_> = (0..4).map(|_| bench.open(0)).collect();
    let busy = links.iter_mut().map(|link| async {
        let frames = query("SELECT * FROM seats");
        link.run(&frames).await
    });
    let busy = futures_util::future::join_all(busy);
    let probe = async {
        while bench.cluster.stats(0).busy_slots < 3 {
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        bench.control(0).status().await.unwrap();
    };
    future::block_on(future::or(probe, async {
        busy.await;
    }));
    assert_eq!(bench.cluster.stats(0).peak_busy, 3);
    assert_eq!(bench.cluster.stats(0).statements, 0);
}

/// Guards against an answer "not run" for a write that an instance has received: the instance
/// crashes while it runs the batch, and a lost connection does not prove that nothing ran.
#[test]
fn a_crash_before_the_answer_is_unknown() {
    let bench = Bench::start(cluster::Options {
        statement_cost: TIMEOUT * 10,
        ..options()
    });
    bench.cluster.fence_and_promote(0, 1).unwrap();
    let mut link = bench.open(0);
    let frames = query(&insert("A1"));
    let crash = async {
        while bench.cluster.stats(0).busy_slots == 0 {
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        bench.cluster.crash(0);
    };
    let (result, ()) = future::block_on(future::zip(link.run(&frames), crash));
    assert_matches!(result, Err(upstream::Failure::Unknown(_)));
    assert_matches!(
        run(&mut link, "SELECT 1"),
        Err(upstream::Failure::NotRun(_))
    );
    let refused = future::block_on(bench.control(0).status());
    assert_matches!(refused, Err(upstream::Failure::NotRun(_)));
    let incarnation = bench.cluster.status(0).incarnation;
    bench.cluster.restart(0);
    let status = future::block_on(bench.control(0).status()).unwrap();
    assert_ne!(status.incarnation, incarnation);
    assert_eq!((status.fence, status.role), (1, role::Role::Replica));
    assert!(bench.seats(0).is_empty());
}

/// Guards against an answer "unknown" for a write that was never sent: the instance restarts
/// while a pooled connection is idle, and the write goes to a socket whose other end is closed.
#[test]
fn a_connection_closed_while_idle_proves_that_nothing_ran() {
    let bench = Bench::with_primary();
    let mut link = bench.open(0);
    bench.cluster.crash(0);
    bench.eventually("closed", |cluster| cluster.stats(0).connections == 0);
    bench.cluster.restart(0);
    assert_matches!(
        run(&mut link, &insert("A1")),
        Err(upstream::Failure::NotRun(_))
    );
}

/// Guards against a promotion that waits without end for an instance behind a broken switch:
/// the sockets stay open but transfer nothing, and a control request has no timeout.
#[test]
fn a_silent_instance_times_out_and_comes_back() {
    let bench = Bench::with_primary();
    let address = bench.cluster.addresses()[2];
    let short = control::Options {
        probe: time::Duration::from_millis(50),
        ..control::Options::default()
    };
    let control = control::Control::new(address, "dome_sched", short);
    for fault in [
        cluster::Cluster::set_blackhole,
        cluster::Cluster::set_paused,
    ] {
        fault(&bench.cluster, 2, true);
        assert_matches!(
            future::block_on(control.status()),
            Err(upstream::Failure::Unknown(_))
        );
        let mut link = bench.open(0);
        let stamp = run(
            &mut link,
            "INSERT INTO seats (name) SELECT 'A' || count(*) FROM seats",
        )
        .unwrap()
        .stamp
        .unwrap();
        bench.eventually("the other replica follows", |cluster| {
            cluster.status(1).stamp == stamp
        });
        assert!(bench.cluster.status(2).stamp < stamp);
        fault(&bench.cluster, 2, false);
        bench.eventually("caught up", |cluster| cluster.status(2).stamp == stamp);
        future::block_on(bench.control(2).status()).unwrap();
    }
}

#[test]
fn a_lagging_replica_serves_old_data_with_an_old_stamp() {
    let bench = Bench::with_primary();
    bench.eventually("followed", |cluster| cluster.status(1).stamp.position == 1);
    bench.cluster.set_lag(1, TIMEOUT * 10);
    let mut primary = bench.open(0);
    let new = run(&mut primary, &insert("A1")).unwrap().stamp.unwrap();
    bench.eventually("other replica", |cluster| cluster.status(2).stamp == new);
    let mut replica = bench.open(1);
    let reply = run(&mut replica, "SELECT name FROM seats").unwrap();
    assert_eq!(reply.stamp, Some(stamp::Stamp::new(1, 1)));
    assert!(reply.frames.iter().all(|frame| frame.tag != b'D'));
    bench.cluster.set_lag(1, time::Duration::ZERO);
    bench.eventually("caught up", |cluster| cluster.status(1).stamp == new);
}

#[test]
fn serves_an_ordinary_client_library() {
    let bench = Bench::with_primary();
    let port = bench.cluster.addresses()[0].port();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let config = format!("host=127.0.0.1 port={port} user=clerk dbname=dome_sched");
        let (mut client, connection) = tokio_postgres::connect(&config, tokio_postgres::NoTls)
            .await
            .unwrap();
        tokio::spawn(connection);
        let sql = "INSERT INTO seats (name, row, price, free, score) VALUES ($1, $2, $3, $4, $5)";
        let statement = client.prepare(sql).await.unwrap();
        for row in 1..=3_i32 {
            let name = format!("A{row}");
            let parameters: [&(dyn tokio_postgres::types::ToSql + Sync); 5] =
                [&name, &row, &(i64::from(row) * 100), &(row == 2), &0.5_f64];
            assert_eq!(client.execute(&statement, &parameters).await.unwrap(), 1);
        }
        let sql = "SELECT * FROM seats WHERE price >= $1 AND free = $2 LIMIT $3";
        let row = client
            .query_one(sql, &[&200_i64, &true, &5_i64])
            .await
            .unwrap();
        assert_eq!(row.get::<_, String>("name"), "A2");
        assert_eq!(row.get::<_, i32>("row"), 2);
        assert_eq!(row.get::<_, i64>("price"), 200);
        assert!(row.get::<_, bool>("free"));
        assert!((row.get::<_, f64>("score") - 0.5).abs() < f64::EPSILON);
        let row = client
            .query_one("SELECT count(*) FROM seats", &[])
            .await
            .unwrap();
        assert_eq!(row.get::<_, i64>(0), 3);
        let row = client
            .query_one("SELECT $1::int8 + 1", &[&41_i64])
            .await
            .unwrap();
        assert_eq!(row.get::<_, i64>(0), 42);

        let change = client.transaction().await.unwrap();
        let sql = "UPDATE seats SET free = $2 WHERE name = $1 RETURNING price";
        let row = change.query_one(sql, &[&"A1", &true]).await.unwrap();
        assert_eq!(row.get::<_, i64>(0), 100);
        change.commit().await.unwrap();
        let error = client
            .execute(&statement, &[&"A1", &1_i32, &1_i64, &true, &0.0_f64])
            .await;
        let code = error.unwrap_err().code().cloned();
        assert_eq!(
            code,
            Some(tokio_postgres::error::SqlState::UNIQUE_VIOLATION)
        );
        let volatile = client.batch_execute("UPDATE seats SET name = now()").await;
        let code = volatile.unwrap_err().code().cloned();
        assert_eq!(
            code,
            Some(tokio_postgres::error::SqlState::FEATURE_NOT_SUPPORTED)
        );
    });
    let free = "SELECT name FROM seats WHERE free ORDER BY name";
    let rows = bench.cluster.query(0, free).unwrap();
    assert_eq!(rows, [[Some("A1".to_owned())], [Some("A2".to_owned())]]);
    bench.eventually("replicated", |cluster| {
        cluster.status(2).stamp == cluster.status(0).stamp
    });
    assert_eq!(bench.cluster.query(2, free).unwrap(), rows);
}

/// Inserts numbered seats at random instances until `stop` is set; returns the seats that were
/// answered with a stamp, and adds their number to `count`. The timeout doubles after each
/// attempt without an answer, so that slow files of the instances do not prevent all answers.
fn write_until_stopped(
    bench: &Bench,
    clerk: usize,
    stop: &atomic::AtomicBool,
    count: &atomic::AtomicUsize,
) -> Vec<(String, stamp::Stamp)> {
    const MIN_TIMEOUT: time::Duration = time::Duration::from_millis(100);
    const MAX_TIMEOUT: time::Duration = time::Duration::from_secs(3);
    let mut random = fastrand::Rng::with_seed(clerk as u64);
    let mut answered = Vec::new();
    let mut limit = MIN_TIMEOUT;
    for number in 0.. {
        if stop.load(atomic::Ordering::SeqCst) {
            break;
        }
        let options = link::Options {
            timeout: limit,
            ..link::Options::default()
        };
        let address = bench.cluster.addresses()[random.usize(..cluster::INSTANCE_COUNT)];
        let name = format!("{clerk}-{number}");
        let booking = async {
            let mut link = link::Link::open(address, "dome_sched", &options)
                .await
                .ok()?;
            if random.bool() {
                let text = format!("BEGIN; {}; COMMIT", insert(&name));
                return link.run(&query(&text)).await.ok()?.stamp_of_write();
            }
            link.run(&query("BEGIN")).await.ok()?;
            link.run(&query(&insert(&name))).await.ok()?;
            link.run(&query("COMMIT")).await.ok()?.stamp_of_write()
        };
        let timeout = async {
            async_io::Timer::after(2 * limit).await;
            None
        };
        let stamp = future::block_on(future::or(booking, timeout));
        limit = match stamp {
            Some(_) => MIN_TIMEOUT,
            None => MAX_TIMEOUT.min(2 * limit),
        };
        count.fetch_add(usize::from(stamp.is_some()), atomic::Ordering::SeqCst);
        answered.extend(stamp.map(|stamp| (name, stamp)));
    }
    answered
}

trait Committed {
    /// Returns the stamp, unless the transaction failed or was rolled back.
    fn stamp_of_write(self) -> Option<stamp::Stamp>;
}

impl Committed for reply::Reply {
    fn stamp_of_write(self) -> Option<stamp::Stamp> {
        let rolled_back = |frame: &frame::Frame| frame.body.starts_with(b"ROLLBACK");
        let failed = self.error.is_some() || self.frames.iter().any(rolled_back);
        self.stamp.filter(|_| !failed)
    }
}

/// Indexes of the instances that are voters.
fn voters(bench: &Bench) -> impl Iterator<Item = usize> {
    (0..cluster::INSTANCE_COUNT).filter(|index| bench.cluster.status(*index).voter)
}

/// Begins or ends a random fault, wipes an instance, or promotes one at a new term.
fn change_at_random(bench: &Bench, random: &mut fastrand::Rng, term: &mut u64) {
    let index = random.usize(..cluster::INSTANCE_COUNT);
    match random.u8(..8) {
        0 => bench.cluster.crash(index),
        1 => bench.cluster.restart(index),
        2 => bench.cluster.set_replication_cut(index, random.bool()),
        3 => bench.cluster.set_paused(index, random.bool()),
        4 => bench.cluster.set_blackhole(index, random.bool()),
        5 => {
            let lag = time::Duration::from_millis(random.u64(..20));
            bench.cluster.set_lag(index, lag);
        }
        // Keeps one voter: a group whose voters have all lost their logs has to stay without a
        // primary.
        6 if random.u8(..4) == 0 && voters(bench).any(|voter| voter != index) => {
            bench.cluster.wipe(index).unwrap();
        }
        _ => {
            *term += 1;
            let _ = bench.cluster.fence_and_promote(index, *term);
        }
    }
}

fn end_faults(bench: &Bench) {
    for index in 0..cluster::INSTANCE_COUNT {
        bench.cluster.restart(index);
        bench.cluster.set_replication_cut(index, false);
        bench.cluster.set_paused(index, false);
        bench.cluster.set_blackhole(index, false);
        bench.cluster.set_lag(index, time::Duration::ZERO);
    }
}

/// The names of the seats in a log, in order.
fn booked(log: &Log) -> Vec<String> {
    let writes = log.iter().flat_map(|record| &record.statements);
    let names = writes.map(|write| write.sql.split('\'').nth(1).unwrap().to_owned());
    let mut names: Vec<_> = names.collect();
    names.sort();
    names
}

/// Guards against a comparison of data with a log that was read before a write committed whose client
/// had given up.
#[test]
fn data_and_log_agree_beside_writes_whose_clients_have_given_up() {
    let bench = Bench::with_primary();
    let options = link::Options::default();
    for number in 0..120 {
        // Each moment of a write is tried.
        let give_up_after = time::Duration::from_micros(10 * number);
        let booking = async {
            let address = bench.cluster.addresses()[0];
            let mut link = link::Link::open(address, "dome_sched", &options)
                .await
                .ok()?;
            let text = format!("BEGIN; {}; COMMIT", insert(&format!("late-{number}")));
            link.run(&query(&text)).await.ok()
        };
        let given_up = async {
            async_io::Timer::after(give_up_after).await;
            None
        };
        future::block_on(future::or(booking, given_up));
        let (log, seats) = bench.snapshot();
        for seats in seats {
            assert_eq!(seats, booked(&log), "{}", bench.describe_state());
        }
    }
}

/// Guards against a fault of the stand-in that looks like a fault of the proxy: after random
/// faults and promotions, during which writes go to all instances, the data, the logs and the
/// reported stamps disagree.
#[test]
fn data_logs_and_stamps_agree_after_any_faults() {
    for seed in 0..3 {
        let bench = Bench::with_primary();
        let stop = atomic::AtomicBool::new(false);
        let count = atomic::AtomicUsize::new(0);
        let mut random = fastrand::Rng::with_seed(seed);
        let mut term = 1;
        let answered: Vec<_> = std::thread::scope(|scope| {
            let clerks: Vec<_> = (0..4)
                .map(|clerk| {
                    let (bench, stop, count) = (&bench, &stop, &count);
                    scope.spawn(move || write_until_stopped(bench, clerk, stop, count))
                })
                .collect();
            for _ in 0..100 {
                change_at_random(&bench, &mut random, &mut term);
                std::thread::sleep(POLL_INTERVAL * 4);
            }
            end_faults(&bench);
            let voter = voters(&bench).next().unwrap();
            bench.cluster.fence_and_promote(voter, term + 1).unwrap();
            std::thread::sleep(POLL_INTERVAL * 50);
            let faults_ended = time::Instant::now();
            while count.load(atomic::Ordering::SeqCst) == 0 && faults_ended.elapsed() < TIMEOUT {
                std::thread::sleep(POLL_INTERVAL);
            }
            stop.store(true, atomic::Ordering::SeqCst);
            clerks
                .into_iter()
                .flat_map(|clerk| clerk.join().unwrap())
                .collect()
        });
        let (log, seats) = bench.snapshot();
        let booked = booked(&log);
        for (index, seats) in seats.iter().enumerate() {
            let records = log.len();
            assert_eq!(
                *seats,
                booked,
                "seed {seed}, instance {index}, {records} records; {}",
                bench.describe_state()
            );
        }
        for (name, stamp) in &answered {
            let position = usize::try_from(stamp.position).unwrap();
            let record = log.get(position - 1);
            let record = record.filter(|record| record.term == stamp.term);
            let holds = |record: &Arc<journal::Record>| {
                let mut writes = record.statements.iter();
                writes.any(|write| write.sql.contains(&format!("'{name}'")))
            };
            assert!(record.is_none_or(holds), "{name} is not at {stamp}");
        }
        assert!(!answered.is_empty());
    }
}
