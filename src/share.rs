//! Who may use the seats of one database group, decided by each VM for itself.
//!
//! Safety, in short. Let `end` be the earliest moment at which the owner's lease may have
//! ended, and `reach` shorter than `guard` by the clocks' drift.
//!
//! - The owner uses a seat until `end`, and after it at a time `t` only while a majority
//!   of the seat's witnesses had no contact with the store between `end` and `t - reach`.
//! - A claimant that has seen the lease gone waits until all but a minority of the same
//!   witnesses had contact after that, then writes itself into the record by
//!   compare-and-swap, then waits for `guard` before it uses the seat.
//!
//! Both would need one witness that had contact and had none. A seat that its owner gave
//! back has no user, and may be used at once.

use std::collections;

use crate::grant;
use crate::id;
use crate::seat;
use crate::store;
use crate::suspect;
use crate::witness;

/// What to do next about the record of a group's seats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing for now.
    Idle,
    /// Store `seats` if the record's version is still `expect`, then read it again,
    /// whatever the answer.
    Propose {
        /// Version that the proposal rests on.
        expect: store::Version,
        /// The whole record.
        seats: Vec<seat::Seat>,
    },
    /// Look at the store whether this owner's lease is gone, then tell `gone`.
    Check {
        /// The owner's entry.
        owner: seat::Seat,
    },
    /// Start no new work on the seat; tell `drained` when its connections are closed.
    Drain {
        /// The seat to give back.
        seat: seat::Index,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Held,
    Draining,
    /// Surely unused; the record is yet to say so.
    Drained,
}

#[derive(Clone, Debug)]
struct OwnSeat {
    usable_from: id::Time,
    stage: Stage,
}

/// A proposal that may still be stored, even after a call without an answer.
#[derive(Clone, Debug)]
struct Proposal {
    entry: seat::Seat,
    usable_from: id::Time,
}

/// One VM's view of the seats of one group. Times are of this VM's monotonic clock.
///
/// ```
/// use std::time::Duration;
/// use mangotray::{grant, share};
/// let limits = grant::Limits::default();
/// let grants = [grant::Grant::new("l1".into(), Duration::ZERO, limits.clone())];
/// let mut book = share::Book::new("entry-1".into(), 7, 3, limits);
/// book.read(0, Vec::new(), Duration::ZERO);
/// let step = book.decide(Duration::ZERO, 1, &[], &"l1".into());
/// let share::Step::Propose { seats, .. } = step else { panic!("no proposal") };
/// book.read(1, seats, Duration::ZERO);
/// let until = book.until(0, Duration::ZERO, &grants);
/// assert_eq!(until, Some(Duration::from_millis(9_300)));
/// ```
#[derive(Debug)]
pub struct Book {
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

impl Book {
    /// A book of a group with so many seats, before the first read.
    ///
    /// ```
    /// let limits = mangotray::grant::Limits::default();
    /// let book = mangotray::share::Book::new("entry-1".into(), 7, 3, limits);
    /// assert_eq!(book.held().count(), 0);
    /// ```
    #[must_use]
    pub fn new(
        vm: id::Vm,
        incarnation: id::Incarnation,
        seats: usize,
        limits: grant::Limits,
    ) -> Self {
        Self {
            vm,
            incarnation,
            seat_count: seats,
            limits,
            version: None,
            record: Vec::new(),
            own_seats: collections::BTreeMap::new(),
            proposals: Vec::new(),
            suspects: collections::HashMap::new(),
        }
    }

