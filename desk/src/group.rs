//! One database group: its instances, who leads, and how fresh each of them is.

use std::cell;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::belief;
use crate::boot;
use crate::catalog;
use crate::detector;
use crate::election;
use crate::keeper;
use crate::pool;
use crate::proof;
use crate::roster;
use crate::sampler;
use crate::source;
use crate::upstream;
use crate::wait;
use crate::witness;

/// Reads ask for a floor this much younger than their bound, for the way of the request
/// and the grain of timers.
const AGE_MARGIN: time::Duration = time::Duration::from_millis(60);

/// A floor is renewed once it has used up this part of a read's bound. The rest is what a
/// replica may lag behind; looks at instances are priced, and a shorter part costs more.
const RENEWAL_PERCENT: u32 = 70;

/// Least time between two attempts to renew a floor.
const REFRESH_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Pause between looks for a primary; a gap of one second then costs about ten looks.
const SEARCH_PAUSE: time::Duration = time::Duration::from_millis(120);

/// A position of the primary that is older than this is asked for anew with a floor.
const POSITION_FRESH: time::Duration = time::Duration::from_millis(200);

/// Looks in a row at an instance that is missing from the list: the first may meet a connection that has ended
/// with the instance, the next a new one that is refused.
const ABSENT_LOOKS: u32 = 3;

/// Longest wait for one of them: a node that lends connections may need this long to find that it has none.
const ABSENT_LOOK: time::Duration = time::Duration::from_millis(700);

/// A group as this node sees it.
pub struct Group {
    /// Its name.
    pub name: id::Group,
    domain: id::Domain,
    dialer: rc::Rc<dyn upstream::Dialer>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    roster: roster::Roster,
    belief: cell::RefCell<belief::Belief>,
    changed: event_listener::Event,
    searching: cell::Cell<bool>,
    refreshing: cell::Cell<bool>,
    looking: cell::Cell<bool>,
    asking: cell::Cell<bool>,
    prover: proof::Prover,
}

impl Group {
    /// A group without instances.
    #[must_use]
    pub fn new(
        name: id::Group,
        domain: id::Domain,
        dialer: rc::Rc<dyn upstream::Dialer>,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    ) -> rc::Rc<Self> {
        let roster = roster::Roster::new(
            name.clone(),
            rc::Rc::clone(&dialer),
            rc::Rc::clone(&executor),
        );
        rc::Rc::new(Self {
            name,
            domain,
            dialer,
            executor,
            roster,
            belief: cell::RefCell::default(),
            changed: event_listener::Event::new(),
            searching: cell::Cell::default(),
            refreshing: cell::Cell::default(),
            looking: cell::Cell::default(),
            asking: cell::Cell::default(),
            prover: proof::Prover::default(),
        })
    }

    /// Takes the group's part of a new list of instances.
    ///
    /// What it says anew may have been so since `since`: after an outage of the list, an
    /// instance that is found leaving may have announced it long ago, and would be sent
    /// work after its time if its announcement were taken for fresh.
    /// A node that has just started knows no such time: an announcement that it finds may be
    /// of any age.
    ///
    /// The list is as it was at `heard`: it may have taken long to come.
    pub fn update(
        self: &rc::Rc<Self>,
        instances: Vec<catalog::Instance>,
        since: Option<id::Time>,
        heard: id::Time,
    ) {
        let lead = self.lead();
        let leads = |id: &upstream::Id| lead.as_ref().is_some_and(|lead| lead.id == *id);
        let surprise = instances
            .iter()
            .any(|instance| instance.leads != leads(&instance.id));
        let now = boot::now();
        self.note_applied(now);
        let since = since.map(|since| since.min(heard));
        let reborn = self.roster.update(instances, since, heard);
        self.ask_absent();
        for id in &reborn {
            let mut belief = self.belief.borrow_mut();
            belief.receipts().forget(id);
            if !leads(id) {
                belief.note_loss(boot::now());
            }
        }
        if let Some(lead) = lead.as_ref().filter(|lead| reborn.contains(&lead.id)) {
            self.doubt(lead.term, "the primary has started again");
        } else if lead.is_some() && (surprise || !reborn.is_empty()) {
            // What a replica that has started again had confirmed, the primary's answer tells.
            self.search();
        } else if surprise {
            self.search_sometime();
        }
    }

