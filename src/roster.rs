//! Registered proxies and the platform's list of VMs, as read from the store.

use std::collections;
use std::time;

use crate::enrol;
use crate::forward;
use crate::id;
use crate::placement;
use crate::store;

/// Checksum of a roster's content, the same on every proxy.
pub type Checksum = u64;

/// Registered proxies and the platform's list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Roster {
    /// Registrations, by VM.
    pub records: collections::BTreeMap<id::Vm, enrol::Record>,
    /// The platform's list, sorted by VM.
    pub listings: Vec<store::Listing>,
}

/// Age and checksum of a roster, which proxies exchange to compare the rosters they hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// Time since the start of the store read that returned this roster.
    pub age: time::Duration,
    /// Checksum of the roster's content.
    pub checksum: Checksum,
}

/// A roster as sent to another proxy.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Update {
    /// Age and checksum of the roster.
    pub mark: Digest,
    /// Content of the roster; `None` when the receiver already has it.
    pub content: Option<Roster>,
}

impl Roster {
    /// Builds a roster from the store's entries; entries that can't be parsed are skipped.
    ///
    /// ```
    /// let roster = mangotray::roster::Roster::new(&[], &[]);
    /// assert!(roster.records.is_empty());
    /// ```
    #[must_use]
    pub fn new(entries: &[store::Entry], listings: &[store::Listing]) -> Self {
        let records = entries
            .iter()
            .filter_map(|entry| serde_json::from_slice::<enrol::Record>(&entry.value).ok())
            .map(|record| (record.vm.clone(), record))
            .collect();
        let mut listings = listings.to_vec();
        listings.sort_by(|a, b| a.vm.cmp(&b.vm));
        Self { records, listings }
    }

    /// Checksum of the content.
    ///
    /// # Panics
    /// Never: a roster can always be serialised to JSON.
    ///
    /// ```
    /// let empty = mangotray::roster::Roster::default();
    /// let mut other = empty.clone();
    /// other.listings.push(mangotray::store::Listing {
    ///     vm: "entry-1".into(),
    ///     domain: "patan-hall".into(),
    ///     leaving: true,
    /// });
    /// assert_ne!(empty.checksum(), other.checksum());
    /// ```
    #[must_use]
    pub fn checksum(&self) -> Checksum {
        let text = serde_json::to_string(self).expect("a roster is plain data");
        placement::score("roster", &text)
    }

    /// Address at which the proxy on `vm` accepts connections from other proxies; `None` when it
    /// is not registered.
    #[must_use]
    pub fn member(&self, vm: &id::Vm) -> Option<forward::Member> {
        let record = self.records.get(vm)?;
        Some(forward::Member {
            vm: vm.clone(),
            address: record.peers,
        })
    }

    /// The `count` proxies with the highest scores for `key`, in descending order; the same on
    /// every proxy with the same roster.
    #[must_use]
    pub fn highest_ranked(&self, key: &str, count: usize) -> Vec<id::Vm> {
        let mut names: Vec<_> = self.records.keys().cloned().collect();
        names.sort_by_key(|vm| std::cmp::Reverse(placement::score(key, vm)));
        names.truncate(count);
        names
    }
}
