//! A connection that is checked out of a pool.

use std::rc;
use std::time;

use compact_str::CompactString;
use mangotray::id;

use crate::boot;
use crate::connection;
use crate::organisation;
use crate::pool;
use crate::reply;
use crate::room::transactions;
use crate::statement;
use crate::upstream;
use crate::urgency;
use crate::wait;

/// Most prepared statements on one connection. A connection with this many is reset before its next
/// use outside of a transaction, which bounds its memory.
const MAX_PREPARED: usize = 256;

/// A shorter wait without an answer does not show that the instance is silent. A statement that has
/// queued in this node has little time left. If the end of that time counted as silence, the
/// connections to an instance that is merely busy would be closed, and the instance would be
/// avoided for 200 ms. Above the longest execution (220 ms) and half of a full queue (160 ms).
const MIN_CONCLUSIVE_WAIT: time::Duration = time::Duration::from_millis(300);

/// Handling of commands whose instance is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OnSilence {
    /// Wait until the deadline, for commands that may already have taken effect.
    Wait,
    /// Give up, for commands without lasting effect that another instance can run.
    GiveUp,
}

/// A connection that is checked out of a pool; returned when dropped.
pub struct Checkout {
    pool: rc::Rc<pool::Pool>,
    urgency: urgency::Urgency,
    connection: Option<connection::Connection>,
    /// When it was checked out.
    since: id::Time,
    /// Place of the transaction that it is used for, where these are bounded.
    place: Option<transactions::Place>,
    broken: bool,
    /// A transaction is open on the connection.
    in_transaction: bool,
    /// [`Checkout::setup_commands`] recorded values as set that have not been sent yet.
    setup_pending: bool,
}

impl Checkout {
    /// Checks out `connection`, which goes back to `pool` when this is dropped.
    #[must_use]
    pub(crate) fn new(
        pool: rc::Rc<pool::Pool>,
        connection: connection::Connection,
        urgency: urgency::Urgency,
    ) -> Self {
        Self {
            pool,
            urgency,
            connection: Some(connection),
            since: boot::now(),
            place: None,
            broken: false,
            in_transaction: false,
            setup_pending: false,
        }
    }

    /// Returns the pool that the connection belongs to.
    #[must_use]
    pub const fn pool(&self) -> &rc::Rc<pool::Pool> {
        &self.pool
    }

    /// Keeps the place of a transaction for as long as the connection is checked out.
    pub(crate) fn occupy(&mut self, place: Option<transactions::Place>) {
        self.place = place;
    }

    /// Sets the urgency of the next commands.
    pub const fn set_urgency(&mut self, urgency: urgency::Urgency) {
        self.urgency = urgency;
    }

