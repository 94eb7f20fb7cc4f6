//! Decides whether a batch may be sent to another member of the serving set (the proxies that
//! serve the group) after an attempt at one peer.

use std::time;

use crate::class;
use crate::dial;
use crate::outcome;
use crate::peer;
use crate::reason;

/// Delay before all members of a serving set are tried again.
pub const ROUND_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Result of an attempt at one peer.
pub type Attempt = Result<peer::Answer, dial::Failure>;

/// Next step after an attempt for a batch outside of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is final.
    Done(peer::Answer),
    /// Another member may be tried; if there is none, this outcome is final.
    TryNext(outcome::Outcome),
}

impl Verdict {
    /// Evaluates an attempt. Another member may be tried only if the batch is known not to have
    /// run, or if it only reads: a write that was sent may have run, whichever way its
    /// connection failed.
    ///
    /// ```
    /// use mangotray::{class, dial, resend};
    /// let lost = || Err(dial::Failure::Lost);
    /// let write = resend::Verdict::new(class::Class::Write, lost());
    /// assert!(matches!(write, resend::Verdict::Done(Err(_))));
    /// let read = resend::Verdict::new(class::Class::Read, lost());
    /// assert!(matches!(read, resend::Verdict::TryNext(_)));
    /// ```
    #[must_use]
    pub fn new(class: class::Class, attempt: Attempt) -> Self {
        let reads = matches!(class, class::Class::Read | class::Class::BeginRead);
        match attempt {
            Ok(Err(outcome)) if allows_next_member(&outcome) => Self::TryNext(outcome),
            Ok(answer) => Self::Done(answer),
            Err(dial::Failure::Unsent) => Self::TryNext(no_server()),
            Err(dial::Failure::Lost) if reads => {
                Self::TryNext(unknown_outcome(dial::Failure::Lost))
            }
            Err(failure) => Self::Done(Err(unknown_outcome(failure))),
        }
    }
}

/// Whether an attempt shows that the peer no longer has the session, and that a transaction open
/// in it has therefore ended.
///
/// ```
/// use mangotray::{dial, resend};
/// assert!(resend::session_ended(&Err(dial::Failure::Lost)));
/// assert!(resend::session_ended(&Ok(Err(resend::no_server()))));
/// ```
#[must_use]
pub fn session_ended(attempt: &Attempt) -> bool {
    match attempt {
        Ok(Err(outcome)) => is_refused_for(outcome, reason::Reason::NoServer),
        Ok(Ok(_)) => false,
        Err(_) => true,
    }
}

/// Whether a peer refused only because it doesn't serve the group or is draining, so that
/// another member may run the batch.
///
/// ```
/// use mangotray::resend;
/// assert!(resend::allows_next_member(&resend::no_server()));
/// assert!(!resend::allows_next_member(&resend::transaction_lost()));
/// ```
#[must_use]
pub fn allows_next_member(outcome: &outcome::Outcome) -> bool {
    is_refused_for(outcome, reason::Reason::NoServer)
        || is_refused_for(outcome, reason::Reason::Draining)
}

fn is_refused_for(outcome: &outcome::Outcome, wanted: reason::Reason) -> bool {
    matches!(outcome, outcome::Outcome::NotRun { reason, .. } if *reason == wanted)
}

/// Refusal of a batch because no member could be reached or none accepted it.
#[must_use]
pub fn no_server() -> outcome::Outcome {
    outcome::Outcome::NotRun {
        reason: reason::Reason::NoServer,
        detail: "no proxy that serves the group could be reached".into(),
        retry: Some(ROUND_PAUSE),
    }
}

/// Refusal of a batch whose transaction was lost with its connection.
#[must_use]
pub fn transaction_lost() -> outcome::Outcome {
    outcome::Outcome::NotRun {
        reason: reason::Reason::ConnectionLost,
        detail: "the transaction was lost with its connection and rolled back".into(),
        retry: None,
    }
}

/// Outcome of a batch that was sent but not answered; it may have run.
#[must_use]
pub fn unknown_outcome(failure: dial::Failure) -> outcome::Outcome {
    let (reason, detail) = match failure {
        dial::Failure::Expired => (reason::Reason::Deadline, "the peer did not answer in time"),
        dial::Failure::Lost | dial::Failure::Unsent => (
            reason::Reason::ConnectionLost,
            "the connection to the peer was lost",
        ),
    };
    outcome::Outcome::Unknown {
        reason,
        detail: detail.into(),
    }
}

#[cfg(test)]
mod tests;
