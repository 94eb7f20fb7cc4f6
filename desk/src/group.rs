//! One database group: its instances, who leads, and how fresh each of them is.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::boot;
use crate::candidate;
use crate::catalog;
use crate::floor;
use crate::pool;
use crate::sampler;
use crate::upstream;
use crate::wait;

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

/// A replica that refused a read for being behind is left alone for this long, unless it
/// is seen to have caught up.
const BEHIND_PAUSE: time::Duration = time::Duration::from_millis(150);

/// An instance that has announced its end is used this long at most. Callers' work must
/// not reach it after seven seconds; the rest is for the way and for queues.
const LEAVING_USE: time::Duration = time::Duration::from_millis(5500);

/// What one request needs of the instance that reads for it.
#[derive(Clone, Debug)]
pub struct Need {
    /// When the request, or its transaction's first statement, arrived.
    pub arrived: id::Time,
    /// What its route accepts.
    pub freshness: catalog::Freshness,
    /// The session's own last commit.
    pub own: Option<stamp::Stamp>,
    /// No use to try after this.
    pub deadline: id::Time,
}

/// An instance to read from, and the position that its log must hold.
pub struct Source {
    /// Its connections.
    pub pool: rc::Rc<pool::Pool>,
    /// Position that the instance must check; none at a proven primary.
    pub after: Option<stamp::Stamp>,
    /// The primary's term, where it is the primary.
    pub leads: Option<id::Term>,
}

type Proof = Option<sampler::Lead>;

