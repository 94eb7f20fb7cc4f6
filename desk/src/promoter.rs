//! Replaces primaries, on the one node that holds the promoter lease.
//!
//! A promotion holds all replicas for a new term, so that the old primary can acknowledge nothing
//! more, chooses the replica with the longest log, records its intent in the store and orders the
//! candidate to lead. A [`cleanup`] then demotes the old primary and releases the replicas.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray::store;
use mangotray::telemetry;

use crate::audit;
use crate::boot;
use crate::cleanup;
use crate::detector;
use crate::election;
use crate::group;
use crate::holdback;
use crate::intent;
use crate::monitor;
use crate::node;
use crate::pool;
use crate::probe;
use crate::promote;
use crate::promotion;
use crate::resumes;
use crate::shortfall;
use crate::status;
use crate::upstream;
use crate::verdict;
use crate::wait;
use crate::witness;

/// Interval at which the configuration is checked for new groups.
const GROUP_SCAN_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Time within which an instance that receives records is listed, and the list has reached this
/// node.
const LISTING_DELAY: time::Duration = time::Duration::from_millis(500);

/// Pause between holds while an earlier resume command may still arrive.
const HOLD_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Result of one attempt to replace a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The candidate is the new primary.
    Promoted(status::Leader),
    /// Another instance already leads a later term.
    Overtaken(status::Leader),
    /// Only an instance that does not answer may have all acknowledged commits.
    HeldBack(holdback::Holdback),
    /// The attempt was given up; a later one may succeed.
    GivenUp,
}

/// The held replicas of a group and the candidate chosen among them.
struct Selection {
    reports: Vec<status::Report>,
    processes: promotion::Processes,
    candidate: upstream::Id,
    /// Last log position that the candidate received.
    position: stamp::Stamp,
}

/// State of the cleanup after a promotion.
struct CleanupState {
    term: id::Term,
    /// The demotion of the replaced primary has ended; only replicas may be left to release.
    predecessor_demoted: bool,
}

/// Replaces primaries while this node holds the promoter lease.
pub struct Promoter {
    node: rc::Rc<node::Node>,
    election: rc::Rc<election::Election>,
    promote_client: rc::Rc<dyn promote::Client>,
    /// The last cleanup of each group that this node knows of, finished or running.
    cleanups: cell::RefCell<collections::BTreeMap<id::Group, CleanupState>>,
    /// The last order of each group, and the time from which its timeout counts on this node.
    last_orders: cell::RefCell<collections::BTreeMap<id::Group, (intent::Intent, id::Time)>>,
    /// Groups found to have no order in flight after the store came back, with the store's era.
    groups_without_order: cell::RefCell<collections::BTreeMap<id::Group, store::Era>>,
    resumes: rc::Rc<cell::RefCell<resumes::Resumes>>,
    /// Groups whose candidate lacked acknowledged commits.
    shortfalls: cell::RefCell<collections::BTreeMap<id::Group, shortfall::Shortfall>>,
}

