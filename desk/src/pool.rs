//! Connections to one instance, shared by all sessions of this node.

use std::cell;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::absence;
use crate::boot;
use crate::catalog;
use crate::connection;
use crate::lent;
use crate::organisation;
use crate::queue;
use crate::reply;
use crate::size;
use crate::turns;
use crate::upstream;
use crate::urgency;
use crate::wait;

/// Idle connections that a node keeps; those above it are given back after a while.
const MIN_CONNECTIONS: usize = 1;

/// An instance that said it is full is not asked again for this long.
const FULL_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

/// An instance that did not take a connection is not tried again for this long, so that
/// requests fail over at once in place of waiting for a dead address one after the other.
const DOWN_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// An address at which another instance answers is not tried again for this long: the one
/// that was meant has ended, and its entry goes within three heartbeats.
const REPLACED_RETRY_DELAY: time::Duration = time::Duration::from_secs(4);

/// Connections that one node opens to one instance at the same time: each takes one of its
/// three slots for 12 ms.
const MAX_DIALS: usize = 2;

/// Longest wait for a new connection; one takes 12 ms and its slot on a calm day.
const DIAL_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// An instance to which no connection came about for this long is lost for this node; what
/// passes by itself, as a restart of the nodes that lend connections, is over sooner. Nobody
/// waits for it, as another node may reach it.
const LOST_AFTER: time::Duration = time::Duration::from_secs(1);

/// Why no connection was lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The time was over before a connection was free.
    Late,
    /// The time was over before the first connection was open.
    Opening,
    /// The instance cannot be reached.
    Down,
    /// The instance has no connection left and this node none of its own.
    Full,
}

