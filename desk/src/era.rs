//! What becomes of what a node knows when the platform's store comes back from an older copy.
//!
//! The load that this answers: the store is away for a moment and returns to what it held some
//! seconds ago. What nodes wrote since is gone, leases too, and revisions are given out
//! again; operators and instances write again what they wrote. A node that went on as before would
//! take what is missing for removed, and a number that was given out twice for its own.

use std::time;

use mangotray::id;
use mangotray::store;

use crate::election;
use crate::promote;
use crate::sampler;

/// Operators and instances have written again what the copy lacks after this long: two seconds
/// at most, and the time that a watch takes to tell.
pub const REWRITE_GRACE: time::Duration = time::Duration::from_secs(3);

/// Nodes write what the copy lacks of their own within this time, each at a moment of its own.
pub const REWRITE_JITTER: time::Duration = time::Duration::from_secs(1);

/// Bits of a fence that the revision takes. There is room for a million changes a second through
/// twelve days, and for eight million eras.
const REVISION_BITS: u32 = 40;

/// Something that a node has from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Data {
    /// The operators' configuration.
    Configuration,
    /// The list of instances.
    Instances,
    /// The other nodes.
    Members,
    /// This node's own entry.
    Enrolment,
    /// Promotions that were recorded before they were ordered.
    Promotions,
    /// The promoter's seat.
    Election,
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetPolicy {
    /// It stays until the store has something newer: an older version is no news.
    Kept,
    /// What the copy lacks stays until its writers have had time to write it again.
    Awaited,
    /// What the copy lacks of it is written again.
    Rewritten,
    /// It is void, and has to be obtained anew.
    Dropped,
}

/// What becomes of a piece.
///
/// ```
/// use mangotray_desk::era;
/// assert_eq!(era::reset_policy(era::Data::Election), era::ResetPolicy::Dropped);
/// ```
#[must_use]
pub const fn reset_policy(data: Data) -> ResetPolicy {
    match data {
        // A version never goes back, and members leave no other trace than their entry.
        Data::Configuration | Data::Members => ResetPolicy::Kept,
        // Absence from the copy is no sign that an instance has left.
        Data::Instances => ResetPolicy::Awaited,
        Data::Enrolment | Data::Promotions => ResetPolicy::Rewritten,
        // Somebody else may have been the holder in the seconds that are gone, or be it now.
        Data::Election => ResetPolicy::Dropped,
    }
}

/// The number of a holder who took the seat at `revision` of an era; a later holder has a higher
/// one, also where the store has given out the same revision again.
///
/// ```
/// use mangotray_desk::era;
/// assert_eq!(era::fence(0, 70), 70);
/// assert!(era::fence(2, 65) > era::fence(1, 70));
/// ```
#[must_use]
pub const fn fence(era: store::Era, revision: store::Version) -> promote::Fence {
    (era << REVISION_BITS) | revision
}

/// Whether instances' answers leave room for an order that nobody has a record of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LostOrder {
    /// No replica is held, so that nobody can have been ordered.
    None,
    /// This instance leads a later term: what was ordered is done.
    Done(sampler::Lead),
    /// A replica is held, or one that does not answer may be.
    Possible,
}

/// Judges the answers of the `expected` instances other than the primary of `term`.
///
/// A promotion holds every replica before its order leaves, and a holder frees none while its order
/// may take effect. A successor without the record that frees a held replica lets a replaced
/// primary acknowledge what the new one never gets; one that orders another candidate has two
/// instances lead in turns.
///
/// ```
/// use mangotray::{role::Role, stamp::Stamp};
/// use mangotray_desk::{era, sampler, upstream};
/// let look = |id: &str, role, term, held| sampler::Look {
///     id: id.into(),
///     status: upstream::Status { role, term, received: Stamp::new(1, 7), held, load: upstream::Load::default() },
///     applied: None,
/// };
/// let free = look("b", Role::Replica, 1, 0);
/// let held = look("c", Role::Replica, 1, 2);
/// let leads = look("c", Role::Primary, 2, 0);
/// assert_eq!(era::lost_order(1, 2, &[free.clone(), held]), era::LostOrder::Possible);
/// assert!(matches!(era::lost_order(1, 2, &[free.clone(), leads]), era::LostOrder::Done(_)));
/// assert_eq!(era::lost_order(1, 1, &[free.clone()]), era::LostOrder::None);
/// assert_eq!(era::lost_order(1, 2, &[free]), era::LostOrder::Possible);
/// ```
#[must_use]
pub fn lost_order(term: id::Term, expected: usize, looks: &[sampler::Look]) -> LostOrder {
    let later = |look: &sampler::Look| sampler::overtakes(&look.status, term);
    if let Some(lead) = sampler::latest(looks, term + 1) {
        LostOrder::Done(lead)
    } else if looks.len() < expected || looks.iter().any(later) {
        LostOrder::Possible
    } else {
        LostOrder::None
    }
}

/// How long a node that sees the seat empty waits before it claims it, so that the one that held it
/// when the store came back, and knows what it ordered, can take it again.
///
/// ```
/// use mangotray_desk::era;
/// use std::time::Duration;
/// let (since, now) = (Duration::from_secs(5), Duration::from_secs(6));
/// assert!(era::defers_claim(2, since, now));
/// assert!(!era::defers_claim(0, since, now));
/// ```
#[must_use]
pub fn defers_claim(era: store::Era, since: id::Time, now: id::Time) -> bool {
    era > 0 && now < since + election::LEASE_TTL + REWRITE_GRACE
}