impl Promoter {
    /// Creates a promoter; [`Promoter::run`] starts it.
    #[must_use]
    pub fn new(
        node: rc::Rc<node::Node>,
        election: rc::Rc<election::Election>,
        promote_client: rc::Rc<dyn promote::Client>,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            node,
            election,
            promote_client,
            cleanups: cell::RefCell::default(),
            last_orders: cell::RefCell::default(),
            groups_without_order: cell::RefCell::default(),
            resumes: rc::Rc::default(),
            shortfalls: cell::RefCell::default(),
        })
    }

    /// The promoter lease.
    #[must_use]
    pub fn election(&self) -> &election::Election {
        &self.election
    }

    /// The node that this promoter runs on.
    #[must_use]
    pub fn node(&self) -> &node::Node {
        &self.node
    }

    /// Starts a monitor for each group, also for groups configured later. Never returns.
    pub async fn run(self: rc::Rc<Self>) {
        let mut watched = collections::BTreeSet::new();
        loop {
            for group in self.node.groups() {
                if watched.insert(group.name.clone()) {
                    let monitor = monitor::Monitor::new(rc::Rc::clone(&self), group);
                    self.node.executor().spawn(monitor.run()).detach();
                }
            }
            self.record_memberships().await;
            wait::sleep(GROUP_SCAN_INTERVAL).await;
        }
    }

    // Records the instances of each group whose record is outdated.
    async fn record_memberships(&self) {
        if self.election.held().is_none() {
            return;
        }
        for group in self.node.groups() {
            let Some(record) = group.unrecorded() else {
                continue;
            };
            if !self.election.record_membership(&record).await {
                return;
            }
            // The version is not known before the store's notification.
            group.note_recording();
        }
    }

    /// Replaces the primary `leader`. `max_received` is the last log position that any replica of the
    /// group is known to have received.
    pub async fn replace(
        self: &rc::Rc<Self>,
        group: &rc::Rc<group::Group>,
        leader: &status::Leader,
        cause: detector::Cause,
        max_received: Option<stamp::Stamp>,
    ) -> Outcome {
        self.resumes.borrow_mut().set_promoting(&group.name, true);
        let outcome = self.promote(group, leader, cause, max_received).await;
        self.resumes.borrow_mut().set_promoting(&group.name, false);
        outcome
    }

    async fn promote(
        self: &rc::Rc<Self>,
        group: &rc::Rc<group::Group>,
        leader: &status::Leader,
        cause: detector::Cause,
        max_received: Option<stamp::Stamp>,
    ) -> Outcome {
        let mut promotion = promotion::Promotion {
            group: rc::Rc::clone(group),
            old: probe::Prober::new(group, leader).primary,
            cause,
            term: group.term().max(leader.term) + 1,
            began: boot::now(),
            max_received,
        };
        if cause == detector::Cause::Planned {
            self.stop_leaving_primary(&promotion, leader).await;
            promotion.began = boot::now();
        }
        let selection = match self.hold_after_resumes(&promotion, leader).await {
            Ok(selection) => selection,
            Err(outcome) => return outcome,
        };
        let candidate = &selection.candidate;
        let audit = audit(&promotion, &selection);
        tracing::info!(group = %group.name, %candidate, term = promotion.term, position = %selection.position,
            counted = audit.counted(), uncounted = audit.uncounted(),
            furthest = promotion.max_received.map(tracing::field::display), "candidate chosen");
        let relief = cause == detector::Cause::Relief;
        if relief
            && !self
                .step_down_first(&promotion, candidate, &selection.reports)
                .await
        {
            self.release(group, leader).await;
            return Outcome::GivenUp;
        }
        let returns_lead = promotion
            .old
            .as_ref()
            .is_some_and(|old| old.id() == *candidate);
        if cause == detector::Cause::Planned
            && !returns_lead
            && promotion.is_ahead_of(candidate, &selection.reports).await
        {
            tracing::warn!(group = %group.name, %candidate, "the primary has records that no replica has");
            self.release(group, leader).await;
            return Outcome::GivenUp;
        }
        let order_outcome = self.send_order(&promotion, leader, &selection).await;
        if let promote::Outcome::Refused(_) = order_outcome {
            if relief {
                // The primary has stepped down. The replicas stay held for the next attempt, and
                // requests must no longer be sent to it.
                group.suspect(leader.term, "the primary has stepped down");
            } else if cause.primary_may_run()
                && probe::Prober::new(&promotion.group, leader).leads().await
            {
                // The order was not carried out, so a running primary can continue. Otherwise
                // its replicas would stay held until promotions are possible again.
                self.release(group, leader).await;
            }
            return Outcome::GivenUp;
        }
        // If it is unknown whether the order arrived, the old primary may remain the only one for
        // long, so it is demoted only once the candidate leads. It acknowledges nothing meanwhile,
        // as its replicas are held.
        if cause.primary_may_run() && order_outcome == promote::Outcome::Accepted {
            promotion
                .while_holding(candidate, promotion.demote_predecessor())
                .await;
        }
        let outcome = self.finish(&promotion, candidate).await;
        if matches!(outcome, Outcome::Promoted(_)) {
            let check = check_losses(rc::Rc::clone(group), audit);
            self.node.executor().spawn(check).detach();
        }
        outcome
    }

    // Makes the primary step down before its successor is ordered. Returns whether it has done so.
    //
    // A loaded primary appends records all the time, and a query for its log position takes as
    // long as its queue, so most relief promotions would find it ahead of the held replicas and
    // be withdrawn. After the step-down it acknowledges nothing more. If it is ahead then, only
    // an instance that is not listed yet can have contributed to an acknowledgement. The listing
    // delay is waited for, and the promotion starts over if such an instance appears.
    async fn step_down_first(
        &self,
        promotion: &promotion::Promotion,
        candidate: &upstream::Id,
        held: &[status::Report],
    ) -> bool {
        if self.election.confirm().await.is_none() {
            return false;
        }
        let Some(position) = promotion.step_down().await else {
            return false;
        };
        let received = held
            .iter()
            .find(|report| report.id == *candidate)
            .map(|report| report.status.received);
        let ahead = position.is_none() || position > received;
        tracing::info!(group = %promotion.group.name, stands = ?position, ?received, ahead, "the primary has stepped down");
        if ahead {
            wait::sleep(LISTING_DELAY).await;
        }
        true
    }

    // Whether an order may have taken effect, or may still do so, that makes an instance the
    // primary of a later term than that of `leader`.
    fn has_open_order(&self, group: &id::Group, leader: &status::Leader) -> bool {
        let intent = self.election.intent(group);
        intent.is_some_and(|intent| intent.term > leader.term)
    }

    /// Whether an order may be in force whose record the store has lost in an outage.
    pub fn may_have_lost_order(&self, group: &id::Group) -> bool {
        let checked_era = self.groups_without_order.borrow().get(group).copied();
        self.election.may_have_lost_order() && checked_era != Some(self.election.era())
    }

    /// Notes that in the store's present era the group has no order whose record was lost.
    pub fn note_no_lost_order(&self, group: &id::Group) {
        let era = self.election.era();
        self.groups_without_order
            .borrow_mut()
            .insert(group.clone(), era);
    }

    // Whether the primary that was replaced last has been demoted, or has ended.
    fn is_predecessor_demoted(&self, group: &id::Group) -> bool {
        let cleanups = self.cleanups.borrow();
        cleanups
            .get(group)
            .is_none_or(|state| state.predecessor_demoted)
    }

    // Holds all replicas, repeatedly until no earlier resume command can have arrived in between.
    async fn hold_after_resumes(
        &self,
        promotion: &promotion::Promotion,
        leader: &status::Leader,
    ) -> Result<Selection, Outcome> {
        let group = &promotion.group;
        let mut logged = false;
        loop {
            let resume_until = self
                .resumes
                .borrow_mut()
                .latest_arrival(&group.name, boot::now());
            if resume_until.is_some() && promotion.cause.can_wait() {
                tracing::info!(group = %group.name, term = promotion.term,
                    "promotion postponed: an earlier resume command may still arrive");
                return Err(Outcome::GivenUp);
            }
            let selection = self.hold(promotion, leader).await?;
            let Some(until) = resume_until else {
                return Ok(selection);
            };
            if self.has_returned(promotion, leader).await {
                tracing::warn!(group = %group.name, term = promotion.term, "promotion given up: the old primary is leading again");
                self.release(group, leader).await;
                return Err(Outcome::GivenUp);
            }
            let left = until.saturating_sub(boot::now());
            if !logged {
                tracing::info!(group = %group.name, term = promotion.term, left_ms = left.as_millis(),
                    "promotion order delayed: an earlier resume command may still arrive");
                logged = true;
            }
            wait::sleep(left.min(HOLD_RETRY_INTERVAL)).await;
        }
    }

    /// Holds all replicas for the new term and chooses a candidate among them.
    ///
    /// Each of them may be the only instance besides the old primary that has an acknowledged
    /// commit, so a promotion without its answer could lose that commit.
    async fn hold(
        &self,
        promotion: &promotion::Promotion,
        leader: &status::Leader,
    ) -> Result<Selection, Outcome> {
        let group = &promotion.group;
        loop {
            group.forget_ended();
            group.query_successors(probe::TIMEOUT).await;
            let pools = promotion.replicas();
            let processes = promotion.processes();
            let reports = hold_each(promotion, &pools).await;
            self.demote_stale(promotion, leader, &pools, &reports).await;
            let pending = self.election.intent(&group.name);
            let pending = pending.filter(|intent| {
                let open = intent.term > leader.term && processes.contains(&intent.process());
                open && !self.is_timed_out(intent)
            });
            let loss = match self.loss(promotion, leader) {
                Some(loss) => Some(self.bound_unseen(&group.name, loss).await),
                None => None,
            };
            let view = verdict::View {
                leader,
                term: promotion.term,
                expected: pools.len(),
                reports: &reports,
                max_received: promotion.max_received.max(group.max_received()),
                pending: pending.as_ref().map(|intent| &intent.candidate),
                loss,
            };
            let (mut verdict, predecessor) = self.judge(promotion, leader, &view).await;
            if let verdict::Verdict::Promote(candidate) = &verdict {
                let answers = reports.iter().chain(&predecessor);
                let position = position_of(answers, candidate);
                if let Some(obstacle) = self.find_shortfall(promotion, leader, position).await {
                    verdict = obstacle;
                }
            }
            let missing = verdict == verdict::Verdict::Missing;
            match verdict {
                verdict::Verdict::Promote(candidate) if promotion.has_unknown_id(&candidate) => {
                    tracing::info!(group = %group.name, %candidate,
                        "the instance with the longest log cannot be promoted: its id is unknown");
                }
                verdict::Verdict::Promote(candidate) => {
                    return Ok(Selection {
                        position: position_of(reports.iter().chain(&predecessor), &candidate),
                        reports,
                        processes,
                        candidate,
                    });
                }
                verdict::Verdict::Overtaken(found) => return Err(Outcome::Overtaken(found)),
                verdict::Verdict::HeldBack => {
                    let holdback = holdback(promotion, &view, &pools);
                    // If the primary comes back, its replicas must be able to receive from it.
                    self.release(group, leader).await;
                    return Err(Outcome::HeldBack(holdback));
                }
                verdict::Verdict::Returned => {
                    self.release(group, leader).await;
                    return Err(Outcome::GivenUp);
                }
                verdict::Verdict::Wait | verdict::Verdict::Missing | verdict::Verdict::Lacking => {}
            }
            let late = boot::now() > promotion.began + promotion.cause.hold_timeout();
            let returned = self.has_returned(promotion, leader).await;
            if late || returned || self.election.held().is_none() {
                let unanswered = status::unanswered(&pools, &reports);
                let position = reports.iter().map(|report| report.status.received).max();
                tracing::warn!(group = %group.name, term = promotion.term, expected = pools.len(),
                    answers = reports.len(), ?unanswered, late, returned,
                    position = position.map(tracing::field::display),
                    furthest = view.max_received.map(tracing::field::display),
                    pending = pending.as_ref().map(|intent| intent.candidate.to_string()),
                    "promotion given up");
                let held_back = missing && !returned && !promotion.cause.can_wait();
                let holdback = held_back.then(|| holdback(promotion, &view, &pools));
                self.release(group, leader).await;
                return Err(holdback.map_or(Outcome::GivenUp, Outcome::HeldBack));
            }
            wait::sleep(promotion::POLL_INTERVAL).await;
        }
    }

    // What keeps a candidate with this log position from being promoted, if callers of any node in
    // reach were told that commits beyond it are kept: a replica that is not listed yet may have
    // them. After a bounded wait nothing does.
    async fn find_shortfall(
        &self,
        promotion: &promotion::Promotion,
        leader: &status::Leader,
        position: stamp::Stamp,
    ) -> Option<verdict::Verdict> {
        let group = &promotion.group.name;
        let acknowledged = self.node.acknowledged_anywhere(group).await;
        let beyond = acknowledged.position.filter(|stamp| *stamp > position);
        let Some(acknowledged) = beyond else {
            self.shortfalls.borrow_mut().remove(group);
            return None;
        };
        let now = boot::now();
        let before = self.shortfalls.borrow_mut().remove(group);
        let shortfall = shortfall::Shortfall::note(before, acknowledged, now);
        self.shortfalls
            .borrow_mut()
            .insert(group.clone(), shortfall);
        tracing::warn!(%group, %position, %acknowledged, over = shortfall.is_over(now),
            "the candidate lacks acknowledged commits; a replica that is not listed yet may have them");
        if shortfall.is_over(now) {
            metrics::counter!(telemetry::SHORT_PROMOTIONS, "group" => group.to_string())
                .increment(1);
            return None;
        }
        let leads = probe::Prober::new(&promotion.group, leader).leads().await;
        Some(if leads {
            verdict::Verdict::Returned
        } else {
            verdict::Verdict::HeldBack
        })
    }

    // Makes a leaving primary stop before its replicas are held, if an unlisted replica does not answer
    // and may not come back before the primary's end. A stopped primary's log has all records, so
    // that the missing replica is not needed.
    //
    // Replicas that are not held yet receive what the primary had sent; held ones would lack it.
    async fn stop_leaving_primary(
        &self,
        promotion: &promotion::Promotion,
        leader: &status::Leader,
    ) {
        let group = &promotion.group;
        let pools = promotion.replicas();
        let reports = group.query_status(&pools, probe::TIMEOUT).await;
        let missing = status::unanswered(&pools, &reports);
        let roster = group.roster();
        let dispensable =
            |id: &upstream::Id| roster.find(id).is_none_or(|pool| roster.is_unlisted(&pool));
        let stops = !missing.is_empty() && !reports.is_empty() && missing.iter().all(dispensable);
        if !stops || group.last_position(leader).is_none() {
            return;
        }
        if self.election.confirm().await.is_none() {
            return;
        }
        if let Some(Some(position)) = promotion.step_down().await {
            tracing::info!(group = %group.name, primary = %leader.id, %position, ?missing,
                "the leaving primary has stepped down, as not all replicas answer");
            group.suspect(leader.term, "the primary has stepped down");
            wait::sleep(witness::REPLICATION_DELAY).await;
        }
    }

    // The status of the replaced primary, if it answers as a replica and was seen to lead its term.
    async fn find_stopped_predecessor(
        &self,
        promotion: &promotion::Promotion,
        leader: &status::Leader,
    ) -> Option<(status::Report, stamp::Stamp)> {
        let position = promotion.group.last_position(leader)?;
        match promotion.query_predecessor().await {
            verdict::Predecessor::Answers(report) if report.status.role == role::Role::Replica => {
                Some((report, position))
            }
            _ => None,
        }
    }

    // Judges one round of holds. If the replicas alone do not decide, the replaced primary's answer
    // does; it is returned as well.
    async fn judge(
        &self,
        promotion: &promotion::Promotion,
        leader: &status::Leader,
        view: &verdict::View<'_>,
    ) -> (verdict::Verdict, Option<status::Report>) {
        let group = &promotion.group;
        let leaves = |id: &upstream::Id| group.roster().is_leaving(id);
        let mut verdict = view.judge(leaves);
        if group.roster().may_have_successor() {
            verdict = verdict::Verdict::Wait;
        }
        let mut predecessor = None;
        if verdict == verdict::Verdict::Missing
            && let Some((old, position)) = self.find_stopped_predecessor(promotion, leader).await
        {
            verdict = view.resolve_missing(&old, position, leaves);
            tracing::info!(group = %group.name, ?old, %position, ?verdict,
                "not all replicas answer, but the replaced primary does and has stopped");
            predecessor = Some(old);
        }
        if verdict == verdict::Verdict::Lacking {
            let old = promotion.query_predecessor().await;
            verdict = view.resolve(&old, leaves);
            predecessor = old.report().cloned();
            let known = promotion.old.is_some();
            tracing::info!(group = %group.name, furthest = ?promotion.max_received, loss = ?view.loss, ?old, known, ?verdict,
                "no replica has all records that a replica had received");
        }
        if let verdict::Verdict::Promote(candidate) = &verdict
            && view.is_empty(candidate)
            && let old @ verdict::Predecessor::Answers(_) = promotion.query_predecessor().await
        {
            verdict = view.resolve(&old, leaves);
            predecessor = old.report().cloned();
            tracing::info!(group = %group.name, ?old, ?verdict, "the logs of all replicas are empty");
        }
        (verdict, predecessor)
    }

    // If a replica has lost its log under this primary, the bound on the records that it may have
    // confirmed before. While an order is open, all replicas were held before it, so the position
    // in the order's record is that bound. A stalled primary is exempt: it is cut off from its
    // replicas and could not be replaced for as long as that lasts.
    fn loss(
        &self,
        promotion: &promotion::Promotion,
        leader: &status::Leader,
    ) -> Option<verdict::Loss> {
        let floors =
            |witnesses: &witness::Witnesses<'_>| witnesses.leadership.floors().loss(leader.term);
        let loss = promotion.group.with_witnesses(floors)?;
        if promotion.cause == detector::Cause::Stalled {
            return None;
        }
        let intent = self.election.intent(&promotion.group.name);
        let intent = intent.filter(|intent| intent.term > leader.term);
        Some(intent.map_or(loss, |intent| verdict::Loss::Within(intent.received)))
    }

    // Bounds what a process may have confirmed that was never seen to follow the replaced primary:
    // whatever it confirmed, callers were told of no commit beyond what all nodes report.
    async fn bound_unseen(&self, group: &id::Group, loss: verdict::Loss) -> verdict::Loss {
        if loss != verdict::Loss::Unseen {
            return loss;
        }
        let acknowledgement = self.node.acknowledged_anywhere(group).await;
        tracing::info!(%group, ?acknowledgement, "a process has ended that was not seen to follow the primary");
        let bound = acknowledgement.bound();
        bound.map_or(verdict::Loss::Unknown, verdict::Loss::Within)
    }

    // Whether a recorded order is too old to still take effect. The wait must end, because the
    // candidate may lack records that another replica has, and the group has no primary meanwhile.
    fn is_timed_out(&self, intent: &intent::Intent) -> bool {
        let now = boot::now();
        let mut last_orders = self.last_orders.borrow_mut();
        match last_orders.get(&intent.group) {
            Some((known, since)) if known == intent => now > *since + monitor::ORDER_TIMEOUT,
            _ => {
                last_orders.insert(intent.group.clone(), (intent.clone(), now));
                false
            }
        }
    }

    // Demotes an instance that was not notified of the end of its term and still leads it.
    //
    // If no other instance knows the term that is replaced, its primary may never have led. Then
    // the primary of the earlier term is the only one, and is demoted only for a promotion that
    // can be ordered now.
    async fn demote_stale(
        &self,
        promotion: &promotion::Promotion,
        leader: &status::Leader,
        pools: &[rc::Rc<pool::Pool>],
        reports: &[status::Report],
    ) {
        let stale = |report: &&status::Report| {
            report.status.role == role::Role::Primary && report.status.term <= leader.term
        };
        let Some(found) = reports.iter().find(stale) else {
            return;
        };
        let known = reports
            .iter()
            .any(|report| report.status.term >= leader.term);
        if !known && !self.could_order(promotion, pools.len(), reports).await {
            return;
        }
        if let Some(pool) = pools.iter().find(|pool| pool.id() == found.id) {
            let demote = upstream::Command::Demote(promotion.term);
            promotion::send(pool, &demote, promotion.group.dialer()).await;
        }
    }

    // Whether all instances but one are held and the store confirms the promoter lease.
    async fn could_order(
        &self,
        promotion: &promotion::Promotion,
        expected: usize,
        reports: &[status::Report],
    ) -> bool {
        let held = reports.iter().filter(|report| {
            report.status.role == role::Role::Replica && report.status.held >= promotion.term
        });
        held.count() + 1 == expected && self.election.confirm().await.is_some()
    }

    // Whether the old primary answers and leads, although it was presumed lost, or although an
    // unfinished promotion without an order holds its replicas.
    async fn has_returned(
        &self,
        promotion: &promotion::Promotion,
        leader: &status::Leader,
    ) -> bool {
        let unfinished = promotion.cause == detector::Cause::Unfinished;
        let given_up = !promotion.cause.primary_may_run();
        let unordered = unfinished && !self.has_open_order(&promotion.group.name, leader);
        (given_up || unordered) && probe::Prober::new(&promotion.group, leader).leads().await
    }

    /// Releases the replicas of a promotion that was given up, unless a replaced primary could then
    /// acknowledge writes that its successor never receives.
    ///
    /// That is possible while an order with an unknown outcome may be in force, and until the
    /// previous primary has been demoted, unless the present primary answers: the replicas follow
    /// it in that case. Replicas that stay held are released by the cleanup of the promotion that
    /// needs the holds.
    ///
    /// A node whose promoter lease may have ended releases nothing: the holds may be those of the
    /// next lease holder.
    pub async fn release(&self, group: &rc::Rc<group::Group>, leader: &status::Leader) {
        if self.election.held().is_none() {
            tracing::info!(group = %group.name, "replicas stay held: the promoter lease may have ended");
            return;
        }
        if self.may_have_lost_order(&group.name) {
            tracing::info!(group = %group.name, "replicas stay held: the store may have lost the record of a promotion order");
            return;
        }
        if self.has_open_order(&group.name, leader) {
            tracing::info!(group = %group.name, "replicas stay held: a promotion order may be in force");
            return;
        }
        let prober = probe::Prober::new(group, leader);
        if !self.is_predecessor_demoted(&group.name) && !prober.leads().await {
            tracing::info!(group = %group.name, "replicas stay held: a replaced primary is not demoted yet");
            return;
        }
        let may_release = || self.election.held().is_some();
        let resumes = prober
            .others
            .iter()
            .map(|pool| promotion::resume(pool, group, &self.resumes, may_release));
        futures_util::future::join_all(resumes).await;
    }

    async fn send_order(
        &self,
        promotion: &promotion::Promotion,
        leader: &status::Leader,
        selection: &Selection,
    ) -> promote::Outcome {
        let group = &promotion.group.name;
        let open = self.has_open_order(group, leader);
        let Some(permit) = self
            .election
            .record(&promotion.intent(&selection.candidate, selection.position, &selection.reports))
            .await
        else {
            tracing::warn!(%group, "no promotion ordered: the store did not confirm the promoter lease");
            return promote::Outcome::Refused("the seat is not confirmed".into());
        };
        // A restarted replica has lost its hold, and an added replica never had one.
        let outcome = if promotion.are_held().await && promotion.processes() == selection.processes
        {
            let order = promote::Order {
                group: group.clone(),
                candidate: selection.candidate.clone(),
                holder: self.node.name.clone(),
                fence: permit.fence,
            };
            let _in_flight = self.election.order_token();
            let may_send = || self.election.may_send(&permit);
            let sent = self.promote_client.promote(&order, &may_send);
            let outcome = promotion.while_holding(&selection.candidate, sent).await;
            if let Some(intent) = self.election.intent(group) {
                let entry = (intent, boot::now());
                self.last_orders.borrow_mut().insert(group.clone(), entry);
            }
            outcome
        } else {
            promote::Outcome::Refused("a replica is no longer as it was held".into())
        };
        tracing::info!(%group, candidate = %selection.candidate, fence = permit.fence, ?outcome,
            "promotion ordered");
        if matches!(outcome, promote::Outcome::Refused(_)) && !open {
            self.election.retract(group);
        }
        outcome
    }

    async fn finish(
        self: &rc::Rc<Self>,
        promotion: &promotion::Promotion,
        candidate: &upstream::Id,
    ) -> Outcome {
        let led_term = promotion
            .await_leadership(candidate, promotion::LEADERSHIP_TIMEOUT)
            .await;
        let group = &promotion.group;
        group.search();
        tracing::info!(group = %group.name, %candidate, term = promotion.term, leads = led_term.is_some(), led = led_term,
            cause = ?promotion.cause, took_ms = boot::now().saturating_sub(promotion.began).as_millis(), "promotion over");
        let Some(term) = led_term else {
            return Outcome::GivenUp;
        };
        metrics::counter!(telemetry::PROMOTIONS, "cause" => promotion.cause.label()).increment(1);
        if let Some(intent) = self.election.intent(&group.name) {
            self.complete(group, &intent, term).await;
        }
        Outcome::Promoted(status::Leader {
            id: candidate.clone(),
            term,
        })
    }

    /// Completes a promotion whose candidate leads in `term`: starts the cleanup and corrects the
    /// term in the promotion's record.
    ///
    /// If an earlier order never took effect, the candidate may lead an earlier term than the
    /// replicas were held for. With the later term in the record, replicas would be held for it
    /// again, and nodes would reject the new primary as already replaced.
    pub async fn complete(
        self: &rc::Rc<Self>,
        group: &rc::Rc<group::Group>,
        intent: &intent::Intent,
        term: id::Term,
    ) {
        let led = intent::Intent {
            term,
            ..intent.clone()
        };
        self.clean_up(group, &led, intent.term);
        if term < intent.term && self.election.record(&led).await.is_none() {
            tracing::warn!(group = %group.name, candidate = %intent.candidate, term,
                "cannot correct the term in the record of a promotion");
        }
    }

    /// Starts the cleanup after a promotion in the background, once per term: demotes the replaced
    /// primary, then releases the replicas held for the term `held` or an earlier one.
    pub fn clean_up(
        self: &rc::Rc<Self>,
        group: &rc::Rc<group::Group>,
        intent: &intent::Intent,
        held: id::Term,
    ) {
        let term = intent.term;
        let mut cleanups = self.cleanups.borrow_mut();
        if cleanups
            .get(&group.name)
            .is_some_and(|state| state.term >= term)
        {
            return;
        }
        let state = CleanupState {
            term,
            predecessor_demoted: false,
        };
        cleanups.insert(group.name.clone(), state);
        let cleanup = cleanup::Cleanup::new(
            rc::Rc::clone(group),
            intent,
            held,
            rc::Rc::clone(&self.election),
            rc::Rc::clone(&self.resumes),
        );
        let promoter = rc::Rc::clone(self);
        let name = group.name.clone();
        let work = async move {
            let demoted = cleanup.demote_predecessor().await;
            promoter.note_predecessor_demoted(&name, term);
            let done = demoted && cleanup.release().await;
            tracing::info!(group = %name, term, done, "promotion cleaned up");
        };
        self.node.executor().spawn(work).detach();
    }

    fn note_predecessor_demoted(&self, group: &id::Group, term: id::Term) {
        let mut cleanups = self.cleanups.borrow_mut();
        let state = cleanups.get_mut(group);
        if let Some(state) = state.filter(|state| state.term == term) {
            state.predecessor_demoted = true;
        }
    }
}

