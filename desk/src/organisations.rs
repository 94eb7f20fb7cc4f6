//! The organisations of a configuration.

use std::collections;
use std::sync;

use compact_str::CompactString;

use crate::key;
use crate::organisation;

/// All organisations, indexed by key and by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisations {
    by_key: collections::BTreeMap<key::Key, sync::Arc<organisation::Organisation>>,
    by_name: collections::BTreeMap<organisation::Name, sync::Arc<organisation::Organisation>>,
}

/// Why a list of organisations is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Two organisations have the same name.
    Duplicate(organisation::Name),
    /// Two organisations hold the same key.
    SharedKey {
        /// Fingerprint of the key.
        fingerprint: CompactString,
        /// The first organisation that holds it.
        first: organisation::Name,
        /// The other one.
        second: organisation::Name,
    },
    /// A rate or burst is negative, infinite or not a number.
    Quota(organisation::Name),
    /// The name is not valid ([`organisation::is_valid_name`]).
    Name(organisation::Name),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Duplicate(name) => write!(formatter, "organisation {name} is defined twice"),
            Self::SharedKey {
                fingerprint,
                first,
                second,
            } => write!(
                formatter,
                "organisations {first} and {second} hold the same key {fingerprint}"
            ),
            Self::Quota(name) => {
                write!(
                    formatter,
                    "rate or burst of organisation {name} is not a valid limit"
                )
            }
            Self::Name(name) => {
                write!(formatter, "{name:?} is not a valid name of an organisation")
            }
        }
    }
}

impl std::error::Error for Fault {}

/// Returns why a list of organisations is invalid, in the order of the list.
///
/// ```
/// use mangotray_desk::{organisation, organisations};
/// let one = organisation::Organisation { name: "dome".into(), keys: vec![], quota: None };
/// assert!(organisations::faults(&[one.clone()]).is_empty());
/// let twice = organisations::faults(&[one.clone(), one]);
/// assert_eq!(twice, [organisations::Fault::Duplicate("dome".into())]);
/// ```
#[must_use]
pub fn faults(all: &[organisation::Organisation]) -> Vec<Fault> {
    let mut found = Vec::new();
    let mut names = collections::BTreeSet::new();
    let mut holders = collections::BTreeMap::new();
    for organisation in all {
        let name = &organisation.name;
        if !organisation::is_valid_name(name) {
            found.push(Fault::Name(name.clone()));
        }
        if !names.insert(name) {
            found.push(Fault::Duplicate(name.clone()));
        }
        if organisation.quota.is_some_and(|quota| !quota.is_valid()) {
            found.push(Fault::Quota(name.clone()));
        }
        for key in &organisation.keys {
            let first = *holders.entry(key).or_insert(name);
            if first != name {
                found.push(Fault::SharedKey {
                    fingerprint: key.fingerprint(),
                    first: first.clone(),
                    second: name.clone(),
                });
            }
        }
    }
    found
}

impl Organisations {
    /// Indexes the organisations of a configuration.
    ///
    /// # Errors
    /// When one of them is invalid, or two share a name or a key.
    ///
    /// ```
    /// use mangotray_desk::{key, organisation, organisations};
    /// let one = organisation::Organisation {
    ///     name: "dome".into(),
    ///     keys: vec![key::Key::new("k1")],
    ///     quota: None,
    /// };
    /// let other = organisation::Organisation { name: "hall".into(), ..one.clone() };
    /// let found = organisations::Organisations::new(vec![one.clone()]).unwrap();
    /// assert_eq!(found.find_by_key(&key::Key::new("k1")).unwrap().name, "dome");
    /// assert!(organisations::Organisations::new(vec![one, other]).is_err());
    /// ```
    pub fn new(all: Vec<organisation::Organisation>) -> Result<Self, Fault> {
        if let Some(fault) = faults(&all).into_iter().next() {
            return Err(fault);
        }
        let mut indexed = Self::default();
        for organisation in all {
            let organisation = sync::Arc::new(organisation);
            for key in &organisation.keys {
                indexed
                    .by_key
                    .insert(key.clone(), sync::Arc::clone(&organisation));
            }
            indexed
                .by_name
                .insert(organisation.name.clone(), organisation);
        }
        Ok(indexed)
    }

    /// Returns the organisation that holds a key.
    #[must_use]
    pub fn find_by_key(&self, key: &key::Key) -> Option<&sync::Arc<organisation::Organisation>> {
        self.by_key.get(key)
    }

    /// Returns the organisation with this name.
    #[must_use]
    pub fn find_by_name(
        &self,
        name: &organisation::Name,
    ) -> Option<&sync::Arc<organisation::Organisation>> {
        self.by_name.get(name)
    }

    /// Number of organisations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no organisations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
