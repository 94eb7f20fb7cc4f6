//! Who may let an instance work, where only so many statements may at once.
//!
//! The load that this answers: an instance has a few slots and a queue that it serves in order of arrival. What waits here in
//! place of there can be put in order, and refused in time.

use std::cell;
use std::rc;
use std::time;

use mangotray::id;

use crate::boot;
use crate::organisation;
use crate::queue;
use crate::reply;
use crate::urgency;
use crate::window;

/// The turns at one instance.
pub(crate) struct Limiter {
    window: cell::Cell<window::Window>,
    waiting: queue::Queue,
    running: cell::Cell<usize>,
}

impl Limiter {
    /// Turns for at most so many statements at once.
    pub(crate) fn new(max_statements: usize) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            window: cell::Cell::new(window::Window::new(max_statements)),
            waiting: queue::Queue::default(),
            running: cell::Cell::default(),
        })
    }

    /// Statements that may be at work at once now.
    pub(crate) fn window(&self) -> usize {
        self.window.get().size()
    }

    /// A turn, awaited for as long as the statement is of use.
    pub(crate) async fn acquire(self: &rc::Rc<Self>, urgency: urgency::Urgency) -> Option<Permit> {
        let deadline = urgency.until.min(urgency.awaited);
        let (anybody, since) = (organisation::OWN, boot::now());
        while self.running.get() >= self.window() {
            let waited = self.waiting.wait(&anybody, urgency, since, deadline);
            if !waited.await {
                return None;
            }
        }
        self.running.set(self.running.get() + 1);
        Some(Permit(rc::Rc::clone(self)))
    }

    /// Fits the window to an answer; whether it has grown, so that there is room for one more.
    pub(crate) fn adapt(&self, now: id::Time, reply: &reply::Reply, took: time::Duration) -> bool {
        let mut window = self.window.get();
        let before = window.size();
        match reply.code() {
            None => window.record_success(now, took, self.running.get() >= before),
            Some(reply::Code::Busy) => window.record_refusal(now),
            // Refused for another reason, which tells nothing about the instance's load.
            Some(_) => return false,
        }
        self.window.set(window);
        let grown = window.size() > before;
        if grown {
            self.waiting.wake();
        }
        grown
    }
}

/// A statement at work, or about to be.
pub(crate) struct Permit(rc::Rc<Limiter>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
        self.0.waiting.wake();
    }
}
