//! The known instances of one group, as the store's list of instances has them.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use compact_str::format_compact;
use mangotray::id;

use crate::absence;
use crate::boot;
use crate::catalog;
use crate::membership;
use crate::pool;
use crate::promotion;
use crate::room::size;
use crate::upstream;

/// Longest use of an instance after it has announced its end. Callers' work must not reach it after
/// seven seconds; the difference allows for transmission and queues.
const MAX_LEAVING_USE: time::Duration = time::Duration::from_millis(5500);

/// Time after a node's first list, or after a reset of the store, during which instances may be
/// missing from the list. Entries that expired while the store was unavailable come back within two
/// seconds of its return, and a node that starts just then doesn't know of the missing instances,
/// while the other nodes do.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(3);

/// The list counts as current for this long after it was last confirmed. A watch waits 2.2 s, and
/// promoters still hold an instance for at least 5.5 s after it was last listed; the difference
/// allows for slow answers.
const LIST_LIFETIME: time::Duration = time::Duration::from_secs(4);

/// Suffix of the id under which an unknown successor at an instance's address is addressed.
const SUCCESSOR_SUFFIX: &str = "+";

/// How long the address of an ended instance is checked for a successor. A restarted instance
/// writes its entry within a second or two unless it can't reach the store.
const SUCCESSOR_SEARCH_TIME: time::Duration = time::Duration::from_secs(30);

/// A successor at an address that was reachable until recently answers or refuses within this time,
/// even under load.
const SUCCESSOR_ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(2500);

/// Interval at which a dormant instance is probed.
const DORMANT_PROBE_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// The address of an ended instance.
struct EndedAddress {
    /// Connections to any process that listens there.
    pool: rc::Rc<pool::Pool>,
    /// Until then, a successor may live there that hasn't answered yet.
    undecided_until: id::Time,
    until: id::Time,
    /// The replaced instance whose log the process there should have.
    log_expected: Option<upstream::Id>,
}

/// An instance that was forgotten longer ago has no record that the present primary lacks.
const FORGOTTEN_RETENTION: time::Duration = time::Duration::from_mins(1);

/// The instances of a group and this node's connections to them.
pub struct Roster {
    group: id::Group,
    dialer: rc::Rc<dyn upstream::Dialer>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    pools: cell::RefCell<collections::BTreeMap<upstream::Id, rc::Rc<pool::Pool>>>,
    /// Until when each leaving instance may be sent callers' work.
    leaving: cell::RefCell<collections::BTreeMap<upstream::Id, id::Time>>,
    /// Instances that are missing from the list and may still run, or come back with their logs.
    absent: cell::RefCell<collections::BTreeMap<upstream::Id, absence::Absence>>,
    /// Listed processes that have ended, as another instance answered at their address.
    ended_processes: cell::RefCell<collections::BTreeSet<promotion::Process>>,
    /// Addresses of forgotten instances, where a successor may run that can't write its entry.
    ended_addresses: cell::RefCell<Vec<EndedAddress>>,
    last_added: cell::Cell<id::Time>,
    /// When this node first received a list, or the store was last reset.
    settling_since: cell::Cell<Option<id::Time>>,
    /// When each instance was forgotten, kept for [`FORGOTTEN_RETENTION`].
    forgotten: cell::RefCell<collections::BTreeMap<upstream::Id, id::Time>>,
    /// When an instance was last forgotten or restarted.
    last_lost: cell::Cell<Option<id::Time>>,
    /// When the list was last confirmed to this node.
    confirmed_at: cell::Cell<Option<id::Time>>,
    /// When dormant instances are probed next.
    dormant_probe_at: cell::Cell<id::Time>,
    /// Recorded instances that this node knows to have ended.
    ended: cell::RefCell<collections::BTreeSet<upstream::Id>>,
    /// Instances that operators have declared lost.
    declared_lost: cell::RefCell<collections::BTreeSet<upstream::Id>>,
}

