//! Renewal of a group's floors, shared by all concurrent reads.

use std::cell;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::boot;
use crate::delegate;
use crate::group;
use crate::source;
use crate::status;
use crate::wait;

/// A floor is renewed once its age reaches this percentage of a read's staleness bound. The rest is
/// the time that a replica may lag behind; status queries load the instances, and a lower
/// percentage needs more of them.
const RENEWAL_PERCENT: u32 = 70;

/// Minimum interval between two attempts to renew a floor.
const REFRESH_PAUSE: time::Duration = time::Duration::from_millis(60);

/// A primary's position older than this is queried again together with a new floor.
const MAX_POSITION_AGE: time::Duration = time::Duration::from_millis(200);

/// Renews the floors of one group.
#[derive(Default)]
pub struct Renewal {
    running: cell::Cell<bool>,
    running_locally: cell::Cell<bool>,
    /// When it was last found that no floor is known before a primary is: the replicas need not have
    /// every commit. `None` once there is a primary.
    unprovable_at: cell::Cell<Option<id::Time>>,
}

impl Renewal {
    /// A floor that covers all commits acknowledged before `moment`, for a read that accepts data of
    /// this age. `None` if there is none before the read's deadline, or no instance can tell one.
    pub async fn floor(
        &self,
        group: &rc::Rc<group::Group>,
        request: &source::Requirements,
        moment: id::Time,
        age: time::Duration,
    ) -> Option<stamp::Stamp> {
        loop {
            let changed = group.changed().listen();
            let (floor, newest) = {
                let leadership = group.leadership().borrow();
                let floors = leadership.floors();
                (floors.since(moment), floors.newest_moment())
            };
            let renewal = request.arrived.saturating_sub(age * RENEWAL_PERCENT / 100);
            if newest.is_none_or(|newest| newest < renewal) {
                let percent = if floor.is_some() {
                    RENEWAL_PERCENT
                } else {
                    100
                };
                let spent = boot::now().saturating_sub(moment);
                self.renew_soon(group, spent * percent / 100);
            }
            if let Some(floor) = floor {
                return Some(floor.max(request.own.unwrap_or_default()));
            }
            if self.unprovable_at.get() >= Some(request.arrived) {
                return None;
            }
            wait::until(request.deadline, changed).await?;
        }
    }

    /// A floor for another node that requested one which covers all commits acknowledged longer ago
    /// than `within`; determined by status queries of this node if none is known.
    ///
    /// The floor is renewed in the background before it expires, so that later requests get a floor
    /// that replicas have already applied.
    pub async fn floor_for_peer(
        &self,
        group: &rc::Rc<group::Group>,
        within: time::Duration,
    ) -> Option<delegate::Response> {
        let arrived = boot::now();
        let moment = arrived.saturating_sub(within);
        let deadline = arrived + delegate::TIMEOUT;
        loop {
            let changed = group.changed().listen();
            let (found, newest) = {
                let leadership = group.leadership().borrow();
                let floors = leadership.floors();
                (floors.attested_since(moment), floors.newest_moment())
            };
            let renewal = arrived.saturating_sub(within * RENEWAL_PERCENT / 100);
            if newest.is_none_or(|newest| newest < renewal) {
                self.renew_locally_soon(group);
            }
            if let Some((term, time, stamp)) = found {
                let ago = arrived.saturating_sub(time);
                return Some(delegate::Response { term, stamp, ago });
            }
            wait::until(deadline, changed).await?;
        }
    }

    // Obtains a floor that covers all commits acknowledged longer ago than `within`: from the
    // delegate of the failure domain, or else by status queries of this node.
    fn renew_soon(&self, group: &rc::Rc<group::Group>, within: time::Duration) {
        if self.running.replace(true) {
            return;
        }
        let owner = rc::Rc::clone(group);
        let renewal = async move {
            if !request_floor(&owner, within).await {
                refresh_and_pause(&owner).await;
            }
            owner.renewal().running.set(false);
            owner.changed().notify(usize::MAX);
        };
        group.executor().spawn(renewal).detach();
    }

    // Notes that queries begun at `started` found no primary, and that replicas alone tell no floor.
    fn note_unprovable(&self, group: &id::Group, started: id::Time) {
        if self.unprovable_at.replace(Some(started)).is_none() {
            tracing::info!(%group, "reads are refused: no primary answers, and replicas need not have every commit");
        }
    }