    // Looks for the primary at a moment of this node's own, unless a caller asks for it before.
    //
    // All nodes of a fleet start together and hear of all groups at once; were each to look at all
    // instances then, the nodes that lend connections would answer none in time.
    fn search_sometime(self: &rc::Rc<Self>) {
        let group = rc::Rc::clone(self);
        let delay = election::claim_window(self.dialer.nodes()).mul_f64(fastrand::f64());
        let search = async move {
            wait::sleep(delay).await;
            if group.lead().is_none() {
                group.search();
            }
        };
        self.executor.spawn(search).detach();
    }

    /// Drops what has ended, gives spare connections back, and asks those that are missing from the list
    /// whether they live; called about once a second.
    pub fn tidy(self: &rc::Rc<Self>, listed: impl Fn(&upstream::Id) -> bool) {
        self.roster.tidy(listed);
        self.forget_ended();
        self.ask_absent();
    }

    // Asks instances that are missing from the list for their status: one that answers receives, and
    // lets commits be acknowledged.
    fn ask_absent(self: &rc::Rc<Self>) {
        let none = self.roster.absent().is_empty() && self.roster.successor_candidates().is_empty();
        if none || self.asking.replace(true) {
            return;
        }
        let group = rc::Rc::clone(self);
        let ask = async move {
            for round in 0..ABSENT_LOOKS {
                let absent = group.roster.absent();
                let looks = group.look_at(&absent, ABSENT_LOOK).await;
                group.forget_ended();
                group.seek_successors(ABSENT_LOOK).await;
                if looks.len() == absent.len() {
                    break;
                }
                sampler::pause(round, SEARCH_PAUSE).await;
            }
            group.asking.set(false);
        };
        self.executor.spawn(ask).detach();
    }

    /// Forgets instances that have ended. What a replica confirmed shortly before, and nobody has seen, the primary's
    /// next answer tells.
    pub fn forget_ended(self: &rc::Rc<Self>) {
        let forgotten = self.roster.forget_ended();
        let lead = self.lead();
        let leads = |id: &upstream::Id| lead.as_ref().is_some_and(|lead| lead.id == *id);
        if forgotten.iter().any(|id| !leads(id)) {
            self.belief.borrow_mut().note_loss(boot::now());
            if lead.is_some() {
                self.search();
            }
        }
    }

    /// Asks whoever listens where an instance has ended whether it belongs to the group, and counts it if so.
    pub async fn seek_successors(self: &rc::Rc<Self>, limit: time::Duration) {
        let vacated = self.roster.successor_candidates();
        for look in self.look_at(&vacated, limit).await {
            self.roster.adopt_successor(&look.id);
        }
    }

    // What a replica has applied in the present term it has received, and it goes with the pool
    // of a process that has ended.
    fn note_applied(&self, now: id::Time) {
        let Some(lead) = self.lead() else { return };
        let pools = self.witnesses(&lead.id);
        let applied = pools.iter().map(|pool| pool.applied()).max();
        if let Some(applied) = applied.filter(|applied| applied.term == lead.term) {
            self.belief.borrow_mut().receipts().reach(applied, now);
        }
    }

    /// Asks instances for their status and takes note of the terms and positions that they tell.
    pub async fn look_at(
        self: &rc::Rc<Self>,
        pools: &[rc::Rc<pool::Pool>],
        limit: time::Duration,
    ) -> Vec<sampler::Look> {
        let started = boot::now();
        let looks = sampler::look_at_all(pools, &*self.dialer, limit).await;
        self.hear(&looks, started);
        looks
    }

    /// Takes note of the terms and positions that instances told, asked at `started`.
    pub fn hear(&self, looks: &[sampler::Look], started: id::Time) {
        let lost = self.belief.borrow_mut().hear(looks, started, boot::now());
        for id in lost {
            tracing::warn!(group = %self.name, instance = %id,
                "replica has less than it had received: it has started again");
            self.roster.note_lost_log(&id);
            self.belief.borrow_mut().note_loss(boot::now());
        }
    }

    /// Takes note of a record that, as others have found, a replica has received.
    pub fn note_received(&self, received: stamp::Stamp) {
        let mut belief = self.belief.borrow_mut();
        belief.receipts().reach(received, boot::now());
    }

    /// Furthest record that a replica was seen to have received, in what is known of the
    /// present primary's log.
    #[must_use]
    pub fn furthest(&self) -> Option<stamp::Stamp> {
        self.note_applied(boot::now());
        self.vacancy().received.map(|(received, _)| received)
    }

