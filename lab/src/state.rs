//! State of a stand-in instance and the faults injected into it.

use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::status;

use crate::journal;

/// State of one instance, protected by its lock.
pub(crate) struct State {
    pub(crate) journal: journal::Journal,
    pub(crate) fence: id::Term,
    /// Delay of replication to this instance.
    pub(crate) lag: time::Duration,
    /// Replication to and from this instance is cut.
    pub(crate) replication_cut: bool,
    pub(crate) running: bool,
    pub(crate) role: role::Role,
    /// `None` for a voter. An instance that lost its log keeps the highest fence that it
    /// had here; it is a voter again when it has copied a whole log of that term or later.
    pub(crate) required_log_term: Option<id::Term>,
    pub(crate) incarnation: id::Incarnation,
    /// Incremented whenever open write transactions must no longer commit.
    pub(crate) write_epoch: u64,
    /// Number of the data file.
    pub(crate) generation: u64,
    /// Connection that applies records of the log to the data file.
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
            voter: self.required_log_term.is_none(),
            incarnation: self.incarnation,
        }
    }

    /// Whether the instance accepts changes of its log from the primary of `term`.
    pub(crate) fn accepts_log_of(&self, term: id::Term) -> bool {
        self.fence == term && self.role == role::Role::Replica
    }

    /// Loses log and fence, but keeps the highest fence as the required term. Without it,
    /// the instance could copy the log of a replaced primary and confirm that primary's
    /// commits again.
    pub(crate) fn lose_log(&mut self) {
        self.required_log_term = self.required_log_term.max(Some(self.fence));
        self.journal.truncate(0);
        self.fence = 0;
    }

    /// Makes the instance a voter again if it follows the primary of `term`, holds its whole
    /// log of `length` records, and the log's last term is at least the required one.
    pub(crate) fn restore_vote(&mut self, term: id::Term, length: usize) {
        let has_whole_log = self.accepts_log_of(term) && self.journal.records().len() >= length;
        let has_required_term = self
            .required_log_term
            .is_some_and(|required_log_term| self.journal.stamp().term >= required_log_term);
        if has_whole_log && has_required_term {
            self.required_log_term = None;
        }
    }

    /// Makes the instance a replica; open write transactions must no longer commit.
    pub(crate) fn demote(&mut self) {
        self.role = role::Role::Replica;
        self.write_epoch += 1;
    }
}
