//! The operators' file: everything that is declared about the system.

use crate::database;
use crate::id;

/// A whole declarative file, parsed and checked.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Database groups.
    pub groups: Vec<database::Group>,
    /// VMs that serve traffic; empty means all live VMs.
    pub vms: Vec<id::Vm>,
}
