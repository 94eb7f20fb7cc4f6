//! Replaces primaries, on the one node that holds the seat.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray::store;
use mangotray::telemetry;

use crate::account;
use crate::boot;
use crate::duty;
use crate::group;
use crate::guard;
use crate::intent;
use crate::node;
use crate::plan;
use crate::pool;
use crate::resumes;
use crate::sampler;
use crate::seat;
use crate::settlement;
use crate::succession;
use crate::survey;
use crate::upstream;
use crate::verdict;
use crate::wait;
use crate::witness;

/// Pause between looks for groups that are new in the configuration.
const NEW_GROUPS: time::Duration = time::Duration::from_millis(300);

/// Time after which an instance that receives records is listed, and the list has come here.
const LISTED: time::Duration = time::Duration::from_millis(500);

/// Pause between holds while an earlier end of a hold may yet arrive.
const HOLD_AGAIN: time::Duration = time::Duration::from_millis(100);

/// What came of one try to replace a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Done {
    /// The candidate leads.
    Leads(sampler::Lead),
    /// Another instance leads a later term already.
    Overtaken(sampler::Lead),
    /// Only an instance that does not answer may have all commits.
    HeldBack,
    /// Nothing for now.
    GivenUp,
}

/// The replicas of a group, all held.
struct Held {
    looks: Vec<sampler::Look>,
    lives: plan::Lives,
    candidate: upstream::Id,
    /// Last record of the candidate.
    position: stamp::Stamp,
}

/// How far the end of a promotion has come.
struct Progress {
    term: id::Term,
    done: bool,
}

