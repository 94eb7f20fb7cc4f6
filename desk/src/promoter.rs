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
use mangotray::stamp;
use mangotray::store;
use mangotray::telemetry;

use crate::boot;
use crate::cleanup;
use crate::detector;
use crate::election;
use crate::group;
use crate::handover;
use crate::holdback;
use crate::holding;
use crate::intent;
use crate::monitor;
use crate::node;
use crate::probe;
use crate::promote;
use crate::promotion;
use crate::resumes;
use crate::selection;
use crate::shortfall;
use crate::status;
use crate::upstream;
use crate::wait;
use crate::witness;

/// Interval at which the configuration is checked for new groups.
const GROUP_SCAN_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Time within which an instance that receives records is listed, and the list has reached this
/// node.
const LISTING_DELAY: time::Duration = time::Duration::from_millis(500);

/// Longest wait for the list of instances that is requested beside the record of a promotion. The
/// order leaves within 350 ms of the record's begin, and the last checks take up to 100 ms of that.
const LIST_TIMEOUT: time::Duration = time::Duration::from_millis(230);

/// How long promotions that can be recorded wait for a list of instances. A connection to the store
/// that has become silent is given up after 700 ms, and a list on a new one takes as long at most. A
/// list that takes longer, as over a narrow link, would leave the group without a primary.
const MAX_LIST_WAIT: time::Duration = time::Duration::from_secs(2);

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

/// State of the cleanup after a promotion.
struct CleanupState {
    term: id::Term,
    /// The demotion of the replaced primary has ended; only replicas may be left to release.
    predecessor_demoted: bool,
}

