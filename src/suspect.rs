//! Evidence that the owner of seats, whose lease is gone, will stop using them.

use std::collections;

use crate::id;

/// A lease seen gone, and the witnesses that had contact with the store after that.
///
/// ```
/// use std::time::Duration;
/// use mangotray::suspect;
/// let witnesses = ["w".into(), "x".into(), "y".into()];
/// let mut suspect = suspect::Suspect::new(Duration::from_secs(9));
/// suspect.contact(&witnesses[0], Duration::from_secs(8));
/// suspect.contact(&witnesses[1], Duration::from_secs(10));
/// assert!(!suspect.stops(&witnesses));
/// suspect.destroyed(&witnesses[2]);
/// assert!(suspect.stops(&witnesses));
/// ```
#[derive(Clone, Debug)]
pub struct Suspect {
    gone: id::Time,
    contacts: collections::HashSet<id::Vm>,
}

impl Suspect {
    /// A lease that an answer received at `gone` did not show any more.
    #[must_use]
    pub fn new(gone: id::Time) -> Self {
        Self {
            gone,
            contacts: collections::HashSet::new(),
        }
    }

    /// Notes that a witness surely had contact at this time or later.
    pub fn contact(&mut self, vm: &id::Vm, at: id::Time) {
        if at >= self.gone {
            self.contacts.insert(vm.clone());
        }
    }

    /// Notes that a VM is destroyed and will not testify any more.
    pub fn destroyed(&mut self, vm: &id::Vm) {
        self.contacts.insert(vm.clone());
    }

    /// Whether an owner with these witnesses surely stops before a guard interval from
    /// now has passed: too few are left to testify for it.
    #[must_use]
    pub fn stops(&self, witnesses: &[id::Vm]) -> bool {
        let contacts = witnesses.iter().filter(|vm| self.contacts.contains(*vm));
        contacts.count() >= witnesses.len().div_ceil(2)
    }
}
