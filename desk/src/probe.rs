//! What the promoter sees of one group: looks at its instances, and what they tell.

use std::rc;
use std::time;

use mangotray::role;
use mangotray::stamp;

use crate::boot;
use crate::detector;
use crate::group;
use crate::pool;
use crate::relief;
use crate::sampler;
use crate::upstream;

/// A primary that answered a request this recently needs no look.
const RECENT_ANSWER: time::Duration = time::Duration::from_millis(250);

/// Longest wait for one look at a primary, above the slowest answers under load.
pub const TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// A group and the primary that is watched.
pub struct Prober<'a> {
    group: &'a rc::Rc<group::Group>,
    lead: &'a sampler::Lead,
    /// The primary, if it is still listed.
    pub primary: Option<rc::Rc<pool::Pool>>,
    /// All other instances.
    pub others: Vec<rc::Rc<pool::Pool>>,
}

impl<'a> Prober<'a> {
    /// A group whose primary is believed to be `lead`.
    #[must_use]
    pub fn new(group: &'a rc::Rc<group::Group>, lead: &'a sampler::Lead) -> Self {
        let pools = group.roster().pools();
        let (mut primary, others): (Vec<_>, Vec<_>) =
            pools.into_iter().partition(|pool| pool.id() == lead.id);
        Self {
            group,
            lead,
            primary: primary.pop(),
            others,
        }
    }

    /// One round of looks for the reasons to replace a primary.
    pub async fn round(&self, uneasy: bool) -> detector::Round {
        let started = boot::now();
        let (group, lead, others) = (self.group, self.lead, &self.others);
        let dialer = group.dialer();
        let reach = match &self.primary {
            Some(pool) => {
                // Answers to reads show that it leads only while this node believes so.
                let needs_probe = uneasy || group.lead().as_ref() != Some(lead);
                reach(pool, dialer, needs_probe).await
            }
            None => detector::Reach::Silent,
        };
        let calm = matches!(reach, detector::Reach::Answered(_)) && !uneasy;
        let (received, held, answers) = if calm && group.lead().is_some() {
            (applied(others), false, 0)
        } else {
            let looks = group.look_at(others, TIMEOUT).await;
            let held = |look: &sampler::Look| sampler::overtakes(&look.status, lead.term);
            let received = looks.iter().map(|look| look.status.received).max();
            (received, looks.iter().any(held), looks.len())
        };
        detector::Round {
            started,
            primary: reach,
            leaving: self
                .primary
                .as_ref()
                .is_some_and(|pool| group.roster().is_departing(pool)),
            added: group.roster().last_added(),
            received,
            held,
            replicas: others.len(),
            answers,
        }
    }

    /// Whether all other instances answer, so that they can be expected to be held at once.
    pub async fn all_replicas_answer(&self) -> bool {
        let looks = self.group.look_at(&self.others, TIMEOUT).await;
        looks.len() == self.others.len()
    }

    /// Whether the primary answers and leads.
    pub async fn leads(&self) -> bool {
        let Some(primary) = &self.primary else {
            return false;
        };
        let look = sampler::look(primary, self.group.dialer(), TIMEOUT).await;
        look.is_some_and(|look| look.status.role == role::Role::Primary)
    }

    /// Looks at all instances for the reason to let primary and replica change places, if
    /// some replica has told of a lag that is one for reads that accept data of `age`.
    pub async fn observe_lag(&self, age: time::Duration) -> Option<relief::View> {
        let told = |pool: &rc::Rc<pool::Pool>| relief::is_stuck(pool.lag(), age);
        if !self.others.iter().any(told) {
            return None;
        }
        let now = boot::now();
        let dialer = self.group.dialer();
        let first = sampler::look(self.primary.as_ref()?, dialer, TIMEOUT).await?;
        let looks = self.group.look_at(&self.others, TIMEOUT).await;
        if first.status.role != role::Role::Primary {
            self.group
                .doubt(first.status.term, "the primary leads no more");
            return None;
        }
        if looks.len() < self.others.len() {
            return None;
        }
        let replicas = looks.iter().map(|look| relief::Replica {
            received: look.status.received,
            applied: look.applied.unwrap_or_default(),
            lag: look.status.load.lag,
            leaving: self.group.roster().is_leaving(&look.id),
        });
        Some(relief::View {
            now,
            position: first.status.received,
            replicas: replicas.collect(),
            age,
        })
    }
}

/// Whom to watch where no primary was ever seen to lead.
///
/// After a loss of all nodes in the middle of a promotion, or together with a primary,
/// nobody remembers who led. Waiting for a primary to show itself would then be waiting
/// for ever. Where all answer and none leads, the id is empty.
pub async fn infer_primary(group: &rc::Rc<group::Group>) -> Option<sampler::Lead> {
    let pools = group.roster().pools();
    let looks = group.look_at(&pools, TIMEOUT).await;
    let term = looks.iter().map(|look| look.status.term).max()?;
    let primaries = looks
        .iter()
        .filter(|look| look.status.role == role::Role::Primary);
    if let Some(look) = primaries.max_by_key(|look| look.status.term) {
        let id = look.id.clone();
        return Some(sampler::Lead {
            id,
            term: look.status.term,
        });
    }
    let silent = pools
        .iter()
        .filter(|pool| looks.iter().all(|look| look.id != pool.id()))
        .max_by_key(|pool| pool.instance.borrow().leads);
    Some(sampler::Lead {
        id: silent.map(|pool| pool.id()).unwrap_or_default(),
        term,
    })
}

// What the replicas told along with their answers to reads: free, and a little behind
// what they have received, so that it only serves to raise a doubt.
fn applied(pools: &[rc::Rc<pool::Pool>]) -> Option<stamp::Stamp> {
    pools.iter().map(|pool| pool.applied()).max()
}

async fn reach(
    pool: &rc::Rc<pool::Pool>,
    dialer: &dyn upstream::Dialer,
    uneasy: bool,
) -> detector::Reach {
    let fresh = boot::now().saturating_sub(pool.last_answer()) < RECENT_ANSWER;
    if fresh && !uneasy {
        return detector::Reach::Answered(pool.applied());
    }
    match sampler::look(pool, dialer, TIMEOUT).await {
        Some(look) if look.status.role == role::Role::Primary => {
            detector::Reach::Answered(look.status.received)
        }
        None if pool.is_closed() => detector::Reach::Closed,
        // One that answers, but leads no more, is as bad for callers as a silent one.
        Some(_) | None => detector::Reach::Silent,
    }
}
