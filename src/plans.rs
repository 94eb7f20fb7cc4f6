//! Bounded memory of what SQL texts need, so that the path of a request seldom parses.

use std::sync;

use arc_swap::ArcSwap;

use crate::classify;

/// Longest text that is remembered, in bytes; longer ones are rarely repeated.
const MAX_TEXT_BYTES: usize = 8 * 1024;

/// Texts in each of the two generations.
const GENERATION_CAPACITY: usize = 2_000;

type Generation = sync::Arc<papaya::HashMap<Box<str>, sync::Arc<classify::Plan>>>;

/// Plans by text, in two generations: when the young one is full it becomes the old
/// one and the old one is dropped, so texts in use stay and the rest goes.
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
    /// A cache of two generations of `entries` texts each.
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

    /// The plan for a text, from memory when it is there.
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
        // Of several threads that find it full, one turns the generations.
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
