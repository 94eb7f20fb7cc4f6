//! Limits how many statements this node runs on an instance at once.
//!
//! An instance has a few slots, and a queue that it serves in order of arrival. Statements that
//! wait in this node instead can be served by urgency, and refused in time.

use std::cell;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::telemetry;

use crate::boot;
use crate::concurrency::controller;
use crate::concurrency::exchange;
use crate::organisation;
use crate::reply;
use crate::room::queue;
use crate::room::size;
use crate::room::window;
use crate::upstream;
use crate::urgency;

/// The adaptive concurrency limit of one instance, with the statements that wait for a permit.
pub(crate) struct Limiter {
    window: cell::Cell<window::Window>,
    /// Replaces the window where the limit is learned.
    learned: cell::Cell<Option<controller::Controller>>,
    waiting: queue::Queue,
    running: cell::Cell<usize>,
}

impl Limiter {
    /// Creates a limiter that never lets more than `max_statements` run at once.
    pub(crate) fn new(max_statements: usize) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            window: cell::Cell::new(window::Window::new(max_statements)),
            learned: cell::Cell::default(),
            waiting: queue::Queue::default(),
            running: cell::Cell::default(),
        })
    }

    /// Returns the current limit of statements that run at once.
    pub(crate) fn window(&self) -> usize {
        let learned = self.learned.get();
        learned.map_or_else(|| self.window.get().size(), |learned| learned.limit())
    }

    /// Number of statements that run.
    pub(crate) const fn running(&self) -> usize {
        self.running.get()
    }

    /// Learns the limit from now on, for a pool of this size, or ends to learn it for `None`.
    pub(crate) fn learn(&self, size: Option<size::Size>) {
        self.learned.set(size.map(|size| {
            let mut learned = self.learned.get().unwrap_or_else(|| {
                controller::Controller::new(size.max_statements, size.max_connections)
            });
            learned.set_max(size.max_connections);
            learned
        }));
    }

    /// Whether the limit is learned.
    pub(crate) fn learns(&self) -> bool {
        self.learned.get().is_some()
    }

    /// Expected time of an exchange, if it is learned and one was answered.
    pub(crate) fn expected(&self) -> Option<time::Duration> {
        self.learned.get().and_then(|learned| learned.expected())
    }

    /// Sets whether organisations get permits in turn.
    pub(crate) fn set_fair(&self, fair: bool) {
        self.waiting.set_fair(fair);
    }

    /// Waits for a permit until the statement's latest start or the deadline of its answer,
    /// whichever is first; returns `None` if that time passes.
    pub(crate) async fn acquire(
        self: &rc::Rc<Self>,
        urgency: urgency::Urgency,
        organisation: &organisation::Name,
    ) -> Option<Permit> {
        let deadline = urgency.until.min(urgency.awaited);
        let since = boot::now();
        let mut woken = false;
        self.fill();
        while !self.has_place(woken) {
            if woken {
                // The limit has shrunk since it was woken.
                self.waiting.settle(organisation, time::Duration::ZERO);
            }
            let waited = self.waiting.wait(organisation, urgency, since, deadline);
            if !waited.await {
                return None;
            }
            woken = true;
        }
        if !woken {
            self.waiting.charge(organisation);
        }
        self.running.set(self.running.get() + 1);
        Some(Permit {
            limiter: rc::Rc::clone(self),
            organisation: organisation.clone(),
            since: boot::now(),
        })
    }

    // Whether one more statement may run now. Where organisations are served in turn, a statement
    // that arrives does not take the place of one that was woken or waits.
    fn has_place(&self, woken: bool) -> bool {
        if woken || !self.waiting.is_fair() {
            return self.running.get() < self.window();
        }
        self.waiting.is_empty() && self.running.get() + self.waiting.woken() < self.window()
    }

    // Where organisations are served in turn, wakes as many statements as may run.
    fn fill(&self) {
        while self.waiting.is_fair()
            && self.running.get() + self.waiting.woken() < self.window()
            && !self.waiting.is_empty()
        {
            self.waiting.wake();
        }
    }

    /// Adapts the limit to a reply; returns whether it has grown, so that one more statement may
    /// run.
    pub(crate) fn adapt(&self, now: id::Time, reply: &reply::Reply, took: time::Duration) -> bool {
        if self.learns() {
            return false;
        }
        let mut window = self.window.get();
        let before = window.size();
        match reply.code() {
            None => window.record_success(now, took, self.running.get() >= before),
            Some(reply::Code::Busy) => window.record_refusal(now),
            // Other errors tell nothing about the instance's load.
            Some(_) => return false,
        }
        self.window.set(window);
        let grown = window.size() > before;
        if grown {
            self.waiting.wake();
        }
        grown
    }

    /// Learns from an exchange with an instance that ended at `now`, unless the limit is fixed;
    /// returns by how many more statements may run.
    pub(crate) fn observe(
        &self,
        now: id::Time,
        instance: &upstream::Id,
        exchange: exchange::Exchange,
    ) -> usize {
        let Some(mut learned) = self.learned.get() else {
            return 0;
        };
        let before = learned.limit();
        let full = self.running.get() >= before;
        let round = learned.record(now, &exchange::Exchange { full, ..exchange });
        self.learned.set(Some(learned));
        if let Some(round) = round {
            tell(instance, &learned, &round);
        }
        let grown = learned.limit().saturating_sub(before);
        (0..grown).for_each(|_| self.waiting.wake());
        grown
    }
}

// Tells of the state after a round of answers.
fn tell(instance: &upstream::Id, learned: &controller::Controller, round: &controller::Round) {
    let limit = u32::try_from(learned.limit()).unwrap_or(u32::MAX);
    metrics::histogram!(telemetry::CONCURRENCY_LIMIT).record(f64::from(limit));
    metrics::histogram!(telemetry::EXPECTED_EXCHANGE).record(round.expected.as_secs_f64());
    if let Some(change) = round.change {
        tracing::info!(%instance, limit, limit_before = change.before.0, limit_mean = change.after.0,
            expected_before = ?change.before.1, expected = ?change.after.1,
            slowness = round.slowness, answers = round.answers, full = round.full,
            "learned load of the instance changed");
    }
}

/// The right to run one statement, released when dropped.
pub(crate) struct Permit {
    limiter: rc::Rc<Limiter>,
    organisation: organisation::Name,
    /// When it was granted.
    since: id::Time,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let limiter = &self.limiter;
        limiter.running.set(limiter.running.get() - 1);
        if limiter.waiting.is_fair() {
            let took = boot::now().saturating_sub(self.since);
            limiter.waiting.settle(&self.organisation, took);
            limiter.fill();
        } else {
            limiter.waiting.wake();
        }
    }
}
