//! Shares of organisations' limits in virtual time. Guards against nodes that together grant more
//! than a limit allows, through faults of nodes, links and the store.

mod fleet;

use std::time;

use mangotray_desk::limits::quota;

use fleet::Fleet;

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

const RUN: time::Duration = time::Duration::from_secs(40);

/// Sends several times the limit through random nodes while random faults hit them.
fn flood(seed: u64, quota: quota::Quota) -> Fleet {
    let mut fleet = Fleet::new(15, seed, quota);
    while fleet.now < RUN {
        fleet.step();
        fleet.random_fault();
        let used = fleet.shares_in_use();
        assert!(
            used < 1.001,
            "seed {seed}, {:?}: {used} of the shares",
            fleet.now
        );
        fleet.request_many(3.0);
    }
    fleet
}

/// Guards against a window with more operations than are tolerated, under loss, delay, pauses,
/// restarts, cut links, and changes of members and limits.
#[test]
fn no_window_exceeds_the_limit_under_faults() {
    let mut violations = Vec::new();
    for seed in (0..60).chain([126]) {
        let mut random = fastrand::Rng::with_seed(seed);
        let quota = quota::Quota {
            rate: random.f64() * 150.0 + 1.0,
            burst: random.f64() * 150.0 + 1.0,
        };
        let fleet = flood(seed, quota);
        if let Some(violation) = fleet.violation() {
            violations.push(format!("seed {seed}: {violation}"));
        }
        assert!(fleet.granted() > 0, "seed {seed}: nothing was granted");
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against callers that are refused for the length of a lease after all nodes have been
/// lost at once, and against limits that are exceeded because of it.
#[test]
fn a_restart_of_all_nodes_serves_again_at_once() {
    for seed in 0..20 {
        let quota = quota::Quota {
            rate: 100.0,
            burst: 50.0,
        };
        let mut fleet = Fleet::new(15, seed, quota);
        fleet.loss = 0;
        while fleet.now < millis(6000) {
            fleet.step();
            fleet.request_many(0.8);
        }
        fleet.restart_all(millis(400));
        // By then all nodes have read the list of members.
        while fleet.now < millis(6600) {
            fleet.step();
        }
        let (before, from) = (fleet.granted(), fleet.now);
        let mut requested = 0;
        while fleet.now < from + millis(1000) {
            fleet.step();
            requested += fleet.request_many(0.8);
        }
        let served = fleet.granted() - before;
        assert!(
            served * 10 >= requested * 8,
            "seed {seed}: {served} of {requested}"
        );
        assert_eq!(fleet.violation(), None, "seed {seed}");
    }
}
