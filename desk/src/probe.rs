//! Probes of one group's instances, from which the promoter decides whether to replace the primary.

use std::rc;
use std::time;

use mangotray::role;
use mangotray::stamp;

use crate::boot;
use crate::detector;
use crate::group;
use crate::pool;
use crate::relief;
use crate::status;
use crate::upstream;

/// A primary that answered a request this recently isn't probed.
const RECENT_ANSWER: time::Duration = time::Duration::from_millis(250);

/// Timeout of one probe, above the slowest answers under load.
pub const TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Probes a group whose primary is monitored.
pub struct Prober<'a> {
    group: &'a rc::Rc<group::Group>,
    lead: &'a status::Leader,
    /// The primary, if it is still listed.
    pub primary: Option<rc::Rc<pool::Pool>>,
    /// All other instances.
    pub others: Vec<rc::Rc<pool::Pool>>,
}

impl<'a> Prober<'a> {
    /// Creates a prober for a group whose assumed primary is `lead`.
    #[must_use]
    pub fn new(group: &'a rc::Rc<group::Group>, lead: &'a status::Leader) -> Self {
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

    /// One round of probes for reasons to replace the primary.
    pub async fn round(&self, uneasy: bool) -> detector::Round {
        let started = boot::now();
        let (group, lead, others) = (self.group, self.lead, &self.others);
        let dialer = group.dialer();
        let reach = match &self.primary {
            Some(pool) => {
                // Answers to reads prove the primary only if this node routes to it as such.
                let needs_probe = uneasy || group.leader().as_ref() != Some(lead);
                reach(pool, dialer, needs_probe).await
            }
            None => detector::Reach::Silent,
        };
        let calm = matches!(reach, detector::Reach::Answered(_)) && !uneasy;
        let (received, held, answers) = if calm && group.leader().is_some() {
            (applied(others), false, 0)
        } else {
            let looks = group.query_status(others, TIMEOUT).await;
            let held = |look: &status::Report| status::supersedes(&look.status, lead.term);
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
        let looks = self.group.query_status(&self.others, TIMEOUT).await;
        looks.len() == self.others.len()
    }

    /// Whether the primary answers and leads.
    pub async fn leads(&self) -> bool {
        let Some(primary) = &self.primary else {
            return false;
        };
        let look = status::query(primary, self.group.dialer(), TIMEOUT).await;
        look.is_some_and(|look| look.status.role == role::Role::Primary)
    }

    /// Probes all instances to decide whether the primary should change places with a replica.
    /// Returns `None` unless some replica reported a lag that is too long for reads that accept
    /// data of `age`.
    pub async fn observe_lag(&self, age: time::Duration) -> Option<relief::View> {
        let told = |pool: &rc::Rc<pool::Pool>| relief::is_stuck(pool.lag(), age);
        if !self.others.iter().any(told) {
            return None;
        }
        let now = boot::now();
        let dialer = self.group.dialer();
        let first = status::query(self.primary.as_ref()?, dialer, TIMEOUT).await?;
        let looks = self.group.query_status(&self.others, TIMEOUT).await;
        if first.status.role != role::Role::Primary {
            self.group
                .suspect(first.status.term, "the primary leads no more");
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

/// Infers the primary to monitor where none was ever seen to lead.
///
/// After all nodes fail in the middle of a promotion, or together with a primary, no node knows
/// which instance led, and waiting for a primary to appear might never end. The id is empty if all
/// instances answer and none leads.
pub async fn infer_primary(group: &rc::Rc<group::Group>) -> Option<status::Leader> {
    let pools = group.roster().pools();
    let looks = group.query_status(&pools, TIMEOUT).await;
    let term = looks.iter().map(|look| look.status.term).max()?;
    let primaries = looks
        .iter()
        .filter(|look| look.status.role == role::Role::Primary);
    if let Some(look) = primaries.max_by_key(|look| look.status.term) {
        let id = look.id.clone();
        return Some(status::Leader {
            id,
            term: look.status.term,
        });
    }
    let silent = pools
        .iter()
        .filter(|pool| looks.iter().all(|look| look.id != pool.id()))
        .max_by_key(|pool| pool.instance.borrow().leads);
    Some(status::Leader {
        id: silent.map(|pool| pool.id()).unwrap_or_default(),
        term,
    })
}

// Latest record reported with the replicas' answers to reads. It costs no probe and lags a little
// behind what they have received, so it only serves to raise a suspicion.
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
    match status::query(pool, dialer, TIMEOUT).await {
        Some(look) if look.status.role == role::Role::Primary => {
            detector::Reach::Answered(look.status.received)
        }
        None if pool.is_closed() => detector::Reach::Closed,
        // An instance that answers but no longer leads serves callers' writes no better than a
        // silent one.
        Some(_) | None => detector::Reach::Silent,
    }
}