/// Replaces primaries while the seat is held.
pub struct Promoter {
    node: rc::Rc<node::Node>,
    seat: rc::Rc<seat::Seat>,
    duty: rc::Rc<dyn duty::Duty>,
    /// The ends of promotions, done or under way, that this node knows of.
    settlements: cell::RefCell<collections::BTreeMap<id::Group, Progress>>,
    /// The last orders, and when this node last knew them on their way.
    ordered: cell::RefCell<collections::BTreeMap<id::Group, (intent::Intent, id::Time)>>,
    /// Groups of which no order was under way when the store came back, and in which era.
    clear: cell::RefCell<collections::BTreeMap<id::Group, store::Era>>,
    resumes: rc::Rc<cell::RefCell<resumes::Resumes>>,
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
            settlements: cell::RefCell::default(),
            ordered: cell::RefCell::default(),
            clear: cell::RefCell::default(),
            resumes: rc::Rc::default(),
        })
    }

    /// The seat.
    #[must_use]
    pub fn seat(&self) -> &seat::Seat {
        &self.seat
    }

    /// This node.
    #[must_use]
    pub fn node(&self) -> &node::Node {
        &self.node
    }

    /// Watches over all groups, for ever.
    pub async fn run(self: rc::Rc<Self>) {
        let mut watched = collections::BTreeSet::new();
        loop {
            for group in self.node.groups() {
                if watched.insert(group.name.clone()) {
                    let guard = guard::Guard::new(rc::Rc::clone(&self), group);
                    self.node.executor().spawn(guard.run()).detach();
                }
            }
            wait::sleep(NEW_GROUPS).await;
        }
    }

    /// Replaces the primary `lead`, of whose group some replica has received `furthest`.
    pub async fn replace(
        self: &rc::Rc<Self>,
        group: &rc::Rc<group::Group>,
        lead: &sampler::Lead,
        cause: succession::Cause,
        furthest: Option<stamp::Stamp>,
    ) -> Done {
        self.resumes.borrow_mut().promotes(&group.name, true);
        let done = self.promote(group, lead, cause, furthest).await;
        self.resumes.borrow_mut().promotes(&group.name, false);
        done
    }

    async fn promote(
        self: &rc::Rc<Self>,
        group: &rc::Rc<group::Group>,
        lead: &sampler::Lead,
        cause: succession::Cause,
        furthest: Option<stamp::Stamp>,
    ) -> Done {
        let plan = plan::Plan {
            group: rc::Rc::clone(group),
            old: survey::Survey::new(group, lead).primary,
            cause,
            term: group.term().max(lead.term) + 1,
            began: boot::now(),
            furthest,
        };
        let held = match self.hold_surely(&plan, lead).await {
            Ok(held) => held,
            Err(done) => return done,
        };
        let candidate = &held.candidate;
        let account = account(&plan, &held);
        tracing::info!(group = %group.name, %candidate, term = plan.term, position = %held.position,
            counted = account.counted(), uncounted = account.uncounted(),
            furthest = plan.furthest.map(tracing::field::display), "candidate chosen");
        let relief = cause == succession::Cause::Relief;
        if relief && !self.step_down(&plan, candidate, &held.looks).await {
            self.free(group, lead).await;
            return Done::GivenUp;
        }
        if cause == succession::Cause::Planned && plan.is_ahead_of(candidate, &held.looks).await {
            tracing::warn!(group = %group.name, %candidate, "the primary has records that no replica has");
            self.free(group, lead).await;
            return Done::GivenUp;
        }
        let outcome = self.order(&plan, lead, &held).await;
        if let duty::Outcome::Refused(_) = outcome {
            if relief {
                // Without a primary the replicas stay held, for a promotion that is finished
                // next; nobody may go on believing in the one that has given up.
                group.doubt(lead.term, "the primary has given up");
            } else if cause.lives() && survey::Survey::new(&plan.group, lead).leads().await {
                // It surely was not carried out: a primary that lives goes on, in place of
                // waiting for replicas that are held until promotions are possible again.
                self.free(group, lead).await;
            }
            return Done::GivenUp;
        }
        // Where nobody knows whether the order arrived, the primary may be the only one for long:
        // it is told once the candidate leads. Its replicas are held, so that it acknowledges nothing.
        if cause.lives() && outcome == duty::Outcome::Accepted {
            plan.keeping_held(candidate, plan.demote_once()).await;
        }
        let done = self.finish(&plan, candidate).await;
        if matches!(done, Done::Leads(_)) {
            let check = check(rc::Rc::clone(group), account);
            self.node.executor().spawn(check).detach();
        }
        done
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

    // Whether an order may be in force, or take effect, that makes an instance the primary of a
    // later term than `lead` has.
    fn is_open(&self, group: &id::Group, lead: &sampler::Lead) -> bool {
        let intent = self.seat.intent(group);
        intent.is_some_and(|intent| intent.term > lead.term)
    }

    /// Whether an order may be in force whose record the store has lost.
    pub fn is_in_doubt(&self, group: &id::Group) -> bool {
        let clear = self.clear.borrow().get(group).copied();
        self.seat.is_doubtful() && clear != Some(self.seat.era())
    }

    /// Notes that there is none.
    pub fn note_clear(&self, group: &id::Group) {
        let era = self.seat.era();
        self.clear.borrow_mut().insert(group.clone(), era);
    }

    // Whether the one that was replaced last knows, or is gone.
    fn is_settled(&self, group: &id::Group) -> bool {
        let settlements = self.settlements.borrow();
        settlements.get(group).is_none_or(|progress| progress.done)
    }

    // Holds all replicas, and again until no end of an earlier hold was on its way to them meanwhile.
    async fn hold_surely(&self, plan: &plan::Plan, lead: &sampler::Lead) -> Result<Held, Done> {
        let group = &plan.group;
        let mut told = false;
        loop {
            let open = self.resumes.borrow_mut().until(&group.name, boot::now());
            if open.is_some() && plan.cause.can_wait() {
                tracing::info!(group = %group.name, term = plan.term,
                    "no promotion yet: the end of an earlier hold may be on its way");
                return Err(Done::GivenUp);
            }
            let held = self.hold(plan, lead).await?;
            let Some(until) = open else {
                return Ok(held);
            };
            if self.has_returned(plan, lead).await {
                tracing::warn!(group = %group.name, term = plan.term, "promotion given up: the primary has returned");
                self.free(group, lead).await;
                return Err(Done::GivenUp);
            }
            let left = until.saturating_sub(boot::now());
            if !told {
                tracing::info!(group = %group.name, term = plan.term, left_ms = left.as_millis(),
                    "no order yet: the end of an earlier hold may be on its way");
                told = true;
            }
            wait::sleep(left.min(HOLD_AGAIN)).await;
        }
    }

    /// Holds all replicas for the new term and chooses among them.
    ///
    /// Any of them may be the only one besides the old primary that has an acknowledged
    /// commit; promoting without it would lose a booking that somebody was promised.
    async fn hold(&self, plan: &plan::Plan, lead: &sampler::Lead) -> Result<Held, Done> {
        let group = &plan.group;
        loop {
            group.forget_ended();
            group.seek_successors(survey::LOOK).await;
            let pools = plan.replicas();
            let lives = plan.lives();
            let looks = hold_all(plan, &pools).await;
            self.demote_stale(plan, lead, &pools, &looks).await;
            let pending = self.seat.intent(&group.name);
            let pending = pending.filter(|intent| {
                let open = intent.term > lead.term && lives.contains(&intent.life());
                open && !self.is_late(intent)
            });
            let view = verdict::View {
                lead,
                term: plan.term,
                expected: pools.len(),
                looks: &looks,
                furthest: plan.furthest.max(group.furthest()),
                pending: pending.as_ref().map(|intent| &intent.candidate),
                loss: self.loss(plan, lead),
            };
            let leaves = |id: &upstream::Id| group.roster().is_leaving(id);
            let mut verdict = view.judge(leaves);
            if group.roster().is_unclear() {
                verdict = verdict::Verdict::Wait;
            }
            let mut stands = None;
            if verdict == verdict::Verdict::Lacking {
                let old = plan.ask_old().await;
                verdict = view.resolve(&old, leaves);
                stands = old.look().cloned();
                tracing::info!(group = %group.name, furthest = ?plan.furthest, loss = ?view.loss, ?old, ?verdict,
                    "no replica has all that one had received");
            }
            if let verdict::Verdict::Promote(candidate) = &verdict
                && view.is_empty(candidate)
                && let old @ verdict::Old::Answers(_) = plan.ask_old().await
            {
                verdict = view.resolve(&old, leaves);
                stands = old.look().cloned();
                tracing::info!(group = %group.name, ?old, ?verdict, "no replica has any record");
            }
            match verdict {
                verdict::Verdict::Promote(candidate) if plan.is_unnamed(&candidate) => {
                    tracing::info!(group = %group.name, %candidate,
                        "an instance whose id is not known has the furthest log");
                }
                verdict::Verdict::Promote(candidate) => {
                    let mut answers = looks.iter().chain(&stands);
                    let own = answers.find(|look| look.id == candidate);
                    let position = own.map(|look| look.status.received);
                    return Ok(Held {
                        position: position.unwrap_or_default(),
                        looks,
                        lives,
                        candidate,
                    });
                }
                verdict::Verdict::Overtaken(found) => return Err(Done::Overtaken(found)),
                verdict::Verdict::HeldBack => {
                    // A primary that comes back has to find replicas that receive from it.
                    self.free(group, lead).await;
                    return Err(Done::HeldBack);
                }
                verdict::Verdict::Returned => {
                    self.free(group, lead).await;
                    return Err(Done::GivenUp);
                }
                verdict::Verdict::Wait | verdict::Verdict::Lacking => {}
            }
            let late = boot::now() > plan.began + plan.cause.patience();
            let returned = self.has_returned(plan, lead).await;
            if late || returned || self.seat.held().is_none() {
                tracing::warn!(group = %group.name, term = plan.term, expected = pools.len(),
                    answers = looks.len(), late, returned,
                    pending = pending.map(|intent| intent.candidate.to_string()),
                    "promotion given up");
                self.free(group, lead).await;
                return Err(Done::GivenUp);
            }
            wait::sleep(plan::POLL).await;
        }
    }

    // What a replica may have confirmed before it lost its log, where one has lost it under this
    // primary. With an open order all were held before, with what is recorded. A primary that
    // lives and is cut off from its replicas would keep its place for as long as that lasts.
    fn loss(&self, plan: &plan::Plan, lead: &sampler::Lead) -> Option<verdict::Loss> {
        let floors = |panel: &witness::Panel<'_>| panel.belief.floors().loss(lead.term);
        let stood = plan.group.panel(floors)?;
        if plan.cause == succession::Cause::Stalled {
            return None;
        }
        let intent = self.seat.intent(&plan.group.name);
        let intent = intent.filter(|intent| intent.term > lead.term);
        let within = intent.map(|intent| intent.received).or(stood);
        Some(within.map_or(verdict::Loss::Unknown, verdict::Loss::Within))
    }

    // Whether a recorded order would have taken effect by now. Waiting for it has to end: its candidate
    // may lack what another has, and nobody leads meanwhile.
    fn is_late(&self, intent: &intent::Intent) -> bool {
        let now = boot::now();
        let mut ordered = self.ordered.borrow_mut();
        match ordered.get(&intent.group) {
            Some((known, since)) if known == intent => now > *since + guard::LATE,
            _ => {
                ordered.insert(intent.group.clone(), (intent.clone(), now));
                false
            }
        }
    }

    // Makes a replica of an instance that leads a term which is over, as nobody has told it.
    //
    // Where none of the others has heard of the term that is replaced, its primary may never have
    // led: the one that leads the term before is then the only one that does, and gives up
    // only for a promotion that can be ordered now.
    async fn demote_stale(
        &self,
        plan: &plan::Plan,
        lead: &sampler::Lead,
        pools: &[rc::Rc<pool::Pool>],
        looks: &[sampler::Look],
    ) {
        let stale = |look: &&sampler::Look| {
            look.status.role == role::Role::Primary && look.status.term <= lead.term
        };
        let Some(found) = looks.iter().find(stale) else {
            return;
        };
        let known = looks.iter().any(|look| look.status.term >= lead.term);
        if !known && !self.could_order(plan, pools.len(), looks).await {
            return;
        }
        if let Some(pool) = pools.iter().find(|pool| pool.id() == found.id) {
            let demote = upstream::Command::Demote(plan.term);
            plan::tell(pool, &demote, plan.group.dialer()).await;
        }
    }

    // Whether all but one of the instances are held, and the seat is confirmed.
    async fn could_order(
        &self,
        plan: &plan::Plan,
        expected: usize,
        looks: &[sampler::Look],
    ) -> bool {
        let held = looks.iter().filter(|look| {
            look.status.role == role::Role::Replica && look.status.held >= plan.term
        });
        held.count() + 1 == expected && self.seat.confirm().await.is_some()
    }

    // Whether a primary that was given up, or that a promotion without an order has left
    // without replicas, answers and leads.
    async fn has_returned(&self, plan: &plan::Plan, lead: &sampler::Lead) -> bool {
        let unfinished = plan.cause == succession::Cause::Unfinished;
        let given_up = !plan.cause.lives();
        let unordered = unfinished && !self.is_open(&plan.group.name, lead);
        (given_up || unordered) && survey::Survey::new(&plan.group, lead).leads().await
    }

    /// Frees the replicas of a promotion that is given up, unless a primary that was replaced
    /// may then acknowledge writes that its successor never gets.
    ///
    /// That is so while an order may be in force whose end nobody has seen, and until the
    /// primary before the present one knows that it leads no more, unless the present one
    /// answers: replicas follow it then. What stays held is freed by the end of the promotion
    /// that needs it.
    ///
    /// A node that does not surely hold the seat ends no hold: it may be that of its successor, who finds the
    /// replicas held and knows why.
    pub async fn free(&self, group: &rc::Rc<group::Group>, lead: &sampler::Lead) {
        if self.seat.held().is_none() {
            tracing::info!(group = %group.name, "replicas stay held: the seat is not surely held");
            return;
        }
        if self.is_in_doubt(&group.name) {
            tracing::info!(group = %group.name, "replicas stay held: the store may have lost the record of an order");
            return;
        }
        if self.is_open(&group.name, lead) {
            tracing::info!(group = %group.name, "replicas stay held: an order may be in force");
            return;
        }
        let survey = survey::Survey::new(group, lead);
        if !self.is_settled(&group.name) && !survey.leads().await {
            tracing::info!(group = %group.name, "replicas stay held: a replaced primary does not know yet");
            return;
        }
        let may = || self.seat.held().is_some();
        let resumes = survey
            .others
            .iter()
            .map(|pool| plan::resume(pool, group, &self.resumes, may));
        futures_util::future::join_all(resumes).await;
    }

    async fn order(&self, plan: &plan::Plan, lead: &sampler::Lead, held: &Held) -> duty::Outcome {
        let group = &plan.group.name;
        let open = self.is_open(group, lead);
        let Some(seat) = self
            .seat
            .record(&plan.intent(&held.candidate, &held.looks))
            .await
        else {
            tracing::warn!(%group, "the seat is not confirmed, no order");
            return duty::Outcome::Refused("the seat is not confirmed".into());
        };
        // One that has started again since is not held, and one that was added never was.
        let outcome = if plan.are_held().await && plan.lives() == held.lives {
            let order = duty::Order {
                group: group.clone(),
                candidate: held.candidate.clone(),
                holder: self.node.name.clone(),
                fence: seat.fence,
            };
            let outcome = plan
                .keeping_held(&held.candidate, self.duty.promote(&order))
                .await;
            if let Some(intent) = self.seat.intent(group) {
                let news = (intent, boot::now());
                self.ordered.borrow_mut().insert(group.clone(), news);
            }
            outcome
        } else {
            duty::Outcome::Refused("a replica is no longer as it was held".into())
        };
        tracing::info!(%group, candidate = %held.candidate, fence = seat.fence, ?outcome,
            "promotion ordered");
        if matches!(outcome, duty::Outcome::Refused(_)) && !open {
            self.seat.retract(group);
        }
        outcome
    }

    async fn finish(self: &rc::Rc<Self>, plan: &plan::Plan, candidate: &upstream::Id) -> Done {
        let leads = plan.leads(candidate, plan::LEADING).await;
        let group = &plan.group;
        group.search();
        tracing::info!(group = %group.name, %candidate, term = plan.term, leads = leads.is_some(), led = leads,
            cause = ?plan.cause, took_ms = boot::now().saturating_sub(plan.began).as_millis(), "promotion over");
        let Some(term) = leads else {
            return Done::GivenUp;
        };
        metrics::counter!(telemetry::PROMOTIONS, "cause" => plan.cause.label()).increment(1);
        if let Some(intent) = self.seat.intent(&group.name) {
            self.close(group, &intent, term).await;
        }
        Done::Leads(sampler::Lead {
            id: candidate.clone(),
            term,
        })
    }

    /// Brings a promotion whose candidate leads `term` to its end.
    ///
    /// Where an order before it never took effect, that may be an earlier term than the replicas were held for.
    /// Were the record to keep the later one, replicas would be held for it again, and nobody would believe in a primary
    /// that is seen to be replaced.
    pub async fn close(
        self: &rc::Rc<Self>,
        group: &rc::Rc<group::Group>,
        intent: &intent::Intent,
        term: id::Term,
    ) {
        let led = intent::Intent {
            term,
            ..intent.clone()
        };
        self.settle(group, &led, intent.term);
        if term < intent.term && self.seat.record(&led).await.is_none() {
            tracing::warn!(group = %group.name, candidate = %intent.candidate, term,
                "the term of a promotion is not corrected in its record");
        }
    }

    /// Brings a promotion whose candidate leads to its end in the background, once: the replaced
    /// primary is told, then the replicas are freed that were held for the term `held` or an earlier one.
    pub fn settle(
        self: &rc::Rc<Self>,
        group: &rc::Rc<group::Group>,
        intent: &intent::Intent,
        held: id::Term,
    ) {
        let term = intent.term;
        let mut settlements = self.settlements.borrow_mut();
        if settlements
            .get(&group.name)
            .is_some_and(|progress| progress.term >= term)
        {
            return;
        }
        let done = false;
        settlements.insert(group.name.clone(), Progress { term, done });
        let settlement = settlement::Settlement::new(
            rc::Rc::clone(group),
            intent,
            held,
            rc::Rc::clone(&self.seat),
            rc::Rc::clone(&self.resumes),
        );
        let promoter = rc::Rc::clone(self);
        let name = group.name.clone();
        let settle = async move {
            let told = settlement.tell().await;
            promoter.note_settled(&name, term);
            let done = told && settlement.free().await;
            tracing::info!(group = %name, term, done, "promotion settled");
        };
        self.node.executor().spawn(settle).detach();
    }

    fn note_settled(&self, group: &id::Group, term: id::Term) {
        let mut settlements = self.settlements.borrow_mut();
        let progress = settlements.get_mut(group);
        if let Some(progress) = progress.filter(|progress| progress.term == term) {
            progress.done = true;
        }
    }
}