/// Replaces primaries while this node holds the promoter lease.
pub struct Promoter {
    pub(crate) node: rc::Rc<node::Node>,
    pub(crate) election: rc::Rc<election::Election>,
    promote_client: rc::Rc<dyn promote::Client>,
    /// The last cleanup of each group that this node knows of, finished or running.
    cleanups: cell::RefCell<collections::BTreeMap<id::Group, CleanupState>>,
    /// The last order of each group, and the time from which its timeout counts on this node.
    last_orders: cell::RefCell<collections::BTreeMap<id::Group, (intent::Intent, id::Time)>>,
    /// Groups found to have no order in flight after the store came back, with the store's era.
    groups_without_order: cell::RefCell<collections::BTreeMap<id::Group, store::Era>>,
    pub(crate) resumes: rc::Rc<cell::RefCell<resumes::Resumes>>,
    /// Groups whose candidate lacked acknowledged commits.
    pub(crate) shortfalls: cell::RefCell<collections::BTreeMap<id::Group, shortfall::Shortfall>>,
    /// Groups whose promotion waits for a list of instances, with its term and since when.
    awaited_lists: cell::RefCell<collections::BTreeMap<id::Group, (id::Term, id::Time)>>,
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
            awaited_lists: cell::RefCell::default(),
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
        // An old list may lack a replica that confirms commits while all listed ones are held. The
        // replicas of a primary that runs are not held either while the store is away.
        if cause.is_chosen() && !self.node.listing().request().await {
            tracing::info!(group = %group.name, ?cause, "promotion postponed: the store does not answer");
            return Outcome::GivenUp;
        }
        let mut promotion = promotion::Promotion {
            group: rc::Rc::clone(group),
            old: probe::Prober::new(group, leader).primary,
            cause,
            term: group.term().max(leader.term) + 1,
            began: boot::now(),
            max_received,
        };
        let mut has_stopped = false;
        if cause == detector::Cause::Planned {
            has_stopped = self.stop_leaving_primary(&promotion, leader).await;
            promotion.began = boot::now();
        }
        let holding = holding::Holding {
            promoter: self,
            promotion: &promotion,
            leader,
        };
        let selection = match holding.hold_after_resumes().await {
            Ok(selection) => selection,
            Err(outcome) => return outcome,
        };
        let candidate = &selection.candidate;
        let mut audit = selection.audit(&promotion);
        tracing::info!(group = %group.name, %candidate, term = promotion.term, position = %selection.position,
            counted = audit.counted(), uncounted = audit.uncounted(),
            furthest = promotion.max_received.map(tracing::field::display), "candidate chosen");
        let relief = cause == detector::Cause::Relief;
        let mut has_all_records = false;
        if relief {
            let stopped = self.step_down_first(&promotion, candidate, &selection.reports);
            let Some(ahead) = stopped.await else {
                self.release(group, leader).await;
                return Outcome::GivenUp;
            };
            has_all_records = !ahead;
        }
        let returns_lead = promotion
            .old
            .as_ref()
            .is_some_and(|old| old.id() == *candidate);
        let handover = if returns_lead || has_stopped {
            Ok(None)
        } else {
            self.begin_handover(&promotion, leader, &selection).await
        };
        let Ok(handover) = handover else {
            tracing::warn!(group = %group.name, %candidate, "the primary has records that no replica has");
            self.release(group, leader).await;
            return Outcome::GivenUp;
        };
        // A candidate that follows the primary, or has all of its log, lacks nothing that another
        // replica has.
        let needs_list = !has_all_records && !returns_lead && handover.is_none();
        let order_outcome = self
            .send_order(
                &promotion,
                leader,
                &selection,
                handover.as_ref(),
                needs_list,
            )
            .await;
        if let Some(handover) = &handover {
            audit.note_received(handover.conclude(&order_outcome).await);
        }
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
        let accepted = order_outcome == promote::Outcome::Accepted;
        if cause.primary_may_run() && accepted && handover.is_none() {
            promotion
                .while_holding(candidate, promotion.demote_predecessor())
                .await;
        }
        let outcome = self.finish(&promotion, candidate).await;
        if let Outcome::Promoted(found) = &outcome {
            let node = rc::Rc::clone(&self.node);
            let check = audit.check(node, rc::Rc::clone(group), found.term, promotion.began);
            self.node.executor().spawn(check).detach();
        }
        outcome
    }

    // Begins the change of a running primary to a candidate that follows it. `None` if the primary
    // does not run, or steps down first.
    async fn begin_handover<'a>(
        &'a self,
        promotion: &'a promotion::Promotion,
        leader: &status::Leader,
        selection: &selection::Selection,
    ) -> Result<Option<handover::Handover<'a>>, handover::NotFollowing> {
        let unfinished = promotion.cause == detector::Cause::Unfinished;
        let runs = match promotion.cause {
            detector::Cause::Planned => true,
            detector::Cause::Unfinished => {
                probe::Prober::new(&promotion.group, leader).leads().await
            }
            _ => false,
        };
        let candidate = promotion.group.roster().find(&selection.candidate);
        let Some(candidate) = candidate.filter(|_| runs) else {
            return Ok(None);
        };
        let handover = handover::Handover {
            promotion,
            candidate,
            resumes: &self.resumes,
        };
        if handover.begin(|| self.election.may_release()).await {
            return Ok(Some(handover));
        }
        if unfinished {
            // Its earlier order may take effect at any moment, so that it goes on without a handover.
            handover.withdraw().await;
            return Ok(None);
        }
        Err(handover::NotFollowing)
    }

    // Makes the primary step down before its successor is ordered. Returns whether it has records
    // that the candidate lacks, or `None` if it has not stepped down.
    //
    // A loaded primary appends records all the time, and a query for its log position takes as
    // long as its queue, so most relief promotions would find it ahead of the held replicas and
    // be withdrawn. After the step-down it acknowledges nothing more. If it is ahead then, only
    // an instance that is not listed yet can have contributed to an acknowledgement. The listing
    // delay is waited for, and the promotion starts over if such an instance appears, by the list that
    // is requested before the order at the latest.
    async fn step_down_first(
        &self,
        promotion: &promotion::Promotion,
        candidate: &upstream::Id,
        held: &[status::Report],
    ) -> Option<bool> {
        self.election.confirm().await?;
        let position = promotion.step_down().await?;
        let received = held
            .iter()
            .find(|report| report.id == *candidate)
            .map(|report| report.status.received);
        let ahead = position.is_none() || position > received;
        tracing::info!(group = %promotion.group.name, stands = ?position, ?received, ahead, "the primary has stepped down");
        if ahead {
            wait::sleep(LISTING_DELAY).await;
        }
        Some(ahead)
    }

    // Whether an order may leave with this list of instances: it includes all changes up to the
    // record of the promotion, or such a list has been awaited in vain for [`MAX_LIST_WAIT`].
    fn may_rely_on_list(&self, promotion: &promotion::Promotion, is_current: bool) -> bool {
        let (group, now) = (&promotion.group.name, boot::now());
        let mut awaited = self.awaited_lists.borrow_mut();
        if is_current {
            awaited.remove(group);
            return true;
        }
        let before = awaited.get(group).copied();
        let before = before.filter(|(term, _)| *term == promotion.term);
        let since = before.map_or(now, |(_, since)| since);
        awaited.insert(group.clone(), (promotion.term, since));
        let waited = now.saturating_sub(since);
        let over = waited >= MAX_LIST_WAIT;
        tracing::warn!(%group, term = promotion.term, waited_ms = waited.as_millis(), over,
            "no answer to the request for a list of instances before a promotion order");
        over
    }

    // Whether an order may have taken effect, or may still do so, that makes an instance the
    // primary of a later term than that of `leader`.
    pub(crate) fn has_open_order(&self, group: &id::Group, leader: &status::Leader) -> bool {
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

    // Makes a leaving primary stop before its replicas are held, if an unlisted replica does not answer
    // and may not come back before the primary's end. A stopped primary's log has all records, so
    // that the missing replica is not needed.
    //
    // Replicas that are not held yet receive what the primary had sent; held ones would lack it. Returns
    // whether the primary has stopped.
    async fn stop_leaving_primary(
        &self,
        promotion: &promotion::Promotion,
        leader: &status::Leader,
    ) -> bool {
        let group = &promotion.group;
        let pools = promotion.replicas();
        let reports = group.query_status(&pools, probe::TIMEOUT).await;
        let missing = status::unanswered(&pools, &reports);
        let roster = group.roster();
        let dispensable =
            |id: &upstream::Id| roster.find(id).is_none_or(|pool| roster.is_unlisted(&pool));
        let stops = !missing.is_empty() && !reports.is_empty() && missing.iter().all(dispensable);
        if !stops || group.last_position(leader).is_none() {
            return false;
        }
        if self.election.confirm().await.is_none() {
            return false;
        }
        let stopped = promotion.step_down().await;
        if let Some(Some(position)) = stopped {
            tracing::info!(group = %group.name, primary = %leader.id, %position, ?missing,
                "the leaving primary has stepped down, as not all replicas answer");
            group.suspect(leader.term, "the primary has stepped down");
            wait::sleep(witness::REPLICATION_DELAY).await;
        }
        stopped.is_some()
    }

    // Whether a recorded order is too old to still take effect. The wait must end, because the
    // candidate may lack records that another replica has, and the group has no primary meanwhile.
    pub(crate) fn is_timed_out(&self, intent: &intent::Intent) -> bool {
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
        if !self.election.may_release() {
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
        let may_release = || self.election.may_release();
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
        selection: &selection::Selection,
        handover: Option<&handover::Handover<'_>>,
        needs_list: bool,
    ) -> promote::Outcome {
        let group = &promotion.group.name;
        let open = self.has_open_order(group, leader);
        let intent = promotion.intent(&selection.candidate, selection.position, &selection.reports);
        // A watch may be seconds behind, and a replica that it does not tell of may be the only one
        // with some acknowledged commit. A replica that the list adds is a process that was not held.
        let list = async { !needs_list || self.node.listing().request_within(LIST_TIMEOUT).await };
        let (permit, is_current) =
            futures_util::future::join(self.election.record(&intent), list).await;
        let Some(permit) = permit else {
            // The store does not answer at all: the wait for a list has not begun.
            self.awaited_lists.borrow_mut().remove(group);
            tracing::warn!(%group, "no promotion ordered: the store did not confirm the promoter lease");
            return promote::Outcome::Refused("the seat is not confirmed".into());
        };
        let follower = handover.map(|handover| handover.candidate.id());
        let follows = async {
            match handover {
                Some(handover) => handover.goes_on().await,
                None => true,
            }
        };
        let held = promotion.are_held(follower.as_ref());
        let (held, follows) = futures_util::future::join(held, follows).await;
        let listed = self.may_rely_on_list(promotion, is_current);
        // A restarted replica has lost its hold, and an added replica never had one.
        let outcome = if !listed {
            promote::Outcome::Refused("the list of instances may be out of date".into())
        } else if held && follows && promotion.processes() == selection.processes {
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
        if term < intent.term && !self.election.correct(&led).await {
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
        let (owner, old) = (rc::Rc::clone(group), intent.old.clone());
        let name = group.name.clone();
        let work = async move {
            promoter.look_for(&owner, old.as_ref()).await;
            let demoted = cleanup.demote_predecessor().await;
            promoter.note_predecessor_demoted(&name, term);
            let done = demoted && cleanup.release().await;
            tracing::info!(group = %name, term, done, "promotion cleaned up");
        };
        self.node.executor().spawn(work).detach();
    }

    // Waits for a list that was read for this if the replaced primary is not known: watches may not
    // tell of it yet, and it may still lead.
    async fn look_for(&self, group: &group::Group, old: Option<&upstream::Id>) {
        let Some(old) = old else { return };
        let listing = self.node.listing();
        while group.roster().find(old).is_none() && !listing.request().await {
            tracing::info!(group = %group.name, instance = %old,
                "cleanup postponed: the replaced primary is not known, and the store does not answer");
        }
    }

    fn note_predecessor_demoted(&self, group: &id::Group, term: id::Term) {
        let mut cleanups = self.cleanups.borrow_mut();
        let state = cleanups.get_mut(group);
        if let Some(state) = state.filter(|state| state.term == term) {
            state.predecessor_demoted = true;
        }
    }
}
