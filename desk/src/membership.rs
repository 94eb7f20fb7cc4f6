//! The record of a group's instances in the platform's store.
//!
//! The list of instances drops those that are silent, and a node keeps them only in memory. After a
//! restart of all nodes, nobody would know that an instance without power has records which the
//! listed ones lack. So the holder of the promoter's lease records which instances a group has, and
//! removes one only once there is evidence that it has ended. It also records which have left as
//! planned, as promotions do without these.

use std::net;

use mangotray::id;
use mangotray::store;

use crate::catalog;
use crate::upstream;

/// Prefix of the keys of these records; the group's name follows.
pub const PREFIX: &str = "mangotray/membership/";

/// An instance of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// Its id.
    pub id: upstream::Id,
    /// Start time of its process.
    pub born: upstream::StartTime,
    /// Address on which it listens.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Number of statements that it executes at once.
    pub slots: usize,
    /// It has left as planned, though nobody knows yet whether it has ended.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub left: bool,
}

impl Instance {
    /// The part of a list entry that is recorded.
    #[must_use]
    pub fn new(instance: &catalog::Instance) -> Self {
        Self {
            id: instance.id.clone(),
            born: instance.born,
            address: instance.address,
            domain: instance.domain.clone(),
            slots: instance.slots,
            left: false,
        }
    }

    /// A list entry for this instance of `group`, as a replica that runs, or is shutting down if it
    /// has left.
    #[must_use]
    pub fn entry(&self, group: &id::Group) -> catalog::Instance {
        catalog::Instance {
            id: self.id.clone(),
            born: self.born,
            group: group.clone(),
            address: self.address,
            domain: self.domain.clone(),
            slots: self.slots,
            draining: self.left,
            leads: false,
            any: false,
        }
    }
}

/// All instances of a group that have not ended, listed or not.
///
/// ```
/// use mangotray_desk::membership;
/// let membership = membership::Membership { group: "bookings".into(), instances: Vec::new() };
/// assert_eq!(membership.key(), "mangotray/membership/bookings");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Membership {
    /// The group.
    pub group: id::Group,
    /// Its instances, in order of their ids.
    pub instances: Vec<Instance>,
}

impl Membership {
    /// Key of the record in the platform's store.
    #[must_use]
    pub fn key(&self) -> String {
        format!("{PREFIX}{}", self.group)
    }

    /// These instances and those of `other` that are not among them, in order of their ids.
    ///
    /// ```
    /// use mangotray_desk::membership::{Instance, Membership};
    /// let instance = |id: &str| Instance { id: id.into(), born: 1, address: ([127, 0, 0, 1], 1).into(), domain: "d".into(), slots: 2, left: false };
    /// let of = |ids: &[&str]| Membership { group: "bookings".into(), instances: ids.iter().map(|id| instance(id)).collect() };
    /// assert_eq!(of(&["b"]).extended_by(Some(&of(&["a", "b"]))), of(&["a", "b"]));
    /// assert_eq!(of(&["b"]).extended_by(None), of(&["b"]));
    /// ```
    #[must_use]
    pub fn extended_by(&self, other: Option<&Self>) -> Self {
        let mut extended = self.clone();
        let others = other.into_iter().flat_map(|other| &other.instances);
        let known = |id: &upstream::Id| self.instances.iter().any(|instance| instance.id == *id);
        extended
            .instances
            .extend(others.filter(|instance| !known(&instance.id)).cloned());
        extended.instances.sort_unstable();
        extended
    }

    /// The instances that `later` lacks.
    #[must_use]
    pub fn removed_in(&self, later: &Self) -> Vec<upstream::Id> {
        let remains = |id: &upstream::Id| later.instances.iter().any(|instance| instance.id == *id);
        let ids = self.instances.iter().map(|instance| instance.id.clone());
        ids.filter(|id| !remains(id)).collect()
    }
}

/// A membership with the version of its entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The instances.
    pub membership: Membership,
    /// Version of the entry; 0 if there is none.
    pub version: store::Version,
}

impl Record {
    /// Decodes a record; `None` if the entry is of another kind or can't be decoded.
    #[must_use]
    pub fn read(entry: &store::Entry) -> Option<Self> {
        if !entry.key.starts_with(PREFIX) {
            return None;
        }
        let decoded = serde_json::from_slice(&entry.value).inspect_err(|error| {
            tracing::error!(key = %entry.key, %error, "cannot decode the record of a group's instances");
        });
        Some(Self {
            membership: decoded.ok()?,
            version: entry.version,
        })
    }
}
