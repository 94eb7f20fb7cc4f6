//! One unit of a caller's work: all frames up to a Query or a Sync.

use compact_str::CompactString;

use crate::class;
use crate::frame;
use crate::id;
use crate::stamp;

/// A unit that runs on one connection and has one answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Batch {
    /// Number for the logs.
    pub request: id::Request,
    /// Number of the caller's session, drawn at random; callers get equal turns.
    pub caller: u64,
    /// Frames to send, ending in a Query or a Sync.
    pub frames: Vec<frame::Frame>,
    /// What the statements need.
    pub class: class::Class,
    /// Whether it opens or ends a transaction beside other statements, as in
    /// `COMMIT; INSERT ...`: part of it may then be committed although it failed.
    pub mixed: bool,
    /// Tables that the statements read, where the parser could tell; empty means unknown.
    pub tables: Vec<CompactString>,
    /// Stamp that the answer must include, when the caller carries a token for this group.
    pub token: Option<stamp::Stamp>,
    /// Last stamp that the session itself has written: a lower bound for every read, also
    /// for one that accepts data of a stated age.
    pub own: Option<stamp::Stamp>,
    /// Time the batch was received.
    pub arrived: id::Time,
    /// Time after which an answer is of no use.
    pub deadline: id::Time,
}
