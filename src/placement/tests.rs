use std::collections;

use crate::id;
use crate::placement;

const DOMAINS: usize = 3;

fn candidates(size: usize) -> Vec<placement::Candidate> {
    (0..size)
        .map(|number| placement::Candidate {
            vm: format!("entry-{number}").into(),
            domain: format!("domain-{}", number % DOMAINS).into(),
            leaving: false,
        })
        .collect()
}

fn serving_sets(groups: usize, vms: &[placement::Candidate]) -> Vec<Vec<id::Vm>> {
    (0..groups)
        .map(|number| {
            placement::serving_set(&format!("group-{number}"), vms, placement::MAX_SERVING_VMS)
        })
        .collect()
}

fn added_members(before: &[Vec<id::Vm>], after: &[Vec<id::Vm>]) -> usize {
    before
        .iter()
        .zip(after)
        .map(|(old, new)| new.iter().filter(|vm| !old.contains(vm)).count())
        .sum()
}

#[test]
fn score_is_the_same_in_every_version() {
    // Expected value from an independent implementation of the hash.
    assert_eq!(
        placement::score("dome-sched-1", "entry-1"),
        4_705_686_109_814_426_093
    );
}

#[test]
fn no_domain_is_used_twice_while_another_is_free() {
    let vms = candidates(8);
    for set in serving_sets(200, &vms) {
        let domains: collections::HashSet<_> = set
            .iter()
            .map(|vm| &vms.iter().find(|known| known.vm == *vm).unwrap().domain)
            .collect();
        assert_eq!(domains.len(), DOMAINS);
    }
}

#[test]
fn domains_are_shared_when_there_are_too_few() {
    let vms: Vec<_> = candidates(8)
        .into_iter()
        .filter(|vm| vm.domain == "domain-0")
        .collect();
    assert_eq!(placement::serving_set("group", &vms, 3).len(), 3);
    assert_eq!(placement::serving_set("group", &vms, 9).len(), vms.len());
    assert!(placement::serving_set("group", &[], 3).is_empty());
}

#[test]
fn order_of_the_list_and_repeated_lines_do_not_matter() {
    let vms = candidates(8);
    let mut other = vms.clone();
    other.reverse();
    other.extend(vms.clone());
    assert_eq!(serving_sets(100, &vms), serving_sets(100, &other));
}

/// Guards against reconnects of unrelated groups when one VM leaves. They occur when placement
/// depends on a VM's index in the list: removing one VM renumbers the others and changes serving
/// sets that did not contain it.
#[test]
fn a_leaving_vm_changes_only_its_own_serving_sets() {
    let mut vms = candidates(30);
    let before = serving_sets(1_400, &vms);
    let leaving_vm = vms[7].vm.clone();
    let held = before
        .iter()
        .filter(|set| set.contains(&leaving_vm))
        .count();
    vms[7].leaving = true;
    let after = serving_sets(1_400, &vms);
    assert!(after.iter().all(|set| !set.contains(&leaving_vm)));
    println!(
        "replaced {} of {} members of serving sets",
        added_members(&before, &after),
        1_400 * 3
    );
    assert_eq!(added_members(&before, &after), held);
}

#[test]
fn a_joining_vm_changes_only_the_serving_sets_that_it_joins() {
    let before = serving_sets(1_400, &candidates(30));
    let after = serving_sets(1_400, &candidates(31));
    let won = after
        .iter()
        .filter(|set| set.contains(&"entry-30".into()))
        .count();
    assert_eq!(added_members(&before, &after), won);
    let mean = 1_400 * placement::MAX_SERVING_VMS / 31;
    assert!(
        won < 2 * mean,
        "the new VM serves {won} groups, the mean is {mean}"
    );
}

#[test]
fn load_is_balanced_at_the_target_size() {
    let vms = candidates(690);
    let mut groups_per_vm: collections::HashMap<id::Vm, usize> = collections::HashMap::new();
    for vm in serving_sets(1_400, &vms).into_iter().flatten() {
        *groups_per_vm.entry(vm).or_default() += 1;
    }
    let counts = vms
        .iter()
        .map(|known| groups_per_vm.get(&known.vm).copied().unwrap_or(0));
    let (least, most) = (counts.clone().min().unwrap(), counts.max().unwrap());
    println!(
        "groups per VM: least {least}, most {most}, mean {}",
        1_400.0 * 3.0 / 690.0
    );
    assert!(most <= 20, "a VM serves {most} groups, the mean is 6");
    let idle = vms.len() - groups_per_vm.len();
    assert!(idle <= 20, "{idle} of 690 VMs serve nothing");
}
