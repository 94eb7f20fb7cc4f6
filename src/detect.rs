//! Failure detection of a primary.
//!
//! A false suspicion causes an unnecessary failover but never loses a write, since safety rests on
//! terms and majorities alone. The limits therefore favour fast detection.

use std::time;

use crate::board;
use crate::id;

/// Failure detector of a primary, with its limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Detector {
    /// Time without an answer after which a primary is suspected.
    #[serde(with = "humantime_serde")]
    pub silence: time::Duration,
    /// Number of failed probes required in addition, so that a pause of this proxy's own process,
    /// after which all answers are old, causes no suspicion.
    pub failures: u32,
    /// Time for which all replicas may be behind the primary without advancing; a minimum, which
    /// `lag` raises for groups with slower replicas.
    #[serde(with = "humantime_serde")]
    pub stall: time::Duration,
}

impl Default for Detector {
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
    /// The primary does not answer.
    Silent,
    /// No instance is primary.
    Vacant,
    /// The primary answers, but its writes reach no replica.
    Stalled,
    /// A replica is fenced above the primary's term and rejects its log.
    FencedOff,
    /// The operators are taking the primary out of service.
    Leaving,
}

/// Result of the failure detector for the primary of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The primary works, or there is not enough evidence of a failure yet.
    Healthy,
    /// Fewer than a majority of instances answer; this proxy itself may be cut off.
    Blind,
    /// The primary should be replaced.
    Suspect(Cause),
}

impl Detector {
    /// Assesses the primary of a group from the observations at time `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::{board, detect};
    /// let board = board::Board::new(3);
    /// let verdict = detect::Detector::default().assess(&board, Duration::from_secs(9));
    /// assert_eq!(verdict, detect::Verdict::Blind);
    /// ```
    #[must_use]
    pub fn assess(&self, board: &board::Board, now: id::Time) -> Verdict {
        let recent = now.saturating_sub(self.silence);
        if !board.reachable(recent) {
            return Verdict::Blind;
        }
        let Some(leader) = board.leader() else {
            return Verdict::Suspect(Cause::Vacant);
        };
        let instance = &board.instances()[leader.index];
        let heard = instance.last.map_or(id::Time::ZERO, |last| last.finished);
        if heard < recent && instance.failures >= self.failures {
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

    /// Returns whether all replicas have been behind the primary without advancing for `stall`.
    ///
    /// Detects a primary that is cut off only from its replicas: its probes succeed, but no write
    /// can be confirmed. Replicas that lag but advance do not count.
    fn stalled(&self, board: &board::Board, leader: board::Leader, now: id::Time) -> bool {
        board
            .instances()
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != leader.index)
            .all(|(_, instance)| {
                instance
                    .behind
                    .is_some_and(|since| since + self.stall <= now)
            })
    }

    /// Returns whether a replica is fenced above the primary's term and has not advanced for
    /// `stall`.
    ///
    /// An abandoned promotion leaves the replicas that it fenced in this state: they reject the
    /// primary's log until a new term begins, and the group has fewer copies than it seems to have.
    fn fenced_off(&self, board: &board::Board, leader: board::Leader, now: id::Time) -> bool {
        board.instances().iter().any(|instance| {
            let fence = instance.last.map(|last| last.status.fence);
            let still = instance
                .behind
                .is_some_and(|since| since + self.stall <= now);
            instance.failures == 0 && fence > Some(leader.term) && still
        })
    }
}

#[cfg(test)]
mod tests;
