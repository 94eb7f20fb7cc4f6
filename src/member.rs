//! View of the VMs, merged from sources that disagree.
//!
//! The platform's list lags and goes out; leases tell whether a VM reaches the store, not
//! whether it reaches us; heartbeats tell about one link. What each can prove:
//!
//! - Whoever says that a VM is leaving is believed at once, for as long as it says so.
//! - A heartbeat proves life. Missing ones prove death only together with a lease that is
//!   gone, or while most other VMs are still heard.
//! - Absence from the list proves that a VM was destroyed only after the list's lag, and
//!   only against silence. An empty list proves nothing: the platform is out.
//!
//! A wrong view costs time, never safety: who may use an instance is settled in `share`.

use std::collections;
use std::time;

use crate::catalog;
use crate::database;
use crate::evidence;
use crate::id;
use crate::placement;
use crate::store;

/// Silence after which other VMs are preferred.
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(1_500);
/// Time after which a destroyed VM is forgotten.
const FORGET_AFTER: time::Duration = time::Duration::from_mins(10);

/// Whether a VM takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes work.
    Live,
    /// Keeps its place in serving sets, but others are preferred.
    Suspect,
    /// Ends what it has and takes no new work.
    Leaving,
    /// Takes no work.
    Dead,
}

/// What a state rests on, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// This VM itself.
    Own,
    /// A heartbeat, and none missed for long.
    Heartbeat,
    /// Its lease at the store.
    Lease,
    /// The platform's list alone.
    Listed,
    /// Missed heartbeats.
    Silence,
    /// Missed heartbeats, though its lease lives: the link is at fault.
    Unreachable,
    /// Most VMs are silent: this VM is the one cut off.
    Isolated,
    /// Its lease is gone, nothing else is known.
    LeaseGone,
    /// Missed heartbeats, and its lease is gone.
    SilentAndGone,
    /// The platform no longer lists it: destroyed.
    Delisted,
    /// The platform has announced that it goes away.
    Announced,
    /// The operators' file no longer names it.
    Withdrawn,
    /// Its own heartbeat says that it shuts down.
    Draining,
}

/// A VM as judged at one moment.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: id::Vm,
    /// Failure domain, as last told by any source.
    pub domain: id::Domain,
    /// Judgement.
    pub state: State,
    /// What it rests on.
    pub cause: Cause,
}

/// All VMs, as seen by one. Times are of its monotonic clock.
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
/// view.listed(&[listing], Duration::ZERO);
/// view.listed(&[], Duration::from_secs(60));
/// let members = view.members(Duration::from_secs(60));
/// assert_eq!(members[0].state, member::State::Live);
/// assert_eq!(members[1].state, member::State::Leaving);
/// ```
#[derive(Debug)]
pub struct View {
    vm: id::Vm,
    records: collections::BTreeMap<id::Vm, evidence::Evidence>,
    declared: Vec<id::Vm>,
}

