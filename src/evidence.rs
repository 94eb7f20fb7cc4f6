//! Evidence about one VM from heartbeats, leases and the platform's list, and how long it holds.

use std::time;

use crate::id;
use crate::store;

/// Time without heartbeats after which a VM may be considered dead.
pub const DEAD_AFTER: time::Duration = time::Duration::from_secs(5);

/// Maximum lag of the platform's list.
pub const MAX_LIST_LAG: time::Duration = time::Duration::from_secs(30);

/// Time for which an observation of a lease is valid.
pub const MAX_LEASE_AGE: time::Duration = time::Duration::from_secs(15);

/// Identity and state of a VM's process, from a heartbeat or from the VM's lease entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Failure domain from the VM's settings.
    pub domain: id::Domain,
    /// Incarnation of the VM's process.
    pub incarnation: id::Incarnation,
    /// Whether the process is shutting down.
    pub draining: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lease {
    Present(id::Time),
    Missing(id::Time),
}

/// Evidence about one VM, with the times at which it was received.
///
/// ```
/// use std::time::Duration;
/// use mangotray::evidence;
/// let mut evidence = evidence::Evidence::new("patan-hall".into());
/// evidence.record_missed_heartbeat(Duration::ZERO);
/// assert!(evidence.silent(Duration::from_secs(6), evidence::DEAD_AFTER));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    domain: id::Domain,
    incarnation: Option<id::Incarnation>,
    listed: bool,
    /// Time since which non-empty lists have not contained the VM, after one that did.
    delisted_since: Option<id::Time>,
    /// Time of the last list that announced the VM's removal.
    announced_at: Option<id::Time>,
    lease: Option<Lease>,
    last_heartbeat: Option<id::Time>,
    /// Time of the first missed heartbeat since the last one received.
    missed_since: Option<id::Time>,
    draining: bool,
}

impl Evidence {
    /// Creates the evidence about a VM of which only the failure domain is known.
    #[must_use]
    pub fn new(domain: id::Domain) -> Self {
        Self {
            domain,
            ..Self::default()
        }
    }

    /// Failure domain from the most recent source.
    #[must_use]
    pub fn domain(&self) -> &id::Domain {
        &self.domain
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: id::Time) {
        self.update_from(heartbeat);
        self.last_heartbeat = self.last_heartbeat.max(Some(now));
        self.missed_since = None;
    }

    /// Records that an expected heartbeat is missing.
    pub fn record_missed_heartbeat(&mut self, now: id::Time) {
        self.missed_since.get_or_insert(now);
    }

    /// Records that the VM's lease entry was found.
    pub fn record_lease(&mut self, heartbeat: &Heartbeat, now: id::Time) {
        self.update_from(heartbeat);
        self.lease = Some(Lease::Present(now));
    }

    /// Records that the VM has no lease entry.
    pub fn record_lease_end(&mut self, now: id::Time) {
        self.lease = Some(Lease::Missing(now));
    }

    /// Records the VM's entry in the platform's list.
    ///
    /// A list that lags may lack the announcement of a removal that an earlier list contained, so
    /// an announcement counts as withdrawn only after [`MAX_LIST_LAG`].
    pub fn record_listing(&mut self, listing: &store::Listing, now: id::Time) {
        self.listed = true;
        self.delisted_since = None;
        if self.domain.is_empty() {
            self.domain.clone_from(&listing.domain);
        }
        self.announced_at = if listing.leaving {
            Some(now)
        } else {
            self.announced_at.filter(|at| now < *at + MAX_LIST_LAG)
        };
    }

    /// Records that a non-empty list does not contain the VM.
    pub fn record_absence(&mut self, now: id::Time) {
        if self.listed {
            self.listed = false;
            self.delisted_since = Some(now);
        }
    }

    /// Records that the VM's process is shutting down.
    pub fn record_draining(&mut self) {
        self.draining = true;
    }

    /// Returns whether a heartbeat or lease entry has shown that the VM runs a proxy.
    #[must_use]
    pub fn runs_proxy(&self) -> bool {
        self.incarnation.is_some()
    }

    /// Returns whether any heartbeat was received.
    #[must_use]
    pub fn has_heartbeat(&self) -> bool {
        self.last_heartbeat.is_some()
    }

    /// Returns whether heartbeats are expected from the VM: one was received or missed before.
    #[must_use]
    pub fn is_probed(&self) -> bool {
        self.last_heartbeat.is_some() || self.missed_since.is_some()
    }

    /// Returns whether the VM's process is shutting down.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Returns whether the platform has announced the VM's removal.
    #[must_use]
    pub fn removal_announced(&self) -> bool {
        self.announced_at.is_some()
    }

    fn update_from(&mut self, heartbeat: &Heartbeat) {
        let same = self.incarnation == Some(heartbeat.incarnation);
        // An outdated heartbeat must not end the draining state of the same process.
        self.draining = heartbeat.draining || (same && self.draining);
        self.incarnation = Some(heartbeat.incarnation);
        self.domain.clone_from(&heartbeat.domain);
    }

    /// Returns whether heartbeats have been missing for at least `limit`.
    #[must_use]
    pub fn silent(&self, now: id::Time, limit: time::Duration) -> bool {
        self.missed_since
            .is_some_and(|missed| missed + limit <= now)
    }

    /// Returns whether the last check of the VM's lease, less than [`MAX_LEASE_AGE`] ago, found it.
    #[must_use]
    pub fn has_lease(&self, now: id::Time) -> bool {
        matches!(self.lease, Some(Lease::Present(at)) if now < at + MAX_LEASE_AGE)
    }

    /// Returns whether the last check of the VM's lease, less than [`MAX_LEASE_AGE`] ago, found
    /// none.
    #[must_use]
    pub fn lacks_lease(&self, now: id::Time) -> bool {
        matches!(self.lease, Some(Lease::Missing(at)) if now < at + MAX_LEASE_AGE)
    }

    /// Returns whether the VM has been absent from lists for at least `limit`, after one with it.
    #[must_use]
    pub fn delisted(&self, now: id::Time, limit: time::Duration) -> bool {
        self.delisted_since
            .is_some_and(|since| since + limit <= now)
    }

    /// Returns whether the platform has destroyed the VM: it has been absent from lists for at
    /// least [`MAX_LIST_LAG`] and has neither a recent heartbeat nor a lease.
    #[must_use]
    pub fn destroyed(&self, now: id::Time) -> bool {
        let heard = self
            .last_heartbeat
            .is_some_and(|heard| now < heard + DEAD_AFTER);
        self.delisted(now, MAX_LIST_LAG) && !heard && !self.has_lease(now)
    }
}
