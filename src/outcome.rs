//! What became of a request that has no ordinary answer.

use std::time;

use compact_str::CompactString;

use crate::reason;

/// Refusal of a request. A request that was answered has a `reply::Reply` instead.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request surely did not run and never will.
    NotRun {
        /// Why it was refused.
        reason: reason::Reason,
        /// Words for the caller.
        detail: CompactString,
        /// Earliest time worth trying again, when known.
        retry: Option<time::Duration>,
    },
    /// The request may or may not have run; the caller has to look.
    Unknown {
        /// Why it cannot be told.
        reason: reason::Reason,
        /// Words for the caller.
        detail: CompactString,
    },
}

impl Outcome {
    /// A refusal of work that surely did not run.
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

    /// An answer for work that may have run.
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