    /// The instances.
    #[must_use]
    pub const fn roster(&self) -> &roster::Roster {
        &self.roster
    }

    /// Border to the instances.
    #[must_use]
    pub fn dialer(&self) -> &dyn upstream::Dialer {
        &*self.dialer
    }

    /// Who leads, as far as this node knows.
    #[must_use]
    pub fn lead(&self) -> Option<sampler::Lead> {
        self.belief.borrow().lead().cloned()
    }

    /// What this node has seen of the group while it knew no primary.
    #[must_use]
    pub fn vacancy(&self) -> detector::Vacancy {
        self.belief.borrow().vacancy()
    }

    /// Highest term that this node has heard of.
    #[must_use]
    pub fn term(&self) -> id::Term {
        self.belief.borrow().term()
    }

    /// The primary's connections, awaiting a primary until `deadline`.
    pub async fn primary(
        self: &rc::Rc<Self>,
        deadline: id::Time,
    ) -> Option<(rc::Rc<pool::Pool>, id::Term)> {
        loop {
            let changed = self.changed.listen();
            if let Some(lead) = self.lead()
                && let Some(pool) = self.roster.pool(&lead.id)
            {
                return Some((pool, lead.term));
            }
            if self.lead().is_some() {
                // Looks find the same one again at once, which callers' work may not go to.
                wait::until(deadline, wait::sleep(SEARCH_PAUSE)).await?;
            }
            self.search();
            wait::until(deadline, changed).await?;
        }
    }

    /// Takes note of the primary's answer to a command sent at `sent`.
    ///
    /// A log with a record of a later term is that of an instance that was replaced since, and follows
    /// another.
    pub fn saw_position(
        self: &rc::Rc<Self>,
        term: id::Term,
        sent: id::Time,
        stamp: Option<stamp::Stamp>,
    ) {
        let Some(stamp) = stamp else { return };
        if stamp.term > term {
            self.doubt(term, "its log is of a later term");
        } else {
            self.belief.borrow_mut().saw_position(term, sent, stamp);
        }
    }

    /// Gives up the belief in a primary of `term` and looks for the present one.
    pub fn doubt(self: &rc::Rc<Self>, term: id::Term, reason: &str) {
        let doubted = self.belief.borrow_mut().give_up(term, boot::now());
        if let Some(lead) = doubted {
            tracing::info!(group = %self.name, primary = %lead.id, term = lead.term, reason,
                "primary in doubt");
        }
        self.search();
    }

    /// Looks for the primary in the background until one is found.
    pub fn search(self: &rc::Rc<Self>) {
        if self.searching.replace(true) {
            return;
        }
        let group = rc::Rc::clone(self);
        self.executor
            .spawn(async move {
                let mut round = 0;
                while !group.discover().await {
                    sampler::pause(round, SEARCH_PAUSE).await;
                    round += 1;
                }
                group.searching.set(false);
            })
            .detach();
    }

    async fn discover(self: &rc::Rc<Self>) -> bool {
        let started = boot::now();
        let looks = self
            .look_at(&self.roster.pools(), sampler::LOOK_LIMIT)
            .await;
        self.learn(started, &looks);
        let found = sampler::leader(&looks);
        let Some(lead) = found.filter(|lead| lead.term >= self.term()) else {
            return self.roster.is_empty();
        };
        if self.belief.borrow_mut().find(&lead) {
            tracing::info!(group = %self.name, primary = %lead.id, term = lead.term,
                answers = looks.len(), "primary found");
        }
        self.changed.notify(usize::MAX);
        true
    }

    // Turns answers to looks that began at `started` into evidence.
    fn learn(self: &rc::Rc<Self>, started: id::Time, looks: &[sampler::Look]) {
        let Some(lead) = sampler::leader(looks) else {
            return;
        };
        if self
            .lead()
            .is_some_and(|believed| believed.term < lead.term)
        {
            self.doubt(lead.term - 1, "another instance leads a later term");
        }
        let attested = self.panel(|panel| panel.attests(&lead, started, looks));
        let mut belief = self.belief.borrow_mut();
        if let Some(primary) = looks.iter().find(|look| look.id == lead.id) {
            belief.saw_position(lead.term, started, primary.status.received);
        }
        if attested {
            belief.saw_leading(lead.term, started);
        }
    }

    /// Proves that a primary leads at some moment after this call began; tells which.
    pub async fn prove(self: &rc::Rc<Self>, deadline: id::Time) -> Option<sampler::Lead> {
        self.prover.prove(self, deadline).await
    }

