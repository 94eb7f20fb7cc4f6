//! What this proxy makes of the rosters and heartbeats that reach it, apart from sockets.
//!
//! Few proxies read the store; the others get the newest roster from them. What goes
//! wrong: a store that comes back empty after an outage, or a list that lags, would strike
//! out proxies that serve. One notices by groups that nobody serves. Hence a proxy that
//! was registered stays until `member::View` holds it for dead.

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

/// Added to the age of a roster that a peer pushes, for its time on the way: one that
/// looked fresher with each hop could go round for ever.
const TRANSIT_ALLOWANCE: time::Duration = time::Duration::from_millis(100);

/// Time between two reads in place of a silent watcher, for each proxy: a fleet cut to
/// pieces, in which each reads for itself, makes 50 reads a second, whatever its size.
const FALLBACK_INTERVAL_PER_PROXY: time::Duration = time::Duration::from_millis(20);

/// The newest roster, and the proxies that may be alive.
pub struct Tracker {
    vm: id::Vm,
    view: member::View,
    /// When the read was started that gave the newest roster.
    read_at: Option<id::Time>,
    /// When this proxy last set out to read the store.
    attempted_at: id::Time,
    checksum: roster::Checksum,
    newest: roster::Roster,
    /// Newest registration of each proxy that is not held for dead.
    known: collections::BTreeMap<id::Vm, enrol::Record>,
}

