//! This proxy as one of many: who else there is, and which groups fall to whom.

use std::sync;
use std::time;

use crate::catalog;
use crate::database;
use crate::directory;
use crate::enrol;
use crate::entry;
use crate::forward;
use crate::id;
use crate::keeper;
use crate::placement;
use crate::roster;
use crate::store;

/// Least time between two reads of the roster.
const POLL_LEAST: time::Duration = time::Duration::from_secs(1);

/// Time that each registered proxy adds to that, which bounds the calls of the whole
/// fleet at 100 a second, whatever its size.
const POLL_EACH: time::Duration = time::Duration::from_millis(20);

/// Time between reads while the configuration or the roster is still empty.
const POLL_FIRST: time::Duration = time::Duration::from_millis(200);

/// Keeps the serving sets as the catalog and the roster say.
pub struct Fleet {
    directory: sync::Arc<directory::Directory>,
    enrolment: sync::Arc<enrol::Enrolment>,
    inventory: sync::Arc<dyn store::Inventory>,
    catalog: async_lock::Mutex<catalog::Catalog>,
}

impl Fleet {
    /// A fleet of which nothing is known yet.
    #[must_use]
    pub fn new(
        directory: sync::Arc<directory::Directory>,
        enrolment: sync::Arc<enrol::Enrolment>,
        inventory: sync::Arc<dyn store::Inventory>,
    ) -> Self {
        Self {
            directory,
            enrolment,
            inventory,
            catalog: async_lock::Mutex::default(),
        }
    }

    /// Follows the roster for ever. What was known stays while the store is down.
    pub async fn run(&self) {
        loop {
            self.refresh().await;
            async_io::Timer::after(enrol::jittered(self.pause())).await;
        }
    }

    /// Puts a catalog in force.
    pub async fn install(&self, catalog: catalog::Catalog) {
        let mut known = self.catalog.lock().await;
        *known = catalog;
        self.reconcile(&known);
    }

    fn pause(&self) -> time::Duration {
        let size = self.directory.roster().records.len();
        match u32::try_from(size) {
            Ok(0) => POLL_FIRST,
            Ok(size) => POLL_LEAST.max(POLL_EACH * size),
            Err(_) => POLL_LEAST,
        }
    }

    async fn refresh(&self) {
        let store = &self.directory.shared().store;
        let Ok(entries) = store.list(enrol::PREFIX).await else {
            return;
        };
        let listings = self.inventory.vms().await.unwrap_or_default();
        let roster = roster::Roster::new(&entries, &listings);
        if roster == *self.directory.roster() {
            return;
        }
        tracing::info!(target: "mangotray::placement", proxies = roster.records.len(),
            leaving = roster.leaving.len(), "roster changed");
        self.directory.set_roster(roster);
        let catalog = self.catalog.lock().await;
        self.reconcile(&catalog);
    }

    /// Brings the entries in line with the catalog and the roster.
    fn reconcile(&self, catalog: &catalog::Catalog) {
        let old = self.directory.entries();
        let roster = self.directory.roster();
        let candidates = candidates(catalog, &roster);
        let mut new = directory::Entries::new();
        for declared in &catalog.groups {
            let entry = self.keep_or_start(&old, declared);
            self.assign(&entry, &candidates, &roster);
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
        let known = old.get(&declared.database);
        if let Some(entry) = known.filter(|entry| same_seats(entry, declared)) {
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
            .spawn(keeper.run())
            .detach();
        entry
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

/// Registered proxies that the operators let serve.
fn candidates(catalog: &catalog::Catalog, roster: &roster::Roster) -> Vec<placement::Candidate> {
    let allowed = |vm: &id::Vm| catalog.vms.is_empty() || catalog.vms.contains(vm);
    let candidates = roster.candidates().into_iter();
    candidates
        .filter(|candidate| allowed(&candidate.vm))
        .collect()
}

/// Whether the group's seats are cut as before; if not, they are given back first.
fn same_seats(entry: &entry::Entry, declared: &database::Group) -> bool {
    let old = entry.declared.load();
    let count = |group: &database::Group| placement::count(group.connections, group.slots);
    old.name == declared.name && count(&old) == count(declared)
}
