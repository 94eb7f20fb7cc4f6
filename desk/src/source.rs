//! Which instance a read goes to.

use std::rc;
use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::boot;
use crate::candidate;
use crate::catalog;
use crate::leadership;
use crate::organisation;
use crate::pool;
use crate::roster;
use crate::serving;
use crate::upstream;

/// A replica that refused a read for being behind is left alone for this long, unless it
/// is seen to have caught up.
const BEHIND_RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// What one request needs of the instance that reads for it.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// When the request, or its transaction's first statement, arrived.
    pub arrived: id::Time,
    /// What its route accepts.
    pub freshness: catalog::Freshness,
    /// Only the primary will do, as it may write.
    pub writes: bool,
    /// The session's own last commit.
    pub own: Option<stamp::Stamp>,
    /// For whom it runs.
    pub organisation: organisation::Name,
    /// No use to try after this.
    pub deadline: id::Time,
}

/// An instance to read from, and the position that its log must hold.
pub struct Source {
    /// Its connections.
    pub pool: rc::Rc<pool::Pool>,
    /// Position that the instance must check; none at a proven primary.
    pub after: Option<stamp::Stamp>,
    /// The primary's term, where it is the primary.
    pub leads: Option<id::Term>,
}

/// What a read of some age is chosen an instance for.
pub struct Selector<'a> {
    /// The instances.
    pub roster: &'a roster::Roster,
    /// Who leads.
    pub leadership: &'a leadership::Leadership,
    /// Failure domain of this node.
    pub domain: &'a id::Domain,
    /// The session's own last commit.
    pub own: Option<stamp::Stamp>,
    /// For whom it runs.
    pub organisation: &'a organisation::Name,
    /// The primary serves it too if it was proven to lead since then.
    pub moment: id::Time,
    /// Position that a replica must hold.
    pub floor: stamp::Stamp,
}

impl Selector<'_> {
    /// The instance that serves it best, other than those already `tried`.
    #[must_use]
    pub fn best(&self, tried: &[upstream::Id]) -> Option<Source> {
        let leads = self.proven();
        let pools = self.roster.pools().into_iter().filter(|pool| {
            let id = pool.id();
            let believed = self
                .leadership
                .leader()
                .is_some_and(|leader| leader.id == id);
            let unproven = believed && leads.is_none();
            !tried.contains(&id) && self.roster.is_usable(&id) && !unproven
        });
        let preferred = self.preferred();
        let sources = pools.map(|pool| {
            let leads = leads.filter(|_| self.is_lead(&pool.id()));
            Source {
                after: leads.is_none().then_some(self.floor),
                pool,
                leads,
            }
        });
        sources.min_by_key(|source| self.candidate(source, preferred.as_ref()).cost())
    }

    // The replica that reads of the organisation go to as a rule: its connections are there. None where
    // connections belong to nobody.
    fn preferred(&self) -> Option<upstream::Id> {
        if *self.organisation == organisation::OWN {
            return None;
        }
        let ids = self.roster.pools().into_iter().map(|pool| pool.id());
        let replicas = ids.filter(|id| !self.is_lead(id) && self.roster.is_usable(id));
        replicas.max_by_key(|id| serving::affinity(id, self.organisation))
    }

    fn is_lead(&self, id: &upstream::Id) -> bool {
        self.leadership
            .leader()
            .is_some_and(|leader| leader.id == *id)
    }

    /// The primary, if it may serve this read.
    #[must_use]
    pub fn primary(&self, tried: &[upstream::Id]) -> Option<Source> {
        let leads = self.proven()?;
        let leader = self.leadership.leader()?;
        let pool = self.roster.pool(&leader.id)?;
        (!tried.contains(&leader.id)).then_some(Source {
            pool,
            after: None,
            leads: Some(leads),
        })
    }

    // Term of the primary, if it may serve this read.
    //
    // Evidence of a later term says nothing for this primary, rather the contrary.
    fn proven(&self) -> Option<id::Term> {
        let leader = self.leadership.leader()?;
        let proven = self.leadership.floors().last_proven(leader.term);
        let recent = proven.is_some_and(|proven| proven >= self.moment);
        let own = self.own.map_or(0, |own| own.term);
        (recent && leader.term >= own).then_some(leader.term)
    }

    fn candidate(&self, source: &Source, preferred: Option<&upstream::Id>) -> candidate::Candidate {
        let pool = &source.pool;
        let leads = source.leads.is_some();
        let late = boot::now().saturating_sub(pool.last_behind()) < BEHIND_RETRY_PAUSE;
        let behind = !leads && late && pool.applied() < self.floor;
        candidate::Candidate {
            load: pool.load(),
            delay: pool.latency(),
            cross_domain: pool.instance.borrow().domain != *self.domain,
            leads,
            other_preferred: preferred.is_some_and(|preferred| *preferred != pool.id()),
            health: if pool.is_down() {
                candidate::Health::Down
            } else if behind || self.roster.is_leaving(&pool.id()) {
                candidate::Health::Degraded
            } else {
                candidate::Health::Healthy
            },
        }
    }
}
