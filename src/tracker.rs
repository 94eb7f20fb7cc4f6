//! Tracks the live proxies from the rosters and heartbeats that reach this one. Does no I/O.
//!
//! A few proxies read the roster from the store; the others receive it from their peers.
//! A store that comes back empty after an outage, or a list that lags, must not remove
//! proxies that still serve, since their groups would be left unserved. A registered proxy
//! is therefore kept until `member::View` reports it dead.

use std::collections;
use std::time;

use crate::catalog;
use crate::enrol;
use crate::evidence;
use crate::id;
use crate::member;
use crate::placement;
use crate::roster;
use crate::spread;

/// Added to the age of a roster pushed by a peer, to account for network delay. Without it
/// a roster would appear fresher with each hop and could circulate forever.
const TRANSIT_ALLOWANCE: time::Duration = time::Duration::from_millis(100);

/// Interval between reads in place of a silent watcher, multiplied by the number of live
/// proxies. Limits a partitioned fleet, in which every proxy reads for itself, to 50 reads
/// per second regardless of its size.
const FALLBACK_INTERVAL_PER_PROXY: time::Duration = time::Duration::from_millis(20);

/// The newest roster and the proxies that may be alive.
pub struct Tracker {
    vm: id::Vm,
    view: member::View,
    /// Start of the read that returned the newest roster.
    read_at: Option<id::Time>,
    /// Start of the last attempt of this proxy to read the store.
    attempted_at: id::Time,
    checksum: roster::Checksum,
    newest: roster::Roster,
    /// Newest registration of each proxy that is not considered dead.
    registrations: collections::BTreeMap<id::Vm, enrol::Record>,
}

impl Tracker {
    /// Creates a tracker that knows only its own VM.
    ///
    /// ```
    /// use std::time::Duration;
    /// let tracker = mangotray::tracker::Tracker::new("a".into(), "d".into(), Duration::ZERO);
    /// assert_eq!(tracker.live(Duration::ZERO), ["a"]);
    /// ```
    #[must_use]
    pub fn new(vm: id::Vm, domain: id::Domain, now: id::Time) -> Self {
        Self {
            view: member::View::new(vm.clone(), domain),
            vm,
            read_at: None,
            attempted_at: now,
            checksum: 0,
            newest: roster::Roster::default(),
            registrations: collections::BTreeMap::new(),
        }
    }

    /// Whether this proxy should read the store now.
    #[must_use]
    pub fn should_read(&self, now: id::Time) -> bool {
        let live = self.live(now);
        let waited = now.saturating_sub(self.attempted_at);
        let fallback_interval =
            FALLBACK_INTERVAL_PER_PROXY * u32::try_from(live.len()).unwrap_or(u32::MAX);
        should_read(&self.vm, &live, self.read_at, self.attempted_at, now)
            || (waited >= fallback_interval && self.watches(now))
    }

    /// Whether this proxy watches the store, as a regular watcher or in place of a silent one.
    #[must_use]
    pub fn watches(&self, now: id::Time) -> bool {
        let suspects = self.suspects(now);
        let mut responsive = self.live(now);
        responsive.retain(|vm| !suspects.contains(vm));
        spread::watchers(&responsive).contains(&self.vm)
    }

    /// Records that this proxy starts to read the store.
    pub fn record_read_attempt(&mut self, now: id::Time) {
        self.attempted_at = now;
    }

    /// The newest roster; its listings stand in when the platform's list cannot be read.
    #[must_use]
    pub fn newest(&self) -> &roster::Roster {
        &self.newest
    }

    /// Applies a roster whose read started at `read`; returns true if its content is new.
    pub fn apply_roster(&mut self, roster: roster::Roster, read: id::Time) -> bool {
        if self.read_at.is_some_and(|known| read <= known) {
            return false;
        }
        let checksum = roster.checksum();
        let fresh = self.read_at.is_none() || checksum != self.checksum;
        self.read_at = Some(read);
        self.checksum = checksum;
        self.newest = roster;
        self.apply_newest(read);
        fresh
    }

    /// Applies a peer's answer to a request sent at `asked`; returns true if it contained a
    /// roster with new content.
    pub fn apply_update(&mut self, update: roster::Update, asked: id::Time) -> bool {
        let Some(read) = asked.checked_sub(update.mark.age) else {
            // The read predates this process, so it gets the earliest time possible.
            return self.read_at.is_none() && self.apply(update, id::Time::ZERO);
        };
        self.apply(update, read)
    }

    /// Applies a roster pushed by a peer; returns true if its content is new.
    pub fn apply_push(&mut self, update: roster::Update, now: id::Time) -> bool {
        self.apply_update(update, now.saturating_sub(TRANSIT_ALLOWANCE))
    }

    fn apply(&mut self, update: roster::Update, read: id::Time) -> bool {
        if let Some(content) = update.content {
            return self.apply_roster(content, read);
        }
        let same = self.read_at.is_some() && update.mark.checksum == self.checksum;
        if same && self.read_at < Some(read) {
            self.read_at = Some(read);
            self.apply_newest(read);
        }
        false
    }

    /// Updates the view and the registrations from the newest roster, read at `read`.
    fn apply_newest(&mut self, read: id::Time) {
        let others = self.newest.records.values();
        // This VM's own record may belong to an earlier process.
        let others = others.filter(|record| record.vm != self.vm);
        let heartbeats: Vec<evidence::Heartbeat> = others.map(enrol::Record::heartbeat).collect();
        self.view.record_leases(&heartbeats, read);
        self.view.record_list(&self.newest.listings, read);
        let records = self.newest.records.iter();
        self.registrations
            .extend(records.map(|(vm, record)| (vm.clone(), record.clone())));
    }

