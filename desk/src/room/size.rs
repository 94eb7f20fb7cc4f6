//! Size of the connection pool that a node has for one instance.

use std::time;

/// Most connections of a node to one instance when all nodes connect directly. Eight nodes share
/// the 23 connections of the smaller instances. A node that needs more than an equal share uses
/// connections that others leave free, and the instance refuses those beyond its limit.
const MAX_CONNECTIONS: usize = 5;

/// Idle time after which a connection beyond the pool's minimum is closed, for other nodes to use.
pub const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Size of a connection pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Most connections at once.
    pub max_connections: usize,
    /// Most statements that run on the instance at once.
    pub max_statements: usize,
    /// Idle time after which a connection beyond the pool's minimum is closed.
    pub idle_timeout: time::Duration,
    /// Whether the node holds these connections for other nodes too, and is one of the few that do.
    pub lends: bool,
    /// Idle time after which an open transaction may be ended.
    pub transaction_idle: Option<time::Duration>,
}

impl Size {
    /// Returns the size for a node that shares an instance with all other nodes.
    #[must_use]
    pub const fn shared() -> Self {
        Self {
            max_connections: MAX_CONNECTIONS,
            max_statements: MAX_CONNECTIONS,
            idle_timeout: IDLE_TIMEOUT,
            lends: false,
            transaction_idle: None,
        }
    }

    /// Whether this is the size of a node that holds an instance's connections for others as well:
    /// it has more connections than statements that run at once, as transactions are open on some.
    /// A node that connects for itself has as many of both.
    ///
    /// ```
    /// use mangotray_desk::room::size;
    /// let own = size::Size::shared();
    /// assert!(!own.serves_others());
    /// assert!(size::Size { max_connections: 12, ..own }.serves_others());
    /// ```
    #[must_use]
    pub const fn serves_others(&self) -> bool {
        self.max_connections > self.max_statements
    }
}
