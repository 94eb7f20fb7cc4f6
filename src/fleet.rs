//! Tracks the other proxies and assigns groups to the proxies that serve them.

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

/// Time between two polls. A poll reads the roster only when this proxy is due to do so.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time between two polls while no roster is known.
const INITIAL_POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Upper bound, before jitter, of the time between polls, which doubles with each failed read.
const MAX_POLL_INTERVAL: time::Duration = time::Duration::from_secs(4);

/// Keeps the serving sets in line with the catalog and the roster.
pub struct Fleet {
    directory: sync::Arc<directory::Directory>,
    enrolment: sync::Arc<enrol::Enrolment>,
    inventory: sync::Arc<dyn store::Inventory>,
    tracker: sync::Mutex<tracker::Tracker>,
    failures: atomic::AtomicU32,
    applied: async_lock::Mutex<Applied>,
    retired: sync::Mutex<Vec<sync::Arc<entry::Entry>>>,
}

/// Catalog and candidates from which the directory's entries were last updated.
#[derive(Default)]
struct Applied {
    catalog: catalog::Catalog,
    candidates: Vec<placement::Candidate>,
}

impl Fleet {
    /// Creates a fleet without a catalog or a roster.
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

    /// The directory of groups that this fleet updates.
    #[must_use]
    pub fn directory(&self) -> &sync::Arc<directory::Directory> {
        &self.directory
    }

    /// Applies a catalog.
    pub async fn set_catalog(&self, catalog: catalog::Catalog) {
        let mut applied = self.applied.lock().await;
        self.lock().set_catalog(&catalog);
        applied.catalog = catalog;
        self.apply_changes(&mut applied, true);
    }

    /// Reads the roster if this proxy is due to do so, and updates the states that depend on
    /// time. Returns whether the roster is new. A failed read of the store keeps the last roster.
    pub async fn poll(&self) -> bool {
        let fresh = self.start_read_if_due() && self.read_roster().await;
        self.refresh().await;
        fresh
    }

    /// Time until the next poll: doubled after each failed read, with jitter.
    #[must_use]
    pub fn poll_interval(&self) -> time::Duration {
        let failures = self.failures.load(atomic::Ordering::Relaxed);
        let first = match self.lock().digest(id::Time::ZERO) {
            Some(_) => POLL_INTERVAL,
            None => INITIAL_POLL_INTERVAL,
        };
        let doubled = first.saturating_mul(2_u32.saturating_pow(failures));
        enrol::jittered(doubled.min(MAX_POLL_INTERVAL))
    }

    /// Proxies that may be alive, including this one.
    #[must_use]
    pub fn live(&self) -> Vec<id::Vm> {
        self.lock().live(self.now())
    }

    /// Whether this proxy is one of those that watch the store.
    #[must_use]
    pub fn watches(&self) -> bool {
        self.lock().watches(self.now())
    }

    /// Suspected proxies, to be queried again soon.
    #[must_use]
    pub fn suspects(&self) -> Vec<id::Vm> {
        self.lock().suspects(self.now())
    }

    /// Age and checksum of the roster held here, if any.
    #[must_use]
    pub fn digest(&self) -> Option<roster::Digest> {
        self.lock().digest(self.now())
    }

    /// Update for a peer that holds the roster with the digest `peer`, if it needs one.
    #[must_use]
    pub fn update_for(&self, peer: Option<roster::Digest>) -> Option<roster::Update> {
        self.lock().update_for(peer, self.now())
    }

    /// Records a received heartbeat.
    pub async fn record_heartbeat(&self, heartbeat: &evidence::Heartbeat) {
        self.lock().record_heartbeat(heartbeat, self.now());
        if heartbeat.draining {
            self.refresh().await;
        }
    }

    /// Records that a proxy did not answer.
    pub fn record_missed_heartbeat(&self, vm: &id::Vm) {
        self.lock().record_missed_heartbeat(vm, self.now());
    }

    /// Applies a peer's answer to a request sent at `asked`; returns whether the roster is new.
    pub async fn apply_update(&self, update: roster::Update, asked: id::Time) -> bool {
        let fresh = self.lock().apply_update(update, asked);
        if fresh {
            self.refresh().await;
        }
        fresh
    }

    /// Applies a roster that a peer pushed; returns whether it is new.
    pub async fn apply_push(&self, update: roster::Update) -> bool {
        let fresh = self.lock().apply_push(update, self.now());
        if fresh {
            self.refresh().await;
        }
        fresh
    }

    fn start_read_if_due(&self) -> bool {
        let now = self.now();
        let mut tracker = self.lock();
        let due = tracker.should_read(now);
        if due {
            tracker.record_read_attempt(now);
        }
        due
    }

    async fn read_roster(&self) -> bool {
        let started = self.now();
        let Ok(entries) = self.directory.shared().store.list(enrol::KEY_PREFIX).await else {
            self.failures.fetch_add(1, atomic::Ordering::Relaxed);
            return false;
        };
        self.failures.store(0, atomic::Ordering::Relaxed);
        let listings = self.inventory.vms().await;
        let mut tracker = self.lock();
        let listings = listings.unwrap_or_else(|_| tracker.newest().listings.clone());
        // There is no roster to distribute before the first proxy has registered.
        if entries.is_empty() && tracker.digest(started).is_none() {
            return false;
        }
        tracker.apply_roster(roster::Roster::new(&entries, &listings), started)
    }

    /// Updates the entries if the roster or the candidates have changed.
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
        if self.enrolment.heartbeat().draining {
            tracker.record_draining();
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

    /// Updates the entries to match the catalog and the roster.
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
            if **entry.declaration.load() != *declared {
                entry.set_declaration(declared);
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

    /// Earlier entries of the same group, which may still hold seats.
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
        let declared = entry.declaration.load();
        let count = placement::serving_count(declared.connections, declared.slots);
        let serving = placement::serving_set(&declared.name, candidates, count);
        if **entry.serving_set.load() == serving {
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
        entry.serving_set.store(sync::Arc::new(serving));
        entry.members.store(sync::Arc::new(members));
    }
}

/// Whether the group keeps its name and its number of seats. If not, the old entry's seats are
/// released before a new entry takes any.
fn same_seat_count(entry: &entry::Entry, declared: &database::Group) -> bool {
    let old = entry.declaration.load();
    let count = |group: &database::Group| placement::serving_count(group.connections, group.slots);
    old.name == declared.name && count(&old) == count(declared)
}
