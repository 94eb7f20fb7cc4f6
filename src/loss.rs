//! Outcome of a batch without an answer, and the error reported to its caller.

use crate::class;
use crate::classify;
use crate::outcome;
use crate::refusal;
use crate::transaction;

/// Why a batch has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The batch was rejected, or lost while it ran, with this outcome.
    Outcome(outcome::Outcome),
    /// The caller canceled the batch while it ran.
    Canceled,
    /// The database of the batch is no longer declared.
    NoDatabase(refusal::Error),
}

/// Returns whether a batch whose connection was closed while it ran may have changed data.
/// Within a transaction only a commit can: losing the connection rolls back everything else.
fn may_have_changed_data(verdict: &classify::Verdict, state: transaction::State) -> bool {
    match verdict.class {
        class::Class::Commit => state == transaction::State::Open,
        class::Class::Write => state == transaction::State::Idle || verdict.mixed,
        _ => false,
    }
}

impl Loss {
    /// Returns whether the caller canceled the batch.
    ///
    /// ```
    /// assert!(mangotray::loss::Loss::Canceled.canceled());
    /// ```
    #[must_use]
    pub fn canceled(&self) -> bool {
        *self == Self::Canceled
    }

    /// Label of the outcome in metrics.
    ///
    /// ```
    /// use mangotray::{class, classify, loss, transaction};
    /// let read = classify::Verdict::of_class(class::Class::Read);
    /// assert_eq!(loss::Loss::Canceled.outcome_label(&read, transaction::State::Idle), "not-run");
    /// ```
    #[must_use]
    pub fn outcome_label(
        &self,
        verdict: &classify::Verdict,
        state: transaction::State,
    ) -> &'static str {
        match self {
            Self::Outcome(outcome::Outcome::Unknown { .. }) => "unknown",
            Self::Canceled if may_have_changed_data(verdict, state) => "unknown",
            _ => "not-run",
        }
    }

    /// Error to send to the caller.
    ///
    /// ```
    /// use mangotray::{class, classify, loss, transaction};
    /// let write = classify::Verdict::of_class(class::Class::Write);
    /// let error = loss::Loss::Canceled.error(&write, transaction::State::Idle);
    /// assert_eq!(error.code, "08007");
    /// ```
    #[must_use]
    pub fn error(&self, verdict: &classify::Verdict, state: transaction::State) -> refusal::Error {
        match self {
            Self::Outcome(outcome) => refusal::error(outcome),
            Self::NoDatabase(error) => refusal::Error {
                severity: refusal::Severity::Error,
                ..error.clone()
            },
            Self::Canceled if may_have_changed_data(verdict, state) => refusal::Error {
                detail: Some("outcome=unknown reason=canceled".into()),
                ..refusal::Error::new(
                    refusal::RESOLUTION_UNKNOWN,
                    "canceled on the caller's request while it ran (outcome unknown)",
                )
                .hint("Read back the data that it was to change before repeating it.")
            },
            Self::Canceled => refusal::Error {
                detail: Some("outcome=not-run reason=canceled".into()),
                ..refusal::Error::new(
                    refusal::QUERY_CANCELED,
                    "canceling statement due to user request (not run)",
                )
            },
        }
    }
}

#[cfg(test)]
mod tests;
