//! Evidence that an owner of seats whose lease has ended will stop using them.
//!
//! Without a lease the owner may use its seats only while a majority of its witnesses report that
//! they have no contact with the store, see `grant`.

use std::collections;

use crate::id;

/// A lease that has ended, and the witnesses that had contact with the store since then.
///
/// ```
/// use std::time::Duration;
/// use mangotray::suspect;
/// let witnesses = ["w".into(), "x".into(), "y".into()];
/// let mut suspect = suspect::Suspect::new(Duration::from_secs(9));
/// suspect.record_contact(&witnesses[0], Duration::from_secs(8));
/// suspect.record_contact(&witnesses[1], Duration::from_secs(10));
/// assert!(!suspect.owner_stops(&witnesses));
/// suspect.record_destroyed(&witnesses[2]);
/// assert!(suspect.owner_stops(&witnesses));
/// ```
#[derive(Clone, Debug)]
pub struct Suspect {
    missing_at: id::Time,
    contacts: collections::HashSet<id::Vm>,
}

impl Suspect {
    /// Creates the evidence for a lease that was missing from an answer received at `missing_at`.
    #[must_use]
    pub fn new(missing_at: id::Time) -> Self {
        Self {
            missing_at,
            contacts: collections::HashSet::new(),
        }
    }

    /// Records that a witness certainly had contact with the store at `at` or later.
    pub fn record_contact(&mut self, vm: &id::Vm, at: id::Time) {
        if at >= self.missing_at {
            self.contacts.insert(vm.clone());
        }
    }

    /// Records that a VM has been destroyed and will send no more reports.
    pub fn record_destroyed(&mut self, vm: &id::Vm) {
        self.contacts.insert(vm.clone());
    }

    /// Returns whether an owner with these witnesses is certain to stop within one guard interval
    /// from now, because too few witnesses can still report no contact.
    #[must_use]
    pub fn owner_stops(&self, witnesses: &[id::Vm]) -> bool {
        let contacts = witnesses.iter().filter(|vm| self.contacts.contains(*vm));
        contacts.count() >= witnesses.len().div_ceil(2)
    }
}
