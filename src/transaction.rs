//! State of a caller's transaction.

/// The transaction state reported in `ReadyForQuery`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed; only a rollback is accepted.
    Failed,
}
