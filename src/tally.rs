//! Counts of promotions and failovers of one group, for operators.

use std::sync::atomic;
use std::time;

use crate::id;
use crate::telemetry;

/// Value of `gap_ms` before the first failover.
const NO_GAP: u64 = u64::MAX;

/// Counts since this proxy started to serve the group.
#[derive(Debug)]
pub struct Tally {
    promotions: atomic::AtomicU64,
    /// Length of the last failover in milliseconds, or [`NO_GAP`].
    gap_ms: atomic::AtomicU64,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            promotions: atomic::AtomicU64::new(0),
            gap_ms: atomic::AtomicU64::new(NO_GAP),
        }
    }
}

impl Tally {
    /// Records a promotion that this proxy completed.
    ///
    /// ```
    /// let tally = mangotray::tally::Tally::default();
    /// tally.record_promotion(&"campaign-core-1".into());
    /// assert_eq!(tally.promotions(), 1);
    /// ```
    pub fn record_promotion(&self, group: &id::Group) {
        self.promotions.fetch_add(1, atomic::Ordering::Relaxed);
        let group = group.to_string();
        metrics::counter!(telemetry::PROMOTIONS, "group" => group).increment(1);
    }

    /// Records the length of a failover that any proxy completed.
    ///
    /// ```
    /// use std::time::Duration;
    /// let tally = mangotray::tally::Tally::default();
    /// tally.record_failover(&"campaign-core-1".into(), Duration::from_millis(700));
    /// assert_eq!(tally.last_gap_ms(), Some(700));
    /// ```
    pub fn record_failover(&self, group: &id::Group, gap: time::Duration) {
        let millis = u64::try_from(gap.as_millis()).unwrap_or(NO_GAP - 1);
        self.gap_ms.store(millis, atomic::Ordering::Relaxed);
        let group = group.to_string();
        metrics::histogram!(telemetry::FAILOVER_GAP, "group" => group).record(gap.as_secs_f64());
    }

    /// Number of promotions that this proxy completed.
    #[must_use]
    pub fn promotions(&self) -> u64 {
        self.promotions.load(atomic::Ordering::Relaxed)
    }

    /// Length of the last failover in milliseconds; `None` before the first.
    #[must_use]
    pub fn last_gap_ms(&self) -> Option<u64> {
        let millis = self.gap_ms.load(atomic::Ordering::Relaxed);
        (millis != NO_GAP).then_some(millis)
    }
}