    /// Age and checksum of the current roster; `None` before the first one.
    #[must_use]
    pub fn digest(&self, now: id::Time) -> Option<roster::Digest> {
        self.read_at.map(|read| roster::Digest {
            age: now.saturating_sub(read),
            checksum: self.checksum,
        })
    }

    /// The update for a peer with the roster `peer`; `None` if it is at least as fresh. Omits
    /// the content when the checksums match.
    #[must_use]
    pub fn update_for(
        &self,
        peer: Option<roster::Digest>,
        now: id::Time,
    ) -> Option<roster::Update> {
        let mark = self.digest(now)?;
        if peer.is_some_and(|peer| peer.age <= mark.age) {
            return None;
        }
        let same = peer.is_some_and(|peer| peer.checksum == mark.checksum);
        let content = (!same).then(|| self.newest.clone());
        Some(roster::Update { mark, content })
    }

    /// Applies a heartbeat of another proxy.
    pub fn record_heartbeat(&mut self, heartbeat: &evidence::Heartbeat, now: id::Time) {
        if heartbeat.vm != self.vm {
            self.view.record_heartbeat(heartbeat, now);
        }
    }

    /// Records that a proxy did not answer.
    pub fn record_missed_heartbeat(&mut self, vm: &id::Vm, now: id::Time) {
        self.view.record_missed_heartbeat(vm, now);
    }

    /// Applies the operators' configuration.
    pub fn set_catalog(&mut self, catalog: &catalog::Catalog) {
        self.view.set_catalog(catalog);
    }

    /// Records that this VM is shutting down.
    pub fn record_draining(&mut self) {
        self.view.record_draining();
    }

    /// Proxies that may be alive, including this one, sorted by name.
    #[must_use]
    pub fn live(&self, now: id::Time) -> Vec<id::Vm> {
        let dead = self.in_state(now, member::State::Dead);
        let mut live: Vec<id::Vm> = self.registrations.keys().cloned().collect();
        live.retain(|vm| !dead.contains(vm) && *vm != self.vm);
        live.push(self.vm.clone());
        live.sort_unstable();
        live
    }

    /// Registered proxies that are silent or have lost their lease; they are probed again soon.
    #[must_use]
    pub fn suspects(&self, now: id::Time) -> Vec<id::Vm> {
        let suspects = self.in_state(now, member::State::Suspect).into_iter();
        suspects
            .filter(|vm| self.registrations.contains_key(vm))
            .collect()
    }

    /// The proxies that may be alive, with their registrations. Drops dead proxies that are no
    /// longer registered.
    pub fn roster(&mut self, now: id::Time) -> roster::Roster {
        let dead = self.in_state(now, member::State::Dead);
        let registered = &self.newest.records;
        self.registrations
            .retain(|vm, _| !dead.contains(vm) || registered.contains_key(vm));
        let mut records = self.registrations.clone();
        records.retain(|vm, _| !dead.contains(vm));
        roster::Roster {
            records,
            listings: self.newest.listings.clone(),
        }
    }

    /// Proxies from which serving sets are chosen. Unregistered proxies are excluded: a proxy
    /// that starts during an outage of the store can get no seats and must not displace others.
    ///
    /// When every candidate is leaving, those that leave only because the platform announced it
    /// keep serving until replacements have registered.
    #[must_use]
    pub fn candidates(&self, now: id::Time) -> Vec<placement::Candidate> {
        let mut candidates = self.view.candidates(now);
        candidates.retain(|candidate| self.registrations.contains_key(&candidate.vm));
        if candidates.iter().all(|candidate| candidate.leaving) {
            let announced = self.announced_leaving(now);
            for candidate in &mut candidates {
                candidate.leaving = !announced.contains(&candidate.vm);
            }
        }
        candidates
    }

    /// Proxies whose only reason to leave is the platform's announcement.
    fn announced_leaving(&self, now: id::Time) -> collections::BTreeSet<id::Vm> {
        let members = self.view.members(now).into_iter();
        members
            .filter(|member| member.cause == member::Cause::Announced)
            .map(|member| member.vm)
            .collect()
    }

    fn in_state(&self, now: id::Time, state: member::State) -> collections::BTreeSet<id::Vm> {
        let members = self.view.members(now).into_iter();
        members
            .filter(|member| member.state == state)
            .map(|member| member.vm)
            .collect()
    }
}

/// Whether a proxy should read the roster from the store: it has no roster yet, it is one of
/// the watchers, or its roster and its last attempt are both old.
///
/// ```
/// use std::time::Duration;
/// use mangotray::{spread, tracker};
/// let live: Vec<_> = ["a", "b", "c", "d"].map(Into::into).into();
/// let read = Some(Duration::ZERO);
/// let reads = |now| {
///     let due = |vm: &&_| tracker::should_read(vm, &live, read, Duration::ZERO, now);
///     live.iter().filter(due).count()
/// };
/// assert_eq!(reads(spread::MAX_STORE_SILENCE / 2), 3);
/// assert_eq!(reads(spread::MAX_STORE_SILENCE * 2), 4);
/// ```
#[must_use]
pub fn should_read(
    vm: &id::Vm,
    live: &[id::Vm],
    read_at: Option<id::Time>,
    attempted_at: id::Time,
    now: id::Time,
) -> bool {
    let Some(read_at) = read_at else {
        return true;
    };
    spread::watchers(live).contains(vm) || spread::should_read(vm, read_at.max(attempted_at), now)
}

#[cfg(test)]
mod tests;
