//! Simulation of several VMs and a store in virtual time, with pauses, partitions, outages, lost
//! and delayed messages, restarts and clocks that run at different rates.

use std::time;

use crate::grant;
use crate::id;
use crate::seat;
use crate::share;
use crate::store;
use crate::witness;

/// A rule of the protocol that is disabled to show that it is necessary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    /// A seat is used immediately after a takeover.
    NoGuard,
    /// A renewed lease is counted from the answer, not from the sending of the request.
    RenewalFromAnswer,
    /// The owner requires a majority of the reachable witnesses instead of all witnesses.
    ReachableMajority,
    /// A seat is taken over as soon as its owner's lease has ended, without reports of witnesses.
    NoWitness,
}

pub const SEATS: usize = 2;
const CLAIMANTS: usize = 3;
const VMS: usize = 7;
const STEP_MS: u64 = 200;

enum Request {
    Grant { sent: id::Time },
    Renew { lease: store::Lease, sent: id::Time },
    Read,
    Check { lease: store::Lease },
    Swap { expect: u64, seats: Vec<seat::Seat> },
}

enum Answer {
    Granted {
        lease: store::Lease,
        sent: id::Time,
    },
    Renewed {
        lease: store::Lease,
        sent: id::Time,
    },
    Lost {
        lease: store::Lease,
    },
    Record {
        version: u64,
        seats: Vec<seat::Seat>,
    },
    Gone {
        lease: store::Lease,
    },
    Report {
        vm: id::Vm,
        asked: id::Time,
        report: witness::Report,
    },
}

struct Message<T> {
    due: u64,
    vm: usize,
    incarnation: u64,
    body: T,
}

struct Lease {
    name: store::Lease,
    end: u64,
}

struct Store {
    up: bool,
    /// Clock rate in thousandths of real time.
    rate: u32,
    leases: Vec<Lease>,
    version: u64,
    record: Vec<seat::Seat>,
}

struct Vm {
    name: id::Vm,
    incarnation: u64,
    /// Clock rate in thousandths of real time.
    rate: u32,
    on_store_side: bool,
    paused_until: u64,
    witness: witness::Witness,
    view: share::View,
    grants: Vec<grant::Grant>,
    lease: Option<store::Lease>,
    wanted: usize,
    using: Vec<seat::Index>,
    draining: Vec<seat::Index>,
}

/// Counts of events in a run, used to check that the run exercised the protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub uses: u64,
    pub takeovers: u64,
    pub returns: u64,
    /// Uses later in an outage than a lease and a guard interval after its start.
    pub outage_uses: u64,
    /// Number of steps in which a seat had more than one user, summed over the seats.
    pub conflicts: u64,
}

pub struct Simulation {
    random: fastrand::Rng,
    mutation: Mutation,
    now: u64,
    down_since: Option<u64>,
    store: Store,
    vms: Vec<Vm>,
    requests: Vec<Message<Request>>,
    answers: Vec<Message<Answer>>,
    pub tally: Tally,
}

fn limits() -> grant::Limits {
    grant::Limits::default()
}

