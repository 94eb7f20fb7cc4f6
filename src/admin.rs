//! HTTP endpoint for status and metrics.
//!
//! `GET /metrics` returns the Prometheus text format, `GET /status` a [`Status`] as JSON, and
//! `GET /healthz` 200 while the proxy accepts new callers and 503 once it drains. The endpoint is
//! read-only: operators change a system by applying a file.

use compact_str::CompactString;

use crate::id;
use crate::role;
use crate::stamp;

mod client;
mod server;

pub use client::fetch;
pub use server::Server;

/// Provides the state of a proxy on request. Implementations must not block.
pub trait Source: Send + Sync {
    /// The current state.
    fn status(&self) -> Status;

    /// Updates the gauges that are derived from the state; called before each rendering of the
    /// metrics.
    fn update_gauges(&self) {}
}

/// State of one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// VM that the proxy runs on.
    pub vm: id::Vm,
    /// Incarnation of the proxy's process.
    pub incarnation: id::Incarnation,
    /// Revision of the active configuration; 0 before the first one.
    pub revision: id::Revision,
    /// Whether the proxy has stopped accepting new callers.
    pub draining: bool,
    /// Groups known to the proxy.
    pub groups: Vec<Group>,
}

/// State of one database group, as seen from one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Group {
    /// Name in the operators' file.
    pub name: id::Group,
    /// Name of the primary, if known.
    pub primary: Option<CompactString>,
    /// Highest term seen.
    pub term: id::Term,
    /// Instances in catalog order.
    pub instances: Vec<Instance>,
    /// Requests that are running on the instances or waiting for a slot.
    pub queue: usize,
    /// Promotions that this proxy has completed since it began to serve the group.
    pub promotions: u64,
    /// Length of the last failover gap in milliseconds; `None` if there was none.
    pub last_failover_gap_ms: Option<u64>,
}

/// State of one instance, as last seen from one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// Name in the operators' file.
    pub name: CompactString,
    /// Role that the instance reports; `None` before its first answer.
    pub role: Option<role::Role>,
    /// Stamp of the last applied record.
    pub stamp: stamp::Stamp,
    /// Highest term at which it was fenced.
    pub fence: id::Term,
    /// Records behind the highest stamp seen in the group; `None` across terms.
    pub lag_records: Option<u64>,
    /// Whether it answered the last status probe.
    pub reachable: bool,
    /// Open connections of this proxy to the instance.
    pub connections: usize,
    /// Requests that are running on the instance or waiting for a slot now.
    pub busy: usize,
}

#[cfg(test)]
mod tests;
