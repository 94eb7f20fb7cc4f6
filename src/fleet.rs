//! This proxy as one of many: who else there is, and which groups fall to whom.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::catalog;
use crate::database;
use crate::directory;
use crate::enrol;
use crate::entry;
use crate::evidence;
use crate::forward;
use crate::id;
use crate::keeper;
use crate::placement;
use crate::roster;
use crate::store;
use crate::tracker;

/// Time between two reads of the roster by a proxy whose turn it is.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The same while no roster is known.
const INITIAL_POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Longest wait after a failed read.
const MAX_POLL_INTERVAL: time::Duration = time::Duration::from_secs(4);

/// Keeps the serving sets as the catalog and the roster say.
pub struct Fleet {
    directory: sync::Arc<directory::Directory>,
    enrolment: sync::Arc<enrol::Enrolment>,
    inventory: sync::Arc<dyn store::Inventory>,
    tracker: sync::Mutex<tracker::Tracker>,
    failures: atomic::AtomicU32,
    applied: async_lock::Mutex<Applied>,
    retired: sync::Mutex<Vec<sync::Arc<entry::Entry>>>,
}

/// What the entries were last brought in line with.
#[derive(Default)]
struct Applied {
    catalog: catalog::Catalog,
    candidates: Vec<placement::Candidate>,
}

impl Fleet {
    /// A fleet of which nothing is known yet.
    #[must_use]
    pub fn new(
        directory: sync::Arc<directory::Directory>,
        enrolment: sync::Arc<enrol::Enrolment>,
        inventory: sync::Arc<dyn store::Inventory>,
    ) -> Self {
        let shared = directory.shared();
        let now = shared.clock.now();
        let tracker = tracker::Tracker::new(shared.vm.clone(), shared.domain.clone(), now);
        Self {
            directory,
            enrolment,
            inventory,
            tracker: sync::Mutex::new(tracker),
            failures: atomic::AtomicU32::new(0),
            applied: async_lock::Mutex::default(),
            retired: sync::Mutex::default(),
        }
    }

    /// The groups that this keeps.
    #[must_use]
    pub fn directory(&self) -> &sync::Arc<directory::Directory> {
        &self.directory
    }

    /// Puts a catalog in force.
    pub async fn install(&self, catalog: catalog::Catalog) {
        let mut applied = self.applied.lock().await;
        self.lock().declared(&catalog);
        applied.catalog = catalog;
        self.apply_changes(&mut applied, true);
    }

    /// Reads the roster if it is this proxy's turn, and follows the passing of time.
    /// True if the roster is a new one. What was known stays while the store is down.
    pub async fn poll(&self) -> bool {
        let fresh = self.start_read_if_due() && self.read_roster().await;
        self.refresh().await;
        fresh
    }

    /// Time until the next poll.
    #[must_use]
    pub fn pause(&self) -> time::Duration {
        let failures = self.failures.load(atomic::Ordering::Relaxed);
        let first = match self.lock().mark(id::Time::ZERO) {
            Some(_) => POLL_INTERVAL,
            None => INITIAL_POLL_INTERVAL,
        };
        let doubled = first.saturating_mul(2_u32.saturating_pow(failures));
        enrol::jittered(doubled.min(MAX_POLL_INTERVAL))
    }

    /// Proxies that may be alive, this one among them.
    #[must_use]
    pub fn live(&self) -> Vec<id::Vm> {
        self.lock().live(self.now())
    }

    /// Whether this proxy watches the store.
    #[must_use]
    pub fn watches(&self) -> bool {
        self.lock().watches(self.now())
    }

    /// Proxies to be asked again soon.
    #[must_use]
    pub fn suspects(&self) -> Vec<id::Vm> {
        self.lock().suspects(self.now())
    }

    /// Which roster is held.
    #[must_use]
    pub fn mark(&self) -> Option<roster::Mark> {
        self.lock().mark(self.now())
    }

    /// What a peer that holds that roster lacks.
    #[must_use]
    pub fn answer(&self, peer: Option<roster::Mark>) -> Option<roster::Update> {
        self.lock().answer(peer, self.now())
    }

    /// Takes in a heartbeat.
    pub async fn heard(&self, sign: &evidence::Sign) {
        self.lock().heard(sign, self.now());
        if sign.draining {
            self.refresh().await;
        }
    }

    /// Notes that a proxy did not answer.
    pub fn missed(&self, vm: &id::Vm) {
        self.lock().missed(vm, self.now());
    }

    /// Takes in a peer's answer to a question asked at that time; true if it is news.
    pub async fn update(&self, update: roster::Update, asked: id::Time) -> bool {
        let fresh = self.lock().update(update, asked);
        if fresh {
            self.refresh().await;
        }
        fresh
    }

    /// Takes in a roster that a peer pushed; true if it is news.
    pub async fn pushed(&self, update: roster::Update) -> bool {
        let fresh = self.lock().pushed(update, self.now());
        if fresh {
            self.refresh().await;
        }
        fresh
    }

    fn start_read_if_due(&self) -> bool {
        let now = self.now();
        let mut tracker = self.lock();
        let due = tracker.due(now);
        if due {
            tracker.trying(now);
        }
        due
    }

