//! A batch that has no answer, and what may be said of it.

use crate::class;
use crate::classify;
use crate::outcome;
use crate::refusal;
use crate::transaction;

/// Why a batch has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The lane refused it or lost it.
    Outcome(outcome::Outcome),
    /// The caller canceled it while it ran.
    Canceled,
    /// The database is no longer declared.
    NoDatabase(refusal::Error),
}

/// Whether a batch whose connection is given up half way may have changed anything.
/// Within a transaction only the commit can: losing the connection rolls back the rest.
fn may_have_changed_data(verdict: &classify::Verdict, state: transaction::State) -> bool {
    match verdict.class {
        class::Class::Commit => state == transaction::State::Open,
        class::Class::Write => state == transaction::State::Idle || verdict.mixed,
        _ => false,
    }
}

impl Loss {
    /// Whether the caller canceled the batch.
    ///
    /// ```
    /// assert!(mangotray::loss::Loss::Canceled.canceled());
    /// ```
    #[must_use]
    pub fn canceled(&self) -> bool {
        *self == Self::Canceled
    }

    /// Label of the outcome for the metrics.
    ///
    /// ```
    /// use mangotray::{class, classify, loss, transaction};
    /// let read = classify::Verdict::plain(class::Class::Read);
    /// assert_eq!(loss::Loss::Canceled.kind(&read, transaction::State::Idle), "not-run");
    /// ```
    #[must_use]
    pub fn kind(&self, verdict: &classify::Verdict, state: transaction::State) -> &'static str {
        match self {
            Self::Outcome(outcome::Outcome::Unknown { .. }) => "unknown",
            Self::Canceled if may_have_changed_data(verdict, state) => "unknown",
            _ => "not-run",
        }
    }

    /// The error to send to the caller.
    ///
    /// ```
    /// use mangotray::{class, classify, loss, transaction};
    /// let write = classify::Verdict::plain(class::Class::Write);
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
                .hint("Read back what it was to change before repeating it.")
            },
            Self::Canceled => refusal::Error {
                detail: Some("outcome=not-run reason=canceled".into()),
                ..refusal::Error::new(
                    refusal::CANCELED,
                    "canceling statement due to user request (not run)",
                )
            },
        }
    }
}

#[cfg(test)]
mod tests;
