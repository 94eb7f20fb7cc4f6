//! Failure detection of a primary.
//!
//! A wrong suspicion costs a needless change of primary, never a write: safety rests
//! on terms and majorities alone. So the rule is tuned for a short gap.

use std::time;

use crate::board;
use crate::id;

/// Limits of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Rule {
    /// Silence of a primary after which it is suspected.
    #[serde(with = "humantime_serde")]
    pub silence: time::Duration,
    /// Failed probes needed besides, so that a pause of this proxy itself, which
    /// makes every answer look old at once, suspects nobody.
    pub failures: u32,
    /// Time that replicas may stand still behind their primary; the least, where
    /// replicas are known to be slower, see `lag`.
    #[serde(with = "humantime_serde")]
    pub stall: time::Duration,
}

impl Default for Rule {
    fn default() -> Self {
        Self {
            silence: time::Duration::from_millis(350),
            failures: 3,
            stall: time::Duration::from_millis(800),
        }
    }
}

/// Why a primary is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It does not answer.
    Silent,
    /// No instance leads.
    Vacant,
    /// It answers, but its writes reach no replica.
    Stalled,
    /// A replica is fenced above its term and refuses its log.
    FencedOff,
    /// The operators are taking it out of service.
    Leaving,
}

/// What the observations say about the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It leads, or there is not yet enough to doubt it.
    Healthy,
    /// Too few instances answer here to replace anybody; this proxy may be the one cut off.
    Blind,
    /// It should be replaced.
    Suspect(Cause),
}

impl Rule {
    /// Judges the primary of a group.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::{board, detect};
    /// let board = board::Board::new(3);
    /// let verdict = detect::Rule::default().judge(&board, Duration::from_secs(9));
    /// assert_eq!(verdict, detect::Verdict::Blind);
    /// ```
    #[must_use]
    pub fn judge(&self, board: &board::Board, now: id::Time) -> Verdict {
        let recent = now.saturating_sub(self.silence);
        if !board.reachable(recent) {
            return Verdict::Blind;
        }
        let Some(leader) = board.leader() else {
            return Verdict::Suspect(Cause::Vacant);
        };
        let seen = &board.seen()[leader.index];
        let heard = seen.last.map_or(id::Time::ZERO, |last| last.finished);
        if heard < recent && seen.failures >= self.failures {
            return Verdict::Suspect(Cause::Silent);
        }
        if self.stalled(board, leader, now) {
            return Verdict::Suspect(Cause::Stalled);
        }
        if self.fenced_off(board, leader, now) {
            return Verdict::Suspect(Cause::FencedOff);
        }
        Verdict::Healthy
    }

    /// A primary cut off from its replicas alone still answers this proxy, and every
    /// probe of it succeeds while no write can be confirmed. One notices that all
    /// replicas answer and stand still behind it. Replicas that lag but move do not
    /// count as standing still.
    fn stalled(&self, board: &board::Board, leader: board::Leader, now: id::Time) -> bool {
        board
            .seen()
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != leader.index)
            .all(|(_, seen)| seen.behind.is_some_and(|since| since + self.stall <= now))
    }

    /// A promotion that was given up after it had fenced a replica leaves that replica
    /// refusing the leader's log for good, and the group with one copy fewer than it
    /// seems to have. One notices by its fence, above the leader's term, and by its
    /// standing still. Only a new term brings it back.
    fn fenced_off(&self, board: &board::Board, leader: board::Leader, now: id::Time) -> bool {
        board.seen().iter().any(|seen| {
            let fence = seen.last.map(|last| last.status.fence);
            let still = seen.behind.is_some_and(|since| since + self.stall <= now);
            seen.failures == 0 && fence > Some(leader.term) && still
        })
    }
}

#[cfg(test)]
mod tests;
