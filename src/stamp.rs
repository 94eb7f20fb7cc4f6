//! Position of a record in a group's log, comparable across terms.

use std::fmt;
use std::str;

use crate::id;

/// Term of the last applied record and its position, ordered lexicographically.
///
/// The term is that of the *record*, never the fence of the instance: an instance that has joined a
/// later term but still has an unrepaired log must not appear newer than it is.
///
/// ```
/// use mangotray::stamp;
/// let old: stamp::Stamp = "3/900".parse().unwrap();
/// let new: stamp::Stamp = "5/12".parse().unwrap();
/// assert!(old < new);
/// assert_eq!(new.to_string(), "5/12");
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Stamp {
    /// Term of the last applied record.
    pub term: id::Term,
    /// Position of that record.
    pub position: id::Position,
}

impl Stamp {
    /// Creates a stamp from a term and a position.
    ///
    /// ```
    /// assert_eq!(mangotray::stamp::Stamp::new(2, 7).position, 7);
    /// ```
    #[must_use]
    pub const fn new(term: id::Term, position: id::Position) -> Self {
        Self { term, position }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.position)
    }
}

impl str::FromStr for Stamp {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        let (term, position) = text
            .split_once('/')
            .ok_or_else(|| eyre::eyre!("stamp {text:?} is not of the form TERM/POSITION"))?;
        Ok(Self::new(term.parse()?, position.parse()?))
    }
}
