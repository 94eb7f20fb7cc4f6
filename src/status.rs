//! Status that an instance of a database group reports about itself.

use crate::id;
use crate::role;
use crate::stamp;

/// Answer of one instance to a status probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// Stamp of the last applied record.
    pub stamp: stamp::Stamp,
    /// Highest term at which the instance was fenced; it refuses logs of lower terms.
    pub fence: id::Term,
    /// Role that the instance reports for itself.
    pub role: role::Role,
    /// False after the instance lost its log and until it has copied the log again; until then
    /// it must not count towards a majority.
    pub voter: bool,
    /// Identifies one start of the instance's process; stamps from another incarnation are
    /// invalid.
    pub incarnation: id::Incarnation,
}
