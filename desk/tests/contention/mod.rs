//! Simulation of nodes that share instances, to compare ways to limit their statements.

pub mod sequences;
pub mod ways;

use std::collections;
use std::time;

use mangotray_desk::concurrency::exchange;
use mangotray_desk::concurrency::kind;

/// Length of a step, in microseconds.
const STEP: u64 = 250;
/// One way between a node and an instance, in steps.
const LINK: u64 = 2;
/// Statements that an instance runs at once, and that it queues.
const SLOTS: usize = 4;
const QUEUE: usize = 32;
/// After so many steps a waiting statement is given up; after as many more, a lost answer.
const TIMEOUT: u64 = 800_000 / STEP;

/// What one instance is like at a time.
#[derive(Clone, Copy)]
pub struct Condition {
    /// Factor of all work.
    pub slowness: f64,
    /// Factor by which each statement beyond two slows down the work.
    pub contention: f64,
    /// Answers are lost.
    pub loses: bool,
}

pub const SOUND: Condition = Condition {
    slowness: 1.0,
    contention: 0.0,
    loses: false,
};

/// A sequence of conditions and load.
#[derive(Clone, Copy)]
pub struct Sequence {
    pub name: &'static str,
    pub nodes: usize,
    pub instances: usize,
    pub seconds: f64,
    /// Statements a second, over all nodes, and the mean work of one in milliseconds, of
    /// priorities 1 and 2.
    pub bulk: fn(f64) -> [(f64, f64); 2],
    /// Condition of an instance at a time in seconds.
    pub condition: fn(usize, f64) -> Condition,
    /// When all instances restart, in seconds.
    pub restart: Option<f64>,
    /// When all nodes restart, in seconds: what they hold is lost, the instances go on.
    pub nodes_restart: Option<f64>,
    /// Times between which results are counted, in seconds.
    pub counted: (f64, f64),
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Bulk statements served a second.
    pub throughput: f64,
    /// Mean and 95th percentile of the time that urgent statements waited anywhere, in ms.
    pub wait: f64,
    pub wait_95: f64,
    /// Time that statements of each priority took beyond their work on a sound instance, in ms,
    /// sorted.
    pub delays: [Vec<f64>; 3],
    /// Sum of the limits of all nodes at each tenth of a second, for the first instance.
    pub limits: Vec<f64>,
    /// The first node's expected time at each tenth of a second, in ms.
    pub expected: Vec<f64>,
    /// Smallest and largest mean limit of a node while counted.
    pub shares: (f64, f64),
}

#[derive(Clone, Copy)]
struct Statement {
    arrived: u64,
    sent: u64,
    work: u64,
    priority: u8,
    node: usize,
    /// The node's process that sent it.
    process: u32,
    /// Other statements of its node that ran when it was sent.
    others: usize,
    /// Its work on a sound instance.
    nominal: u64,
}

#[derive(Default)]
struct Instance {
    queue: collections::VecDeque<Statement>,
    running: Vec<(u64, Statement)>,
    /// Answers on their way, and lost ones that are waited for.
    answers: Vec<(u64, Statement, exchange::Outcome)>,
    arriving: collections::VecDeque<(u64, Statement)>,
}

struct Node {
    waiting: collections::VecDeque<Statement>,
    running: usize,
    way: Box<dyn ways::Way>,
    process: u32,
}

struct Run<'a> {
    sequence: &'a Sequence,
    random: fastrand::Rng,
    instances: Vec<Instance>,
    /// By instance, then by node.
    nodes: Vec<Vec<Node>>,
    served: usize,
    waits: Vec<f64>,
    delays: [Vec<f64>; 3],
    sums: Vec<f64>,
}

