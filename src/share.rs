//! Ownership of the seats of one database group: each VM decides on its own which seats it
//! may use, so that a seat never has two users.
//!
//! Let `end` be the earliest time at which the owner's lease may have ended, and let `reach`
//! be `guard` reduced by the maximum clock drift.
//!
//! - The owner uses a seat until `end`. After `end`, it uses the seat at a time `t` only while
//!   a majority of the seat's witnesses had no contact with the store between `end` and
//!   `t - reach`.
//! - A claimant that found the lease ended waits until all but a minority of the same witnesses
//!   had contact with the store after that. It then writes itself into the record by
//!   compare-and-swap and waits for `guard` before it uses the seat.
//!
//! For both to use the seat, at least one witness would have to have had contact and no contact
//! in the same period, which is impossible. A seat that its owner returned has no user and may
//! be used at once.

use std::collections;

use crate::grant;
use crate::id;
use crate::seat;
use crate::store;
use crate::suspect;
use crate::witness;

/// Next step for the record of a group's seats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing until the next call.
    Idle,
    /// Store `seats` if the record's version is still `expect`, then read the record again,
    /// whatever the outcome.
    Propose {
        /// Version of the record that the proposal is based on.
        expect: store::Version,
        /// The complete new record.
        seats: Vec<seat::Seat>,
    },
    /// Check at the store whether this owner's lease has ended; if so, call
    /// [`View::record_lease_end`].
    Check {
        /// Entry of the owner to check.
        owner: seat::Seat,
    },
    /// Start no new work on the seat; call [`View::record_drained`] when its connections are
    /// closed.
    Drain {
        /// The seat to return.
        seat: seat::Index,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Held,
    Draining,
    /// No longer used by this VM; the record still names it as the owner.
    Drained,
}

#[derive(Clone, Debug)]
struct OwnSeat {
    usable_from: id::Time,
    phase: Phase,
}

/// A proposal that may take effect at the store, including one whose call got no answer.
#[derive(Clone, Debug)]
struct Proposal {
    entry: seat::Seat,
    usable_from: id::Time,
}

/// One VM's view of the seats of one group. All times are from this VM's monotonic clock.
///
/// ```
/// use std::time::Duration;
/// use mangotray::{grant, share};
/// let limits = grant::Limits::default();
/// let grants = [grant::Grant::new("l1".into(), Duration::ZERO, limits.clone())];
/// let mut view = share::View::new("entry-1".into(), 7, 3, limits);
/// view.apply_record(0, Vec::new(), Duration::ZERO);
/// let step = view.next_step(Duration::ZERO, 1, &[], &"l1".into());
/// let share::Step::Propose { seats, .. } = step else { panic!("no proposal") };
/// view.apply_record(1, seats, Duration::ZERO);
/// let until = view.usable_until(0, Duration::ZERO, &grants);
/// assert_eq!(until, Some(Duration::from_millis(9_300)));
/// ```
#[derive(Debug)]
pub struct View {
    vm: id::Vm,
    incarnation: id::Incarnation,
    seat_count: usize,
    limits: grant::Limits,
    version: Option<store::Version>,
    record: Vec<seat::Seat>,
    own_seats: collections::BTreeMap<seat::Index, OwnSeat>,
    proposals: Vec<Proposal>,
    suspects: collections::HashMap<store::Lease, suspect::Suspect>,
}

impl View {
    /// Creates the view of a group with `seat_count` seats, before the first read of the record.
    ///
    /// ```
    /// let limits = mangotray::grant::Limits::default();
    /// let view = mangotray::share::View::new("entry-1".into(), 7, 3, limits);
    /// assert_eq!(view.held_seats().count(), 0);
    /// ```
    #[must_use]
    pub fn new(
        vm: id::Vm,
        incarnation: id::Incarnation,
        seat_count: usize,
        limits: grant::Limits,
    ) -> Self {
        Self {
            vm,
            incarnation,
            seat_count,
            limits,
            version: None,
            record: Vec::new(),
            own_seats: collections::BTreeMap::new(),
            proposals: Vec::new(),
            suspects: collections::HashMap::new(),
        }
    }

    /// Applies a record read from the store; a version older than the known one is ignored.
    pub fn apply_record(
        &mut self,
        version: store::Version,
        record: Vec<seat::Seat>,
        now: id::Time,
    ) {
        if Some(version) < self.version {
            return;
        }
        let own: Vec<seat::Index> = record
            .iter()
            .filter(|entry| self.owns(entry))
            .map(|entry| entry.seat)
            .collect();
        self.own_seats.retain(|seat, _| own.contains(seat));
        for seat in own {
            let usable_from = self.usable_from(seat, now);
            self.own_seats.entry(seat).or_insert(OwnSeat {
                usable_from,
                phase: Phase::Held,
            });
        }
        self.suspects
            .retain(|lease, _| record.iter().any(|entry| entry.lease == *lease));
        if Some(version) != self.version {
            self.proposals.clear();
        }
        self.version = Some(version);
        self.record = record;
    }

