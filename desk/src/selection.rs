//! The outcome of the first part of a promotion: the held replicas and the candidate.

use std::rc;

use mangotray::stamp;

use crate::audit;
use crate::boot;
use crate::pool;
use crate::promotion;
use crate::status;
use crate::upstream;

/// The held replicas of a group and the candidate chosen among them.
pub(crate) struct Selection {
    /// The answers of the held replicas.
    pub reports: Vec<status::Report>,
    /// Their processes.
    pub processes: promotion::Processes,
    /// The instance to be promoted.
    pub candidate: upstream::Id,
    /// Last log position that the candidate received.
    pub position: stamp::Stamp,
}

impl Selection {
    /// Records which logs the choice of the candidate is based on.
    pub fn audit(&self, promotion: &promotion::Promotion) -> audit::Audit {
        let roster = promotion.group.roster();
        let now = boot::now();
        let ids = |pools: Vec<rc::Rc<pool::Pool>>| pools.iter().map(|pool| pool.id()).collect();
        let forgotten = roster.forgotten().into_iter();
        audit::Audit {
            candidate: self.candidate.clone(),
            position: self.position,
            term: promotion.term,
            old: promotion.old.as_ref().map(|old| old.id()),
            reports: self.reports.clone(),
            queried: ids(roster.pools()),
            unlisted: ids(roster.absent()),
            forgotten: forgotten
                .map(|(id, since)| (id, now.saturating_sub(since)))
                .collect(),
        }
    }
}
