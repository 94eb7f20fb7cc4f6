use std::time;

use crate::space;

const TTL: time::Duration = time::Duration::from_secs(10);

#[test]
fn removal_of_a_key_advances_its_index() {
    let mut space = space::Space::default();
    let lease = space.grant(TTL, time::Duration::ZERO);
    space.put("a", "1".into(), 0, Some(&lease));
    let version = space.index("a");
    space.revoke(&lease);
    assert!(space.index("a") > version);
    assert_eq!(
        space.put("a", "2".into(), version, None),
        space::Outcome::Conflict
    );
    assert_eq!(space.put("a", "2".into(), 0, None), space::Outcome::Stored);
}

#[test]
fn a_renewed_lease_keeps_its_entries() {
    let mut space = space::Space::default();
    let lease = space.grant(TTL, time::Duration::ZERO);
    space.put("a", "1".into(), 0, Some(&lease));
    assert!(space.renew(&lease, TTL / 2));
    assert_eq!(space.expire(TTL), 0);
    assert!(!space.renew(&lease, TTL * 2));
    assert_eq!(
        space.put("b", "1".into(), 0, Some(&lease)),
        space::Outcome::NoLease
    );
}

#[test]
fn a_list_has_only_keys_with_the_prefix() {
    let mut space = space::Space::default();
    for key in ["a", "b/1", "b/2", "c"] {
        space.put(key, "x".into(), 0, None);
    }
    let keys: Vec<_> = space
        .list("b/")
        .into_iter()
        .map(|entry| entry.key)
        .collect();
    assert_eq!(keys, ["b/1", "b/2"]);
}

#[test]
fn values_over_the_limit_are_refused() {
    let mut space = space::Space::default();
    let value = vec![0; space::MAX_VALUE_BYTES + 1];
    assert_eq!(
        space.put("a", value.into(), 0, None),
        space::Outcome::TooLarge
    );
}