impl Tracker {
    /// A tracker that knows only its own VM.
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
            known: collections::BTreeMap::new(),
        }
    }

    /// Whether this proxy reads the store now.
    #[must_use]
    pub fn due(&self, now: id::Time) -> bool {
        let live = self.live(now);
        let waited = now.saturating_sub(self.attempted_at);
        let fallback_interval =
            FALLBACK_INTERVAL_PER_PROXY * u32::try_from(live.len()).unwrap_or(u32::MAX);
        due(&self.vm, &live, self.read_at, self.attempted_at, now)
            || (waited >= fallback_interval && self.watches(now))
    }

    /// Whether this proxy watches the store, for itself or in place of a silent one.
    #[must_use]
    pub fn watches(&self, now: id::Time) -> bool {
        let suspects = self.suspects(now);
        let mut responsive = self.live(now);
        responsive.retain(|vm| !suspects.contains(vm));
        spread::watchers(&responsive).contains(&self.vm)
    }

    /// Notes that this proxy sets out to read the store.
    pub fn trying(&mut self, now: id::Time) {
        self.attempted_at = now;
    }

    /// The platform's list of the newest roster, for when the list cannot be read.
    #[must_use]
    pub fn newest(&self) -> &roster::Roster {
        &self.newest
    }

    /// Takes in a roster whose read was started at that time; true if its content is new.
    pub fn take(&mut self, roster: roster::Roster, read: id::Time) -> bool {
        if self.read_at.is_some_and(|known| read <= known) {
            return false;
        }
        let checksum = roster.checksum();
        let fresh = self.read_at.is_none() || checksum != self.checksum;
        self.read_at = Some(read);
        self.checksum = checksum;
        self.newest = roster;
        self.confirm(read);
        fresh
    }

    /// Takes in a peer's answer to a question asked at that time; true if it brought a
    /// roster of new content.
    pub fn update(&mut self, update: roster::Update, asked: id::Time) -> bool {
        let Some(read) = asked.checked_sub(update.mark.age) else {
            // From before this process: as old as can be told.
            return self.read_at.is_none() && self.apply(update, id::Time::ZERO);
        };
        self.apply(update, read)
    }

    /// Takes in a roster that a peer pushed; true if its content is new.
    pub fn pushed(&mut self, update: roster::Update, now: id::Time) -> bool {
        self.update(update, now.saturating_sub(TRANSIT_ALLOWANCE))
    }

    fn apply(&mut self, update: roster::Update, read: id::Time) -> bool {
        if let Some(content) = update.content {
            return self.take(content, read);
        }
        let same = self.read_at.is_some() && update.mark.checksum == self.checksum;
        if same && self.read_at < Some(read) {
            self.read_at = Some(read);
            self.confirm(read);
        }
        false
    }

    /// Takes in what the newest roster proves at the time of its read.
    fn confirm(&mut self, read: id::Time) {
        let others = self.newest.records.values();
        // The own record may be of an earlier process on this VM.
        let others = others.filter(|record| record.vm != self.vm);
        let signs: Vec<evidence::Sign> = others.map(enrol::Record::sign).collect();
        self.view.leases(&signs, read);
        self.view.listed(&self.newest.listings, read);
        let records = self.newest.records.iter();
        self.known
            .extend(records.map(|(vm, record)| (vm.clone(), record.clone())));
    }

    /// Which roster is held.
    #[must_use]
    pub fn mark(&self, now: id::Time) -> Option<roster::Mark> {
        self.read_at.map(|read| roster::Mark {
            age: now.saturating_sub(read),
            checksum: self.checksum,
        })
    }

    /// What a peer that holds that roster lacks.
    #[must_use]
    pub fn answer(&self, peer: Option<roster::Mark>, now: id::Time) -> Option<roster::Update> {
        let mark = self.mark(now)?;
        if peer.is_some_and(|peer| peer.age <= mark.age) {
            return None;
        }
        let same = peer.is_some_and(|peer| peer.checksum == mark.checksum);
        let content = (!same).then(|| self.newest.clone());
        Some(roster::Update { mark, content })
    }

    /// Takes in a heartbeat.
    pub fn heard(&mut self, sign: &evidence::Sign, now: id::Time) {
        if sign.vm != self.vm {
            self.view.heard(sign, now);
        }
    }

    /// Notes that a proxy did not answer.
    pub fn missed(&mut self, vm: &id::Vm, now: id::Time) {
        self.view.missed(vm, now);
    }

    /// Takes in the operators' file.
    pub fn declared(&mut self, catalog: &catalog::Catalog) {
        self.view.declared(catalog);
    }

    /// Notes that this VM itself shuts down.
    pub fn drain(&mut self) {
        self.view.drain();
    }

    /// Proxies that may be alive, this one among them, by name.
    #[must_use]
    pub fn live(&self, now: id::Time) -> Vec<id::Vm> {
        let dead = self.in_state(now, member::State::Dead);
        let mut live: Vec<id::Vm> = self.known.keys().cloned().collect();
        live.retain(|vm| !dead.contains(vm) && *vm != self.vm);
        live.push(self.vm.clone());
        live.sort_unstable();
        live
    }

    /// Registered proxies that are silent or whose lease is gone; to be asked again soon.
    #[must_use]
    pub fn suspects(&self, now: id::Time) -> Vec<id::Vm> {
        let suspects = self.in_state(now, member::State::Suspect).into_iter();
        suspects.filter(|vm| self.known.contains_key(vm)).collect()
    }

    /// The proxies that may be alive, with their registrations.
    pub fn roster(&mut self, now: id::Time) -> roster::Roster {
        let dead = self.in_state(now, member::State::Dead);
        let registered = &self.newest.records;
        self.known
            .retain(|vm, _| !dead.contains(vm) || registered.contains_key(vm));
        let mut records = self.known.clone();
        records.retain(|vm, _| !dead.contains(vm));
        roster::Roster {
            records,
            listings: self.newest.listings.clone(),
        }
    }

    /// Proxies to choose serving sets from. Only who was registered counts: one that
    /// started while the store is out can get no seats, and must not take them from others.
    ///
    /// A list that says of all of them that they leave would empty the fleet; until others
    /// have come, those that still run go on.
    #[must_use]
    pub fn candidates(&self, now: id::Time) -> Vec<placement::Candidate> {
        let mut candidates = self.view.candidates(now);
        candidates.retain(|candidate| self.known.contains_key(&candidate.vm));
        if candidates.iter().all(|candidate| candidate.leaving) {
            let announced = self.announced_leaving(now);
            for candidate in &mut candidates {
                candidate.leaving = !announced.contains(&candidate.vm);
            }
        }
        candidates
    }

    /// Proxies that leave for no other reason than that the platform says so.
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

/// Whether a proxy reads the roster from the store: it is one of the few that always do,
/// or nobody that it hears of has for long.
///
/// ```
/// use std::time::Duration;
/// use mangotray::{spread, tracker};
/// let live: Vec<_> = ["a", "b", "c", "d"].map(Into::into).into();
/// let read = Some(Duration::ZERO);
/// let reads = |now| {
///     let due = |vm: &&_| tracker::due(vm, &live, read, Duration::ZERO, now);
///     live.iter().filter(due).count()
/// };
/// assert_eq!(reads(spread::SILENCE / 2), 3);
/// assert_eq!(reads(spread::SILENCE * 2), 4);
/// ```
#[must_use]
pub fn due(
    vm: &id::Vm,
    live: &[id::Vm],
    read_at: Option<id::Time>,
    attempted_at: id::Time,
    now: id::Time,
) -> bool {
    let Some(read_at) = read_at else {
        return true;
    };
    spread::watchers(live).contains(vm) || spread::silent(vm, read_at.max(attempted_at), now)
}

#[cfg(test)]
mod tests;