/// Simulates a sequence, with one `way` for each node and instance.
pub fn run(sequence: &Sequence, way: fn() -> Box<dyn ways::Way>, seed: u64) -> Outcome {
    let node = |_| Node {
        waiting: collections::VecDeque::new(),
        running: 0,
        way: way(),
        process: 0,
    };
    let nodes = |_| (0..sequence.nodes).map(node).collect();
    let mut run = Run {
        sequence,
        random: fastrand::Rng::with_seed(seed),
        instances: (0..sequence.instances)
            .map(|_| Instance::default())
            .collect(),
        nodes: (0..sequence.instances).map(nodes).collect(),
        served: 0,
        waits: Vec::new(),
        delays: Default::default(),
        sums: vec![0.0; sequence.nodes],
    };
    let mut result = Outcome::default();
    let mut samples = 0.0;
    for step in 0..to_steps(sequence.seconds) {
        if sequence.restart.is_some_and(|at| step == to_steps(at)) {
            run.restart(way);
        }
        let nodes_restart = sequence.nodes_restart;
        if nodes_restart.is_some_and(|at| step == to_steps(at)) {
            run.restart_nodes(way);
        }
        run.step(step);
        if step.is_multiple_of(100_000 / STEP) {
            let limits = run.nodes[0].iter().map(|node| node.way.limit());
            let sum = u32::try_from(limits.sum::<usize>()).unwrap();
            result.limits.push(f64::from(sum));
            result.expected.push(run.nodes[0][0].way.expected() * 1e3);
            if run.counts(step) {
                samples += 1.0;
                for (sum, node) in run.sums.iter_mut().zip(&run.nodes[0]) {
                    *sum += f64::from(u32::try_from(node.way.limit()).unwrap());
                }
            }
        }
    }
    let counted = sequence.counted.1 - sequence.counted.0;
    result.throughput = f64::from(u32::try_from(run.served).unwrap()) / counted;
    run.waits.sort_by(f64::total_cmp);
    result.wait = mean(&run.waits);
    result.wait_95 = percentile(&run.waits, 95);
    for delays in &mut run.delays {
        delays.sort_by(f64::total_cmp);
    }
    result.delays = run.delays;
    let means = run.sums.iter().map(|sum| sum / samples);
    result.shares = means.fold((f64::MAX, 0.0), |(least, most), mean| {
        (least.min(mean), f64::max(most, mean))
    });
    result
}

/// Mean of some values; zero without any.
pub fn mean(values: &[f64]) -> f64 {
    let count = values.len().max(1);
    values.iter().sum::<f64>() / f64::from(u32::try_from(count).unwrap())
}

/// Percentile of sorted values; zero without any.
pub fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let found = sorted.get(sorted.len() * percent / 100);
    found.copied().unwrap_or_default()
}

