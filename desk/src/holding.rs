//! The first part of a promotion: all replicas are held, and one of them is chosen.

use std::rc;
use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray::telemetry;

use crate::boot;
use crate::detector;
use crate::holdback;
use crate::pool;
use crate::probe;
use crate::promoter;
use crate::promotion;
use crate::seal;
use crate::selection;
use crate::shortfall;
use crate::status;
use crate::upstream;
use crate::verdict;
use crate::wait;
use crate::witness;

/// Pause between holds while an earlier resume command may still arrive.
const HOLD_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// The holding of the replicas for one promotion.
pub(crate) struct Holding<'a> {
    /// The promoter that replaces the primary.
    pub promoter: &'a promoter::Promoter,
    /// The promotion.
    pub promotion: &'a promotion::Promotion,
    /// The primary that is replaced.
    pub leader: &'a status::Leader,
}

impl Holding<'_> {
    // Holds all replicas, repeatedly until no earlier resume command can have arrived in between.
    pub async fn hold_after_resumes(&self) -> Result<selection::Selection, promoter::Outcome> {
        let group = &self.promotion.group;
        let mut logged = false;
        loop {
            let resume_until = self
                .promoter
                .resumes
                .borrow_mut()
                .latest_arrival(&group.name, boot::now());
            if resume_until.is_some() && self.promotion.cause.can_wait() {
                tracing::info!(group = %group.name, term = self.promotion.term,
                    "promotion postponed: an earlier resume command may still arrive");
                return Err(promoter::Outcome::GivenUp);
            }
            let selection = self.hold().await?;
            let Some(until) = resume_until else {
                return Ok(selection);
            };
            if self.has_returned().await {
                tracing::warn!(group = %group.name, term = self.promotion.term, "promotion given up: the old primary is leading again");
                self.promoter.release(group, self.leader).await;
                return Err(promoter::Outcome::GivenUp);
            }
            let left = until.saturating_sub(boot::now());
            if !logged {
                tracing::info!(group = %group.name, term = self.promotion.term, left_ms = left.as_millis(),
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
    async fn hold(&self) -> Result<selection::Selection, promoter::Outcome> {
        let group = &self.promotion.group;
        loop {
            group.forget_ended();
            group.query_successors(probe::TIMEOUT).await;
            let pools = self.promotion.replicas();
            let processes = self.promotion.processes();
            let reports = hold_each(self.promotion, &pools).await;
            self.demote_stale(&pools, &reports).await;
            let pending = self.promoter.election.intent(&group.name);
            let pending = pending.filter(|intent| {
                let open = intent.term > self.leader.term && processes.contains(&intent.process());
                open && !self.promoter.is_timed_out(intent)
            });
            let loss = match self.loss() {
                Some(loss) => Some(self.bound_unseen(&group.name, loss).await),
                None => None,
            };
            let view = verdict::View {
                leader: self.leader,
                term: self.promotion.term,
                expected: pools.len(),
                reports: &reports,
                max_received: self.promotion.max_received.max(group.max_received()),
                pending: pending.as_ref().map(|intent| &intent.candidate),
                loss,
            };
            let (mut verdict, predecessor) = self.judge(&view, &pools).await;
            if let verdict::Verdict::Promote(candidate) = &verdict {
                let answers = reports.iter().chain(&predecessor);
                let position = position_of(answers, candidate);
                if let Some(obstacle) = self.find_shortfall(position).await {
                    verdict = obstacle;
                }
            }
            let missing = verdict == verdict::Verdict::Missing;
            match verdict {
                verdict::Verdict::Promote(candidate)
                    if self.promotion.has_unknown_id(&candidate) =>
                {
                    tracing::info!(group = %group.name, %candidate,
                        "the instance with the longest log cannot be promoted: its id is unknown");
                }
                verdict::Verdict::Promote(candidate) => {
                    return Ok(selection::Selection {
                        position: position_of(reports.iter().chain(&predecessor), &candidate),
                        reports,
                        processes,
                        candidate,
                    });
                }
                verdict::Verdict::Overtaken(found) => {
                    return Err(promoter::Outcome::Overtaken(found));
                }
                verdict::Verdict::HeldBack => {
                    let holdback = holdback(self.promotion, &view, &pools);
                    // If the primary comes back, its replicas must be able to receive from it.
                    self.promoter.release(group, self.leader).await;
                    return Err(promoter::Outcome::HeldBack(holdback));
                }
                verdict::Verdict::Returned => {
                    self.promoter.release(group, self.leader).await;
                    return Err(promoter::Outcome::GivenUp);
                }
                verdict::Verdict::Wait | verdict::Verdict::Missing | verdict::Verdict::Lacking => {}
            }
            let late = boot::now() > self.promotion.began + self.promotion.cause.hold_timeout();
            let returned = self.has_returned().await;
            if late || returned || self.promoter.election.held().is_none() {
                let unanswered = status::unanswered(&pools, &reports);
                let position = reports.iter().map(|report| report.status.received).max();
                tracing::warn!(group = %group.name, term = self.promotion.term, expected = pools.len(),
                    answers = reports.len(), ?unanswered, late, returned,
                    position = position.map(tracing::field::display),
                    furthest = view.max_received.map(tracing::field::display),
                    pending = pending.as_ref().map(|intent| intent.candidate.to_string()),
                    "promotion given up");
                let held_back = missing && !returned && !self.promotion.cause.can_wait();
                let holdback = held_back.then(|| holdback(self.promotion, &view, &pools));
                self.promoter.release(group, self.leader).await;
                return Err(
                    holdback.map_or(promoter::Outcome::GivenUp, promoter::Outcome::HeldBack)
                );
            }
            wait::sleep(promotion::POLL_INTERVAL).await;
        }
    }

    // What keeps a candidate with this log position from being promoted, if callers of any node in
    // reach were told that commits beyond it are kept: a replica that is not listed yet may have
    // them. After a bounded wait nothing does.
    async fn find_shortfall(&self, position: stamp::Stamp) -> Option<verdict::Verdict> {
        let group = &self.promotion.group.name;
        let acknowledged = self.promoter.node.acknowledged_anywhere(group).await;
        let beyond = acknowledged.position.filter(|stamp| *stamp > position);
        let Some(acknowledged) = beyond else {
            self.promoter.shortfalls.borrow_mut().remove(group);
            return None;
        };
        let now = boot::now();
        let before = self.promoter.shortfalls.borrow_mut().remove(group);
        let shortfall = shortfall::Shortfall::note(before, acknowledged, now);
        self.promoter
            .shortfalls
            .borrow_mut()
            .insert(group.clone(), shortfall);
        tracing::warn!(%group, %position, %acknowledged, over = shortfall.is_over(now),
            "the candidate lacks acknowledged commits; a replica that is not listed yet may have them");
        if shortfall.is_over(now) {
            metrics::counter!(telemetry::SHORT_PROMOTIONS, "group" => group.to_string())
                .increment(1);
            return None;
        }
        let leads = probe::Prober::new(&self.promotion.group, self.leader)
            .leads()
            .await;
        Some(if leads {
            verdict::Verdict::Returned
        } else {
            verdict::Verdict::HeldBack
        })
    }

    // The status of the replaced primary, if it answers as a replica and was seen to lead its term.
    async fn find_stopped_predecessor(&self) -> Option<(status::Report, stamp::Stamp)> {
        let position = self.promotion.group.last_position(self.leader)?;
        match self.promotion.query_predecessor().await {
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
        view: &verdict::View<'_>,
        pools: &[rc::Rc<pool::Pool>],
    ) -> (verdict::Verdict, Option<status::Report>) {
        let group = &self.promotion.group;
        let leaves = |id: &upstream::Id| group.roster().is_leaving(id);
        let mut verdict = view.judge(leaves);
        if group.roster().may_have_successor() {
            verdict = verdict::Verdict::Wait;
        }
        let mut predecessor = None;
        if verdict == verdict::Verdict::Missing
            && let Some((old, position)) = self.find_stopped_predecessor().await
        {
            verdict = view.resolve_missing(&old, position, leaves);
            tracing::info!(group = %group.name, ?old, %position, ?verdict,
                "not all replicas answer, but the replaced primary does and has stopped");
            predecessor = Some(old);
        }
        if verdict == verdict::Verdict::Missing
            && let Some(bound) = self.bound_departed(view, pools).await
        {
            verdict = view.resolve_sealed(bound, leaves);
            tracing::info!(group = %group.name, %bound, position = view.position().map(tracing::field::display), ?verdict,
                missing = ?status::unanswered(pools, view.reports), "only instances that have left or ended do not answer");
        }
        if verdict == verdict::Verdict::Lacking {
            let old = self.promotion.query_predecessor().await;
            verdict = view.resolve(&old, leaves);
            predecessor = old.report().cloned();
            let known = self.promotion.old.is_some();
            tracing::info!(group = %group.name, furthest = ?self.promotion.max_received, loss = ?view.loss, ?old, known, ?verdict,
                "no replica has all records that a replica had received");
        }
        if let verdict::Verdict::Promote(candidate) = &verdict
            && view.is_empty(candidate)
            && let old @ verdict::Predecessor::Answers(_) = self.promotion.query_predecessor().await
        {
            verdict = view.resolve(&old, leaves);
            predecessor = old.report().cloned();
            tracing::info!(group = %group.name, ?old, ?verdict, "the logs of all replicas are empty");
        }
        (verdict, predecessor)
    }

    // Bounds what callers were told in the term that is replaced, if only instances do not answer that
    // are no longer listed, and each has left as planned or is known to another node to have ended. This
    // node may never find out: a machine that is gone does not answer, and a path that is cut shows
    // no refusal.
    //
    // The term is sealed for this, so it has to be certain that the primary leads no more.
    async fn bound_departed(
        &self,
        view: &verdict::View<'_>,
        pools: &[rc::Rc<pool::Pool>],
    ) -> Option<stamp::Stamp> {
        let group = &self.promotion.group;
        let roster = group.roster();
        let mut missing = pools.to_vec();
        missing.retain(|pool| view.reports.iter().all(|report| report.id != pool.id()));
        let unlisted = missing.iter().all(|pool| roster.is_unlisted(pool));
        let position = view.position().filter(|_| unlisted)?;
        let term = self.leader.term;
        let known_at = group.with_witnesses(|witnesses| {
            let floors = witnesses.leadership.floors();
            floors.covered_until(term, position)
        })?;
        let may_run = self.promotion.cause.primary_may_run();
        if may_run && probe::Prober::new(group, self.leader).leads().await {
            return None;
        }
        // Watches may not tell of some nodes yet, and each has to be asked.
        let node = &self.promoter.node;
        if !node.listing().request().await {
            return None;
        }
        let request = seal::Request {
            group: group.name.clone(),
            term,
        };
        let answers = node.seal_everywhere(&request).await;
        let gone = |pool: &rc::Rc<pool::Pool>| {
            let id = pool.id();
            roster.announced_end(&id) || seal::has_ended(&answers, &id)
        };
        let bound = seal::bound(&answers, boot::now().saturating_sub(known_at));
        bound.filter(|_| missing.iter().all(gone))
    }

    // If a replica has lost its log under this primary, the bound on the records that it may have
    // confirmed before. While an order is open, all replicas were held before it, so the position
    // in the order's record is that bound. A stalled primary is exempt: it is cut off from its
    // replicas and could not be replaced for as long as that lasts.
    fn loss(&self) -> Option<verdict::Loss> {
        let floors = |witnesses: &witness::Witnesses<'_>| {
            witnesses.leadership.floors().loss(self.leader.term)
        };
        let loss = self.promotion.group.with_witnesses(floors)?;
        if self.promotion.cause == detector::Cause::Stalled {
            return None;
        }
        let intent = self.promoter.election.intent(&self.promotion.group.name);
        let intent = intent.filter(|intent| intent.term > self.leader.term);
        Some(intent.map_or(loss, |intent| verdict::Loss::Within(intent.received)))
    }

    // Bounds what a process may have confirmed that was never seen to follow the replaced primary:
    // whatever it confirmed, callers were told of no commit beyond what all nodes report. The members
    // are read for this, as watches may not tell of some yet.
    async fn bound_unseen(&self, group: &id::Group, loss: verdict::Loss) -> verdict::Loss {
        if loss != verdict::Loss::Unseen {
            return loss;
        }
        if !self.promoter.node.listing().request().await {
            return verdict::Loss::Unknown;
        }
        let acknowledgement = self.promoter.node.acknowledged_anywhere(group).await;
        tracing::info!(%group, ?acknowledgement, "a process has ended that was not seen to follow the primary");
        let bound = acknowledgement.bound();
        bound.map_or(verdict::Loss::Unknown, verdict::Loss::Within)
    }

    // Demotes an instance that was not notified of the end of its term and still leads it.
    //
    // If no other instance knows the term that is replaced, its primary may never have led. Then
    // the primary of the earlier term is the only one, and is demoted only for a promotion that
    // can be ordered now.
    async fn demote_stale(&self, pools: &[rc::Rc<pool::Pool>], reports: &[status::Report]) {
        let stale = |report: &&status::Report| {
            report.status.role == role::Role::Primary && report.status.term <= self.leader.term
        };
        let Some(found) = reports.iter().find(stale) else {
            return;
        };
        let known = reports
            .iter()
            .any(|report| report.status.term >= self.leader.term);
        if !known && !self.could_order(pools.len(), reports).await {
            return;
        }
        if let Some(pool) = pools.iter().find(|pool| pool.id() == found.id) {
            let demote = upstream::Command::Demote(self.promotion.term);
            promotion::send(pool, &demote, self.promotion.group.dialer()).await;
        }
    }

    // Whether all instances but one are held and the store confirms the promoter lease.
    async fn could_order(&self, expected: usize, reports: &[status::Report]) -> bool {
        let held = reports.iter().filter(|report| {
            report.status.role == role::Role::Replica && report.status.held >= self.promotion.term
        });
        held.count() + 1 == expected && self.promoter.election.confirm().await.is_some()
    }

    // Whether the old primary answers and leads, although it was presumed lost, or although an
    // unfinished promotion without an order holds its replicas.
    async fn has_returned(&self) -> bool {
        let unfinished = self.promotion.cause == detector::Cause::Unfinished;
        let given_up = !self.promotion.cause.primary_may_run();
        let unordered = unfinished
            && !self
                .promoter
                .has_open_order(&self.promotion.group.name, self.leader);
        (given_up || unordered)
            && probe::Prober::new(&self.promotion.group, self.leader)
                .leads()
                .await
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
