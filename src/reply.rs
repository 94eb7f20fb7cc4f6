//! Whole answer to one batch.

use crate::frame;
use crate::stamp;
use crate::transaction;

/// Everything an instance answered to one batch, complete up to `ReadyForQuery`.
///
/// A reply exists only when the answer is whole: an answer cut off half way is
/// an `upstream::Failure`, so it can never be relayed as if it were complete.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// Frames for the caller, without the closing `ReadyForQuery` and without
    /// the upstream's private parameter reports.
    pub frames: Vec<frame::Frame>,
    /// Transaction state that the closing `ReadyForQuery` carried.
    pub transaction: transaction::State,
    /// Stamp the instance reported when a transaction ended in this batch.
    pub stamp: Option<stamp::Stamp>,
    /// SQLSTATE of the first error in the answer, if any.
    pub error: Option<compact_str::CompactString>,
}