impl Run<'_> {
    fn counts(&self, step: u64) -> bool {
        let (from, until) = self.sequence.counted;
        (to_steps(from)..to_steps(until)).contains(&step)
    }

    // The queues and running statements of the instances are lost, and their pools replaced.
    fn restart(&mut self, way: fn() -> Box<dyn ways::Way>) {
        for (instance, nodes) in self.instances.iter_mut().zip(&mut self.nodes) {
            *instance = Instance::default();
            for node in nodes {
                node.running = 0;
                node.way = way();
            }
        }
    }

    // What the nodes hold is lost; statements that run go on, and their answers go nowhere.
    fn restart_nodes(&mut self, way: fn() -> Box<dyn ways::Way>) {
        for node in self.nodes.iter_mut().flatten() {
            node.waiting.clear();
            node.running = 0;
            node.way = way();
            node.process += 1;
        }
    }

    fn step(&mut self, step: u64) {
        let seconds = to_seconds(step);
        let [(rate, millis), (other_rate, other_millis)] = (self.sequence.bulk)(seconds);
        self.arrive(step, rate, millis, 1);
        self.arrive(step, other_rate, other_millis, 2);
        self.arrive(step, 20.0, 4.5, 0);
        for index in 0..self.instances.len() {
            self.answer(index, step);
            self.send(index, step);
            self.serve(index, step, (self.sequence.condition)(index, seconds));
        }
    }

    fn arrive(&mut self, step: u64, rate: f64, millis: f64, priority: u8) {
        if self.random.f64() >= rate * to_seconds(1) {
            return;
        }
        // Log-normal with a spread of 0.7, by the sum of twelve uniform numbers; 2 % take six
        // times as long.
        let normal: f64 = (0..12).map(|_| self.random.f64()).sum::<f64>() - 6.0;
        let tail = if self.random.f64() < 0.02 { 6.0 } else { 1.0 };
        let work = millis * (0.7 * normal - 0.245).exp() * tail;
        let node = self.random.usize(..self.sequence.nodes);
        let statement = Statement {
            arrived: step,
            sent: step,
            work: to_steps(work / 1e3).max(1),
            priority,
            node,
            process: 0,
            others: 0,
            nominal: 0,
        };
        let statement = Statement {
            nominal: statement.work,
            ..statement
        };
        let cost = |index: &usize| {
            let place = &self.nodes[*index][node];
            let load = f64::from(u32::try_from(place.running + place.waiting.len()).unwrap());
            place.way.cost(load)
        };
        let first = self.random.usize(..self.instances.len());
        let count = self.instances.len();
        let order = (0..count).map(|index| (index + first) % count);
        let chosen = order.min_by(|one, other| cost(one).total_cmp(&cost(other)));
        let waiting = &mut self.nodes[chosen.unwrap_or(first)][node].waiting;
        if priority == 0 {
            let place = waiting.iter().position(|other| other.priority > 0);
            waiting.insert(place.unwrap_or(waiting.len()), statement);
        } else {
            waiting.push_back(statement);
        }
    }

    fn answer(&mut self, index: usize, step: u64) {
        let answers = &mut self.instances[index].answers;
        let due: Vec<_> = answers.extract_if(.., |(at, ..)| *at <= step).collect();
        for (_, statement, outcome) in due {
            let node = &mut self.nodes[index][statement.node];
            if statement.process != node.process {
                continue;
            }
            let exchange = exchange::Exchange {
                kind: kind::Kind {
                    operation: kind::Operation::Read,
                    priority: statement.priority,
                    delayed: false,
                },
                took: time::Duration::from_micros((step - statement.sent) * STEP),
                outcome,
                full: node.running >= node.way.limit(),
                others: statement.others,
            };
            node.running -= 1;
            node.way
                .record(time::Duration::from_micros(step * STEP), &exchange);
            if outcome != exchange::Outcome::Done || !self.counts(step) {
                continue;
            }
            let took = step - statement.arrived - 2 * LINK;
            let delay = took.saturating_sub(statement.nominal);
            self.delays[usize::from(statement.priority)].push(to_seconds(delay) * 1e3);
            if statement.priority == 0 {
                self.waits.push(to_seconds(took - statement.work) * 1e3);
            } else {
                self.served += 1;
            }
        }
    }

    fn send(&mut self, index: usize, step: u64) {
        for node in &mut self.nodes[index] {
            node.waiting
                .retain(|statement| statement.arrived + TIMEOUT > step);
            while node.running < node.way.limit() {
                let Some(mut statement) = node.waiting.pop_front() else {
                    break;
                };
                statement.sent = step;
                statement.process = node.process;
                statement.others = node.running;
                node.running += 1;
                self.instances[index]
                    .arriving
                    .push_back((step + LINK, statement));
            }
        }
    }

    fn serve(&mut self, index: usize, step: u64, condition: Condition) {
        let instance = &mut self.instances[index];
        let done: Vec<_> = instance
            .running
            .extract_if(.., |(end, _)| *end <= step)
            .collect();
        for (_, statement) in done {
            let answer = if condition.loses {
                let given_up = statement.sent + TIMEOUT;
                (given_up.max(step), statement, exchange::Outcome::Lost)
            } else {
                (step + LINK, statement, exchange::Outcome::Done)
            };
            instance.answers.push(answer);
        }
        while let Some((at, statement)) = instance.arriving.front().copied()
            && at <= step
        {
            instance.arriving.pop_front();
            if instance.queue.len() < QUEUE {
                instance.queue.push_back(statement);
            } else {
                let refused = exchange::Outcome::Refused;
                instance.answers.push((step + LINK, statement, refused));
            }
        }
        while instance.running.len() < SLOTS
            && let Some(mut statement) = instance.queue.pop_front()
        {
            let others = u32::try_from(instance.running.len()).unwrap();
            let crowd = 1.0 + condition.contention * f64::from(others.saturating_sub(1));
            statement.work = to_steps(to_seconds(statement.work) * condition.slowness * crowd);
            let end = step + statement.work.max(1);
            instance.running.push((end, statement));
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_steps(seconds: f64) -> u64 {
    (seconds * 1e6) as u64 / STEP
}

fn to_seconds(steps: u64) -> f64 {
    f64::from(u32::try_from(steps * STEP).unwrap()) / 1e6
}
