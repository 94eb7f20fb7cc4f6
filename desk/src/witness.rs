//! Witnesses: which instances' reports prove that a primary leads.
//!
//! A promotion holds all instances that the promoter lists before it orders the change. So an
//! instance that isn't held, and knows of the primary, proves that the primary had not been
//! replaced when the instance was queried, provided that every promoter lists the instance and that
//! it has not lost its hold.
//!
//! When a promotion takes effect, it ends the holds of all replicas. A replica that receives no
//! records is not held then, and doesn't know of the later term. So a witness also has to follow
//! the primary: it must have received the records that the primary had [`REPLICATION_DELAY`] ago.

use std::rc;
use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::boot;
use crate::leadership;
use crate::pool;
use crate::roster;
use crate::status;
use crate::upstream;

/// A replica that follows a primary has received all records that the primary had this long ago.
/// Allows for the transit of records across the network; the time to apply them doesn't count.
pub const REPLICATION_DELAY: time::Duration = time::Duration::from_millis(250);

/// The instances of a group other than its primary, as witnesses.
pub struct Witnesses<'a> {
    /// The instances known to this node.
    pub roster: &'a roster::Roster,
    /// The known primary, and the evidence for it.
    pub leadership: &'a leadership::Leadership,
    /// Failure domain of this node.
    pub domain: &'a id::Domain,
}

impl Witnesses<'_> {
    /// All instances other than the primary, in order of preference: reachable ones, then those in
    /// this node's failure domain, then the least loaded.
    #[must_use]
    pub fn others(&self, primary: &upstream::Id) -> Vec<rc::Rc<pool::Pool>> {
        let mut pools = self.roster.pools();
        pools.retain(|pool| pool.id() != *primary);
        pools.sort_by_key(|pool| {
            let near = pool.instance.borrow().domain == *self.domain;
            (pool.is_down(), !near, pool.load())
        });
        pools
    }

    /// Whether a report of this instance alone, queried at `started`, can prove that the primary of
    /// `term` leads.
    ///
    /// A promoter holds an instance until there is evidence that it has ended. An instance
    /// that is in this node's list only because the list is out of date may have been left out of a
    /// promotion, so its report alone doesn't suffice. Nor does a report of an instance that
    /// restarted after the primary was last proven to lead, nor any report while the position of
    /// the primary's log is unknown.
    #[must_use]
    pub fn suffices(&self, pool: &pool::Pool, term: id::Term, started: id::Time) -> bool {
        let listed = self.roster.is_fresh(boot::now()) && !self.roster.is_unlisted(pool);
        listed
            && self.knows_primary_position(term, started)
            && self.leadership.trusts_restarted(pool.restarted_at(), term)
    }

    /// Whether this node knows the primary's position shortly before `started`, which a single
    /// witness must have received.
    #[must_use]
    pub fn knows_primary_position(&self, term: id::Term, started: id::Time) -> bool {
        self.primary_position(term, started).is_some()
    }

    // The position of the primary [`REPLICATION_DELAY`] before `started`.
    fn primary_position(&self, term: id::Term, started: id::Time) -> Option<stamp::Stamp> {
        let moment = started.saturating_sub(REPLICATION_DELAY);
        self.leadership.floors().position_at(term, moment)
    }

    /// Whether these reports, whose queries were sent at `started`, prove that `leader` leads.
    ///
    /// They do if one of them suffices alone, or if all other instances have answered: a new
    /// primary would be among them. In two cases an instance need not have answered, provided that
    /// the primary itself reports that it leads, as a promotion would have notified it, and that
    /// none of the instances that answered has restarted:
    ///
    /// - The instance may be missing from the list, which is not settled yet.
    /// - The instance's process has ended. It may have been promoted before, but then it has
    ///   acknowledged nothing, as none of the instances that answered knows of its term.
    ///
    /// An instance that is unlisted and has been silent for long need not have answered either, if
    /// the primary itself reports that it leads.
    #[must_use]
    pub fn prove_leadership(
        &self,
        leader: &status::Leader,
        started: id::Time,
        reports: &[status::Report],
    ) -> bool {
        let others = self.others(&leader.id);
        let answer =
            |pool: &rc::Rc<pool::Pool>| reports.iter().find(|report| report.id == pool.id());
        let primary_position = self.primary_position(leader.term, started);
        let proves = |pool: &rc::Rc<pool::Pool>| {
            let Some(report) = answer(pool) else {
                return false;
            };
            let lagging = Some(report.status.received) < primary_position;
            pool.note_receive_lag(lagging);
            !lagging
                && status::knows_term(&report.status, leader.term)
                && self.suffices(pool, leader.term, started)
        };
        if others.iter().any(proves) {
            return true;
        }
        let (answered, silent): (Vec<_>, Vec<_>) =
            others.iter().partition(|pool| answer(pool).is_some());
        let settled = self.roster.is_settled();
        let (dormant, silent): (Vec<&rc::Rc<pool::Pool>>, Vec<_>) = silent
            .into_iter()
            .partition(|pool| self.roster.is_dormant(pool));
        if answered.is_empty() || !silent.iter().all(|pool| settled && pool.is_closed()) {
            return false;
        }
        let claims_leadership = reports
            .iter()
            .any(|report| report.id == leader.id && report.status.role == role::Role::Primary);
        if !dormant.is_empty() && !claims_leadership {
            return false;
        }
        let trusted = |pool: &&rc::Rc<pool::Pool>| {
            self.leadership
                .trusts_restarted(pool.restarted_at(), leader.term)
        };
        let all_answered = settled && silent.is_empty();
        all_answered || (claims_leadership && answered.iter().all(trusted))
    }
}
