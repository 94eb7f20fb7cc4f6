//! Complete answer to one batch.

use crate::frame;
use crate::stamp;
use crate::transaction;

/// An instance's answer to one batch, complete up to `ReadyForQuery`.
///
/// A truncated answer is an `upstream::Failure` and not a reply, so it cannot be relayed as if it
/// were complete.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// Frames for the caller, without the final `ReadyForQuery` and without the parameter reports
    /// that are meant for the proxy.
    pub frames: Vec<frame::Frame>,
    /// Transaction state from the final `ReadyForQuery`.
    pub transaction: transaction::State,
    /// Stamp that the instance reported, if a transaction ended in this batch.
    pub stamp: Option<stamp::Stamp>,
    /// SQLSTATE of the first error in the answer, if any.
    pub error: Option<compact_str::CompactString>,
}
