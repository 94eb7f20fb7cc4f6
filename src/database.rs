//! Declaration of one database group.

use std::net;
use std::time;

use compact_str::CompactString;

use crate::id;

/// One group of instances that replicate one database.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Group {
    /// Name of the group, unique in the file.
    pub name: id::Group,
    /// Database name that callers connect to.
    pub database: CompactString,
    /// The group's instances.
    pub instances: Vec<Instance>,
    /// Connections that one instance accepts in all.
    pub connections: usize,
    /// Statements that one instance executes at once.
    pub slots: usize,
    /// Default deadline of a request.
    #[serde(with = "humantime_serde")]
    pub deadline: time::Duration,
    /// Reads that accept data of a stated age.
    pub ages: Vec<Age>,
}

/// One instance of a group.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// Name, unique in the group.
    pub name: CompactString,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Failure domain that it runs in.
    pub domain: id::Domain,
    /// True while the operators are taking it out of service.
    pub leaving: bool,
}

/// Permission for reads of some tables to see data of a stated age.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Age {
    /// Tables it covers; a read is covered when all its tables are.
    pub tables: Vec<CompactString>,
    /// Greatest age of the data.
    #[serde(with = "humantime_serde")]
    pub limit: time::Duration,
}