    /// Records that another owner's lease was found ended, by an answer received at `answered`.
    pub fn record_lease_end(&mut self, lease: &store::Lease, answered: id::Time) {
        self.suspects
            .entry(lease.clone())
            .or_insert_with(|| suspect::Suspect::new(answered));
    }

    /// Records the report of a witness that was requested at `asked`.
    pub fn record_report(&mut self, vm: &id::Vm, asked: id::Time, report: witness::Report) {
        let Some(contact) = asked.checked_sub(self.limits.stretch(report.silent)) else {
            return;
        };
        if report.contacted {
            for suspect in self.suspects.values_mut() {
                suspect.record_contact(vm, contact);
            }
        }
    }

    /// Records that the platform has destroyed a VM, which will send no further reports. Call it
    /// before each `next_step`: it applies only to the leases that were found ended so far.
    pub fn record_destroyed(&mut self, vm: &id::Vm) {
        for suspect in self.suspects.values_mut() {
            suspect.record_destroyed(vm);
        }
    }

    /// Records that this VM no longer uses a seat for which it got [`Step::Drain`].
    pub fn record_drained(&mut self, seat: seat::Index) {
        if let Some(own_seat) = self.own_seats.get_mut(&seat)
            && own_seat.phase == Phase::Draining
        {
            own_seat.phase = Phase::Drained;
        }
    }

