//! Membership view: the state of every VM, merged from sources that can disagree.
//!
//! The platform's list lags and can be unavailable; a lease shows whether a VM reaches the
//! store, not whether it reaches this VM; heartbeats cover a single link. The sources are
//! weighed as follows:
//!
//! - A VM counts as leaving as soon as any source says so, for as long as it says so.
//! - A heartbeat proves that a VM is alive. Missed heartbeats prove that it is dead only if
//!   its lease has also ended, or while most other VMs still send theirs.
//! - Absence from the list proves that a VM was destroyed only after the list's maximum lag,
//!   and only if the VM is also silent. An empty list proves nothing: it means that the
//!   platform has an outage.
//!
//! A wrong view costs time but not safety: `share` decides who may use an instance.

use std::collections;
use std::time;

use crate::catalog;
use crate::database;
use crate::evidence;
use crate::id;
use crate::placement;
use crate::store;

/// Time without a heartbeat after which a VM is suspect and others are preferred.
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(1_500);
/// Time off the platform's list after which a destroyed VM's record is removed.
const FORGET_AFTER: time::Duration = time::Duration::from_mins(10);

/// Whether a VM accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts work.
    Live,
    /// Remains in serving sets, but other VMs are preferred.
    Suspect,
    /// Finishes its current work and accepts no new work.
    Leaving,
    /// Accepts no work.
    Dead,
}

/// Reason for a VM's state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It is the local VM.
    Own,
    /// A heartbeat was received and none has been missing for long.
    Heartbeat,
    /// It holds a lease in the store.
    Lease,
    /// Only the platform's list names it.
    Listed,
    /// Missed heartbeats.
    Silence,
    /// Missed heartbeats while its lease is valid: the link has failed.
    Unreachable,
    /// At least half of the VMs are silent: the local VM is the isolated one.
    Isolated,
    /// Its lease has ended and no heartbeat was ever received.
    LeaseGone,
    /// Missed heartbeats, and its lease has ended.
    SilentAndGone,
    /// The platform no longer lists it: it was destroyed.
    Delisted,
    /// The platform has announced its removal.
    Announced,
    /// The operators' configuration file no longer names it.
    Withdrawn,
    /// It reports that it is shutting down.
    Draining,
}

/// State of a VM at one point in time.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Failure domain, as last reported by any source.
    pub domain: id::Domain,
    /// Whether it accepts work.
    pub state: State,
    /// Reason for the state.
    pub cause: Cause,
}

/// All VMs as seen by the local VM. Times are those of its monotonic clock.
///
/// ```
/// use std::time::Duration;
/// use mangotray::{member, store};
/// let mut view = member::View::new("entry-1".into(), "patan-hall".into());
/// let listing = store::Listing {
///     vm: "entry-2".into(),
///     domain: "kirtipur-hall".into(),
///     leaving: true,
/// };
/// view.record_list(&[listing], Duration::ZERO);
/// view.record_list(&[], Duration::from_secs(60));
/// let members = view.members(Duration::from_secs(60));
/// assert_eq!(members[0].state, member::State::Live);
/// assert_eq!(members[1].state, member::State::Leaving);
/// ```
#[derive(Debug)]
pub struct View {
    vm: id::Vm,
    records: collections::BTreeMap<id::Vm, evidence::Evidence>,
    declared_vms: Vec<id::Vm>,
}

impl View {
    /// Creates a view that contains only the local VM.
    ///
    /// ```
    /// use std::time::Duration;
    /// let view = mangotray::member::View::new("entry-1".into(), "patan-hall".into());
    /// assert_eq!(view.members(Duration::ZERO).len(), 1);
    /// ```
    #[must_use]
    pub fn new(vm: id::Vm, domain: id::Domain) -> Self {
        let own = evidence::Evidence::new(domain);
        Self {
            records: [(vm.clone(), own)].into(),
            vm,
            declared_vms: Vec::new(),
        }
    }

    /// Records the platform's list as read at `now`. An empty list is ignored.
    pub fn record_list(&mut self, list: &[store::Listing], now: id::Time) {
        if list.is_empty() {
            return;
        }
        let names: collections::HashSet<&id::Vm> = list.iter().map(|listing| &listing.vm).collect();
        let absent = self
            .records
            .iter_mut()
            .filter(|(vm, _)| !names.contains(vm));
        for (_, record) in absent {
            record.record_absence(now);
        }
        for listing in list {
            self.record(&listing.vm).record_listing(listing, now);
        }
        let own = self.vm.clone();
        self.records.retain(|vm, record| {
            *vm == own || !record.destroyed(now) || !record.delisted(now, FORGET_AFTER)
        });
    }

    /// Records the VMs that the operators' configuration file names.
    pub fn set_catalog(&mut self, catalog: &catalog::Catalog) {
        self.declared_vms.clone_from(&catalog.vms);
    }

    /// Records all live lease entries as read at `now`. The leases of all other VMs have ended.
    pub fn record_leases(&mut self, heartbeats: &[evidence::Heartbeat], now: id::Time) {
        for record in self.records.values_mut() {
            record.record_lease_end(now);
        }
        for heartbeat in heartbeats {
            self.record(&heartbeat.vm).record_lease(heartbeat, now);
        }
    }

