//! Who goes first.

use std::time;

use mangotray::id;

use crate::boot;

/// Place of a statement in a queue: by its route's priority, then by when it is due.
///
/// ```
/// use mangotray_desk::urgency;
/// use std::time::Duration;
/// let soon = urgency::Urgency { priority: 1, due: Duration::from_millis(150) };
/// let later = urgency::Urgency { priority: 1, due: Duration::from_millis(500) };
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
}

impl Urgency {
    /// That of a look at an instance, or an order to it: one serves many statements.
    #[must_use]
    pub fn now() -> Self {
        Self {
            priority: 0,
            due: boot::now(),
        }
    }

    /// The same with the time that is left in place of a time, for another node's clock.
    #[must_use]
    pub fn leave(self) -> Self {
        Self {
            due: self.due.saturating_sub(boot::now()),
            ..self
        }
    }

    /// What [`Urgency::leave`] was given, on this node's clock.
    #[must_use]
    pub fn arrive(self) -> Self {
        Self {
            due: boot::now() + self.due,
            ..self
        }
    }
}

impl Default for Urgency {
    fn default() -> Self {
        Self {
            priority: u8::MAX,
            due: time::Duration::MAX,
        }
    }
}
