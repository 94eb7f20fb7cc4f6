//! The proxies that are registered, and which of them are leaving.

use std::collections;

use crate::enrol;
use crate::forward;
use crate::id;
use crate::placement;
use crate::store;

/// Registered proxies and the platform's list, as last read.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Roster {
    /// Registrations, by VM.
    pub records: collections::BTreeMap<id::Vm, enrol::Record>,
    /// VMs that the platform has announced as leaving.
    pub leaving: collections::BTreeSet<id::Vm>,
}

impl Roster {
    /// Reads the registrations out of the store's entries; an unreadable one is left out.
    ///
    /// ```
    /// let roster = mangotray::roster::Roster::new(&[], &[]);
    /// assert!(roster.candidates().is_empty());
    /// ```
    #[must_use]
    pub fn new(entries: &[store::Entry], listings: &[store::Listing]) -> Self {
        let records = entries
            .iter()
            .filter_map(|entry| serde_json::from_slice::<enrol::Record>(&entry.value).ok())
            .map(|record| (record.vm.clone(), record))
            .collect();
        let leaving = listings
            .iter()
            .filter(|listing| listing.leaving)
            .map(|listing| listing.vm.clone())
            .collect();
        Self { records, leaving }
    }

    /// Candidates for serving sets.
    #[must_use]
    pub fn candidates(&self) -> Vec<placement::Candidate> {
        self.records
            .values()
            .map(|record| placement::Candidate {
                vm: record.vm.clone(),
                domain: record.domain.clone(),
                leaving: record.draining || self.leaving.contains(&record.vm),
            })
            .collect()
    }

    /// Where a proxy accepts other proxies.
    #[must_use]
    pub fn member(&self, vm: &id::Vm) -> Option<forward::Member> {
        let record = self.records.get(vm)?;
        Some(forward::Member {
            vm: vm.clone(),
            address: record.peers,
        })
    }

    /// The `count` proxies that rank first for `key`, in order; the same on every
    /// proxy with the same roster.
    #[must_use]
    pub fn first(&self, key: &str, count: usize) -> Vec<id::Vm> {
        let mut names: Vec<_> = self.records.keys().cloned().collect();
        names.sort_by_key(|vm| std::cmp::Reverse(placement::score(key, vm)));
        names.truncate(count);
        names
    }
}
