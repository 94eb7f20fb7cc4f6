//! Times at which writes were confirmed, for checking the age of later reads.

use std::sync;
use std::time;

use crate::ledger;
use crate::profile;

/// Times of confirmation by item, shared by all callers of one group.
#[derive(Debug)]
pub struct History {
    items: Vec<sync::Mutex<Vec<time::Instant>>>,
}

impl History {
    /// Creates a history without confirmed writes.
    #[must_use]
    pub fn new() -> Self {
        let items = (profile::PROBER_ITEM..=profile::ITEMS)
            .map(|_| sync::Mutex::default())
            .collect();
        Self { items }
    }

    /// Records that a write to `item` was confirmed at `at`.
    ///
    /// # Panics
    /// When the item does not exist.
    pub fn record(&self, item: ledger::Item, at: time::Instant) {
        self.times(item).push(at);
    }

    /// Number of writes to `item` that were confirmed at or before `at`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let history = mangotray_lab::history::History::new();
    /// let start = Instant::now();
    /// history.record(2, start + Duration::from_secs(3));
    /// assert_eq!(history.confirmed_by(2, start), 0);
    /// assert_eq!(history.confirmed_by(2, start + Duration::from_secs(3)), 1);
    /// ```
    ///
    /// # Panics
    /// When the item does not exist.
    #[must_use]
    pub fn confirmed_by(&self, item: ledger::Item, at: time::Instant) -> usize {
        self.times(item).iter().filter(|time| **time <= at).count()
    }

    fn times(&self, item: ledger::Item) -> sync::MutexGuard<'_, Vec<time::Instant>> {
        let index = usize::try_from(item).expect("item fits a machine word");
        self.items[index]
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Default for History {
    fn default() -> Self {
        Self::new()
    }
}
