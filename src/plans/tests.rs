use std::sync;

use super::Cache;

#[test]
fn texts_in_use_stay_cached_within_the_limit() {
    let cache = Cache::new(8);
    let first = cache.plan("SELECT 1 FROM shows");
    for number in 0..1_000 {
        let _ = cache.plan(&format!("SELECT {number}"));
        let again = cache.plan("SELECT 1 FROM shows");
        assert!(sync::Arc::ptr_eq(&first, &again), "after {number}");
        let generations = cache.generations.load();
        assert!(generations.young.len() <= 8 && generations.old.len() <= 8);
    }
}

#[test]
fn long_texts_are_not_cached() {
    let cache = Cache::new(8);
    let text = format!("SELECT '{}'", "a".repeat(super::MAX_TEXT_BYTES));
    let _ = cache.plan(&text);
    assert_eq!(cache.generations.load().young.len(), 0);
}
