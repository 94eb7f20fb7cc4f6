//! Part that an instance believes it plays in its group.

/// Primary or replica, by the instance's own account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts writes at its own fence term.
    Primary,
    /// Applies the log of a primary.
    Replica,
}
