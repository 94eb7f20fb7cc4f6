//! How long one of this VM's leases at the platform's store surely holds.
//!
//! All times are of this VM's monotonic clock. Nothing is concluded from another VM's
//! clock but the length of intervals, and these only up to [`Limits::drift`].

use std::collections;
use std::time;

use crate::id;
use crate::store;
use crate::witness;

const PER_MILLE: u32 = 1_000;

/// Times that all VMs must agree on.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Time to live of a lease at the store.
    #[serde(with = "humantime_serde")]
    pub ttl: time::Duration,
    /// Pause between taking a seat over and using it; at least `ttl` plus `margin`.
    #[serde(with = "humantime_serde")]
    pub guard: time::Duration,
    /// Allowance for what happens between a decision and its effect.
    #[serde(with = "humantime_serde")]
    pub margin: time::Duration,
    /// Greatest error of a clock's rate, in thousandths.
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
    /// When a lease renewed by a call sent at `sent` may have ended.
    ///
    /// ```
    /// use std::time::Duration;
    /// let limits = mangotray::grant::Limits::default();
    /// assert_eq!(limits.end(Duration::ZERO), Duration::from_millis(9_300));
    /// ```
    #[must_use]
    pub fn end(&self, sent: id::Time) -> id::Time {
        (sent + self.shorten(self.ttl)).saturating_sub(self.margin)
    }

    /// How long a testimony holds after it was asked for: whoever takes a seat over
    /// waits for longer than this after the contact that disproves it.
    #[must_use]
    pub fn report_validity(&self) -> time::Duration {
        self.shorten(self.guard).saturating_sub(self.margin)
    }

    /// Silence that tells of an outage; a VM renews its lease three times in a `ttl`.
    #[must_use]
    pub fn outage(&self) -> time::Duration {
        self.ttl / 2
    }

    /// The least that an interval of another VM's clock may measure on this one's.
    #[must_use]
    pub fn shorten(&self, interval: time::Duration) -> time::Duration {
        interval / PER_MILLE * PER_MILLE.saturating_sub(2 * self.drift)
    }

    /// The most that an interval of another VM's clock may measure on this one's.
    #[must_use]
    pub fn stretch(&self, interval: time::Duration) -> time::Duration {
        interval / PER_MILLE * (PER_MILLE + 3 * self.drift)
    }
}

/// One lease of this VM and the testimony that prolongs its use.
#[derive(Clone, Debug)]
pub struct Grant {
    lease: store::Lease,
    limits: Limits,
    end: id::Time,
    /// For each witness, until when it surely had no contact since `end`.
    silent: collections::HashMap<id::Vm, id::Time>,
}

impl Grant {
    /// A lease granted by a call sent at `sent`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::grant;
    /// let limits = grant::Limits::default();
    /// let mut grant = grant::Grant::new("l1".into(), Duration::ZERO, limits);
    /// assert_eq!(grant.until(&[]), Duration::from_millis(9_300));
    /// grant.renewed(Duration::from_secs(3));
    /// assert_eq!(grant.until(&[]), Duration::from_millis(12_300));
    /// ```
    #[must_use]
    pub fn new(lease: store::Lease, sent: id::Time, limits: Limits) -> Self {
        let end = limits.end(sent);
        Self {
            lease,
            limits,
            end,
            silent: collections::HashMap::new(),
        }
    }

    /// The lease's number at the store.
    #[must_use]
    pub fn lease(&self) -> &store::Lease {
        &self.lease
    }

    /// Notes a renewal that the store answered, by the time its call was *sent*. The
    /// answer may have waited for long, at the store or while this process was paused,
    /// and the lease may have ended by the time it is read.
    pub fn renewed(&mut self, sent: id::Time) {
        let end = self.limits.end(sent);
        if end > self.end {
            self.end = end;
            self.silent.clear();
        }
    }

    /// Notes the testimony of a witness, asked for at `asked` and received at `answered`.
    ///
    /// It counts when it reaches back to the lease's end, or joins an earlier testimony
    /// that does: over a long outage clock drift alone would spoil a single one.
    pub fn report(
        &mut self,
        vm: &id::Vm,
        asked: id::Time,
        answered: id::Time,
        report: witness::Report,
    ) {
        if report.silent < self.limits.outage() {
            return;
        }
        let from = answered.saturating_sub(self.limits.shorten(report.silent));
        let known = self.silent.get(vm).copied().unwrap_or_default();
        if from <= known.max(self.end) {
            self.silent.insert(vm.clone(), asked.max(known));
        }
    }

    /// Until when a seat with these witnesses may be used. Without an outage this is the
    /// lease's end. In one it moves on while a majority of *all* the witnesses, not just
    /// of those in reach, testifies: those beyond a partition may still have the store.
    #[must_use]
    pub fn until(&self, witnesses: &[id::Vm]) -> id::Time {
        let mut silent: Vec<id::Time> = witnesses
            .iter()
            .filter_map(|vm| self.silent.get(vm).copied())
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
