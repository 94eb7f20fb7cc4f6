//! The groups that this proxy knows, by database name, and the way to each.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use compact_str::CompactString;

use crate::admin;
use crate::clock;
use crate::control;
use crate::database;
use crate::entry;
use crate::evidence;
use crate::forward;
use crate::group;
use crate::id;
use crate::lane;
use crate::peer;
use crate::policy;
use crate::pool;
use crate::relay;
use crate::roster;
use crate::store;
use crate::term;
use crate::upstream;
use crate::witness;

/// Known groups by database name.
pub type Entries = collections::BTreeMap<CompactString, sync::Arc<entry::Entry>>;

/// What the groups of one process have in common.
pub struct Shared {
    /// Name of this VM.
    pub vm: id::Vm,
    /// Number of this process.
    pub incarnation: id::Incarnation,
    /// Failure domain of this VM.
    pub domain: id::Domain,
    /// The platform's store.
    pub store: sync::Arc<dyn store::Store>,
    /// Time.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Baseline or the product's own rules.
    pub policy: policy::Policy,
    /// Timeouts of the paths to the instances.
    pub control: control::Options,
    /// Connections to the other proxies.
    pub peers: sync::Arc<forward::Pool>,
    /// Where tasks run.
    pub executor: sync::Arc<async_executor::Executor<'static>>,
}

/// The groups in force, replaced as a whole when the configuration changes.
pub struct Directory {
    shared: Shared,
    entries: arc_swap::ArcSwap<Entries>,
    roster: arc_swap::ArcSwap<roster::Roster>,
    draining: atomic::AtomicBool,
    forwarded_work: sync::Arc<()>,
}

