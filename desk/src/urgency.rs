//! Who goes first.

use std::time;

use mangotray::id;

use crate::boot;

/// Place of a statement in a queue: by its route's priority, then by when it is due.
///
/// ```
/// use mangotray_desk::urgency;
/// use std::time::Duration;
/// let soon = urgency::Urgency { due: Duration::from_millis(150), ..urgency::Urgency::default() };
/// let later = urgency::Urgency { due: Duration::from_millis(500), ..urgency::Urgency::default() };
/// assert!(soon < later);
/// ```
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Urgency {
    /// The route's priority; 0 goes first.
    pub priority: u8,
    /// When the statement should be answered, on this node's clock.
    pub due: id::Time,
    /// Time in which requests of its route are to be answered.
    pub objective: time::Duration,
    /// No use to begin later than this, on this node's clock: whoever asked has given up.
    pub until: id::Time,
    /// Nobody awaits the answer after this, on this node's clock.
    pub awaited: id::Time,
}

impl Urgency {
    /// That of a look at an instance, or an order to it: one serves many statements.
    #[must_use]
    pub fn immediate(until: id::Time) -> Self {
        Self {
            priority: 0,
            objective: time::Duration::ZERO,
            due: boot::now(),
            until,
            awaited: until,
        }
    }

    /// The same with the time that is left in place of times, for another node's clock.
    #[must_use]
    pub fn to_remaining(self) -> Self {
        let now = boot::now();
        Self {
            due: self.due.saturating_sub(now),
            until: self.until.saturating_sub(now),
            awaited: self.awaited.saturating_sub(now),
            ..self
        }
    }

    /// What [`Urgency::to_remaining`] was given, on this node's clock.
    #[must_use]
    pub fn to_absolute(self) -> Self {
        let now = boot::now();
        Self {
            due: now.saturating_add(self.due),
            until: now.saturating_add(self.until),
            awaited: now.saturating_add(self.awaited),
            ..self
        }
    }
}

impl Default for Urgency {
    fn default() -> Self {
        Self {
            priority: u8::MAX,
            objective: time::Duration::MAX,
            due: time::Duration::MAX,
            until: time::Duration::MAX,
            awaited: time::Duration::MAX,
        }
    }
}
