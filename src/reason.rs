//! The stable, documented set of reasons for refusals and routing decisions.

/// Why a request was refused or routed as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No primary is known at the moment.
    NoPrimary,
    /// No instance is fresh enough within the deadline.
    NoInstance,
    /// Too few instances answer to confirm a write.
    NoMajority,
    /// The deadline cannot be met.
    Deadline,
    /// The queue is full.
    Overload,
    /// The proxy is shutting down.
    Draining,
    /// The upstream connection was lost.
    ConnectionLost,
    /// A commit ran but was not seen on a second instance in time.
    Unconfirmed,
    /// The statement is not supported through the proxy.
    Unsupported,
    /// The answer is larger than the proxy relays.
    TooLarge,
    /// No proxy that serves the group could be reached.
    NoServer,
}
