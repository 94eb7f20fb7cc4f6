//! Monitors the primary of one group while this node holds the promoter lease.
//!
//! Each round queries the group, lets the [`detector`] decide whether the primary has to be
//! replaced, and runs the promotion if so. Promotions that an earlier lease holder has recorded
//! are completed or withdrawn first.

use std::rc;
use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray::telemetry;

use crate::backoff;
use crate::boot;
use crate::detector;
use crate::era;
use crate::group;
use crate::holdback;
use crate::intent;
use crate::probe;
use crate::promoter;
use crate::relief;
use crate::status;
use crate::uncertainty;
use crate::upstream;
use crate::wait;

/// Pause between rounds while the group is healthy. Three groups need about ten status queries a
/// second, most of which are answered from traffic.
const IDLE_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Pause between rounds while a failure is suspected.
const SUSPECT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time after which a promotion order without a visible effect counts as failed, from when this
/// node first checked for its outcome. The call takes 0.8 s at most and a promotion 0.6 s; the rest
/// allows for a platform that carries out an unanswered call late. The group may take no writes
/// until then.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(8);

/// Monitor of one group.
pub struct Monitor {
    promoter: rc::Rc<promoter::Promoter>,
    group: rc::Rc<group::Group>,
    detector: detector::Detector,
    watched_primary: Option<status::Leader>,
    /// A watched instance that was never seen leading, but that an order may have promoted.
    assumed_primary: Option<status::Leader>,
    relief: relief::Relief,
    backoff: backoff::Backoff,
    /// When the current hold-back of a promotion began, and what it waits for.
    held_back: Option<(id::Time, holdback::Holdback)>,
    /// The recorded promotion that was checked last, and when it was first checked.
    resumed_order: Option<(intent::Intent, id::Time)>,
}

impl Monitor {
    /// Creates a monitor without any observations.
    #[must_use]
    pub fn new(promoter: rc::Rc<promoter::Promoter>, group: rc::Rc<group::Group>) -> Self {
        Self {
            promoter,
            group,
            detector: detector::Detector::default(),
            watched_primary: None,
            assumed_primary: None,
            relief: relief::Relief::default(),
            backoff: backoff::Backoff::default(),
            held_back: None,
            resumed_order: None,
        }
    }

