//! The instances of one group, as the list of instances has them.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use compact_str::format_compact;
use mangotray::id;

use crate::absence;
use crate::boot;
use crate::catalog;
use crate::pool;
use crate::promotion;
use crate::size;
use crate::upstream;

/// An instance that has announced its end is used this long at most. Callers' work must
/// not reach it after seven seconds; the rest is for the way and for queues.
const MAX_LEAVING_USE: time::Duration = time::Duration::from_millis(5500);

/// Time after a node's first list, or after the store came back from an older copy, in which instances
/// may be missing from it. Entries that ended
/// while the store was away come back within two seconds of its return; a node that starts
/// just then knows nothing of those that are missing, as the others do.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(3);

/// The list of instances counts as known for this long after the last word of it: a watch waits
/// 2.2 s, and promoters go on holding an instance for 5.5 s at least after it was last listed. The rest
/// is for answers that lag.
const LIST_LIFETIME: time::Duration = time::Duration::from_secs(4);

/// What the id of an instance is followed by where whoever listens at its address is meant.
const SUCCESSOR_SUFFIX: &str = "+";

/// The address of an instance that has ended is asked for a successor this long. One that starts again writes its
/// entry within a second or two unless it is cut off from the list.
const SUCCESSOR_SEARCH_TIME: time::Duration = time::Duration::from_secs(30);

/// A successor at an address that was reached a moment ago answers or refuses within this time, as one that is loaded.
const SUCCESSOR_ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(2500);

/// The address of an instance that has ended.
struct Vacated {
    /// Connections to whoever listens there.
    pool: rc::Rc<pool::Pool>,
    /// Until then a successor may live there that has not answered yet.
    undecided_until: id::Time,
    until: id::Time,
}

/// An instance that was forgotten longer ago has nothing that the present primary lacks.
const FORGOTTEN_RETENTION: time::Duration = time::Duration::from_mins(1);

/// The instances of a group and this node's connections to them.
pub struct Roster {
    group: id::Group,
    dialer: rc::Rc<dyn upstream::Dialer>,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    pools: cell::RefCell<collections::BTreeMap<upstream::Id, rc::Rc<pool::Pool>>>,
    /// Until when those that leave may be sent callers' work.
    leaving: cell::RefCell<collections::BTreeMap<upstream::Id, id::Time>>,
    /// Those that are missing from the list and may live.
    absent: cell::RefCell<collections::BTreeMap<upstream::Id, absence::Absence>>,
    /// Processes that have ended though they are listed, as another instance answered at their address.
    ended: cell::RefCell<collections::BTreeSet<promotion::Process>>,
    /// Addresses of instances that were forgotten: a successor may live there that cannot write its entry.
    vacated: cell::RefCell<Vec<Vacated>>,
    added: cell::Cell<id::Time>,
    /// When this node first had a list, or the list came back from an older copy.
    settling_since: cell::Cell<Option<id::Time>>,
    /// When instances were forgotten, for as long as that may explain something.
    forgotten: cell::RefCell<collections::BTreeMap<upstream::Id, id::Time>>,
    /// When an instance was last forgotten, or started again.
    lost: cell::Cell<Option<id::Time>>,
    /// When this node last had word of the list.
    confirmed_at: cell::Cell<Option<id::Time>>,
}

