//! What an instance knows and what faults were done to it.

use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::status;

use crate::journal;

/// State of one instance, behind its lock.
pub(crate) struct State {
    pub(crate) journal: journal::Journal,
    pub(crate) fence: id::Term,
    /// Delay of replication to this instance.
    pub(crate) lag: time::Duration,
    /// Replication to and from this instance is cut.
    pub(crate) cut: bool,
    pub(crate) running: bool,
    pub(crate) role: role::Role,
    pub(crate) voter: bool,
    pub(crate) incarnation: id::Incarnation,
    /// Grows whenever open write transactions lose their right to commit.
    pub(crate) reign: u64,
    /// Number of the data file.
    pub(crate) generation: u64,
    pub(crate) applier: rusqlite::Connection,
}

impl State {
    pub(crate) fn is_primary(&self) -> bool {
        self.running && self.role == role::Role::Primary
    }

    pub(crate) fn status(&self) -> status::Status {
        status::Status {
            stamp: self.journal.stamp(),
            fence: self.fence,
            role: self.role,
            voter: self.voter,
            incarnation: self.incarnation,
        }
    }

    /// Whether the primary of `term` may change the log.
    pub(crate) fn follows(&self, term: id::Term) -> bool {
        self.fence == term && self.role == role::Role::Replica
    }

    pub(crate) fn demote(&mut self) {
        self.role = role::Role::Replica;
        self.reign += 1;
    }
}
