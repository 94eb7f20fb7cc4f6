//! What a caller asks for.

use compact_str::CompactString;

/// Id that the caller gave to its request; passed on unchanged.
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

/// What a prepared statement does, whatever its caller named it.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Shape {
    /// Whether it reads or writes.
    pub access: Access,
    /// Its text.
    pub text: CompactString,
}

/// One statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// The transaction only reads.
        read_only: bool,
    },
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
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
    /// Names a shape for later use.
    Prepare {
        /// The caller's name for it.
        name: Name,
        /// What it does.
        shape: Shape,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for it.
        name: Name,
        /// Item, and data where it writes.
        arguments: CompactString,
    },
    /// Drops a prepared statement.
    Forget {
        /// The caller's name for it.
        name: Name,
    },
    /// A text that is none of the above.
    Unknown,
}

/// A statement with the caller's id and exact text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller's id of this request.
    pub id: Id,
    /// The caller's words, passed on unchanged.
    pub text: CompactString,
    /// What they mean.
    pub statement: Statement,
}
