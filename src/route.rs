//! Choice of the instance that serves a read, and the reasons that a choice is logged with.
//!
//! A read has a floor: the stamp (term and log position) that an instance must have reached to
//! answer it. Any usable instance at or above the floor may serve the read.

use crate::board;
use crate::id;
use crate::stamp;

/// State of one instance at the time of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Candidate {
    /// Index of the instance.
    pub index: id::Index,
    /// Latest stamp that the current incarnation of the instance has reported.
    pub stamp: Option<stamp::Stamp>,
    /// Whether the instance answers and its circuit breaker admits requests.
    pub usable: bool,
    /// Whether the instance is being taken out of service; it gets no new requests.
    pub leaving: bool,
    /// Whether the instance is in the same failure domain as the proxy.
    pub near: bool,
    /// Number of requests that this proxy has running on the instance or queued for it.
    pub load: usize,
}

/// Reason for the choice of an instance. The names appear in logs and are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request belongs to a transaction that is open on this instance.
    Pinned,
    /// The request may write, and writes go to the primary.
    Primary,
    /// A replica that has reached the stamp in the caller's token.
    Token,
    /// A replica that has every write confirmed before the request arrived.
    Sampled,
    /// A replica within the age limit that applies to the read.
    Aged,
    /// No usable replica is fresh enough, so the primary serves the read.
    Fallback,
    /// The consistency policy sends this kind of read to the primary.
    Policy,
}

impl Reason {
    /// Name used in logs.
    ///
    /// ```
    /// assert_eq!(mangotray::route::Reason::Sampled.name(), "sampled");
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

/// Chooses the instance for a read that must include `floor`.
///
/// Replicas are preferred, since the primary's slots are needed for writes. Among replicas
/// the least loaded is chosen; ties go to one in the proxy's own failure domain, then to the
/// lowest index. Returns `None` when no usable instance has reached `floor`.
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
