//! Urgency of statements: their priority and deadlines.

use std::time;

use mangotray::id;

use crate::boot;

/// Urgency of a statement. Orders the more urgent statement first: by the route's priority, then by
/// the time when the statement is due.
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
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// When the statement should be answered, on this node's clock.
    pub due: id::Time,
    /// Time in which requests of the route should be answered.
    pub objective: time::Duration,
    /// Latest start of the statement, on this node's clock; the sender has given up after it.
    pub until: id::Time,
    /// Deadline of the answer, on this node's clock; the sender does not wait any longer.
    pub awaited: id::Time,
}

impl Urgency {
    /// Returns the highest urgency, for this node's own status queries and commands to an instance:
    /// one of these serves many statements. `until` is both the latest start and the deadline.
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

    /// Replaces points in time by the time that remains, to be sent to another node, whose clock
    /// differs.
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

    /// Converts the result of [`Urgency::to_remaining`] to points in time on this node's clock.
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
