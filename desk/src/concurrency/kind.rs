//! Kinds of work, each with its own expected time.

use mangotray::stamp;

use crate::load::report;
use crate::reply;
use crate::upstream;

/// Number of kinds.
pub const COUNT: usize = 3 * report::CLASSES;

/// What a command asks of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads items.
    Read,
    /// Writes an item or ends a transaction, and may wait for a replica to confirm.
    Change,
    /// Begins a transaction, sets values, or asks for the status: no work of its own.
    Control,
}

/// The kind of a command. Routes differ in the work of their statements, and a lending node knows
/// a route by its priority.
///
/// ```
/// use mangotray_desk::concurrency::kind;
/// let read = kind::Kind { operation: kind::Operation::Read, priority: 1, delayed: false };
/// assert!(read.shows_load());
/// assert!(!kind::Kind { delayed: true, ..read }.shows_load());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// What the command asks for.
    pub operation: Operation,
    /// Priority of the route.
    pub priority: u8,
    /// The instance had to wait for records before it could run the command, as far as this node
    /// knows.
    pub delayed: bool,
}

impl Kind {
    /// The kind of a command that was answered by `reply`, or not at all, when the instance was
    /// known to have `applied` its log up to that position.
    ///
    /// Only the platform's adapter can parse a statement's text, so reads are told by their rows.
    #[must_use]
    pub fn of(
        command: &upstream::Command,
        reply: Option<&reply::Reply>,
        priority: u8,
        applied: stamp::Stamp,
    ) -> Self {
        let (after, runs) = match command {
            upstream::Command::Run { after, .. } | upstream::Command::Execute { after, .. } => {
                (*after, true)
            }
            upstream::Command::Begin { after, .. } => (*after, false),
            _ => (None, false),
        };
        let changes = reply.is_some_and(|reply| reply.rows.is_empty());
        let operation = match (runs, changes) {
            (false, _) => Operation::Control,
            (true, true) => Operation::Change,
            (true, false) => Operation::Read,
        };
        Self {
            operation,
            priority,
            delayed: after.is_some_and(|after| after > applied),
        }
    }

    /// Whether its time depends on the instance's load only. A commit waits for a replica, a
    /// delayed read for records, and a control command takes no slot.
    #[must_use]
    pub fn shows_load(&self) -> bool {
        self.operation == Operation::Read && !self.delayed
    }

    /// Index among all kinds, below [`COUNT`].
    ///
    /// ```
    /// use mangotray_desk::concurrency::kind;
    /// let last = kind::Kind { operation: kind::Operation::Control, priority: 9, delayed: false };
    /// assert_eq!(last.index(), kind::COUNT - 1);
    /// ```
    #[must_use]
    pub fn index(&self) -> usize {
        let operation = match self.operation {
            Operation::Read => 0,
            Operation::Change => 1,
            Operation::Control => 2,
        };
        operation * report::CLASSES + usize::from(self.priority).min(report::CLASSES - 1)
    }
}
