//! Simulates recorded loads in virtual time, with the proxy's real scheduling and relief decisions.
//!
//! The simulation has one group, its callers and its instances, in steps of one millisecond. A
//! request earns its full worth if it is answered within its objective, a part of it if it is
//! answered later, and nothing after its timeout.

#![allow(dead_code)] // Each test binary uses only a part.

use std::collections;
use std::time;

use mangotray::id;
use mangotray::stamp;
use mangotray_desk::deadline;
use mangotray_desk::relief;
use mangotray_desk::room::schedule;
use mangotray_desk::urgency;

/// Rate, cost and worth of one kind of statement; times are in milliseconds except `work`.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub per_second: f64,
    /// Mean work in microseconds, drawn uniformly between half and one and a half times this value.
    pub work: u64,
    pub objective: u64,
    pub timeout: u64,
    pub priority: u8,
    pub worth: f64,
    pub late_worth: f64,
    /// Whether only the primary may serve it.
    pub primary: bool,
}

/// Live auctions: bids, browsing and settlements of one of three groups on a busy day. A
/// transaction consists of several statements.
pub const AUCTIONS: [Kind; 3] = [
    Kind {
        per_second: 32.0,
        work: 4_500,
        objective: 120,
        timeout: 800,
        priority: 1,
        worth: 2.0,
        late_worth: 1.0,
        primary: true,
    },
    Kind {
        per_second: 30.0,
        work: 22_000,
        objective: 400,
        timeout: 1500,
        priority: 2,
        worth: 1.0,
        late_worth: 0.5,
        primary: false,
    },
    Kind {
        per_second: 150.0,
        work: 14_000,
        objective: 200,
        timeout: 800,
        priority: 2,
        worth: 2.0,
        late_worth: 0.5,
        primary: false,
    },
];

/// An invented deployment with different work, slots and objectives.
pub const WAREHOUSE: [Kind; 2] = [
    Kind {
        per_second: 60.0,
        work: 9_000,
        objective: 300,
        timeout: 2000,
        priority: 0,
        worth: 1.0,
        late_worth: 0.2,
        primary: true,
    },
    Kind {
        per_second: 120.0,
        work: 40_000,
        objective: 900,
        timeout: 4000,
        priority: 3,
        worth: 3.0,
        late_worth: 1.0,
        primary: false,
    },
];

/// Load of one group.
#[derive(Clone, Debug)]
pub struct Load {
    pub kinds: Vec<Kind>,
    pub slots: usize,
    /// Number of instances; the first is the primary.
    pub instances: usize,
    pub millis: u64,
    /// Both replicas are stalled by one record from the first to the second time.
    pub stuck: Option<(u64, u64)>,
}

/// Policy by which the load is served.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Number of nodes that send statements to one instance, each with its own queue.
    pub nodes: usize,
    /// Maximum number of statements that each node sends to the instance at once.
    pub concurrency: usize,
    /// Whether a stalled replica is promoted in place of the primary.
    pub relief: bool,
    /// Whether queued statements are served by the product's urgency order, or in order of arrival.
    pub by_urgency: bool,
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Earnings {
    /// Earned fraction of the worth of all requests, by kind.
    pub kinds: Vec<f64>,
    /// Earned fraction over all kinds.
    pub total: f64,
    /// Number of changes of the primary.
    pub changes: usize,
}

#[derive(Clone, Copy)]
struct Request {
    kind: usize,
    arrived: u64,
    work: u64,
}

#[derive(Default)]
struct NodeQueue {
    turn: u64,
    entries: Vec<schedule::Entry>,
    requests: Vec<Request>,
    in_flight: usize,
}

#[derive(Default)]
struct Instance {
    queues: Vec<NodeQueue>,
    /// Statements that it has accepted and not started, in order of arrival, with the index of the
    /// node that sent them.
    accepted: collections::VecDeque<(Request, usize)>,
    running: Vec<(u64, Request, usize)>,
}

struct Run<'a> {
    load: &'a Load,
    policy: Policy,
    random: fastrand::Rng,
    instances: Vec<Instance>,
    primary: usize,
    /// Time until which no instance is primary.
    vacant_until: u64,
    stuck: Vec<bool>,
    relief: relief::Relief,
    number: u64,
    offered: Vec<f64>,
    earned: Vec<f64>,
    changes: usize,
}

/// Simulates a load under a policy.
pub fn run(load: &Load, policy: Policy, seed: u64) -> Earnings {
    let instance = |_| Instance {
        queues: (0..policy.nodes).map(|_| NodeQueue::default()).collect(),
        ..Instance::default()
    };
    let mut run = Run {
        load,
        policy,
        random: fastrand::Rng::with_seed(seed),
        instances: (0..load.instances).map(instance).collect(),
        primary: 0,
        vacant_until: 0,
        stuck: vec![false; load.instances],
        relief: relief::Relief::default(),
        number: 0,
        offered: vec![0.0; load.kinds.len()],
        earned: vec![0.0; load.kinds.len()],
        changes: 0,
    };
    for now in 0..load.millis {
        run.step(now);
    }
    run.report()
}

