use std::collections;

use super::*;

#[test]
fn every_fault_profile_and_policy_is_run() {
    let cases = cases(3);
    let policies: collections::BTreeSet<_> = cases.iter().map(|case| case.policy).collect();
    assert_eq!(policies.len(), 5);
    for (name, _) in fault::KINDS {
        let has_fault = |case: &&Case| case.fault.as_deref().is_some_and(|it| it.starts_with(name));
        let profiles: collections::BTreeSet<_> = cases
            .iter()
            .filter(has_fault)
            .map(|case| case.profile)
            .collect();
        assert_eq!(profiles.len(), 2, "{name}");
    }
}

#[test]
fn baselines_are_compared_with_the_same_run_under_default() {
    let finished: Vec<_> = cases(3)
        .into_iter()
        .map(|case| (case, report::Report::default()))
        .collect();
    let compared: Vec<_> = compared_pairs(&finished)
        .map(|(_, other)| other.0.policy)
        .collect();
    let count = |policy| compared.iter().filter(|it| **it == policy).count();
    assert_eq!(count("lease-expiry"), 2);
    assert_eq!(count("unsafe-ack"), 3);
    assert_eq!(count("primary-only"), 2);
    assert_eq!(count("token-only"), 2);
}