    // Determines a floor by status queries of this node.
    fn renew_locally_soon(&self, group: &rc::Rc<group::Group>) {
        if self.running_locally.replace(true) {
            return;
        }
        let owner = rc::Rc::clone(group);
        let renewal = async move {
            refresh_and_pause(&owner).await;
            owner.renewal().running_locally.set(false);
            owner.changed().notify(usize::MAX);
        };
        group.executor().spawn(renewal).detach();
    }
}

async fn refresh_and_pause(group: &rc::Rc<group::Group>) {
    refresh(group).await;
    group.changed().notify(usize::MAX);
    // Tasks that still lack a floor retry at once: without a pause, a group in which only the
    // primary answers is queried hundreds of times a second.
    wait::sleep(REFRESH_PAUSE).await;
}

// Determines a floor for reads that accept some staleness.
async fn refresh(group: &rc::Rc<group::Group>) {
    let Some(leader) = group.leader() else {
        group.search();
        refresh_without_primary(group).await;
        return;
    };
    group.renewal().unprovable_at.set(None);
    let started = boot::now();
    let fresh = group
        .leadership()
        .borrow()
        .floors()
        .has_position_since(started.saturating_sub(MAX_POSITION_AGE));
    if fresh && group.prover().try_prove(group).await.is_some() {
        return;
    }
    let Some(primary) = group.roster().pool(&leader.id) else {
        refresh_without_primary(group).await;
        return;
    };
    let mut pools = group.others(&leader.id);
    pools.truncate(1);
    pools.push(primary);
    let reports = group.query_status(&pools, status::TIMEOUT).await;
    group.apply_reports(started, &reports);
    if reports.len() < pools.len() {
        refresh_without_primary(group).await;
    }
}

// Determines a floor without a primary that is proven to lead. Only the last known primary may be
// silent: any other silent instance may be the primary by now.
//
// While it answers, its own position counts as well: the replicas may be held, and a replica that
// is not listed yet lets it acknowledge commits which they lack.
async fn refresh_without_primary(group: &rc::Rc<group::Group>) {
    let last = group.leadership().borrow().last_primary().cloned();
    let roster = group.roster();
    let (primary, pools): (Vec<_>, Vec<_>) = roster
        .pools()
        .into_iter()
        .partition(|pool| Some(pool.id()) == last);
    let term = group.term();
    // An instance that is not listed yet may be the only replica with a commit.
    if !roster.is_settled() {
        return;
    }
    let started = boot::now();
    let reports = group.query_status(&pools, status::TIMEOUT);
    let own = group.query_status(&primary, status::TIMEOUT);
    let (reports, own) = futures_util::future::join(reports, own).await;
    let own = own.first().map(|report| report.status);
    let answered = own.is_some_and(|own| own.role == role::Role::Primary && own.term == term);
    let leads = |report: &status::Report| report.status.role == role::Role::Primary;
    let vacant = !answered && !reports.iter().any(leads);
    let received = status::max_received(&reports, pools.len(), term);
    // Its log has all commits that it has acknowledged, and this node knows of its own callers'.
    let own = own.map(|own| own.received);
    let received = received.map(|stamp| Some(stamp).max(own).max(group.acknowledged()));
    let received = received.flatten();
    let mut leadership = group.leadership().borrow_mut();
    let covering_position = received
        .and_then(|stamp| leadership.covering_position(stamp, answered, roster.last_lost()));
    if let Some(stamp) = covering_position {
        leadership.record_replica_only_floor(started, stamp);
    } else if vacant && leadership.leader().is_none() && leadership.replication().is_asynchronous()
    {
        group.renewal().note_unprovable(&group.name, started);
    }
}

// Requests a floor from the delegate of the failure domain. Returns whether it serves.
async fn request_floor(group: &rc::Rc<group::Group>, within: time::Duration) -> bool {
    let request = delegate::Request {
        group: group.name.clone(),
        within,
    };
    let sent = boot::now();
    let Some(response) = group.dialer().request_floor(&request).await else {
        return false;
    };
    let moment = response.moment(sent);
    // A response that is older than requested, or of an earlier term, is discarded.
    let serves = moment >= sent.saturating_sub(within) && response.term >= group.term();
    if serves {
        let leader = group.leader();
        if leader.is_some_and(|leader| leader.term < response.term) {
            group.suspect(response.term - 1, "a delegate reported a later term");
        }
        let mut leadership = group.leadership().borrow_mut();
        leadership.adopt_floor(response.term, moment, response.stamp);
    }
    serves
}
