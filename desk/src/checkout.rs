//! A connection on loan from a pool.

use std::rc;
use std::time;

use compact_str::CompactString;
use mangotray::id;

use crate::boot;
use crate::connection;
use crate::pool;
use crate::reply;
use crate::statement;
use crate::upstream;
use crate::urgency;
use crate::wait;

/// Prepared statements that one connection keeps before it is cleared; bounds its memory.
const MAX_PREPARED: usize = 256;

/// An answer that did not come within less than this tells nothing about the instance. A
/// statement that has waited here has little time left; taking its end for silence would
/// close the connections to an instance that is merely busy, and shut it for 200 ms.
/// Above the longest work (220 ms) and half of a full queue (160 ms).
const MIN_CONCLUSIVE_WAIT: time::Duration = time::Duration::from_millis(300);

/// What becomes of commands whose instance is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OnSilence {
    /// They are awaited until their time is over: nobody knows whether they have run.
    Wait,
    /// They are given up: they leave nothing behind, and another instance may be asked.
    GiveUp,
}

/// A connection on loan; given back when dropped.
pub struct Checkout {
    pool: rc::Rc<pool::Pool>,
    urgency: urgency::Urgency,
    connection: Option<connection::Connection>,
    broken: bool,
    /// A transaction is open on it.
    open: bool,
    /// [`Checkout::setup_commands`] noted values as set that have not been sent.
    setup_pending: bool,
}

impl Checkout {
    /// Lends `connection` until the loan is dropped.
    #[must_use]
    pub(crate) const fn new(
        pool: rc::Rc<pool::Pool>,
        connection: connection::Connection,
        urgency: urgency::Urgency,
    ) -> Self {
        Self {
            pool,
            urgency,
            connection: Some(connection),
            broken: false,
            open: false,
            setup_pending: false,
        }
    }

    /// The pool that it came from.
    #[must_use]
    pub const fn pool(&self) -> &rc::Rc<pool::Pool> {
        &self.pool
    }

    /// Sets the urgency of the next commands.
    pub const fn set_urgency(&mut self, urgency: urgency::Urgency) {
        self.urgency = urgency;
    }

