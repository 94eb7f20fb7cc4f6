//! Selects the instance that serves a read.

use std::rc;
use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::boot;
use crate::candidate;
use crate::catalog;
use crate::leadership;
use crate::lending::serving;
use crate::load::choice;
use crate::organisation;
use crate::pool;
use crate::roster;
use crate::upstream;
use crate::urgency;

/// A replica that refused a read for being behind is avoided for this long, unless it is seen to
/// have caught up.
const BEHIND_RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// What a request requires of the instance that serves its read.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// Arrival time of the request, or of its transaction's first statement.
    pub arrived: id::Time,
    /// The staleness that its route accepts.
    pub freshness: catalog::Freshness,
    /// Whether only the primary can serve it, as it may write.
    pub writes: bool,
    /// Position of the session's own last commit.
    pub own: Option<stamp::Stamp>,
    /// The organisation that it is executed for.
    pub organisation: organisation::Name,
    /// Deadline of the request.
    pub deadline: id::Time,
    /// Its urgency, to choose by load reports; without it they are not used.
    pub urgency: Option<urgency::Urgency>,
}

/// An instance to read from, and the position that its log must contain.
pub struct Source {
    /// The instance's connection pool.
    pub pool: rc::Rc<pool::Pool>,
    /// Position that the instance must check before it executes the read; `None` for a proven
    /// primary.
    pub after: Option<stamp::Stamp>,
    /// The primary's term, if the instance is the primary.
    pub leads: Option<id::Term>,
}

/// Selects the instance for a read that accepts some staleness.
pub struct Selector<'a> {
    /// The instances known to this node.
    pub roster: &'a roster::Roster,
    /// The known primary, and the evidence for it.
    pub leadership: &'a leadership::Leadership,
    /// Failure domain of this node.
    pub domain: &'a id::Domain,
    /// Position of the session's own last commit.
    pub own: Option<stamp::Stamp>,
    /// The organisation that it is executed for.
    pub organisation: &'a organisation::Name,
    /// The read's cutoff: the primary may serve the read if it was proven to lead since then.
    pub moment: id::Time,
    /// The floor: position that a replica's log must contain.
    pub floor: stamp::Stamp,
    /// The read's urgency, to choose by load reports; without it they are not used.
    pub urgency: Option<urgency::Urgency>,
}

impl Selector<'_> {
    /// The usable instance with the lowest cost, other than those in `tried`.
    #[must_use]
    pub fn best(&self, tried: &[upstream::Id]) -> Option<Source> {
        let leads = self.proven();
        let pools = self.roster.pools().into_iter().filter(|pool| {
            let id = pool.id();
            let is_leader = self
                .leadership
                .leader()
                .is_some_and(|leader| leader.id == id);
            let unproven = is_leader && leads.is_none();
            !tried.contains(&id) && self.roster.is_usable(&id) && !unproven
        });
        let preferred = self.preferred();
        let sources = pools.map(|pool| {
            let leads = leads.filter(|_| self.is_leader(&pool.id()));
            Source {
                after: leads.is_none().then_some(self.floor),
                pool,
                leads,
            }
        });
        let mut options: Vec<_> = sources
            .map(|source| {
                let candidate = self.candidate(&source, preferred.as_ref());
                (source, candidate)
            })
            .collect();
        if let Some(index) = self.by_reports(&options, !tried.is_empty()) {
            return Some(options.swap_remove(index).0);
        }
        let cheapest = options
            .into_iter()
            .min_by_key(|(_, candidate)| candidate.cost());
        cheapest.map(|(source, _)| source)
    }

    // The index of the instance to use by load reports; `None` if there is no fresh report on any
    // of those that are likely to serve the read. A retry goes to the cheapest one: retries are few,
    // and one that fails costs the caller more than the others lose.
    fn by_reports(&self, options: &[(Source, candidate::Candidate)], retry: bool) -> Option<usize> {
        let urgency = self.urgency?;
        let wanted =
            |(source, _): &(Source, candidate::Candidate)| source.pool.options().load_reports;
        if !options.iter().any(wanted) {
            return None;
        }
        let within = urgency.until.saturating_sub(boot::now());
        let healthy = options
            .iter()
            .enumerate()
            .filter(|(_, (_, candidate))| candidate.health == candidate::Health::Healthy);
        let known: Vec<_> = healthy
            .map(|(index, (source, candidate))| {
                let forecast = source.pool.forecast(self.organisation);
                (index, candidate, forecast)
            })
            .collect();
        let reported = known.iter().any(|(_, _, forecast)| forecast.is_some());
        let basis = if reported { "report" } else { "none" };
        metrics::counter!("mangotray_load_choices_total", "basis" => basis).increment(1);
        if !reported {
            return None;
        }
        let offers: Vec<_> = known
            .iter()
            .map(|(_, candidate, forecast)| {
                candidate.offer(forecast.as_ref(), urgency.priority, within)
            })
            .collect();
        if retry {
            let timely = |index: &usize| (offers[*index].late, offers[*index].cost());
            return (0..offers.len())
                .min_by_key(timely)
                .map(|index| known[index].0);
        }
        let draw = choice::Draw {
            usual: fastrand::usize(..),
            other: fastrand::usize(..),
        };
        choice::choose(&offers, draw).map(|chosen| known[chosen].0)
    }

    // The replica that serves the organisation's reads by default, as the organisation's
    // connections are to that replica. `None` if connections are not bound to an organisation.
    fn preferred(&self) -> Option<upstream::Id> {
        if *self.organisation == organisation::OWN {
            return None;
        }
        let ids = self.roster.pools().into_iter().map(|pool| pool.id());
        let replicas = ids.filter(|id| !self.is_leader(id) && self.roster.is_usable(id));
        replicas.max_by_key(|id| serving::affinity(id, self.organisation))
    }

    fn is_leader(&self, id: &upstream::Id) -> bool {
        self.leadership
            .leader()
            .is_some_and(|leader| leader.id == *id)
    }

    /// The primary, if it may serve the read.
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

    // The primary's term, if the primary may serve the read.
    //
    // Evidence of a later term doesn't prove that this primary leads; it shows rather that it was
    // replaced.
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
            exchange: pool.reported_exchange(self.organisation),
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
