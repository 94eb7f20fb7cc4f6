//! Why an instance did not serve a statement, and whether a retry is useful.

use mangotray::id;

use crate::reply;
use crate::shortage;
use crate::upstream;

/// Why an instance did not serve a statement; decides how long it is retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It waited in a queue, or the queue was full. More waiting would only delay other statements.
    Overloaded,
    /// The instance could not be reached, which may be temporary.
    Unreachable,
    /// This instance cannot serve it; another one may.
    Unsuitable,
    /// It was refused or failed for a reason that a retry does not change.
    Failed(reply::Code),
}

impl Reason {
    /// The reason if no connection could be checked out of the pool.
    #[must_use]
    pub const fn from_shortage(shortage: shortage::Shortage) -> Self {
        match shortage {
            shortage::Shortage::Late | shortage::Shortage::Backlog { .. } => Self::Overloaded,
            shortage::Shortage::Opening | shortage::Shortage::Down | shortage::Shortage::Full => {
                Self::Unreachable
            }
        }
    }

    /// The reason when commands failed before they were sent.
    #[must_use]
    pub const fn from_unsent(failure: &upstream::Failure) -> Self {
        if failure.crowded {
            Self::Overloaded
        } else {
            Self::Unreachable
        }
    }

    /// The latest time for a retry of a statement that may queue until `queue` and wait for an
    /// instance until `limit`.
    ///
    /// ```
    /// use mangotray_desk::retry;
    /// use std::time::Duration;
    /// let (queue, limit) = (Duration::from_millis(176), Duration::from_millis(320));
    /// assert_eq!(retry::Reason::Overloaded.retry_until(queue, limit), queue);
    /// assert_eq!(retry::Reason::Unreachable.retry_until(queue, limit), limit);
    /// ```
    #[must_use]
    pub fn retry_until(&self, queue: id::Time, limit: id::Time) -> id::Time {
        match self {
            Self::Overloaded => limit.min(queue),
            Self::Unreachable | Self::Unsuitable | Self::Failed(_) => limit,
        }
    }

    /// The reason when an instance answered with an error code.
    ///
    /// ```
    /// use mangotray_desk::{reply, retry};
    /// assert_eq!(retry::Reason::from_code(&reply::Code::Busy), retry::Reason::Overloaded);
    /// ```
    #[must_use]
    pub fn from_code(code: &reply::Code) -> Self {
        match code {
            reply::Code::Busy => Self::Overloaded,
            reply::Code::Behind | reply::Code::NoStatement | reply::Code::ReadOnly => {
                Self::Unsuitable
            }
            code => Self::Failed(code.clone()),
        }
    }
}
