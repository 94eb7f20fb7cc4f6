//! Interface to the instances of a group: commands, status, and connections.

use std::cell;
use std::net;
use std::rc;
use std::time;

use compact_str::CompactString;
use futures_util::future;
use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::delegate;
use crate::load::forecast;
use crate::load::options;
use crate::organisation;
use crate::reply;
use crate::statement;
use crate::urgency;

/// Id of an instance; a replacement at the same address has a different id.
pub type Id = CompactString;

/// Start time of an instance's process in Unix milliseconds; 0 if unknown. An instance that
/// restarts under the same id has lost its hold and its knowledge of terms.
pub type StartTime = u64;

/// The instance that a connection is opened to.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// Address of the instance.
    pub address: net::SocketAddr,
    /// Group of the instance.
    pub group: id::Group,
    /// Id of the instance, so that a different instance at the same address refuses the connection.
    pub id: Id,
    /// Start time of its process.
    pub born: StartTime,
    /// Failure domain of the instance.
    pub domain: id::Domain,
    /// Number of statements that it executes concurrently.
    pub slots: usize,
    /// The organisation that the connection is opened for; it serves no other.
    pub organisation: organisation::Name,
    /// Whether any instance of the group at this address is accepted: used after an instance at the
    /// address has ended and the id of its successor is not known.
    pub any: bool,
}

/// A command to an instance.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// A caller's statement, unchanged; optionally executed only at or after a position.
    Run {
        /// Statement id given by the caller.
        id: statement::Id,
        /// Text of the statement.
        text: CompactString,
        /// Position that the instance's log must contain.
        after: Option<stamp::Stamp>,
    },
    /// A caller's prepared statement, by its name on this connection.
    Execute {
        /// Statement id given by the caller.
        id: statement::Id,
        /// Name on the connection.
        handle: CompactString,
        /// The item, and the data for a write.
        arguments: CompactString,
        /// Position that the instance's log must contain.
        after: Option<stamp::Stamp>,
    },
    /// Begins a transaction for a caller.
    Begin {
        /// Statement id given by the caller.
        id: statement::Id,
        /// Whether it only reads.
        read_only: bool,
        /// Position that the instance's log must contain.
        after: Option<stamp::Stamp>,
    },
    /// Rolls back the open transaction.
    Rollback {
        /// Statement id given by the caller, if the caller requested the rollback.
        id: Option<statement::Id>,
    },
    /// Sets a session value.
    Set {
        /// Name of the session value.
        name: statement::Name,
        /// The value.
        value: CompactString,
    },
    /// Prepares a statement under a name on the connection.
    Prepare {
        /// Name on the connection.
        handle: CompactString,
        /// The statement.
        shape: statement::Shape,
    },
    /// Clears session values and prepared statements.
    Reset,
    /// Asks for the instance's [`Status`].
    Status,
    /// Holds a replica: it stops receiving records of terms below this one.
    Hold(id::Term),
    /// Ends the hold.
    Resume,
    /// Demotes a primary of a lower term to replica.
    Demote(id::Term),
}

/// The status that an instance reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Role, by the instance's own account.
    pub role: role::Role,
    /// Newest term that the instance knows of.
    pub term: id::Term,
    /// Last record received, applied or not.
    pub received: stamp::Stamp,
    /// Term of the hold, 0 without one.
    pub held: id::Term,
    /// Load of the instance.
    pub load: Load,
}

/// The load of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Estimated time until the instance has applied all received records: rises at once when a
    /// record is expected to take long, then counts down.
    pub lag: time::Duration,
}

/// Why commands got no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Failure {
    /// Whether any byte of the commands may have reached the instance.
    pub sent: bool,
    /// Whether they waited in a queue until their start deadline had passed.
    pub crowded: bool,
    /// Description for logs.
    pub detail: CompactString,
}

/// Why a connection could not be opened.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// All connections of the instance are in use.
    Full,
    /// A different instance listens at the address.
    Wrong,
    /// No answer, or not in time.
    Silent(CompactString),
    /// The address refuses connections: the process is not running.
    Closed,
}

