//! Length of failovers, as one proxy sees them.

use std::time;

use crate::board;
use crate::id;

/// Measures the time without a primary between one term and the next.
///
/// It counts from the last moment at which the old primary was seen to lead with a
/// replica that followed, to the first sight of the primary of a higher term. Probes
/// have intervals, so the result is longer than the true gap by up to one of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Meter {
    term: id::Term,
    healthy: Option<id::Time>,
}

impl Meter {
    /// Takes the present observations; gives the length of a gap that has just ended.
    ///
    /// ```
    /// use mangotray::{board, gap};
    /// let mut meter = gap::Meter::default();
    /// assert_eq!(meter.update(&board::Board::new(3)), None);
    /// ```
    pub fn update(&mut self, board: &board::Board) -> Option<time::Duration> {
        let leader = board.leader()?;
        let seen = board.seen()[leader.index].last?.finished;
        let before = self.healthy.filter(|_| leader.term > self.term);
        if leader.term < self.term {
            return None;
        }
        self.term = leader.term;
        self.healthy = self
            .healthy
            .max(Some(last_followed(board, leader.index, seen)));
        before.map(|before| seen.saturating_sub(before))
    }
}

/// A primary that no replica follows answers, but confirms nothing: its gap begins
/// when the last replica stood still, not when it was replaced.
fn last_followed(board: &board::Board, leader: id::Index, seen: id::Time) -> id::Time {
    let replicas = board.seen().iter().enumerate();
    let replicas = replicas.filter(|(index, _)| *index != leader);
    let stopped = replicas
        .map(|(_, replica)| replica.behind)
        .reduce(|one, other| Some(one?.max(other?)));
    stopped.flatten().map_or(seen, |stopped| stopped.min(seen))
}

#[cfg(test)]
mod tests;
