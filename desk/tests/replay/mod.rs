//! Loads that were seen, replayed in virtual time against the decisions that answer them.
//!
//! One group, its callers and its instances, in steps of a millisecond. What a request earns is
//! what its callers have of it: all if it is served within its objective, part if later.

#![allow(dead_code)] // Each test program uses its own part.

use std::collections;
use std::time;

use mangotray::id;
use mangotray::stamp;
use mangotray_desk::deadline;
use mangotray_desk::relief;
use mangotray_desk::schedule;
use mangotray_desk::urgency;

/// What a statement costs and is worth.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub per_second: f64,
    /// Mean work in microseconds; half to one and a half times of it is drawn.
    pub work: u64,
    pub objective: u64,
    pub timeout: u64,
    pub priority: u8,
    pub worth: f64,
    pub late: f64,
    /// Only the primary may serve it.
    pub primary: bool,
}

/// Live auctions: statements of bids, browsing and settlements, as one of three groups is asked
/// for them on a busy day; a transaction is several.
pub const AUCTIONS: [Kind; 3] = [
    Kind {
        per_second: 32.0,
        work: 4_500,
        objective: 120,
        timeout: 800,
        priority: 1,
        worth: 2.0,
        late: 1.0,
        primary: true,
    },
    Kind {
        per_second: 30.0,
        work: 22_000,
        objective: 400,
        timeout: 1500,
        priority: 2,
        worth: 1.0,
        late: 0.5,
        primary: false,
    },
    Kind {
        per_second: 150.0,
        work: 14_000,
        objective: 200,
        timeout: 800,
        priority: 2,
        worth: 2.0,
        late: 0.5,
        primary: false,
    },
];

/// A deployment of which nobody has heard: other work, slots and objectives.
pub const WAREHOUSE: [Kind; 2] = [
    Kind {
        per_second: 60.0,
        work: 9_000,
        objective: 300,
        timeout: 2000,
        priority: 0,
        worth: 1.0,
        late: 0.2,
        primary: true,
    },
    Kind {
        per_second: 120.0,
        work: 40_000,
        objective: 900,
        timeout: 4000,
        priority: 3,
        worth: 3.0,
        late: 1.0,
        primary: false,
    },
];

/// One group under load.
#[derive(Clone, Debug)]
pub struct Load {
    pub kinds: Vec<Kind>,
    pub slots: usize,
    /// Instances, of which the first leads.
    pub instances: usize,
    pub millis: u64,
    /// Both replicas hold a record that takes them from the first to the second moment.
    pub stuck: Option<(u64, u64)>,
}

/// How it is served.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Nodes that serve one instance, each with an order of its own.
    pub nodes: usize,
    /// Statements that each of them lets the instance work on.
    pub abreast: usize,
    /// Whether a primary changes places with a stuck replica.
    pub relief: bool,
    /// Whether those that wait go in the product's order, or as they came.
    pub ordered: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Earned {
    /// Part of what all requests are worth, by kind.
    pub kinds: Vec<f64>,
    /// Of all together.
    pub all: f64,
    /// Changes of primary.
    pub changes: usize,
}

#[derive(Clone, Copy)]
struct Request {
    kind: usize,
    arrived: u64,
    work: u64,
}

#[derive(Default)]
struct Lane {
    turn: u64,
    places: Vec<schedule::Entry>,
    requests: Vec<Request>,
    at_work: usize,
}

#[derive(Default)]
struct Instance {
    lanes: Vec<Lane>,
    /// What it has taken and not begun, in order of arrival, with the lane it came from.
    queue: collections::VecDeque<(Request, usize)>,
    running: Vec<(u64, Request, usize)>,
}

struct Run<'a> {
    load: &'a Load,
    policy: Policy,
    random: fastrand::Rng,
    instances: Vec<Instance>,
    primary: usize,
    /// Until then nobody leads.
    vacant: u64,
    stuck: Vec<bool>,
    relief: relief::Relief,
    number: u64,
    owed: Vec<f64>,
    earned: Vec<f64>,
    changes: usize,
}

