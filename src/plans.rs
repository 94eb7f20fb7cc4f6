//! Bounded cache of plans by SQL text, which avoids parsing repeated texts.

use std::sync;

use arc_swap::ArcSwap;

use crate::classify;

/// Longest text that is cached, in bytes; longer texts are rarely repeated.
const MAX_TEXT_BYTES: usize = 8 * 1024;

/// Default capacity of each of the two generations, in texts.
const GENERATION_CAPACITY: usize = 2_000;

type Generation = sync::Arc<papaya::HashMap<Box<str>, sync::Arc<classify::Plan>>>;

/// Cache of plans by text, in two generations.
///
/// When the young generation is full, it becomes the old one and the previous old one is dropped.
/// A text found in the old generation is copied to the young one, so texts in use stay cached.
#[derive(Debug)]
pub struct Cache {
    generations: ArcSwap<Generations>,
    entries: usize,
}

#[derive(Debug, Default)]
struct Generations {
    young: Generation,
    old: Generation,
}

impl Default for Cache {
    fn default() -> Self {
        Self::new(GENERATION_CAPACITY)
    }
}

impl Cache {
    /// Creates a cache of two generations with `entries` texts each.
    ///
    /// ```
    /// let cache = mangotray::plans::Cache::new(10);
    /// let first = cache.plan("SELECT 1");
    /// assert!(std::sync::Arc::ptr_eq(&first, &cache.plan("SELECT 1")));
    /// ```
    #[must_use]
    pub fn new(entries: usize) -> Self {
        Self {
            generations: ArcSwap::default(),
            entries,
        }
    }

    /// Returns the plan for a text, from the cache if it is there.
    ///
    /// ```
    /// use mangotray::{classify, plans};
    /// let plan = plans::Cache::default().plan("");
    /// assert_eq!(*plan, classify::Plan::Empty);
    /// ```
    pub fn plan(&self, text: &str) -> sync::Arc<classify::Plan> {
        if text.len() > MAX_TEXT_BYTES {
            return sync::Arc::new(classify::plan(text));
        }
        let generations = self.generations.load();
        if let Some(plan) = generations.young.pin().get(text) {
            return plan.clone();
        }
        let known = generations.old.pin().get(text).cloned();
        let plan = known.unwrap_or_else(|| sync::Arc::new(classify::plan(text)));
        self.insert(&generations, text, &plan);
        plan
    }

    fn insert(&self, generations: &Generations, text: &str, plan: &sync::Arc<classify::Plan>) {
        generations.young.pin().insert(text.into(), plan.clone());
        if generations.young.len() < self.entries {
            return;
        }
        // Several threads may find the generation full; only the first one replaces it.
        self.generations.rcu(|current| {
            if !sync::Arc::ptr_eq(&current.young, &generations.young) {
                return sync::Arc::clone(current);
            }
            sync::Arc::new(Generations {
                young: Generation::default(),
                old: current.young.clone(),
            })
        });
    }
}

#[cfg(test)]
mod tests;
