//! Which nodes hold the connections to an instance, by their capacity.

use std::collections;

use compact_str::format_compact;
use mangotray_desk::lending::fleet;
use mangotray_desk::lending::serving;
use mangotray_desk::member;
use mangotray_desk::upstream;

const INSTANCES: usize = 2000;

fn member(name: &str, capacity: Option<u32>) -> member::Member {
    member::Member {
        name: name.into(),
        domain: "here".into(),
        address: ([127, 0, 0, 1], 1).into(),
        protocol: 1,
        capacity,
    }
}

/// The first member for each of many instances.
fn first(members: &[member::Member]) -> Vec<upstream::Id> {
    let ids = (0..INSTANCES).map(|number| format_compact!("i-{number}"));
    let serves = |id| serving::order(members, &id, &"here".into())[0].name.clone();
    ids.map(serves).collect()
}

fn counts(first: &[upstream::Id]) -> collections::BTreeMap<upstream::Id, usize> {
    let mut counts = collections::BTreeMap::new();
    for name in first {
        *counts.entry(name.clone()).or_default() += 1;
    }
    counts
}

/// Guards against small nodes that relay as many statements as large ones.
#[test]
fn members_serve_in_proportion_to_their_capacity() {
    let members = [
        member("large", Some(500)),
        member("small", Some(120)),
        member("tiny", Some(60)),
    ];
    let counts = counts(&first(&members));
    for (name, capacity) in [("large", 500), ("small", 120), ("tiny", 60)] {
        let expected = INSTANCES * capacity / 680;
        let served = counts[name];
        assert!(served.abs_diff(expected) < INSTANCES / 25, "{counts:?}");
    }
}

/// Guards against a change of serving nodes where no member tells its capacity, and during an
/// upgrade in which all that tell it are of one size.
#[test]
fn equal_capacities_keep_the_order_of_the_hashes() {
    let names = ["a", "b", "c", "d", "e"];
    let plain = names.map(|name| member(name, None));
    let equal = names.map(|name| member(name, Some(250)));
    let mixed = names.map(|name| member(name, (name > "b").then_some(250)));
    assert_eq!(first(&plain), first(&equal));
    assert_eq!(first(&plain), first(&mixed));
}

/// Guards against a change of one member that moves instances between the others.
#[test]
fn a_change_of_one_member_moves_only_what_it_gains_or_loses() {
    let names = ["a", "b", "c", "d"];
    let before = names.map(|name| member(name, Some(120)));
    let mut grown = before.clone();
    grown[2].capacity = Some(500);
    let joined: Vec<_> = before
        .iter()
        .cloned()
        .chain([member("e", Some(500))])
        .collect();
    for (changed, name) in [
        (grown.to_vec(), "c"),
        (joined, "e"),
        (before[..3].to_vec(), "d"),
    ] {
        let (before, after) = (first(&before), first(&changed));
        let moved = before
            .iter()
            .zip(&after)
            .filter(|(before, after)| before != after);
        for (before, after) in moved {
            assert!([before, after].contains(&&name.into()), "{before} {after}");
        }
    }
}

/// Guards against an instance that is served from another failure domain because a larger node is
/// there.
#[test]
fn the_failure_domain_of_the_instance_comes_before_capacity() {
    let mut far = member("far", Some(8000));
    far.domain = "there".into();
    let members = [far, member("near", Some(120))];
    assert!(first(&members).iter().all(|name| name == "near"));
}

/// Guards against a member whose entry has a capacity of zero.
#[test]
fn a_capacity_of_zero_still_takes_part() {
    let members = [member("zero", Some(0)), member("one", None)];
    assert_eq!(first(&members).len(), INSTANCES);
}

fn random_members(random: &mut fastrand::Rng) -> Vec<member::Member> {
    let (tells, count) = (random.bool(), random.usize(..70));
    let one = |_| member::Member {
        domain: format_compact!("d-{}", random.u8(..4)),
        capacity: (tells && random.bool()).then(|| random.u32(..1000)),
        ..member(&format_compact!("vm-{}", random.u8(..80)), None)
    };
    (0..count).map(one).collect()
}

/// Guards against a kept order that differs from the one of the current members: after a change of
/// any member, or for an instance that moved to another failure domain. Also lists with a name that
/// stands twice.
#[test]
fn a_kept_order_is_that_of_the_current_members() {
    let mut random = fastrand::Rng::with_seed(1);
    let mut fleet = fleet::Fleet::default();
    for _ in 0..200 {
        let members = random_members(&mut random);
        fleet.replace(members.clone());
        assert_eq!(fleet.members(), members);
        for _ in 0..60 {
            let instance = format_compact!("i-{}", random.u8(..12));
            let domain = format_compact!("d-{}", random.u8(..3));
            let kept = fleet.order(&instance, &domain);
            let kept: Vec<_> = kept.iter().map(|position| &members[*position]).collect();
            assert_eq!(kept, serving::order(&members, &instance, &domain));
        }
    }
}

/// Guards against orders that are kept for each instance that ever was.
#[test]
fn few_orders_are_kept() {
    let mut fleet = fleet::Fleet::default();
    fleet.replace(vec![member("vm", None)]);
    for number in 0..3 * fleet::MAX_ORDERS {
        fleet.order(&format_compact!("i-{number}"), &"here".into());
        assert!(fleet.kept() <= fleet::MAX_ORDERS);
    }
    fleet.order(&"i-1".into(), &"here".into());
    fleet.prune(|instance| instance == "i-1");
    assert_eq!(fleet.kept(), 1);
}
