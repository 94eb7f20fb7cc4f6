//! End-to-end tests of bookings: real processes and an ordinary database driver.

mod environment;

use std::time;

use mangotray_lab::cluster;

use environment::Environment;
use environment::block_on;
use environment::connect;

const DATABASE: &str = "dome_sched";

fn options() -> cluster::Options {
    let schema = "CREATE TABLE bookings (id TEXT PRIMARY KEY, seat INTEGER NOT NULL)";
    cluster::Options {
        schema: vec![schema.to_owned()],
        ..cluster::Options::default()
    }
}

#[test]
fn a_booking_made_through_one_proxy_is_seen_through_the_other() {
    let system = Environment::start(2, options());
    block_on(async {
        let first = connect(system.proxies[0].callers, DATABASE).await;
        let second = connect(system.proxies[1].callers, DATABASE).await;
        for seat in 0..20 {
            let id = format!("booking-{seat}");
            first
                .execute(
                    "INSERT INTO bookings (id, seat) VALUES ($1::text, $2::int4)",
                    &[&id, &seat],
                )
                .await
                .unwrap();
            let row = second
                .query_one("SELECT seat FROM bookings WHERE id = $1::text", &[&id])
                .await
                .unwrap();
            assert_eq!(row.get::<_, i32>(0), seat);
        }
    });
}

#[test]
fn transactions_commit_and_roll_back() {
    let system = Environment::start(2, options());
    block_on(async {
        let mut first = connect(system.proxies[0].callers, DATABASE).await;
        let second = connect(system.proxies[1].callers, DATABASE).await;
        let kept = first.transaction().await.unwrap();
        kept.batch_execute("INSERT INTO bookings VALUES ('kept', 1)")
            .await
            .unwrap();
        kept.commit().await.unwrap();
        let dropped = first.transaction().await.unwrap();
        dropped
            .batch_execute("INSERT INTO bookings VALUES ('dropped', 2)")
            .await
            .unwrap();
        dropped.rollback().await.unwrap();
        let rows = second
            .query("SELECT id FROM bookings ORDER BY id", &[])
            .await
            .unwrap();
        let ids: Vec<String> = rows.iter().map(|row| row.get(0)).collect();
        assert_eq!(ids, ["kept"]);
    });
}

#[test]
fn writes_go_on_after_the_primary_is_lost() {
    // Guards against bookings that fail until an operator intervenes, and against the loss of
    // confirmed ones. The primary's process ends and only the proxies can promote a replica.
    let system = Environment::start(2, options());
    block_on(async {
        let first = connect(system.proxies[0].callers, DATABASE).await;
        let second = connect(system.proxies[1].callers, DATABASE).await;
        first
            .batch_execute("INSERT INTO bookings VALUES ('before', 1)")
            .await
            .unwrap();
        let lost = system.primary().unwrap();
        system.cluster.crash(lost);
        let mut tries = 0;
        let deadline = time::Instant::now() + time::Duration::from_secs(30);
        while let Err(error) = first
            .batch_execute(&format!("INSERT INTO bookings VALUES ('after-{tries}', 2)"))
            .await
        {
            assert!(
                time::Instant::now() < deadline,
                "no write succeeds after the primary was lost: {error}"
            );
            tries += 1;
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        let rows = second
            .query("SELECT id FROM bookings ORDER BY id", &[])
            .await
            .unwrap();
        let ids: Vec<String> = rows.iter().map(|row| row.get(0)).collect();
        assert!(ids.contains(&"before".to_owned()), "{ids:?}");
        assert!(ids.contains(&format!("after-{tries}")), "{ids:?}");
        assert_ne!(system.primary(), Some(lost));
    });
}

#[test]
fn a_terminated_proxy_finishes_what_is_in_flight() {
    // Guards against a connection that breaks in the middle of a booking: a proxy receives
    // SIGTERM while a transaction is open and must not exit before the transaction has ended.
    let mut system = Environment::start(1, options());
    let address = system.proxies[0].callers;
    let mut proxy = system.proxies.remove(0);
    block_on(async {
        let mut caller = connect(address, DATABASE).await;
        let open = caller.transaction().await.unwrap();
        open.batch_execute("INSERT INTO bookings VALUES ('open', 1)")
            .await
            .unwrap();
        let ending = std::thread::spawn(move || proxy.terminate());
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        open.commit().await.unwrap();
        drop(caller);
        let status = tokio::task::spawn_blocking(move || ending.join().unwrap())
            .await
            .unwrap();
        assert!(status.success(), "{status}");
    });
    let primary = system.primary().unwrap();
    let rows = system
        .cluster
        .query(primary, "SELECT id FROM bookings")
        .unwrap();
    assert_eq!(rows.len(), 1);
}

#[test]
fn a_text_that_ends_one_transaction_and_begins_another_is_confirmed() {
    // Guards against a confirmed booking that is not visible through another proxy. One query
    // text commits a transaction and opens the next, so the answer reports an open transaction.
    // The commit is missed if only answers without an open transaction count as one.
    let system = Environment::start(2, options());
    block_on(async {
        let first = connect(system.proxies[0].callers, DATABASE).await;
        let second = connect(system.proxies[1].callers, DATABASE).await;
        for round in 0..10 {
            let opening = format!("BEGIN; INSERT INTO bookings VALUES ('a-{round}', 1)");
            first.batch_execute(&opening).await.unwrap();
            first.batch_execute("COMMIT; BEGIN").await.unwrap();
            let query = "SELECT count(*) FROM bookings WHERE seat = 1";
            let row = second.query_one(query, &[]).await.unwrap();
            assert_eq!(row.get::<_, i64>(0), round + 1);
            first.batch_execute("ROLLBACK").await.unwrap();
        }
    });
}

#[test]
fn a_leaving_primary_is_replaced_while_it_is_healthy() {
    // Guards against an instance that still gets all writes after operators took it out of
    // service. An applied file marks the primary as leaving. The promotion must not be
    // abandoned because its last check finds the primary healthy.
    let system = Environment::start(2, options());
    block_on(async {
        let first = connect(system.proxies[0].callers, DATABASE).await;
        first
            .batch_execute("INSERT INTO bookings VALUES ('before', 1)")
            .await
            .unwrap();
        let leaving = system.primary().unwrap();
        system.apply_leaving(Some(leaving));
        let deadline = time::Instant::now() + time::Duration::from_secs(30);
        while system.primary() == Some(leaving) {
            assert!(
                time::Instant::now() < deadline,
                "the leaving instance is still the primary"
            );
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        let insert = "INSERT INTO bookings VALUES ('after', 2)";
        while let Err(error) = first.batch_execute(insert).await {
            assert!(
                time::Instant::now() < deadline,
                "no write succeeds after the promotion: {error}"
            );
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        let row = first
            .query_one("SELECT count(*) FROM bookings", &[])
            .await
            .unwrap();
        assert_eq!(row.get::<_, i64>(0), 2);
    });
}
