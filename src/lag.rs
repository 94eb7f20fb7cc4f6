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
const FACTOR: u32 = 4;

/// Running estimate of the longest wait of any replica.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Estimate {
    behind: Vec<Option<id::Time>>,
    longest: time::Duration,
}

impl Estimate {
    /// Takes a look at the board; call it often enough to see each wait end.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::{board, lag};
    /// let mut estimate = lag::Estimate::default();
    /// estimate.look(&board::Board::new(3), Duration::from_secs(1));
    /// assert_eq!(estimate.stall(Duration::from_secs(1)), Duration::from_secs(1));
    /// ```
    pub fn look(&mut self, board: &board::Board, now: id::Time) {
        let seen: Vec<_> = board.seen().iter().map(|seen| seen.behind).collect();
        let ended = self
            .behind
            .iter()
            .zip(&seen)
            .filter(|(old, new)| old != new);
        let waits = ended.filter_map(|(old, _)| old.map(|since| now.saturating_sub(since)));
        for wait in waits {
            self.longest = wait.max(self.longest.mul_f64(DECAY));
        }
        self.behind = seen;
    }

    /// Stand-still that counts as a stall: at least `least`, more where replicas
    /// are known to be slower.
    #[must_use]
    pub fn stall(&self, least: time::Duration) -> time::Duration {
        least.max(self.longest * FACTOR)
    }
}

#[cfg(test)]
mod tests;
