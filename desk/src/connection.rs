//! A connection and what is known to be set on it.

use std::collections;

use compact_str::CompactString;
use mangotray::id;

use crate::lane;
use crate::organisation;
use crate::statement;
use crate::upstream;

/// Values of a session or connection, by name.
pub type Values = collections::BTreeMap<statement::Name, CompactString>;

/// A connection and what was set on it.
pub struct Connection {
    /// The connection.
    pub link: Box<dyn upstream::Connection>,
    /// For whom it was opened or, if it serves any, last used.
    pub organisation: organisation::Name,
    /// Values that were set on it.
    pub values: Values,
    /// Names that were prepared on it.
    pub handles: collections::BTreeSet<CompactString>,
    /// Commands were made for it that never left: it is not known what is set.
    pub dirty: bool,
    /// When it was last used.
    pub used: id::Time,
}

impl Connection {
    /// A fresh connection.
    #[must_use]
    pub fn new(
        link: Box<dyn upstream::Connection>,
        organisation: organisation::Name,
        now: id::Time,
    ) -> Self {
        Self {
            link,
            organisation,
            values: Values::new(),
            handles: collections::BTreeSet::new(),
            dirty: false,
            used: now,
        }
    }

    /// Whether it may serve an organisation: its own or, where it leads to another node, one of
    /// those whose connections are at the same node.
    #[must_use]
    pub fn serves(&self, organisation: &organisation::Name) -> bool {
        if self.organisation == *organisation {
            return true;
        }
        // This node's own questions go through any of the lending nodes.
        let own = [&self.organisation, organisation].contains(&&organisation::OWN);
        let same = lane::of(&self.organisation) == lane::of(organisation);
        self.link.serves_any() && same && !own
    }

    /// Makes it that of an organisation that it may serve; what was set on it for another one is
    /// forgotten at the far end as well.
    pub fn assign(&mut self, organisation: &organisation::Name) {
        if self.organisation != *organisation {
            self.organisation.clone_from(organisation);
            self.values.clear();
            self.handles.clear();
        }
    }
}
