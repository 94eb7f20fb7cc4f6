//! Duration of failovers as observed by one proxy.

use std::time;

use crate::board;
use crate::id;

/// Measures the time without a working primary between one term and the next.
///
/// The gap starts when the old primary was last observed with a replica that followed it, and ends
/// when the primary of a higher term is first observed. The result exceeds the real gap by up to
/// one probe interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Meter {
    /// Highest term of which a primary was observed.
    term: id::Term,
    /// Time until which a replica followed the current primary.
    last_followed_at: Option<id::Time>,
}

impl Meter {
    /// Evaluates the current observations; returns the length of a gap that has just ended.
    ///
    /// ```
    /// use mangotray::{board, gap};
    /// let mut meter = gap::Meter::default();
    /// assert_eq!(meter.update(&board::Board::new(3)), None);
    /// ```
    pub fn update(&mut self, board: &board::Board) -> Option<time::Duration> {
        let leader = board.leader()?;
        let answered_at = board.instances()[leader.index].last?.finished;
        let before = self.last_followed_at.filter(|_| leader.term > self.term);
        if leader.term < self.term {
            return None;
        }
        self.term = leader.term;
        self.last_followed_at =
            self.last_followed_at
                .max(Some(last_followed(board, leader.index, answered_at)));
        before.map(|before| answered_at.saturating_sub(before))
    }
}

/// Returns the time until which a replica followed the primary, at most `answered_at`. A primary
/// without following replicas still answers but confirms no writes, so its gap starts when the last
/// replica stopped advancing, not when the primary was replaced.
fn last_followed(board: &board::Board, leader: id::Index, answered_at: id::Time) -> id::Time {
    let replicas = board.instances().iter().enumerate();
    let replicas = replicas.filter(|(index, _)| *index != leader);
    let stopped = replicas
        .map(|(_, replica)| replica.behind)
        .reduce(|one, other| Some(one?.max(other?)));
    stopped
        .flatten()
        .map_or(answered_at, |stopped| stopped.min(answered_at))
}

#[cfg(test)]
mod tests;