    async fn read_roster(&self) -> bool {
        let started = self.now();
        let Ok(entries) = self.directory.shared().store.list(enrol::PREFIX).await else {
            self.failures.fetch_add(1, atomic::Ordering::Relaxed);
            return false;
        };
        self.failures.store(0, atomic::Ordering::Relaxed);
        let listings = self.inventory.vms().await;
        let mut tracker = self.lock();
        let listings = listings.unwrap_or_else(|_| tracker.newest().listings.clone());
        // Before anybody has registered there is nothing to tell.
        if entries.is_empty() && tracker.mark(started).is_none() {
            return false;
        }
        tracker.take(roster::Roster::new(&entries, &listings), started)
    }

    /// Brings the entries in line with what is now known of the proxies.
    async fn refresh(&self) {
        let mut applied = self.applied.lock().await;
        self.apply_changes(&mut applied, false);
    }

    fn apply_changes(&self, applied: &mut Applied, always: bool) {
        let (roster, candidates) = self.current_view();
        let changed = roster != *self.directory.roster() || candidates != applied.candidates;
        if !changed && !always {
            return;
        }
        if changed {
            let leaving = candidates.iter().filter(|candidate| candidate.leaving);
            tracing::info!(target: "mangotray::placement", proxies = roster.records.len(),
                leaving = leaving.count(), "roster changed");
        }
        applied.candidates = candidates;
        self.directory.set_roster(roster);
        self.reconcile(applied);
    }

    fn current_view(&self) -> (roster::Roster, Vec<placement::Candidate>) {
        let now = self.now();
        let mut tracker = self.lock();
        if self.enrolment.sign().draining {
            tracker.drain();
        }
        let roster = tracker.roster(now);
        (roster, tracker.candidates(now))
    }

    fn now(&self) -> id::Time {
        self.directory.shared().clock.now()
    }

    fn lock(&self) -> sync::MutexGuard<'_, tracker::Tracker> {
        let guard = self.tracker.lock();
        guard.unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Brings the entries in line with the catalog and the roster.
    fn reconcile(&self, applied: &Applied) {
        let old = self.directory.entries();
        let roster = self.directory.roster();
        let mut new = directory::Entries::new();
        for declared in &applied.catalog.groups {
            let entry = self.keep_or_start(&old, declared);
            self.assign(&entry, &applied.candidates, &roster);
            new.insert(declared.database.clone(), entry);
        }
        for (database, entry) in old.iter() {
            let kept = new
                .get(database)
                .is_some_and(|new| sync::Arc::ptr_eq(new, entry));
            if !kept {
                entry.retire();
            }
        }
        self.directory.set_entries(new);
    }

    fn keep_or_start(
        &self,
        old: &directory::Entries,
        declared: &database::Group,
    ) -> sync::Arc<entry::Entry> {
        let current = old.get(&declared.database);
        if let Some(entry) = current.filter(|entry| same_seat_count(entry, declared)) {
            if **entry.declared.load() != *declared {
                entry.redeclare(declared);
            }
            return entry.clone();
        }
        let entry = sync::Arc::new(entry::Entry::new(declared.clone()));
        let keeper = keeper::Keeper::new(
            self.directory.clone(),
            entry.clone(),
            self.enrolment.clone(),
        );
        self.directory
            .shared()
            .executor
            .spawn(keeper.run(self.predecessors(old, declared)))
            .detach();
        entry
    }

    /// Entries of the same group that may still hold seats.
    fn predecessors(
        &self,
        old: &directory::Entries,
        declared: &database::Group,
    ) -> Vec<sync::Arc<entry::Entry>> {
        let mut retired = self
            .retired
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        retired.retain(|entry| !entry.finished());
        let old = old.values().filter(|entry| entry.name == declared.name);
        retired.extend(old.cloned());
        let same = retired.iter().filter(|entry| entry.name == declared.name);
        same.cloned().collect()
    }

    fn assign(
        &self,
        entry: &entry::Entry,
        candidates: &[placement::Candidate],
        roster: &roster::Roster,
    ) {
        let declared = entry.declared.load();
        let count = placement::count(declared.connections, declared.slots);
        let serving = placement::serving(&declared.name, candidates, count);
        if **entry.serving.load() == serving {
            return;
        }
        tracing::info!(target: "mangotray::placement", group = %declared.name,
            serving = ?serving, "serving set changed");
        let own = &self.directory.shared().vm;
        let members: Vec<forward::Member> = serving
            .iter()
            .filter(|vm| *vm != own)
            .filter_map(|vm| roster.member(vm))
            .collect();
        entry.serving.store(sync::Arc::new(serving));
        entry.members.store(sync::Arc::new(members));
    }
}

/// Whether the group's seats are cut as before; if not, they are given back first.
fn same_seat_count(entry: &entry::Entry, declared: &database::Group) -> bool {
    let old = entry.declared.load();
    let count = |group: &database::Group| placement::count(group.connections, group.slots);
    old.name == declared.name && count(&old) == count(declared)
}