impl Roster {
    /// Creates a roster without instances.
    #[must_use]
    pub fn new(
        group: id::Group,
        dialer: rc::Rc<dyn upstream::Dialer>,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    ) -> Self {
        Self {
            group,
            dialer,
            executor,
            pools: cell::RefCell::default(),
            leaving: cell::RefCell::default(),
            absent: cell::RefCell::default(),
            ended_processes: cell::RefCell::default(),
            ended_addresses: cell::RefCell::default(),
            last_added: cell::Cell::default(),
            settling_since: cell::Cell::default(),
            forgotten: cell::RefCell::default(),
            last_lost: cell::Cell::default(),
            confirmed_at: cell::Cell::default(),
            dormant_probe_at: cell::Cell::default(),
            ended: cell::RefCell::default(),
            declared_lost: cell::RefCell::default(),
        }
    }

    /// Applies a list as it was at `list_time`. Its changes may date back to `since`, or to any time
    /// if that is `None`. Returns the earlier processes of the instances that have restarted.
    pub fn update(
        &self,
        instances: Vec<catalog::Instance>,
        since: Option<id::Time>,
        list_time: id::Time,
    ) -> Vec<rc::Rc<pool::Pool>> {
        self.settling_since
            .set(Some(self.settling_since.get().unwrap_or_else(boot::now)));
        self.note_confirmed(list_time);
        let listed: collections::BTreeSet<_> = instances
            .iter()
            .map(|instance| instance.id.clone())
            .collect();
        self.ended_processes
            .borrow_mut()
            .retain(|(id, _)| listed.contains(id));
        let add_or_update = |instance| self.add_or_update(instance, since);
        let is_running = |instance: &catalog::Instance| {
            let process = (instance.id.clone(), instance.born);
            !self.ended_processes.borrow().contains(&process)
        };
        let running = instances.into_iter().filter(is_running);
        let restarted = running.filter_map(add_or_update).collect();
        self.mark_unlisted_unless(|id| listed.contains(id), list_time);
        restarted
    }

    /// Notes that the list was confirmed at `list_time`, changed or not.
    pub fn note_confirmed(&self, list_time: id::Time) {
        self.confirmed_at
            .set(self.confirmed_at.get().max(Some(list_time)));
    }

    /// Whether the list was confirmed recently.
    #[must_use]
    pub fn is_fresh(&self, now: id::Time) -> bool {
        self.confirmed_at
            .get()
            .is_some_and(|list_time| now < list_time + LIST_LIFETIME)
    }

    /// Notes a reset of the store: as after the start, existing instances may be missing from the
    /// list for a while.
    pub fn note_store_reset(&self) {
        self.settling_since.set(Some(boot::now()));
    }

    /// The instances that have not ended, listed or not.
    #[must_use]
    pub fn membership(&self) -> membership::Membership {
        let (pools, absent, now) = (self.pools(), self.absent.borrow(), boot::now());
        let instances = pools.iter().map(|pool| pool.instance.borrow().clone());
        let known = instances.filter(|instance| !instance.any);
        let recorded = known.map(|instance| {
            let absence = absent.get(&instance.id);
            membership::Instance {
                left: absence.is_some_and(|absence| absence.has_left(now)),
                ..membership::Instance::new(&instance)
            }
        });
        membership::Membership {
            group: self.group.clone(),
            instances: recorded.collect(),
        }
    }

    /// Adds recorded instances that this node doesn't know, as unlisted ones, unless it knows that
    /// they have ended.
    pub fn restore(&self, recorded: &membership::Membership) {
        let ids: collections::BTreeSet<_> = recorded
            .instances
            .iter()
            .map(|instance| &instance.id)
            .collect();
        self.ended.borrow_mut().retain(|id| ids.contains(id));
        for instance in &recorded.instances {
            if self.is_member_unknown(instance) {
                let absence = absence::Absence::recorded(instance.left, boot::now());
                self.add_unlisted(instance.entry(&self.group), absence);
            }
        }
    }

    fn is_member_unknown(&self, instance: &membership::Instance) -> bool {
        let known = |pool: &rc::Rc<pool::Pool>| {
            // Another instance at its address is its successor, so that it has ended.
            pool.id() == instance.id || pool.instance.borrow().address == instance.address
        };
        !self.ended.borrow().contains(&instance.id)
            && !self.is_declared_lost(&instance.id)
            && !self.pools().iter().any(known)
    }