    /// Records a received heartbeat.
    pub fn record_heartbeat(&mut self, heartbeat: &evidence::Heartbeat, now: id::Time) {
        self.record(&heartbeat.vm).record_heartbeat(heartbeat, now);
    }

    /// Records that an expected heartbeat of `vm` was not received.
    pub fn record_missed_heartbeat(&mut self, vm: &id::Vm, now: id::Time) {
        if let Some(record) = self.records.get_mut(vm) {
            record.record_missed_heartbeat(now);
        }
    }

    /// Records that the local VM is shutting down.
    pub fn record_draining(&mut self) {
        let vm = self.vm.clone();
        self.record(&vm).record_draining();
    }

    /// All VMs with their states at `now`, sorted by name.
    #[must_use]
    pub fn members(&self, now: id::Time) -> Vec<Member> {
        self.records
            .iter()
            .map(|(vm, record)| {
                let (state, cause) = self.assess(vm, record, now);
                Member {
                    vm: vm.clone(),
                    domain: record.domain().clone(),
                    state,
                    cause,
                }
            })
            .collect()
    }

    /// VMs from which serving sets are chosen. Suspects are included because they mostly
    /// recover: moving their groups twice would cost more than preferring other VMs meanwhile.
    /// VMs known only from the platform's list are excluded because some may be upstreams.
    #[must_use]
    pub fn candidates(&self, now: id::Time) -> Vec<placement::Candidate> {
        let proxy = |vm: &id::Vm| *vm == self.vm || self.records[vm].runs_proxy();
        self.members(now)
            .into_iter()
            .filter(|member| member.state != State::Dead && proxy(&member.vm))
            .map(|member| placement::Candidate {
                vm: member.vm,
                domain: member.domain,
                leaving: member.state == State::Leaving,
            })
            .collect()
    }

    /// VMs that the platform has destroyed, as input for `share::View::record_destroyed`.
    #[must_use]
    pub fn destroyed(&self, now: id::Time) -> Vec<id::Vm> {
        self.records
            .iter()
            .filter(|(vm, record)| **vm != self.vm && record.destroyed(now))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Whether an upstream gets no new work: the operators' configuration file marks it as
    /// leaving, or the platform has announced the removal of the VM with the upstream's name.
    #[must_use]
    pub fn withdrawn(&self, instance: &database::Instance) -> bool {
        let record = self.records.get(&instance.name);
        instance.leaving || record.is_some_and(evidence::Evidence::removal_announced)
    }

    fn record(&mut self, vm: &id::Vm) -> &mut evidence::Evidence {
        self.records.entry(vm.clone()).or_default()
    }

    fn assess(&self, vm: &id::Vm, record: &evidence::Evidence, now: id::Time) -> (State, Cause) {
        let leaving = self.leaving(vm, record);
        if *vm == self.vm {
            return leaving.unwrap_or((State::Live, Cause::Own));
        }
        self.dead(record, now)
            .or(leaving)
            .or_else(|| self.suspect(record, now))
            .unwrap_or((State::Live, live_cause(record, now)))
    }

    fn leaving(&self, vm: &id::Vm, record: &evidence::Evidence) -> Option<(State, Cause)> {
        let withdrawn = !self.declared_vms.is_empty() && !self.declared_vms.contains(vm);
        let causes = [
            (record.draining(), Cause::Draining),
            (record.removal_announced(), Cause::Announced),
            (withdrawn, Cause::Withdrawn),
        ];
        let cause = causes.into_iter().find(|(holds, _)| *holds);
        cause.map(|(_, cause)| (State::Leaving, cause))
    }

    fn dead(&self, record: &evidence::Evidence, now: id::Time) -> Option<(State, Cause)> {
        if record.destroyed(now) {
            return Some((State::Dead, Cause::Delisted));
        }
        if !record.silent(now, evidence::DEAD_AFTER) || record.has_lease(now) {
            return None;
        }
        if record.lacks_lease(now) {
            return Some((State::Dead, Cause::SilentAndGone));
        }
        (!self.isolated(now)).then_some((State::Dead, Cause::Silence))
    }

    fn suspect(&self, record: &evidence::Evidence, now: id::Time) -> Option<(State, Cause)> {
        let cause = if record.silent(now, SUSPECT_AFTER) {
            match (record.has_lease(now), self.isolated(now)) {
                (true, _) => Cause::Unreachable,
                (false, true) => Cause::Isolated,
                (false, false) => Cause::Silence,
            }
        } else if !record.has_heartbeat() && record.lacks_lease(now) {
            Cause::LeaseGone
        } else {
            return None;
        };
        Some((State::Suspect, cause))
    }

    /// Whether at least half of the VMs that exchange heartbeats with the local VM are silent.
    fn isolated(&self, now: id::Time) -> bool {
        let probed = |record: &&evidence::Evidence| record.is_probed() && !record.destroyed(now);
        let probed: Vec<&evidence::Evidence> = self.records.values().filter(probed).collect();
        let silent = |record: &&&evidence::Evidence| record.silent(now, SUSPECT_AFTER);
        let silent = probed.iter().filter(silent).count();
        silent * 2 >= probed.len()
    }
}

fn live_cause(record: &evidence::Evidence, now: id::Time) -> Cause {
    if record.has_heartbeat() {
        Cause::Heartbeat
    } else if record.has_lease(now) {
        Cause::Lease
    } else {
        Cause::Listed
    }
}

#[cfg(test)]
mod tests;
