//! A declared group on this proxy, which may be served here, forwarded, or alternate between
//! the two.

use std::sync;

use crate::database;
use crate::forward;
use crate::group;
use crate::id;
use crate::pool;
use crate::seat;

/// A declared group with its serving set and, while this VM holds seats, its local runtime.
pub struct Entry {
    /// Name of the group.
    pub name: id::Group,
    /// The operators' declaration.
    pub declaration: arc_swap::ArcSwap<database::Group>,
    /// VMs that should serve the group, in order of preference.
    pub serving_set: arc_swap::ArcSwap<Vec<id::Vm>>,
    /// The other VMs of the serving set, with the addresses that accept forwarded work.
    pub members: arc_swap::ArcSwap<Vec<forward::Member>>,
    runtime: arc_swap::ArcSwapOption<group::Group>,
    retired: sync::atomic::AtomicBool,
    finished: sync::atomic::AtomicBool,
}

impl Entry {
    /// Creates an entry without a runtime.
    #[must_use]
    pub fn new(declared: database::Group) -> Self {
        Self {
            name: declared.name.clone(),
            declaration: arc_swap::ArcSwap::from_pointee(declared),
            serving_set: arc_swap::ArcSwap::default(),
            members: arc_swap::ArcSwap::default(),
            runtime: arc_swap::ArcSwapOption::empty(),
            retired: sync::atomic::AtomicBool::new(false),
            finished: sync::atomic::AtomicBool::new(false),
        }
    }

    /// The runtime, if the group has one that may use the instances now.
    #[must_use]
    pub fn usable_runtime(&self) -> Option<sync::Arc<group::Group>> {
        self.runtime.load_full().filter(|group| group.usable())
    }

    /// The usable runtime, if callers' work should run on it rather than on a peer's: it reaches the
    /// instances, or there is no peer.
    #[must_use]
    pub fn preferred_runtime(&self) -> Option<sync::Arc<group::Group>> {
        let alone = self.members.load().is_empty();
        self.usable_runtime()
            .filter(|group| alone || group.reachable())
    }

    /// The runtime, if the group has one, whether or not it may use the instances now.
    #[must_use]
    pub fn runtime(&self) -> Option<sync::Arc<group::Group>> {
        self.runtime.load_full()
    }

    /// Replaces the runtime; `None` removes it.
    pub fn set_runtime(&self, group: Option<sync::Arc<group::Group>>) {
        self.runtime.store(group);
    }

    /// Applies a changed declaration. The runtime is kept if its instances and limits are
    /// unchanged; otherwise it is revoked and removed, and the keeper starts a new one.
    pub fn set_declaration(&self, declared: &database::Group) {
        let unchanged = same_runtime_settings(&self.declaration.load(), declared);
        self.declaration.store(sync::Arc::new(declared.clone()));
        match self.runtime() {
            Some(group) if unchanged => group.set_declaration(declared.clone()),
            Some(group) => {
                group.revoke();
                self.set_runtime(None);
            }
            None => {}
        }
    }

    /// Position of `vm` in the serving set, from 0; `None` when it is not a member.
    #[must_use]
    pub fn rank(&self, vm: &id::Vm) -> Option<usize> {
        self.serving_set
            .load()
            .iter()
            .position(|member| member == vm)
    }

    /// Number of seats that `vm` should hold. All `seats` are divided evenly among the serving
    /// set; a VM outside of it and a retired group get none.
    #[must_use]
    pub fn wanted_seats(&self, vm: &id::Vm, seats: usize) -> usize {
        if self.retired.load(sync::atomic::Ordering::Acquire) {
            return 0;
        }
        let members = self.serving_set.load().len();
        self.rank(vm)
            .map_or(0, |rank| even_share(seats, members, rank))
    }

    /// Permanently stops serving the group: its seats are released and its keeper ends.
    pub fn retire(&self) {
        self.retired.store(true, sync::atomic::Ordering::Release);
    }

    /// Records that the last seat was released.
    pub fn finish(&self) {
        self.finished.store(true, sync::atomic::Ordering::Release);
    }

    /// Whether the last seat of this entry was released.
    #[must_use]
    pub fn finished(&self) -> bool {
        self.finished.load(sync::atomic::Ordering::Acquire)
    }

    /// Whether the group was retired.
    #[must_use]
    pub fn retired(&self) -> bool {
        self.retired.load(sync::atomic::Ordering::Acquire)
    }
}

/// Number of `seats` for the member at position `rank` when divided among `members`; the first
/// positions get the remainder, one seat each.
fn even_share(seats: usize, members: usize, rank: usize) -> usize {
    seats / members + usize::from(rank < seats % members)
}

fn same_runtime_settings(old: &database::Group, new: &database::Group) -> bool {
    let identity = |instance: &database::Instance| (instance.name.clone(), instance.address);
    let limits = (old.connections, old.slots) == (new.connections, new.slots);
    limits
        && old
            .instances
            .iter()
            .map(identity)
            .eq(new.instances.iter().map(identity))
}

/// Total limit of the seats in `held`, without their control connections.
///
/// ```
/// use mangotray::{database, entry};
/// let limit = entry::limit(20, 3, 3, &[0, 2]);
/// assert_eq!((limit.connections, limit.slots), (11, 2));
/// ```
#[must_use]
pub fn limit(connections: usize, slots: usize, seats: usize, held: &[usize]) -> pool::Limit {
    let parts = held
        .iter()
        .map(|seat| seat::limits(connections, slots, seats, *seat));
    parts.fold(pool::Limit::default(), |sum, part| pool::Limit {
        connections: sum.connections + part.connections - part.control,
        slots: sum.slots + part.slots,
    })
}