    fn add_unlisted(&self, instance: catalog::Instance, absence: absence::Absence) {
        let id = instance.id.clone();
        tracing::info!(group = %self.group, instance = %id, address = %instance.address,
            left = absence.end_announced, "instance is recorded, but not listed");
        let (dialer, executor) = (rc::Rc::clone(&self.dialer), rc::Rc::clone(&self.executor));
        let pool = pool::Pool::new(instance, dialer, executor, size::Size::shared());
        self.absent.borrow_mut().insert(id.clone(), absence);
        self.leaving.borrow_mut().insert(id.clone(), id::Time::ZERO);
        self.pools.borrow_mut().insert(id, rc::Rc::new(pool));
    }

    /// Whether an instance is no longer listed but still probed.
    #[must_use]
    pub fn is_unlisted(&self, pool: &pool::Pool) -> bool {
        self.absent.borrow().contains_key(&pool.id())
    }

    /// Whether an instance has announced its end and is no longer listed. It may still run.
    #[must_use]
    pub fn announced_end(&self, id: &upstream::Id) -> bool {
        let absent = self.absent.borrow();
        absent.get(id).is_some_and(|absence| absence.end_announced)
    }

    /// The recorded instances that this node knows to have ended.
    #[must_use]
    pub fn ended(&self) -> Vec<upstream::Id> {
        self.ended.borrow().iter().cloned().collect()
    }

    /// Whether an instance is no longer listed and has been silent for long. It still counts in
    /// promotions.
    #[must_use]
    pub fn is_dormant(&self, pool: &pool::Pool) -> bool {
        let absent = self.absent.borrow();
        let absence = absent.get(&pool.id());
        absence.is_some_and(|absence| absence.is_dormant(pool.activity(), boot::now()))
    }

    /// The unlisted instances to probe now: dormant ones only every [`DORMANT_PROBE_INTERVAL`].
    #[must_use]
    pub fn absent_to_probe(&self) -> Vec<rc::Rc<pool::Pool>> {
        let now = boot::now();
        let mut pools = self.absent();
        if now < self.dormant_probe_at.get() {
            pools.retain(|pool| !self.is_dormant(pool));
        } else {
            self.dormant_probe_at.set(now + DORMANT_PROBE_INTERVAL);
        }
        pools
    }

    /// Sets the instances that operators have declared lost: their processes and logs are gone for
    /// good. One that is listed or still answers is in use all the same.
    pub fn set_declared_lost(&self, lost: collections::BTreeSet<upstream::Id>) {
        self.declared_lost.replace(lost);
    }

    fn is_declared_lost(&self, id: &upstream::Id) -> bool {
        self.declared_lost.borrow().contains(id)
    }

    /// The instances that are no longer listed and may still run.
    #[must_use]
    pub fn absent(&self) -> Vec<rc::Rc<pool::Pool>> {
        let mut pools = self.pools();
        pools.retain(|pool| self.is_unlisted(pool));
        pools
    }

    /// Connections to addresses of recently ended instances, to probe them for a successor.
    #[must_use]
    pub fn successor_candidates(&self) -> Vec<rc::Rc<pool::Pool>> {
        let now = boot::now();
        let mut addresses = self.ended_addresses.borrow_mut();
        addresses.retain(|address| now < address.until);
        addresses
            .iter()
            .map(|address| rc::Rc::clone(&address.pool))
            .collect()
    }

    /// Adds a successor that answered at the address of an ended instance, as an instance that is
    /// missing from the list.
    ///
    /// It receives records and lets commits be acknowledged as soon as it has started, so a
    /// promotion that doesn't hold it loses them. It can't be promoted itself, as its id isn't
    /// known.
    pub fn adopt_successor(&self, id: &upstream::Id) {
        let mut addresses = self.ended_addresses.borrow_mut();
        let Some(index) = addresses
            .iter()
            .position(|address| address.pool.id() == *id)
        else {
            return;
        };
        let pool = addresses.swap_remove(index).pool;
        let now = boot::now();
        let absence = absence::Absence::recorded(false, now);
        tracing::info!(group = %self.group, instance = %id, "unlisted successor found at the address of an ended instance");
        self.absent.borrow_mut().insert(id.clone(), absence);
        self.leaving.borrow_mut().insert(id.clone(), id::Time::ZERO);
        self.pools.borrow_mut().insert(id.clone(), pool);
        self.last_added.set(now);
    }

