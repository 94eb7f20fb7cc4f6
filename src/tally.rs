//! Failovers of one group that this proxy has met, for operators.

use std::sync::atomic;
use std::time;

use crate::id;
use crate::telemetry;

const NONE: u64 = u64::MAX;

/// Counts since this proxy began to serve the group.
#[derive(Debug)]
pub struct Tally {
    promotions: atomic::AtomicU64,
    /// In milliseconds.
    gap: atomic::AtomicU64,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            promotions: atomic::AtomicU64::new(0),
            gap: atomic::AtomicU64::new(NONE),
        }
    }
}

impl Tally {
    /// Notes a promotion that this proxy carried through.
    ///
    /// ```
    /// let tally = mangotray::tally::Tally::default();
    /// tally.promoted(&"campaign-core-1".into());
    /// assert_eq!(tally.promotions(), 1);
    /// ```
    pub fn promoted(&self, group: &id::Group) {
        self.promotions.fetch_add(1, atomic::Ordering::Relaxed);
        let group = group.to_string();
        metrics::counter!(telemetry::PROMOTIONS, "group" => group).increment(1);
    }

    /// Notes the length of a failover, whichever proxy carried it through.
    ///
    /// ```
    /// use std::time::Duration;
    /// let tally = mangotray::tally::Tally::default();
    /// tally.failed_over(&"campaign-core-1".into(), Duration::from_millis(700));
    /// assert_eq!(tally.last_gap_ms(), Some(700));
    /// ```
    pub fn failed_over(&self, group: &id::Group, gap: time::Duration) {
        let millis = u64::try_from(gap.as_millis()).unwrap_or(NONE - 1);
        self.gap.store(millis, atomic::Ordering::Relaxed);
        let group = group.to_string();
        metrics::histogram!(telemetry::FAILOVER_GAP, "group" => group).record(gap.as_secs_f64());
    }

    /// Promotions that this proxy carried through.
    #[must_use]
    pub fn promotions(&self) -> u64 {
        self.promotions.load(atomic::Ordering::Relaxed)
    }

    /// Length of the last failover in milliseconds; `None` before the first.
    #[must_use]
    pub fn last_gap_ms(&self) -> Option<u64> {
        let millis = self.gap.load(atomic::Ordering::Relaxed);
        (millis != NONE).then_some(millis)
    }
}
