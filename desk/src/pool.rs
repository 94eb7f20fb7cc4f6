//! The pool of connections to one instance, shared by all sessions of this node.
//!
//! Statements and transactions check connections out of the pool, which opens them in the
//! background. From the answers it records the state of the instance: its applied position, its
//! latency, and whether it can be reached. After a failed dial it refuses requests for a short
//! time, so that they fail over to another instance instead of waiting.

use std::cell;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::absence;
use crate::boot;
use crate::capacity;
use crate::catalog;
use crate::checkout;
use crate::connection;
use crate::health;
use crate::limiter;
use crate::organisation;
use crate::queue;
use crate::reply;
use crate::shortage;
use crate::size;
use crate::upstream;
use crate::urgency;
use crate::wait;

/// Connections that stay open even when idle; those beyond are closed after an idle timeout.
const MIN_CONNECTIONS: usize = 1;

/// Concurrent dials of this node to one instance: each takes one of the instance's three slots
/// for 12 ms.
const MAX_DIALS: usize = 2;

/// Timeout for opening a connection. An instance without load takes 12 ms and one of its slots.
const DIAL_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// The shared connections to one instance, and its state as known from their answers.
pub struct Pool {
    /// The instance's current entry in the list of instances.
    pub instance: cell::RefCell<catalog::Instance>,
    capacity: capacity::Capacity,
    dialer: rc::Rc<dyn upstream::Dialer>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    /// Organisation of each connection that is being opened.
    dialling: cell::RefCell<Vec<organisation::Name>>,
    idle: cell::RefCell<Vec<connection::Connection>>,
    open_count: cell::Cell<usize>,
    waiting: queue::Queue,
    limiter: rc::Rc<limiter::Limiter>,
    health: health::Health,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(
        instance: catalog::Instance,
        dialer: rc::Rc<dyn upstream::Dialer>,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
        size: size::Size,
    ) -> Self {
        Self {
            instance: cell::RefCell::new(instance),
            capacity: capacity::Capacity::new(size),
            dialer,
            executor,
            dialling: cell::RefCell::default(),
            idle: cell::RefCell::default(),
            open_count: cell::Cell::default(),
            waiting: queue::Queue::default(),
            limiter: limiter::Limiter::new(size.max_statements),
            health: health::Health::default(),
        }
    }

    /// Id of the instance.
    #[must_use]
    pub fn id(&self) -> upstream::Id {
        self.instance.borrow().id.clone()
    }

    /// When the instance's process started, according to the list of instances.
    #[must_use]
    pub fn born(&self) -> upstream::StartTime {
        self.instance.borrow().born
    }

    /// When this node learned that the instance had restarted under the same id, if it has.
    #[must_use]
    pub fn restarted_at(&self) -> Option<id::Time> {
        self.health.restarted_at()
    }

    /// Records that the instance has restarted under the same id, and has applied nothing yet.
    pub fn note_restart(&self) {
        self.health.note_restart();
    }

    /// Whether the last status request found that it had not received records that the primary had
    /// held for a while.
    #[must_use]
    pub fn has_receive_lag(&self) -> bool {
        self.health.has_receive_lag()
    }

    /// Records whether a status request found such a lag in receiving.
    pub fn note_receive_lag(&self, receive_lag: bool) {
        self.health.note_receive_lag(receive_lag);
    }

    /// Sets a new size, for example when this node begins or ends to serve the instance to others.
    pub fn resize(&self, size: size::Size) {
        self.capacity.resize(size);
    }

    /// Number of connections that are checked out, plus requests that wait for one.
    #[must_use]
    pub fn load(&self) -> usize {
        self.checked_out_count() + self.waiting.len()
    }

    fn checked_out_count(&self) -> usize {
        let rest = self.idle.borrow().len() + self.dialling.borrow().len();
        self.open_count.get().saturating_sub(rest)
    }