    /// Whether a successor may run at the address of an ended instance without being known: the
    /// address neither refuses nor answers.
    #[must_use]
    pub fn may_have_successor(&self) -> bool {
        let now = boot::now();
        let addresses = self.ended_addresses.borrow();
        let is_undecided =
            |address: &EndedAddress| now < address.undecided_until && !address.pool.is_closed();
        addresses.iter().any(is_undecided)
    }

    // Starts the search for a successor at the address of a forgotten instance, unless a known
    // instance has that address.
    fn search_successor(&self, ended: &pool::Pool, now: id::Time) {
        let mut instance = ended.instance.borrow().clone();
        let address = |pool: &rc::Rc<pool::Pool>| pool.instance.borrow().address;
        if self
            .pools()
            .iter()
            .any(|pool| address(pool) == instance.address)
        {
            return;
        }
        if !instance.any {
            instance.id = format_compact!("{}{SUCCESSOR_SUFFIX}", instance.id);
            instance.any = true;
        }
        instance.draining = false;
        instance.leads = false;
        let (dialer, executor) = (rc::Rc::clone(&self.dialer), rc::Rc::clone(&self.executor));
        let pool = pool::Pool::new(instance, dialer, executor, size::Size::shared());
        self.ended_addresses.borrow_mut().push(EndedAddress {
            pool: rc::Rc::new(pool),
            undecided_until: if ended.is_closed() {
                now + SUCCESSOR_ANSWER_TIMEOUT
            } else {
                now
            },
            until: now + SUCCESSOR_SEARCH_TIME,
            log_expected: ended.activity().replaced.then(|| ended.id()),
        });
    }

    // A listed instance at the same address is the successor that was searched for.
    fn replace_unlisted_successor(&self, instance: &catalog::Instance) {
        let address = |pool: &pool::Pool| pool.instance.borrow().address;
        self.ended_addresses
            .borrow_mut()
            .retain(|ended| address(&ended.pool) != instance.address);
        let unnamed = |pool: &rc::Rc<pool::Pool>| {
            pool.instance.borrow().any && address(pool) == instance.address
        };
        for pool in self.pools().into_iter().filter(unnamed) {
            self.remove(&pool);
        }
    }

    /// Whether an instance has announced its end, or has been missing from the list for so long
    /// that it is treated as if it had.
    #[must_use]
    pub fn is_departing(&self, pool: &pool::Pool) -> bool {
        let now = boot::now();
        let absent = self.absent.borrow();
        let overdue = absent
            .get(&pool.id())
            .is_some_and(|absence| absence.is_overdue(now));
        overdue || pool.instance.borrow().draining
    }

    /// Marks instances that are no longer listed and closes spare connections; called periodically.
    pub fn maintain(&self, listed: impl Fn(&upstream::Id) -> bool) {
        self.mark_unlisted_unless(listed, boot::now());
        for pool in self.pools.borrow().values() {
            pool.trim();
        }
    }

    fn mark_unlisted_unless(&self, listed: impl Fn(&upstream::Id) -> bool, list_time: id::Time) {
        let unlisted: Vec<_> = self
            .pools
            .borrow()
            .keys()
            .filter(|id| !listed(id))
            .cloned()
            .collect();
        for id in unlisted {
            self.mark_unlisted(&id, list_time);
        }
    }

    // Adds or updates an instance; returns its earlier process if it has restarted.
    fn add_or_update(
        &self,
        instance: catalog::Instance,
        since: Option<id::Time>,
    ) -> Option<rc::Rc<pool::Pool>> {
        let earlier = self.remove_earlier_process(&instance);
        self.replace_unlisted_successor(&instance);
        self.update_leaving(&instance, since);
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(&instance.id) {
            *pool.instance.borrow_mut() = instance;
            return None;
        }
        tracing::info!(group = %self.group, instance = %instance.id, domain = %instance.domain,
            leads = instance.leads, born = instance.born, "instance appeared");
        let id = instance.id.clone();
        let pool = rc::Rc::new(pool::Pool::new(
            instance,
            rc::Rc::clone(&self.dialer),
            rc::Rc::clone(&self.executor),
            size::Size::shared(),
        ));
        if earlier.is_some() {
            pool.note_restart();
        }
        pools.insert(id, pool);
        self.last_added.set(boot::now());
        earlier
    }

