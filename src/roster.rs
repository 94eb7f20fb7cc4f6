//! The proxies that are registered and the platform's list, as read from the store.

use std::collections;
use std::time;

use crate::enrol;
use crate::forward;
use crate::id;
use crate::placement;
use crate::store;

/// Fingerprint of a roster's content, the same on every proxy.
pub type Checksum = u64;

/// Registered proxies and the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Roster {
    /// Registrations, by VM.
    pub records: collections::BTreeMap<id::Vm, enrol::Record>,
    /// The platform's list, by VM.
    pub listings: Vec<store::Listing>,
}

/// Short form of a roster, for exchange between proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Mark {
    /// Time since the read of the store that gave it was started.
    pub age: time::Duration,
    /// Fingerprint of its content.
    pub checksum: Checksum,
}

/// A roster on its way to another proxy.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Update {
    /// Which roster it is.
    pub mark: Mark,
    /// Its content, when the receiver lacks it.
    pub content: Option<Roster>,
}

impl Roster {
    /// Reads the registrations out of the store's entries; an unreadable one is left out.
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

    /// Fingerprint of the content.
    ///
    /// # Panics
    /// Never: a roster is plain data.
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
