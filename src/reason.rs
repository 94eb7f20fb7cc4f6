//! Documented and stable reasons for refusals and routing decisions.

/// Reason for a refusal or a routing decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No primary is currently known.
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
    /// A commit ran but was not confirmed by a second instance in time.
    Unconfirmed,
    /// The statement is not supported through the proxy.
    Unsupported,
    /// The answer exceeds the size limit of the proxy.
    TooLarge,
    /// No proxy that serves the group could be reached.
    NoServer,
}