impl Run<'_> {
    fn step(&mut self, now: u64) {
        if let Some((from, until)) = self.load.stuck {
            if now == from {
                self.stuck = (0..self.load.instances)
                    .map(|index| index != self.primary)
                    .collect();
            }
            if now == until {
                self.stuck.fill(false);
            }
        }
        if now.is_multiple_of(100) {
            self.judge_relief(now);
        }
        for kind in 0..self.load.kinds.len() {
            if self.random.f64() < self.load.kinds[kind].per_second / 1000.0 {
                self.enqueue(kind, now);
            }
        }
        for index in 0..self.instances.len() {
            self.work(index, now);
        }
    }

    // Decides about a relief of the primary, as the promoter does.
    fn judge_relief(&mut self, now: u64) {
        let until = self.load.stuck.map_or(0, |(_, until)| until);
        let replica = |index: &usize| relief::Replica {
            received: stamp::Stamp::new(1, 90),
            applied: stamp::Stamp::new(1, if self.stuck[*index] { 40 } else { 90 }),
            lag: millis(if self.stuck[*index] {
                until.saturating_sub(now)
            } else {
                0
            }),
            leaving: false,
        };
        let others = (0..self.instances.len()).filter(|index| *index != self.primary);
        let view = relief::View {
            now: millis(now),
            position: stamp::Stamp::new(1, 90),
            replicas: others.map(|index| replica(&index)).collect(),
            age: millis(2500),
        };
        if self.policy.relief && self.relief.observe(&view) {
            self.relief.note_change(millis(now));
            self.primary = (self.primary + 1) % self.instances.len();
            // A promoted replica has applied all records that it received; so has the old primary.
            self.stuck[self.primary] = false;
            self.vacant_until = now + 350;
            self.changes += 1;
        }
    }

    fn enqueue(&mut self, kind: usize, now: u64) {
        let spec = self.load.kinds[kind];
        self.offered[kind] += spec.worth;
        let work = (self.random.u64(spec.work / 2..spec.work * 3 / 2) / 1000).max(1);
        let request = Request {
            kind,
            arrived: now,
            work,
        };
        let fits = |index: &usize| {
            let leads = *index == self.primary;
            if spec.primary {
                leads
            } else {
                !self.stuck[*index]
            }
        };
        let load = |index: &usize| {
            let instance = &self.instances[*index];
            let waiting: usize = instance
                .queues
                .iter()
                .map(|queue| queue.entries.len())
                .sum();
            waiting + instance.accepted.len() + instance.running.len()
        };
        let choice = (0..self.instances.len()).filter(fits).min_by_key(load);
        let Some(index) = choice else { return };
        self.number += 1;
        let queue = self.random.usize(..self.policy.nodes);
        let entry = schedule::Entry {
            urgency: urgency::Urgency {
                priority: spec.priority,
                objective: millis(spec.objective),
                due: millis(now + spec.objective),
                ..urgency::Urgency::default()
            },
            number: self.number,
            since: millis(now),
        };
        let queue = &mut self.instances[index].queues[queue];
        queue.entries.push(entry);
        queue.requests.push(request);
    }

    fn work(&mut self, index: usize, now: u64) {
        let load = self.load;
        let instance = &mut self.instances[index];
        let done: Vec<_> = instance
            .running
            .extract_if(.., |(end, ..)| *end <= now)
            .collect();
        for (_, request, queue) in done {
            instance.queues[queue].in_flight -= 1;
            let spec = load.kinds[request.kind];
            let took = now - request.arrived;
            self.earned[request.kind] += match took {
                _ if took <= spec.objective => spec.worth,
                _ if took <= spec.timeout => spec.late_worth,
                _ => 0.0,
            };
        }
        let unavailable = index == self.primary && now < self.vacant_until;
        for (number, queue) in instance.queues.iter_mut().enumerate() {
            queue.drop_timed_out(load, now);
            while !unavailable && queue.in_flight < self.policy.concurrency {
                let next = if self.policy.by_urgency {
                    schedule::next(&queue.entries, millis(now), queue.turn)
                } else {
                    (!queue.entries.is_empty()).then_some(0)
                };
                let Some(next) = next else { break };
                queue.turn += 1;
                queue.entries.remove(next);
                queue.in_flight += 1;
                instance
                    .accepted
                    .push_back((queue.requests.remove(next), number));
            }
        }
        while instance.running.len() < load.slots {
            let Some((request, queue)) = instance.accepted.pop_front() else {
                break;
            };
            instance.running.push((now + request.work, request, queue));
        }
    }

    fn report(&self) -> Earnings {
        let share = |kind: usize| self.earned[kind] / self.offered[kind];
        Earnings {
            kinds: (0..self.offered.len()).map(share).collect(),
            total: self.earned.iter().sum::<f64>() / self.offered.iter().sum::<f64>(),
            changes: self.changes,
        }
    }
}

impl NodeQueue {
    // Refuses the requests whose share of the timeout for queueing has passed.
    fn drop_timed_out(&mut self, load: &Load, now: u64) {
        let timed_out = |request: &Request| {
            let limit = load.kinds[request.kind].timeout * u64::from(deadline::QUEUE_PERCENT) / 100;
            now - request.arrived > limit
        };
        for index in (0..self.requests.len()).rev() {
            if timed_out(&self.requests[index]) {
                self.requests.remove(index);
                self.entries.remove(index);
            }
        }
    }
}

fn millis(millis: u64) -> id::Time {
    time::Duration::from_millis(millis)
}
