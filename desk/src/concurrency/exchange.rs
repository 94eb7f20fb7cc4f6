//! One exchange with an instance, as the limit and the expected times learn from it.

use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::concurrency::kind;
use crate::reply;
use crate::upstream;

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The command was run.
    Done,
    /// The instance had no capacity for the command.
    Refused,
    /// No answer arrived, or the instance gave up: its time is at least the time waited for it.
    Lost,
    /// The command failed for a reason that tells nothing about load.
    Failed,
}

impl Outcome {
    /// The outcome of a command that was answered by `reply`.
    ///
    /// ```
    /// use mangotray_desk::{concurrency::exchange, reply};
    /// let busy = reply::Reply::error(reply::Code::Busy, "full", reply::State::Idle);
    /// assert_eq!(exchange::Outcome::of(&busy), exchange::Outcome::Refused);
    /// let done = reply::Reply::done(reply::State::Idle);
    /// assert_eq!(exchange::Outcome::of(&done), exchange::Outcome::Done);
    /// ```
    #[must_use]
    pub const fn of(reply: &reply::Reply) -> Self {
        match reply.code() {
            None => Self::Done,
            Some(reply::Code::Busy) => Self::Refused,
            Some(reply::Code::Timeout) => Self::Lost,
            Some(_) => Self::Failed,
        }
    }
}

/// One exchange with an instance.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// Kind of its command.
    pub kind: kind::Kind,
    /// Time from sending to the answer, or to the end of the wait for it.
    pub took: time::Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// As many statements ran as the limit allows.
    pub full: bool,
    /// Number of other statements of this node that ran when it was sent.
    pub others: usize,
}

/// The beginning of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// When the commands were sent.
    pub sent: id::Time,
    /// Position that the instance was known to have applied then.
    pub applied: stamp::Stamp,
    /// Priority of the commands.
    pub priority: u8,
    /// Number of other statements of this node that ran then.
    pub others: usize,
}

impl Start {
    /// The exchange that ended at `now` with this result; `None` if it says nothing, as nothing was
    /// sent. The last command is the one that the others prepare.
    #[must_use]
    pub fn end(
        &self,
        now: id::Time,
        commands: &[upstream::Command],
        result: &Result<Vec<reply::Reply>, upstream::Failure>,
    ) -> Option<Exchange> {
        let (reply, outcome) = match result {
            Ok(replies) => (replies.last(), Outcome::of(replies.last()?)),
            Err(failure) if failure.sent => (None, Outcome::Lost),
            Err(_) => return None,
        };
        Some(Exchange {
            kind: kind::Kind::of(commands.last()?, reply, self.priority, self.applied),
            took: now.saturating_sub(self.sent),
            outcome,
            full: false,
            others: self.others,
        })
    }
}