impl View {
    /// The view of a VM that knows only itself.
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
            declared: Vec::new(),
        }
    }

    /// Takes in the platform's list as read now.
    pub fn listed(&mut self, list: &[store::Listing], now: id::Time) {
        if list.is_empty() {
            return;
        }
        let names: collections::HashSet<&id::Vm> = list.iter().map(|line| &line.vm).collect();
        let absent = self
            .records
            .iter_mut()
            .filter(|(vm, _)| !names.contains(vm));
        for (_, record) in absent {
            record.unlist(now);
        }
        for line in list {
            self.record(&line.vm).list(line, now);
        }
        let own = self.vm.clone();
        self.records.retain(|vm, record| {
            *vm == own || !record.destroyed(now) || !record.delisted(now, FORGET_AFTER)
        });
    }

    /// Takes in the operators' file.
    pub fn declared(&mut self, catalog: &catalog::Catalog) {
        self.declared.clone_from(&catalog.vms);
    }

    /// Takes in all live lease entries, as read now. Entries that are missing are gone.
    pub fn leases(&mut self, signs: &[evidence::Sign], now: id::Time) {
        for record in self.records.values_mut() {
            record.lease_ended(now);
        }
        for sign in signs {
            self.record(&sign.vm).lease_seen(sign, now);
        }
    }

    /// Takes in a heartbeat.
    pub fn heard(&mut self, sign: &evidence::Sign, now: id::Time) {
        self.record(&sign.vm).hear(sign, now);
    }

    /// Notes that a heartbeat of this VM was due and did not come.
    pub fn missed(&mut self, vm: &id::Vm, now: id::Time) {
        if let Some(record) = self.records.get_mut(vm) {
            record.miss(now);
        }
    }

    /// Notes that this VM itself shuts down.
    pub fn drain(&mut self) {
        let vm = self.vm.clone();
        self.record(&vm).drain();
    }

    /// All VMs with their states, by name.
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

    /// VMs to choose serving sets from. Suspects stay, as they mostly come back: moving
    /// their groups twice would cost more than preferring others meanwhile. VMs that only
    /// the platform has told of do not count: upstreams may be among them.
    #[must_use]
    pub fn candidates(&self, now: id::Time) -> Vec<placement::Candidate> {
        let proxy = |vm: &id::Vm| *vm == self.vm || self.records[vm].signed();
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

    /// VMs that the platform has destroyed, for `share::Book::destroyed`.
    #[must_use]
    pub fn destroyed(&self, now: id::Time) -> Vec<id::Vm> {
        self.records
            .iter()
            .filter(|(vm, record)| **vm != self.vm && record.destroyed(now))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Whether an upstream gets no new work: the operators' file marks it, or the platform
    /// announces that the VM of its name goes away.
    #[must_use]
    pub fn withdrawn(&self, instance: &database::Instance) -> bool {
        let record = self.records.get(&instance.name);
        instance.leaving || record.is_some_and(evidence::Evidence::announced)
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
        let withdrawn = !self.declared.is_empty() && !self.declared.contains(vm);
        let causes = [
            (record.draining(), Cause::Draining),
            (record.announced(), Cause::Announced),
            (withdrawn, Cause::Withdrawn),
        ];
        let cause = causes.into_iter().find(|(holds, _)| *holds);
        cause.map(|(_, cause)| (State::Leaving, cause))
    }

    fn dead(&self, record: &evidence::Evidence, now: id::Time) -> Option<(State, Cause)> {
        if record.destroyed(now) {
            return Some((State::Dead, Cause::Delisted));
        }
        if !record.silent(now, evidence::DEAD_AFTER) || record.leased(now) {
            return None;
        }
        if record.lease_gone(now) {
            return Some((State::Dead, Cause::SilentAndGone));
        }
        (!self.isolated(now)).then_some((State::Dead, Cause::Silence))
    }

    fn suspect(&self, record: &evidence::Evidence, now: id::Time) -> Option<(State, Cause)> {
        let cause = if record.silent(now, SUSPECT_AFTER) {
            match (record.leased(now), self.isolated(now)) {
                (true, _) => Cause::Unreachable,
                (false, true) => Cause::Isolated,
                (false, false) => Cause::Silence,
            }
        } else if !record.heard() && record.lease_gone(now) {
            Cause::LeaseGone
        } else {
            return None;
        };
        Some((State::Suspect, cause))
    }

    /// Whether at least half of the VMs that heartbeats are exchanged with are silent.
    fn isolated(&self, now: id::Time) -> bool {
        let probed = |record: &&evidence::Evidence| record.probed() && !record.destroyed(now);
        let probed: Vec<&evidence::Evidence> = self.records.values().filter(probed).collect();
        let silent = |record: &&&evidence::Evidence| record.silent(now, SUSPECT_AFTER);
        let silent = probed.iter().filter(silent).count();
        silent * 2 >= probed.len()
    }
}

fn live_cause(record: &evidence::Evidence, now: id::Time) -> Cause {
    if record.heard() {
        Cause::Heartbeat
    } else if record.leased(now) {
        Cause::Lease
    } else {
        Cause::Listed
    }
}

#[cfg(test)]
mod tests;
