//! What is promised about keys and limits.

use std::time;

use crate::tolerance;

/// What the platform promises about keys and limits, as settings tell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Guarantees {
    /// A key is served no longer than this after it was taken away; none where only the
    /// configuration in force counts.
    pub revocation: Option<time::Duration>,
    /// How far organisations may exceed their limits.
    pub tolerance: tolerance::Tolerance,
}
