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
    /// Two organisations hold the same key, given by its fingerprint.
    SharedKey(CompactString),
    /// A rate or burst is negative, infinite or not a number.
    Quota(organisation::Name),
    /// The name is empty, contains white space or is [`organisation::OWN`], and so cannot be sent
    /// to an instance.
    Name(organisation::Name),
}

impl std::fmt::Display for Fault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Duplicate(name) => write!(formatter, "organisation {name} is defined twice"),
            Self::SharedKey(fingerprint) => {
                write!(formatter, "two organisations hold the key {fingerprint}")
            }
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
        let mut found = Self::default();
        for organisation in all {
            found.add(organisation)?;
        }
        Ok(found)
    }

    fn add(&mut self, organisation: organisation::Organisation) -> Result<(), Fault> {
        let name = organisation.name.clone();
        if name.is_empty() || name.contains(char::is_whitespace) || name == organisation::OWN {
            return Err(Fault::Name(name));
        }
        let valid = |value: f64| value.is_finite() && value >= 0.0;
        let quota = organisation.quota;
        if quota.is_some_and(|quota| !valid(quota.rate) || !valid(quota.burst)) {
            return Err(Fault::Quota(name));
        }
        let shared = sync::Arc::new(organisation);
        for key in &shared.keys {
            let previous = self.by_key.insert(key.clone(), sync::Arc::clone(&shared));
            if previous.is_some_and(|previous| previous.name != name) {
                return Err(Fault::SharedKey(key.fingerprint()));
            }
        }
        match self.by_name.insert(name.clone(), shared) {
            Some(_) => Err(Fault::Duplicate(name)),
            None => Ok(()),
        }
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
