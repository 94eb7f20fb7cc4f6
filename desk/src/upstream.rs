//! Border to the instances of a group.

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
use crate::organisation;
use crate::reply;
use crate::statement;
use crate::urgency;

/// Id of an instance; a replacement at the same address has another one.
pub type Id = CompactString;

/// When an instance's process started, in Unix milliseconds; 0 where that is not told. One
/// that starts again under its id holds and knows nothing of before.
pub type StartTime = u64;

/// Where and whom to call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Target {
    /// Address of the instance.
    pub address: net::SocketAddr,
    /// Its group.
    pub group: id::Group,
    /// Its id, so that a newcomer at a used address refuses the connection.
    pub id: Id,
    /// When its process started.
    pub born: StartTime,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Statements that it works on at once.
    pub slots: usize,
    /// In whose name the connection is opened; it serves nobody else.
    pub organisation: organisation::Name,
    /// Any instance of the group at this address is meant: one that has ended listened there, and the id of
    /// its successor is not known.
    pub any: bool,
}

/// One command to an instance.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// A caller's statement, unchanged, optionally only at or after a position.
    Run {
        /// The caller's id.
        id: statement::Id,
        /// The caller's words.
        text: CompactString,
        /// Position that the instance's log must hold.
        after: Option<stamp::Stamp>,
    },
    /// A caller's prepared statement under the name that it has on this connection.
    Execute {
        /// The caller's id.
        id: statement::Id,
        /// Name on the connection.
        handle: CompactString,
        /// Item, and data where it writes.
        arguments: CompactString,
        /// Position that the instance's log must hold.
        after: Option<stamp::Stamp>,
    },
    /// Opens a transaction, as its caller asked for.
    Begin {
        /// The caller's id.
        id: statement::Id,
        /// It only reads.
        read_only: bool,
        /// Position that the instance's log must hold.
        after: Option<stamp::Stamp>,
    },
    /// Drops the open transaction.
    Rollback {
        /// The caller's id, where it was the caller that asked.
        id: Option<statement::Id>,
    },
    /// Sets a value.
    Set {
        /// Its name.
        name: statement::Name,
        /// The value.
        value: CompactString,
    },
    /// Prepares a shape under a name of the connection.
    Prepare {
        /// Name on the connection.
        handle: CompactString,
        /// What it does.
        shape: statement::Shape,
    },
    /// Clears values and prepared statements.
    Reset,
    /// Asks for the instance's [`Status`].
    Status,
    /// Stops a replica from receiving records of terms below this one.
    Hold(id::Term),
    /// Ends a hold.
    Resume,
    /// Turns a primary of a lower term into a replica.
    Demote(id::Term),
}

/// What an instance tells about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Role as it sees itself.
    pub role: role::Role,
    /// Newest term that it knows.
    pub term: id::Term,
    /// Last record received, applied or not.
    pub received: stamp::Stamp,
    /// Term of the hold, 0 without one.
    pub held: id::Term,
    /// How much it has to do.
    pub load: Load,
}

/// How much an instance has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Time after which it will have applied what it has received, as it reckons: it grows at
    /// once when a record will take long, and counts down.
    pub lag: time::Duration,
}

/// Why an exchange gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Failure {
    /// Some byte of the commands may have arrived.
    pub sent: bool,
    /// They waited behind others until their time to begin was over.
    pub crowded: bool,
    /// For a human.
    pub detail: CompactString,
}

/// Why no connection came about.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Refusal {
    /// All connections of the instance are taken.
    Full,
    /// Another instance is there now.
    Wrong,
    /// Nobody answers, or not in time.
    Silent(CompactString),
    /// The address refuses connections: the process is not there.
    Closed,
}

/// An open connection to an instance.
pub trait Connection {
    /// Sends all commands in one write and awaits all answers. The urgency matters where
    /// another node runs the commands and has a queue of its own; the organisation where it lends
    /// connections of several.
    ///
    /// # Errors
    /// When the connection broke before the last answer was whole.
    fn run<'a>(
        &'a mut self,
        commands: &'a [Command],
        urgency: urgency::Urgency,
        organisation: &'a organisation::Name,
    ) -> future::LocalBoxFuture<'a, Result<Vec<reply::Reply>, Failure>>;

    /// Whether the far end is still there, as far as a look without waiting can tell.
    fn alive(&mut self) -> bool;

    /// Whether commands that set values cannot fail on their own.
    fn set_always_succeeds(&self) -> bool {
        false
    }

    /// Whether it serves any organisation, as it leads to a node that lends connections of each.
    fn serves_any_organisation(&self) -> bool {
        false
    }

    /// How long the instance may answer nothing before it is suspected.
    fn silence_timeout(&self) -> time::Duration;

    /// When the far end last told that it is at work on what was sent, if it tells such a thing.
    fn heartbeat(&self) -> Option<Heartbeat> {
        None
    }
}

/// The time of a connection's last heartbeat, to be read while commands run on it.
pub type Heartbeat = rc::Rc<cell::Cell<id::Time>>;

/// Held while a connection is being opened.
pub type Permit = async_lock::SemaphoreGuardArc;

/// A fresh connection and where the instance's log stood.
pub type Dialled = (Box<dyn Connection>, Option<stamp::Stamp>);

/// Opens connections.
pub trait Dialer {
    /// Connects and names the instance that is meant.
    ///
    /// # Errors
    /// When there is no connection to that very instance.
    fn dial<'a>(
        &'a self,
        target: &'a Target,
    ) -> future::LocalBoxFuture<'a, Result<Dialled, Refusal>>;

    /// The right to open one more connection now: a node that opens many at once takes the time of those
    /// that are to answer.
    fn permit(&self) -> future::LocalBoxFuture<'_, Option<Permit>> {
        Box::pin(future::ready(None))
    }

    /// Nodes that share the instances with this one, itself included.
    fn node_count(&self) -> usize {
        1
    }

    /// Whether a connection of this node's own is a last resort, which others may need more: it is closed
    /// once it has served.
    fn is_last_resort(&self, _target: &Target) -> bool {
        false
    }

    /// Asks the node that keeps a group's floors for one; none where this node has to look itself.
    fn request_floor<'a>(
        &'a self,
        _ask: &'a delegate::Request,
    ) -> future::LocalBoxFuture<'a, Option<delegate::Response>> {
        Box::pin(future::ready(None))
    }

    /// Reads the row that answers [`Command::Status`], [`Command::Hold`] and [`Command::Demote`].
    fn status(&self, reply: &reply::Reply) -> Option<Status>;
}
