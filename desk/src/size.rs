//! How many connections to an instance a node may have.

use std::time;

/// Connections to one instance that a node holds at most. Eight nodes share the 23
/// connections of today's smaller instances; who needs more than an equal part borrows
/// what others leave free, and the instance refuses what is too much.
const MAX_CONNECTIONS: usize = 5;

/// A borrowed connection that nobody used for this long is given back.
pub const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// How many connections a pool has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Connections at most.
    pub max_connections: usize,
    /// Statements at most that the instance is let work on at once.
    pub max_statements: usize,
    /// A connection that nobody used for this long is closed.
    pub idle_timeout: time::Duration,
}

impl Size {
    /// Of a node that shares an instance with all others.
    #[must_use]
    pub const fn shared() -> Self {
        Self {
            max_connections: MAX_CONNECTIONS,
            max_statements: MAX_CONNECTIONS,
            idle_timeout: IDLE_TIMEOUT,
        }
    }
}
