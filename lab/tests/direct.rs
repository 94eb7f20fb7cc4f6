//! The workload against stand-in instances without a proxy: its checks must report no
//! violation for a single instance, and must report those of a group without a proxy.

use std::net;
use std::sync;
use std::thread;
use std::time;

use mangotray_lab::cluster;
use mangotray_lab::inspect;
use mangotray_lab::ledger;
use mangotray_lab::note;
use mangotray_lab::profile;
use mangotray_lab::workload;

const SEED: u64 = 7;
const WORK_TIME: time::Duration = time::Duration::from_secs(2);

/// Longest duration of the workload in a test that waits for an event. While ten such tests run
/// on one machine, two seconds allow one to five writes instead of 67.
const MAX_WORK_TIME: time::Duration = time::Duration::from_secs(64);

struct Group {
    cluster: sync::Arc<cluster::Cluster>,
    _stop: async_channel::Sender<()>,
}

/// Starts a group whose primary is its first instance, on a thread of its own.
fn group(profile: &profile::Profile) -> Group {
    let executor = sync::Arc::new(async_executor::Executor::new());
    let options = cluster::Options {
        connections: 200,
        ..profile.cluster(0)
    };
    let cluster = cluster::Cluster::start(options, &executor).unwrap();
    cluster.fence_and_promote(0, 1).unwrap();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    thread::spawn(move || async_io::block_on(executor.run(stopped.recv())));
    Group {
        cluster,
        _stop: stop,
    }
}

fn profile() -> profile::Profile {
    profile::Profile {
        groups: 1,
        callers: 8,
        caller_delay: time::Duration::ZERO,
        pause: time::Duration::from_millis(10),
        deadline: time::Duration::from_secs(20),
        ..profile::Profile::tarapath()
    }
}

fn run_workload(proxies: &[net::SocketAddr]) -> note::Note {
    run_workload_for(proxies, WORK_TIME)
}

fn run_workload_for(proxies: &[net::SocketAddr], limit: time::Duration) -> note::Note {
    let profile = sync::Arc::new(profile());
    let workload = workload::Workload::start(&profile, &proxies.into(), SEED).unwrap();
    thread::sleep(limit);
    workload.stop().remove(0)
}

/// Runs the workload, twice as long each time, until `is_done` or the longest duration is
/// reached; returns the last note in either case.
fn run_workload_until(
    proxies: &[net::SocketAddr],
    is_done: impl Fn(&note::Note) -> bool,
) -> note::Note {
    let mut limit = WORK_TIME;
    loop {
        let note = run_workload_for(proxies, limit);
        if is_done(&note) || limit >= MAX_WORK_TIME {
            return note;
        }
        limit *= 2;
    }
}

#[test]
fn one_instance_keeps_every_promise() {
    let profile = profile();
    let group = group(&profile);
    let note = run_workload(&group.cluster.addresses()[..1]);
    let contents = inspect::contents(&group.cluster, 0, &profile).unwrap();
    assert_eq!(
        ledger::Audit::of(&note.attempts, &contents),
        ledger::Audit::default()
    );
    assert_eq!(
        (note.stale_reads, note.foreign_answers, note.unanswered),
        (0, 0, 0)
    );
    assert!(note.count_writes(ledger::Outcome::Confirmed) > 0);
    assert!(note.reads > 0);
    assert!(!note.probes.is_empty());
}

#[test]
fn lagging_replicas_give_stale_reads() {
    // Callers do not find their own confirmed writes, as they write at the primary and read at
    // replicas that lag far behind, and no proxy compares stamps.
    let profile = profile();
    let group = group(&profile);
    for replica in [1, 2] {
        group.cluster.set_lag(replica, time::Duration::from_mins(1));
    }
    let note = run_workload_until(&group.cluster.addresses(), |note| note.stale_reads > 0);
    assert!(note.stale_reads > 0);
    assert_eq!(note.foreign_answers, 0);
}

#[test]
fn primary_lost_before_replication_loses_confirmed_writes() {
    // Confirmed writes are missing after a promotion: the primary confirms them before a
    // majority has the records, crashes, and a replica without them is promoted.
    let profile = profile();
    let group = group(&profile);
    group.cluster.set_replication_cut(0, true);
    let note = run_workload(&group.cluster.addresses()[..1]);
    group.cluster.crash(0);
    group.cluster.fence_and_promote(1, 2).unwrap();
    let contents = inspect::contents(&group.cluster, 1, &profile).unwrap();
    let audit = ledger::Audit::of(&note.attempts, &contents);
    let confirmed = note.count_writes(ledger::Outcome::Confirmed) + note.probes.len();
    assert!(confirmed > 0);
    assert_eq!(audit.lost, confirmed);
}