/// An open connection to an instance.
pub trait Connection {
    /// Sends all commands in one write and waits for all answers. The urgency matters if another
    /// node executes the commands and queues them itself; the organisation, if that node lends
    /// connections of several organisations.
    ///
    /// # Errors
    /// Returns a [`Failure`] if the connection broke before the last answer was complete.
    fn run<'a>(
        &'a mut self,
        commands: &'a [Command],
        urgency: urgency::Urgency,
        organisation: &'a organisation::Name,
    ) -> future::LocalBoxFuture<'a, Result<Vec<reply::Reply>, Failure>>;

    /// Whether the peer is still connected, as far as a non-blocking check can tell.
    fn alive(&mut self) -> bool;

    /// Whether [`Command::Set`] can't fail on its own.
    fn set_always_succeeds(&self) -> bool {
        false
    }

    /// Whether the connection serves every organisation, as it leads to a node that lends
    /// connections of each.
    fn serves_any_organisation(&self) -> bool {
        false
    }

    /// How long the instance may stay silent before it is suspected to have failed.
    fn silence_timeout(&self) -> time::Duration;

    /// Time of the last heartbeat that the peer sent while it was processing commands; `None` if
    /// the peer sends no heartbeats.
    fn heartbeat(&self) -> Option<Heartbeat> {
        None
    }
}

/// The time of a connection's last heartbeat, shared so that it can be read while commands run on
/// the connection.
pub type Heartbeat = rc::Rc<cell::Cell<id::Time>>;

/// A permit to open a connection; held while the connection is being opened.
pub type Permit = async_lock::SemaphoreGuardArc;

/// A new connection, and the position of the instance's log.
pub type Dialled = (Box<dyn Connection>, Option<stamp::Stamp>);

/// Opens connections.
pub trait Dialer {
    /// Connects to the instance given by `target`.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if no connection to that very instance can be opened.
    fn dial<'a>(
        &'a self,
        target: &'a Target,
    ) -> future::LocalBoxFuture<'a, Result<Dialled, Refusal>>;

    /// Waits for a permit to open one more connection: a node that opens many at once slows down
    /// those that have to answer. `None` if connections are not limited.
    fn permit(&self) -> future::LocalBoxFuture<'_, Option<Permit>> {
        Box::pin(future::ready(None))
    }

    /// Decisions under load that are switched on for pools of connections that it opens.
    fn load_options(&self) -> options::Options {
        options::Options::default()
    }

    /// Time of an exchange with `target` that a lending node has reported lately, if any.
    fn exchange(&self, _target: &Target) -> Option<time::Duration> {
        None
    }

    /// What the last load report on an instance lets expect of a statement that is sent now; `None`
    /// without a fresh report.
    fn forecast(&self, _target: &Target) -> Option<forecast::Forecast> {
        None
    }

    /// Whether the retries of statements for an instance are limited by a budget of this node.
    fn limits_retries(&self, _target: &Target) -> bool {
        false
    }

    /// Counts a statement, which adds to the budget of retries.
    fn note_statement(&self) {}

    /// Takes a retry from the budget; `false` if it is used up.
    fn take_retry(&self) -> bool {
        true
    }

    /// Number of nodes that share the instances, including this one.
    fn node_count(&self) -> usize {
        1
    }

    /// Whether a few nodes hold all connections to `target` and lend them to the others.
    fn is_shared(&self, _target: &Target) -> bool {
        false
    }

    /// Whether this node's own connections to `target` are a last resort, to be closed after use,
    /// as other nodes may need them more.
    fn is_last_resort(&self, _target: &Target) -> bool {
        false
    }

    /// Requests a floor from the delegate of this node's failure domain; `None` if this node has to
    /// query the instances itself.
    fn request_floor<'a>(
        &'a self,
        _request: &'a delegate::Request,
    ) -> future::LocalBoxFuture<'a, Option<delegate::Response>> {
        Box::pin(future::ready(None))
    }

    /// Parses the row that answers [`Command::Status`], [`Command::Hold`] and [`Command::Demote`].
    fn status(&self, reply: &reply::Reply) -> Option<Status>;
}
