//! What nodes ask each other, other than to run statements.

use std::time;

use mangotray::id;

use crate::buckets;
use crate::delegate;

/// A question.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Question {
    /// For a floor.
    Floor(delegate::Request),
    /// Which configuration is the newest, by evidence that is no older than this, if possible.
    Newest(time::Duration),
    /// For a token of an organisation.
    Token(buckets::Request),
}

/// An answer; the question says of which kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Answer {
    /// The node has nothing to tell.
    Nothing,
    /// A floor.
    Floor(delegate::Response),
    /// The newest configuration, as far as the node knows.
    Newest(Newest),
    /// About an operation.
    Token(buckets::Decision),
}

/// Evidence that a configuration was the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Newest {
    /// Its version.
    pub version: id::Revision,
    /// How long ago that was so when the question arrived.
    pub ago: time::Duration,
}

impl Newest {
    /// The moment on the clock of the node that sent the question at `sent`: no later than the true
    /// one, as the question arrived after it was sent.
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
