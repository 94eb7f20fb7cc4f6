use std::net;
use std::time;

use crate::catalog;
use crate::database;
use crate::evidence;
use crate::id;
use crate::member;
use crate::store;

fn at(seconds: u64) -> id::Time {
    time::Duration::from_secs(seconds)
}

fn heartbeat(vm: &str) -> evidence::Heartbeat {
    evidence::Heartbeat {
        vm: vm.into(),
        domain: "d".into(),
        incarnation: 1,
        draining: false,
    }
}

fn listing(vm: &str, leaving: bool) -> store::Listing {
    store::Listing {
        vm: vm.into(),
        domain: "d".into(),
        leaving,
    }
}

/// View of the VM `own`, in which `a`, `b` and `c` are listed, hold leases and have sent a
/// heartbeat at time 0.
fn view() -> member::View {
    let mut view = member::View::new("own".into(), "d".into());
    let names = ["a", "b", "c"];
    view.record_list(&names.map(|vm| listing(vm, false)), at(0));
    view.record_leases(&names.map(heartbeat), at(0));
    for vm in names {
        view.record_heartbeat(&heartbeat(vm), at(0));
    }
    view
}

fn assessed(view: &member::View, vm: &str, now: u64) -> (member::State, member::Cause) {
    let members = view.members(at(now));
    let member = members.iter().find(|member| member.vm == vm).unwrap();
    (member.state, member.cause)
}

/// Guards against all VMs being removed during an outage of the platform, which then answers
/// with an empty list, or with none for an hour.
#[test]
fn an_empty_or_old_list_removes_no_vm() {
    let mut view = view();
    view.record_list(&[], at(60));
    view.record_list(&[], at(3_600));
    assert_eq!(view.candidates(at(3_600)).len(), 4);
    assert!(view.destroyed(at(3_600)).is_empty());
}

#[test]
fn a_delisted_vm_is_live_with_heartbeats_and_dead_without() {
    let mut view = view();
    view.record_list(&[listing("a", false)], at(10));
    view.record_heartbeat(&heartbeat("b"), at(39));
    assert_eq!(assessed(&view, "c", 39).0, member::State::Live);
    let dead = (member::State::Dead, member::Cause::Delisted);
    assert_eq!(assessed(&view, "c", 40), dead);
    assert_eq!(assessed(&view, "b", 40).0, member::State::Live);
    assert_eq!(view.destroyed(at(40)), ["c"]);
    view.record_list(&[listing("a", false)], at(700));
    assert!(view.members(at(700)).iter().all(|member| member.vm != "c"));
}

#[test]
fn a_vm_with_heartbeats_is_live_before_it_is_listed() {
    let mut view = view();
    view.record_heartbeat(&heartbeat("new"), at(5));
    view.record_list(&[listing("a", false)], at(6));
    let live = (member::State::Live, member::Cause::Heartbeat);
    assert_eq!(assessed(&view, "new", 60), live);
}

#[test]
fn an_announcement_applies_at_once_and_outlasts_a_lagging_list() {
    let mut view = view();
    let leaving = (member::State::Leaving, member::Cause::Announced);
    view.record_list(&[listing("a", true)], at(10));
    assert_eq!(assessed(&view, "a", 10), leaving);
    view.record_list(&[listing("a", false)], at(12));
    assert_eq!(assessed(&view, "a", 12), leaving);
    view.record_list(&[listing("a", false)], at(40));
    assert_eq!(assessed(&view, "a", 40).0, member::State::Live);
}

#[test]
fn the_configuration_file_and_the_vm_itself_can_withdraw_it() {
    let mut view = view();
    let mut catalog = catalog::Catalog {
        vms: vec!["own".into(), "a".into()],
        ..catalog::Catalog::default()
    };
    view.set_catalog(&catalog);
    let withdrawn = (member::State::Leaving, member::Cause::Withdrawn);
    assert_eq!(assessed(&view, "b", 1), withdrawn);
    catalog.vms.clear();
    view.set_catalog(&catalog);
    let mut last = heartbeat("b");
    last.draining = true;
    view.record_heartbeat(&last, at(2));
    view.record_heartbeat(&heartbeat("b"), at(2));
    let draining = (member::State::Leaving, member::Cause::Draining);
    assert_eq!(assessed(&view, "b", 2), draining);
    last.incarnation = 2;
    last.draining = false;
    view.record_heartbeat(&last, at(3));
    assert_eq!(assessed(&view, "b", 3).0, member::State::Live);
    view.record_draining();
    assert_eq!(assessed(&view, "own", 3).0, member::State::Leaving);
}

/// Guards against a healthy VM losing its groups when only the link to it fails: it still
/// renews its lease.
#[test]
fn a_silent_vm_is_suspect_with_a_lease_and_dead_without() {
    let mut view = view();
    view.record_missed_heartbeat(&"a".into(), at(1));
    view.record_leases(&["a", "b", "c"].map(heartbeat), at(6));
    let unreachable = (member::State::Suspect, member::Cause::Unreachable);
    assert_eq!(assessed(&view, "a", 6), unreachable);
    view.record_leases(&["b", "c"].map(heartbeat), at(7));
    let dead = (member::State::Dead, member::Cause::SilentAndGone);
    assert_eq!(assessed(&view, "a", 7), dead);
}

/// Guards against all VMs counting as dead at the end of a store outage, when all leases have
/// ended. A lease shows only that a VM reaches the store; a heartbeat shows that it is alive.
#[test]
fn a_vm_with_heartbeats_is_live_without_a_lease() {
    let mut view = view();
    view.record_leases(&[], at(10));
    for vm in ["a", "b", "c"] {
        view.record_heartbeat(&heartbeat(vm), at(10));
        assert_eq!(assessed(&view, vm, 10).0, member::State::Live);
    }
}

/// Guards against an isolated VM treating all others as dead and taking over their groups:
/// the store and all peers become unreachable at once, so the failure is on its own side.
#[test]
fn an_isolated_vm_only_suspects_the_others() {
    let mut view = view();
    view.record_missed_heartbeat(&"a".into(), at(1));
    let dead = (member::State::Dead, member::Cause::Silence);
    assert_eq!(assessed(&view, "a", 20), dead);
    view.record_missed_heartbeat(&"b".into(), at(1));
    view.record_missed_heartbeat(&"c".into(), at(1));
    for vm in ["a", "b", "c"] {
        let isolated = (member::State::Suspect, member::Cause::Isolated);
        assert_eq!(assessed(&view, vm, 20), isolated);
    }
}

#[test]
fn an_upstream_is_withdrawn_by_the_file_or_by_the_platform() {
    let mut view = view();
    let mut instance = database::Instance {
        name: "db-1".into(),
        address: net::SocketAddr::from(([127, 0, 0, 1], 5432)),
        domain: "d".into(),
        leaving: false,
    };
    assert!(!view.withdrawn(&instance));
    view.record_list(&[listing("a", false), listing("db-1", true)], at(1));
    assert!(view.withdrawn(&instance));
    assert_eq!(view.candidates(at(1)).len(), 4);
    instance.name = "db-2".into();
    instance.leaving = true;
    assert!(view.withdrawn(&instance));
}
