//! Replaces primaries, on the one node that holds the seat.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray::telemetry;

use crate::boot;
use crate::duty;
use crate::group;
use crate::node;
use crate::plan;
use crate::pool;
use crate::relief;
use crate::sampler;
use crate::seat;
use crate::succession;
use crate::survey;
use crate::upstream;
use crate::wait;

/// Pause between rounds of looks at a calm group. Three groups cost about ten looks a
/// second, of which most are answered by traffic.
const CALM: time::Duration = time::Duration::from_millis(300);

/// Pause between rounds while something is amiss.
const UNEASY: time::Duration = time::Duration::from_millis(100);

/// Time after which an instance that receives records is listed, and the list has come here:
/// it was seen to take 170 ms, and changes of the list gather for 150 ms.
const LISTED: time::Duration = time::Duration::from_millis(500);

/// A promotion whose replicas cannot all be held in this time is given up for now.
const PATIENCE: time::Duration = time::Duration::from_secs(4);

/// Replaces primaries while the seat is held.
pub struct Promoter {
    node: rc::Rc<node::Node>,
    seat: rc::Rc<seat::Seat>,
    duty: rc::Rc<dyn duty::Duty>,
    /// Candidates whose order may yet take effect. Another candidate beside one of them
    /// could lead first, take commits, and then be replaced by the one that lacks them. One that
    /// has started again since lacks all commits, and is no candidate any more.
    pending: cell::RefCell<collections::BTreeMap<id::Group, plan::Life>>,
}

