//! What an instance of a database group tells about itself.

use crate::id;
use crate::role;
use crate::stamp;

/// Answer of one instance to a status probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Status {
    /// Last applied record.
    pub stamp: stamp::Stamp,
    /// Highest term the instance has been fenced at; it refuses logs of lower terms.
    pub fence: id::Term,
    /// Whether the instance believes that it leads the group.
    pub role: role::Role,
    /// False while an instance that lost its log has not yet copied it again;
    /// such an instance must not count towards a majority.
    pub voter: bool,
    /// Start of the instance's process; stamps seen under another incarnation are void.
    pub incarnation: id::Incarnation,
}
