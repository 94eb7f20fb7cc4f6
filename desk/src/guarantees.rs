//! Guarantees about the configuration, keys and rate limits.

use std::time;

use crate::limits::tolerance;

/// Time until a configuration has to be in force, if the settings do not tell it.
pub const DEFAULT_APPLICATION: time::Duration = time::Duration::from_secs(3);

/// Bounds that the platform guarantees for the configuration, keys and rate limits, from the
/// settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guarantees {
    /// Maximum time until an acknowledged configuration is in force.
    pub application: time::Duration,
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

impl Default for Guarantees {
    fn default() -> Self {
        Self {
            application: DEFAULT_APPLICATION,
            revocation: None,
            tolerance: tolerance::Tolerance::default(),
            sustained: false,
            share: None,
        }
    }
}
