//! HTTP endpoint for status and metrics.
//!
//! `GET /metrics` gives the Prometheus text format, `GET /status` a [`Status`] as JSON and
//! `GET /healthz` 200 while the proxy takes new callers, 503 once it drains. Everything is
//! read-only: operators change a system by applying a file.

use compact_str::CompactString;

use crate::id;
use crate::role;
use crate::stamp;

mod client;
mod server;

pub use client::fetch;
pub use server::Server;

/// Gives the state of a proxy whenever it is asked; must not block.
pub trait Source: Send + Sync {
    /// State as of now.
    fn status(&self) -> Status;

    /// Brings the gauges up to date that are read from the state; called before the
    /// metrics are rendered.
    fn update_gauges(&self) {}
}

/// State of one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// VM that the proxy runs on.
    pub vm: id::Vm,
    /// Start of the proxy's process.
    pub incarnation: id::Incarnation,
    /// Revision of the configuration in force; 0 before the first.
    pub revision: id::Revision,
    /// True once the proxy takes no new callers.
    pub draining: bool,
    /// Groups that the proxy knows.
    pub groups: Vec<Group>,
}

/// State of one database group, as seen from one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Group {
    /// Name in the operators' file.
    pub name: id::Group,
    /// Instance that leads, when one is known.
    pub primary: Option<CompactString>,
    /// Highest term seen.
    pub term: id::Term,
    /// Instances in the order of the catalog.
    pub instances: Vec<Instance>,
    /// Requests that run or wait before the instances.
    pub queue: usize,
    /// Promotions that this proxy carried through since it serves the group.
    pub promotions: u64,
    /// Length of the last failover gap in milliseconds, when there was one.
    pub last_failover_gap_ms: Option<u64>,
}

/// State of one instance, as last seen from one proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// Name in the operators' file.
    pub name: CompactString,
    /// What the instance believes to be; `None` before its first answer.
    pub role: Option<role::Role>,
    /// Last applied record.
    pub stamp: stamp::Stamp,
    /// Highest term that it was fenced at.
    pub fence: id::Term,
    /// Records behind the highest stamp seen in the group; `None` across terms.
    pub lag_records: Option<u64>,
    /// Whether it answered the last status probe.
    pub reachable: bool,
    /// Connections that this proxy holds open.
    pub connections: usize,
    /// Requests that run or wait before the instance now.
    pub busy: usize,
}

#[cfg(test)]
mod tests;
