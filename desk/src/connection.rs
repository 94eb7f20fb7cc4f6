//! A pooled connection and the session state that is set on it.

use std::collections;

use compact_str::CompactString;
use mangotray::id;

use crate::lending::shard;
use crate::organisation;
use crate::reply;
use crate::statement;
use crate::upstream;

/// Values that were set with `SET` in a session or on a connection, by name.
pub type Values = collections::BTreeMap<statement::Name, CompactString>;

/// A pooled connection, with the state that earlier users left on it.
pub struct Connection {
    /// The underlying connection to the instance.
    pub link: Box<dyn upstream::Connection>,
    /// The organisation that it was opened for or, if it serves any, that used it last.
    pub organisation: organisation::Name,
    /// Session values that are set on it.
    pub values: Values,
    /// Names of the statements that the instance has confirmed as prepared on it.
    pub handles: collections::BTreeSet<CompactString>,
    /// Its state is not known, so `values` and `handles` may be wrong: commands that set it were built
    /// but not sent, or it has changed the organisation.
    pub dirty: bool,
    /// When it was last used.
    pub used: id::Time,
}

impl Connection {
    /// A new connection with nothing set on it.
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

    /// Whether it may serve an organisation: its own or, if it goes through another node, any
    /// organisation whose connections are held by the same node.
    #[must_use]
    pub fn serves(&self, organisation: &organisation::Name) -> bool {
        if self.organisation == *organisation {
            return true;
        }
        // Connections for this node's own requests may go to any lending node, whereas those of an
        // organisation go to the node that holds its connections.
        let own = [&self.organisation, organisation].contains(&&organisation::OWN);
        let same = shard::of(&self.organisation) == shard::of(organisation);
        self.link.serves_any_organisation() && same && !own
    }

    /// Assigns it to an organisation that it may serve. If that is a different one, nothing is known
    /// of its state: the lending node learns of the change with the next statement, which may never
    /// be sent.
    pub fn assign(&mut self, organisation: &organisation::Name) {
        if self.organisation != *organisation {
            self.organisation.clone_from(organisation);
            self.values.clear();
            self.handles.clear();
            self.dirty = true;
        }
    }

    /// Records which of these commands have prepared a statement, by their replies.
    pub(crate) fn note_prepared(
        &mut self,
        commands: &[upstream::Command],
        replies: &[reply::Reply],
    ) {
        let answered = commands.iter().zip(replies);
        let prepared = answered.filter_map(|(command, reply)| match command {
            upstream::Command::Prepare { handle, .. } if reply.is_done() => Some(handle.clone()),
            _ => None,
        });
        self.handles.extend(prepared);
    }
}
