//! Messages between proxies: forwarded work, configuration and observations.

use std::sync;
use std::sync::atomic;
use std::time;

use compact_str::CompactString;
use futures_util::future;

use crate::batch;
use crate::class;
use crate::evidence;
use crate::frame;
use crate::id;
use crate::lane;
use crate::outcome;
use crate::reply;
use crate::roster;
use crate::spread;
use crate::stamp;
use crate::witness;

/// Identifier of a forwarded session, chosen by the client and unique on its connection.
pub type Session = u64;

/// Sequence number of a run within its session; increases with each run and is never reused.
pub type Sequence = u64;

/// Maximum time left of a forwarded batch; longer times are reduced to it.
pub const MAX_TIME_LEFT: time::Duration = time::Duration::from_hours(24);

pub use service::{Peer, PeerClient, PeerRequest, PeerResponse};

mod service {
    #![allow(missing_docs, clippy::pedantic)]

    use super::{Digest, News, Run, Session, Suspect};
    use crate::outcome;
    use crate::reply;

    /// Calls that a proxy answers for other proxies.
    #[tarpc::service]
    pub trait Peer {
        /// Runs a batch in a session of the caller's connection.
        async fn run(run: Run) -> Result<reply::Reply, outcome::Outcome>;
        /// Closes a session and rolls back its open transaction, if any.
        async fn close(session: Session);
        /// Exchanges the caller's digest for the peer's news.
        async fn exchange(digest: Digest) -> News;
        /// Pushes news without waiting for the next exchange.
        async fn announce(news: News);
        /// Whether the peer also suspects the primary of that term.
        async fn suspects(suspect: Suspect) -> bool;
        /// Checks that the connection works in both directions.
        async fn ping();
    }
}

/// Operations that the server side of a peer connection needs from the proxy.
pub trait Handler: Send + Sync {
    /// Lanes into the groups that this proxy serves itself.
    fn lanes(&self) -> sync::Arc<dyn lane::Factory>;

    /// Answers a peer's exchange; omits the configuration text if the peer already has it.
    fn exchange(&self, digest: Digest) -> future::BoxFuture<'_, News>;

    /// Handles news pushed by a peer.
    fn announce(&self, news: News) -> future::BoxFuture<'_, ()>;

    /// Whether this proxy suspects the primary of that term.
    fn suspects(&self, suspect: &Suspect) -> bool;
}

/// One batch of a forwarded session.
///
/// Monotonic times of different processes are not comparable, so the message carries the time
/// left, which the receiver counts from the receipt of the message.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Run {
    /// Identifier of the session on this connection.
    pub session: Session,
    /// Database for which the session is opened; set on its first run only.
    pub open: Option<CompactString>,
    /// Sequence number of the run in its session.
    pub sequence: Sequence,
    /// Time left until the deadline.
    pub remaining: time::Duration,
    /// Request number for the logs.
    pub request: id::Request,
    /// Identifier of the caller's session.
    pub caller: u64,
    /// Frames to send.
    pub frames: Vec<frame::Frame>,
    /// Class of the statements.
    pub class: class::Class,
    /// Whether the batch mixes transaction control with other statements.
    pub mixed: bool,
    /// Tables that the statements read.
    pub tables: Vec<CompactString>,
    /// Stamp that the answer must include.
    pub token: Option<stamp::Stamp>,
    /// Stamp of the session's own last write.
    pub own: Option<stamp::Stamp>,
    /// Records at the sender whether the message was encoded for sending; encoded as a unit.
    pub mark: Transmission,
}

impl Run {
    /// Prepares a batch for sending at time `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::{batch, class, peer};
    /// let batch = batch::Batch {
    ///     mixed: false,
    ///     own: None,
    ///     request: 1, caller: 7, frames: vec![], class: class::Class::Read, tables: vec![], token: None,
    ///     arrived: Duration::from_secs(100), deadline: Duration::from_secs(103),
    /// };
    /// let run = peer::Run::new(&batch, Duration::from_secs(101));
    /// let received = run.batch(Duration::from_secs(7));
    /// assert_eq!(received.caller, 7);
    /// assert_eq!(received.arrived, Duration::from_secs(7));
    /// assert_eq!(received.deadline, Duration::from_secs(9));
    /// ```
    #[must_use]
    pub fn new(batch: &batch::Batch, now: id::Time) -> Self {
        Self {
            session: 0,
            open: None,
            sequence: 0,
            remaining: batch.deadline.saturating_sub(now).min(MAX_TIME_LEFT),
            request: batch.request,
            caller: batch.caller,
            frames: batch.frames.clone(),
            class: batch.class,
            mixed: batch.mixed,
            tables: batch.tables.clone(),
            token: batch.token,
            own: batch.own,
            mark: Transmission::default(),
        }
    }

