//! How long replicas usually stand still before they move on.
//!
//! A fixed limit for a stalled replication would be either slow where replicas follow
//! within milliseconds or hasty where they follow within a second.

use std::time;

use crate::board;
use crate::id;

/// Part of the estimate that is kept when a shorter wait is seen.
const DECAY: f64 = 0.98;

/// Waits that a stall must last, as a multiple of the estimate.
const STALL_FACTOR: u32 = 4;

/// Longest stall limit, whatever the replicas' lag: a primary that is cut off has to be
/// replaced within the users' 12 s all the same.
const MAX_STALL_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Running estimate of the longest time during which no replica moved.
///
/// One replica that follows is enough to confirm writes, so a single slow or restarted
/// one must not lengthen the limit.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Estimate {
    standing: Option<id::Time>,
    longest: time::Duration,
}

impl Estimate {
    /// Takes a look at the board; call it often enough to see each wait end.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::{board, lag};
    /// let mut estimate = lag::Estimate::default();
    /// estimate.update(&board::Board::new(3), Duration::from_secs(1));
    /// assert_eq!(estimate.stall_limit(Duration::from_secs(1)), Duration::from_secs(1));
    /// ```
    pub fn update(&mut self, board: &board::Board, now: id::Time) {
        let standing = stalled_since(board);
        if let Some(since) = self.standing.filter(|_| self.standing != standing) {
            let wait = now.saturating_sub(since);
            self.longest = wait.max(self.longest.mul_f64(DECAY));
        }
        self.standing = standing;
    }

    /// Stand-still that counts as a stall: at least `least`, more where replicas
    /// are known to be slower.
    #[must_use]
    pub fn stall_limit(&self, least: time::Duration) -> time::Duration {
        least.max((self.longest * STALL_FACTOR).min(MAX_STALL_LIMIT))
    }
}

/// Since when every replica that answers has stood still behind the leader.
fn stalled_since(board: &board::Board) -> Option<id::Time> {
    let leader = board.leader()?.index;
    let seen = board.seen().iter().enumerate();
    let followers = seen.filter(|(index, seen)| *index != leader && seen.failures == 0);
    let since: Option<Vec<_>> = followers.map(|(_, seen)| seen.behind).collect();
    since?.into_iter().max()
}

#[cfg(test)]
mod tests;
