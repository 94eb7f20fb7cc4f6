//! Distribution of configuration and roster among real processes.

mod environment;

use std::collections;
use std::net;
use std::process;
use std::thread;
use std::time;

use mangotray_lab::cluster;

use environment::Environment;
use environment::block_on;
use environment::connect;

const DATABASE: &str = "dome_sched";
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

fn options() -> cluster::Options {
    let schema = "CREATE TABLE bookings (id TEXT PRIMARY KEY, seat INTEGER NOT NULL)";
    cluster::Options {
        schema: vec![schema.to_owned()],
        ..cluster::Options::default()
    }
}

fn wait_for<T>(event: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(
            time::Instant::now() < deadline,
            "timed out waiting for {event}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until all proxies are registered; returns their addresses for operators.
fn admin_addresses(system: &Environment) -> Vec<net::SocketAddr> {
    let all = || Some(system.records()).filter(|records| records.len() == system.proxies.len());
    let records = wait_for("all proxies to register", all);
    records.iter().map(|record| record.admin).collect()
}

/// Returns the revision that a proxy has adopted.
fn revision(admin: net::SocketAddr) -> u64 {
    let status = async_io::block_on(mangotray::admin::fetch(admin, WAIT_TIMEOUT));
    status.expect("status of a running proxy").revision
}

/// Starts the operators' program to apply a file.
fn apply(system: &Environment, name: &str, text: &str) -> process::Child {
    let file = system.write_file(name, text);
    process::Command::new(env!("CARGO_BIN_EXE_mangotray"))
        .arg("apply")
        .arg(file)
        .args(["--platform", &system.platform.address().to_string()])
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::null())
        .spawn()
        .unwrap()
}

#[test]
fn an_applied_file_is_in_force_on_all_proxies() {
    let system = Environment::start(5, options());
    let admins = admin_addresses(&system);
    for wanted in 1..4 {
        wait_for("the revision on all proxies", || {
            let reached = admins.iter().all(|admin| revision(*admin) == wanted);
            reached.then_some(())
        });
        let text = format!("{}# {wanted}\n", system.catalog_text());
        assert!(apply(&system, "next.ini", &text).wait().unwrap().success());
    }
}

// Guards against a VM that is replaced during an outage of the platform and refuses all
// callers, because its proxy can get configuration and roster only from the platform. The
// proxy must learn both from the peers listed in its settings.
#[test]
fn a_proxy_that_starts_in_an_outage_serves_after_learning_from_peers() {
    let mut system = Environment::start(3, options());
    admin_addresses(&system);
    let seeds: Vec<_> = system.records().iter().map(|record| record.peers).collect();
    block_on(async {
        let writer = connect(system.proxies[0].callers, DATABASE).await;
        writer
            .execute("INSERT INTO bookings VALUES ('a', 1)", &[])
            .await
            .unwrap();
    });
    system.platform.set_outage(true);
    let started = system.spawn_with(3, &seeds);
    let callers = started.callers;
    system.proxies.push(started);
    block_on(async {
        let reader = connect(callers, DATABASE).await;
        let deadline = time::Instant::now() + WAIT_TIMEOUT;
        let rows = loop {
            match reader.query("SELECT seat FROM bookings", &[]).await {
                Ok(rows) => break rows,
                Err(error) => assert!(time::Instant::now() < deadline, "{error}"),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        assert_eq!(rows.len(), 1);
    });
}

// Guards against proxies that route by different files or return to an earlier revision.
// Operators apply different files at the same time while the platform loses answers to
// changes that took effect. This goes wrong if an apply whose answer was lost is repeated
// over another operator's, or if a proxy adopts the file that arrives last, not the newest.
#[test]
fn racing_applies_never_take_a_revision_back() {
    let system = Environment::start(3, options());
    let admins = admin_addresses(&system);
    system.platform.lose_answers(0.3, 7);
    let text = system.catalog_text();
    let mut highest_revisions = vec![0; admins.len()];
    let mut won = collections::BTreeSet::new();
    for round in 0..3 {
        let mut racing: Vec<_> = (0..3)
            .map(|operator| {
                let text = format!("{text}# {round} {operator}\n");
                apply(&system, &format!("{operator}.ini"), &text)
            })
            .collect();
        wait_for("the applies to end", || {
            record_revisions(&admins, &mut highest_revisions);
            let ended = racing
                .iter_mut()
                .all(|child| child.try_wait().unwrap().is_some());
            ended.then_some(())
        });
        for revision in racing.into_iter().filter_map(applied_revision) {
            assert!(won.insert(revision), "two files won revision {revision}");
        }
    }
    system.platform.lose_answers(0.0, 7);
    let stored = system.stored_file();
    assert!(!won.is_empty(), "no apply succeeded");
    assert!(won.last() <= Some(&stored.revision));
    wait_for("the newest file on all proxies", || {
        record_revisions(&admins, &mut highest_revisions);
        highest_revisions
            .iter()
            .all(|revision| *revision == stored.revision)
            .then_some(())
    });
}

/// Returns the revision that a successful apply reports.
fn applied_revision(apply: process::Child) -> Option<u64> {
    let output = apply.wait_with_output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let (_, revision) = text.split_once("is in force as revision ")?;
    revision.trim().parse().ok()
}

/// Records each proxy's revision and checks that it has not decreased.
fn record_revisions(admins: &[net::SocketAddr], highest_revisions: &mut [u64]) {
    for (admin, highest) in admins.iter().zip(highest_revisions) {
        let now = revision(*admin);
        assert!(
            now >= *highest,
            "{admin} went from revision {highest} back to {now}"
        );
        *highest = now;
    }
}
