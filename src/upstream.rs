//! Interface to one instance of a database group.

use futures_util::future;

use crate::frame;
use crate::id;
use crate::reply;
use crate::status;

/// Why an instance gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request did not reach the instance, or the instance proved that it did not run.
    NotRun(compact_str::CompactString),
    /// The request may have run.
    Unknown(compact_str::CompactString),
}

/// Control operations of one instance. They use no execution slot.
///
/// An instance must keep its fence and the records that it has reported across restarts;
/// otherwise commits of a replaced primary could be confirmed and then lost. An instance that
/// loses its log is not a voter until it holds the whole log of a primary whose term is at or
/// above every fence that the instance ever answered.
pub trait Upstream: Send + Sync {
    /// Queries the instance's state; fails when no answer arrives within the probe timeout.
    fn status(&self) -> future::BoxFuture<'_, Result<status::Status, Failure>>;

    /// Makes the instance refuse the log of terms below `term` and returns its state
    /// afterwards. Returns `Ok` with the higher fence when it is already fenced higher.
    fn fence(&self, term: id::Term) -> future::BoxFuture<'_, Result<status::Status, Failure>>;

    /// Makes a voter fenced at exactly `term` the primary of that term; idempotent. An
    /// instance that is not a voter refuses, since its log may lack confirmed records.
    fn promote(&self, term: id::Term) -> future::BoxFuture<'_, Result<status::Status, Failure>>;

    /// Opens a connection for batches; takes about 10 ms.
    fn open(&self) -> future::BoxFuture<'_, Result<Box<dyn Connection>, Failure>>;
}

/// A connection to one instance; runs one batch at a time.
pub trait Connection: Send {
    /// Incarnation of the instance's process to which this connection was opened.
    fn incarnation(&self) -> id::Incarnation;

    /// Sends the batch's frames (ending in a Query or a Sync) and returns the whole
    /// answer up to `ReadyForQuery`. After any failure, or when the returned future is
    /// dropped early, the connection must not be used again.
    fn run<'a>(
        &'a mut self,
        frames: &'a [frame::Frame],
    ) -> future::BoxFuture<'a, Result<reply::Reply, Failure>>;
}
