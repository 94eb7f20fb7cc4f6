//! Role of an instance in its group.

/// Role as reported by the instance itself, which may be outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts writes in its own fence term.
    Primary,
    /// Applies the primary's log.
    Replica,
}
