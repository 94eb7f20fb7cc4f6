//! What an instance, or this node itself, answers.

use compact_str::CompactString;
use mangotray::stamp;

/// Why a statement failed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Code {
    /// No capacity; not run.
    Busy,
    /// The transaction is gone and nothing of it is kept.
    Aborted,
    /// The instance's log lacks the required position; not run.
    Behind,
    /// The instance does not lead; not run.
    ReadOnly,
    /// The address belongs to another instance; not run.
    WrongNode,
    /// The instance has no connection left.
    TooMany,
    /// Nobody can say whether it ran.
    Unsure,
    /// It ran out of time; it may have run.
    Timeout,
    /// It ran and failed.
    Failed,
    /// No prepared statement of that name; not run.
    NoStatement,
    /// No database of that name.
    NoDatabase,
    /// The statement makes no sense here; not run.
    Bad,
    /// A code that this version does not know.
    Other(CompactString),
    /// No organisation holds the caller's key.
    Unauthorised,
}

impl Code {
    /// Whether the code proves that the statement has not run.
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
    /// Done; the digest proves which instance did it, `-` where none was needed.
    Done(CompactString),
    /// Failed.
    Error {
        /// Why.
        code: Code,
        /// For a human.
        text: CompactString,
    },
}

/// State of a session or connection between two statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// No transaction.
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that has failed.
    Failed,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// The rows, unchanged.
    pub rows: Vec<CompactString>,
    /// How it ended.
    pub end: End,
    /// State after it.
    pub state: State,
    /// Last record that the instance has applied.
    pub position: Option<stamp::Stamp>,
}

impl Reply {
    /// An answer that this node gives by itself.
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

    /// A refusal or failure that this node reports.
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

    /// Whether it ended well.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        matches!(self.end, End::Done(_))
    }

    /// Why it failed, if it did.
    #[must_use]
    pub const fn code(&self) -> Option<&Code> {
        match &self.end {
            End::Done(_) => None,
            End::Error { code, .. } => Some(code),
        }
    }
}
