//! Guarantees about keys and rate limits.

use std::time;

use crate::limits::tolerance;

/// Bounds that the platform guarantees for keys and rate limits, from the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Guarantees {
    /// Maximum time that a key is accepted after its revocation; `None` if keys are only checked
    /// against the configuration in force, whatever its age.
    pub revocation: Option<time::Duration>,
    /// How far organisations may exceed their rate limits.
    pub tolerance: tolerance::Tolerance,
    /// Whether counting nodes spread bursts over the window of `tolerance`.
    pub sustained: bool,
    /// Length of the leases on shares of organisations' limits; `None` if each operation requests a
    /// token of the counting node.
    pub share: Option<time::Duration>,
}
