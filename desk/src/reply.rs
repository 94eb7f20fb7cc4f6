//! Replies to statements, from an instance or from this node itself.

use compact_str::CompactString;
use mangotray::stamp;

/// Why a statement failed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Code {
    /// No capacity; not run.
    Busy,
    /// The transaction was aborted and none of its writes are kept.
    Aborted,
    /// The instance has not applied the required log position; not run.
    Behind,
    /// The instance is not the primary; not run.
    ReadOnly,
    /// The address belongs to another instance; not run.
    WrongNode,
    /// The instance has no connection left.
    TooMany,
    /// It is unknown whether the statement ran.
    Unsure,
    /// The statement timed out; it may have run.
    Timeout,
    /// The statement ran and failed.
    Failed,
    /// No prepared statement of that name; not run.
    NoStatement,
    /// No database of that name.
    NoDatabase,
    /// The statement is malformed or not allowed in this state; not run.
    Bad,
    /// A code that is unknown to this version.
    Other(CompactString),
    /// The caller's key belongs to no organisation.
    Unauthorised,
}

impl Code {
    /// Returns whether the code proves that the statement has not run.
    ///
    /// ```
    /// use mangotray_desk::reply;
    /// assert!(reply::Code::Busy.not_run());
    /// assert!(!reply::Code::Timeout.not_run());
    /// ```
    #[must_use]
    pub const fn not_run(&self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::NoStatement
                | Self::Behind
                | Self::ReadOnly
                | Self::WrongNode
                | Self::TooMany
        )
    }
}

/// How a statement ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum End {
    /// Success. The digest proves which instance ran the statement; it is `-` if no instance was
    /// needed.
    Done(CompactString),
    /// Failure.
    Error {
        /// Reason of the failure.
        code: Code,
        /// Description for humans.
        text: CompactString,
    },
}

/// Transaction state of a session or connection between two statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// No transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that has failed.
    Failed,
}

/// A complete reply to a statement.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// The rows, unchanged.
    pub rows: Vec<CompactString>,
    /// How the statement ended.
    pub end: End,
    /// Transaction state after the statement.
    pub state: State,
    /// Log position up to which the instance has applied its log.
    pub position: Option<stamp::Stamp>,
}

impl Reply {
    /// Creates a successful reply of this node itself.
    ///
    /// ```
    /// use mangotray_desk::reply;
    /// assert!(reply::Reply::done(reply::State::Idle).is_done());
    /// ```
    #[must_use]
    pub fn done(state: State) -> Self {
        Self {
            rows: Vec::new(),
            end: End::Done(CompactString::const_new("-")),
            state,
            position: None,
        }
    }

    /// Creates an error reply of this node itself.
    ///
    /// ```
    /// use mangotray_desk::reply;
    /// let reply = reply::Reply::error(reply::Code::Busy, "no slot", reply::State::Idle);
    /// assert_eq!(reply.code(), Some(&reply::Code::Busy));
    /// ```
    #[must_use]
    pub fn error(code: Code, text: impl Into<CompactString>, state: State) -> Self {
        let text = text.into();
        Self {
            rows: Vec::new(),
            end: End::Error { code, text },
            state,
            position: None,
        }
    }

    /// Returns whether the statement succeeded.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        matches!(self.end, End::Done(_))
    }

    /// Returns the error code if the statement failed.
    #[must_use]
    pub const fn code(&self) -> Option<&Code> {
        match &self.end {
            End::Done(_) => None,
            End::Error { code, .. } => Some(code),
        }
    }
}
