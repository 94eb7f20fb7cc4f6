//! Classes of statements by what they need from the database group.

/// Class of a statement or of a whole batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Proven to only read; may run on a replica and may be sent again after a failure.
    Read,
    /// Not proven to only read; never sent twice.
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