    /// Takes in the record as read; an answer that was overtaken is dropped.
    pub fn read(&mut self, version: store::Version, record: Vec<seat::Seat>, now: id::Time) {
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
                stage: Stage::Held,
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

    /// Notes that a foreign owner's lease was found gone by an answer received now.
    pub fn gone(&mut self, lease: &store::Lease, answered: id::Time) {
        self.suspects
            .entry(lease.clone())
            .or_insert_with(|| suspect::Suspect::new(answered));
    }

    /// Notes a witness's testimony, asked for at `asked`.
    pub fn report(&mut self, vm: &id::Vm, asked: id::Time, report: witness::Report) {
        let Some(contact) = asked.checked_sub(self.limits.stretch(report.silent)) else {
            return;
        };
        if report.contacted {
            for suspect in self.suspects.values_mut() {
                suspect.contact(vm, contact);
            }
        }
    }

    /// Notes that the platform has destroyed a VM; it will never testify again. Tell it
    /// before each `decide`, as it counts for the leases seen gone so far.
    pub fn destroyed(&mut self, vm: &id::Vm) {
        for suspect in self.suspects.values_mut() {
            suspect.destroyed(vm);
        }
    }

    /// Notes that nothing of this VM uses a seat any more that was to be drained.
    pub fn drained(&mut self, seat: seat::Index) {
        if let Some(own_seat) = self.own_seats.get_mut(&seat)
            && own_seat.stage == Stage::Draining
        {
            own_seat.stage = Stage::Drained;
        }
    }

    /// Seats that the record gives to this VM and that it does not mean to give back.
    pub fn held(&self) -> impl Iterator<Item = seat::Index> + '_ {
        self.own_seats
            .iter()
            .filter(|(_, own_seat)| own_seat.stage == Stage::Held)
            .map(|(seat, _)| *seat)
    }

    /// Whether no seat is this VM's in any way, also none that is yet to be given back.
    ///
    /// ```
    /// let limits = mangotray::grant::Limits::default();
    /// assert!(mangotray::share::Book::new("entry-1".into(), 7, 3, limits).is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.own_seats.is_empty()
    }

    /// VMs whose testimony matters to this book, to be asked while an outage lasts or
    /// a lease is gone.
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

    /// Until when a seat may be used, or `None` when it may not be used now. By then its
    /// connections must be closed; ask again after each renewal, report and read.
    #[must_use]
    pub fn until(
        &self,
        seat: seat::Index,
        now: id::Time,
        grants: &[grant::Grant],
    ) -> Option<id::Time> {
        let own_seat = self.own_seats.get(&seat)?;
        if own_seat.stage == Stage::Drained || now < own_seat.usable_from {
            return None;
        }
        // A claimant may go by the entry as known or by one that is being stored.
        let proposed = self.proposals.iter().map(|proposal| &proposal.entry);
        let until = self
            .record
            .iter()
            .chain(proposed)
            .filter(|entry| entry.seat == seat && self.owns(entry))
            .map(|entry| usable_until(entry, grants))
            .min()
            .flatten()?;
        (now < until).then_some(until)
    }

    /// The next step of a VM that should hold `wanted` seats, under its newest `lease`
    /// and with these witnesses for what it holds.
    pub fn decide(
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
        let held = self.held().count();
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

    /// When a seat that has just become this VM's may be used. A proposal that nobody
    /// remembers gets the whole guard interval.
    fn usable_from(&self, seat: seat::Index, now: id::Time) -> id::Time {
        self.proposals
            .iter()
            .filter(|proposal| proposal.entry.seat == seat)
            .map(|proposal| proposal.usable_from)
            .max()
            .unwrap_or(now + self.limits.guard)
    }

    /// A drained seat whose guard interval has passed. Given back earlier, it would be
    /// taken for unused while the owner before this VM may still use it.
    fn returnable_seat(&self, now: id::Time) -> Option<seat::Index> {
        self.own_seats
            .iter()
            .find(|(_, own_seat)| own_seat.stage == Stage::Drained && own_seat.usable_from <= now)
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
        let Some(seat) = self.held().max() else {
            return Step::Idle;
        };
        if let Some(own_seat) = self.own_seats.get_mut(&seat) {
            own_seat.stage = Stage::Draining;
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
            suspect.is_some_and(|suspect| suspect.stops(&entry.witnesses))
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

    /// Writes this VM into a seat; `usable_from` counts only if it is not its own already.
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

    /// One line for each entry: in an outage the same proposal is made again and again.
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

fn usable_until(entry: &seat::Seat, grants: &[grant::Grant]) -> Option<id::Time> {
    grants
        .iter()
        .find(|grant| *grant.lease() == entry.lease)
        .map(|grant| grant.until(&entry.witnesses))
}

#[cfg(test)]
mod tests;
