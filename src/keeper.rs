//! Acquires, uses and releases this VM's seats of one group.
//!
//! A seat is a fixed part of the limits of a group's instances. The seat record in the store
//! names the owner of each seat. The owner may use it while its lease is valid and, when the
//! lease cannot be renewed, while most of its witnesses have had no contact with the store either.

use std::sync;
use std::time;

use crate::clock;
use crate::directory;
use crate::enrol;
use crate::entry;
use crate::id;
use crate::placement;
use crate::seat;
use crate::share;
use crate::store;
use crate::witness;

/// Time between two checks of the clock and the leases.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time between two reads of the seat record while this VM does not hold the wanted number of
/// seats or is releasing one; also the delay after a rejected proposal or a check of an owner.
const UNSETTLED_READ_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time between two reads of a settled seat record. All keepers together then make
/// `3 * groups / 30 s` calls, well below the store's call budget.
const SETTLED_READ_INTERVAL: time::Duration = time::Duration::from_secs(30);

/// Time between two rounds of queries to the witnesses.
const WITNESS_QUERY_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Remaining validity of a held seat below which the witnesses are queried.
const WITNESS_QUERY_THRESHOLD: time::Duration = time::Duration::from_secs(5);

/// Keeps the seats of one group.
pub struct Keeper {
    directory: sync::Arc<directory::Directory>,
    entry: sync::Arc<entry::Entry>,
    enrolment: sync::Arc<enrol::Enrolment>,
    store: sync::Arc<dyn store::Store>,
    clock: sync::Arc<dyn clock::Clock>,
    view: share::View,
    seats: usize,
    next_read: id::Time,
    next_witness_query: id::Time,
    next_step: id::Time,
    draining: Option<seat::Index>,
}

impl Keeper {
    /// Creates a keeper that has not read the seat record yet.
    #[must_use]
    pub fn new(
        directory: sync::Arc<directory::Directory>,
        entry: sync::Arc<entry::Entry>,
        enrolment: sync::Arc<enrol::Enrolment>,
    ) -> Self {
        let shared = directory.shared();
        let declared = entry.declaration.load();
        let seats = placement::serving_count(declared.connections, declared.slots);
        let limits = enrolment.limits().clone();
        Self {
            view: share::View::new(shared.vm.clone(), shared.incarnation, seats, limits),
            store: shared.store.clone(),
            clock: shared.clock.clone(),
            seats,
            next_read: id::Time::ZERO,
            next_witness_query: id::Time::ZERO,
            next_step: id::Time::ZERO,
            draining: None,
            directory,
            entry,
            enrolment,
        }
    }

    /// Runs until the group is retired and its last seat is released.
    ///
    /// Two keepers on one VM would treat each other's seats as their own, so that one could
    /// release a seat that the other still uses. A new keeper therefore waits until those of
    /// the entries in `before` have finished.
    pub async fn run(mut self, before: Vec<sync::Arc<entry::Entry>>) {
        while !before.iter().all(|entry| entry.finished()) {
            async_io::Timer::after(TICK_INTERVAL).await;
        }
        while !self.finished() {
            self.run_once().await;
            async_io::Timer::after(TICK_INTERVAL).await;
        }
        self.entry.set_runtime(None);
        self.entry.finish();
    }

    fn finished(&self) -> bool {
        self.entry.retired() && self.view.is_empty()
    }

    async fn run_once(&mut self) {
        let wanted = self
            .entry
            .wanted_seats(&self.directory.shared().vm, self.seats);
        let idle = wanted == 0 && self.view.is_empty();
        if idle {
            self.entry.set_runtime(None);
            return;
        }
        self.finish_drain();
        self.query_witnesses_if_due().await;
        // In a newly formed serving set, the seats are acquired one at a time.
        for _ in 0..=self.seats {
            self.read_if_due(wanted).await;
            self.use_seats();
            if !self.advance(wanted).await {
                break;
            }
        }
    }

    async fn read_if_due(&mut self, wanted: usize) {
        let now = self.clock.now();
        if now < self.next_read {
            return;
        }
        let settled = self.view.held_seats().count() == wanted && self.draining.is_none();
        let pause = if settled {
            SETTLED_READ_INTERVAL
        } else {
            UNSETTLED_READ_INTERVAL
        };
        self.next_read = now + enrol::jittered(pause);
        let key = seat::key(&self.entry.name);
        let Ok(found) = self.store.get(&key).await else {
            return;
        };
        let version = found.as_ref().map_or(0, |entry| entry.version);
        let record = found.map_or(Ok(Vec::new()), |entry| seat::decode(&entry.value));
        match record {
            Ok(record) => self.view.apply_record(version, record, self.clock.now()),
            Err(error) => tracing::error!(%error, key = %key, "cannot decode the seat record"),
        }
    }

    /// Takes the next step; returns whether the seat record has changed and another step may
    /// follow.
    async fn advance(&mut self, wanted: usize) -> bool {
        let Some(lease) = self.enrolment.registered_lease() else {
            return false;
        };
        if self.clock.now() < self.next_step {
            return false;
        }
        let witnesses = self.directory.witnesses(&self.entry.name);
        match self
            .view
            .next_step(self.clock.now(), wanted, &witnesses, &lease)
        {
            share::Step::Idle => {}
            share::Step::Propose { expect, seats } => return self.propose(expect, &seats).await,
            share::Step::Check { owner } => self.check_owner(&owner).await,
            share::Step::Drain { seat } => self.start_drain(seat),
        }
        false
    }

