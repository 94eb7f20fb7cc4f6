//! Questions and answers between nodes, apart from the relaying of statements.

use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::delegate;
use crate::limits::buckets;
use crate::limits::lease;
use crate::limits::tokens;
use crate::position;
use crate::seal;

/// A question to another node.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Question {
    /// Asks for a read floor of a group.
    Floor(delegate::Request),
    /// Asks which configuration is the newest, preferably by proof that is no older than this.
    Newest(time::Duration),
    /// Requests a token of an organisation.
    Token(buckets::Request),
    /// Asks for the highest position that the node has passed on as acknowledged in a group.
    Acknowledged(id::Group),
    /// Asks about a share of a shard's limits. Only for members with protocol 1 or more, as the
    /// next one.
    Share(lease::Request),
    /// Requests tokens of an organisation from a node that holds shares of its limit.
    Tokens(tokens::Request),
    /// Requests that a group's term be sealed. Only for members with protocol 2 or more.
    Seal(seal::Request),
    /// Like `Newest`, and asks for the store's position. Only for members with protocol 3 or more.
    Position(time::Duration),
}

/// An answer; its variant follows from the question.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// The node has no answer.
    Nothing,
    /// A read floor.
    Floor(delegate::Response),
    /// The newest configuration that the node knows.
    Newest(Newest),
    /// Decision about a token request.
    Token(buckets::Decision),
    /// The highest acknowledged position that the node knows.
    Acknowledged(stamp::Stamp),
    /// Answer about a share.
    Share(lease::Response),
    /// Decision about a request for tokens.
    Tokens(tokens::Decision),
    /// The term is sealed.
    Sealed(seal::Response),
    /// The newest configuration and the store's position.
    Position(Newest, Told),
}

/// Proof that a configuration was the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Newest {
    /// Version of the configuration.
    pub version: id::Revision,
    /// Age of the proof at the time when the question arrived.
    pub ago: time::Duration,
}

/// The last position of the store that a node was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Told {
    /// The position.
    pub position: position::Position,
    /// Age, at the time when the question arrived, of a moment before which the store had nothing
    /// later.
    pub ago: time::Duration,
}

impl Told {
    /// The moment on the clock of the node that sent the question at `sent`; never later than the true
    /// one, as for [`Newest::moment`].
    ///
    /// ```
    /// use mangotray_desk::{position, question};
    /// use std::time::Duration;
    /// let position = position::Position { era: 1, revision: 7 };
    /// let told = question::Told { position, ago: Duration::from_millis(300) };
    /// assert_eq!(told.moment(Duration::from_secs(9)), Duration::from_millis(8700));
    /// ```
    #[must_use]
    pub const fn moment(&self, sent: id::Time) -> id::Time {
        sent.saturating_sub(self.ago)
    }
}

impl Newest {
    /// Time of the proof on the clock of the node that sent the question at `sent`. It is never
    /// later than the true time, as the question arrived after it was sent.
    ///
    /// ```
    /// use mangotray_desk::question;
    /// use std::time::Duration;
    /// let newest = question::Newest { version: 7, ago: Duration::from_millis(300) };
    /// assert_eq!(newest.moment(Duration::from_secs(9)), Duration::from_millis(8700));
    /// ```
    #[must_use]
    pub const fn moment(&self, sent: id::Time) -> id::Time {
        sent.saturating_sub(self.ago)
    }
}
