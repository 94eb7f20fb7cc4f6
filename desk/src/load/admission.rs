//! Whether a statement is sent to an instance, or refused at once.
//!
//! Addresses bursts: a statement that will not start in time only delays others, and retries of
//! refused statements add to the load.

use std::time;

use crate::load::forecast;
use crate::retry;

/// When a caller should come back that was refused for want of retries, if no wait is known: about
/// the time in which an instance works off a full queue of 32 statements of 14 ms on 4 slots.
const DENIED_RETRY_AFTER: time::Duration = time::Duration::from_millis(110);

/// Why a statement is refused before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// By a fresh report, it cannot start in time.
    Late,
    /// It was refused for overload, and no capacity is spare where it would be sent next.
    NoRoom,
    /// The node has used up its budget of retries.
    NoRetries,
}

impl Reason {
    /// Value of the label `reason` in metrics and logs.
    ///
    /// ```
    /// assert_eq!(mangotray_desk::load::admission::Reason::Late.label(), "late");
    /// ```
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::NoRoom => "no_room",
            Self::NoRetries => "no_retries",
        }
    }

    /// What the caller is told.
    ///
    /// ```
    /// use mangotray_desk::load::admission;
    /// assert_eq!(admission::Reason::NoRetries.text(), "too many retries");
    /// ```
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Late => "no instance can start this in time",
            Self::NoRoom => "all instances are overloaded",
            Self::NoRetries => "too many retries",
        }
    }
}

/// A refusal and the time after which to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller may expect to be served.
    pub delay: time::Duration,
}

/// Decides on a statement that has to start within `left` at the instance with the forecast
/// `expected`, the best of the suitable ones: it is sent for the first time, or again after `last`.
/// `take_retry` takes a retry from the budget.
///
/// A retry after nothing was reached takes none: it adds no load to an instance.
///
/// # Errors
/// Returns why it must not be sent.
///
/// ```
/// use mangotray_desk::load::{admission, forecast, report};
/// use std::time::Duration;
/// let millis = Duration::from_millis;
/// let report = report::Report { waits_ms: [0, 200, 400], exchange_ms: 20, limit: 5 };
/// let known = forecast::Forecast { report, age: millis(10), added: 0 };
/// let check = |priority| admission::check(None, Some(&known), priority, millis(176), || true);
/// assert!(check(0).is_ok());
/// assert_eq!(check(1).unwrap_err().delay, millis(190));
/// ```
pub fn check(
    last: Option<&retry::Reason>,
    expected: Option<&forecast::Forecast>,
    priority: u8,
    left: time::Duration,
    take_retry: impl FnOnce() -> bool,
) -> Result<(), Refusal> {
    let wait = expected.map(|expected| expected.least_wait(priority));
    if let Some(delay) = wait.filter(|wait| *wait > left) {
        let reason = Reason::Late;
        return Err(Refusal { reason, delay });
    }
    let delay = wait.unwrap_or_default().max(DENIED_RETRY_AFTER);
    let crowded = expected.is_some_and(|expected| !expected.has_room(priority));
    match last {
        None | Some(retry::Reason::Unreachable) => Ok(()),
        Some(retry::Reason::Overloaded) if crowded => Err(Refusal {
            reason: Reason::NoRoom,
            delay,
        }),
        Some(_) if take_retry() => Ok(()),
        Some(_) => Err(Refusal {
            reason: Reason::NoRetries,
            delay,
        }),
    }
}
