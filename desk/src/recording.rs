//! The record of a group's instances, as the store has it, and what has to be written to it.

use std::cell;

use crate::membership;
use crate::upstream;

/// A record that should replace the one in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Correction {
    /// The record, with the version of the one that it replaces.
    pub record: membership::Record,
    /// It lacks an instance that is recorded now.
    pub removes: bool,
}

/// The record of one group's instances.
///
/// ```
/// use mangotray_desk::{membership, recording};
/// let instance = |id: &str| membership::Instance { id: id.into(), born: 1, address: ([127, 0, 0, 1], 1).into(), domain: "d".into(), slots: 2, left: false };
/// let of = |ids: &[&str]| membership::Membership { group: "bookings".into(), instances: ids.iter().map(|id| instance(id)).collect() };
/// let recording = recording::Recording::default();
/// let first = recording.correction(of(&["a", "b"])).unwrap();
/// assert!(!first.removes);
/// recording.update(Some(first.record));
/// assert_eq!(recording.correction(of(&["a", "b"])), None);
/// assert!(recording.correction(of(&["a"])).unwrap().removes);
/// // Another node has recorded that "b" has ended.
/// let without = membership::Record { membership: of(&["a"]), version: 2 };
/// assert_eq!(recording.update(Some(without)), ["b"]);
/// ```
#[derive(Default)]
pub struct Recording {
    stored: cell::RefCell<Option<membership::Record>>,
    /// What this node has just written, until the store reports it.
    written: cell::RefCell<Option<membership::Membership>>,
}

impl Recording {
    /// Sets the record that the store has. Returns the instances that the one before had and this one
    /// lacks.
    pub fn update(&self, stored: Option<membership::Record>) -> Vec<upstream::Id> {
        self.written.take();
        let before = self.stored.replace(stored.clone());
        let removed = before
            .zip(stored)
            .map(|(before, stored)| before.membership.removed_in(&stored.membership));
        removed.unwrap_or_default()
    }

    /// Forgets the record that the store had, as after its reset to an older copy.
    pub fn reset(&self) {
        self.stored.take();
    }

    /// Notes that this node has written these instances.
    pub fn note_written(&self, membership: membership::Membership) {
        self.written.replace(Some(membership));
    }

    /// The record extended by the instances of `known` that it lacks, if there are any.
    #[must_use]
    pub fn extension(&self, known: &membership::Membership) -> Option<membership::Record> {
        let stored = self.stored.borrow();
        let before = stored.as_ref().map(|record| &record.membership);
        let membership = known.extended_by(before);
        let lacks = before.is_none_or(|before| !membership.removed_in(before).is_empty());
        (lacks && !membership.instances.is_empty()).then_some(membership::Record {
            membership,
            version: stored.as_ref().map_or(0, |record| record.version),
        })
    }

    /// The record of these instances, if the store has another one and this node has not just written
    /// it.
    #[must_use]
    pub fn correction(&self, known: membership::Membership) -> Option<Correction> {
        let stored = self.stored.borrow();
        let before = stored.as_ref().map(|record| &record.membership);
        let is_new = before != Some(&known) && self.written.borrow().as_ref() != Some(&known);
        let removes = before.is_some_and(|before| !before.removed_in(&known).is_empty());
        (is_new && !known.instances.is_empty()).then_some(Correction {
            record: membership::Record {
                membership: known,
                version: stored.as_ref().map_or(0, |record| record.version),
            },
            removes,
        })
    }
}