impl Directory {
    /// A directory without groups.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        Self {
            shared,
            entries: arc_swap::ArcSwap::default(),
            roster: arc_swap::ArcSwap::default(),
            draining: atomic::AtomicBool::new(false),
            forwarded_work: sync::Arc::default(),
        }
    }

    /// What the groups have in common.
    #[must_use]
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Takes no new work from peers from now on.
    pub fn drain(&self) {
        self.draining.store(true, atomic::Ordering::Release);
    }

    /// Whether no new work of peers is taken.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining.load(atomic::Ordering::Acquire)
    }

    /// Counts work of a peer, or its open transaction, while the result lives.
    #[must_use]
    pub fn enter(&self) -> sync::Arc<()> {
        self.forwarded_work.clone()
    }

    /// Whether work of peers is under way.
    #[must_use]
    pub fn busy(&self) -> bool {
        sync::Arc::strong_count(&self.forwarded_work) > 1
    }

    /// The groups in force.
    #[must_use]
    pub fn entries(&self) -> sync::Arc<Entries> {
        self.entries.load_full()
    }

    /// Replaces the groups in force.
    pub fn set_entries(&self, entries: Entries) {
        self.entries.store(sync::Arc::new(entries));
    }

    /// The proxies as last known.
    #[must_use]
    pub fn roster(&self) -> sync::Arc<roster::Roster> {
        self.roster.load_full()
    }

    /// Replaces what is known of the proxies.
    pub fn set_roster(&self, roster: roster::Roster) {
        self.roster.store(sync::Arc::new(roster));
    }

    /// One group by its database name.
    #[must_use]
    pub fn entry(&self, database: &str) -> Option<sync::Arc<entry::Entry>> {
        self.entries.load().get(database).cloned()
    }

    /// VMs that testify about the store for this VM's seats of a group.
    #[must_use]
    pub fn witnesses(&self, group: &str) -> Vec<id::Vm> {
        let mut vms = self.roster.load().first(group, witness::COUNT);
        vms.sort_unstable();
        vms
    }

    /// Asks a peer for its testimony about the store.
    pub async fn ask(&self, vm: &id::Vm) -> Option<witness::Report> {
        let member = self.roster.load().member(vm)?;
        let connection = self
            .shared
            .peers
            .endpoint(member.address)
            .connection()
            .await?;
        let news = connection.exchange(self.digest()).await.ok()?;
        Some(news.witness)
    }

    /// What this proxy tells its peers when it asks for their testimony alone.
    #[must_use]
    pub fn digest(&self) -> peer::Digest {
        peer::Digest {
            sign: evidence::Sign {
                vm: self.shared.vm.clone(),
                domain: self.shared.domain.clone(),
                incarnation: self.shared.incarnation,
                draining: false,
            },
            report: None,
            roster: None,
        }
    }

    /// Uses a share of a group's instances until the given time, or gives it up.
    pub fn serve(
        &self,
        entry: &entry::Entry,
        limit: pool::Limit,
        until: Option<id::Time>,
        rank: usize,
    ) {
        let runtime = entry.runtime();
        match (runtime, until) {
            (Some(group), Some(until)) => {
                group.set_share(limit, until);
                group.set_rank(as_rank(rank));
                let _ = group.settled();
            }
            (Some(group), None) => {
                tracing::info!(target: "mangotray::placement", group = %entry.name,
                    "serving the group no longer");
                group.revoke();
                entry.set_runtime(None);
            }
            (None, Some(until)) if limit.connections > 0 => {
                tracing::info!(target: "mangotray::placement", group = %entry.name,
                    connections = limit.connections, slots = limit.slots, rank,
                    "serving the group");
                let group = self.start(&entry.declared.load(), limit, rank);
                group.set_share(limit, until);
                entry.set_runtime(Some(group));
            }
            (None, _) => {}
        }
    }

    fn start(
        &self,
        declared: &database::Group,
        limit: pool::Limit,
        rank: usize,
    ) -> sync::Arc<group::Group> {
        let shared = &self.shared;
        let upstreams = declared
            .instances
            .iter()
            .map(|instance| self.upstream(declared, instance))
            .collect();
        let terms = term::Registry::new(
            shared.store.clone(),
            &declared.name,
            shared.vm.clone(),
            shared.incarnation,
        );
        group::Group::start(group::Parts {
            declaration: declared.clone(),
            upstreams,
            limit,
            terms: sync::Arc::new(terms),
            clock: shared.clock.clone(),
            domain: shared.domain.clone(),
            policy: shared.policy,
            rank: as_rank(rank),
            executor: shared.executor.clone(),
        })
    }

    fn upstream(
        &self,
        declared: &database::Group,
        instance: &database::Instance,
    ) -> sync::Arc<dyn upstream::Upstream> {
        let options = self.shared.control.clone();
        let control = control::Control::new(instance.address, &declared.database, options);
        sync::Arc::new(control)
    }

    /// State of every group that is served here, for operators.
    #[must_use]
    pub fn status(&self) -> Vec<admin::Group> {
        let entries = self.entries.load();
        entries
            .values()
            .filter_map(|entry| entry.runtime())
            .map(|group| group.status())
            .collect()
    }
}

impl forward::Directory for Directory {
    fn members(&self, database: &str) -> Vec<forward::Member> {
        let entry = self.entry(database);
        entry.map_or_else(Vec::new, |entry| entry.members.load().to_vec())
    }
}

/// Ways to all groups, for callers.
pub struct Everywhere(pub sync::Arc<Directory>);

impl lane::Switch for Everywhere {
    fn lane(&self, database: &str) -> Option<Box<dyn lane::Lane>> {
        self.0.entry(database)?;
        Some(Box::new(relay::Lane::new(
            self.0.clone(),
            database,
            relay::Reach::Everywhere,
        )))
    }

    fn deadline(&self, database: &str) -> time::Duration {
        deadline(&self.0, database)
    }
}

/// Ways to the groups that are served here, for work that peers forward: it must not
/// be forwarded on, or two proxies with different views could pass it round for ever.
pub struct Here(pub sync::Arc<Directory>);

impl lane::Switch for Here {
    fn lane(&self, database: &str) -> Option<Box<dyn lane::Lane>> {
        self.0.entry(database)?;
        Some(Box::new(relay::Lane::new(
            self.0.clone(),
            database,
            relay::Reach::Here,
        )))
    }

    fn deadline(&self, database: &str) -> time::Duration {
        deadline(&self.0, database)
    }
}

fn deadline(directory: &Directory, database: &str) -> time::Duration {
    let entry = directory.entry(database);
    entry.map_or(time::Duration::ZERO, |entry| entry.declared.load().deadline)
}

fn as_rank(rank: usize) -> u32 {
    u32::try_from(rank).unwrap_or(u32::MAX)
}