/// The shared connections to one instance, and what their answers told about it.
pub struct Pool {
    /// The instance, as the list of instances has it now.
    pub instance: cell::RefCell<catalog::Instance>,
    size: cell::Cell<size::Size>,
    dialer: rc::Rc<dyn upstream::Dialer>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    /// For whom connections are being opened.
    dialling: cell::RefCell<Vec<organisation::Name>>,
    idle: cell::RefCell<Vec<connection::Connection>>,
    open: cell::Cell<usize>,
    waiting: queue::Queue,
    turns: rc::Rc<turns::Turns>,
    pinned: cell::Cell<usize>,
    full_until: cell::Cell<id::Time>,
    /// Connections that the instance left to this node when it was last full, and until when no more
    /// are tried.
    ceiling: cell::Cell<(usize, id::Time)>,
    down_until: cell::Cell<id::Time>,
    closed: cell::Cell<bool>,
    /// Another instance answered at its address.
    replaced: cell::Cell<bool>,
    failing_since: cell::Cell<Option<id::Time>>,
    applied: cell::Cell<stamp::Stamp>,
    last_behind: cell::Cell<id::Time>,
    /// When, by its last report, it will have applied what it has received.
    caught_up_at: cell::Cell<id::Time>,
    last_answer: cell::Cell<id::Time>,
    restarted_at: cell::Cell<Option<id::Time>>,
    /// A look found it without records that the primary had had for a while.
    receive_lag: cell::Cell<bool>,
    latency: cell::Cell<time::Duration>,
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
            size: cell::Cell::new(size),
            dialer,
            executor,
            dialling: cell::RefCell::default(),
            idle: cell::RefCell::default(),
            open: cell::Cell::default(),
            waiting: queue::Queue::default(),
            turns: turns::Turns::new(size.abreast),
            pinned: cell::Cell::default(),
            full_until: cell::Cell::default(),
            ceiling: cell::Cell::default(),
            down_until: cell::Cell::default(),
            closed: cell::Cell::default(),
            replaced: cell::Cell::default(),
            failing_since: cell::Cell::default(),
            applied: cell::Cell::default(),
            last_behind: cell::Cell::default(),
            caught_up_at: cell::Cell::default(),
            last_answer: cell::Cell::default(),
            restarted_at: cell::Cell::default(),
            receive_lag: cell::Cell::default(),
            latency: cell::Cell::default(),
        }
    }

    /// Id of the instance.
    #[must_use]
    pub fn id(&self) -> upstream::Id {
        self.instance.borrow().id.clone()
    }

    /// When the instance's process started, as the list has it.
    #[must_use]
    pub fn born(&self) -> upstream::Birth {
        self.instance.borrow().born
    }

    /// When this node learnt that the instance had started again under its id, if it did.
    #[must_use]
    pub fn restarted_at(&self) -> Option<id::Time> {
        self.restarted_at.get()
    }

    /// Notes that the instance has started again under its id, and has applied nothing yet.
    pub fn note_restart(&self) {
        self.restarted_at.set(Some(boot::now()));
        self.applied.set(stamp::Stamp::default());
    }

    /// Whether the last look found it without records that the primary had had for a while.
    #[must_use]
    pub fn has_receive_lag(&self) -> bool {
        self.receive_lag.get()
    }

    /// Notes whether a look found it so.
    pub fn note_receive_lag(&self, receive_lag: bool) {
        self.receive_lag.set(receive_lag);
    }

    /// Takes another size, as when this node's part in serving the instance has changed.
    pub fn resize(&self, size: size::Size) {
        self.size.set(size);
    }

    /// Connections on loan and requests that wait for one.
    #[must_use]
    pub fn load(&self) -> usize {
        self.lent() + self.waiting.len()
    }

    fn lent(&self) -> usize {
        let rest = self.idle.borrow().len() + self.dialling.borrow().len();
        self.open.get().saturating_sub(rest)
    }

    /// Last position that the instance is known to have applied.
    #[must_use]
    pub fn applied(&self) -> stamp::Stamp {
        self.applied.get()
    }

    /// When the instance last refused a read for being behind.
    #[must_use]
    pub fn last_behind(&self) -> id::Time {
        self.last_behind.get()
    }

    /// When the instance last answered anything.
    #[must_use]
    pub fn last_answer(&self) -> id::Time {
        self.last_answer.get()
    }

    /// Smoothed time of a whole exchange.
    #[must_use]
    pub fn latency(&self) -> time::Duration {
        self.latency.get()
    }

    /// Statements that this node lets the instance work on at once.
    #[must_use]
    pub fn window(&self) -> usize {
        self.turns.window()
    }

    /// Whether the instance did not take a connection a moment ago.
    #[must_use]
    pub fn is_down(&self) -> bool {
        boot::now() < self.down_until.get()
    }

    /// Whether no connection to the instance came about for a while.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        let since = self.failing_since.get();
        since.is_some_and(|since| boot::now() > since + LOST_AFTER)
    }

    /// Whether the instance's address refused the last connection: its process is gone.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// What the instance was last seen to do.
    #[must_use]
    pub fn sign(&self) -> absence::Sign {
        absence::Sign {
            answered: self.last_answer.get(),
            closed: self.closed.get(),
            replaced: self.replaced.get(),
        }
    }

    /// Notes that the instance refused a read for being behind.
    pub fn note_behind(&self) {
        self.last_behind.set(boot::now());
    }

    /// Takes note of what the instance said of itself in answer to a look.
    pub fn note_load(&self, load: upstream::Load) {
        self.caught_up_at.set(boot::now() + load.lag);
    }

    /// Time after which the instance will have applied what it has received, by its last report.
    #[must_use]
    pub fn lag(&self) -> time::Duration {
        self.caught_up_at.get().saturating_sub(boot::now())
    }

    /// Lends a connection of an organisation, the one whose values fit best where several are free.
    ///
    /// A lost instance is dialled in the background; nobody waits for it meanwhile.
    ///
    /// # Errors
    /// When there is none until `deadline`.
    pub async fn lend(
        self: &rc::Rc<Self>,
        urgency: urgency::Urgency,
        organisation: &organisation::Name,
        values: &connection::Values,
        deadline: id::Time,
    ) -> Result<lent::Lent, Shortage> {
        let since = boot::now();
        loop {
            if let Some(connection) = self.take_idle(organisation, values) {
                return Ok(self.loan(connection, urgency));
            }
            let now = boot::now();
            if now < self.down_until.get() {
                return Err(Shortage::Down);
            }
            if self.open.get() == 0 && now < self.full_until.get() {
                return Err(Shortage::Full);
            }
            self.grow(organisation);
            if self.is_lost() {
                return Err(Shortage::Down);
            }
            let waited = self.waiting.wait(organisation, urgency, since, deadline);
            if !waited.await {
                let opening = self.open.get() <= self.dialling.borrow().len();
                return Err(if opening {
                    Shortage::Opening
                } else {
                    Shortage::Late
                });
            }
        }
    }

    /// Closes borrowed connections that nobody used for a while.
    pub fn trim(&self) {
        let oldest = boot::now().saturating_sub(self.size.get().spare_idle);
        let mut idle = self.idle.borrow_mut();
        while self.open.get() > MIN_CONNECTIONS
            && idle
                .first()
                .is_some_and(|connection| connection.used < oldest)
        {
            idle.remove(0);
            self.open.set(self.open.get() - 1);
        }
    }

    // The request goes on waiting, but no other one is sent after it until the instance
    // has answered a new connection. Whether it is silent to all, as far as this node knows.
    pub(crate) fn suspect_if_silent_since(
        self: &rc::Rc<Self>,
        sent: id::Time,
        organisation: &organisation::Name,
    ) -> bool {
        if self.last_answer.get() >= sent {
            return false;
        }
        tracing::info!(instance = %self.id(), "instance is silent");
        metrics::counter!("mangotray_upstream_silences_total").increment(1);
        self.suspect(organisation);
        true
    }

    /// Notes that the instance left a request of an organisation without an answer: its other
    /// connections are as silent, and each would cost a caller as long to find out.
    ///
    /// Only the connections may be dead, and not the instance: a new one is opened at once, and tells.
    pub fn suspect(self: &rc::Rc<Self>, organisation: &organisation::Name) {
        self.down_until.set(boot::now() + DOWN_RETRY_DELAY);
        self.clear();
        let room = self.open.get() < self.connection_limit(boot::now());
        if room && self.dialling.borrow().is_empty() {
            self.open_for(organisation);
        }
    }

    /// Forgets all idle connections, as after the instance was lost.
    pub fn clear(&self) {
        let count = self.idle.borrow_mut().drain(..).count();
        self.open.set(self.open.get() - count);
    }

    fn take_idle(
        &self,
        organisation: &organisation::Name,
        values: &connection::Values,
    ) -> Option<connection::Connection> {
        loop {
            let mut idle = self.idle.borrow_mut();
            let own = |connection: &connection::Connection| connection.serves(organisation);
            let fits = |connection: &connection::Connection| {
                connection.organisation == *organisation && connection.values == *values
            };
            let index = idle.iter().rposition(fits);
            let index = index.or_else(|| idle.iter().rposition(own))?;
            let mut connection = idle.remove(index);
            if connection.link.alive() {
                connection.assign(organisation);
                return Some(connection);
            }
            self.open.set(self.open.get() - 1);
        }
    }

    fn loan(
        self: &rc::Rc<Self>,
        connection: connection::Connection,
        urgency: urgency::Urgency,
    ) -> lent::Lent {
        lent::Lent::new(rc::Rc::clone(self), connection, urgency)
    }

    /// Takes a connection back, or notes that it is gone.
    pub(crate) fn release(&self, connection: Option<connection::Connection>) {
        let last_resort = |connection: &connection::Connection| {
            let target = self.target(&connection.organisation);
            !connection.link.serves_any() && self.dialer.is_last_resort(&target)
        };
        let Some(connection) = connection.filter(|connection| !last_resort(connection)) else {
            self.open.set(self.open.get() - 1);
            return self.waiting.wake();
        };
        let organisation = connection.organisation.clone();
        self.idle.borrow_mut().push(connection);
        self.waiting.wake_first(&organisation);
    }

    // Opens one more connection of an organisation in the background, if one is missing.
    //
    // Whoever waits may give up before it is there. Were the dial given up as well, the
    // instance would have spent its time for nothing, and the next request would begin
    // anew: after a restart of many nodes, most of what an overloaded instance does would
    // then be greetings that nobody awaits.
    fn grow(self: &rc::Rc<Self>, organisation: &organisation::Name) {
        let wanted = self.waiting.waiting(organisation) + 1;
        let (all, own) = {
            let dialling = self.dialling.borrow();
            let own = dialling.iter().filter(|name| *name == organisation);
            (dialling.len(), own.count())
        };
        let enough = all >= MAX_DIALS || own >= wanted;
        if enough
            || self.lent() + all >= self.useful_connections()
            || boot::now() < self.full_until.get()
        {
            return;
        }
        if self.open.get() >= self.connection_limit(boot::now()) && !self.evict() {
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

    // Connections that can be of use now: those of open transactions, one for each statement
    // in the window, and one for the next. More would only be held by statements that wait.
    fn useful_connections(&self) -> usize {
        let useful = self.pinned.get() + self.window() + 1;
        useful.min(self.size.get().most)
    }

    // Connections that this node may have now.
    fn connection_limit(&self, now: id::Time) -> usize {
        let most = self.size.get().most;
        match self.ceiling.get() {
            (ceiling, until) if now < until => most.min(ceiling),
            _ => most,
        }
    }

    // Closes the idle connection that was used the longest ago. One of this node's own stays, as it
    // serves all: questions to the instance find it.
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
        self.open.set(self.open.get() - 1);
        metrics::counter!("mangotray_upstream_evictions_total").increment(1);
        true
    }

    /// Counts connections on which a transaction is open.
    pub(crate) fn pin(&self) {
        self.pinned.set(self.pinned.get() + 1);
        self.waiting.wake();
    }

    /// The reverse of [`Pool::pin`].
    pub(crate) fn unpin(&self) {
        self.pinned.set(self.pinned.get() - 1);
    }

    async fn dial(self: rc::Rc<Self>, reservation: Reservation) {
        let permit = self.dialer.permit().await;
        let started = boot::now();
        let target = self.target(reservation.organisation());
        let result = wait::within(DIAL_TIMEOUT, self.dialer.dial(&target)).await;
        drop(permit);
        let refusal = match result {
            Some(Ok((link, stamp))) => {
                let organisation = reservation.organisation().clone();
                self.add_opened(link, stamp, organisation.clone());
                reservation.keep();
                self.waiting.wake_first(&organisation);
                // One more may begin to open its own.
                self.waiting.wake();
                return;
            }
            Some(Err(refusal)) => refusal,
            None => upstream::Refusal::Silent("no connection in time".into()),
        };
        metrics::counter!("mangotray_upstream_dials_total", "result" => "refused").increment(1);
        tracing::info!(instance = %target.id, ?refusal, waited = ?boot::now().saturating_sub(started),
            "upstream refused a connection");
        if refusal == upstream::Refusal::Full {
            // In place of one that lies idle there is room for another.
            let others = self.open.get().saturating_sub(1);
            let until = boot::now() + FULL_RETRY_DELAY;
            if others == 0 {
                self.full_until.set(until);
            } else {
                self.ceiling.set((others, until));
            }
        } else {
            let wrong = refusal == upstream::Refusal::Wrong;
            self.replaced.set(wrong);
            self.closed
                .set(wrong || refusal == upstream::Refusal::Closed);
            let pause = if wrong {
                REPLACED_RETRY_DELAY
            } else {
                DOWN_RETRY_DELAY
            };
            self.down_until.set(boot::now() + pause);
        }
        self.failing_since
            .set(Some(self.failing_since.get().unwrap_or(started)));
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
        self.closed.set(false);
        self.replaced.set(false);
        self.failing_since.set(None);
        self.down_until.set(id::Time::ZERO);
        self.last_answer.set(boot::now());
        if let Some(stamp) = stamp {
            self.applied.set(self.applied.get().max(stamp));
        }
        let connection = connection::Connection::new(link, organisation, boot::now());
        self.idle.borrow_mut().push(connection);
    }

    /// A turn to let the instance work, where only so many statements may at once.
    pub(crate) async fn turn(&self, urgency: urgency::Urgency) -> Option<turns::Turn> {
        self.turns.take(urgency).await
    }

    fn target(&self, organisation: &organisation::Name) -> upstream::Target {
        let instance = self.instance.borrow();
        upstream::Target {
            address: instance.address,
            group: instance.group.clone(),
            id: instance.id.clone(),
            born: instance.born,
            domain: instance.domain.clone(),
            slots: instance.slots,
            organisation: organisation.clone(),
            any: instance.any,
        }
    }

    pub(crate) fn note_replies(self: &rc::Rc<Self>, sent: id::Time, replies: &[reply::Reply]) {
        let now = boot::now();
        self.last_answer.set(now);
        let took = now.saturating_sub(sent);
        if let Some(last) = replies.last()
            && self.turns.adapt(now, last, took)
        {
            // There is room for one more.
            self.waiting.wake();
        }
        self.latency.set((self.latency.get() * 7 + took) / 8);
        let last = replies.iter().rev().find_map(|reply| reply.position);
        if let Some(stamp) = last {
            self.applied.set(self.applied.get().max(stamp));
        }
    }
}

/// A counted place for one connection that is being opened, freed unless it is kept.
struct Reservation {
    pool: rc::Rc<Pool>,
    organisation: organisation::Name,
    kept: bool,
}

impl Reservation {
    fn new(pool: rc::Rc<Pool>, organisation: organisation::Name) -> Self {
        pool.open.set(pool.open.get() + 1);
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
            pool.open.set(pool.open.get() - 1);
        }
    }
}
