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

fn sign(vm: &str) -> evidence::Sign {
    evidence::Sign {
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
    view.listed(&names.map(|vm| listing(vm, false)), at(0));
    view.leases(&names.map(sign), at(0));
    for vm in names {
        view.heard(&sign(vm), at(0));
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
    view.listed(&[], at(60));
    view.listed(&[], at(3_600));
    assert_eq!(view.candidates(at(3_600)).len(), 4);
    assert!(view.destroyed(at(3_600)).is_empty());
}

#[test]
fn delisted_and_heard_is_live_delisted_and_silent_is_dead() {
    let mut view = view();
    view.listed(&[listing("a", false)], at(10));
    view.heard(&sign("b"), at(39));
    assert_eq!(assessed(&view, "c", 39).0, member::State::Live);
    let dead = (member::State::Dead, member::Cause::Delisted);
    assert_eq!(assessed(&view, "c", 40), dead);
    assert_eq!(assessed(&view, "b", 40).0, member::State::Live);
    assert_eq!(view.destroyed(at(40)), ["c"]);
    view.listed(&[listing("a", false)], at(700));
    assert!(view.members(at(700)).iter().all(|member| member.vm != "c"));
}

#[test]
fn heard_but_not_yet_listed_is_live() {
    let mut view = view();
    view.heard(&sign("new"), at(5));
    view.listed(&[listing("a", false)], at(6));
    let live = (member::State::Live, member::Cause::Heartbeat);
    assert_eq!(assessed(&view, "new", 60), live);
}

#[test]
fn an_announcement_applies_at_once_and_outlasts_a_lagging_list() {
    let mut view = view();
    let leaving = (member::State::Leaving, member::Cause::Announced);
    view.listed(&[listing("a", true)], at(10));
    assert_eq!(assessed(&view, "a", 10), leaving);
    view.listed(&[listing("a", false)], at(12));
    assert_eq!(assessed(&view, "a", 12), leaving);
    view.listed(&[listing("a", false)], at(40));
    assert_eq!(assessed(&view, "a", 40).0, member::State::Live);
}

#[test]
fn the_configuration_file_and_the_vm_itself_can_withdraw_it() {
    let mut view = view();
    let mut catalog = catalog::Catalog {
        vms: vec!["own".into(), "a".into()],
        ..catalog::Catalog::default()
    };
    view.declared(&catalog);
    let withdrawn = (member::State::Leaving, member::Cause::Withdrawn);
    assert_eq!(assessed(&view, "b", 1), withdrawn);
    catalog.vms.clear();
    view.declared(&catalog);
    let mut last = sign("b");
    last.draining = true;
    view.heard(&last, at(2));
    view.heard(&sign("b"), at(2));
    let draining = (member::State::Leaving, member::Cause::Draining);
    assert_eq!(assessed(&view, "b", 2), draining);
    last.incarnation = 2;
    last.draining = false;
    view.heard(&last, at(3));
    assert_eq!(assessed(&view, "b", 3).0, member::State::Live);
    view.drain();
    assert_eq!(assessed(&view, "own", 3).0, member::State::Leaving);
}

/// Guards against a healthy VM losing its groups when only the link to it fails: it still
/// renews its lease.
#[test]
fn silent_but_leased_is_suspect_silent_and_unleased_is_dead() {
    let mut view = view();
    view.missed(&"a".into(), at(1));
    view.leases(&["a", "b", "c"].map(sign), at(6));
    let unreachable = (member::State::Suspect, member::Cause::Unreachable);
    assert_eq!(assessed(&view, "a", 6), unreachable);
    view.leases(&["b", "c"].map(sign), at(7));
    let dead = (member::State::Dead, member::Cause::SilentAndGone);
    assert_eq!(assessed(&view, "a", 7), dead);
}

/// Guards against all VMs counting as dead at the end of a store outage, when all leases have
/// ended. A lease shows only that a VM reaches the store; a heartbeat shows that it is alive.
#[test]
fn heard_without_a_lease_is_live() {
    let mut view = view();
    view.leases(&[], at(10));
    for vm in ["a", "b", "c"] {
        view.heard(&sign(vm), at(10));
        assert_eq!(assessed(&view, vm, 10).0, member::State::Live);
    }
}

/// Guards against an isolated VM treating all others as dead and taking over their groups:
/// the store and all peers become unreachable at once, so the failure is on its own side.
#[test]
fn an_isolated_vm_only_suspects_the_others() {
    let mut view = view();
    view.missed(&"a".into(), at(1));
    let dead = (member::State::Dead, member::Cause::Silence);
    assert_eq!(assessed(&view, "a", 20), dead);
    view.missed(&"b".into(), at(1));
    view.missed(&"c".into(), at(1));
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
    view.listed(&[listing("a", false), listing("db-1", true)], at(1));
    assert!(view.withdrawn(&instance));
    assert_eq!(view.candidates(at(1)).len(), 4);
    instance.name = "db-2".into();
    instance.leaving = true;
    assert!(view.withdrawn(&instance));
}
