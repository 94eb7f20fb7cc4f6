//! Calls between the proxies: forwarded work, configuration and observations.

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

/// Number of a forwarded session, unique on its connection and drawn by the client.
pub type Session = u64;

/// Number of a run within its session; grows with each run and is never reused.
pub type Sequence = u64;

/// Longest time a forwarded batch may have left; longer ones are cut to it.
pub const MAX_TIME_LEFT: time::Duration = time::Duration::from_hours(24);

pub use service::{Peer, PeerClient, PeerRequest, PeerResponse};

mod service {
    #![allow(missing_docs, clippy::pedantic)]

    use super::{Digest, News, Run, Session, Suspect};
    use crate::outcome;
    use crate::reply;

    /// What a proxy does for another proxy.
    #[tarpc::service]
    pub trait Peer {
        /// Runs a batch in a session of the caller's connection.
        async fn run(run: Run) -> Result<reply::Reply, outcome::Outcome>;
        /// Ends a session; an open transaction is rolled back.
        async fn close(session: Session);
        /// Tells what this side knows and learns what the other knows.
        async fn exchange(digest: Digest) -> News;
        /// Pushes news that cannot wait for the next exchange.
        async fn announce(news: News);
        /// Whether the peer, too, sees the primary of that term as failed.
        async fn suspects(suspect: Suspect) -> bool;
        /// Shows that the connection is alive in both directions.
        async fn ping();
    }
}

/// What the serving side of a peer connection needs from the rest of the proxy.
pub trait Handler: Send + Sync {
    /// Lanes into the groups that this proxy serves itself.
    fn switch(&self) -> sync::Arc<dyn lane::Switch>;

    /// Answers a peer's exchange; leaves the text out when the peer already has it.
    fn exchange(&self, digest: Digest) -> future::BoxFuture<'_, News>;

    /// Takes in news pushed by a peer.
    fn announce(&self, news: News) -> future::BoxFuture<'_, ()>;

    /// Whether this proxy sees the primary of that term as failed.
    fn suspects(&self, suspect: &Suspect) -> bool;
}

/// One batch of a forwarded session.
///
/// Times of one process mean nothing to another, so only the time left travels;
/// the receiver counts it from the moment it got the message.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Run {
    /// Session on this connection.
    pub session: Session,
    /// Database to open the session for, on its first run.
    pub open: Option<CompactString>,
    /// Place of the run in its session.
    pub sequence: Sequence,
    /// Time until the deadline.
    pub remaining: time::Duration,
    /// Number for the logs.
    pub request: id::Request,
    /// Number of the caller's session.
    pub caller: u64,
    /// Frames to send.
    pub frames: Vec<frame::Frame>,
    /// What the statements need.
    pub class: class::Class,
    /// Whether it mixes transaction control with other statements.
    pub mixed: bool,
    /// Tables that the statements read.
    pub tables: Vec<CompactString>,
    /// Stamp that the answer must include.
    pub token: Option<stamp::Stamp>,
    /// Last stamp that the session itself has written.
    pub own: Option<stamp::Stamp>,
    /// Records at the sender whether the message has left.
    pub mark: Mark,
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
            mark: Mark::default(),
        }
    }

    /// The batch as the receiver sees it, got at time `now` of its own clock.
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

/// Settles between the sender of a message and the task that writes it whether the
/// message has left.
///
/// When a connection breaks or the deadline passes, the sender must know if the
/// batch can still run: a wrong "not run" would let the caller run it twice. The
/// mark turns to "written" when the message is encoded, and a message whose sender
/// has given up refuses to be encoded.
#[derive(Clone, Debug, Default)]
pub struct Mark(sync::Arc<atomic::AtomicU8>);

impl Mark {
    /// Gives the message up; true when nothing of it was or ever will be sent.
    ///
    /// ```
    /// let mark = mangotray::peer::Mark::default();
    /// assert!(mark.abandon());
    /// assert!(postcard::to_stdvec(&mark).is_err());
    ///
    /// let mark = mangotray::peer::Mark::default();
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

impl serde::Serialize for Mark {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if !self.transition(WRITTEN) {
            return Err(serde::ser::Error::custom("the sender has given up"));
        }
        serializer.serialize_unit()
    }
}

impl<'de> serde::Deserialize<'de> for Mark {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        <() as serde::Deserialize>::deserialize(deserializer)?;
        Ok(Self::default())
    }
}

/// What a proxy says about itself when it asks for news.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// The asking process; the question is a heartbeat.
    pub sign: evidence::Sign,
    /// Configuration held there; `None` when only the testimony is asked for.
    pub report: Option<spread::Report>,
    /// Roster held there, if any.
    pub roster: Option<roster::Mark>,
}

/// What a proxy knows that its peers may want to know.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct News {
    /// The telling process; the news is a heartbeat.
    pub sign: evidence::Sign,
    /// Configuration held there, with the text when the receiver lacks it.
    pub answer: spread::Answer,
    /// Roster held there, if it is fresher than the receiver's.
    pub roster: Option<roster::Update>,
    /// Primaries that it knows.
    pub primaries: Vec<Primary>,
    /// What the sender testifies about its contact with the platform's store.
    pub witness: witness::Report,
    /// Primaries that it sees as failed.
    pub suspects: Vec<Suspect>,
}

/// The primary of one group.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Primary {
    /// Group that it leads.
    pub group: id::Group,
    /// Which instance it is.
    pub instance: id::Index,
    /// Term that it leads in.
    pub term: id::Term,
}

/// A primary that is seen as failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Suspect {
    /// Group that it led.
    pub group: id::Group,
    /// Term that it led in.
    pub term: id::Term,
}

/// Answer to a run.
pub type Answer = Result<reply::Reply, outcome::Outcome>;
