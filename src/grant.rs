//! Time until which one of this VM's leases at the platform's store is certain to hold.
//!
//! The use of a lease ends with the lease, except in an outage of the store: then it is extended
//! while a majority of the witnesses report that they had no contact with the store either.
//!
//! All times are those of this VM's monotonic clock. Of another VM's clock only the length of
//! intervals is used, with an error of at most [`Limits::drift`].

use std::collections;
use std::time;

use crate::id;
use crate::store;
use crate::witness;

const PER_MILLE: u32 = 1_000;

/// Limits that must be the same on all VMs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Time to live of a lease at the store.
    #[serde(with = "humantime_serde")]
    pub ttl: time::Duration,
    /// Wait between taking over a seat and using it; at least `ttl` plus `margin`.
    #[serde(with = "humantime_serde")]
    pub guard: time::Duration,
    /// Allowance for the time between a decision and its effect.
    #[serde(with = "humantime_serde")]
    pub margin: time::Duration,
    /// Maximum error of a clock's rate, in thousandths.
    pub drift: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            ttl: time::Duration::from_secs(10),
            guard: time::Duration::from_secs(20),
            margin: time::Duration::from_millis(500),
            drift: 10,
        }
    }
}

impl Limits {
    /// Earliest time at which a lease renewed by a call sent at `sent` may end.
    ///
    /// ```
    /// use std::time::Duration;
    /// let limits = mangotray::grant::Limits::default();
    /// assert_eq!(limits.lease_end(Duration::ZERO), Duration::from_millis(9_300));
    /// ```
    #[must_use]
    pub fn lease_end(&self, sent: id::Time) -> id::Time {
        (sent + self.shorten(self.ttl)).saturating_sub(self.margin)
    }

    /// Time for which a witness's report is valid after its request. A VM that takes over a seat
    /// waits for longer than this after the contact with the store that contradicts the report.
    #[must_use]
    pub fn report_validity(&self) -> time::Duration {
        self.shorten(self.guard).saturating_sub(self.margin)
    }

    /// Time without contact that indicates an outage of the store; a VM renews its lease three
    /// times in a `ttl`.
    #[must_use]
    pub fn outage_threshold(&self) -> time::Duration {
        self.ttl / 2
    }

    /// Shortest length on this VM's clock of an interval measured by another VM's clock.
    #[must_use]
    pub fn shorten(&self, interval: time::Duration) -> time::Duration {
        interval / PER_MILLE * PER_MILLE.saturating_sub(2 * self.drift)
    }

    /// Longest length on this VM's clock of an interval measured by another VM's clock.
    #[must_use]
    pub fn stretch(&self, interval: time::Duration) -> time::Duration {
        interval / PER_MILLE * (PER_MILLE + 3 * self.drift)
    }
}

/// A lease of this VM and the witness reports that extend its use.
#[derive(Clone, Debug)]
pub struct Grant {
    lease: store::Lease,
    limits: Limits,
    end: id::Time,
    /// For each witness, the time until which it certainly had no contact after `end`.
    silent_until: collections::HashMap<id::Vm, id::Time>,
}

impl Grant {
    /// Creates a lease that was granted by a call sent at `sent`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::grant;
    /// let limits = grant::Limits::default();
    /// let mut grant = grant::Grant::new("l1".into(), Duration::ZERO, limits);
    /// assert_eq!(grant.usable_until(&[]), Duration::from_millis(9_300));
    /// grant.record_renewal(Duration::from_secs(3));
    /// assert_eq!(grant.usable_until(&[]), Duration::from_millis(12_300));
    /// ```
    #[must_use]
    pub fn new(lease: store::Lease, sent: id::Time, limits: Limits) -> Self {
        let end = limits.lease_end(sent);
        Self {
            lease,
            limits,
            end,
            silent_until: collections::HashMap::new(),
        }
    }

    /// Identifier of the lease at the store.
    #[must_use]
    pub fn lease(&self) -> &store::Lease {
        &self.lease
    }

    /// Records a renewal that the store answered, with the time at which its call was *sent*. The
    /// answer may have been delayed at the store or while this process was paused, so the lease may
    /// already have ended when the answer is read.
    pub fn record_renewal(&mut self, sent: id::Time) {
        let end = self.limits.lease_end(sent);
        if end > self.end {
            self.end = end;
            self.silent_until.clear();
        }
    }

    /// Records the report of a witness, requested at `asked` and received at `answered`.
    ///
    /// The report counts if its time without contact reaches back to the end of the lease, or to an
    /// earlier report that does: in a long outage the allowance for clock drift would invalidate a
    /// single report.
    pub fn record_report(
        &mut self,
        vm: &id::Vm,
        asked: id::Time,
        answered: id::Time,
        report: witness::Report,
    ) {
        if report.silent < self.limits.outage_threshold() {
            return;
        }
        let from = answered.saturating_sub(self.limits.shorten(report.silent));
        let known = self.silent_until.get(vm).copied().unwrap_or_default();
        if from <= known.max(self.end) {
            self.silent_until.insert(vm.clone(), asked.max(known));
        }
    }

    /// Time until which a seat with these witnesses may be used.
    ///
    /// Without an outage this is the end of the lease. During an outage it is extended while a
    /// majority of *all* witnesses, not only of the reachable ones, report no contact: witnesses
    /// beyond a partition may still reach the store.
    #[must_use]
    pub fn usable_until(&self, witnesses: &[id::Vm]) -> id::Time {
        let mut silent: Vec<id::Time> = witnesses
            .iter()
            .filter_map(|vm| self.silent_until.get(vm).copied())
            .collect();
        silent.sort_unstable();
        silent
            .iter()
            .nth_back(witnesses.len() / 2)
            .map_or(self.end, |at| {
                self.end.max(*at + self.limits.report_validity())
            })
    }
}

#[cfg(test)]
mod tests;