    /// Converts to a batch that was received at time `now` of the receiver's clock.
    #[must_use]
    pub fn batch(self, now: id::Time) -> batch::Batch {
        batch::Batch {
            mixed: self.mixed,
            request: self.request,
            caller: self.caller,
            frames: self.frames,
            class: self.class,
            tables: self.tables,
            token: self.token,
            own: self.own,
            arrived: now,
            deadline: now + self.remaining.min(MAX_TIME_LEFT),
        }
    }
}

const WAITING: u8 = 0;
const WRITTEN: u8 = 1;
const ABANDONED: u8 = 2;

/// Shared state of a message that tells its sender whether the message was written to the
/// connection.
///
/// When a connection breaks or the deadline passes, the sender must know whether the batch can
/// still run: after a wrong "not run" the caller could run it twice. Encoding the message sets
/// the state to "written"; encoding an abandoned message fails. Only the first of the two
/// transitions succeeds.
#[derive(Clone, Debug, Default)]
pub struct Transmission(sync::Arc<atomic::AtomicU8>);

impl Transmission {
    /// Abandons the message; returns whether no part of it was or ever will be sent.
    ///
    /// ```
    /// let mark = mangotray::peer::Transmission::default();
    /// assert!(mark.abandon());
    /// assert!(postcard::to_stdvec(&mark).is_err());
    ///
    /// let mark = mangotray::peer::Transmission::default();
    /// assert!(postcard::to_stdvec(&mark).is_ok());
    /// assert!(!mark.abandon());
    /// ```
    #[must_use]
    pub fn abandon(&self) -> bool {
        self.transition(ABANDONED)
    }

    fn transition(&self, to: u8) -> bool {
        let order = atomic::Ordering::AcqRel;
        let result = self
            .0
            .compare_exchange(WAITING, to, order, atomic::Ordering::Acquire);
        result.is_ok() || result == Err(to)
    }
}

impl serde::Serialize for Transmission {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if !self.transition(WRITTEN) {
            return Err(serde::ser::Error::custom(
                "the message was abandoned by its sender",
            ));
        }
        serializer.serialize_unit()
    }
}

impl<'de> serde::Deserialize<'de> for Transmission {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        <() as serde::Deserialize>::deserialize(deserializer)?;
        Ok(Self::default())
    }
}

/// Request of a proxy for a peer's news, with a summary of its own state.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// Requesting process; the request counts as its heartbeat.
    pub sign: evidence::Heartbeat,
    /// Report on the asking proxy's configuration; `None` if only the witness report is requested.
    pub report: Option<spread::Report>,
    /// Age and checksum of the roster that the asking proxy holds, if any.
    pub roster: Option<roster::Digest>,
}

/// A proxy's current state, sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct News {
    /// Sending process; the message counts as its heartbeat.
    pub sign: evidence::Heartbeat,
    /// Configuration that the sender holds, with the text if the receiver lacks it.
    pub answer: spread::Answer,
    /// Roster that the sender holds, if it is newer than the receiver's.
    pub roster: Option<roster::Update>,
    /// Primaries known to the sender.
    pub primaries: Vec<Primary>,
    /// The sender's report on its contact with the platform's store.
    pub witness: witness::Report,
    /// Primaries that the sender suspects.
    pub suspects: Vec<Suspect>,
}

/// The primary of one group.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Primary {
    /// Group of the primary.
    pub group: id::Group,
    /// Index of its instance.
    pub instance: id::Index,
    /// Term in which it is the primary.
    pub term: id::Term,
}

/// A primary that is suspected to have failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Suspect {
    /// Group of the suspected primary.
    pub group: id::Group,
    /// Term in which it became the primary.
    pub term: id::Term,
}

/// Answer to a run.
pub type Answer = Result<reply::Reply, outcome::Outcome>;
