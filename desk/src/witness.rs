//! Which instances' answers prove that a primary leads.
//!
//! A promotion holds all instances that its promoter lists before it orders anything. So one that
//! is not held, and knows of the primary, proves that nobody had replaced the primary when it was
//! asked, provided that every promoter lists it and that it has not lost its hold. A promotion ends
//! the holds of all replicas as it takes effect: one that receives nothing is free then, and has heard of
//! no later term. So a witness has to follow the primary.

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

/// A replica that follows a primary has received what the primary had this long ago: records take a
/// way across the network, whatever a replica needs to apply them.
pub const REPLICATION_DELAY: time::Duration = time::Duration::from_millis(250);

/// The instances of a group beside its primary, as witnesses.
pub struct Witnesses<'a> {
    /// The instances.
    pub roster: &'a roster::Roster,
    /// Who leads, and what was seen of the others.
    pub leadership: &'a leadership::Leadership,
    /// Failure domain of this node.
    pub domain: &'a id::Domain,
}

impl Witnesses<'_> {
    /// All instances other than the primary, the nearest that answers first.
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

    /// Whether an instance that is asked at `started` may prove by itself that the primary of `term`
    /// leads.
    ///
    /// A promoter lists an instance until it has been missing from the list for 5.5 s. One that
    /// this node lists, but would not if it had had word of the list, may have been passed over:
    /// its word alone is not taken. Nor is that of one that has started again since the primary was
    /// last proven to lead, nor that of any while nobody knows where the primary's log stands.
    #[must_use]
    pub fn suffices_alone(&self, pool: &pool::Pool, term: id::Term, started: id::Time) -> bool {
        let listed = self.roster.is_fresh(boot::now()) && !self.roster.is_unlisted(pool);
        listed
            && self.knows_primary_position(term, started)
            && self.leadership.trusts_restarted(pool.restarted_at(), term)
    }

    /// Whether this node knows where the log of the primary of `term` stood a moment before `started`,
    /// which a witness that vouches alone must have received.
    #[must_use]
    pub fn knows_primary_position(&self, term: id::Term, started: id::Time) -> bool {
        self.primary_position(term, started).is_some()
    }

    // Where the log of the primary stood a moment before `started`.
    fn primary_position(&self, term: id::Term, started: id::Time) -> Option<stamp::Stamp> {
        let moment = started.saturating_sub(REPLICATION_DELAY);
        self.leadership.floors().position_at(term, moment)
    }

    /// Whether these answers to looks that began at `started` prove that `leader` leads.
    ///
    /// They do if one vouches by itself, or if all others have answered: one of them would lead. Two
    /// gaps count as answers only where the primary itself says that it leads, as it would have been
    /// told, and where none of the others has started again. An instance may be missing
    /// from a list that is not settled; and one whose process is gone may have led, but then it has
    /// acknowledged nothing, as none of those that answer has heard of it.
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
        let vouches = |pool: &rc::Rc<pool::Pool>| {
            let Some(report) = answer(pool) else {
                return false;
            };
            let deaf = Some(report.status.received) < primary_position;
            pool.note_receive_lag(deaf);
            !deaf
                && status::knows_term(&report.status, leader.term)
                && self.suffices_alone(pool, leader.term, started)
        };
        if others.iter().any(vouches) {
            return true;
        }
        let (answered, silent): (Vec<_>, Vec<_>) =
            others.iter().partition(|pool| answer(pool).is_some());
        let settled = self.roster.is_settled();
        if answered.is_empty() || !silent.iter().all(|pool| settled && pool.is_closed()) {
            return false;
        }
        let says_so = reports
            .iter()
            .any(|report| report.id == leader.id && report.status.role == role::Role::Primary);
        let lasting = |pool: &&rc::Rc<pool::Pool>| {
            self.leadership
                .trusts_restarted(pool.restarted_at(), leader.term)
        };
        let whole = settled && silent.is_empty();
        whole || (says_so && answered.iter().all(lasting))
    }
}
