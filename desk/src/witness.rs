//! Which instances' answers prove that a primary leads.
//!
//! A promotion holds all instances that its promoter lists before it orders anything. So one that
//! is not held, and knows of the primary, proves that nobody had replaced the primary when it was
//! asked, provided that every promoter lists it and that it has not lost its hold.

use std::rc;

use mangotray::id;

use crate::belief;
use crate::boot;
use crate::pool;
use crate::roster;
use crate::sampler;
use crate::upstream;

/// The instances of a group beside its primary, as witnesses.
pub struct Panel<'a> {
    /// The instances.
    pub roster: &'a roster::Roster,
    /// Who leads, and what was seen of the others.
    pub belief: &'a belief::Belief,
    /// Failure domain of this node.
    pub domain: &'a id::Domain,
}

impl Panel<'_> {
    /// All instances other than the primary, the nearest that answers first.
    #[must_use]
    pub fn all(&self, primary: &upstream::Id) -> Vec<rc::Rc<pool::Pool>> {
        let mut pools = self.roster.pools();
        pools.retain(|pool| pool.id() != *primary);
        pools.sort_by_key(|pool| {
            let near = pool.instance.borrow().domain == *self.domain;
            (pool.is_down(), !near, pool.load())
        });
        pools
    }

    /// Whether an instance may prove by itself that the primary of `term` leads.
    ///
    /// A promoter lists an instance until it has been missing from the list for 5.5 s. One that
    /// this node lists, but would not if it had had word of the list, may have been passed over:
    /// its word alone is not taken. Nor is that of one that has started again since the primary was
    /// last proven to lead.
    #[must_use]
    pub fn vouches_alone(&self, pool: &pool::Pool, term: id::Term) -> bool {
        let listed = self.roster.is_fresh(boot::now()) && !self.roster.is_unlisted(pool);
        listed && self.belief.trusts(pool.reborn(), term)
    }

    /// Whether these answers prove that `lead` leads: one that vouches by itself, or those of all
    /// that live. A process that is gone leads nobody.
    #[must_use]
    pub fn attests(&self, lead: &sampler::Lead, looks: &[sampler::Look]) -> bool {
        let others = self.all(&lead.id);
        let answer = |pool: &rc::Rc<pool::Pool>| looks.iter().find(|look| look.id == pool.id());
        let vouches = |pool: &rc::Rc<pool::Pool>| {
            answer(pool).is_some_and(|look| sampler::knows(&look.status, lead.term))
                && self.vouches_alone(pool, lead.term)
        };
        let accounted = |pool: &rc::Rc<pool::Pool>| answer(pool).is_some() || pool.is_closed();
        let whole = self.roster.is_settled() && !looks.is_empty();
        others.iter().any(vouches) || (whole && others.iter().all(accounted))
    }
}