/// A group as this node sees it.
pub struct Group {
    /// Its name.
    pub name: id::Group,
    domain: id::Domain,
    dialer: rc::Rc<dyn upstream::Dialer>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    pools: cell::RefCell<collections::BTreeMap<upstream::Id, rc::Rc<pool::Pool>>>,
    /// Until when those that leave may be sent callers' work.
    leaving: cell::RefCell<collections::BTreeMap<upstream::Id, id::Time>>,
    lead: cell::RefCell<Option<sampler::Lead>>,
    last: cell::RefCell<Option<upstream::Id>>,
    term: cell::Cell<id::Term>,
    added: cell::Cell<id::Time>,
    floors: cell::RefCell<floor::Floors>,
    changed: event_listener::Event,
    searching: cell::Cell<bool>,
    refreshing: cell::Cell<bool>,
    provers: cell::RefCell<Vec<async_channel::Sender<Proof>>>,
    proving: cell::Cell<bool>,
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
        rc::Rc::new(Self {
            name,
            domain,
            dialer,
            executor,
            pools: cell::RefCell::default(),
            leaving: cell::RefCell::default(),
            lead: cell::RefCell::default(),
            last: cell::RefCell::default(),
            term: cell::Cell::default(),
            added: cell::Cell::default(),
            floors: cell::RefCell::default(),
            changed: event_listener::Event::new(),
            searching: cell::Cell::default(),
            refreshing: cell::Cell::default(),
            provers: cell::RefCell::default(),
            proving: cell::Cell::default(),
        })
    }

    /// Takes the group's part of a new list of instances.
    ///
    /// What it says anew may have been so since `since`: after an outage of the list, an
    /// instance that is found leaving may have announced it long ago, and would be sent
    /// work after its time if its announcement were taken for fresh.
    /// A node that has just started knows no such time: an announcement that it finds may be
    /// of any age.
    pub fn update(self: &rc::Rc<Self>, instances: Vec<catalog::Instance>, since: Option<id::Time>) {
        let now = boot::now();
        let mut surprise = false;
        let listed: collections::BTreeSet<_> = instances
            .iter()
            .map(|instance| instance.id.clone())
            .collect();
        for instance in instances {
            let leads = self.lead.borrow().as_ref().map(|lead| lead.id.clone());
            surprise |= instance.leads != (leads.as_ref() == Some(&instance.id));
            self.enter(instance, since.map(|since| since.min(now)));
        }
        let gone: Vec<_> = self
            .pools
            .borrow()
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in gone {
            self.leave(&id, now);
        }
        if surprise {
            self.search();
        }
    }

    fn enter(&self, instance: catalog::Instance, since: Option<id::Time>) {
        let mut leaving = self.leaving.borrow_mut();
        if instance.draining {
            leaving.entry(instance.id.clone()).or_insert_with(|| {
                tracing::info!(group = %self.name, instance = %instance.id,
                    fresh = since.is_some(), "instance is leaving");
                since.map_or(id::Time::ZERO, |since| since + LEAVING_USE)
            });
        } else {
            leaving.remove(&instance.id);
        }
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(&instance.id) {
            *pool.instance.borrow_mut() = instance;
            return;
        }
        tracing::info!(group = %self.name, instance = %instance.id, domain = %instance.domain,
            leads = instance.leads, "instance appeared");
        let id = instance.id.clone();
        let pool = rc::Rc::new(pool::Pool::new(
            instance,
            rc::Rc::clone(&self.dialer),
            rc::Rc::clone(&self.executor),
            pool::MOST,
            pool::MOST,
        ));
        pools.insert(id, pool);
        self.added.set(boot::now());
    }

    // An entry that vanished means that the instance left, or that it cannot reach the
    // list. It is used as one that leaves: it may be healthy, but not for long.
    fn leave(&self, id: &upstream::Id, now: id::Time) {
        let mut leaving = self.leaving.borrow_mut();
        let until = *leaving.entry(id.clone()).or_insert_with(|| {
            tracing::info!(group = %self.name, instance = %id, "instance is no longer listed");
            now + LEAVING_USE
        });
        // One that had announced its end before has ended.
        let ended = self
            .pools
            .borrow()
            .get(id)
            .is_some_and(|pool| pool.instance.borrow().draining);
        if ended || now > until {
            leaving.remove(id);
            if let Some(pool) = self.pools.borrow_mut().remove(id) {
                pool.clear();
            }
            tracing::info!(group = %self.name, instance = %id, "instance forgotten");
        }
    }

    /// Drops what is no longer listed and gives spare connections back; called now and then.
    pub fn tidy(&self, listed: impl Fn(&upstream::Id) -> bool) {
        let now = boot::now();
        let gone: Vec<_> = self
            .pools
            .borrow()
            .keys()
            .filter(|id| !listed(id))
            .cloned()
            .collect();
        for id in gone {
            self.leave(&id, now);
        }
        for pool in self.pools.borrow().values() {
            pool.trim();
        }
    }

    /// All instances that may still be asked, leaving ones included.
    #[must_use]
    pub fn pools(&self) -> Vec<rc::Rc<pool::Pool>> {
        self.pools.borrow().values().cloned().collect()
    }

    /// Whether the instance announced its end or is no longer listed.
    #[must_use]
    pub fn is_leaving(&self, id: &upstream::Id) -> bool {
        self.leaving.borrow().contains_key(id)
    }

    /// Whether this node has reached none of the instances for a while.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        let pools = self.pools.borrow();
        !pools.is_empty() && pools.values().all(|pool| pool.is_lost())
    }

    /// When an instance was last added to the list.
    #[must_use]
    pub fn added(&self) -> id::Time {
        self.added.get()
    }

    /// Border to the instances.
    #[must_use]
    pub fn dialer(&self) -> &dyn upstream::Dialer {
        &*self.dialer
    }

    /// Who leads, as far as this node knows.
    #[must_use]
    pub fn lead(&self) -> Option<sampler::Lead> {
        self.lead.borrow().clone()
    }

    /// Highest term that this node has heard of.
    #[must_use]
    pub fn term(&self) -> id::Term {
        self.term.get()
    }

    /// Whether the instance may be sent callers' work: one that announced its end may for a
    /// while, counted from the announcement.
    #[must_use]
    pub fn is_usable(&self, id: &upstream::Id) -> bool {
        let until = self.leaving.borrow().get(id).copied();
        until.is_none_or(|until| boot::now() < until)
    }

    fn pool(&self, id: &upstream::Id) -> Option<rc::Rc<pool::Pool>> {
        self.pools
            .borrow()
            .get(id)
            .filter(|_| self.is_usable(id))
            .cloned()
    }

    /// The primary's connections, awaiting a primary until `deadline`.
    pub async fn primary(
        self: &rc::Rc<Self>,
        deadline: id::Time,
    ) -> Option<(rc::Rc<pool::Pool>, id::Term)> {
        loop {
            let changed = self.changed.listen();
            if let Some(lead) = self.lead()
                && let Some(pool) = self.pool(&lead.id)
            {
                return Some((pool, lead.term));
            }
            self.search();
            wait::until(deadline, changed).await?;
        }
    }

    /// Takes note of the primary's answer to a command sent at `sent`.
    pub fn saw_position(&self, term: id::Term, sent: id::Time, stamp: Option<stamp::Stamp>) {
        if let Some(stamp) = stamp {
            self.floors.borrow_mut().saw_position(term, sent, stamp);
        }
    }

    /// Gives up the belief in a primary of `term` and looks for the present one.
    pub fn doubt(self: &rc::Rc<Self>, term: id::Term, reason: &str) {
        let doubted = self.lead().filter(|lead| lead.term <= term);
        if let Some(lead) = doubted {
            tracing::info!(group = %self.name, primary = %lead.id, term = lead.term, reason,
                "primary in doubt");
            self.lead.replace(None);
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
        let looks = sampler::look_at_all(&self.pools(), &*self.dialer, sampler::LOOK_LIMIT).await;
        self.learn(started, &looks);
        let found = sampler::leader(&looks);
        let Some(lead) = found.filter(|lead| lead.term >= self.term.get()) else {
            return self.pools.borrow().is_empty();
        };
        if self.lead().as_ref() != Some(&lead) {
            tracing::info!(group = %self.name, primary = %lead.id, term = lead.term,
                answers = looks.len(), "primary found");
        }
        self.last.replace(Some(lead.id.clone()));
        self.lead.replace(Some(lead));
        self.changed.notify(usize::MAX);
        true
    }

    // Turns answers to looks that began at `started` into evidence.
    fn learn(self: &rc::Rc<Self>, started: id::Time, looks: &[sampler::Look]) {
        let highest = looks.iter().map(|look| look.status.term).max();
        self.term
            .set(self.term.get().max(highest.unwrap_or_default()));
        let Some(lead) = sampler::leader(looks) else {
            return;
        };
        if self
            .lead()
            .is_some_and(|believed| believed.term < lead.term)
        {
            self.doubt(lead.term - 1, "another instance leads a later term");
        }
        let mut floors = self.floors.borrow_mut();
        let (primary, others): (Vec<_>, Vec<_>) = looks.iter().partition(|look| look.id == lead.id);
        if let Some(primary) = primary.first() {
            floors.saw_position(lead.term, started, primary.status.received);
        }
        if !others.is_empty() {
            floors.saw_leading(lead.term, started);
        }
    }

    /// Proves that a primary leads at some moment after this call began.
    ///
    /// Calls that wait at the same time share one look at a replica.
    pub async fn prove(self: &rc::Rc<Self>, deadline: id::Time) -> Proof {
        let (sender, receiver) = async_channel::bounded(1);
        self.provers.borrow_mut().push(sender);
        if !self.proving.replace(true) {
            let group = rc::Rc::clone(self);
            self.executor
                .spawn(async move { group.prove_all().await })
                .detach();
        }
        wait::until(deadline, receiver.recv()).await?.ok().flatten()
    }

    async fn prove_all(self: &rc::Rc<Self>) {
        loop {
            let provers = self.provers.take();
            if provers.is_empty() {
                self.proving.set(false);
                return;
            }
            let proof = self.sample().await;
            for prover in provers {
                // Whoever no longer waits has no use for the proof.
                let _ = prover.try_send(proof.clone());
            }
        }
    }

    async fn sample(self: &rc::Rc<Self>) -> Proof {
        let Some(lead) = self.lead() else {
            self.search();
            return None;
        };
        for pool in self.witnesses(&lead.id).into_iter().take(2) {
            let started = boot::now();
            let look = sampler::look(&pool, &*self.dialer, sampler::LOOK_LIMIT).await;
            let Some(look) = look else { continue };
            if sampler::overtakes(&look.status, lead.term) {
                self.doubt(lead.term, "a replica is held for, or knows, a later term");
                return None;
            }
            self.floors.borrow_mut().saw_leading(lead.term, started);
            return Some(lead);
        }
        None
    }

    // Instances other than the primary, the nearest that answers first.
    fn witnesses(&self, primary: &upstream::Id) -> Vec<rc::Rc<pool::Pool>> {
        let mut pools = self.pools();
        pools.retain(|pool| pool.id() != *primary);
        pools.sort_by_key(|pool| {
            let near = pool.instance.borrow().domain == self.domain;
            (pool.is_down(), !near, pool.load())
        });
        pools
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
            .floors
            .borrow()
            .has_position_since(started.saturating_sub(POSITION_FRESH));
        if fresh && self.sample().await.is_some() {
            return;
        }
        let Some(primary) = self.pool(&lead.id) else {
            self.refresh_without_primary().await;
            return;
        };
        let mut pools = self.witnesses(&lead.id);
        pools.truncate(1);
        pools.push(primary);
        let looks = sampler::look_at_all(&pools, &*self.dialer, sampler::LOOK_LIMIT).await;
        self.learn(started, &looks);
        if looks.len() < pools.len() {
            self.refresh_without_primary().await;
        }
    }

    // Only the instance that was last seen to lead need not answer: if any other is silent,
    // it may be the one that leads by now.
    async fn refresh_without_primary(&self) {
        let last = self.last.borrow().clone();
        let mut pools = self.pools();
        pools.retain(|pool| Some(pool.id()) != last);
        let started = boot::now();
        let looks = sampler::look_at_all(&pools, &*self.dialer, sampler::LOOK_LIMIT).await;
        let term = self.term.get();
        if let Some(stamp) = sampler::received(&looks, pools.len(), term) {
            let mut floors = self.floors.borrow_mut();
            floors.saw_position(term, started, stamp);
            floors.saw_leading(term, started);
        }
    }

    fn refresh_soon(self: &rc::Rc<Self>) {
        if self.refreshing.replace(true) {
            return;
        }
        let group = rc::Rc::clone(self);
        self.executor
            .spawn(async move {
                group.refresh().await;
                group.changed.notify(usize::MAX);
                // Whoever still lacks a floor asks again at once: without a pause, a group
                // whose primary alone answers is looked at hundreds of times a second.
                wait::sleep(REFRESH_PAUSE).await;
                group.refreshing.set(false);
                group.changed.notify(usize::MAX);
            })
            .detach();
    }

    /// An instance to read from, other than those already `tried`.
    ///
    /// `None` when no instance is provably fresh enough before the need's deadline.
    pub async fn source(
        self: &rc::Rc<Self>,
        need: &Need,
        tried: &[upstream::Id],
    ) -> Option<Source> {
        let age = match need.freshness {
            catalog::Freshness::Current => return self.current(need, tried).await,
            catalog::Freshness::Bounded(age) | catalog::Freshness::Own(age) => age,
        };
        let moment = need.arrived.saturating_sub(age.saturating_sub(AGE_MARGIN));
        let floor = self.floor(need, moment, age).await?;
        self.choose(need, tried, moment, floor)
    }

    async fn current(self: &rc::Rc<Self>, need: &Need, tried: &[upstream::Id]) -> Option<Source> {
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
                .pool(&lead.id)
                .filter(|pool| !tried.contains(&pool.id()))?;
            return Some(Source {
                pool,
                after: None,
                leads: Some(lead.term),
            });
        }
    }

    async fn floor(
        self: &rc::Rc<Self>,
        need: &Need,
        moment: id::Time,
        age: time::Duration,
    ) -> Option<stamp::Stamp> {
        loop {
            let changed = self.changed.listen();
            let (floor, newest) = {
                let floors = self.floors.borrow();
                (floors.since(moment), floors.newest())
            };
            let renewal = need.arrived.saturating_sub(age * RENEWAL_PERCENT / 100);
            if newest.is_none_or(|newest| newest < renewal) {
                self.refresh_soon();
            }
            if let Some(floor) = floor {
                return Some(floor.max(need.own.unwrap_or_default()));
            }
            wait::until(need.deadline, changed).await?;
        }
    }

    fn choose(
        &self,
        need: &Need,
        tried: &[upstream::Id],
        moment: id::Time,
        floor: stamp::Stamp,
    ) -> Option<Source> {
        let lead = self.lead();
        let recent = |lead: &sampler::Lead| {
            // Evidence of a later term says nothing for this primary, rather the contrary.
            let proven = self.floors.borrow().led(lead.term);
            proven.is_some_and(|proven| proven >= moment)
        };
        let own_term = need.own.map_or(0, |own| own.term);
        let proven = lead.filter(|lead| recent(lead) && lead.term >= own_term);
        let mut best: Option<(u64, Source)> = None;
        for pool in self.pools() {
            let id = pool.id();
            let leads = proven
                .as_ref()
                .filter(|lead| lead.id == id)
                .map(|lead| lead.term);
            let believed = self
                .lead
                .borrow()
                .as_ref()
                .is_some_and(|lead| lead.id == id);
            if tried.contains(&id) || !self.is_usable(&id) || (believed && leads.is_none()) {
                continue;
            }
            let cost = self.candidate(&pool, floor, leads.is_some()).cost();
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let after = leads.is_none().then_some(floor);
                best = Some((cost, Source { pool, after, leads }));
            }
        }
        best.map(|(_, source)| source)
    }

    fn candidate(
        &self,
        pool: &rc::Rc<pool::Pool>,
        floor: stamp::Stamp,
        leads: bool,
    ) -> candidate::Candidate {
        let late = boot::now().saturating_sub(pool.behind()) < BEHIND_PAUSE;
        let behind = !leads && late && pool.applied() < floor;
        candidate::Candidate {
            load: pool.load(),
            delay: pool.delay(),
            far: pool.instance.borrow().domain != self.domain,
            leads,
            standing: if pool.is_down() {
                candidate::Standing::Down
            } else if behind || self.is_leaving(&pool.id()) {
                candidate::Standing::Doubtful
            } else {
                candidate::Standing::Well
            },
        }
    }
}
