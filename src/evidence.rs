//! What the sources tell of one VM, and how long it proves something.

use std::time;

use crate::id;
use crate::store;

/// Silence after which a VM may be held for dead.
pub const DEAD_AFTER: time::Duration = time::Duration::from_secs(5);
/// Greatest lag of the platform's list.
pub const LIST_LAG: time::Duration = time::Duration::from_secs(30);
/// Age up to which a lease that was seen proves something.
pub const LEASE_AGE: time::Duration = time::Duration::from_secs(15);
/// A heartbeat, or the lease entry, of a VM.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Sign {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Failure domain from its settings.
    pub domain: id::Domain,
    /// Its process.
    pub incarnation: id::Incarnation,
    /// True once the process shuts down.
    pub draining: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lease {
    Live(id::Time),
    Gone(id::Time),
}

/// What the sources said about one VM, with the times at which they did.
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
    /// Since when non-empty lists have not shown it, after one that did.
    delisted: Option<id::Time>,
    /// Last list that announced its going away.
    announced: Option<id::Time>,
    lease: Option<Lease>,
    heard: Option<id::Time>,
    /// First heartbeat missed since the last one heard.
    missed: Option<id::Time>,
    draining: bool,
}

impl Evidence {
    /// A VM of which nothing but its failure domain is known.
    #[must_use]
    pub fn new(domain: id::Domain) -> Self {
        Self {
            domain,
            ..Self::default()
        }
    }

    /// Failure domain, as last told by any source.
    #[must_use]
    pub fn domain(&self) -> &id::Domain {
        &self.domain
    }

    /// Takes in a heartbeat.
    pub fn hear(&mut self, sign: &Sign, now: id::Time) {
        self.update_from(sign);
        self.heard = self.heard.max(Some(now));
        self.missed = None;
    }

    /// Takes in that a heartbeat was due and did not come.
    pub fn miss(&mut self, now: id::Time) {
        self.missed.get_or_insert(now);
    }

    /// Takes in the VM's lease entry.
    pub fn lease_seen(&mut self, sign: &Sign, now: id::Time) {
        self.update_from(sign);
        self.lease = Some(Lease::Live(now));
    }

    /// Takes in that the VM has no lease entry.
    pub fn lease_ended(&mut self, now: id::Time) {
        self.lease = Some(Lease::Gone(now));
    }

    /// Takes in the VM's line of the platform's list. A list that lags may miss an
    /// announcement that an earlier one had; only after the lag does "not leaving" mean
    /// that it was taken back.
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

    /// Takes in that a list that is not empty does not show the VM.
    pub fn unlist(&mut self, now: id::Time) {
        if self.listed {
            self.listed = false;
            self.delisted = Some(now);
        }
    }

    /// Takes in that the process shuts down.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether the VM has shown that it runs a proxy.
    #[must_use]
    pub fn signed(&self) -> bool {
        self.incarnation.is_some()
    }

    /// Whether a heartbeat was ever heard.
    #[must_use]
    pub fn heard(&self) -> bool {
        self.heard.is_some()
    }

    /// Whether heartbeats are expected from it.
    #[must_use]
    pub fn probed(&self) -> bool {
        self.heard.is_some() || self.missed.is_some()
    }

    /// Whether its process shuts down.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Whether the platform has announced that it goes away.
    #[must_use]
    pub fn announced(&self) -> bool {
        self.announced.is_some()
    }

    fn update_from(&mut self, sign: &Sign) {
        let same = self.incarnation == Some(sign.incarnation);
        // A heartbeat that was overtaken must not take a draining process back.
        self.draining = sign.draining || (same && self.draining);
        self.incarnation = Some(sign.incarnation);
        self.domain.clone_from(&sign.domain);
    }

    /// Whether it has been silent for so long.
    #[must_use]
    pub fn silent(&self, now: id::Time, limit: time::Duration) -> bool {
        self.missed.is_some_and(|missed| missed + limit <= now)
    }

    /// Whether its lease was seen lately.
    #[must_use]
    pub fn leased(&self, now: id::Time) -> bool {
        matches!(self.lease, Some(Lease::Live(at)) if now < at + LEASE_AGE)
    }

    /// Whether its lease was found gone lately.
    #[must_use]
    pub fn lease_gone(&self, now: id::Time) -> bool {
        matches!(self.lease, Some(Lease::Gone(at)) if now < at + LEASE_AGE)
    }

    /// Whether lists have not shown it for so long, after one that did.
    #[must_use]
    pub fn delisted(&self, now: id::Time, limit: time::Duration) -> bool {
        self.delisted.is_some_and(|since| since + limit <= now)
    }

    /// Whether the platform has destroyed it.
    #[must_use]
    pub fn destroyed(&self, now: id::Time) -> bool {
        let heard = self.heard.is_some_and(|heard| now < heard + DEAD_AFTER);
        self.delisted(now, LIST_LAG) && !heard && !self.leased(now)
    }
}
