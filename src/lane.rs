//! Interface between a caller's session and the database group that serves it.

use futures_util::future;

use crate::batch;
use crate::outcome;
use crate::reply;
use crate::stamp;

/// Runs one session's batches on its database group. Holds the connection to which an open
/// transaction is pinned; dropping the lane rolls the transaction back.
pub trait Lane: Send {
    /// Runs a batch to its final outcome.
    fn run(
        &mut self,
        batch: batch::Batch,
    ) -> future::BoxFuture<'_, Result<reply::Reply, outcome::Outcome>>;
}

/// Opens lanes for databases by name.
pub trait Factory: Send + Sync {
    /// A lane for the named database, or `None` when no group serves it.
    fn lane(&self, database: &str) -> Option<Box<dyn Lane>>;

    /// Default timeout of requests to the named database.
    fn deadline(&self, database: &str) -> std::time::Duration;
}

/// Token that a caller carries between proxies.
pub type Token = stamp::Stamp;
