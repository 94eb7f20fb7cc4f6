//! Decision whether a batch may be sent once more after an attempt at a peer.

use std::time;

use crate::class;
use crate::dial;
use crate::outcome;
use crate::peer;
use crate::reason;

/// Pause before the members of a serving set are tried once more.
pub const PAUSE: time::Duration = time::Duration::from_millis(50);

/// What an attempt at one peer came to.
pub type Attempt = Result<peer::Answer, dial::Failure>;

/// What to do after an attempt outside of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer is final.
    Done(peer::Answer),
    /// Another member may be tried; the outcome stands when there is none.
    Next(outcome::Outcome),
}

impl Verdict {
    /// Judges an attempt. Only what surely did not run, or only reads, may run at
    /// another member: a write that was sent may have run, however its connection broke.
    ///
    /// ```
    /// use mangotray::{class, dial, resend};
    /// let lost = || Err(dial::Failure::Lost);
    /// let write = resend::Verdict::new(class::Class::Write, lost());
    /// assert!(matches!(write, resend::Verdict::Done(Err(_))));
    /// let read = resend::Verdict::new(class::Class::Read, lost());
    /// assert!(matches!(read, resend::Verdict::Next(_)));
    /// ```
    #[must_use]
    pub fn new(class: class::Class, attempt: Attempt) -> Self {
        let reads = matches!(class, class::Class::Read | class::Class::BeginRead);
        match attempt {
            Ok(Err(outcome)) if allows_next_member(&outcome) => Self::Next(outcome),
            Ok(answer) => Self::Done(answer),
            Err(dial::Failure::Unsent) => Self::Next(no_server()),
            Err(dial::Failure::Lost) if reads => Self::Next(unknown(dial::Failure::Lost)),
            Err(failure) => Self::Done(Err(unknown(failure))),
        }
    }
}

/// Whether an attempt shows that the peer no longer has the session, and with it an
/// open transaction.
///
/// ```
/// use mangotray::{dial, resend};
/// assert!(resend::ended(&Err(dial::Failure::Lost)));
/// assert!(resend::ended(&Ok(Err(resend::no_server()))));
/// ```
#[must_use]
pub fn ended(attempt: &Attempt) -> bool {
    match attempt {
        Ok(Err(outcome)) => is_refused_for(outcome, reason::Reason::NoServer),
        Ok(Ok(_)) => false,
        Err(_) => true,
    }
}

/// Whether a peer's refusal only means that another member has to be asked.
fn allows_next_member(outcome: &outcome::Outcome) -> bool {
    is_refused_for(outcome, reason::Reason::NoServer)
        || is_refused_for(outcome, reason::Reason::Draining)
}

fn is_refused_for(outcome: &outcome::Outcome, wanted: reason::Reason) -> bool {
    matches!(outcome, outcome::Outcome::NotRun { reason, .. } if *reason == wanted)
}

/// Refusal of a batch that no member could take.
#[must_use]
pub fn no_server() -> outcome::Outcome {
    outcome::Outcome::NotRun {
        reason: reason::Reason::NoServer,
        detail: "no proxy that serves the group could be reached".into(),
        retry: Some(PAUSE),
    }
}

/// Refusal of a batch whose transaction ended with its connection.
#[must_use]
pub fn lost() -> outcome::Outcome {
    outcome::Outcome::NotRun {
        reason: reason::Reason::ConnectionLost,
        detail: "the transaction was lost with its connection and rolled back".into(),
        retry: None,
    }
}

/// Outcome of a batch that was sent and not answered.
#[must_use]
pub fn unknown(failure: dial::Failure) -> outcome::Outcome {
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
