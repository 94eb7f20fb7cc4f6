//! One difference between two catalogs, in the terms of the operators' file.

use std::fmt;
use std::net;
use std::time;

use compact_str::CompactString;

use crate::id;

/// A change of a group or of the set of serving VMs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// A group is added.
    GroupAdded(id::Group),
    /// A group is removed and no longer served.
    GroupRemoved(id::Group),
    /// The declaration of an existing group changes.
    Group(id::Group, Detail),
    /// The set of VMs that serve traffic changes, from before to after; empty means all live VMs.
    Serving(Vec<id::Vm>, Vec<id::Vm>),
}

/// A change in the declaration of an existing group; pairs are before and after.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Detail {
    /// The database name that callers connect to changes.
    Database(CompactString, CompactString),
    /// An instance is added.
    InstanceAdded(CompactString, id::Domain, net::SocketAddr),
    /// An instance is removed.
    InstanceRemoved(CompactString),
    /// The address of an instance changes.
    Address(CompactString, net::SocketAddr, net::SocketAddr),
    /// The failure domain of an instance changes.
    Domain(CompactString, id::Domain, id::Domain),
    /// An instance is marked as leaving.
    Leaving(CompactString),
    /// An instance is no longer marked as leaving.
    Returning(CompactString),
    /// The number of connections that each instance accepts changes.
    Connections(usize, usize),
    /// The number of statements that each instance executes at once changes.
    Slots(usize, usize),
    /// The default deadline of requests changes.
    Deadline(time::Duration, time::Duration),
    /// The greatest data age that reads of a table accept changes; `None` means fresh data only.
    Age(
        CompactString,
        Option<time::Duration>,
        Option<time::Duration>,
    ),
    /// The same tables are grouped differently into `[age ...]` sections.
    AgeTables(Vec<Vec<CompactString>>, Vec<Vec<CompactString>>),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::GroupAdded(group) => write!(f, "+ group {group}"),
            Self::GroupRemoved(group) => write!(f, "- group {group}"),
            Self::Group(group, detail) => write!(f, "~ group {group}: {detail}"),
            Self::Serving(old, new) => {
                write!(f, "~ serving VMs: {} -> {}", vms_text(old), vms_text(new))
            }
        }
    }
}

impl fmt::Display for Detail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Database(old, new) => write!(f, "database {old} -> {new}"),
            Self::InstanceAdded(name, domain, address) => {
                write!(f, "instance {name} added in {domain} at {address}")
            }
            Self::InstanceRemoved(name) => write!(f, "instance {name} removed"),
            Self::Address(name, old, new) => write!(f, "instance {name} at {old} -> {new}"),
            Self::Domain(name, old, new) => write!(f, "instance {name} in {old} -> {new}"),
            Self::Leaving(name) => write!(f, "instance {name} is leaving"),
            Self::Returning(name) => write!(f, "instance {name} is no longer leaving"),
            Self::Connections(old, new) => write!(f, "connections {old} -> {new}"),
            Self::Slots(old, new) => write!(f, "slots {old} -> {new}"),
            Self::Deadline(old, new) => write!(
                f,
                "deadline {} -> {}",
                duration_text(*old),
                duration_text(*new)
            ),
            Self::Age(table, old, new) => {
                write!(f, "age of {table} {} -> {}", age_text(*old), age_text(*new))
            }
            Self::AgeTables(old, new) => {
                write!(
                    f,
                    "tables of the age sections {} -> {}",
                    table_sets_text(old),
                    table_sets_text(new)
                )
            }
        }
    }
}

fn vms_text(names: &[id::Vm]) -> String {
    if names.is_empty() {
        "all".to_owned()
    } else {
        names.join(", ")
    }
}

fn table_sets_text(sets: &[Vec<CompactString>]) -> String {
    let lists: Vec<_> = sets.iter().map(|set| set.join(", ")).collect();
    format!("({})", lists.join("; "))
}

fn age_text(limit: Option<time::Duration>) -> String {
    limit.map_or("fresh only".to_owned(), duration_text)
}

fn duration_text(duration: time::Duration) -> String {
    humantime::format_duration(duration).to_string()
}
