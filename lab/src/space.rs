//! Keys, versions and leases of the stand-in service; callers pass the current time.

use std::collections;
use std::time;

use mangotray::id;
use mangotray::store;

/// Greatest length of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The value is stored.
    Stored,
    /// The key has another version.
    Conflict,
    /// The lease given for the entry has ended.
    NoLease,
    /// The value is longer than `MAX_VALUE_BYTES`.
    TooLarge,
}

/// Entries and leases of the service.
#[derive(Clone, Debug, Default)]
pub struct Space {
    /// Index of the last change.
    index: store::Version,
    entries: collections::BTreeMap<String, store::Entry>,
    /// Versions at which keys were removed.
    removal_versions: collections::HashMap<String, store::Version>,
    leases: collections::BTreeMap<String, Lease>,
    /// Number of leases granted so far.
    granted_leases: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: time::Duration,
    end: id::Time,
}

impl Space {
    /// The entry of one key.
    ///
    /// ```
    /// assert!(mangotray_lab::space::Space::default().get("a").is_none());
    /// ```
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&store::Entry> {
        self.entries.get(key)
    }

    /// All entries whose key starts with `prefix`, in the order of keys.
    #[must_use]
    pub fn list(&self, prefix: &str) -> Vec<store::Entry> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Index of the last change of a key, including its removal; 1 if it never existed.
    #[must_use]
    pub fn index(&self, key: &str) -> store::Version {
        let removal_version = self.removal_versions.get(key).copied().unwrap_or(1);
        self.get(key).map_or(removal_version, |entry| entry.version)
    }

    /// Stores a value if the key's version is `expected_version` (0: absent).
    ///
    /// An entry that is stored without a lease keeps its former lease.
    ///
    /// ```
    /// use mangotray_lab::space;
    /// let mut space = space::Space::default();
    /// assert_eq!(space.put("a", "1".into(), 0, None), space::Outcome::Stored);
    /// assert_eq!(space.put("a", "2".into(), 0, None), space::Outcome::Conflict);
    /// ```
    pub fn put(
        &mut self,
        key: &str,
        value: bytes::Bytes,
        expected_version: store::Version,
        lease: Option<&str>,
    ) -> Outcome {
        if value.len() > MAX_VALUE_BYTES {
            return Outcome::TooLarge;
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(lease)) {
            return Outcome::NoLease;
        }
        let found = self.get(key);
        if found.map_or(0, |entry| entry.version) != expected_version {
            return Outcome::Conflict;
        }
        let bound_lease = found.and_then(|entry| entry.lease.clone());
        let entry = store::Entry {
            key: key.into(),
            value,
            version: self.advance(),
            lease: lease.map(Into::into).or(bound_lease),
        };
        self.removal_versions.remove(key);
        self.entries.insert(key.to_owned(), entry);
        Outcome::Stored
    }

    /// Grants a lease that ends `ttl` after its last renewal; returns its id.
    pub fn grant(&mut self, ttl: time::Duration, now: id::Time) -> String {
        self.granted_leases += 1;
        let id = format!("lease-{:08x}", self.granted_leases);
        let end = now + ttl;
        self.leases.insert(id.clone(), Lease { ttl, end });
        id
    }

    /// Renews a lease; false when it has ended or is unknown.
    pub fn renew(&mut self, id: &str, now: id::Time) -> bool {
        self.expire(now);
        let lease = self.leases.get_mut(id);
        lease.map(|lease| lease.end = now + lease.ttl).is_some()
    }

    /// Ends a lease and removes the entries bound to it.
    pub fn revoke(&mut self, id: &str) {
        if self.leases.remove(id).is_none() {
            return;
        }
        let bound: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease.as_deref() == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in bound {
            self.entries.remove(&key);
            let index = self.advance();
            self.removal_versions.insert(key, index);
        }
    }

    /// Ends the leases that have expired; returns their number.
    ///
    /// ```
    /// use std::time;
    /// let mut space = mangotray_lab::space::Space::default();
    /// let second = time::Duration::from_secs(1);
    /// let lease = space.grant(second, time::Duration::ZERO);
    /// space.put("a", "1".into(), 0, Some(&lease));
    /// assert_eq!(space.expire(second / 2), 0);
    /// assert_eq!(space.expire(second), 1);
    /// assert!(space.get("a").is_none());
    /// ```
    pub fn expire(&mut self, now: id::Time) -> usize {
        let ended: Vec<String> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.end <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &ended {
            self.revoke(id);
        }
        ended.len()
    }

    fn advance(&mut self) -> store::Version {
        // Index 1 stands for a key that never existed, so the first change has index 2.
        self.index = self.index.max(1) + 1;
        self.index
    }
}

#[cfg(test)]
mod tests;
