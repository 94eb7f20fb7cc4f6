//! Reports of a VM about its own contact with the platform's store.
//!
//! The reports are used in two opposite ways: a VM that cannot renew its lease keeps its seats
//! while a majority of its witnesses have had no contact either, and another VM may take over these
//! seats only when enough of the witnesses have had contact. No witness can count for both.

use std::time;

use crate::id;

/// Number of witnesses for a VM's seats.
///
/// A majority survives the loss of one of three failure domains together with the owner, and the
/// replacement of any three witnesses during an outage of the store. Witnesses are chosen like
/// serving sets, from all known VMs except the owner, so that they rarely change: each change
/// rewrites the owner's entries in the store.
pub const COUNT: usize = 7;

/// Report of one VM, as of the time of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Time without contact, by the VM's own clock.
    pub silent: time::Duration,
    /// Whether there was any contact since the VM's process started.
    pub contacted: bool,
}

/// Records a VM's own contact with the store.
///
/// ```
/// use std::time::Duration;
/// use mangotray::witness;
/// let mut witness = witness::Witness::new(Duration::from_secs(5));
/// assert!(!witness.report(Duration::from_secs(6)).contacted);
/// witness.record_contact(Duration::from_secs(7));
/// let report = witness.report(Duration::from_secs(9));
/// assert_eq!(report.silent, Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Witness {
    started: id::Time,
    last: Option<id::Time>,
}

impl Witness {
    /// Creates the record of a process that starts at `now`, without any contact.
    #[must_use]
    pub fn new(now: id::Time) -> Self {
        Self {
            started: now,
            last: None,
        }
    }

    /// Records a lease renewal that the store answered, whatever the answer. Reads do not count:
    /// while only writes fail, no seat can change its owner and all owners have to keep theirs.
    pub fn record_contact(&mut self, answered: id::Time) {
        self.last = self.last.max(Some(answered));
    }

    /// Returns the report as of `now`. Without any contact it reaches back only to the start of the
    /// process, since an earlier process on this VM may have had contact.
    #[must_use]
    pub fn report(&self, now: id::Time) -> Report {
        let since = self.last.unwrap_or(self.started);
        Report {
            silent: now.saturating_sub(since),
            contacted: self.last.is_some(),
        }
    }
}