    /// Commands that bring the connection to a session's values and one prepared shape.
    ///
    /// `in_transaction` tells that a transaction is open, in which the connection cannot be cleared.
    pub fn setup_commands(
        &mut self,
        values: &connection::Values,
        shape: Option<(&CompactString, &statement::Shape)>,
        in_transaction: bool,
    ) -> Vec<upstream::Command> {
        let Some(connection) = &mut self.connection else {
            return Vec::new();
        };
        let mut commands = Vec::new();
        let foreign = connection
            .values
            .keys()
            .any(|name| !values.contains_key(name));
        if !in_transaction
            && (foreign || connection.dirty || connection.handles.len() >= MAX_PREPARED)
        {
            commands.push(upstream::Command::Reset);
            connection.values.clear();
            connection.handles.clear();
            connection.dirty = false;
        }
        for (name, value) in values {
            if connection.values.get(name) != Some(value) {
                connection.values.insert(name.clone(), value.clone());
                commands.push(upstream::Command::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        if let Some((handle, shape)) = shape
            && connection.handles.insert(handle.clone())
        {
            commands.push(upstream::Command::Prepare {
                handle: handle.clone(),
                shape: shape.clone(),
            });
        }
        self.setup_pending |= !commands.is_empty();
        commands
    }

    /// Runs commands until `deadline`; the connection is of no further use after a failure.
    /// Answers to commands that set values may be left out.
    ///
    /// # Errors
    /// When not all answers came.
    pub async fn run(
        &mut self,
        commands: &[upstream::Command],
        deadline: id::Time,
    ) -> Result<Vec<reply::Reply>, upstream::Failure> {
        self.run_with(commands, deadline, OnSilence::Wait).await
    }

    /// The same for commands that leave nothing behind and may be run elsewhere: they are given up once
    /// the instance has been silent to all for a while.
    ///
    /// # Errors
    /// When not all answers came.
    pub async fn run_unless_silent(
        &mut self,
        commands: &[upstream::Command],
        deadline: id::Time,
    ) -> Result<Vec<reply::Reply>, upstream::Failure> {
        self.run_with(commands, deadline, OnSilence::GiveUp).await
    }

    async fn run_with(
        &mut self,
        commands: &[upstream::Command],
        deadline: id::Time,
        on_silence: OnSilence,
    ) -> Result<Vec<reply::Reply>, upstream::Failure> {
        let urgency = urgency::Urgency {
            awaited: deadline,
            ..self.urgency
        };
        let Some(_permit) = self.pool.turn(urgency).await else {
            return Err(upstream::Failure {
                crowded: true,
                ..unsent("no turn in time")
            });
        };
        let Some(connection) = &mut self.connection else {
            return Err(unsent("the connection is gone"));
        };
        let sent = boot::now();
        let (values, statements) = commands.split_at(setup_len(&*connection.link, commands));
        // Broken until proven whole: a request that is dropped half way leaves an answer
        // on the connection that the next one would take for its own.
        self.broken = true;
        if !values.is_empty() {
            let replies = wait::until(
                deadline,
                connection
                    .link
                    .run(values, urgency, &connection.organisation),
            )
            .await;
            let done = |replies: Vec<reply::Reply>| replies.iter().all(reply::Reply::is_done);
            let values_set = replies.is_some_and(|replies| replies.is_ok_and(done));
            if !values_set {
                return Err(unsent("the session's values could not be set"));
            }
        }
        let result = exchange(connection, &self.pool, statements, urgency, on_silence).await;
        // Another node that could not run them has answered so in full.
        self.broken = result.as_ref().is_err_and(|failure| failure.sent);
        let replies = result?;
        self.setup_pending = false;
        connection.used = boot::now();
        self.pool.note_replies(sent, &replies);
        self.update_state(replies.last());
        Ok(replies)
    }

    fn update_state(&mut self, reply: Option<&reply::Reply>) {
        let open = reply.is_some_and(|reply| reply.state != reply::State::Idle);
        match (self.open, open) {
            (false, true) => self.pool.pin(),
            (true, false) => self.pool.unpin(),
            _ => {}
        }
        self.open = open;
    }

    /// Forgets what was prepared here, as after the instance no longer knew a name.
    pub fn forget(&mut self) {
        if let Some(connection) = &mut self.connection {
            connection.handles.clear();
        }
    }

    /// Marks the connection as of no further use.
    pub fn discard(&mut self) {
        self.broken = true;
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        // A request can be dropped, or give up, while it waits for its turn. The next
        // user's statements would run with values that were never set.
        connection.dirty |= self.setup_pending;
        // A request dropped between two statements leaves its transaction open: the next
        // user's statements would run inside it.
        let reusable = !self.broken && !self.open;
        if self.open {
            self.pool.unpin();
        }
        self.pool.release(reusable.then_some(connection));
    }
}

// Sends commands and awaits the answers; an instance that stays silent is suspected before
// the time is over.
async fn exchange(
    connection: &mut connection::Connection,
    pool: &rc::Rc<pool::Pool>,
    commands: &[upstream::Command],
    urgency: urgency::Urgency,
    on_silence: OnSilence,
) -> Result<Vec<reply::Reply>, upstream::Failure> {
    let sent = boot::now();
    let silence = connection.link.silence();
    let pulse = connection.link.pulse();
    let mut exchange = connection
        .link
        .run(commands, urgency, &connection.organisation);
    let heard = loop {
        let heard = pulse.as_ref().map_or(sent, |pulse| pulse.get().max(sent));
        let until = urgency.awaited.min(heard + silence);
        if let Some(result) = wait::until(until, &mut exchange).await {
            return result;
        }
        let heartbeat_received = pulse.as_ref().is_some_and(|pulse| pulse.get() > heard);
        if !heartbeat_received || boot::now() >= urgency.awaited {
            break heard;
        }
    };
    let conclusive = boot::now() >= heard + MIN_CONCLUSIVE_WAIT.min(silence);
    let silent = conclusive && pool.suspect_if_silent_since(heard, &connection.organisation);
    let gives_up = silent && on_silence == OnSilence::GiveUp;
    if !gives_up && let Some(result) = wait::until(urgency.awaited, exchange).await {
        return result;
    }
    Err(upstream::Failure {
        sent: true,
        crowded: false,
        detail: "no answer in time".into(),
    })
}

// How many of the commands set values, and must have succeeded before the rest is sent. An
// instance that fails part of its requests may fail these too, and would then run the
// statement behind them with somebody else's values.
fn setup_len(link: &dyn upstream::Connection, commands: &[upstream::Command]) -> usize {
    if link.sets_surely() {
        return 0;
    }
    let sets = |command: &upstream::Command| {
        matches!(
            command,
            upstream::Command::Set { .. } | upstream::Command::Reset
        )
    };
    commands.iter().rposition(sets).map_or(0, |last| last + 1)
}

fn unsent(detail: &str) -> upstream::Failure {
    upstream::Failure {
        sent: false,
        crowded: false,
        detail: detail.into(),
    }
}