    /// Returns the commands that set a session's values on the connection and prepare one
    /// statement, without what is already set or prepared on it. They have to be sent next: values
    /// are recorded as set at once. A statement is recorded as prepared when the instance has
    /// confirmed it.
    ///
    /// With `in_transaction`, a transaction is open and the connection cannot be reset.
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
            && !connection.handles.contains(handle)
        {
            commands.push(upstream::Command::Prepare {
                handle: handle.clone(),
                shape: shape.clone(),
            });
        }
        self.setup_pending |= !commands.is_empty();
        commands
    }

    /// Runs commands until `deadline`; the connection must not be used any more after a failure.
    /// Replies to commands that set values may be left out.
    ///
    /// # Errors
    /// Returns an error if some replies did not arrive.
    pub async fn run(
        &mut self,
        commands: &[upstream::Command],
        deadline: id::Time,
    ) -> Result<Vec<reply::Reply>, upstream::Failure> {
        self.run_with(commands, deadline, OnSilence::Wait).await
    }

    /// Like [`Checkout::run`], for commands without lasting effect that another instance can run:
    /// gives up once the instance has answered no request of this node for a while.
    ///
    /// # Errors
    /// Returns an error if some replies did not arrive.
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
        self.note_running(true);
        let connection = self.connection.as_ref();
        let organisation = connection.map_or(organisation::OWN, |connection| {
            connection.organisation.clone()
        });
        let Some(_permit) = self.pool.acquire_permit(urgency, &organisation).await else {
            return Err(upstream::Failure {
                crowded: true,
                ..unsent("no turn in time")
            });
        };
        let Some(connection) = &mut self.connection else {
            return Err(unsent("the connection is gone"));
        };
        let sent = boot::now();
        let setup_len = setup_len(&*connection.link, commands, self.in_transaction);
        let (setup, statements) = commands.split_at(setup_len);
        // Broken until the exchange is complete: if this future is dropped before that, an unread reply
        // stays on the connection, and the next request would take it for its own.
        self.broken = true;
        if !setup.is_empty() {
            let replies = wait::until(
                deadline,
                connection
                    .link
                    .run(setup, urgency, &connection.organisation),
            )
            .await;
            let done = |replies: &Vec<reply::Reply>| replies.iter().all(reply::Reply::is_done);
            let Some(replies) = replies.and_then(Result::ok).filter(done) else {
                return Err(unsent("the session's state could not be set"));
            };
            connection.note_prepared(setup, &replies);
        }
        let start = self.pool.begin_exchange(urgency.priority);
        let result = exchange(connection, &self.pool, statements, urgency, on_silence).await;
        self.pool.note_exchange(&start, statements, &result);
        // If a relaying node could not run the commands, its answer has been read completely.
        self.broken = result.as_ref().is_err_and(|failure| failure.sent);
        let replies = result?;
        self.setup_pending = false;
        connection.note_prepared(statements, &replies);
        connection.used = boot::now();
        self.note_running(false);
        self.pool.note_replies(sent, &replies);
        self.update_state(replies.last());
        Ok(replies)
    }

    fn note_running(&self, running: bool) {
        if let Some(place) = &self.place {
            place.set_running(running);
        }
    }

    fn update_state(&mut self, reply: Option<&reply::Reply>) {
        let open = reply.is_some_and(|reply| reply.state != reply::State::Idle);
        match (self.in_transaction, open) {
            (false, true) => self.pool.pin(),
            (true, false) => self.pool.unpin(),
            _ => {}
        }
        self.in_transaction = open;
    }

    /// Forgets which statements are prepared on the connection, for use after the instance did not
    /// know one of them.
    pub fn forget(&mut self) {
        if let Some(connection) = &mut self.connection {
            connection.handles.clear();
        }
    }

    /// Marks the connection as unusable, so that it is closed instead of returned to the pool.
    pub fn discard(&mut self) {
        self.broken = true;
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        // A request can be dropped or time out while it waits for a permit. Without the mark, the
        // next user's statements would run with values that were never set.
        connection.dirty |= self.setup_pending;
        // A request that is dropped between two statements leaves its transaction open, and the
        // next user's statements would run inside of it.
        let reusable = !self.broken && !self.in_transaction;
        if self.in_transaction {
            self.pool.unpin();
        }
        self.pool.settle(&connection.organisation, self.since);
        self.pool.release(reusable.then_some(connection));
    }
}

// Sends commands and awaits the replies. An instance that stays silent is suspected before the
// deadline.
async fn exchange(
    connection: &mut connection::Connection,
    pool: &rc::Rc<pool::Pool>,
    commands: &[upstream::Command],
    urgency: urgency::Urgency,
    on_silence: OnSilence,
) -> Result<Vec<reply::Reply>, upstream::Failure> {
    let sent = boot::now();
    let silence = connection.link.silence_timeout();
    let heartbeat = connection.link.heartbeat();
    let mut exchange = connection
        .link
        .run(commands, urgency, &connection.organisation);
    let last_heard = loop {
        let last_heard = heartbeat
            .as_ref()
            .map_or(sent, |heartbeat| heartbeat.get().max(sent));
        let until = urgency.awaited.min(last_heard + silence);
        if let Some(result) = wait::until(until, &mut exchange).await {
            return result;
        }
        let heartbeat_received = heartbeat
            .as_ref()
            .is_some_and(|heartbeat| heartbeat.get() > last_heard);
        if !heartbeat_received || boot::now() >= urgency.awaited {
            break last_heard;
        }
    };
    let conclusive = boot::now() >= last_heard + MIN_CONCLUSIVE_WAIT.min(silence);
    let silent = conclusive && pool.suspect_if_silent_since(last_heard, &connection.organisation);
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

// Number of leading commands that have to succeed before the rest is sent: all up to the last one
// that sets or resets values, or prepares a statement inside a transaction. An instance that fails
// some of its requests may fail these too. It would then run the statement after them with the
// values of another session, or answer that it does not know a statement whose preparation the
// caller was told of. Outside a transaction, an unknown statement is prepared and sent again.
fn setup_len(
    link: &dyn upstream::Connection,
    commands: &[upstream::Command],
    in_transaction: bool,
) -> usize {
    if link.set_always_succeeds() {
        return 0;
    }
    let precedes = |command: &upstream::Command| match command {
        upstream::Command::Set { .. } | upstream::Command::Reset => true,
        upstream::Command::Prepare { .. } => in_transaction,
        _ => false,
    };
    commands
        .iter()
        .rposition(precedes)
        .map_or(0, |last| last + 1)
}

fn unsent(detail: &str) -> upstream::Failure {
    upstream::Failure {
        sent: false,
        crowded: false,
        detail: detail.into(),
    }
}
