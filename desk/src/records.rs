//! The promotions recorded by holders of the promoter's lease, as this node knows them.

use std::cell;
use std::collections;

use mangotray::id;
use mangotray::store;

use crate::intent;

/// The last recorded promotion of each group, and which of them the store has.
///
/// Every node is notified of each record as it is written. A store that is reset to an older copy
/// loses the latest records or has older ones in their place. Every node that knows a later record
/// writes it again, and an older record doesn't replace a known one. Otherwise a promoter that has
/// just started would find replicas that are held, or that have lost their logs, without knowing
/// why.
///
/// ```
/// use mangotray::stamp::Stamp;
/// use mangotray_desk::{intent, records};
/// let record = |term, turn| intent::Intent {
///     group: "bookings".into(),
///     candidate: "b".into(),
///     born: 0,
///     term,
///     old: None,
///     received: Stamp::new(1, 7),
///     place: intent::Place { fence: 4, turn },
/// };
/// let records = records::Records::default();
/// records.note(record(3, 2));
/// records.note(record(2, 1));
/// assert_eq!(records.last(&"bookings".into()).unwrap().term, 3);
/// assert_eq!(records.lost().len(), 1);
/// ```
#[derive(Default)]
pub struct Records {
    known: cell::RefCell<collections::BTreeMap<id::Group, intent::Intent>>,
    /// Records that can never take effect.
    retracted: cell::RefCell<collections::BTreeMap<id::Group, intent::Place>>,
    /// The store's records at the last notification, with their versions.
    stored: cell::RefCell<collections::BTreeMap<id::Group, (intent::Place, store::Version)>>,
}

impl Records {
    /// Adds a recorded promotion, unless a later one of its group is known or it is known never to
    /// take effect.
    pub fn note(&self, intent: intent::Intent) {
        let retracted = self.retracted.borrow().get(&intent.group).copied();
        let mut known = self.known.borrow_mut();
        let before = known.get(&intent.group).map(|known| known.place);
        if Some(intent.place) > before.max(retracted) {
            known.insert(intent.group.clone(), intent);
        }
    }

    /// Adds an entry of the store.
    pub fn note_stored(&self, entry: &store::Entry) {
        let Some(intent) = intent::Intent::read(entry) else {
            return;
        };
        let found = (intent.place, entry.version);
        self.stored.borrow_mut().insert(intent.group.clone(), found);
        self.note(intent);
    }

    /// Replaces the known content of the store, which may have fewer records than before.
    pub fn reload<'a>(&self, entries: impl Iterator<Item = &'a store::Entry>) {
        self.stored.borrow_mut().clear();
        for entry in entries {
            self.note_stored(entry);
        }
    }

    /// The last recorded promotion of a group.
    #[must_use]
    pub fn last(&self, group: &id::Group) -> Option<intent::Intent> {
        self.known.borrow().get(group).cloned()
    }

    /// Discards a recorded promotion that can never take effect.
    pub fn retract(&self, group: &id::Group) {
        if let Some(intent) = self.known.borrow_mut().remove(group) {
            let mut retracted = self.retracted.borrow_mut();
            retracted.insert(group.clone(), intent.place);
        }
    }

    /// Discards a promotion that was not ordered, although the store may still have recorded it.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::{intent, records};
    /// let unordered = intent::Intent {
    ///     group: "bookings".into(),
    ///     candidate: "b".into(),
    ///     born: 0,
    ///     term: 2,
    ///     old: None,
    ///     received: Stamp::new(1, 7),
    ///     place: intent::Place { fence: 4, turn: 1 },
    /// };
    /// let records = records::Records::default();
    /// records.rule_out(&unordered);
    /// // The store reports it late.
    /// records.note(unordered);
    /// assert_eq!(records.last(&"bookings".into()), None);
    /// ```
    pub fn rule_out(&self, intent: &intent::Intent) {
        let mut retracted = self.retracted.borrow_mut();
        let place = retracted.entry(intent.group.clone()).or_default();
        *place = intent.place.max(*place);
    }

    /// The records that the store has lost, each with the version of the store's entry in its
    /// place.
    #[must_use]
    pub fn lost(&self) -> Vec<(intent::Intent, store::Version)> {
        let stored = self.stored.borrow();
        let known = self.known.borrow();
        let lost = known.values().filter_map(|intent| {
            let found = stored.get(&intent.group);
            let is_older = found.is_none_or(|(place, _)| *place < intent.place);
            let version = found.map_or(0, |(_, version)| *version);
            is_older.then(|| (intent.clone(), version))
        });
        lost.collect()
    }
}
