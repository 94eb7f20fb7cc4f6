//! How far the content of the store that a node follows is behind.
//!
//! Nodes follow instances, members and records by watches, whose answers may be seconds old, and
//! decide on them as if they were new. Some node of the failure domain asks the store for its present
//! position all the time. A node that hears of a position and has not followed up to it some time
//! later knows that its watches are behind.

use std::collections;
use std::time;

use mangotray::id;

use crate::position;

/// Number of positions that are kept until they are followed.
const MAX_TOLD: usize = 32;

/// Positions of the store, and how far a node has followed them.
///
/// ```
/// use mangotray_desk::{coverage, position::Position};
/// use std::time::Duration;
/// let (seconds, at) = (Duration::from_secs, |revision| Position { era: 1, revision });
/// let mut coverage = coverage::Coverage::default();
/// coverage.note_followed(at(5));
/// coverage.note_told(at(7), seconds(10));
/// coverage.note_told(at(9), seconds(11));
/// assert_eq!(coverage.lag(seconds(12)), seconds(2));
/// coverage.note_followed(at(8));
/// assert_eq!(coverage.lag(seconds(12)), seconds(1));
/// coverage.note_followed(at(9));
/// assert_eq!(coverage.lag(seconds(12)), seconds(0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    /// Up to where all changes have been applied; `None` before the first list and while the store is
    /// out of reach.
    followed: Option<position::Position>,
    /// Positions that are not followed yet, in order, each with a moment at which the store had
    /// nothing later.
    told: collections::VecDeque<(id::Time, position::Position)>,
    /// The last of all positions told, with its moment.
    newest: Option<(id::Time, position::Position)>,
}

impl Coverage {
    /// Notes that all changes up to `position` have been applied.
    pub fn note_followed(&mut self, position: position::Position) {
        self.followed = Some(position);
        self.told.retain(|(_, told)| *told > position);
    }

    /// Notes that the store is out of reach; the list that ends this includes all changes.
    pub fn note_lost(&mut self) {
        self.followed = None;
    }

    /// Up to where all changes have been applied; `None` before the first list and while the store is
    /// out of reach.
    #[must_use]
    pub const fn followed(&self) -> Option<position::Position> {
        self.followed
    }

    /// Notes that the store's changes before `moment` are those up to `position`.
    pub fn note_told(&mut self, position: position::Position, moment: id::Time) {
        if self.newest.is_some_and(|(known, _)| known >= moment) {
            return;
        }
        self.newest = Some((moment, position));
        if Some(position) > self.followed && self.told.len() < MAX_TOLD {
            self.told.push_back((moment, position));
        }
    }

    /// The last position told, and the moment before which the store had nothing later.
    #[must_use]
    pub const fn newest(&self) -> Option<(id::Time, position::Position)> {
        self.newest
    }

    /// For how long changes are known to be missing.
    #[must_use]
    pub fn lag(&self, now: id::Time) -> time::Duration {
        let oldest = self.told.front().map(|(moment, _)| *moment);
        oldest.map_or(time::Duration::ZERO, |oldest| now.saturating_sub(oldest))
    }
}
