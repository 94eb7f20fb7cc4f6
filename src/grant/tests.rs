use std::time;

use crate::grant;
use crate::id;
use crate::witness;

fn at(seconds: u64) -> id::Time {
    time::Duration::from_secs(seconds)
}

fn silent(seconds: u64) -> witness::Report {
    witness::Report {
        silent: at(seconds),
        contacted: true,
    }
}

fn grant() -> grant::Grant {
    grant::Grant::new("l".into(), at(0), grant::Limits::default())
}

fn names() -> Vec<id::Vm> {
    ["w", "x", "y"].map(id::Vm::from).to_vec()
}

#[test]
fn a_guard_interval_outlasts_a_lease_and_any_report() {
    let limits = grant::Limits::default();
    assert!(limits.guard >= limits.ttl + limits.margin);
    assert!(limits.stretch(limits.report_validity()) < limits.guard);
}

/// Guards against an isolated VM that keeps using its lease. Just before the partition its peers
/// reported that they had recently renewed their own leases; such reports indicate no outage.
#[test]
fn an_isolated_vm_stops_at_the_end_of_its_lease() {
    let mut grant = grant();
    for vm in names() {
        grant.record_report(&vm, at(8), at(8), silent(2));
    }
    assert_eq!(
        grant.usable_until(&names()),
        grant::Limits::default().lease_end(at(0))
    );
}

/// Guards against all VMs stopping a few minutes into an outage. The reported time without contact
/// grows, and with it the allowance for clock drift, until a single report no longer reaches back
/// to the end of the lease.
#[test]
fn reports_during_a_long_outage_are_combined() {
    let mut grant = grant();
    for now in 5..4_000 {
        for vm in &names()[..2] {
            grant.record_report(vm, at(now), at(now), silent(now));
        }
    }
    assert!(grant.usable_until(&names()) > at(4_000));
    let mut late = self::grant();
    late.record_report(&names()[0], at(3_999), at(3_999), silent(3_999));
    late.record_report(&names()[1], at(3_999), at(3_999), silent(3_999));
    assert!(late.usable_until(&names()) < at(4_000));
}

/// Guards against two users of one seat. A witness had contact during the outage and restarted, so
/// its process does not know of that contact; its report must not cover the time before its start.
#[test]
fn a_restarted_witness_does_not_report_on_earlier_times() {
    let mut grant = grant();
    let mut restarted = witness::Witness::new(at(30));
    for vm in &names()[..2] {
        grant.record_report(vm, at(40), at(40), restarted.report(at(40)));
    }
    assert!(grant.usable_until(&names()) < at(40));
    restarted.record_contact(at(41));
    assert!(restarted.report(at(41)).contacted);
}