/// Replays a load under a policy.
pub fn play(load: &Load, policy: Policy, seed: u64) -> Earned {
    let instance = |_| Instance {
        lanes: (0..policy.nodes).map(|_| Lane::default()).collect(),
        ..Instance::default()
    };
    let mut run = Run {
        load,
        policy,
        random: fastrand::Rng::with_seed(seed),
        instances: (0..load.instances).map(instance).collect(),
        primary: 0,
        vacant: 0,
        stuck: vec![false; load.instances],
        relief: relief::Relief::default(),
        number: 0,
        owed: vec![0.0; load.kinds.len()],
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
            self.consider(now);
        }
        for kind in 0..self.load.kinds.len() {
            if self.random.f64() < self.load.kinds[kind].per_second / 1000.0 {
                self.arrive(kind, now);
            }
        }
        for index in 0..self.instances.len() {
            self.work(index, now);
        }
    }

    // Looks at the replicas, as the promoter does.
    fn consider(&mut self, now: u64) {
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
            self.relief.done(millis(now));
            self.primary = (self.primary + 1) % self.instances.len();
            // It leads with all that it has received; the old one has applied everything.
            self.stuck[self.primary] = false;
            self.vacant = now + 350;
            self.changes += 1;
        }
    }

    fn arrive(&mut self, kind: usize, now: u64) {
        let spec = self.load.kinds[kind];
        self.owed[kind] += spec.worth;
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
            let waiting: usize = instance.lanes.iter().map(|lane| lane.places.len()).sum();
            waiting + instance.queue.len() + instance.running.len()
        };
        let choice = (0..self.instances.len()).filter(fits).min_by_key(load);
        let Some(index) = choice else { return };
        self.number += 1;
        let lane = self.random.usize(..self.policy.nodes);
        let place = schedule::Entry {
            urgency: urgency::Urgency {
                priority: spec.priority,
                objective: millis(spec.objective),
                due: millis(now + spec.objective),
                ..urgency::Urgency::default()
            },
            number: self.number,
            since: millis(now),
        };
        let lane = &mut self.instances[index].lanes[lane];
        lane.places.push(place);
        lane.requests.push(request);
    }

    fn work(&mut self, index: usize, now: u64) {
        let load = self.load;
        let instance = &mut self.instances[index];
        let done: Vec<_> = instance
            .running
            .extract_if(.., |(end, ..)| *end <= now)
            .collect();
        for (_, request, lane) in done {
            instance.lanes[lane].at_work -= 1;
            let spec = load.kinds[request.kind];
            let took = now - request.arrived;
            self.earned[request.kind] += match took {
                _ if took <= spec.objective => spec.worth,
                _ if took <= spec.timeout => spec.late,
                _ => 0.0,
            };
        }
        let dark = index == self.primary && now < self.vacant;
        for (number, lane) in instance.lanes.iter_mut().enumerate() {
            lane.give_up(load, now);
            while !dark && lane.at_work < self.policy.abreast {
                let next = if self.policy.ordered {
                    schedule::next(&lane.places, millis(now), lane.turn)
                } else {
                    (!lane.places.is_empty()).then_some(0)
                };
                let Some(next) = next else { break };
                lane.turn += 1;
                lane.places.remove(next);
                lane.at_work += 1;
                instance
                    .queue
                    .push_back((lane.requests.remove(next), number));
            }
        }
        while instance.running.len() < load.slots {
            let Some((request, lane)) = instance.queue.pop_front() else {
                break;
            };
            instance.running.push((now + request.work, request, lane));
        }
    }

    fn report(&self) -> Earned {
        let share = |kind: usize| self.earned[kind] / self.owed[kind];
        Earned {
            kinds: (0..self.owed.len()).map(share).collect(),
            all: self.earned.iter().sum::<f64>() / self.owed.iter().sum::<f64>(),
            changes: self.changes,
        }
    }
}

impl Lane {
    // Refuses those that have waited for long enough.
    fn give_up(&mut self, load: &Load, now: u64) {
        let late = |request: &Request| {
            let limit = load.kinds[request.kind].timeout * u64::from(deadline::QUEUE_PERCENT) / 100;
            now - request.arrived > limit
        };
        for index in (0..self.requests.len()).rev() {
            if late(&self.requests[index]) {
                self.requests.remove(index);
                self.places.remove(index);
            }
        }
    }
}

fn millis(millis: u64) -> id::Time {
    time::Duration::from_millis(millis)
}
