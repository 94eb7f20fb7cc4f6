//! The open connections of a pool: those that are idle, and the counts of the others.

use std::cell;
use std::collections;
use std::time;

use crate::boot;
use crate::connection;
use crate::organisation;
use crate::room::usage;

/// Connections that stay open even when idle; those beyond are closed after an idle timeout.
const MIN_CONNECTIONS: usize = 1;

/// The connections of one pool, whether idle, checked out or being opened.
#[derive(Default)]
pub(crate) struct Connections {
    idle: cell::RefCell<Vec<connection::Connection>>,
    /// Organisation of each connection that is being opened.
    dialling: cell::RefCell<Vec<organisation::Name>>,
    /// Number of all connections, including those that are being opened.
    open_count: cell::Cell<usize>,
    /// Uses by organisation, recorded where connections are closed by their worth.
    usage: cell::RefCell<usage::Usage>,
    /// Number of connections that each organisation has checked out, recorded in the same case.
    in_use: cell::RefCell<collections::BTreeMap<organisation::Name, usize>>,
}

impl Connections {
    /// Number of all connections, including those that are being opened.
    pub(crate) fn open_count(&self) -> usize {
        self.open_count.get()
    }

    /// Number of connections that are checked out.
    pub(crate) fn checked_out_count(&self) -> usize {
        let rest = self.idle.borrow().len() + self.dialling_count();
        self.open_count.get().saturating_sub(rest)
    }

    /// Number of connections that are being opened.
    pub(crate) fn dialling_count(&self) -> usize {
        self.dialling.borrow().len()
    }

    /// Number of connections that are being opened for an organisation.
    pub(crate) fn dialling_count_for(&self, organisation: &organisation::Name) -> usize {
        let dialling = self.dialling.borrow();
        let own = dialling.iter().filter(|name| *name == organisation);
        own.count()
    }

    /// Counts a connection that is being opened for an organisation.
    pub(crate) fn begin_dial(&self, organisation: organisation::Name) {
        self.open_count.set(self.open_count.get() + 1);
        self.dialling.borrow_mut().push(organisation);
    }

    /// Counts a connection no longer as being opened, and as open only if it is.
    pub(crate) fn end_dial(&self, organisation: &organisation::Name, opened: bool) {
        {
            let mut dialling = self.dialling.borrow_mut();
            let own = dialling.iter().position(|name| name == organisation);
            if let Some(index) = own {
                dialling.swap_remove(index);
            }
        }
        if !opened {
            self.note_closed(1);
        }
    }

    /// Counts connections that were closed.
    pub(crate) fn note_closed(&self, count: usize) {
        self.open_count.set(self.open_count.get() - count);
    }

    /// Adds an idle connection that is counted already.
    pub(crate) fn put(&self, connection: connection::Connection) {
        self.idle.borrow_mut().push(connection);
    }

    /// Takes an idle connection that may serve an organisation, preferably one that it used last
    /// with the same values.
    pub(crate) fn take(
        &self,
        organisation: &organisation::Name,
        values: &connection::Values,
    ) -> Option<connection::Connection> {
        loop {
            let mut idle = self.idle.borrow_mut();
            let serves = |connection: &connection::Connection| connection.serves(organisation);
            let fits = |connection: &connection::Connection| {
                connection.organisation == *organisation && connection.values == *values
            };
            let index = idle.iter().rposition(fits);
            let index = index.or_else(|| idle.iter().rposition(serves))?;
            let mut connection = idle.remove(index);
            if connection.link.alive() {
                connection.assign(organisation);
                return Some(connection);
            }
            self.note_closed(1);
        }
    }

    /// Closes connections beyond the minimum that have been idle for longer than the timeout.
    pub(crate) fn trim(&self, idle_timeout: time::Duration) {
        let oldest = boot::now().saturating_sub(idle_timeout);
        let mut idle = self.idle.borrow_mut();
        while self.open_count.get() > MIN_CONNECTIONS
            && idle
                .first()
                .is_some_and(|connection| connection.used < oldest)
        {
            idle.remove(0);
            self.note_closed(1);
        }
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        let count = self.idle.borrow_mut().drain(..).count();
        self.note_closed(count);
    }

    /// Records that an organisation checks out a connection.
    pub(crate) fn note_use(&self, organisation: &organisation::Name) {
        self.usage.borrow_mut().note(organisation, boot::now());
        let mut in_use = self.in_use.borrow_mut();
        *in_use.entry(organisation.clone()).or_default() += 1;
    }

    /// Records that an organisation gives a connection back.
    pub(crate) fn end_use(&self, organisation: &organisation::Name) {
        let mut in_use = self.in_use.borrow_mut();
        if let Some(count) = in_use.get_mut(organisation) {
            *count -= 1;
            if *count == 0 {
                in_use.remove(organisation);
            }
        }
    }

    /// Number of connections that an organisation has checked out, or that are opened for it.
    pub(crate) fn count_for(&self, organisation: &organisation::Name) -> usize {
        let in_use = self.in_use.borrow().get(organisation).copied();
        in_use.unwrap_or_default() + self.dialling_count_for(organisation)
    }

    /// Closes an idle connection; returns whether there was one. This is the least recently used
    /// one or, with `by_worth`, the least recently used of the lowest worth. Keeps one of this
    /// node's own, which status requests to the instance use.
    pub(crate) fn evict(&self, by_worth: bool) -> bool {
        let mut idle = self.idle.borrow_mut();
        let own =
            |connection: &connection::Connection| connection.organisation == organisation::OWN;
        let spares_own = idle.iter().filter(|connection| own(connection)).count() > 1;
        let worth = |index: &usize| {
            let organisation = &idle[*index].organisation;
            let same = |connection: &&connection::Connection| connection.serves(organisation);
            let count = idle.iter().filter(same).count();
            let usage = self.usage.borrow();
            by_worth.then(|| usage.worth(organisation, count, boot::now()))
        };
        let closable = (0..idle.len()).filter(|index| spares_own || !own(&idle[*index]));
        let ranked = closable.map(|index| (worth(&index).unwrap_or_default(), index));
        let lowest = ranked.min_by(|(worth, index), (other_worth, other)| {
            let by_age = idle[*index].used.cmp(&idle[*other].used);
            worth.total_cmp(other_worth).then(by_age)
        });
        let Some((_, lowest)) = lowest else {
            return false;
        };
        idle.remove(lowest);
        self.note_closed(1);
        metrics::counter!("mangotray_upstream_evictions_total").increment(1);
        true
    }
}
