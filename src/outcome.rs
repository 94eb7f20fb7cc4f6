//! Outcome of a request that an instance did not answer.

use std::time;

use compact_str::CompactString;

use crate::reason;

/// Outcome of a request without an answer. A request that was answered has a `reply::Reply`
/// instead.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request did not run and will not run later.
    NotRun {
        /// Why it was refused.
        reason: reason::Reason,
        /// Error message for the caller.
        detail: CompactString,
        /// Delay after which a retry may succeed, if known.
        retry: Option<time::Duration>,
    },
    /// The request may or may not have run; the caller has to check.
    Unknown {
        /// Why the outcome is unknown.
        reason: reason::Reason,
        /// Error message for the caller.
        detail: CompactString,
    },
}

impl Outcome {
    /// Outcome of a request that did not run.
    ///
    /// ```
    /// use mangotray::{outcome, reason};
    /// let refusal = outcome::Outcome::not_run(reason::Reason::Overload, "busy".into(), None);
    /// assert!(matches!(refusal, outcome::Outcome::NotRun { .. }));
    /// ```
    #[must_use]
    pub fn not_run(
        reason: reason::Reason,
        detail: CompactString,
        retry: Option<time::Duration>,
    ) -> Self {
        Self::NotRun {
            reason,
            detail,
            retry,
        }
    }

    /// Outcome of a request that may have run.
    ///
    /// ```
    /// use mangotray::{outcome, reason};
    /// let answer = outcome::Outcome::unknown(reason::Reason::Unconfirmed, "late".into());
    /// assert!(matches!(answer, outcome::Outcome::Unknown { .. }));
    /// ```
    #[must_use]
    pub fn unknown(reason: reason::Reason, detail: CompactString) -> Self {
        Self::Unknown { reason, detail }
    }
}
