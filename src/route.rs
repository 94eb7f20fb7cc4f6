//! Choice of the instance that serves a request.

use crate::board;
use crate::id;
use crate::stamp;

/// What is known of one instance at the moment of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Candidate {
    /// Index of the instance.
    pub index: id::Index,
    /// Last stamp seen of it, in its present incarnation.
    pub stamp: Option<stamp::Stamp>,
    /// Whether it answers and its circuit breaker lets requests pass.
    pub usable: bool,
    /// Whether it is on its way out of service.
    pub leaving: bool,
    /// Whether it is in the proxy's own failure domain.
    pub near: bool,
    /// Requests running or queued before it on this proxy.
    pub load: usize,
}

/// Why an instance was chosen; a stable, documented set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    /// The transaction runs there.
    Pinned,
    /// Writes go to the primary.
    Primary,
    /// A replica includes the caller's token.
    Token,
    /// A replica includes every write confirmed before the request.
    Sampled,
    /// A replica is within the declared age.
    Aged,
    /// No replica is fresh enough; the primary is.
    Fallback,
    /// The policy sends all such requests to the primary.
    Policy,
}

impl Why {
    /// Name used in logs and metrics.
    ///
    /// ```
    /// assert_eq!(mangotray::route::Why::Sampled.name(), "sampled");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Pinned => "pinned",
            Self::Primary => "primary",
            Self::Token => "token",
            Self::Sampled => "sampled",
            Self::Aged => "aged",
            Self::Fallback => "fallback",
            Self::Policy => "policy",
        }
    }
}

/// Chooses the instance for a read that must include `floor`: a replica where one is
/// fresh enough, since the primary's slots are needed for writes; the least loaded
/// first, the nearer one among equals.
///
/// ```
/// use mangotray::{route, stamp};
/// let floor = stamp::Stamp::new(1, 4);
/// assert_eq!(route::read(floor, None, &[]), None);
/// ```
#[must_use]
pub fn read(
    floor: stamp::Stamp,
    leader: Option<board::Leader>,
    candidates: &[Candidate],
) -> Option<id::Index> {
    let is_primary = |index| leader.is_some_and(|leader| leader.index == index);
    candidates
        .iter()
        .filter(|candidate| candidate.usable && !candidate.leaving)
        .filter(|candidate| candidate.stamp.is_some_and(|stamp| stamp >= floor))
        .min_by_key(|candidate| {
            let primary = is_primary(candidate.index);
            (primary, candidate.load, !candidate.near, candidate.index)
        })
        .map(|candidate| candidate.index)
}

#[cfg(test)]
mod tests;
