//! Handling of a node's data after a reset of the platform's store to an older copy.
//!
//! The store is unavailable for a moment and comes back with its content from some seconds ago.
//! Writes and leases since then are lost, and revisions are reused; operators and instances write
//! their entries again. A node that ignored the reset would take missing entries for removed ones,
//! and a reused revision for its own.

use std::time;

use mangotray::id;
use mangotray::store;

use crate::election;
use crate::promote;
use crate::status;

/// Time after which operators and instances have written lost entries again: two seconds at most,
/// and the time for a watch to report them.
pub const REWRITE_GRACE: time::Duration = time::Duration::from_secs(3);

/// Nodes write their own lost entries again at a random moment within this time.
pub const REWRITE_JITTER: time::Duration = time::Duration::from_secs(1);

/// Bits of a fencing token that hold the revision. They suffice for a million changes a second over
/// twelve days, and leave room for eight million eras.
const REVISION_BITS: u32 = 40;

/// Data that a node reads from the store.
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
    /// The instances of each group, listed or not.
    Memberships,
    /// The lease of the promoter.
    Election,
}

/// Handling of one kind of data after a reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetPolicy {
    /// It is kept until the store has a newer version; an older version is ignored.
    Kept,
    /// Missing entries are kept until their writers have had time to write them again.
    Awaited,
    /// Missing entries are written again by this node.
    Rewritten,
    /// It is void and must be obtained again.
    Dropped,
}

/// The policy for each kind of data.
///
/// ```
/// use mangotray_desk::era;
/// assert_eq!(era::reset_policy(era::Data::Election), era::ResetPolicy::Dropped);
/// ```
#[must_use]
pub const fn reset_policy(data: Data) -> ResetPolicy {
    match data {
        // Versions of the configuration never go back, and nothing but the entry itself tells of a
        // member.
        Data::Configuration | Data::Members => ResetPolicy::Kept,
        // An instance that is missing from the copy hasn't necessarily left.
        Data::Instances => ResetPolicy::Awaited,
        Data::Enrolment | Data::Promotions | Data::Memberships => ResetPolicy::Rewritten,
        // Another node may have held the lease in the lost seconds, or may hold it now.
        Data::Election => ResetPolicy::Dropped,
    }
}

/// The fencing token of a holder that obtained the lease at `revision` of an era. A later holder
/// has a higher token, even if the store has reused the revision.
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

/// Whether the instances' answers allow for an order whose record is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LostOrder {
    /// No replica is held, so no promotion can have been ordered.
    None,
    /// This instance leads a later term: the order has taken effect.
    Done(status::Leader),
    /// A replica is held, or may be, as it doesn't answer.
    Possible,
}

/// Evaluates the answers of the `expected` instances other than the primary of `term`.
///
/// A promotion holds every replica before its order is sent, and the holder of the lease releases
/// none while the order may take effect. A successor without the record must not release a held
/// replica, or a replaced primary acknowledges writes that the new one never gets. It must not
/// order another candidate either, or two instances lead alternately.
///
/// ```
/// use mangotray::{role::Role, stamp::Stamp};
/// use mangotray_desk::{era, status, upstream};
/// let report = |id: &str, role, term, held| status::Report {
///     id: id.into(),
///     status: upstream::Status { role, term, received: Stamp::new(1, 7), held, load: upstream::Load::default() },
///     applied: None,
/// };
/// let free = report("b", Role::Replica, 1, 0);
/// let held = report("c", Role::Replica, 1, 2);
/// let leads = report("c", Role::Primary, 2, 0);
/// assert_eq!(era::lost_order(1, 2, &[free.clone(), held]), era::LostOrder::Possible);
/// assert!(matches!(era::lost_order(1, 2, &[free.clone(), leads]), era::LostOrder::Done(_)));
/// assert_eq!(era::lost_order(1, 1, &[free.clone()]), era::LostOrder::None);
/// assert_eq!(era::lost_order(1, 2, &[free]), era::LostOrder::Possible);
/// ```
#[must_use]
pub fn lost_order(term: id::Term, expected: usize, reports: &[status::Report]) -> LostOrder {
    let later = |report: &status::Report| status::supersedes(&report.status, term);
    if let Some(leader) = status::latest_leader(reports, term + 1) {
        LostOrder::Done(leader)
    } else if reports.len() < expected || reports.iter().any(later) {
        LostOrder::Possible
    } else {
        LostOrder::None
    }
}

/// Whether a node that sees the lease vacant delays its claim, so that the node that held the lease
/// at the reset, and knows its own orders, can obtain it again.
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
