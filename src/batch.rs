//! A caller's batch: all frames up to and including a Query or a Sync.

use compact_str::CompactString;

use crate::class;
use crate::frame;
use crate::id;
use crate::stamp;

/// A unit of work that runs on one connection and has one answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Batch {
    /// Request number, used in logs.
    pub request: id::Request,
    /// Random number of the caller's session, used to give callers equal turns in the queue.
    pub caller: u64,
    /// Frames to send, ending in a Query or a Sync.
    pub frames: Vec<frame::Frame>,
    /// Class of the statements, which decides where and how the batch runs.
    pub class: class::Class,
    /// Whether the batch opens or ends a transaction next to other statements, as in
    /// `COMMIT; INSERT ...`. Part of it may then be committed even if it fails.
    pub mixed: bool,
    /// Tables that the statements read, as far as the parser can determine; empty if unknown.
    pub tables: Vec<CompactString>,
    /// Stamp that the answer must include, if the caller has a token for this group.
    pub token: Option<stamp::Stamp>,
    /// Stamp of the session's own last write: a lower bound for every read, including one that
    /// accepts data of a given age.
    pub own: Option<stamp::Stamp>,
    /// Time at which the batch was received.
    pub arrived: id::Time,
    /// Time by which the answer is needed.
    pub deadline: id::Time,
}
