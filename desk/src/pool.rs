//! The pool of connections to one instance, shared by all sessions of this node.
//!
//! Statements and transactions check connections out of the pool, which opens them in the
//! background. From the answers it records the state of the instance: its applied position, its
//! latency, and whether it can be reached. After a failed dial it refuses requests for a short
//! time, so that they fail over to another instance instead of waiting.

use std::cell;
use std::rc;
use std::time;

use futures_lite::future as poll;
use mangotray::id;
use mangotray::stamp;

use crate::absence;
use crate::boot;
use crate::catalog;
use crate::checkout;
use crate::concurrency::exchange;
use crate::connection;
use crate::health;
use crate::load::backlog;
use crate::load::forecast;
use crate::load::options;
use crate::load::report;
use crate::organisation;
use crate::reply;
use crate::room::capacity;
use crate::room::connections;
use crate::room::limiter;
use crate::room::opening;
use crate::room::queue;
use crate::room::size;
use crate::room::transactions;
use crate::shortage;
use crate::upstream;
use crate::urgency;

/// Concurrent dials of this node to one instance: each takes one of the instance's three slots
/// for 12 ms.
const MAX_DIALS: usize = 2;

/// The shared connections to one instance, and its state as known from their answers.
pub struct Pool {
    /// The instance's current entry in the list of instances.
    pub instance: cell::RefCell<catalog::Instance>,
    pub(crate) capacity: capacity::Capacity,
    pub(crate) dialer: rc::Rc<dyn upstream::Dialer>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    pub(crate) connections: connections::Connections,
    pub(crate) waiting: queue::Queue,
    limiter: rc::Rc<limiter::Limiter>,
    /// Statements that wait for a connection or for a permit.
    backlog: backlog::Backlog,
    transactions: rc::Rc<transactions::Transactions>,
    options: options::Options,
    pub(crate) health: health::Health,
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
            options: dialer.load_options(),
            dialer,
            executor,
            connections: connections::Connections::default(),
            waiting: queue::Queue::default(),
            limiter: limiter::Limiter::new(size.max_statements),
            backlog: backlog::Backlog::default(),
            transactions: rc::Rc::default(),
            health: health::Health::default(),
        }
    }

    /// Sets which decisions under load are switched on.
    #[must_use]
    pub fn with_options(mut self, options: options::Options) -> Self {
        self.options = options;
        self.learn_load();
        self
    }

    /// Decisions under load that are switched on.
    #[must_use]
    pub const fn options(&self) -> options::Options {
        self.options
    }

    /// The load of the instance as this node knows it.
    #[must_use]
    pub fn load_report(&self) -> report::Report {
        let exchange = self.expected_exchange();
        let limit = u32::try_from(self.window()).unwrap_or(u32::MAX).max(1);
        // One of the statements that run has to end before the first that waits can start.
        let wait = |ahead: u32| exchange.saturating_mul(ahead.saturating_add(1)) / limit;
        let waits = self.backlog.ahead().map(|ahead| match ahead {
            0 => time::Duration::ZERO,
            _ => wait(ahead),
        });
        report::Report {
            waits_ms: waits.map(to_millis),
            exchange_ms: to_millis(exchange),
            limit: u16::try_from(limit).unwrap_or(u16::MAX),
        }
    }

    /// Time of an exchange that a lending node has reported lately for the instance, if any.
    #[must_use]
    pub fn reported_exchange(&self, organisation: &organisation::Name) -> Option<time::Duration> {
        let target = self.instance.borrow().target(organisation);
        self.dialer.exchange(&target)
    }

    /// What the last load report on the instance lets expect of an organisation's statement; `None`
    /// without a fresh report.
    #[must_use]
    pub fn forecast(&self, organisation: &organisation::Name) -> Option<forecast::Forecast> {
        if !self.options.load_reports {
            return None;
        }
        let target = self.instance.borrow().target(organisation);
        let mut forecast = self.dialer.forecast(&target)?;
        // What was sent and answered since the report is no load any more.
        let running = forecast.added.min(self.connections.checked_out_count());
        forecast.added = running + self.waiting.len();
        Some(forecast)
    }

    /// Whether retries of statements for the instance are limited by a budget.
    #[must_use]
    pub fn limits_retries(&self) -> bool {
        let target = self.instance.borrow().target(&organisation::OWN);
        self.options.retry_percent.is_some() && self.dialer.limits_retries(&target)
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
        self.learn_load();
    }

    // The load is learned where this node holds connections for others.
    fn learn_load(&self) {
        let size = self.capacity.size();
        let learns = self.options.adaptive_concurrency && size.serves_others();
        self.limiter.learn(learns.then_some(size));
    }

    /// Number of connections that are checked out, plus requests that wait for one.
    #[must_use]
    pub fn load(&self) -> usize {
        self.connections.checked_out_count() + self.waiting.len()
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

    /// Expected time of an exchange, from sending to the answer: learned from the answers, if
    /// [`options::Options::adaptive_concurrency`] applies to the pool, else the latency.
    #[must_use]
    pub fn expected_exchange(&self) -> time::Duration {
        self.limiter.expected().unwrap_or_else(|| self.latency())
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

    /// A time by which the instance's process had ended, as it is found at `now` to have.
    #[must_use]
    pub fn ended_by(&self, now: id::Time) -> id::Time {
        self.health.ended_by(now)
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
        let fair = self.serves_in_turn();
        self.waiting.set_fair(fair);
        if fair && self.waiting.woken() > 0 {
            // Those that were woken go first.
            poll::yield_now().await;
        }
        let mut woken = false;
        loop {
            if let Some(connection) = self.connections.take(organisation, values) {
                if !woken {
                    self.waiting.charge(organisation);
                }
                if fair {
                    self.connections.note_use(organisation);
                }
                let pool = rc::Rc::clone(self);
                return Ok(checkout::Checkout::new(pool, connection, urgency));
            }
            if woken {
                self.waiting.settle(organisation, time::Duration::ZERO);
            }
            if self.is_down() {
                return Err(shortage::Shortage::Down);
            }
            if self.connections.open_count() == 0 && self.capacity.is_full() {
                return Err(shortage::Shortage::Full);
            }
            self.grow(organisation);
            if self.is_lost() {
                return Err(shortage::Shortage::Down);
            }
            if !woken && let Some(refusal) = self.refuse(&urgency, organisation, deadline) {
                return Err(refusal);
            }
            let _place = self.backlog.enter(urgency.priority);
            let waited = self.waiting.wait(organisation, urgency, since, deadline);
            if !waited.await {
                let opening = self.connections.open_count() <= self.connections.dialling_count();
                return Err(if opening {
                    shortage::Shortage::Opening
                } else {
                    shortage::Shortage::Late
                });
            }
            woken = true;
        }
    }

    // Refuses a request that arrives at a queue in which it clearly cannot start in time.
    fn refuse(
        &self,
        urgency: &urgency::Urgency,
        organisation: &organisation::Name,
        deadline: id::Time,
    ) -> Option<shortage::Shortage> {
        if !self.options.fair_queueing || !self.capacity.lends() || urgency.priority == 0 {
            return None;
        }
        // Its organisation's connections go to its own requests, whatever waits before them.
        let others_wait = self.waiting.count_waiting(organisation) < self.waiting.len();
        if others_wait && self.connections.count_for(organisation) > 0 {
            return None;
        }
        let come_back = self.waiting.refusal(organisation, urgency, deadline)?;
        metrics::counter!("mangotray_early_refusals_total", "reason" => "queue").increment(1);
        tracing::info!(instance = %self.id(), %organisation, priority = urgency.priority,
            waiting = self.waiting.len(), ?come_back,
            "request refused, as it cannot start in time");
        Some(shortage::Shortage::Backlog { come_back })
    }

    // Whether organisations that wait for this instance are served in turn.
    fn serves_in_turn(&self) -> bool {
        self.options.fair_queueing && (self.capacity.lends() || self.uses_lenders())
    }

    // Whether these connections lead to nodes that lend connections to the instance.
    fn uses_lenders(&self) -> bool {
        let target = self.instance.borrow().target(&organisation::OWN);
        self.dialer.is_shared(&target)
    }

    /// Accounts for the time for which an organisation had a connection.
    pub(crate) fn settle(&self, organisation: &organisation::Name, since: id::Time) {
        let took = boot::now().saturating_sub(since);
        self.waiting.settle(organisation, took);
        self.connections.end_use(organisation);
    }

    /// Closes connections beyond the minimum that have been idle for longer than the timeout.
    pub fn trim(&self) {
        self.connections.trim(self.capacity.idle_timeout());
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
        let room = self.connections.open_count() < self.capacity.limit();
        if room && self.connections.dialling_count() == 0 {
            self.open_for(organisation);
        }
    }

    /// Closes all idle connections, for example after the instance was lost.
    pub fn close_idle(&self) {
        self.connections.close_idle();
    }

    /// Takes a connection that was checked out back into the pool; `None` if it was closed.
    pub(crate) fn release(self: &rc::Rc<Self>, connection: Option<connection::Connection>) {
        let last_resort = |connection: &connection::Connection| {
            let target = self.instance.borrow().target(&connection.organisation);
            !connection.link.serves_any_organisation() && self.dialer.is_last_resort(&target)
        };
        let Some(connection) = connection.filter(|connection| !last_resort(connection)) else {
            self.connections.note_closed(1);
            return self.waiting.wake();
        };
        let organisation = connection.organisation.clone();
        if !connection.link.serves_any_organisation()
            && let Some(rival) = self.rival(&organisation)
        {
            drop(connection);
            self.connections.note_closed(1);
            metrics::counter!("mangotray_upstream_evictions_total").increment(1);
            return self.open_for(&rival);
        }
        if self.waiting.is_fair() && connection.link.serves_any_organisation() {
            // The woken request continues later, when the connection is back.
            self.waiting.wake_among(|name| connection.serves(name));
            return self.connections.put(connection);
        }
        self.connections.put(connection);
        self.waiting.wake_for(&organisation);
    }

    // The organisation for which a connection of another one is closed although it is in demand.
    fn rival(&self, organisation: &organisation::Name) -> Option<organisation::Name> {
        let full = self.connections.open_count() >= self.capacity.limit();
        let may_dial = self.connections.dialling_count() < MAX_DIALS && !self.capacity.is_full();
        let coming = |name: &organisation::Name| self.connections.dialling_count_for(name);
        let rival = || self.waiting.rival(organisation, coming);
        (full && may_dial).then(rival).flatten()
    }

    // Opens one more connection for an organisation in the background, if there are too few.
    //
    // The dial is not cancelled when the request that waits for it gives up. Otherwise the
    // instance's work on the handshake would be wasted and the next request would start over:
    // after a restart of many nodes, an overloaded instance would spend most of its time on
    // handshakes that nobody waits for.
    fn grow(self: &rc::Rc<Self>, organisation: &organisation::Name) {
        let wanted = self.waiting.count_waiting(organisation) + 1;
        let all = self.connections.dialling_count();
        let own = self.connections.dialling_count_for(organisation);
        let enough = all >= MAX_DIALS || own >= wanted;
        if enough
            || self.connections.checked_out_count() + all >= self.capacity.useful(self.window())
            || self.capacity.is_full()
        {
            return;
        }
        if self.connections.open_count() >= self.capacity.limit()
            && !self.connections.evict(self.serves_in_turn())
        {
            return;
        }
        self.open_for(organisation);
    }

    fn open_for(self: &rc::Rc<Self>, organisation: &organisation::Name) {
        let opening = opening::Opening::new(rc::Rc::clone(self), organisation.clone());
        self.executor.spawn(opening.dial()).detach();
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

    /// Waits for a place among the bounded number of open transactions; `None` if they are not
    /// bounded.
    ///
    /// # Errors
    /// Returns an error if there is none before the latest start or the deadline. Nothing was sent.
    pub(crate) async fn begin(
        &self,
        urgency: urgency::Urgency,
        organisation: &organisation::Name,
    ) -> Result<Option<transactions::Place>, upstream::Failure> {
        let bounded = self.options.transactions == options::Transactions::Bounded;
        if !bounded || !self.capacity.lends() {
            return Ok(None);
        }
        let (arrived, bounds) = (boot::now(), self.capacity.transaction_bounds(self.window()));
        let place = self.transactions.acquire(urgency, organisation, bounds);
        place.await.map(Some).map_err(|refusal| {
            metrics::counter!("mangotray_transactions_refused_total").increment(1);
            tracing::info!(instance = %self.id(), %organisation, ?refusal, open = self.transactions.count(),
                bound = bounds.count, waited = ?boot::now().saturating_sub(arrived),
                "transaction refused, as too many are open");
            shortage::too_many_transactions(refusal, boot::now())
        })
    }

    /// Waits for a permit under the instance's concurrency limit; `None` if the statement's latest
    /// start or its deadline passes.
    pub(crate) async fn acquire_permit(
        &self,
        urgency: urgency::Urgency,
        organisation: &organisation::Name,
    ) -> Option<limiter::Permit> {
        let _place = self.backlog.enter(urgency.priority);
        self.limiter.set_fair(self.serves_in_turn());
        self.limiter.acquire(urgency, organisation).await
    }

    /// The beginning of an exchange, for [`Pool::note_exchange`].
    pub(crate) fn begin_exchange(&self, priority: u8) -> exchange::Start {
        exchange::Start {
            sent: boot::now(),
            applied: self.applied(),
            priority,
            others: self.limiter.running().saturating_sub(1),
        }
    }

    /// Learns the instance's load from the end of an exchange.
    pub(crate) fn note_exchange(
        &self,
        start: &exchange::Start,
        commands: &[upstream::Command],
        result: &Result<Vec<reply::Reply>, upstream::Failure>,
    ) {
        let now = boot::now();
        if let Some(exchange) = start.end(now, commands, result) {
            let instance = self.instance.borrow();
            let grown = self.limiter.observe(now, &instance.id, exchange);
            drop(instance);
            (0..grown).for_each(|_| self.waiting.wake());
        }
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

fn to_millis(duration: time::Duration) -> u16 {
    u16::try_from(duration.as_millis()).unwrap_or(u16::MAX)
}
