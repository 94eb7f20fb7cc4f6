//! Statements of callers.

use compact_str::CompactString;

/// Id that a caller gave to its request; passed on unchanged.
pub type Id = CompactString;

/// Name of a session's value or prepared statement.
pub type Name = CompactString;

/// Whether a prepared statement reads or writes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Access {
    /// Reads one item.
    Read,
    /// Writes one item.
    Write,
}

/// What a prepared statement does, independent of the name that a caller gave it.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Shape {
    /// Whether the statement reads or writes.
    pub access: Access,
    /// Text of the statement.
    pub text: CompactString,
}

/// One statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction may only read.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls back a transaction.
    Rollback,
    /// Reads one item.
    Read,
    /// Writes one item.
    Write,
    /// Sets a value of the session.
    Set {
        /// Name of the value.
        name: Name,
        /// The value.
        value: CompactString,
    },
    /// Prepares a statement under a name.
    Prepare {
        /// The caller's name for the prepared statement.
        name: Name,
        /// What the prepared statement does.
        shape: Shape,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for the prepared statement.
        name: Name,
        /// The item and, for a write, the data.
        arguments: CompactString,
    },
    /// Drops a prepared statement.
    Forget {
        /// The caller's name for the prepared statement.
        name: Name,
    },
    /// Any other text.
    Unknown,
}

/// A statement with the caller's id and original text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id that the caller gave to the request.
    pub id: Id,
    /// The statement's text as the caller sent it; passed on unchanged.
    pub text: CompactString,
    /// The parsed statement.
    pub statement: Statement,
}
