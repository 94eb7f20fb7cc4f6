//! Why one instance did not serve a statement.

use mangotray::id;

use crate::pool;
use crate::reply;
use crate::upstream;

/// Why one instance did not serve a statement, and what that means for another try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It waited behind others; whoever waits on is in their way.
    Overloaded,
    /// The instance was not reached, which may pass.
    Unreachable,
    /// This instance cannot serve it, another may.
    Unsuitable,
    /// It was refused or failed for a reason that stays.
    Failed(reply::Code),
}

impl Reason {
    /// What a pool that lent no connection means.
    #[must_use]
    pub const fn from_shortage(shortage: pool::Shortage) -> Self {
        match shortage {
            pool::Shortage::Late => Self::Overloaded,
            pool::Shortage::Opening | pool::Shortage::Down | pool::Shortage::Full => {
                Self::Unreachable
            }
        }
    }

    /// What commands that surely were not sent mean.
    #[must_use]
    pub const fn from_unsent(failure: &upstream::Failure) -> Self {
        if failure.crowded {
            Self::Overloaded
        } else {
            Self::Unreachable
        }
    }

    /// Until when another try makes sense, of a statement that may queue until `queue` and
    /// wait until `limit`.
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

    /// What an instance's refusal means.
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
