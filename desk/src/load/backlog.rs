//! Statements that wait at a node for an instance, by priority class.
//!
//! Addresses queues in which urgent statements overtake others: an urgent one waits for those of
//! its own class and above, whatever else is in the queue.

use std::cell;

use crate::load::report;

/// Number of waiting statements, by priority class.
///
/// ```
/// use mangotray_desk::load::backlog;
/// let backlog = backlog::Backlog::default();
/// let (urgent, late) = (backlog.enter(0), backlog.enter(9));
/// assert_eq!(backlog.ahead(), [1, 1, 2]);
/// drop(urgent);
/// assert_eq!(backlog.ahead(), [0, 0, 1]);
/// drop(late);
/// assert_eq!(backlog.ahead(), [0, 0, 0]);
/// ```
#[derive(Debug, Default)]
pub struct Backlog {
    waiting: cell::Cell<[u32; report::CLASSES]>,
}

impl Backlog {
    /// Counts a statement of this priority until the result is dropped.
    #[must_use]
    pub fn enter(&self, priority: u8) -> Place<'_> {
        let place = Place {
            backlog: self,
            class: report::class(priority),
        };
        self.waiting.update(|mut waiting| {
            waiting[place.class] += 1;
            waiting
        });
        place
    }

    /// Number of statements that are served before a new one, by its class.
    #[must_use]
    pub fn ahead(&self) -> [u32; report::CLASSES] {
        let mut sum = 0;
        self.waiting.get().map(|waiting| {
            sum += waiting;
            sum
        })
    }
}

/// The place of a waiting statement, given up when dropped.
pub struct Place<'a> {
    backlog: &'a Backlog,
    class: usize,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.backlog.waiting.update(|mut waiting| {
            waiting[self.class] -= 1;
            waiting
        });
    }
}
