//! Parsed content of the operators' file.

use crate::database;
use crate::id;

/// All declarations of an operators' file, parsed and checked.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Database groups.
    pub groups: Vec<database::Group>,
    /// VMs that serve traffic; empty means all live VMs.
    pub vms: Vec<id::Vm>,
}
