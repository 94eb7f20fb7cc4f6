//! The groups that this proxy serves, by database name.

use std::collections;
use std::sync;
use std::time;

use compact_str::CompactString;

use crate::admin;
use crate::catalog;
use crate::clock;
use crate::control;
use crate::database;
use crate::direct;
use crate::group;
use crate::id;
use crate::lane;
use crate::policy;
use crate::pool;
use crate::store;
use crate::term;
use crate::upstream;

/// Connections of an instance that are left to the control paths of all proxies and to
/// the operators.
const RESERVED_CONNECTIONS: usize = 2;

type Groups = collections::BTreeMap<CompactString, sync::Arc<group::Group>>;

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
    /// Where tasks run.
    pub executor: sync::Arc<async_executor::Executor<'static>>,
}

/// The groups in force, replaced as a whole when the configuration changes.
pub struct Directory {
    shared: Shared,
    groups: arc_swap::ArcSwap<Groups>,
}

/// This VM's place among those that serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Place {
    /// Number of serving VMs, at least 1.
    pub members: usize,
    /// This VM's rank among them, from 0.
    pub rank: usize,
}

impl Directory {
    /// A directory without groups.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        Self {
            shared,
            groups: arc_swap::ArcSwap::default(),
        }
    }

    /// Puts a catalog in force. Groups whose declaration and share are unchanged go on
    /// undisturbed; sessions of the others keep the old runtime until they are idle.
    pub fn install(&self, catalog: &catalog::Catalog, place: Place) {
        let old = self.groups.load_full();
        let new = catalog
            .groups
            .iter()
            .map(|declared| {
                (
                    declared.database.clone(),
                    self.keep_or_start(&old, declared, place),
                )
            })
            .collect();
        self.groups.store(sync::Arc::new(new));
    }

    /// Groups in force.
    #[must_use]
    pub fn groups(&self) -> Vec<sync::Arc<group::Group>> {
        self.groups.load().values().cloned().collect()
    }

    fn keep_or_start(
        &self,
        old: &Groups,
        declared: &database::Group,
        place: Place,
    ) -> sync::Arc<group::Group> {
        let limit = share(declared, place);
        let running = old.get(&declared.database);
        let same = running.filter(|group| group.declaration == *declared && group.limit == limit);
        if let Some(group) = same {
            group.set_rank(rank(place));
            return group.clone();
        }
        tracing::info!(target: "mangotray::placement", group = %declared.name,
            connections = limit.connections, slots = limit.slots, rank = place.rank,
            "serving the group");
        self.start(declared, limit, place)
    }

    fn start(
        &self,
        declared: &database::Group,
        limit: pool::Limit,
        place: Place,
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
            rank: rank(place),
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

    /// State of every group, for operators.
    #[must_use]
    pub fn status(&self) -> Vec<admin::Group> {
        self.groups
            .load()
            .values()
            .map(|group| group.status())
            .collect()
    }
}

impl lane::Switch for Directory {
    fn lane(&self, database: &str) -> Option<Box<dyn lane::Lane>> {
        let group = self.groups.load().get(database).cloned()?;
        Some(Box::new(direct::Lane::new(group)))
    }

    fn deadline(&self, database: &str) -> time::Duration {
        let groups = self.groups.load();
        groups
            .get(database)
            .map_or(time::Duration::ZERO, |group| group.declaration.deadline)
    }
}

/// Equal shares of an instance's connections and slots.
fn share(declared: &database::Group, place: Place) -> pool::Limit {
    let members = place.members.max(1);
    let working = declared
        .connections
        .saturating_sub(RESERVED_CONNECTIONS + members);
    pool::Limit {
        connections: (working / members).max(1),
        slots: (declared.slots / members).max(1),
    }
}

fn rank(place: Place) -> u32 {
    u32::try_from(place.rank).unwrap_or(u32::MAX)
}