impl Promoter {
    /// A promoter that does nothing yet.
    #[must_use]
    pub fn new(
        node: rc::Rc<node::Node>,
        seat: rc::Rc<seat::Seat>,
        duty: rc::Rc<dyn duty::Duty>,
    ) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            node,
            seat,
            duty,
            pending: cell::RefCell::default(),
        })
    }

    /// Watches over all groups, for ever.
    pub async fn run(self: rc::Rc<Self>) {
        let mut watched = collections::BTreeSet::new();
        loop {
            for group in self.node.groups() {
                if watched.insert(group.name.clone()) {
                    let promoter = rc::Rc::clone(&self);
                    self.node.executor().spawn(promoter.guard(group)).detach();
                }
            }
            wait::sleep(CALM).await;
        }
    }

    async fn guard(self: rc::Rc<Self>, group: rc::Rc<group::Group>) {
        let mut watch = succession::Watch::default();
        let mut watched = None;
        let mut relief = relief::Relief::default();
        loop {
            let pause = if watch.is_uneasy(boot::now()) || relief.is_near() {
                UNEASY
            } else {
                CALM
            };
            wait::sleep(pause).await;
            if !self.seat.had() {
                watch = succession::Watch::resumed(group.vacancy());
                continue;
            }
            // A belief older than the last promotion would have it taken for one left undone.
            let term = watched.as_ref().map_or(0, |lead: &sampler::Lead| lead.term);
            if let Some(lead) = group.lead().filter(|lead| lead.term >= term)
                && watched.as_ref() != Some(&lead)
            {
                watch = succession::Watch::default();
                watched = Some(lead);
            }
            if watched.is_none() {
                watched = survey::guess(&group).await;
            }
            let Some(lead) = &watched else { continue };
            let survey = survey::Survey::new(&group, lead);
            let round = survey.round(watch.is_uneasy(boot::now())).await;
            let cause = match watch.judge(&round) {
                Some(cause) => cause,
                None if self.may_relieve(&group, lead, &mut relief).await => {
                    succession::Cause::Relief
                }
                None => continue,
            };
            // A promotion holds all replicas that are listed: one that is missing may be the
            // only one with an acknowledged commit.
            if self.seat.held().is_none() || !group.roster().is_settled() {
                continue;
            }
            tracing::warn!(group = %group.name, primary = %lead.id, term = lead.term, ?cause,
                received = ?round.received, "replacing the primary");
            let done = self
                .replace(&group, lead, cause, furthest(&group, &watch))
                .await;
            watch = succession::Watch::default();
            if cause == succession::Cause::Relief && done.is_some() {
                relief.done(boot::now());
            }
            match done {
                Some(lead) => watched = Some(lead),
                None => wait::sleep(UNEASY).await,
            }
        }
    }

    // Whether the primary should change places with a replica for relief.
    async fn may_relieve(
        &self,
        group: &rc::Rc<group::Group>,
        lead: &sampler::Lead,
        relief: &mut relief::Relief,
    ) -> bool {
        let age = self.node.catalog().oldest(&group.name);
        let survey = survey::Survey::new(group, lead);
        let Some(view) = survey.strain(age).await else {
            return false;
        };
        let due = relief.judge(&view);
        tracing::info!(group = %group.name, primary = %lead.id, due, position = %view.position,
            replicas = ?view.replicas, "replicas are behind");
        due
    }

    async fn replace(
        &self,
        group: &rc::Rc<group::Group>,
        lead: &sampler::Lead,
        cause: succession::Cause,
        furthest: Option<stamp::Stamp>,
    ) -> Option<sampler::Lead> {
        let plan = plan::Plan {
            group: rc::Rc::clone(group),
            old: survey::Survey::new(group, lead).primary,
            cause,
            term: group.term().max(lead.term) + 1,
            began: boot::now(),
            furthest,
        };
        let (held, lives) = self.hold(&plan).await?;
        if plan.lacks_records(&held) {
            tracing::warn!(group = %group.name, furthest = ?plan.furthest,
                "no replica has all that one had received before it started again");
            // A primary that comes back has to find replicas that receive from it.
            if cause != succession::Cause::Unfinished && !self.is_pending(&plan) {
                self.resume(&plan, &group.roster().pools()).await;
            }
            return None;
        }
        let pending = self.pending.borrow().get(&group.name).cloned();
        let candidate = pending
            .filter(|pending| lives.contains(pending))
            .map(|(id, _)| id)
            .or_else(|| succession::candidate(&held, |id| group.roster().is_leaving(id)))?;
        let received: Vec<_> = held
            .iter()
            .map(|look| (&look.id, look.status.received))
            .collect();
        tracing::info!(group = %group.name, %candidate, term = plan.term, ?received, "candidate chosen");
        let relief = cause == succession::Cause::Relief;
        if relief && !self.step_down(&plan, &candidate, &held).await {
            self.withdraw(&plan).await;
            return None;
        }
        if cause == succession::Cause::Planned && plan.is_ahead_of(&candidate, &held).await {
            tracing::warn!(group = %group.name, %candidate, "the primary has records that no replica has");
            self.withdraw(&plan).await;
            return None;
        }
        let outcome = self.order(&plan, &candidate, &lives).await;
        if let duty::Outcome::Refused(_) = outcome {
            if relief {
                // Without a primary the replicas stay held, for a promotion that is finished
                // next; nobody may go on believing in the one that has given up.
                group.doubt(lead.term, "the primary has given up");
            } else {
                self.withdraw(&plan).await;
            }
            return None;
        }
        let ordered = lives.into_iter().find(|(id, _)| *id == candidate);
        if let Some(life) = ordered {
            self.pending.borrow_mut().insert(group.name.clone(), life);
        }
        if cause.lives() {
            plan.demote_once().await;
        }
        let term = plan.term;
        let leads = self.finish(plan, &candidate).await;
        leads.then_some(sampler::Lead {
            id: candidate,
            term,
        })
    }

    // Tells the primary to give up before its successor is ordered; whether it has done so.
    //
    // A loaded primary takes new records all the time, and asking it where its log stands
    // takes as long as its queue: most changes of places would find it ahead of the held
    // replicas and be withdrawn. Once it has given up it acknowledges nothing more. If it is
    // ahead then, only an instance that is not listed yet can have had part in an
    // acknowledgement; it is waited for, and the promotion begins anew if one appears.
    async fn step_down(
        &self,
        plan: &plan::Plan,
        candidate: &upstream::Id,
        held: &[sampler::Look],
    ) -> bool {
        if self.seat.confirm().await.is_none() {
            return false;
        }
        let Some(stands) = plan.give_up().await else {
            return false;
        };
        let received = held
            .iter()
            .find(|look| look.id == *candidate)
            .map(|look| look.status.received);
        let ahead = stands.is_none() || stands > received;
        tracing::info!(group = %plan.group.name, ?stands, ?received, ahead, "the primary has given up");
        if ahead {
            wait::sleep(LISTED).await;
        }
        true
    }

    // An order that was surely not carried out: a primary that lives goes on, in place of
    // waiting for replicas that are held until promotions are possible again.
    async fn withdraw(&self, plan: &plan::Plan) {
        let alone = plan.cause.lives() && plan.cause != succession::Cause::Unfinished;
        if alone && !self.is_pending(plan) {
            self.resume(plan, &plan.group.roster().pools()).await;
        }
    }

    // Whether an order for the group may yet take effect.
    fn is_pending(&self, plan: &plan::Plan) -> bool {
        self.pending.borrow().contains_key(&plan.group.name)
    }

    /// Holds all replicas for the new term.
    ///
    /// Any of them may be the only one besides the old primary that has an acknowledged
    /// commit; promoting without it would lose a booking that somebody was promised.
    async fn hold(&self, plan: &plan::Plan) -> Option<(Vec<sampler::Look>, plan::Lives)> {
        let old = plan.old.as_ref().map(|pool| pool.id());
        loop {
            let pools: Vec<_> = plan
                .group
                .roster()
                .pools()
                .into_iter()
                .filter(|pool| Some(pool.id()) != old)
                .collect();
            let lives = plan.lives();
            let command = upstream::Command::Hold(plan.term);
            let holds = pools
                .iter()
                .map(|pool| plan::tell(pool, &command, plan.group.dialer()));
            let answers: Vec<_> = futures_util::future::join_all(holds).await;
            let looks: Vec<_> = answers.into_iter().flatten().collect();
            let held = |look: &sampler::Look| {
                look.status.role == role::Role::Replica && look.status.held >= plan.term
            };
            if !looks.is_empty() && looks.len() == pools.len() && looks.iter().all(held) {
                return Some((looks, lives));
            }
            let led = looks
                .iter()
                .any(|look| look.status.role == role::Role::Primary);
            let late = boot::now() > plan.began + PATIENCE;
            let returned = !plan.cause.lives() && plan.old_answers().await;
            if led || late || returned || self.seat.held().is_none() {
                tracing::warn!(group = %plan.group.name, term = plan.term,
                    expected = pools.len(), answers = looks.len(), led, late, returned, "promotion given up");
                self.resume(plan, &pools).await;
                return None;
            }
            wait::sleep(plan::POLL).await;
        }
    }

    async fn resume(&self, plan: &plan::Plan, pools: &[rc::Rc<pool::Pool>]) {
        let dialer = plan.group.dialer();
        let resumes = pools
            .iter()
            .map(|pool| plan::tell(pool, &upstream::Command::Resume, dialer));
        futures_util::future::join_all(resumes).await;
    }

    async fn order(
        &self,
        plan: &plan::Plan,
        candidate: &upstream::Id,
        lives: &plan::Lives,
    ) -> duty::Outcome {
        let Some(held) = self.seat.confirm().await else {
            tracing::warn!(group = %plan.group.name, "the seat is not confirmed, no order");
            return duty::Outcome::Refused("the seat is not confirmed".into());
        };
        // One that has started again since is not held, and one that was added never was.
        if plan.lives() != *lives {
            tracing::warn!(group = %plan.group.name, "a replica has started since it was held, no order");
            return duty::Outcome::Refused("a replica has started since it was held".into());
        }
        let order = duty::Order {
            group: plan.group.name.clone(),
            candidate: candidate.clone(),
            holder: self.node.name.clone(),
            fence: held.fence,
        };
        let outcome = self.duty.promote(&order).await;
        tracing::info!(group = %order.group, candidate = %order.candidate, fence = order.fence,
            ?outcome, "promotion ordered");
        outcome
    }

    async fn finish(&self, plan: plan::Plan, candidate: &upstream::Id) -> bool {
        let leads = plan.leads(candidate, plan::LEADING).await;
        plan.group.search();
        tracing::info!(group = %plan.group.name, %candidate, term = plan.term, leads,
            cause = ?plan.cause, took_ms = boot::now().saturating_sub(plan.began).as_millis(), "promotion over");
        if leads {
            self.pending.borrow_mut().remove(&plan.group.name);
            metrics::counter!(telemetry::PROMOTIONS, "cause" => plan.cause.label()).increment(1);
            let candidate = candidate.clone();
            let settle = async move { plan.settle(&candidate).await };
            self.node.executor().spawn(settle).detach();
        }
        leads
    }
}

// Furthest position that a replica was ever seen to have received. A watch forgets with each
// try: an empty replica was refused once, and promoted 400 ms later.
fn furthest(group: &group::Group, watch: &succession::Watch) -> Option<stamp::Stamp> {
    let seen = group.vacancy().received.map(|(received, _)| received);
    seen.max(watch.furthest())
}