// Whose logs this choice rests on.
fn account(plan: &plan::Plan, held: &Held) -> account::Account {
    let roster = plan.group.roster();
    let now = boot::now();
    let ids = |pools: Vec<rc::Rc<pool::Pool>>| pools.iter().map(|pool| pool.id()).collect();
    let forgotten = roster.forgotten().into_iter();
    account::Account {
        candidate: held.candidate.clone(),
        position: held.position,
        term: plan.term,
        old: plan.old.as_ref().map(|old| old.id()),
        looks: held.looks.clone(),
        asked: ids(roster.pools()),
        unlisted: ids(roster.absent()),
        forgotten: forgotten
            .map(|(id, since)| (id, now.saturating_sub(since)))
            .collect(),
    }
}

// Looks once at all instances after a promotion, and tells whose records the new primary lacks. What
// is seen here is no part of what this node believes.
async fn check(group: rc::Rc<group::Group>, account: account::Account) {
    let pools = group.roster().pools();
    let looks = sampler::look_at_all(&pools, group.dialer(), survey::LOOK).await;
    let (candidate, position, term) = (&account.candidate, account.position, account.term);
    let beyond = account.beyond(&looks);
    tracing::info!(group = %group.name, %candidate, term, answers = looks.len(),
        unseen = account.unseen(&looks), beyond = beyond.len(), "promotion checked");
    for look in beyond {
        let received = look.status.received;
        if account.old.as_ref() == Some(&look.id) {
            tracing::warn!(group = %group.name, instance = %look.id, %received, %candidate, %position, term,
                "the replaced primary has records that its successor lacks: nobody confirmed them, or they are lost");
        } else {
            metrics::counter!(telemetry::LOSSES, "group" => group.name.to_string()).increment(1);
            tracing::error!(group = %group.name, instance = %look.id, %received, %candidate, %position, term,
                "a replica has records that the new primary lacks: acknowledged commits may be lost");
        }
    }
}

// Holds these instances.
async fn hold_all(plan: &plan::Plan, pools: &[rc::Rc<pool::Pool>]) -> Vec<sampler::Look> {
    let dialer = plan.group.dialer();
    let hold = upstream::Command::Hold(plan.term);
    let started = boot::now();
    let holds = pools.iter().map(|pool| plan::tell(pool, &hold, dialer));
    let answers = futures_util::future::join_all(holds).await;
    let looks: Vec<_> = answers.into_iter().flatten().collect();
    plan.group.hear(&looks, started);
    looks
}
