//! Estimate of how long replicas stay behind the primary before they advance.
//!
//! A fixed limit for stalled replication would be too long for groups whose replicas follow within
//! milliseconds, or too short for groups whose replicas follow within a second.

use std::time;

use crate::board;
use crate::id;

/// Factor by which the estimate decays when a shorter wait is observed.
const DECAY: f64 = 0.98;

/// Ratio of the stall limit to the estimate.
const STALL_FACTOR: u32 = 4;

/// Upper bound of the stall limit derived from the estimate: with any lag a primary that is cut off
/// has to be replaced within the 12 s that the users require.
const MAX_STALL_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Running estimate of the longest time during which no replica advanced.
///
/// One following replica is enough to confirm writes, so a single slow or restarted replica must
/// not raise the limit.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Estimate {
    /// Time since which all answering replicas have been behind without advancing; `None` if they
    /// are not.
    standing: Option<id::Time>,
    longest: time::Duration,
}

impl Estimate {
    /// Updates the estimate; has to be called often enough to observe the end of each wait.
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

    /// Time without progress of the replicas that counts as a stall: at least `least`, more for
    /// groups with slower replicas.
    #[must_use]
    pub fn stall_limit(&self, least: time::Duration) -> time::Duration {
        least.max((self.longest * STALL_FACTOR).min(MAX_STALL_LIMIT))
    }
}

/// Returns the time since which all answering replicas have been behind without advancing.
fn stalled_since(board: &board::Board) -> Option<id::Time> {
    let leader = board.leader()?.index;
    let instances = board.instances().iter().enumerate();
    let followers =
        instances.filter(|(index, instance)| *index != leader && instance.failures == 0);
    let since: Option<Vec<_>> = followers.map(|(_, instance)| instance.behind).collect();
    since?.into_iter().max()
}

#[cfg(test)]
mod tests;
