use std::time;

use crate::space;

const TTL: time::Duration = time::Duration::from_secs(10);

#[test]
fn a_removed_key_moves_its_index_on() {
    let mut space = space::Space::default();
    let lease = space.grant(TTL, time::Duration::ZERO);
    space.put("a", "1".into(), 0, Some(&lease));
    let seen = space.index("a");
    space.revoke(&lease);
    assert!(space.index("a") > seen);
    assert_eq!(space.put("a", "2".into(), seen, None), space::Put::Conflict);
    assert_eq!(space.put("a", "2".into(), 0, None), space::Put::Stored);
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
        space::Put::NoLease
    );
}

#[test]
fn a_prefix_lists_just_its_keys() {
    let mut space = space::Space::default();
    for key in ["a", "b/1", "b/2", "c"] {
        space.put(key, "x".into(), 0, None);
    }
    let keys: Vec<_> = space.list("b/").into_iter().map(|e| e.key).collect();
    assert_eq!(keys, ["b/1", "b/2"]);
}

#[test]
fn a_value_has_a_greatest_length() {
    let mut space = space::Space::default();
    let value = vec![0; space::VALUE_LIMIT + 1];
    assert_eq!(space.put("a", value.into(), 0, None), space::Put::TooLarge);
}
