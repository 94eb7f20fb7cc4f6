//! One declared group on this proxy: served here, forwarded, or both in turn.

use std::sync;

use crate::database;
use crate::forward;
use crate::group;
use crate::id;
use crate::pool;
use crate::seat;

/// A declared group with its serving set and, while this VM holds seats, its runtime.
pub struct Entry {
    /// Name of the group.
    pub name: id::Group,
    /// The operators' declaration.
    pub declared: arc_swap::ArcSwap<database::Group>,
    /// VMs that should serve the group, best first.
    pub serving: arc_swap::ArcSwap<Vec<id::Vm>>,
    /// Where the others of them accept forwarded work.
    pub members: arc_swap::ArcSwap<Vec<forward::Member>>,
    runtime: arc_swap::ArcSwapOption<group::Group>,
    retired: sync::atomic::AtomicBool,
    finished: sync::atomic::AtomicBool,
}

impl Entry {
    /// A group that is not served here yet.
    #[must_use]
    pub fn new(declared: database::Group) -> Self {
        Self {
            name: declared.name.clone(),
            declared: arc_swap::ArcSwap::from_pointee(declared),
            serving: arc_swap::ArcSwap::default(),
            members: arc_swap::ArcSwap::default(),
            runtime: arc_swap::ArcSwapOption::empty(),
            retired: sync::atomic::AtomicBool::new(false),
            finished: sync::atomic::AtomicBool::new(false),
        }
    }

    /// The runtime, while this VM may use the instances.
    #[must_use]
    pub fn local(&self) -> Option<sync::Arc<group::Group>> {
        self.runtime.load_full().filter(|group| group.usable())
    }

    /// The runtime, whether or not it may be used at this moment.
    #[must_use]
    pub fn runtime(&self) -> Option<sync::Arc<group::Group>> {
        self.runtime.load_full()
    }

    /// Puts a runtime in place of the one before.
    pub fn set_runtime(&self, group: Option<sync::Arc<group::Group>>) {
        self.runtime.store(group);
    }

    /// Takes a changed declaration over. The runtime goes on where its instances and
    /// limits are the same; otherwise its work is ended and the keeper starts another.
    pub fn redeclare(&self, declared: &database::Group) {
        let unchanged = same_runtime_settings(&self.declared.load(), declared);
        self.declared.store(sync::Arc::new(declared.clone()));
        match self.runtime() {
            Some(group) if unchanged => group.redeclare(declared.clone()),
            Some(group) => {
                group.revoke();
                self.set_runtime(None);
            }
            None => {}
        }
    }

    /// This VM's rank in the serving set.
    #[must_use]
    pub fn rank(&self, vm: &id::Vm) -> Option<usize> {
        self.serving.load().iter().position(|member| member == vm)
    }

    /// Seats that this VM should hold: all are shared out among the serving set.
    #[must_use]
    pub fn wanted(&self, vm: &id::Vm, seats: usize) -> usize {
        if self.retired.load(sync::atomic::Ordering::Acquire) {
            return 0;
        }
        let members = self.serving.load().len();
        self.rank(vm)
            .map_or(0, |rank| even_share(seats, members, rank))
    }

    /// Gives the group up for good: its seats go back and its keeper ends.
    pub fn retire(&self) {
        self.retired.store(true, sync::atomic::Ordering::Release);
    }

    /// Notes that the last seat was given back.
    pub fn finish(&self) {
        self.finished.store(true, sync::atomic::Ordering::Release);
    }

    /// Whether no seat is held under this entry any more.
    #[must_use]
    pub fn finished(&self) -> bool {
        self.finished.load(sync::atomic::Ordering::Acquire)
    }

    /// Whether the group was given up.
    #[must_use]
    pub fn retired(&self) -> bool {
        self.retired.load(sync::atomic::Ordering::Acquire)
    }
}

/// Part of `seats` that member `rank` of `members` takes.
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

/// Limit made up of several seats.
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
        .map(|seat| seat::part(connections, slots, seats, *seat));
    parts.fold(pool::Limit::default(), |sum, part| pool::Limit {
        connections: sum.connections + part.connections - part.control,
        slots: sum.slots + part.slots,
    })
}
