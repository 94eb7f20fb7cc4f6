//! Border to one instance of a database group.

use futures_util::future;

use crate::frame;
use crate::id;
use crate::reply;
use crate::status;

/// Why an instance gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request surely did not reach the instance, or the instance proved that it did not run.
    NotRun(compact_str::CompactString),
    /// The request may have run.
    Unknown(compact_str::CompactString),
}

/// One instance, as the control path sees it. Control calls use no execution slot.
///
/// A fence and the records that an instance has reported outlive its process: a promise
/// forgotten at a restart would let a replaced primary's commits be confirmed and lost.
/// An instance that loses its log is no voter until it holds a primary's whole log whose
/// term is at or above every fence that it ever answered.
pub trait Upstream: Send + Sync {
    /// Asks for the instance's state; fails when no answer comes within the probe timeout.
    fn status(&self) -> future::BoxFuture<'_, Result<status::Status, Failure>>;

    /// Makes the instance refuse the log of terms below `term`; answers its state
    /// afterwards. Refused (`Ok` with a higher fence) when it is already fenced higher.
    fn fence(&self, term: id::Term) -> future::BoxFuture<'_, Result<status::Status, Failure>>;

    /// Makes a voter fenced at exactly `term` the primary of that term; idempotent. An
    /// instance that is no voter refuses, since confirmed records may be missing from its log.
    fn promote(&self, term: id::Term) -> future::BoxFuture<'_, Result<status::Status, Failure>>;

    /// Opens a working connection; takes about 10 ms at today's databases.
    fn open(&self) -> future::BoxFuture<'_, Result<Box<dyn Connection>, Failure>>;
}

/// A working connection to one instance; runs one batch at a time.
pub trait Connection: Send {
    /// Incarnation of the instance's process that this connection was opened to.
    fn incarnation(&self) -> id::Incarnation;

    /// Sends the batch's frames (ending in a Query or a Sync) and collects the whole
    /// answer up to `ReadyForQuery`. After any failure, or when the returned future is
    /// dropped early, the connection must not be used again.
    fn run<'a>(
        &'a mut self,
        frames: &'a [frame::Frame],
    ) -> future::BoxFuture<'a, Result<reply::Reply, Failure>>;
}
