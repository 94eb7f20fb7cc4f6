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

/// Timeout of one status query; instances under load answer within this time.
pub const TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Probes a group whose primary is monitored.
pub struct Prober<'a> {
    group: &'a rc::Rc<group::Group>,
    leader: &'a status::Leader,
    /// The primary, if it is still listed.
    pub primary: Option<rc::Rc<pool::Pool>>,
    /// All other instances.
    pub others: Vec<rc::Rc<pool::Pool>>,
}

impl<'a> Prober<'a> {
    /// Creates a prober for a group whose assumed primary is `leader`.
    #[must_use]
    pub fn new(group: &'a rc::Rc<group::Group>, leader: &'a status::Leader) -> Self {
        let pools = group.roster().pools();
        let (mut primary, others): (Vec<_>, Vec<_>) =
            pools.into_iter().partition(|pool| pool.id() == leader.id);
        Self {
            group,
            leader,
            primary: primary.pop(),
            others,
        }
    }

    /// Runs one round of probes, from which the detector decides whether to replace the primary.
    /// `failure_suspected` makes the round query instances that would otherwise be skipped.
    pub async fn round(&self, failure_suspected: bool) -> detector::Round {
        let started = boot::now();
        let (group, leader, others) = (self.group, self.leader, &self.others);
        let dialer = group.dialer();
        let reach = match &self.primary {
            Some(pool) => {
                // Answers to reads show that the primary leads only if this node treats it as the
                // primary.
                let needs_probe = failure_suspected || group.leader().as_ref() != Some(leader);
                reach(pool, dialer, needs_probe).await
            }
            None => detector::Reach::Silent,
        };
        let healthy = matches!(reach, detector::Reach::Answered(_)) && !failure_suspected;
        let (received, held_for_later_term, answer_count) = if healthy && group.leader().is_some() {
            (applied(others), false, 0)
        } else {
            let reports = group.query_status(others, TIMEOUT).await;
            let held = |report: &status::Report| status::supersedes(&report.status, leader.term);
            let received = reports.iter().map(|report| report.status.received).max();
            (received, reports.iter().any(held), reports.len())
        };
        detector::Round {
            started,
            primary: reach,
            primary_leaving: self
                .primary
                .as_ref()
                .is_some_and(|pool| group.roster().is_departing(pool)),
            last_added: group.roster().last_added(),
            received,
            held_for_later_term,
            replica_count: others.len(),
            answer_count,
        }
    }

    /// Whether the other instances answer, so that a hold of all of them is likely to succeed.
    ///
    /// A primary that is about to end can be replaced without unlisted instances that do not answer,
    /// as it is told to stop and its log has all records.
    pub async fn replicas_answer(&self, cause: detector::Cause) -> bool {
        let reports = self.group.query_status(&self.others, TIMEOUT).await;
        let answers =
            |pool: &rc::Rc<pool::Pool>| reports.iter().any(|report| report.id == pool.id());
        let roster = self.group.roster();
        let dispensable = |pool: &rc::Rc<pool::Pool>| {
            cause == detector::Cause::Planned && !reports.is_empty() && roster.is_unlisted(pool)
        };
        let mut others = self.others.iter();
        others.all(|pool| answers(pool) || dispensable(pool))
    }

    /// Whether the primary answers and leads.
    pub async fn leads(&self) -> bool {
        let Some(primary) = &self.primary else {
            return false;
        };
        let report = status::query(primary, self.group.dialer(), TIMEOUT).await;
        report.is_some_and(|report| report.status.role == role::Role::Primary)
    }

    /// Probes all instances to decide whether the primary should change places with a replica.
    /// Returns `None` unless some replica reported a lag that is too long for reads that accept
    /// data of `age`.
    pub async fn observe_lag(&self, age: time::Duration) -> Option<relief::View> {
        let has_long_lag = |pool: &rc::Rc<pool::Pool>| relief::is_stuck(pool.lag(), age);
        if !self.others.iter().any(has_long_lag) {
            return None;
        }
        let now = boot::now();
        let dialer = self.group.dialer();
        let primary = status::query(self.primary.as_ref()?, dialer, TIMEOUT).await?;
        let reports = self.group.query_status(&self.others, TIMEOUT).await;
        if primary.status.role != role::Role::Primary {
            self.group
                .suspect(primary.status.term, "the instance is no longer primary");
            return None;
        }
        if reports.len() < self.others.len() {
            return None;
        }
        let replicas = reports.iter().map(|report| relief::Replica {
            received: report.status.received,
            applied: report.applied.unwrap_or_default(),
            lag: report.status.load.lag,
            leaving: self.group.roster().is_leaving(&report.id),
        });
        Some(relief::View {
            now,
            position: primary.status.received,
            replicas: replicas.collect(),
            age,
        })
    }
}

/// Infers the primary to monitor if this node has never seen an instance lead.
///
/// After all nodes fail in the middle of a promotion, or together with a primary, no node knows
/// which instance led, and waiting for a primary to appear might never end. Returns the instance
/// that reports leading, or else a silent one, as it may be the lost primary. The id is empty if
/// all instances answer and none leads.
pub async fn infer_primary(group: &rc::Rc<group::Group>) -> Option<status::Leader> {
    let pools = group.roster().pools();
    let reports = group.query_status(&pools, TIMEOUT).await;
    let term = reports.iter().map(|report| report.status.term).max()?;
    let primaries = reports
        .iter()
        .filter(|report| report.status.role == role::Role::Primary);
    if let Some(report) = primaries.max_by_key(|report| report.status.term) {
        let id = report.id.clone();
        return Some(status::Leader {
            id,
            term: report.status.term,
        });
    }
    let silent = pools
        .iter()
        .filter(|pool| reports.iter().all(|report| report.id != pool.id()))
        .max_by_key(|pool| pool.instance.borrow().leads);
    Some(status::Leader {
        id: silent.map(|pool| pool.id()).unwrap_or_default(),
        term,
    })
}

// Highest log position that the replicas reported with their answers to reads. It needs no query,
// but is slightly below the received position, so a gap to the primary is only a suspicion.
fn applied(pools: &[rc::Rc<pool::Pool>]) -> Option<stamp::Stamp> {
    pools.iter().map(|pool| pool.applied()).max()
}

async fn reach(
    pool: &rc::Rc<pool::Pool>,
    dialer: &dyn upstream::Dialer,
    needs_probe: bool,
) -> detector::Reach {
    let answered_recently = boot::now().saturating_sub(pool.last_answer()) < RECENT_ANSWER;
    if answered_recently && !needs_probe {
        return detector::Reach::Answered(pool.applied());
    }
    match status::query(pool, dialer, TIMEOUT).await {
        Some(report) if report.status.role == role::Role::Primary => {
            detector::Reach::Answered(report.status.received)
        }
        None if pool.is_closed() => detector::Reach::Closed,
        // An instance that answers but no longer leads cannot serve writes, so it counts as silent.
        Some(_) | None => detector::Reach::Silent,
    }
}
