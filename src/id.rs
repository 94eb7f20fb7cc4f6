//! Identifiers shared by every module.

use compact_str::CompactString;

/// Number of a term, the period in which one instance is the primary of a database group; later
/// terms have higher numbers.
pub type Term = u64;

/// Position of a record in a group's log, counted in records from zero.
pub type Position = u64;

/// Index of an instance within its group's declaration.
pub type Index = usize;

/// Name of a database group, as declared by the operators.
pub type Group = CompactString;

/// Name of a VM, as given in its settings.
pub type Vm = CompactString;

/// Name of a failure domain.
pub type Domain = CompactString;

/// Revision of the operators' configuration; increases by one with each accepted file.
pub type Revision = u64;

/// Number chosen by a process when it starts; a restarted process never reuses it.
pub type Incarnation = u64;

/// Number of a caller's request, unique within one proxy process.
pub type Request = u64;

/// Monotonic time since an arbitrary epoch of this process.
pub type Time = std::time::Duration;