    // A restarted instance has kept nothing under its id, so everything known of the earlier
    // process, from positions to prepared statements, goes with its pool. A position that it has
    // lost would send it reads that it refuses, and an outdated delay or announced end would keep
    // work away from it.
    fn remove_earlier_process(&self, instance: &catalog::Instance) -> Option<rc::Rc<pool::Pool>> {
        let known = self.find(&instance.id);
        let pool = known.filter(|pool| pool.born() < instance.born)?;
        tracing::info!(group = %self.group, instance = %instance.id, before = pool.born(),
            born = instance.born, "instance has started again");
        self.remove(&pool);
        self.last_lost.set(Some(boot::now()));
        Some(pool)
    }

    /// Notes that an instance has lost its log, which its own answers show before the list does.
    pub fn note_lost_log(&self, id: &upstream::Id) {
        self.last_lost.set(Some(boot::now()));
        if let Some(pool) = self.pools.borrow().get(id) {
            pool.note_restart();
        }
    }

    fn update_leaving(&self, instance: &catalog::Instance, since: Option<id::Time>) {
        if self.absent.borrow_mut().remove(&instance.id).is_some() {
            tracing::info!(group = %self.group, instance = %instance.id, "instance is listed again");
        }
        let mut leaving = self.leaving.borrow_mut();
        if !instance.draining {
            leaving.remove(&instance.id);
            return;
        }
        leaving.entry(instance.id.clone()).or_insert_with(|| {
            tracing::info!(group = %self.group, instance = %instance.id,
                fresh = since.is_some(), "instance is leaving");
            since.map_or(id::Time::ZERO, |since| since + MAX_LEAVING_USE)
        });
    }

    // An entry vanishes when the instance has left or can't reach the store. The instance is
    // treated as leaving: it may be healthy, but perhaps not for long.
    fn mark_unlisted(&self, id: &upstream::Id, list_time: id::Time) {
        self.leaving
            .borrow_mut()
            .entry(id.clone())
            .or_insert(list_time + MAX_LEAVING_USE);
        let pool = self.find(id);
        let announced = pool.is_some_and(|pool| pool.instance.borrow().draining);
        self.absent.borrow_mut().entry(id.clone()).or_insert_with(|| {
            tracing::info!(group = %self.group, instance = %id, announced, "instance is no longer listed");
            absence::Absence {
                unlisted_since: list_time,
                noticed_at: boot::now(),
                end_announced: announced,
            }
        });
    }

    /// Forgets the instances that have ended: unlisted ones by their activity or the operators'
    /// word, and any at whose address another process answers. Returns those whose
    /// logs are lost; a process that was replaced at its address isn't among them, since a successor
    /// of its group comes with the log.
    pub fn forget_ended(
        &self,
        standing: impl Fn(&upstream::Id) -> absence::Standing,
    ) -> Vec<rc::Rc<pool::Pool>> {
        let now = boot::now();
        let ended = |pool: &rc::Rc<pool::Pool>| {
            let absent = self.absent.borrow();
            let standing = standing(&pool.id());
            let is_ended = |absence: &absence::Absence| {
                let declared = self.is_declared_lost(&pool.id());
                declared && absence.is_dormant(pool.activity(), now)
                    || absence.has_ended(pool.activity(), standing, now)
            };
            pool.activity().replaced || absent.get(&pool.id()).is_some_and(is_ended)
        };
        let mut pools = self.pools();
        pools.retain(ended);
        for pool in &pools {
            if !self.is_unlisted(pool) {
                self.ended_processes
                    .borrow_mut()
                    .insert((pool.id(), pool.born()));
            }
            self.forget(pool, now);
        }
        pools.retain(|pool| !pool.activity().replaced);
        pools
    }

    /// The replaced instances whose logs turned out to be lost, as their addresses belong to other
    /// groups now; each is returned once.
    pub fn take_lost_logs(&self) -> Vec<upstream::Id> {
        let mut addresses = self.ended_addresses.borrow_mut();
        let lost = addresses
            .iter_mut()
            .filter(|address| address.pool.activity().replaced);
        lost.filter_map(|address| address.log_expected.take())
            .collect()
    }