    /// Runs rounds until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let suspect = self.detector.is_suspect(boot::now()) || self.relief.is_due_soon();
            wait::sleep(if suspect {
                SUSPECT_INTERVAL
            } else {
                IDLE_INTERVAL
            })
            .await;
            if !self.promoter.election().is_last_known_holder() {
                self.detector = detector::Detector::from_vacancy(self.group.vacancy());
                self.note_held_back(None);
                continue;
            }
            self.update_watched().await;
            self.run_round().await;
        }
    }

    // Updates the watched primary from this node's view of the group, or infers it from the
    // instances if none is known.
    async fn update_watched(&mut self) {
        // With a view from before the last promotion, that promotion would count as unfinished.
        let term = self
            .watched_primary
            .as_ref()
            .map_or(0, |leader| leader.term);
        if let Some(leader) = self.group.leader().filter(|leader| leader.term >= term) {
            match self.watched_primary.clone() {
                // Another node's promotion has taken effect. That node may have stopped while the
                // replicas were still held and the old primary was not demoted.
                Some(old) if leader.term > old.term && leader.id != old.id => {
                    self.adopt(leader, &old).await;
                }
                _ => self.set_watched(leader),
            }
        }
        if self.watched_primary.is_none() {
            self.watched_primary = probe::infer_primary(&self.group).await;
        }
    }

    fn set_watched(&mut self, leader: status::Leader) {
        if self.watched_primary.as_ref() != Some(&leader) {
            self.detector = detector::Detector::default();
            self.watched_primary = Some(leader);
        }
    }

    async fn run_round(&mut self) {
        let Some(leader) = self.watched_primary.clone() else {
            return;
        };
        let Some(cause) = self.find_cause(&leader).await else {
            return;
        };
        // A promotion holds only the listed replicas. A replica that is missing from the list may
        // be the only one with an acknowledged commit, so the list has to be settled.
        let election = self.promoter.election();
        if election.held().is_none() || !self.group.roster().is_settled() {
            return;
        }
        // The primary may have come back under another id, or been replaced, during the queries.
        let found = self.group.leader();
        if found.is_some_and(|found| found != leader && found.term >= leader.term) {
            return;
        }
        if self.handle_lost_order(&leader).await {
            wait::sleep(IDLE_INTERVAL).await;
            return;
        }
        if cause.can_wait() && !self.may_attempt(&leader, cause).await {
            wait::sleep(IDLE_INTERVAL).await;
            return;
        }
        let max_received = self.max_received(&leader);
        if self.held_back.is_none() {
            tracing::warn!(group = %self.group.name, primary = %leader.id, term = leader.term, ?cause,
                furthest = max_received.map(tracing::field::display), "replacing the primary");
        }
        let outcome = self
            .promoter
            .replace(&self.group, &leader, cause, max_received)
            .await;
        self.detector = detector::Detector::default();
        let holdback = match &outcome {
            promoter::Outcome::HeldBack(holdback) => Some(holdback.clone()),
            _ => None,
        };
        self.note_held_back(holdback);
        match outcome {
            promoter::Outcome::Promoted(found) => {
                let now = boot::now();
                if cause == detector::Cause::Relief {
                    self.relief.note_change(now);
                }
                self.backoff
                    .note_promotion(&leader.id, &found.id, cause, now);
                if found.id == leader.id {
                    // It had records that no replica had, and still has to be replaced.
                    self.backoff.note_given_up(cause, now);
                }
                self.watched_primary = Some(found);
            }
            promoter::Outcome::Overtaken(found) => self.adopt(found, &leader).await,
            promoter::Outcome::HeldBack(_) => wait::sleep(IDLE_INTERVAL).await,
            promoter::Outcome::GivenUp => {
                self.backoff.note_given_up(cause, boot::now());
                wait::sleep(SUSPECT_INTERVAL).await;
            }
        }
    }

    // Whether the replicas of a running primary may be held now. The primary gets no commit
    // confirmed meanwhile, so the replicas have to answer, and a promotion that failed recently is
    // not repeated before its backoff ends, unless the primary no longer leads.
    async fn may_attempt(&self, leader: &status::Leader, cause: detector::Cause) -> bool {
        let prober = probe::Prober::new(&self.group, leader);
        let backoff_over = self.backoff.permits(&leader.id, cause, boot::now());
        let permitted = backoff_over || !prober.leads().await;
        let all_answer = permitted && prober.replicas_answer(cause).await;
        if !all_answer {
            tracing::info!(group = %self.group.name, primary = %leader.id, term = leader.term, ?cause,
                permitted, whole = all_answer, "promotion postponed");
        }
        all_answer
    }

    // Handles an order whose record the store may have lost. Returns whether this round ends
    // without a promotion and without releasing replicas. If the candidate of the order leads by
    // now, it becomes the watched primary.
    async fn handle_lost_order(&mut self, leader: &status::Leader) -> bool {
        if !self.promoter.may_have_lost_order(&self.group.name) {
            return false;
        }
        let others = probe::Prober::new(&self.group, leader).others;
        let mut reports = self.group.query_status(&others, probe::TIMEOUT).await;
        let answers = reports.len();
        let now = boot::now();
        reports
            .retain(|report| is_primary(report) || self.has_reliable_hold_state(&report.id, now));
        let order = era::lost_order(leader.term, others.len(), &reports);
        tracing::info!(group = %self.group.name, primary = %leader.id, term = leader.term, ?order,
            answers, remembering = reports.len(), "the store may have lost the record of a promotion");
        match order {
            era::LostOrder::None => {
                self.promoter.note_no_lost_order(&self.group.name);
                false
            }
            era::LostOrder::Done(found) => {
                self.adopt(found, leader).await;
                true
            }
            era::LostOrder::Possible => true,
        }
    }

    // Whether the hold state of an instance proves that no lost order is in flight. An instance
    // that restarted too recently has lost its hold, so its answer proves nothing.
    fn has_reliable_hold_state(&self, id: &upstream::Id, now: id::Time) -> bool {
        let pool = self.group.roster().find(id);
        let restarted_at = pool.and_then(|pool| pool.restarted_at());
        restarted_at.is_none_or(|restarted_at| now > restarted_at + uncertainty::MAX_ORDER_DELAY)
    }

    // Returns why the primary has to be replaced, if it has to.
    async fn find_cause(&mut self, leader: &status::Leader) -> Option<detector::Cause> {
        if let Some(intent) = self.promoter.election().intent(&self.group.name) {
            self.group.note_received(intent.received);
            if intent.term > leader.term {
                return self.resume(&intent, leader).await;
            }
            // If the candidate may never have led, its predecessor must not be demoted.
            if intent.candidate == leader.id && self.was_seen_leading(leader) {
                self.promoter.clean_up(&self.group, &intent, intent.term);
            }
        }
        let prober = probe::Prober::new(&self.group, leader);
        let round = prober.round(self.detector.is_suspect(boot::now())).await;
        let cause = self.detector.judge(&round);
        if cause.is_none() && matches!(round.primary, detector::Reach::Answered(_)) {
            self.note_held_back(None);
        }
        if cause.is_none() && self.needs_relief(leader).await {
            return Some(detector::Cause::Relief);
        }
        cause
    }

    // Continues a recorded promotion whose outcome this node has not seen. Returns the cause of a
    // new attempt if one is needed.
    async fn resume(
        &mut self,
        intent: &intent::Intent,
        leader: &status::Leader,
    ) -> Option<detector::Cause> {
        let pools = self.group.roster().pools();
        let listed: Vec<_> = pools.iter().map(|pool| pool.id()).collect();
        let reports = self.group.query_status(&pools, probe::TIMEOUT).await;
        let mut outcome = intent.outcome(&reports, &listed);
        // The order is void after its timeout if the candidate has restarted, as it has lost its
        // log then, or if the old primary still leads and can continue.
        let processes: Vec<_> = pools.iter().map(|pool| (pool.id(), pool.born())).collect();
        let candidate_restarted = !processes.contains(&intent.process());
        let open = outcome == intent::Outcome::Open;
        if open
            && (candidate_restarted || answers_as_primary(&reports, leader))
            && self.is_timed_out(intent)
        {
            outcome = intent::Outcome::Void;
        }
        tracing::info!(group = %self.group.name, candidate = %intent.candidate, term = intent.term,
            primary = %leader.id, answers = reports.len(), ?outcome, "checked recorded promotion");
        // A candidate that is not known here may be one that watches do not tell of yet.
        let unknown = outcome == intent::Outcome::Void && !listed.contains(&intent.candidate);
        if unknown && !self.is_gone(&intent.candidate).await {
            return None;
        }
        match outcome {
            intent::Outcome::Leads(found) => {
                self.note_held_back(None);
                self.adopt(found, leader).await;
                None
            }
            intent::Outcome::Open => Some(detector::Cause::Unfinished),
            intent::Outcome::Silent => {
                let assumed = status::Leader {
                    id: intent.candidate.clone(),
                    term: intent.term,
                };
                self.assumed_primary = Some(assumed.clone());
                self.set_watched(assumed);
                None
            }
            intent::Outcome::Unknown => {
                self.note_held_back(Some(holdback::Holdback {
                    missing: status::unanswered(&pools, &reports),
                    position: reports.iter().map(|report| report.status.received).max(),
                    known: Some(intent.received),
                }));
                None
            }
            intent::Outcome::Void => {
                self.promoter.election().retract(&self.group.name);
                if answers_as_primary(&reports, leader) {
                    self.promoter.release(&self.group, leader).await;
                }
                None
            }
        }
    }

    // Whether a list that was read for this has no such instance either.
    async fn is_gone(&self, id: &upstream::Id) -> bool {
        let is_current = self.promoter.node().listing().request().await;
        let gone = is_current && self.group.roster().find(id).is_none();
        tracing::info!(group = %self.group.name, instance = %id, is_current, gone,
            "candidate of a recorded promotion is not known");
        gone
    }

    // Whether the watched primary was ever seen leading.
    fn was_seen_leading(&mut self, leader: &status::Leader) -> bool {
        if self.group.leader().as_ref() == Some(leader) {
            self.assumed_primary = None;
        }
        self.assumed_primary.as_ref() != Some(leader)
    }

    // Whether a recorded promotion is too old to still take effect.
    fn is_timed_out(&mut self, intent: &intent::Intent) -> bool {
        let now = boot::now();
        match &self.resumed_order {
            Some((known, since)) if known.is_same_as(intent) => now > *since + ORDER_TIMEOUT,
            _ => {
                self.resumed_order = Some((intent.clone(), now));
                false
            }
        }
    }

    // Makes an instance that leads a later term the watched primary. The cleanup demotes the
    // previous one and releases replicas that are still held.
    async fn adopt(&mut self, found: status::Leader, old: &status::Leader) {
        let recorded = self.promoter.election().intent(&self.group.name);
        let recorded = recorded.filter(|intent| intent.candidate == found.id);
        let intent = recorded.unwrap_or_else(|| intent::Intent {
            group: self.group.name.clone(),
            candidate: found.id.clone(),
            born: 0,
            term: found.term,
            old: Some(old.id.clone()).filter(|old| *old != found.id),
            received: stamp::Stamp::default(),
            place: intent::Place::default(),
        });
        let term = found.term.min(intent.term);
        self.promoter.complete(&self.group, &intent, term).await;
        self.group.search();
        self.set_watched(found);
    }

    // Whether the primary should swap roles with a replica, as no replica is fresh enough for
    // reads.
    async fn needs_relief(&mut self, leader: &status::Leader) -> bool {
        let age = self
            .promoter
            .node()
            .catalog()
            .max_staleness(&self.group.name);
        let prober = probe::Prober::new(&self.group, leader);
        let Some(view) = prober.observe_lag(age).await else {
            return false;
        };
        let due = self.relief.observe(&view);
        tracing::info!(group = %self.group.name, primary = %leader.id, due, position = %view.position,
            replicas = ?view.replicas, "replicas are behind");
        due
    }

    // Last log position that may have been acknowledged, from this node's view of the group and
    // from the detector. The group keeps it across attempts, while the detector is reset with each.
    fn max_received(&self, leader: &status::Leader) -> Option<stamp::Stamp> {
        let watched = self.detector.max_received();
        let watched = watched.filter(|stamp| stamp.term >= leader.term);
        self.group.max_received().max(watched)
    }

    // Logs the start and the end of a hold-back once each, and each change of what it waits for, and
    // sets the gauge. Callers are refused while a promotion is held back.
    fn note_held_back(&mut self, holdback: Option<holdback::Holdback>) {
        let now = boot::now();
        let before = self.held_back.take();
        self.group.set_holdback(holdback.clone());
        let gauge =
            metrics::gauge!(telemetry::PROMOTION_HELD_BACK, "group" => self.group.name.to_string());
        gauge.set(if holdback.is_some() { 1.0 } else { 0.0 });
        let Some(holdback) = holdback else {
            if let Some((since, _)) = before {
                let took_ms = now.saturating_sub(since).as_millis();
                tracing::info!(group = %self.group.name, took_ms, "promotion no longer held back");
            }
            return;
        };
        if before.as_ref().is_none_or(|(_, known)| *known != holdback) {
            tracing::warn!(group = %self.group.name, primary = ?self.watched_primary, waits_for = %holdback,
                "promotion held back: only an unreachable instance may have all acknowledged commits");
        }
        let since = before.map_or(now, |(since, _)| since);
        self.held_back = Some((since, holdback));
    }
}

fn is_primary(report: &status::Report) -> bool {
    report.status.role == role::Role::Primary
}

// Whether the watched primary is among the answers and leads.
fn answers_as_primary(reports: &[status::Report], leader: &status::Leader) -> bool {
    let own = reports.iter().find(|report| report.id == leader.id);
    own.is_some_and(is_primary)
}