    async fn propose(&mut self, expect: store::Version, seats: &[seat::Seat]) -> bool {
        let Ok(value) = seat::encode(seats) else {
            return false;
        };
        let key = seat::key(&self.entry.name);
        let answer = self.store.swap(&key, value, expect, None).await;
        tracing::info!(target: "mangotray::placement", group = %self.entry.name,
            ?answer, seats = seats.len(), "proposed seats");
        let stored = matches!(answer, Ok(store::Swap::Stored));
        if !stored {
            self.delay_next_step();
        }
        // Reads the record again in every case: the answer to a stored proposal may be lost.
        self.next_read = id::Time::ZERO;
        stored
    }

    /// Delays the next step to limit the load on the store.
    fn delay_next_step(&mut self) {
        self.next_step = self.clock.now() + enrol::jittered(UNSETTLED_READ_INTERVAL);
    }

    async fn check_owner(&mut self, owner: &seat::Seat) {
        self.delay_next_step();
        let Ok(found) = self.store.get(&enrol::key(&owner.vm)).await else {
            return;
        };
        let record = found.map(|entry| serde_json::from_slice::<enrol::Record>(&entry.value));
        let lease = match record {
            Some(Ok(record)) => record.lease,
            // A record that cannot be decoded says nothing about the lease.
            Some(Err(_)) => return,
            None => None,
        };
        if lease.as_ref() != Some(&owner.lease) {
            tracing::warn!(target: "mangotray::placement", vm = %owner.vm, seat = owner.seat,
                group = %self.entry.name, "lease of a seat's owner has ended");
            self.view.record_lease_end(&owner.lease, self.clock.now());
            self.next_witness_query = id::Time::ZERO;
        }
    }

    fn start_drain(&mut self, seat: seat::Index) {
        tracing::info!(target: "mangotray::placement", group = %self.entry.name, seat,
            "releasing a seat");
        self.draining = Some(seat);
    }

    fn finish_drain(&mut self) {
        let Some(seat) = self.draining else {
            return;
        };
        let closed = self
            .entry
            .runtime()
            .is_none_or(|group| group.trim_to_share());
        if closed {
            self.draining = None;
            self.view.record_drained(seat);
            self.next_read = id::Time::ZERO;
        }
    }

    /// Queries the witnesses while a held seat may soon expire, or while wanted seats are missing
    /// because an owner whose lease has ended may still use them.
    async fn query_witnesses_if_due(&mut self) {
        let now = self.clock.now();
        if now < self.next_witness_query || !self.needs_witnesses(now) {
            return;
        }
        self.next_witness_query = now + WITNESS_QUERY_INTERVAL;
        for vm in self.view.witnesses() {
            self.query_witness(&vm).await;
        }
    }

    async fn query_witness(&mut self, vm: &id::Vm) {
        let asked = self.clock.now();
        let report = if *vm == self.directory.shared().vm {
            Some(self.enrolment.report())
        } else {
            self.directory.query_witness(vm).await
        };
        if let Some(report) = report {
            self.record_report(vm, asked, report);
        }
    }

    fn record_report(&mut self, vm: &id::Vm, asked: id::Time, report: witness::Report) {
        let answered = self.clock.now();
        self.enrolment.record_report(vm, asked, answered, report);
        self.view.record_report(vm, asked, report);
    }

    fn needs_witnesses(&self, now: id::Time) -> bool {
        let grants = self.enrolment.grants();
        let ends_soon = |seat| {
            let until = self.view.usable_until(seat, now, &grants);
            until.is_none_or(|until| until < now + WITNESS_QUERY_THRESHOLD)
        };
        self.view.held_seats().any(ends_soon) || !self.holds_wanted_seats()
    }

    fn holds_wanted_seats(&self) -> bool {
        let wanted = self
            .entry
            .wanted_seats(&self.directory.shared().vm, self.seats);
        self.view.held_seats().count() >= wanted
    }

    /// Seats among `seats` that may be used now, with the time at which each expires.
    fn usable(&self, seats: impl Iterator<Item = seat::Index>) -> Vec<(seat::Index, id::Time)> {
        let now = self.clock.now();
        let grants = self.enrolment.grants();
        seats
            .filter_map(|seat| Some((seat, self.view.usable_until(seat, now, &grants)?)))
            .collect()
    }

    /// Sets the group's limit from the seats. A seat that is being released takes no new work,
    /// but work that already runs on it may finish.
    fn use_seats(&self) {
        let held = self.usable(self.view.held_seats());
        let ending = self.usable(self.draining.into_iter());
        let until = held.iter().chain(&ending).map(|(_, until)| *until).min();
        let seats: Vec<_> = held.iter().map(|(seat, _)| *seat).collect();
        let declared = self.entry.declaration.load();
        let mut limit = entry::limit(declared.connections, declared.slots, self.seats, &seats);
        // Open transactions need the slots of a draining seat until they have ended.
        let ending: Vec<_> = ending.iter().map(|(seat, _)| *seat).collect();
        limit.slots +=
            entry::limit(declared.connections, declared.slots, self.seats, &ending).slots;
        let rank = self.entry.rank(&self.directory.shared().vm);
        self.directory
            .serve(&self.entry, limit, until, rank.unwrap_or(usize::MAX));
    }
}
