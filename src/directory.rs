//! Directory of the known groups, by database name, and access to each of them.

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

/// Resources shared by all groups of a process.
pub struct Shared {
    /// Name of this VM.
    pub vm: id::Vm,
    /// Incarnation number of this process.
    pub incarnation: id::Incarnation,
    /// Failure domain of this VM.
    pub domain: id::Domain,
    /// The platform's store.
    pub store: sync::Arc<dyn store::Store>,
    /// Source of the current time.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Consistency policy: one of the baselines or the default.
    pub policy: policy::Policy,
    /// Options, such as timeouts, of the connections to the instances.
    pub control: control::Options,
    /// Connection pool to the other proxies.
    pub peers: sync::Arc<forward::Pool>,
    /// Executor of background tasks.
    pub executor: sync::Arc<async_executor::Executor<'static>>,
}

/// The current groups, replaced as a whole when the configuration changes.
pub struct Directory {
    shared: Shared,
    entries: arc_swap::ArcSwap<Entries>,
    roster: arc_swap::ArcSwap<roster::Roster>,
    draining: atomic::AtomicBool,
    forwarded_work: sync::Arc<()>,
}

impl Directory {
    /// Creates a directory without groups.
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

    /// The resources shared by all groups.
    #[must_use]
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Stops accepting new work from peers.
    pub fn drain(&self) {
        self.draining.store(true, atomic::Ordering::Release);
    }

    /// Whether new work from peers is rejected.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining.load(atomic::Ordering::Acquire)
    }

    /// Returns a guard that counts a peer's work, or its open transaction, until it is dropped.
    #[must_use]
    pub fn count_forwarded_work(&self) -> sync::Arc<()> {
        self.forwarded_work.clone()
    }

    /// Whether work of peers is in progress.
    #[must_use]
    pub fn busy(&self) -> bool {
        sync::Arc::strong_count(&self.forwarded_work) > 1
    }

    /// The current groups.
    #[must_use]
    pub fn entries(&self) -> sync::Arc<Entries> {
        self.entries.load_full()
    }

    /// Replaces all groups.
    pub fn set_entries(&self, entries: Entries) {
        self.entries.store(sync::Arc::new(entries));
    }

    /// The last known roster of proxies.
    #[must_use]
    pub fn roster(&self) -> sync::Arc<roster::Roster> {
        self.roster.load_full()
    }

    /// Replaces the roster.
    pub fn set_roster(&self, roster: roster::Roster) {
        self.roster.store(sync::Arc::new(roster));
    }

    /// Looks up a group by its database name.
    #[must_use]
    pub fn entry(&self, database: &str) -> Option<sync::Arc<entry::Entry>> {
        self.entries.load().get(database).cloned()
    }

    /// Witnesses for this VM's seats of a group: VMs that report their contact with the store.
    #[must_use]
    pub fn witnesses(&self, group: &str) -> Vec<id::Vm> {
        let mut vms = self.roster.load().highest_ranked(group, witness::COUNT);
        vms.sort_unstable();
        vms
    }

    /// Queries a peer for its report on its contact with the store; `None` if it does not answer.
    pub async fn query_witness(&self, vm: &id::Vm) -> Option<witness::Report> {
        let member = self.roster.load().member(vm)?;
        let connection = self
            .shared
            .peers
            .endpoint(member.address)
            .connection()
            .await?;
        let news = connection.exchange(self.witness_digest()).await.ok()?;
        Some(news.witness)
    }

    /// Digest with which this proxy requests only a peer's witness report.
    #[must_use]
    pub fn witness_digest(&self) -> peer::Digest {
        peer::Digest {
            sign: evidence::Heartbeat {
                vm: self.shared.vm.clone(),
                domain: self.shared.domain.clone(),
                incarnation: self.shared.incarnation,
                draining: false,
            },
            report: None,
            roster: None,
        }
    }

    /// Serves a group within `limit` until the time `until`, or stops serving it on `None`.
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
                let _ = group.trim_to_share();
            }
            (Some(group), None) => {
                tracing::info!(target: "mangotray::placement", group = %entry.name,
                    "stopped serving the group");
                group.revoke();
                entry.set_runtime(None);
            }
            (None, Some(until)) if limit.connections > 0 => {
                tracing::info!(target: "mangotray::placement", group = %entry.name,
                    connections = limit.connections, slots = limit.slots, rank,
                    "started serving the group");
                let group = self.start(&entry.declaration.load(), limit, rank);
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

    /// State of every group that this proxy serves, for operators.
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

    fn is_local(&self, database: &str) -> bool {
        let entry = self.entry(database);
        entry.is_some_and(|entry| entry.preferred_runtime().is_some())
    }
}

/// Opens lanes to all groups, for the sessions of callers.
pub struct CallerLanes(pub sync::Arc<Directory>);

impl lane::Factory for CallerLanes {
    fn lane(&self, database: &str) -> Option<Box<dyn lane::Lane>> {
        self.0.entry(database)?;
        Some(Box::new(relay::Lane::new(
            self.0.clone(),
            database,
            relay::Scope::Fleet,
        )))
    }

    fn deadline(&self, database: &str) -> time::Duration {
        deadline(&self.0, database)
    }
}

/// Opens lanes to the groups that this proxy serves itself, for work that peers forward. Such work
/// is not forwarded again; otherwise, proxies with different views could forward it in a loop.
pub struct PeerLanes(pub sync::Arc<Directory>);

impl lane::Factory for PeerLanes {
    fn lane(&self, database: &str) -> Option<Box<dyn lane::Lane>> {
        self.0.entry(database)?;
        Some(Box::new(relay::Lane::new(
            self.0.clone(),
            database,
            relay::Scope::Local,
        )))
    }

    fn deadline(&self, database: &str) -> time::Duration {
        deadline(&self.0, database)
    }
}

fn deadline(directory: &Directory, database: &str) -> time::Duration {
    let entry = directory.entry(database);
    entry.map_or(time::Duration::ZERO, |entry| {
        entry.declaration.load().deadline
    })
}

fn as_rank(rank: usize) -> u32 {
    u32::try_from(rank).unwrap_or(u32::MAX)
}