impl Roster {
    /// A group without instances.
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
            ended: cell::RefCell::default(),
            vacated: cell::RefCell::default(),
            added: cell::Cell::default(),
            settling_since: cell::Cell::default(),
            forgotten: cell::RefCell::default(),
            lost: cell::Cell::default(),
            confirmed_at: cell::Cell::default(),
        }
    }

    /// Takes a new list as it was at `heard`, of which the news may date back to `since`, or be of
    /// any age; tells which instances have started again.
    pub fn update(
        &self,
        instances: Vec<catalog::Instance>,
        since: Option<id::Time>,
        heard: id::Time,
    ) -> Vec<upstream::Id> {
        self.settling_since
            .set(Some(self.settling_since.get().unwrap_or_else(boot::now)));
        self.note_confirmed(heard);
        let listed: collections::BTreeSet<_> = instances
            .iter()
            .map(|instance| instance.id.clone())
            .collect();
        self.ended
            .borrow_mut()
            .retain(|(id, _)| listed.contains(id));
        let enter = |instance: catalog::Instance| {
            let id = instance.id.clone();
            self.enter(instance, since).then_some(id)
        };
        let lives = |instance: &catalog::Instance| {
            let life = (instance.id.clone(), instance.born);
            !self.ended.borrow().contains(&life)
        };
        let living = instances.into_iter().filter(lives);
        let reborn = living.filter_map(enter).collect();
        self.leave_unless(|id| listed.contains(id), heard);
        reborn
    }

    /// Notes that the list was heard of at `heard`, be it that nothing has changed.
    pub fn note_confirmed(&self, heard: id::Time) {
        self.confirmed_at
            .set(self.confirmed_at.get().max(Some(heard)));
    }

    /// Whether the list is known as it was a moment ago.
    #[must_use]
    pub fn is_fresh(&self, now: id::Time) -> bool {
        self.confirmed_at
            .get()
            .is_some_and(|heard| now < heard + LIST_LIFETIME)
    }

    /// Notes that the list has come back from an older copy: some that there are may be missing from
    /// it for a while, as at the start.
    pub fn note_store_reset(&self) {
        self.settling_since.set(Some(boot::now()));
    }

    /// Whether an instance is still asked, but listed no more.
    #[must_use]
    pub fn is_unlisted(&self, pool: &pool::Pool) -> bool {
        self.absent.borrow().contains_key(&pool.id())
    }

    /// The instances that are listed no more and may live.
    #[must_use]
    pub fn absent(&self) -> Vec<rc::Rc<pool::Pool>> {
        let mut pools = self.pools();
        pools.retain(|pool| self.is_unlisted(pool));
        pools
    }

    /// Whoever listens where an instance has ended lately, to be asked.
    #[must_use]
    pub fn successor_candidates(&self) -> Vec<rc::Rc<pool::Pool>> {
        let now = boot::now();
        let mut vacated = self.vacated.borrow_mut();
        vacated.retain(|vacated| now < vacated.until);
        vacated
            .iter()
            .map(|vacated| rc::Rc::clone(&vacated.pool))
            .collect()
    }

    /// Takes in a successor that answered where an instance has ended, as one that is missing from the list.
    ///
    /// It receives records and lets commits be acknowledged as soon as it has started; a promotion
    /// that does not hold it loses them. As nobody knows its id it cannot be promoted itself.
    pub fn adopt_successor(&self, id: &upstream::Id) {
        let mut vacated = self.vacated.borrow_mut();
        let Some(index) = vacated.iter().position(|vacated| vacated.pool.id() == *id) else {
            return;
        };
        let pool = vacated.swap_remove(index).pool;
        let now = boot::now();
        let absence = absence::Absence {
            since: now,
            noticed: now,
            announced: false,
        };
        tracing::info!(group = %self.group, instance = %id, "an instance that is not listed lives where one has ended");
        self.absent.borrow_mut().insert(id.clone(), absence);
        self.leaving.borrow_mut().insert(id.clone(), id::Time::ZERO);
        self.pools.borrow_mut().insert(id.clone(), pool);
        self.added.set(now);
    }

    /// Whether a successor may live where an instance has ended that nobody has heard of yet: the address neither
    /// refuses nor answers.
    #[must_use]
    pub fn may_have_successor(&self) -> bool {
        let now = boot::now();
        let vacated = self.vacated.borrow();
        let is_undecided =
            |vacated: &Vacated| now < vacated.undecided_until && !vacated.pool.is_closed();
        vacated.iter().any(is_undecided)
    }

    // Whoever listens at the address of an instance that is forgotten, unless the list names it.
    fn watch_for_successor(&self, ended: &pool::Pool, now: id::Time) {
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
        self.vacated.borrow_mut().push(Vacated {
            pool: rc::Rc::new(pool),
            undecided_until: if ended.is_closed() {
                now + SUCCESSOR_ANSWER_TIMEOUT
            } else {
                now
            },
            until: now + SUCCESSOR_SEARCH_TIME,
        });
    }

    // A listed instance at the same address is the successor that was looked for.
    fn name_successor(&self, instance: &catalog::Instance) {
        let address = |pool: &pool::Pool| pool.instance.borrow().address;
        self.vacated
            .borrow_mut()
            .retain(|vacated| address(&vacated.pool) != instance.address);
        let unnamed = |pool: &rc::Rc<pool::Pool>| {
            pool.instance.borrow().any && address(pool) == instance.address
        };
        for pool in self.pools().into_iter().filter(unnamed) {
            self.remove(&pool);
        }
    }

    /// Whether an instance has announced its end, or has been missing from the list for so long that
    /// callers' work will have to leave it.
    #[must_use]
    pub fn is_departing(&self, pool: &pool::Pool) -> bool {
        let now = boot::now();
        let absent = self.absent.borrow();
        let overdue = absent
            .get(&pool.id())
            .is_some_and(|absence| absence.is_overdue(now));
        overdue || pool.instance.borrow().draining
    }

    /// Drops what is no longer listed and gives spare connections back; called now and then.
    pub fn tidy(&self, listed: impl Fn(&upstream::Id) -> bool) {
        self.leave_unless(listed, boot::now());
        for pool in self.pools.borrow().values() {
            pool.trim();
        }
    }

    fn leave_unless(&self, listed: impl Fn(&upstream::Id) -> bool, heard: id::Time) {
        let gone: Vec<_> = self
            .pools
            .borrow()
            .keys()
            .filter(|id| !listed(id))
            .cloned()
            .collect();
        for id in gone {
            self.leave(&id, heard);
        }
    }

    // Whether the instance was known and has started again.
    fn enter(&self, instance: catalog::Instance, since: Option<id::Time>) -> bool {
        let reborn = self.end_life_before(&instance);
        self.name_successor(&instance);
        self.mark(&instance, since);
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(&instance.id) {
            *pool.instance.borrow_mut() = instance;
            return false;
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
        if reborn {
            pool.note_restart();
        }
        pools.insert(id, pool);
        self.added.set(boot::now());
        reborn
    }

    // An instance that starts again under its id holds and knows nothing of before. All that
    // was seen of its earlier life, from positions to prepared statements, goes with the pool:
    // a position that it no longer has would send it reads that it refuses, and a delay or
    // an announced end that is over would keep work away from it.
    fn end_life_before(&self, instance: &catalog::Instance) -> bool {
        let known = self.find(&instance.id);
        let Some(pool) = known.filter(|pool| pool.born() < instance.born) else {
            return false;
        };
        tracing::info!(group = %self.group, instance = %instance.id, before = pool.born(),
            born = instance.born, "instance has started again");
        self.remove(&pool);
        self.lost.set(Some(boot::now()));
        true
    }

    /// Notes that an instance has lost its log, as its own answers show before the list does.
    pub fn note_lost_log(&self, id: &upstream::Id) {
        self.lost.set(Some(boot::now()));
        if let Some(pool) = self.pools.borrow().get(id) {
            pool.note_restart();
        }
    }

    fn mark(&self, instance: &catalog::Instance, since: Option<id::Time>) {
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

    // An entry that vanished means that the instance left, or that it cannot reach the
    // list. It is used as one that leaves: it may be healthy, but not for long.
    fn leave(&self, id: &upstream::Id, heard: id::Time) {
        self.leaving
            .borrow_mut()
            .entry(id.clone())
            .or_insert(heard + MAX_LEAVING_USE);
        let pool = self.find(id);
        let announced = pool.is_some_and(|pool| pool.instance.borrow().draining);
        self.absent.borrow_mut().entry(id.clone()).or_insert_with(|| {
            tracing::info!(group = %self.group, instance = %id, announced, "instance is no longer listed");
            absence::Absence {
                since: heard,
                noticed: boot::now(),
                announced,
            }
        });
    }

    /// Forgets instances that are listed no more and, by their own silence, have ended, and those at whose
    /// address another one answers, be they listed. Tells whose logs have gone with them: one that has started again at
    /// its address has come back with its own.
    pub fn forget_ended(&self) -> Vec<upstream::Id> {
        let now = boot::now();
        let ended = |pool: &rc::Rc<pool::Pool>| {
            let absent = self.absent.borrow();
            let absence = absent.get(&pool.id());
            pool.sign().replaced || absence.is_some_and(|absence| absence.is_gone(pool.sign(), now))
        };
        let mut pools = self.pools();
        pools.retain(ended);
        for pool in &pools {
            if !self.is_unlisted(pool) {
                self.ended.borrow_mut().insert((pool.id(), pool.born()));
            }
            self.forget(pool, now);
        }
        pools.retain(|pool| !pool.sign().replaced);
        pools.iter().map(|pool| pool.id()).collect()
    }

    fn forget(&self, pool: &pool::Pool, now: id::Time) {
        let activity = pool.sign();
        self.remove(pool);
        self.lost.set(Some(now));
        self.forgotten.borrow_mut().insert(pool.id(), now);
        self.watch_for_successor(pool, now);
        tracing::info!(group = %self.group, instance = %pool.id(), closed = activity.closed,
            silent = ?now.saturating_sub(activity.answered), "instance forgotten");
    }

    fn remove(&self, pool: &pool::Pool) {
        let id = pool.id();
        self.leaving.borrow_mut().remove(&id);
        self.absent.borrow_mut().remove(&id);
        self.pools.borrow_mut().remove(&id);
        pool.clear();
    }

    /// All instances that may still be asked, leaving ones included.
    #[must_use]
    pub fn pools(&self) -> Vec<rc::Rc<pool::Pool>> {
        self.pools.borrow().values().cloned().collect()
    }

    /// The connections to an instance that may still be asked.
    #[must_use]
    pub fn find(&self, id: &upstream::Id) -> Option<rc::Rc<pool::Pool>> {
        self.pools.borrow().get(id).cloned()
    }

    /// The connections to an instance that may be sent callers' work.
    #[must_use]
    pub fn pool(&self, id: &upstream::Id) -> Option<rc::Rc<pool::Pool>> {
        self.find(id).filter(|_| self.is_usable(id))
    }

    /// Whether all instances that there are can be taken for known.
    ///
    /// What is concluded from the answers of all of them is wrong where one is missing: a
    /// read missed commits that only a replica had which this node had not heard of.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settles_at()
            .is_some_and(|settles| boot::now() >= settles)
    }

    /// When that is so; none before the first list.
    #[must_use]
    pub fn settles_at(&self) -> Option<id::Time> {
        self.settling_since.get().map(|since| since + SETTLING_TIME)
    }

    /// Whether there is no instance.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pools.borrow().is_empty()
    }

    /// Whether the instance announced its end or is no longer listed.
    #[must_use]
    pub fn is_leaving(&self, id: &upstream::Id) -> bool {
        self.leaving.borrow().contains_key(id)
    }

    /// Whether the instance may be sent callers' work: one that announced its end may for a
    /// while, counted from the announcement.
    #[must_use]
    pub fn is_usable(&self, id: &upstream::Id) -> bool {
        let until = self.leaving.borrow().get(id).copied();
        until.is_none_or(|until| boot::now() < until)
    }

    /// Whether this node has reached none of the instances that callers' work may go to for a while.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        let pools = self.pools.borrow();
        let mut usable = pools.iter().filter(|(id, _)| self.is_usable(id)).peekable();
        usable.peek().is_some() && usable.all(|(_, pool)| pool.is_lost())
    }

    /// When an instance, and its log with it, was last lost to this node.
    #[must_use]
    pub fn last_lost(&self) -> Option<id::Time> {
        self.lost.get()
    }

    /// When an instance was last added to the list, or started again.
    #[must_use]
    pub fn last_added(&self) -> id::Time {
        self.added.get()
    }

    /// The instances that were forgotten lately and are not known again, and when that was.
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