    /// Forgets unlisted instances that have ended by another node's evidence, and returns them.
    pub fn forget_unlisted(&self, ended: &[upstream::Id]) -> Vec<rc::Rc<pool::Pool>> {
        let now = boot::now();
        let mut pools = self.absent();
        pools.retain(|pool| ended.contains(&pool.id()));
        for pool in &pools {
            self.forget(pool, now);
        }
        pools
    }

    fn forget(&self, pool: &pool::Pool, now: id::Time) {
        let activity = pool.activity();
        self.remove(pool);
        self.last_lost.set(Some(now));
        self.forgotten.borrow_mut().insert(pool.id(), now);
        self.ended.borrow_mut().insert(pool.id());
        self.search_successor(pool, now);
        tracing::info!(group = %self.group, instance = %pool.id(), closed = pool.is_closed(), replaced = activity.replaced,
            silent = ?now.saturating_sub(activity.last_answer), "instance forgotten");
    }

    fn remove(&self, pool: &pool::Pool) {
        let id = pool.id();
        self.leaving.borrow_mut().remove(&id);
        self.absent.borrow_mut().remove(&id);
        self.pools.borrow_mut().remove(&id);
        pool.close_idle();
    }

    /// All instances that may be probed, including leaving ones.
    #[must_use]
    pub fn pools(&self) -> Vec<rc::Rc<pool::Pool>> {
        self.pools.borrow().values().cloned().collect()
    }

    /// The connections to an instance that may be probed.
    #[must_use]
    pub fn find(&self, id: &upstream::Id) -> Option<rc::Rc<pool::Pool>> {
        self.pools.borrow().get(id).cloned()
    }

    /// The connections to an instance that may be sent callers' work.
    #[must_use]
    pub fn pool(&self, id: &upstream::Id) -> Option<rc::Rc<pool::Pool>> {
        self.find(id).filter(|_| self.is_usable(id))
    }

    /// Whether all existing instances can be assumed to be known.
    ///
    /// Conclusions from the answers of all instances are wrong if one is missing: a read missed
    /// commits that only a replica unknown to this node had.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settles_at()
            .is_some_and(|settles| boot::now() >= settles)
    }

    /// When the list settles; `None` before the first list.
    #[must_use]
    pub fn settles_at(&self) -> Option<id::Time> {
        self.settling_since.get().map(|since| since + SETTLING_TIME)
    }

    /// Whether there is no instance.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pools.borrow().is_empty()
    }

    /// Whether the instance has announced its end or is no longer listed.
    #[must_use]
    pub fn is_leaving(&self, id: &upstream::Id) -> bool {
        self.leaving.borrow().contains_key(id)
    }

    /// Whether the instance may be sent callers' work. An instance that announced its end may for
    /// [`MAX_LEAVING_USE`] from the announcement.
    #[must_use]
    pub fn is_usable(&self, id: &upstream::Id) -> bool {
        let until = self.leaving.borrow().get(id).copied();
        until.is_none_or(|until| boot::now() < until)
    }

    /// Whether this node has for a while reached none of the instances that may be sent callers'
    /// work.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        let pools = self.pools.borrow();
        let mut usable = pools.iter().filter(|(id, _)| self.is_usable(id)).peekable();
        usable.peek().is_some() && usable.all(|(_, pool)| pool.is_lost())
    }

    /// When an instance, and its log with it, was last lost.
    #[must_use]
    pub fn last_lost(&self) -> Option<id::Time> {
        self.last_lost.get()
    }

    /// When an instance was last added or restarted.
    #[must_use]
    pub fn last_added(&self) -> id::Time {
        self.last_added.get()
    }

    /// The recently forgotten instances that haven't been added again, with the times when they
    /// were forgotten.
    #[must_use]
    pub fn forgotten(&self) -> Vec<(upstream::Id, id::Time)> {
        let oldest = boot::now().saturating_sub(FORGOTTEN_RETENTION);
        let mut forgotten = self.forgotten.borrow_mut();
        forgotten.retain(|_, since| *since >= oldest);
        let pools = self.pools.borrow();
        let unknown = forgotten.iter().filter(|(id, _)| !pools.contains_key(*id));
        unknown.map(|(id, since)| (id.clone(), *since)).collect()
    }
}