    /// Seats that this VM owns according to the record and is not about to return.
    pub fn held_seats(&self) -> impl Iterator<Item = seat::Index> + '_ {
        self.own_seats
            .iter()
            .filter(|(_, own_seat)| own_seat.phase == Phase::Held)
            .map(|(seat, _)| *seat)
    }

    /// Whether this VM owns no seat, including seats that are still to be returned.
    ///
    /// ```
    /// let limits = mangotray::grant::Limits::default();
    /// assert!(mangotray::share::View::new("entry-1".into(), 7, 3, limits).is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.own_seats.is_empty()
    }

    /// VMs whose reports this view needs; to be polled during an outage of the store and while
    /// another owner's lease has ended.
    #[must_use]
    pub fn witnesses(&self) -> collections::BTreeSet<id::Vm> {
        let proposed = self.proposals.iter().map(|proposal| &proposal.entry);
        self.record
            .iter()
            .filter(|entry| self.owns(entry) || self.suspects.contains_key(&entry.lease))
            .chain(proposed)
            .flat_map(|entry| entry.witnesses.iter().cloned())
            .collect()
    }

    /// Time until which a seat may be used, or `None` if it may not be used at `now`. Its
    /// connections must be closed by then. Call it again after each renewal, report and read.
    #[must_use]
    pub fn usable_until(
        &self,
        seat: seat::Index,
        now: id::Time,
        grants: &[grant::Grant],
    ) -> Option<id::Time> {
        let own_seat = self.own_seats.get(&seat)?;
        if own_seat.phase == Phase::Drained || now < own_seat.usable_from {
            return None;
        }
        // A claimant may have read the known entry or one of the proposed ones, so the seat is
        // usable only as long as all of them allow it.
        let proposed = self.proposals.iter().map(|proposal| &proposal.entry);
        let until = self
            .record
            .iter()
            .chain(proposed)
            .filter(|entry| entry.seat == seat && self.owns(entry))
            .map(|entry| entry_usable_until(entry, grants))
            .min()
            .flatten()?;
        (now < until).then_some(until)
    }

    /// Returns the next step of a VM that should hold `wanted` seats. Its entries are kept up
    /// to date with its newest `lease` and with `witnesses`.
    pub fn next_step(
        &mut self,
        now: id::Time,
        wanted: usize,
        witnesses: &[id::Vm],
        lease: &store::Lease,
    ) -> Step {
        if self.version.is_none() {
            return Step::Idle;
        }
        if let Some(seat) = self.returnable_seat(now) {
            return self.propose_vacant(seat);
        }
        let stale = self.record.iter().find(|entry| {
            self.owns(entry) && (entry.lease != *lease || entry.witnesses != witnesses)
        });
        if let Some(seat) = stale.map(|entry| entry.seat) {
            return self.propose(seat, now, witnesses, lease);
        }
        let held = self.held_seats().count();
        if held > wanted {
            return self.drain();
        }
        if held < wanted {
            return self.claim(now, witnesses, lease);
        }
        Step::Idle
    }

    fn owns(&self, entry: &seat::Seat) -> bool {
        entry.vm == self.vm && entry.incarnation == self.incarnation
    }

    /// Time from which a newly acquired seat may be used. If no proposal for the seat is known,
    /// the full guard interval applies.
    fn usable_from(&self, seat: seat::Index, now: id::Time) -> id::Time {
        self.proposals
            .iter()
            .filter(|proposal| proposal.entry.seat == seat)
            .map(|proposal| proposal.usable_from)
            .max()
            .unwrap_or(now + self.limits.guard)
    }

    /// A drained seat whose guard interval has passed. If it were returned earlier, another VM
    /// would use it at once, while the previous owner may still be using it.
    fn returnable_seat(&self, now: id::Time) -> Option<seat::Index> {
        self.own_seats
            .iter()
            .find(|(_, own_seat)| own_seat.phase == Phase::Drained && own_seat.usable_from <= now)
            .map(|(seat, _)| *seat)
    }

    fn propose_vacant(&self, seat: seat::Index) -> Step {
        let keep = |entry: &&seat::Seat| entry.seat != seat;
        Step::Propose {
            expect: self.version.unwrap_or_default(),
            seats: self.record.iter().filter(keep).cloned().collect(),
        }
    }

    fn drain(&mut self) -> Step {
        let Some(seat) = self.held_seats().max() else {
            return Step::Idle;
        };
        if let Some(own_seat) = self.own_seats.get_mut(&seat) {
            own_seat.phase = Phase::Draining;
        }
        Step::Drain { seat }
    }

    fn claim(&mut self, now: id::Time, witnesses: &[id::Vm], lease: &store::Lease) -> Step {
        let vacant = (0..self.seat_count).find(|seat| self.entry(*seat).is_none());
        if let Some(seat) = vacant {
            return self.propose(seat, now, witnesses, lease);
        }
        let foreign = |entry: &&seat::Seat| !self.owns(entry);
        let lapsed = |entry: &&seat::Seat| {
            let suspect = self.suspects.get(&entry.lease);
            suspect.is_some_and(|suspect| suspect.owner_stops(&entry.witnesses))
        };
        let lapsed = self.record.iter().filter(foreign).find(lapsed);
        if let Some(seat) = lapsed.map(|entry| entry.seat) {
            let usable_from = now + self.limits.guard;
            return self.propose(seat, usable_from, witnesses, lease);
        }
        let unseen = |entry: &&seat::Seat| !self.suspects.contains_key(&entry.lease);
        let unchecked = self.record.iter().filter(foreign).find(unseen);
        unchecked
            .cloned()
            .map_or(Step::Idle, |owner| Step::Check { owner })
    }

    /// Proposes this VM as the owner of a seat. `usable_from` has an effect only if this VM does
    /// not own the seat yet.
    fn propose(
        &mut self,
        seat: seat::Index,
        usable_from: id::Time,
        witnesses: &[id::Vm],
        lease: &store::Lease,
    ) -> Step {
        let entry = seat::Seat {
            seat,
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            lease: lease.clone(),
            witnesses: witnesses.to_vec(),
        };
        self.add_proposal(&entry, usable_from);
        let others = self.record.iter().filter(|other| other.seat != seat);
        Step::Propose {
            expect: self.version.unwrap_or_default(),
            seats: others.cloned().chain([entry]).collect(),
        }
    }

    /// Adds a proposal, or updates an equal one: during an outage the same proposal is repeated
    /// many times and would grow the list.
    fn add_proposal(&mut self, entry: &seat::Seat, usable_from: id::Time) {
        let known = self.proposals.iter_mut().find(|p| p.entry == *entry);
        match known {
            Some(proposal) => proposal.usable_from = proposal.usable_from.max(usable_from),
            None => self.proposals.push(Proposal {
                entry: entry.clone(),
                usable_from,
            }),
        }
    }

    fn entry(&self, seat: seat::Index) -> Option<&seat::Seat> {
        self.record.iter().find(|entry| entry.seat == seat)
    }
}

fn entry_usable_until(entry: &seat::Seat, grants: &[grant::Grant]) -> Option<id::Time> {
    grants
        .iter()
        .find(|grant| *grant.lease() == entry.lease)
        .map(|grant| grant.usable_until(&entry.witnesses))
}

#[cfg(test)]
mod tests;