// Log position that an instance reported.
fn position_of<'a>(
    mut reports: impl Iterator<Item = &'a status::Report>,
    id: &upstream::Id,
) -> stamp::Stamp {
    let found = reports.find(|report| report.id == *id);
    found
        .map(|report| report.status.received)
        .unwrap_or_default()
}

// Describes what a promotion waits for that is held back.
fn holdback(
    promotion: &promotion::Promotion,
    view: &verdict::View<'_>,
    pools: &[rc::Rc<pool::Pool>],
) -> holdback::Holdback {
    let mut missing = status::unanswered(pools, view.reports);
    missing.extend(promotion.old.as_ref().map(|old| old.id()));
    holdback::Holdback {
        missing,
        position: view
            .reports
            .iter()
            .map(|report| report.status.received)
            .max(),
        known: view.max_received,
    }
}

// Records which logs the choice of the candidate is based on.
fn audit(promotion: &promotion::Promotion, selection: &Selection) -> audit::Audit {
    let roster = promotion.group.roster();
    let now = boot::now();
    let ids = |pools: Vec<rc::Rc<pool::Pool>>| pools.iter().map(|pool| pool.id()).collect();
    let forgotten = roster.forgotten().into_iter();
    audit::Audit {
        candidate: selection.candidate.clone(),
        position: selection.position,
        term: promotion.term,
        old: promotion.old.as_ref().map(|old| old.id()),
        reports: selection.reports.clone(),
        queried: ids(roster.pools()),
        unlisted: ids(roster.absent()),
        forgotten: forgotten
            .map(|(id, since)| (id, now.saturating_sub(since)))
            .collect(),
    }
}

