use std::net;
use std::time;

use crate::catalog;
use crate::enrol;
use crate::evidence;
use crate::id;
use crate::roster;
use crate::spread;
use crate::store;
use crate::tracker;

fn at(seconds: u64) -> id::Time {
    time::Duration::from_secs(seconds)
}

fn record(vm: &str) -> enrol::Record {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 1));
    enrol::Record {
        vm: vm.into(),
        domain: "d".into(),
        incarnation: 1,
        callers: address,
        peers: address,
        admin: address,
        draining: false,
        lease: None,
    }
}

fn roster(vms: &[&str], leaving: &[&str]) -> roster::Roster {
    let listings = leaving.iter().map(|vm| store::Listing {
        vm: (*vm).into(),
        domain: "d".into(),
        leaving: true,
    });
    roster::Roster {
        records: vms.iter().map(|vm| ((*vm).into(), record(vm))).collect(),
        listings: listings.collect(),
    }
}

fn tracker(vm: &str) -> tracker::Tracker {
    tracker::Tracker::new(vm.into(), "d".into(), at(0))
}

/// Proxies that may be given new work.
fn staying(tracker: &tracker::Tracker, now: u64) -> Vec<id::Vm> {
    let candidates = tracker.candidates(at(now)).into_iter();
    candidates
        .filter(|candidate| !candidate.leaving)
        .map(|candidate| candidate.vm)
        .collect()
}

// Guards against groups left unserved after a platform outage. All leases expire during the
// outage and the store comes back without registrations; unregistered proxies must not be
// treated as gone.
#[test]
fn an_empty_store_or_list_removes_no_proxy() {
    let mut tracker = tracker("a");
    assert!(tracker.apply_roster(roster(&["a", "b", "c"], &[]), at(1)));
    tracker.record_heartbeat(&record("b").heartbeat(), at(59));
    assert!(tracker.apply_roster(roster(&[], &[]), at(60)));
    assert_eq!(staying(&tracker, 60), ["a", "b", "c"]);
    assert_eq!(tracker.roster(at(60)).records.len(), 3);
    // A proxy that is also silent is removed.
    assert_eq!(tracker.suspects(at(60)), ["c"]);
    tracker.record_missed_heartbeat(&"c".into(), at(61));
    assert_eq!(staying(&tracker, 66), ["a", "b"]);
    assert_eq!(tracker.roster(at(66)).records.len(), 2);
}

#[test]
fn a_leaving_vm_gets_no_new_work_at_once() {
    let mut tracker = tracker("a");
    tracker.apply_roster(roster(&["a", "b", "c"], &[]), at(1));
    assert!(tracker.apply_roster(roster(&["a", "b", "c"], &["b"]), at(2)));
    assert_eq!(staying(&tracker, 2), ["a", "c"]);
    let draining = evidence::Heartbeat {
        draining: true,
        ..record("c").heartbeat()
    };
    tracker.record_heartbeat(&draining, at(2));
    assert_eq!(staying(&tracker, 2), ["a"]);
}

// Guards against an empty set of candidates, which leaves every group unserved. The platform
// replaces the whole fleet and announces it before the new VMs run.
#[test]
fn a_fleet_that_leaves_together_serves_until_replaced() {
    let mut tracker = tracker("a");
    tracker.apply_roster(roster(&["a", "b"], &["a", "b"]), at(1));
    assert_eq!(staying(&tracker, 1), ["a", "b"]);
    tracker.apply_roster(roster(&["a", "b", "c"], &["a", "b"]), at(2));
    assert_eq!(staying(&tracker, 2), ["c"]);
}

#[test]
fn only_declared_vms_serve() {
    let mut tracker = tracker("a");
    tracker.apply_roster(roster(&["a", "b"], &[]), at(1));
    tracker.set_catalog(&catalog::Catalog {
        vms: vec!["b".into()],
        ..catalog::Catalog::default()
    });
    assert_eq!(staying(&tracker, 1), ["b"]);
}

// Guards against groups moving to a proxy that cannot serve them. A proxy that starts during
// a store outage sends heartbeats but can get no seats, so it must not be chosen.
#[test]
fn unregistered_proxies_serve_nothing() {
    let mut tracker = tracker("a");
    tracker.apply_roster(roster(&["a"], &[]), at(1));
    tracker.record_heartbeat(&record("late").heartbeat(), at(2));
    assert_eq!(staying(&tracker, 2), ["a"]);
    let mut late = self::tracker("late");
    let update = tracker.update_for(None, at(2)).unwrap();
    assert!(late.apply_update(update, at(2)));
    assert_eq!(staying(&late, 2), ["a"]);
}

#[test]
fn roster_content_is_sent_once_and_older_rosters_are_ignored() {
    let (mut a, mut b) = (tracker("a"), tracker("b"));
    assert!(a.apply_roster(roster(&["a", "b"], &[]), at(1)));
    let old = a.update_for(None, at(2)).unwrap();
    assert!(b.apply_update(old.clone(), at(2)));
    assert!(!b.apply_update(old.clone(), at(2)), "known already");
    assert!(a.update_for(b.digest(at(3)), at(3)).is_none(), "as fresh");
    assert!(
        !a.apply_roster(roster(&["a", "b"], &[]), at(5)),
        "same content"
    );
    let fresher = a.update_for(b.digest(at(6)), at(6)).unwrap();
    assert_eq!(fresher.content, None);
    assert!(!b.apply_update(fresher, at(6)));
    assert_eq!(b.digest(at(6)).unwrap().age, at(1));
    assert!(a.apply_roster(roster(&["a", "b", "c"], &[]), at(7)));
    assert!(b.apply_update(a.update_for(b.digest(at(8)), at(8)).unwrap(), at(8)));
    assert!(!b.apply_push(old, at(3)), "an older one");
    assert_eq!(b.roster(at(8)).records.len(), 3);
}

/// Store reads per second by a whole fleet, over two minutes of virtual time.
fn reads(nodes: u32) -> f64 {
    let live: Vec<id::Vm> = (0..nodes)
        .map(|node| compact_str::format_compact!("vm-{node}"))
        .collect();
    let mut read = vec![at(0); live.len()];
    let mut tried = read.clone();
    let mut count = 0;
    let seconds = 120;
    for second in 1..=seconds {
        let now = at(second);
        for node in 0..live.len() {
            if tracker::should_read(&live[node], &live, Some(read[node]), tried[node], now) {
                tried[node] = now;
                read[node] = now;
                count += 1;
            }
            let partner = spread::partner(&live[node], &live, second).unwrap();
            let partner = live.iter().position(|vm| *vm == partner).unwrap();
            read[node] = read[node].max(read[partner]);
        }
    }
    f64::from(count) / at(seconds).as_secs_f64()
}

#[test]
fn reads_of_the_store_do_not_grow_with_the_fleet() {
    let (small, large) = (reads(8), reads(690));
    println!("{small} reads a second at 8 proxies, {large} at 690");
    let watchers = f64::from(u32::try_from(spread::WATCHER_COUNT).unwrap());
    assert!(small <= watchers && large <= watchers);
}
