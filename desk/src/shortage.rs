//! Why no connection of a pool could be checked out.

use std::time;

use compact_str::format_compact;
use mangotray::id;

use crate::room::transactions;
use crate::upstream;

/// Shortest time after which a refused caller is told to come back.
const MIN_RETURN: time::Duration = time::Duration::from_millis(20);

/// Why no connection could be checked out. The names of the variants are part of a text that relays
/// send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// All connections were in use until the deadline.
    Late,
    /// The request cannot start in time, and was refused when it arrived.
    Backlog {
        /// When the requests that wait now will have been served.
        come_back: time::Duration,
    },
    /// The first connection was still being opened at the deadline.
    Opening,
    /// The instance cannot be reached.
    Down,
    /// The instance accepts no more connections, and this node has none open.
    Full,
}

impl Shortage {
    /// The failure of relayed commands that were not sent because of it.
    ///
    /// ```
    /// use mangotray_desk::shortage;
    /// use std::time::Duration;
    /// let come_back = Duration::from_millis(70);
    /// let failure = shortage::Shortage::Backlog { come_back }.into_failure();
    /// assert!(!failure.sent && failure.crowded);
    /// assert!(failure.detail.ends_with("come back in 70 ms"));
    /// assert!(!shortage::Shortage::Down.into_failure().crowded);
    /// ```
    #[must_use]
    pub fn into_failure(self) -> upstream::Failure {
        let detail = match self {
            Self::Backlog { come_back } => format_compact!(
                "the queue at the instance is too long, come back in {} ms",
                come_back.as_millis()
            ),
            other => format_compact!("the lending node has no connection: {other:?}"),
        };
        upstream::Failure {
            sent: false,
            crowded: matches!(self, Self::Late | Self::Backlog { .. }),
            detail,
        }
    }
}

/// The failure of a transaction that was not begun, as too many are open.
///
/// ```
/// use mangotray_desk::{room::transactions, shortage};
/// use std::time::Duration;
/// let until = transactions::Refusal::Until(Duration::from_secs(3));
/// let failure = shortage::too_many_transactions(until, Duration::from_secs(1));
/// assert!(!failure.sent && failure.crowded);
/// assert!(failure.detail.ends_with("come back in 2000 ms"));
/// ```
#[must_use]
pub fn too_many_transactions(refusal: transactions::Refusal, now: id::Time) -> upstream::Failure {
    let detail = match refusal {
        transactions::Refusal::Late => "too many transactions are open".into(),
        transactions::Refusal::Until(time) => {
            let left = time.saturating_sub(now).max(MIN_RETURN);
            format_compact!(
                "too many transactions are open, come back in {} ms",
                left.as_millis()
            )
        }
    };
    upstream::Failure {
        sent: false,
        crowded: true,
        detail,
    }
}