    /// Latest log position that the instance is known to have applied.
    #[must_use]
    pub fn applied(&self) -> stamp::Stamp {
        self.health.applied()
    }

    /// When the instance last refused a read because it was behind the required position.
    #[must_use]
    pub fn last_behind(&self) -> id::Time {
        self.health.last_behind()
    }

    /// When the instance last answered a request or accepted a connection.
    #[must_use]
    pub fn last_answer(&self) -> id::Time {
        self.health.last_answer()
    }

    /// Smoothed round-trip time of a request, including the instance's work.
    #[must_use]
    pub fn latency(&self) -> time::Duration {
        self.health.latency()
    }

    /// Current concurrency limit: statements that this node runs on the instance at once.
    #[must_use]
    pub fn window(&self) -> usize {
        self.limiter.window()
    }

    /// Whether the instance accepted no connection, or left a request unanswered, a short time ago.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.health.is_down()
    }

    /// Whether dials to the instance have failed for so long that it counts as lost to this node.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.health.is_lost()
    }

    /// Whether the instance's address refused the last connection, as its process has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.health.is_closed()
    }

    /// The last known activity of the instance, or the end of its process.
    #[must_use]
    pub fn activity(&self) -> absence::Activity {
        self.health.activity()
    }

    /// Records that the instance refused a read because it was behind the required position.
    pub fn note_behind(&self) {
        self.health.note_behind();
    }

    /// Records the load that the instance reported in answer to a status request.
    pub fn note_load(&self, load: upstream::Load) {
        self.health.note_load(load);
    }

    /// Time until the instance will have applied all that it has received, by its last report.
    #[must_use]
    pub fn lag(&self) -> time::Duration {
        self.health.lag()
    }

    /// Checks out a connection for an organisation, preferably one that the organisation used last
    /// with the same values.
    ///
    /// A lost instance is dialled in the background, and the caller does not wait for it.
    ///
    /// # Errors
    /// Returns the reason when no connection is available until `deadline`, or earlier when the
    /// instance is down, lost or full.
    pub async fn check_out(
        self: &rc::Rc<Self>,
        urgency: urgency::Urgency,
        organisation: &organisation::Name,
        values: &connection::Values,
        deadline: id::Time,
    ) -> Result<checkout::Checkout, shortage::Shortage> {
        let since = boot::now();
        loop {
            if let Some(connection) = self.take_idle(organisation, values) {
                return Ok(self.new_checkout(connection, urgency));
            }
            if self.is_down() {
                return Err(shortage::Shortage::Down);
            }
            if self.open_count.get() == 0 && self.capacity.is_full() {
                return Err(shortage::Shortage::Full);
            }
            self.grow(organisation);
            if self.is_lost() {
                return Err(shortage::Shortage::Down);
            }
            let waited = self.waiting.wait(organisation, urgency, since, deadline);
            if !waited.await {
                let opening = self.open_count.get() <= self.dialling.borrow().len();
                return Err(if opening {
                    shortage::Shortage::Opening
                } else {
                    shortage::Shortage::Late
                });
            }
        }
    }

    /// Closes connections beyond the minimum that have been idle for longer than the timeout.
    pub fn trim(&self) {
        let oldest = boot::now().saturating_sub(self.capacity.idle_timeout());
        let mut idle = self.idle.borrow_mut();
        while self.open_count.get() > MIN_CONNECTIONS
            && idle
                .first()
                .is_some_and(|connection| connection.used < oldest)
        {
            idle.remove(0);
            self.open_count.set(self.open_count.get() - 1);
        }
    }

    // Suspects the instance if it has answered nothing since `sent`; returns whether it does. The
    // unanswered request keeps waiting, but nothing is sent after it until the instance has
    // accepted a new connection or is no longer marked as down.
    pub(crate) fn suspect_if_silent_since(
        self: &rc::Rc<Self>,
        sent: id::Time,
        organisation: &organisation::Name,
    ) -> bool {
        if self.last_answer() >= sent {
            return false;
        }
        tracing::info!(instance = %self.id(), "instance is silent");
        metrics::counter!("mangotray_upstream_silences_total").increment(1);
        self.suspect(organisation);
        true
    }

    /// Marks the instance as down because it did not answer an organisation's request, and closes
    /// its idle connections: each of them would cost another caller the same time to find out.
    ///
    /// If the instance works and only its open connections are broken, the new connection that is
    /// opened at once clears the mark.
    pub fn suspect(self: &rc::Rc<Self>, organisation: &organisation::Name) {
        self.health.note_down();
        self.close_idle();
        let room = self.open_count.get() < self.capacity.limit();
        if room && self.dialling.borrow().is_empty() {
            self.open_for(organisation);
        }
    }

    /// Closes all idle connections, for example after the instance was lost.
    pub fn close_idle(&self) {
        let count = self.idle.borrow_mut().drain(..).count();
        self.open_count.set(self.open_count.get() - count);
    }

    fn take_idle(
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
            self.open_count.set(self.open_count.get() - 1);
        }
    }

    fn new_checkout(
        self: &rc::Rc<Self>,
        connection: connection::Connection,
        urgency: urgency::Urgency,
    ) -> checkout::Checkout {
        checkout::Checkout::new(rc::Rc::clone(self), connection, urgency)
    }

    /// Takes a connection that was checked out back into the pool; `None` if it was closed.
    pub(crate) fn release(&self, connection: Option<connection::Connection>) {
        let last_resort = |connection: &connection::Connection| {
            let target = self.instance.borrow().target(&connection.organisation);
            !connection.link.serves_any_organisation() && self.dialer.is_last_resort(&target)
        };
        let Some(connection) = connection.filter(|connection| !last_resort(connection)) else {
            self.open_count.set(self.open_count.get() - 1);
            return self.waiting.wake();
        };
        let organisation = connection.organisation.clone();
        self.idle.borrow_mut().push(connection);
        self.waiting.wake_for(&organisation);
    }

    // Opens one more connection for an organisation in the background, if there are too few.
    //
    // The dial is not cancelled when the request that waits for it gives up. Otherwise the
    // instance's work on the handshake would be wasted and the next request would start over:
    // after a restart of many nodes, an overloaded instance would spend most of its time on
    // handshakes that nobody waits for.
    fn grow(self: &rc::Rc<Self>, organisation: &organisation::Name) {
        let wanted = self.waiting.count_waiting(organisation) + 1;
        let (all, own) = {
            let dialling = self.dialling.borrow();
            let own = dialling.iter().filter(|name| *name == organisation);
            (dialling.len(), own.count())
        };
        let enough = all >= MAX_DIALS || own >= wanted;
        if enough
            || self.checked_out_count() + all >= self.capacity.useful(self.window())
            || self.capacity.is_full()
        {
            return;
        }
        if self.open_count.get() >= self.capacity.limit() && !self.evict() {
            return;
        }
        self.open_for(organisation);
    }

    fn open_for(self: &rc::Rc<Self>, organisation: &organisation::Name) {
        let reservation = Reservation::new(rc::Rc::clone(self), organisation.clone());
        let pool = rc::Rc::clone(self);
        self.executor
            .spawn(async move { pool.dial(reservation).await })
            .detach();
    }

    // Closes the least recently used idle connection; returns whether there was one. Keeps one of
    // this node's own, which status requests to the instance use.
    fn evict(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let own =
            |connection: &connection::Connection| connection.organisation == organisation::OWN;
        let spares_own = idle.iter().filter(|connection| own(connection)).count() > 1;
        let closable = (0..idle.len()).filter(|index| spares_own || !own(&idle[*index]));
        let Some(oldest) = closable.min_by_key(|index| idle[*index].used) else {
            return false;
        };
        idle.remove(oldest);
        self.open_count.set(self.open_count.get() - 1);
        metrics::counter!("mangotray_upstream_evictions_total").increment(1);
        true
    }

    /// Counts one more connection with an open transaction.
    pub(crate) fn pin(&self) {
        self.capacity.pin();
        self.waiting.wake();
    }

    /// Counts one connection with an open transaction less.
    pub(crate) fn unpin(&self) {
        self.capacity.unpin();
    }

    async fn dial(self: rc::Rc<Self>, reservation: Reservation) {
        let permit = self.dialer.permit().await;
        let started = boot::now();
        let target = self.instance.borrow().target(reservation.organisation());
        let result = wait::within(DIAL_TIMEOUT, self.dialer.dial(&target)).await;
        drop(permit);
        let refusal = match result {
            Some(Ok((link, stamp))) => {
                let organisation = reservation.organisation().clone();
                self.add_opened(link, stamp, organisation.clone());
                reservation.keep();
                self.waiting.wake_for(&organisation);
                // Another waiting request may now start to open a connection.
                self.waiting.wake();
                return;
            }
            Some(Err(refusal)) => refusal,
            None => upstream::Refusal::Silent("no connection in time".into()),
        };
        metrics::counter!("mangotray_upstream_dials_total", "result" => "refused").increment(1);
        tracing::info!(instance = %target.id, ?refusal, waited = ?boot::now().saturating_sub(started),
            "cannot connect to the instance");
        if refusal == upstream::Refusal::Full {
            let others = self.open_count.get().saturating_sub(1);
            self.capacity.note_full(others);
        } else {
            self.health.note_unreachable(&refusal);
        }
        self.health.note_failed_dial(started);
        drop(reservation);
        self.waiting.wake_all();
    }

    fn add_opened(
        &self,
        link: Box<dyn upstream::Connection>,
        stamp: Option<stamp::Stamp>,
        organisation: organisation::Name,
    ) {
        metrics::counter!("mangotray_upstream_dials_total", "result" => "open").increment(1);
        self.health.note_open(stamp);
        let connection = connection::Connection::new(link, organisation, boot::now());
        self.idle.borrow_mut().push(connection);
    }

    /// Waits for a permit under the instance's concurrency limit; `None` if the statement's latest
    /// start or its deadline passes.
    pub(crate) async fn acquire_permit(
        &self,
        urgency: urgency::Urgency,
    ) -> Option<limiter::Permit> {
        self.limiter.acquire(urgency).await
    }

    pub(crate) fn note_replies(self: &rc::Rc<Self>, sent: id::Time, replies: &[reply::Reply]) {
        let now = boot::now();
        let took = now.saturating_sub(sent);
        if let Some(last) = replies.last()
            && self.limiter.adapt(now, last, took)
        {
            // The concurrency limit was raised: one more statement may run.
            self.waiting.wake();
        }
        self.health.note_replies(now, took, replies);
    }
}

/// Counts a connection that is being opened as open; the count is undone on drop unless the
/// reservation is kept.
struct Reservation {
    pool: rc::Rc<Pool>,
    organisation: organisation::Name,
    kept: bool,
}

impl Reservation {
    fn new(pool: rc::Rc<Pool>, organisation: organisation::Name) -> Self {
        pool.open_count.set(pool.open_count.get() + 1);
        pool.dialling.borrow_mut().push(organisation.clone());
        Self {
            pool,
            organisation,
            kept: false,
        }
    }

    const fn organisation(&self) -> &organisation::Name {
        &self.organisation
    }

    fn keep(mut self) {
        self.kept = true;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let pool = &self.pool;
        {
            let mut dialling = pool.dialling.borrow_mut();
            let own = dialling.iter().position(|name| *name == self.organisation);
            if let Some(index) = own {
                dialling.swap_remove(index);
            }
        }
        if !self.kept {
            pool.open_count.set(pool.open_count.get() - 1);
        }
    }
}
