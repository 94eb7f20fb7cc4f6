//! What a batch of statements needs from the database group.

/// Class of a whole batch; the strongest need of its statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Proven to read only; may run on a replica and may be sent twice.
    Read,
    /// Everything that is not proven to read only; never sent twice.
    Write,
    /// Opens a transaction that may write.
    Begin,
    /// Opens a transaction declared read-only.
    BeginRead,
    /// Ends a transaction by commit.
    Commit,
    /// Ends a transaction by rollback.
    Rollback,
}
