//! Opens one connection to an instance in the background.

use std::rc;
use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::boot;
use crate::connection;
use crate::organisation;
use crate::pool;
use crate::upstream;
use crate::wait;

/// Timeout for opening a connection. An instance without load takes 12 ms and one of its slots.
const DIAL_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// A connection that is being opened, and counts as open; the count is undone on drop unless the
/// connection was opened.
pub(crate) struct Opening {
    pool: rc::Rc<pool::Pool>,
    organisation: organisation::Name,
    opened: bool,
}

impl Opening {
    /// Counts a connection that is about to be opened for an organisation.
    pub(crate) fn new(pool: rc::Rc<pool::Pool>, organisation: organisation::Name) -> Self {
        pool.connections.begin_dial(organisation.clone());
        Self {
            pool,
            organisation,
            opened: false,
        }
    }

    /// Opens the connection, adds it to the pool and wakes requests that wait for one.
    pub(crate) async fn dial(self) {
        let pool = rc::Rc::clone(&self.pool);
        let permit = pool.dialer.permit().await;
        let started = boot::now();
        let target = pool.instance.borrow().target(&self.organisation);
        let result = wait::within(DIAL_TIMEOUT, pool.dialer.dial(&target)).await;
        drop(permit);
        let refusal = match result {
            Some(Ok((link, position))) => return self.finish(link, position),
            Some(Err(refusal)) => refusal,
            None => upstream::Refusal::Silent("no connection in time".into()),
        };
        // The target is part of what operators see and filter logs by.
        tracing::info!(target: "mangotray_desk::pool", instance = %target.id, ?refusal,
            waited = ?boot::now().saturating_sub(started), "cannot connect to the instance");
        self.fail(&refusal, started);
    }

    fn finish(mut self, link: Box<dyn upstream::Connection>, position: Option<stamp::Stamp>) {
        metrics::counter!("mangotray_upstream_dials_total", "result" => "open").increment(1);
        let pool = rc::Rc::clone(&self.pool);
        pool.health.note_open(position);
        let organisation = self.organisation.clone();
        pool.connections.put(connection::Connection::new(
            link,
            organisation.clone(),
            boot::now(),
        ));
        self.opened = true;
        drop(self);
        pool.waiting.wake_for(&organisation);
        // Another waiting request may now start to open a connection.
        pool.waiting.wake();
    }

    fn fail(self, refusal: &upstream::Refusal, started: id::Time) {
        metrics::counter!("mangotray_upstream_dials_total", "result" => "refused").increment(1);
        let pool = rc::Rc::clone(&self.pool);
        if *refusal == upstream::Refusal::Full {
            let others = pool.connections.open_count().saturating_sub(1);
            pool.capacity.note_full(others);
            pool.health.note_refused_as_full();
        } else {
            pool.health.note_unreachable(refusal);
        }
        pool.health.note_failed_dial(started);
        drop(self);
        pool.waiting.wake_all();
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        self.pool
            .connections
            .end_dial(&self.organisation, self.opened);
    }
}