// Queries all instances once after a promotion and reports records that the new primary lacks. The
// answers do not change this node's view of the group.
async fn check_losses(group: rc::Rc<group::Group>, audit: audit::Audit) {
    let pools = group.roster().pools();
    let reports = status::query_all(&pools, group.dialer(), probe::TIMEOUT).await;
    let (candidate, position, term) = (&audit.candidate, audit.position, audit.term);
    let ahead = audit.instances_ahead(&reports);
    tracing::info!(group = %group.name, %candidate, term, answers = reports.len(),
        unseen = audit.unanswered(&reports), beyond = ahead.len(), "promotion checked");
    for report in ahead {
        let received = report.status.received;
        if audit.old.as_ref() == Some(&report.id) {
            tracing::warn!(group = %group.name, instance = %report.id, %received, %candidate, %position, term,
                "the replaced primary has records that the new primary lacks: they are lost if they were acknowledged");
        } else {
            metrics::counter!(telemetry::PROMOTION_LOSSES, "group" => group.name.to_string())
                .increment(1);
            tracing::error!(group = %group.name, instance = %report.id, %received, %candidate, %position, term,
                "a replica has records that the new primary lacks: acknowledged commits may be lost");
        }
    }
}

// Sends a hold to each instance and records the answers.
async fn hold_each(
    promotion: &promotion::Promotion,
    pools: &[rc::Rc<pool::Pool>],
) -> Vec<status::Report> {
    let dialer = promotion.group.dialer();
    let hold = upstream::Command::Hold(promotion.term);
    let started = boot::now();
    let holds = pools
        .iter()
        .map(|pool| promotion::send(pool, &hold, dialer));
    let answers = futures_util::future::join_all(holds).await;
    let reports: Vec<_> = answers.into_iter().flatten().collect();
    promotion.group.record_reports(&reports, started);
    reports
}