impl Simulation {
    pub fn new(seed: u64, mutation: Mutation) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let store = Store {
            up: true,
            rate: rate(&mut random),
            leases: Vec::new(),
            version: 0,
            record: Vec::new(),
        };
        let vms = (0..VMS)
            .map(|number| Vm {
                name: format!("vm-{number}").into(),
                incarnation: 1,
                rate: rate(&mut random),
                on_store_side: true,
                paused_until: 0,
                witness: witness::Witness::new(time::Duration::ZERO),
                view: view(number, 1, mutation),
                grants: Vec::new(),
                lease: None,
                wanted: usize::from(number < CLAIMANTS),
                using: Vec::new(),
                draining: Vec::new(),
            })
            .collect();
        Self {
            random,
            mutation,
            now: 0,
            down_since: None,
            store,
            vms,
            requests: Vec::new(),
            answers: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Runs for `seconds` of virtual time and injects a fault every few seconds.
    pub fn run(&mut self, seconds: u64) {
        let end = self.now + seconds * 1_000;
        while self.now < end {
            if self.random.u64(0..60) == 0 {
                self.fault();
            }
            self.step();
        }
    }

    fn fault(&mut self) {
        let vm = self.random.usize(0..VMS);
        match self.random.u64(0..10) {
            0 | 1 => self.switch_store(),
            2 => self.vms[vm].on_store_side = !self.vms[vm].on_store_side,
            3 => self.split(),
            4 | 5 => self.heal(),
            6 | 7 => self.vms[vm].paused_until = self.now + self.random.u64(1_000..60_000),
            8 => self.restart(vm),
            _ => self.vms[vm % CLAIMANTS].wanted = self.random.usize(0..=SEATS),
        }
    }

    fn switch_store(&mut self) {
        self.store.up = !self.store.up;
        self.down_since = (!self.store.up).then_some(self.now);
    }

    /// Partitions the VMs at random; `true` is the side of the store.
    fn split(&mut self) {
        for vm in &mut self.vms {
            vm.on_store_side = self.random.bool();
        }
    }

    fn heal(&mut self) {
        self.store.up = true;
        self.down_since = None;
        self.vms.iter_mut().for_each(|vm| vm.on_store_side = true);
    }

    fn restart(&mut self, number: usize) {
        let now = self.local(number);
        let mutation = self.mutation;
        let vm = &mut self.vms[number];
        vm.incarnation += 1;
        vm.witness = witness::Witness::new(now);
        vm.view = view(number, vm.incarnation, mutation);
        vm.grants.clear();
        vm.lease = None;
        vm.using.clear();
        vm.draining.clear();
    }

    fn local(&self, number: usize) -> id::Time {
        let offset = time::Duration::from_secs(1_000 * number as u64);
        offset + time::Duration::from_millis(self.now) * self.vms[number].rate / 1_000
    }

    fn delay(&mut self) -> u64 {
        match self.random.u64(0..40) {
            0 => self.random.u64(0..40_000),
            _ => self.random.u64(0..400),
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.serve_store();
        for number in 0..VMS {
            if self.vms[number].paused_until > self.now {
                continue;
            }
            self.receive_answers(number);
            if (self.now / STEP_MS + number as u64).is_multiple_of(5) {
                self.run_periodic(number);
            }
            self.use_seats(number);
        }
        self.count();
    }

    fn send_request(&mut self, number: usize, body: Request) {
        let due = self.now + self.delay();
        let incarnation = self.vms[number].incarnation;
        self.requests.push(Message {
            due,
            vm: number,
            incarnation,
            body,
        });
    }

    fn send_answer(&mut self, vm: usize, incarnation: u64, body: Answer) {
        if self.random.u64(0..10) == 0 {
            return;
        }
        let due = self.now + self.delay();
        self.answers.push(Message {
            due,
            vm,
            incarnation,
            body,
        });
    }

    fn serve_store(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .requests
            .extract_if(.., |message| message.due <= now)
            .collect();
        for message in due {
            if self.store.up && self.vms[message.vm].on_store_side {
                let answer = self.store.serve(message.vm, now, message.body);
                if let Some(answer) = answer {
                    self.send_answer(message.vm, message.incarnation, answer);
                }
            }
        }
    }

    fn receive_answers(&mut self, number: usize) {
        let (time, now) = (self.now, self.local(number));
        let due = |message: &mut Message<Answer>| message.vm == number && message.due <= time;
        let messages: Vec<_> = self.answers.extract_if(.., due).collect();
        let vm = &mut self.vms[number];
        for message in messages {
            if message.incarnation == vm.incarnation {
                vm.handle(message.body, now, self.mutation, &mut self.tally);
            }
        }
    }

    /// Periodic work of a VM, run once a second.
    fn run_periodic(&mut self, number: usize) {
        let now = self.local(number);
        if self.now / STEP_MS % 15 < 5 {
            let lease = self.vms[number].lease.clone();
            self.send_request(
                number,
                match lease {
                    Some(lease) => Request::Renew { lease, sent: now },
                    None => Request::Grant { sent: now },
                },
            );
        }
        self.poll_peers(number, now);
        if number < CLAIMANTS {
            self.send_request(number, Request::Read);
            self.decide(number, now);
        }
    }

    fn poll_peers(&mut self, number: usize, now: id::Time) {
        for peer in 0..VMS {
            let target = &self.vms[peer];
            let linked = target.on_store_side == self.vms[number].on_store_side
                && target.paused_until <= self.now;
            if peer == number || !linked {
                continue;
            }
            let (vm, report) = (target.name.clone(), target.witness.report(self.local(peer)));
            let late = time::Duration::from_millis(self.random.u64(0..500));
            let asked = now.saturating_sub(late);
            let incarnation = self.vms[number].incarnation;
            self.send_answer(number, incarnation, Answer::Report { vm, asked, report });
        }
    }

    fn decide(&mut self, number: usize, now: id::Time) {
        let names: Vec<id::Vm> = self.vms.iter().map(|vm| vm.name.clone()).collect();
        // The set of witnesses changes every minute, as it does when VMs are replaced.
        let skipped = (self.now / 60_000) as usize % VMS;
        let witnesses: Vec<id::Vm> = (0..VMS)
            .filter(|peer| *peer != number && *peer != skipped)
            .map(|peer| names[peer].clone())
            .collect();
        let vm = &mut self.vms[number];
        if self.mutation == Mutation::NoWitness {
            for name in &names {
                vm.view.record_destroyed(name);
            }
        }
        let Some(lease) = vm.lease.clone() else {
            return;
        };
        match vm.view.next_step(now, vm.wanted, &witnesses, &lease) {
            share::Step::Idle => {}
            share::Step::Drain { seat } => vm.draining.push(seat),
            share::Step::Check { owner } => {
                self.send_request(number, Request::Check { lease: owner.lease });
            }
            share::Step::Propose { expect, seats } => {
                self.send_request(number, Request::Swap { expect, seats });
            }
        }
    }

    fn use_seats(&mut self, number: usize) {
        let now = self.local(number);
        let reachable: Vec<id::Vm> = self
            .vms
            .iter()
            .filter(|peer| {
                peer.on_store_side == self.vms[number].on_store_side
                    && peer.paused_until <= self.now
            })
            .map(|peer| peer.name.clone())
            .collect();
        let mutation = self.mutation;
        let vm = &mut self.vms[number];
        let drained: Vec<seat::Index> = vm.draining.drain(..).collect();
        for seat in &drained {
            vm.view.record_drained(*seat);
        }
        self.tally.returns += drained.len() as u64;
        vm.using = (0..SEATS)
            .filter(|seat| {
                let allowed = vm.view.usable_until(*seat, now, &vm.grants).is_some();
                let kept = mutation == Mutation::ReachableMajority
                    && vm.keeps_with_reachable(*seat, now, &reachable);
                allowed || kept
            })
            .collect();
    }

    fn count(&mut self) {
        for seat in 0..SEATS {
            let active = |vm: &&Vm| vm.using.contains(&seat) && vm.paused_until <= self.now;
            let users = self.vms.iter().filter(active).count() as u64;
            self.tally.uses += users;
            self.tally.conflicts += u64::from(users > 1);
            if self
                .down_since
                .is_some_and(|since| since + 40_000 < self.now)
            {
                self.tally.outage_uses += users;
            }
        }
    }
}

impl Vm {
    fn handle(&mut self, answer: Answer, now: id::Time, mutation: Mutation, tally: &mut Tally) {
        match answer {
            Answer::Granted { lease, sent } => {
                self.witness.record_contact(now);
                self.grants
                    .push(grant::Grant::new(lease.clone(), sent, limits()));
                self.lease = Some(lease);
            }
            Answer::Renewed { lease, sent } => {
                self.witness.record_contact(now);
                let counted = if mutation == Mutation::RenewalFromAnswer {
                    now
                } else {
                    sent
                };
                let renewed = |grant: &&mut grant::Grant| *grant.lease() == lease;
                let known = self.grants.iter_mut().find(renewed);
                if let Some(grant) = known {
                    grant.record_renewal(counted);
                }
            }
            Answer::Lost { lease } => {
                self.witness.record_contact(now);
                self.lease = self.lease.take().filter(|current| *current != lease);
            }
            Answer::Record { version, seats } => {
                let before = self.view.held_seats().count();
                self.view.apply_record(version, seats, now);
                tally.takeovers += u64::from(self.view.held_seats().count() > before);
            }
            Answer::Gone { lease } => self.view.record_lease_end(&lease, now),
            Answer::Report { vm, asked, report } => {
                self.view.record_report(&vm, asked, report);
                self.grants
                    .iter_mut()
                    .for_each(|grant| grant.record_report(&vm, asked, now, report));
            }
        }
    }

    /// Rule of `ReachableMajority`: a seat stays in use while a majority of the reachable VMs
    /// reports no contact with the store.
    fn keeps_with_reachable(&self, seat: seat::Index, now: id::Time, reachable: &[id::Vm]) -> bool {
        let used = self.using.contains(&seat) && self.view.held_seats().any(|held| held == seat);
        let until = |grant: &grant::Grant| grant.usable_until(reachable);
        used && self.grants.iter().map(until).max() > Some(now)
    }
}

impl Store {
    fn serve(&mut self, vm: usize, now: u64, request: Request) -> Option<Answer> {
        let end = now + limits().ttl.as_secs() * 1_000 * 1_000 / u64::from(self.rate);
        self.leases.retain(|lease| lease.end > now);
        match request {
            Request::Grant { sent } => {
                let lease = store::Lease::from(format!("lease-{vm}-{now}-{}", self.leases.len()));
                let name = lease.clone();
                self.leases.push(Lease { name, end });
                Some(Answer::Granted { lease, sent })
            }
            Request::Renew { lease, sent } => {
                let known = self.leases.iter_mut().find(|known| known.name == lease);
                let Some(known) = known else {
                    return Some(Answer::Lost { lease });
                };
                known.end = end;
                Some(Answer::Renewed { lease, sent })
            }
            Request::Read => Some(Answer::Record {
                version: self.version,
                seats: self.record.clone(),
            }),
            Request::Check { lease } => {
                let gone = self.leases.iter().all(|known| known.name != lease);
                gone.then_some(Answer::Gone { lease })
            }
            Request::Swap { expect, seats } => {
                if expect == self.version {
                    self.version += 1;
                    self.record = seats;
                }
                None
            }
        }
    }
}

fn view(number: usize, incarnation: u64, mutation: Mutation) -> share::View {
    let mut limits = limits();
    if mutation == Mutation::NoGuard {
        limits.guard = time::Duration::ZERO;
    }
    share::View::new(format!("vm-{number}").into(), incarnation, SEATS, limits)
}

fn rate(random: &mut fastrand::Rng) -> u32 {
    random.u32(990..=1_010)
}
