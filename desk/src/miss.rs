//! Why one instance did not serve a statement.

use mangotray::id;

use crate::pool;
use crate::reply;
use crate::upstream;

/// Why one instance did not serve a statement, and what that means for another try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Miss {
    /// It waited behind others; whoever waits on is in their way.
    Crowded,
    /// The instance was not reached, which may pass.
    Unreachable,
    /// This instance cannot serve it, another may.
    Elsewhere,
    /// It was refused or failed for a reason that stays.
    Failed(reply::Code),
}

impl Miss {
    /// What a pool that lent no connection means.
    #[must_use]
    pub const fn of_shortage(shortage: pool::Shortage) -> Self {
        match shortage {
            pool::Shortage::Late => Self::Crowded,
            pool::Shortage::Opening | pool::Shortage::Down | pool::Shortage::Full => {
                Self::Unreachable
            }
        }
    }

    /// What commands that surely were not sent mean.
    #[must_use]
    pub const fn of_unsent(failure: &upstream::Failure) -> Self {
        if failure.crowded {
            Self::Crowded
        } else {
            Self::Unreachable
        }
    }

    /// Until when another try makes sense, of a statement that may queue until `queue` and
    /// wait until `limit`.
    ///
    /// ```
    /// use mangotray_desk::miss;
    /// use std::time::Duration;
    /// let (queue, limit) = (Duration::from_millis(176), Duration::from_millis(320));
    /// assert_eq!(miss::Miss::Crowded.patience(queue, limit), queue);
    /// assert_eq!(miss::Miss::Unreachable.patience(queue, limit), limit);
    /// ```
    #[must_use]
    pub fn patience(&self, queue: id::Time, limit: id::Time) -> id::Time {
        match self {
            Self::Crowded => limit.min(queue),
            Self::Unreachable | Self::Elsewhere | Self::Failed(_) => limit,
        }
    }

    /// What an instance's refusal means.
    ///
    /// ```
    /// use mangotray_desk::{miss, reply};
    /// assert_eq!(miss::Miss::of_code(&reply::Code::Busy), miss::Miss::Crowded);
    /// ```
    #[must_use]
    pub fn of_code(code: &reply::Code) -> Self {
        match code {
            reply::Code::Busy => Self::Crowded,
            reply::Code::Behind | reply::Code::NoStatement | reply::Code::ReadOnly => {
                Self::Elsewhere
            }
            code => Self::Failed(code.clone()),
        }
    }
}