    /// Proves that the primary leads.
    #[must_use]
    pub const fn prover(&self) -> &proof::Prover {
        &self.prover
    }

    /// Notes that the primary of `term` still led at `started`.
    pub fn saw_leading(&self, term: id::Term, started: id::Time) {
        self.belief.borrow_mut().saw_leading(term, started);
    }

    /// Executor of this node's tasks.
    #[must_use]
    pub const fn executor(&self) -> &rc::Rc<async_executor::LocalExecutor<'static>> {
        &self.executor
    }

    /// Asks the group's witnesses something.
    pub fn panel<T>(&self, ask: impl FnOnce(&witness::Panel<'_>) -> T) -> T {
        ask(&witness::Panel {
            roster: &self.roster,
            belief: &self.belief.borrow(),
            domain: &self.domain,
        })
    }

    /// All instances other than the primary, the nearest that answers first.
    #[must_use]
    pub fn witnesses(&self, primary: &upstream::Id) -> Vec<rc::Rc<pool::Pool>> {
        self.panel(|panel| panel.all(primary))
    }

    // Makes a floor for reads that accept some age.
    async fn refresh(self: &rc::Rc<Self>) {
        let Some(lead) = self.lead() else {
            self.search();
            self.refresh_without_primary().await;
            return;
        };
        let started = boot::now();
        let fresh = self
            .belief
            .borrow()
            .floors()
            .has_position_since(started.saturating_sub(POSITION_FRESH));
        if fresh && self.prover.sample(self).await.is_some() {
            return;
        }
        let Some(primary) = self.roster.pool(&lead.id) else {
            self.refresh_without_primary().await;
            return;
        };
        let mut pools = self.witnesses(&lead.id);
        pools.truncate(1);
        pools.push(primary);
        let looks = self.look_at(&pools, sampler::LOOK_LIMIT).await;
        self.learn(started, &looks);
        if looks.len() < pools.len() {
            self.refresh_without_primary().await;
        }
    }

    // Only the instance that was last seen to lead need not answer: if any other is silent,
    // it may be the one that leads by now.
    async fn refresh_without_primary(self: &rc::Rc<Self>) {
        let last = self.belief.borrow().last().cloned();
        let mut pools = self.roster.pools();
        pools.retain(|pool| Some(pool.id()) != last);
        let term = self.term();
        // One that is not listed yet may be the only replica with a commit.
        if !self.roster.is_settled() {
            return;
        }
        let started = boot::now();
        let looks = self.look_at(&pools, sampler::LOOK_LIMIT).await;
        let received = sampler::received(&looks, pools.len(), term);
        let mut belief = self.belief.borrow_mut();
        let covered = received.and_then(|stamp| belief.covered(stamp, self.roster.last_lost()));
        if let Some(stamp) = covered {
            belief.saw_received(started, stamp);
        }
    }

    // Gets a floor that covers all commits acknowledged longer ago than `within`: from the node
    // that keeps them, or by looks of this node's own.
    fn refresh_soon(self: &rc::Rc<Self>, within: time::Duration) {
        if self.refreshing.replace(true) {
            return;
        }
        let group = rc::Rc::clone(self);
        self.executor
            .spawn(async move {
                if !group.ask_keeper(within).await {
                    group.look_and_rest().await;
                }
                group.refreshing.set(false);
                group.changed.notify(usize::MAX);
            })
            .detach();
    }

    // Makes a floor by looks of this node's own.
    fn look_soon(self: &rc::Rc<Self>) {
        if self.looking.replace(true) {
            return;
        }
        let group = rc::Rc::clone(self);
        self.executor
            .spawn(async move {
                group.look_and_rest().await;
                group.looking.set(false);
                group.changed.notify(usize::MAX);
            })
            .detach();
    }

    async fn look_and_rest(self: &rc::Rc<Self>) {
        self.refresh().await;
        self.changed.notify(usize::MAX);
        // Whoever still lacks a floor asks again at once: without a pause, a group whose
        // primary alone answers is looked at hundreds of times a second.
        wait::sleep(REFRESH_PAUSE).await;
    }

    async fn ask_keeper(self: &rc::Rc<Self>, within: time::Duration) -> bool {
        let ask = keeper::Ask {
            group: self.name.clone(),
            within,
        };
        let sent = boot::now();
        let Some(told) = self.dialer.floor(&ask).await else {
            return false;
        };
        let moment = told.moment(sent);
        // A keeper that tells of less than was asked for is of no use, be it honest or slow.
        let serves = moment >= sent.saturating_sub(within) && told.term >= self.term();
        if serves {
            let lead = self.lead();
            if lead.is_some_and(|lead| lead.term < told.term) {
                self.doubt(told.term - 1, "a keeper knows a later term");
            }
            let mut belief = self.belief.borrow_mut();
            belief.take_over(told.term, moment, told.stamp);
        }
        serves
    }

    /// A floor for another node that asked for one which covers all commits acknowledged longer ago
    /// than `within`, made by looks of this node's own where none is known.
    ///
    /// The next one is made once this has used up a part of its age, so that those that ask find
    /// one that replicas have applied already.
    pub async fn tell_floor(self: &rc::Rc<Self>, within: time::Duration) -> Option<keeper::Told> {
        let arrived = boot::now();
        let moment = arrived.saturating_sub(within);
        let deadline = arrived + keeper::PATIENCE;
        loop {
            let changed = self.changed.listen();
            let (found, newest) = {
                let belief = self.belief.borrow();
                let floors = belief.floors();
                (floors.to_tell(moment), floors.newest())
            };
            let renewal = arrived.saturating_sub(within * RENEWAL_PERCENT / 100);
            if newest.is_none_or(|newest| newest < renewal) {
                self.look_soon();
            }
            if let Some((term, time, stamp)) = found {
                let ago = arrived.saturating_sub(time);
                return Some(keeper::Told { term, stamp, ago });
            }
            wait::until(deadline, changed).await?;
        }
    }

    /// An instance to read from, other than those already `tried`.
    ///
    /// `None` when no instance is provably fresh enough before the need's deadline.
    pub async fn source(
        self: &rc::Rc<Self>,
        need: &source::Need,
        tried: &[upstream::Id],
    ) -> Option<source::Source> {
        let age = match need.freshness {
            catalog::Freshness::Current => return self.current(need, tried).await,
            catalog::Freshness::Bounded(age) | catalog::Freshness::Own(age) => age,
        };
        let moment = need.arrived.saturating_sub(age.saturating_sub(AGE_MARGIN));
        let floor = self.floor(need, moment, age).await?;
        let chosen = self.choose(need, tried, moment, floor);
        if chosen.is_none() && need.writes {
            return self.current(need, tried).await;
        }
        chosen
    }

    fn choose(
        &self,
        need: &source::Need,
        tried: &[upstream::Id],
        moment: id::Time,
        floor: stamp::Stamp,
    ) -> Option<source::Source> {
        let choice = source::Choice {
            roster: &self.roster,
            belief: &self.belief.borrow(),
            domain: &self.domain,
            own: need.own,
            organisation: &need.organisation,
            moment,
            floor,
        };
        if need.writes {
            choice.primary(tried)
        } else {
            choice.best(tried)
        }
    }

    async fn current(
        self: &rc::Rc<Self>,
        need: &source::Need,
        tried: &[upstream::Id],
    ) -> Option<source::Source> {
        loop {
            let (_, _) = self.primary(need.deadline).await?;
            let Some(lead) = self.prove(need.deadline).await else {
                if boot::now() >= need.deadline {
                    return None;
                }
                sampler::pause(0, SEARCH_PAUSE).await;
                continue;
            };
            let pool = self
                .roster
                .pool(&lead.id)
                .filter(|pool| !tried.contains(&pool.id()))?;
            return Some(source::Source {
                pool,
                after: None,
                leads: Some(lead.term),
            });
        }
    }

    async fn floor(
        self: &rc::Rc<Self>,
        need: &source::Need,
        moment: id::Time,
        age: time::Duration,
    ) -> Option<stamp::Stamp> {
        loop {
            let changed = self.changed.listen();
            let (floor, newest) = {
                let belief = self.belief.borrow();
                let floors = belief.floors();
                (floors.since(moment), floors.newest())
            };
            let renewal = need.arrived.saturating_sub(age * RENEWAL_PERCENT / 100);
            if newest.is_none_or(|newest| newest < renewal) {
                let part = if floor.is_some() {
                    RENEWAL_PERCENT
                } else {
                    100
                };
                let spent = boot::now().saturating_sub(moment);
                self.refresh_soon(spent * part / 100);
            }
            if let Some(floor) = floor {
                return Some(floor.max(need.own.unwrap_or_default()));
            }
            wait::until(need.deadline, changed).await?;
        }
    }
}
