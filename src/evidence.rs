//! Evidence about one VM from heartbeats, leases and the platform's list, and how long it holds.

use std::time;

use crate::id;
use crate::store;

/// Time without heartbeats after which a VM may be considered dead.
pub const DEAD_AFTER: time::Duration = time::Duration::from_secs(5);

/// Maximum lag of the platform's list.
pub const LIST_LAG: time::Duration = time::Duration::from_secs(30);

/// Time for which an observation of a lease is valid.
pub const LEASE_AGE: time::Duration = time::Duration::from_secs(15);

/// Heartbeat or lease entry of a VM.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Sign {
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
    Live(id::Time),
    Gone(id::Time),
}

/// Evidence about one VM, with the times at which it was received.
///
/// ```
/// use std::time::Duration;
/// use mangotray::evidence;
/// let mut evidence = evidence::Evidence::new("patan-hall".into());
/// evidence.miss(Duration::ZERO);
/// assert!(evidence.silent(Duration::from_secs(6), evidence::DEAD_AFTER));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    domain: id::Domain,
    incarnation: Option<id::Incarnation>,
    listed: bool,
    /// Time since which non-empty lists have not contained the VM, after one that did.
    delisted: Option<id::Time>,
    /// Time of the last list that announced the VM's removal.
    announced: Option<id::Time>,
    lease: Option<Lease>,
    heard: Option<id::Time>,
    /// Time of the first missed heartbeat since the last one received.
    missed: Option<id::Time>,
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
    pub fn hear(&mut self, sign: &Sign, now: id::Time) {
        self.update_from(sign);
        self.heard = self.heard.max(Some(now));
        self.missed = None;
    }

    /// Records that an expected heartbeat is missing.
    pub fn miss(&mut self, now: id::Time) {
        self.missed.get_or_insert(now);
    }

    /// Records that the VM's lease entry was seen.
    pub fn lease_seen(&mut self, sign: &Sign, now: id::Time) {
        self.update_from(sign);
        self.lease = Some(Lease::Live(now));
    }

    /// Records that the VM has no lease entry.
    pub fn lease_ended(&mut self, now: id::Time) {
        self.lease = Some(Lease::Gone(now));
    }

    /// Records the VM's entry in the platform's list.
    ///
    /// A list that lags may lack the announcement of a removal that an earlier list contained, so
    /// an announcement counts as withdrawn only after [`LIST_LAG`].
    pub fn list(&mut self, line: &store::Listing, now: id::Time) {
        self.listed = true;
        self.delisted = None;
        if self.domain.is_empty() {
            self.domain.clone_from(&line.domain);
        }
        self.announced = if line.leaving {
            Some(now)
        } else {
            self.announced.filter(|at| now < *at + LIST_LAG)
        };
    }

    /// Records that a non-empty list does not contain the VM.
    pub fn unlist(&mut self, now: id::Time) {
        if self.listed {
            self.listed = false;
            self.delisted = Some(now);
        }
    }

    /// Records that the VM's process is shutting down.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether a heartbeat or lease entry has shown that the VM runs a proxy.
    #[must_use]
    pub fn signed(&self) -> bool {
        self.incarnation.is_some()
    }

    /// Returns whether any heartbeat was received.
    #[must_use]
    pub fn heard(&self) -> bool {
        self.heard.is_some()
    }

    /// Returns whether heartbeats are expected from the VM: one was received or missed before.
    #[must_use]
    pub fn probed(&self) -> bool {
        self.heard.is_some() || self.missed.is_some()
    }

    /// Returns whether the VM's process is shutting down.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Returns whether the platform has announced the VM's removal.
    #[must_use]
    pub fn announced(&self) -> bool {
        self.announced.is_some()
    }

    fn update_from(&mut self, sign: &Sign) {
        let same = self.incarnation == Some(sign.incarnation);
        // An outdated heartbeat must not end the draining state of the same process.
        self.draining = sign.draining || (same && self.draining);
        self.incarnation = Some(sign.incarnation);
        self.domain.clone_from(&sign.domain);
    }

    /// Returns whether heartbeats have been missing for at least `limit`.
    #[must_use]
    pub fn silent(&self, now: id::Time, limit: time::Duration) -> bool {
        self.missed.is_some_and(|missed| missed + limit <= now)
    }

    /// Returns whether the VM's lease was last seen in place, less than [`LEASE_AGE`] ago.
    #[must_use]
    pub fn leased(&self, now: id::Time) -> bool {
        matches!(self.lease, Some(Lease::Live(at)) if now < at + LEASE_AGE)
    }

    /// Returns whether the VM's lease was last found missing, less than [`LEASE_AGE`] ago.
    #[must_use]
    pub fn lease_gone(&self, now: id::Time) -> bool {
        matches!(self.lease, Some(Lease::Gone(at)) if now < at + LEASE_AGE)
    }

    /// Returns whether the VM has been absent from lists for at least `limit`, after one with it.
    #[must_use]
    pub fn delisted(&self, now: id::Time, limit: time::Duration) -> bool {
        self.delisted.is_some_and(|since| since + limit <= now)
    }

    /// Returns whether the platform has destroyed the VM: it has been absent from lists for at
    /// least [`LIST_LAG`] and has neither a recent heartbeat nor a lease.
    #[must_use]
    pub fn destroyed(&self, now: id::Time) -> bool {
        let heard = self.heard.is_some_and(|heard| now < heard + DEAD_AFTER);
        self.delisted(now, LIST_LAG) && !heard && !self.leased(now)
    }
}
