//! Nodes that share the limit of one organisation, in virtual time, with faults.

#![allow(dead_code)] // Each test binary uses only a part.

use std::collections;
use std::time;

use mangotray::id;
use mangotray_desk::lending::serving;
use mangotray_desk::limits::allowance;
use mangotray_desk::limits::buckets;
use mangotray_desk::limits::lease;
use mangotray_desk::limits::ownership;
use mangotray_desk::limits::quota;
use mangotray_desk::limits::shard;
use mangotray_desk::limits::shares;
use mangotray_desk::limits::tokens;
use mangotray_desk::limits::tolerance;
use mangotray_desk::member;

pub const TOLERANCE: tolerance::Tolerance = tolerance::Tolerance {
    window: time::Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

pub const TIMING: ownership::Timing = ownership::Timing {
    lease: time::Duration::from_secs(2),
    takeover: time::Duration::from_secs(5),
};

const STEP: time::Duration = time::Duration::from_millis(10);
const ORGANISATION: &str = "dome";

/// Time for which a node is skipped after it did not answer.
const SKIP: time::Duration = time::Duration::from_secs(2);

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

pub fn member(name: &str) -> member::Member {
    member::Member {
        name: name.into(),
        domain: "here".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        protocol: 1,
        capacity: None,
    }
}

struct Machine {
    name: id::Vm,
    /// Counts the starts of its process.
    life: u64,
    shares: Option<shares::Shares>,
    /// Decides instead of the shares where the fleet counts each operation at one node.
    buckets: buckets::Buckets,
    members: Vec<member::Member>,
    list_version: u64,
    starts_at: id::Time,
    paused_until: id::Time,
    store_cut_until: id::Time,
    /// When the store last confirmed the configuration.
    confirmed: id::Time,
    quota: (u64, quota::Quota),
    skips: collections::BTreeMap<id::Vm, (id::Time, buckets::Reason)>,
}

enum Body {
    Ask(shares::Task, id::Time),
    Tell(shares::Task, id::Time, shares::Outcome),
    Members(u64, Vec<member::Member>),
    Quota(u64, quota::Quota),
}

struct Message {
    from: Option<usize>,
    to: usize,
    /// Life of the receiver that the message is for; `None` if any.
    life: Option<u64>,
    at: id::Time,
    body: Body,
}

/// The nodes, the links between them, and the store.
pub struct Fleet {
    pub now: id::Time,
    random: fastrand::Rng,
    machines: Vec<Machine>,
    messages: Vec<Message>,
    cut: collections::BTreeSet<(usize, usize)>,
    heal_at: id::Time,
    /// The members by the store.
    listed: Vec<member::Member>,
    list_version: u64,
    quotas: Vec<(id::Time, quota::Quota)>,
    grants: Vec<id::Time>,
    pending: f64,
    /// Whether one node counts each operation, as without shares.
    pub counting: bool,
    /// Percentage of messages that are lost; some others are very late.
    pub loss: u64,
}

impl Fleet {
    pub fn new(nodes: usize, seed: u64, quota: quota::Quota) -> Self {
        let names: Vec<id::Vm> = (0..nodes).map(|node| format!("n{node}").into()).collect();
        let listed: Vec<_> = names.iter().map(|name| member(name)).collect();
        let machines = names.into_iter().map(|name| Machine {
            name,
            life: 0,
            shares: None,
            buckets: buckets::Buckets::new(TOLERANCE, TIMING.takeover),
            members: Vec::new(),
            list_version: 0,
            starts_at: time::Duration::ZERO,
            paused_until: time::Duration::ZERO,
            store_cut_until: time::Duration::ZERO,
            confirmed: time::Duration::ZERO,
            quota: (1, quota),
            skips: collections::BTreeMap::new(),
        });
        Self {
            now: time::Duration::ZERO,
            random: fastrand::Rng::with_seed(seed),
            machines: machines.collect(),
            messages: Vec::new(),
            cut: collections::BTreeSet::new(),
            heal_at: time::Duration::ZERO,
            listed,
            list_version: 0,
            quotas: vec![(time::Duration::ZERO, quota)],
            grants: Vec::new(),
            pending: 0.0,
            counting: false,
            loss: 5,
        }
    }

    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        if self.now >= self.heal_at {
            self.cut.clear();
        }
        self.start_machines();
        self.deliver();
        for index in 0..self.machines.len() {
            if self.runs(index) {
                self.ask_due(index);
            }
        }
    }

    fn runs(&self, index: usize) -> bool {
        let machine = &self.machines[index];
        machine.shares.is_some() && self.now >= machine.paused_until
    }

    fn reaches_store(&self, index: usize) -> bool {
        self.now >= self.machines[index].store_cut_until
    }

    fn is_valid(&self, index: usize) -> bool {
        self.now.saturating_sub(self.machines[index].confirmed) < TIMING.takeover
    }

    fn start_machines(&mut self) {
        let now = self.now;
        for index in 0..self.machines.len() {
            let reaches_store = self.reaches_store(index);
            let runs = self.runs(index);
            let machine = &mut self.machines[index];
            if machine.shares.is_none() && now >= machine.starts_at {
                machine.life += 1;
                machine.members.clear();
                machine.skips.clear();
                machine.buckets = buckets::Buckets::new(TOLERANCE, TIMING.takeover);
                machine.confirmed = time::Duration::ZERO;
                let version = u64::try_from(self.quotas.len()).expect("a small number");
                machine.quota = (version, self.quotas.last().expect("a limit").1);
                let name = machine.name.clone();
                machine.shares = Some(shares::Shares::new(name, TIMING, TOLERANCE, now));
                let life = machine.life;
                let body = Body::Members(self.list_version, self.listed.clone());
                let at = now + millis(self.random.u64(10..200));
                if reaches_store {
                    self.send(None, index, Some(life), at, body);
                }
            } else if runs && reaches_store {
                let away = now.saturating_sub(machine.confirmed) > STEP;
                machine.confirmed = now;
                if away {
                    // It reads the list again before it is sure of its configuration.
                    let life = machine.life;
                    let body = Body::Members(self.list_version, self.listed.clone());
                    self.send(None, index, Some(life), now, body);
                }
            }
        }
    }

    fn send(
        &mut self,
        from: Option<usize>,
        to: usize,
        life: Option<u64>,
        at: id::Time,
        body: Body,
    ) {
        self.messages.push(Message {
            from,
            to,
            life,
            at,
            body,
        });
    }

    fn delay(&mut self) -> time::Duration {
        // Some messages are very late: they wait in a buffer, or the link is bad.
        match self.random.u64(0..100) {
            0..3 if self.loss > 0 => millis(self.random.u64(100..3000)),
            _ => millis(self.random.u64(1..20)),
        }
    }

    fn deliver(&mut self) {
        let due = |fleet: &Self, message: &Message| {
            let machine = &fleet.machines[message.to];
            message.at <= fleet.now && (fleet.now >= machine.paused_until)
        };
        let mut waiting = Vec::new();
        for message in std::mem::take(&mut self.messages) {
            if due(self, &message) {
                self.handle(message);
            } else {
                waiting.push(message);
            }
        }
        self.messages.extend(waiting);
    }

    fn handle(&mut self, message: Message) {
        let (now, to) = (self.now, message.to);
        if message.from.is_some_and(|from| self.is_cut(from, to)) {
            return;
        }
        let valid = self.is_valid(to);
        let machine = &mut self.machines[to];
        if message.life.is_some_and(|life| life != machine.life) {
            return;
        }
        let Some(shares) = &mut machine.shares else {
            return;
        };
        match message.body {
            // The store's lists arrive in order.
            Body::Members(version, members) if version >= machine.list_version => {
                shares.set_members(&members, now);
                machine.members = members;
                machine.list_version = version;
            }
            Body::Quota(version, quota) if version > machine.quota.0 => {
                machine.quota = (version, quota);
            }
            Body::Members(..) | Body::Quota(..) => {}
            Body::Tell(task, sent, outcome) => shares.learn(&task, sent, outcome, now),
            Body::Ask(task, sent) => {
                let lends = valid || task.request.kind == lease::Kind::Inquire;
                let response = if lends {
                    shares.answer(&task.request, now)
                } else {
                    lease::Response::Kept
                };
                let outcome = shares::Outcome::Answered(response);
                let Some(from) = message.from else { return };
                let asking = &self.machines[from].name;
                assert_eq!(*asking, task.request.from);
                let at = now + self.delay();
                if self.random.u64(0..100) >= self.loss {
                    let life = Some(task_life(&self.machines[from], sent));
                    self.send(Some(to), from, life, at, Body::Tell(task, sent, outcome));
                }
            }
        }
    }

    /// Sum of the parts of the limit that nodes may use now; more than 1 if several nodes use the
    /// same share.
    pub fn shares_in_use(&self) -> f64 {
        let running =
            (0..self.machines.len()).filter(|index| self.runs(*index) && self.is_valid(*index));
        let shares = running.filter_map(|index| self.machines[index].shares.as_ref());
        let held = shares.map(|shares| shares.held(&ORGANISATION.into(), self.now));
        held.map(|held| allowance::fraction(&held)).sum()
    }

    pub fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut.contains(&(one.min(other), one.max(other)))
    }

    fn ask_due(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let life = machine.life;
        let Some(shares) = &mut machine.shares else {
            return;
        };
        for task in shares.due(now) {
            let Some(to) = self.machines.iter().position(|other| other.name == task.to) else {
                continue;
            };
            let at = now + self.delay();
            if self.machines[to].shares.is_none() {
                let body = Body::Tell(task, now, shares::Outcome::Gone);
                self.send(Some(to), index, Some(life), at, body);
            } else if self.random.u64(0..100) >= self.loss {
                self.send(Some(index), to, None, at, Body::Ask(task, now));
            }
        }
    }

    /// Requests operations at `load` times the limit; returns their number.
    pub fn request_many(&mut self, load: f64) -> usize {
        self.requests(load).len()
    }

    /// Requests operations at `load` times the limit; returns for each the node that it was
    /// requested at, and whether it was granted.
    pub fn requests(&mut self, load: f64) -> Vec<(usize, bool)> {
        let rate = self.quotas.last().expect("a limit").1.rate;
        self.pending += rate * load * STEP.as_secs_f64();
        let mut requested = Vec::new();
        while self.pending >= 1.0 {
            // Callers do not act in step: the gaps between operations vary.
            self.pending -= 0.4 + 1.2 * self.random.f64();
            let index = self.random.usize(..self.machines.len());
            requested.push((index, self.request_at(index)));
        }
        requested
    }

    /// A random part of the nodes.
    pub fn choose(&mut self, count: usize) -> Vec<usize> {
        let mut all: Vec<_> = (0..self.machines.len()).collect();
        self.random.shuffle(&mut all);
        all.truncate(count);
        all
    }

    /// Requests an operation at a node; returns whether it was granted.
    pub fn request_at(&mut self, index: usize) -> bool {
        if !self.runs(index) || !self.is_valid(index) {
            return false;
        }
        let members = self.machines[index].members.clone();
        let key = shard::Shard::holding(&ORGANISATION.into(), shares::SHARDS).key();
        let mut turn = buckets::Reason::Counting;
        let (mut asked, mut overflow) = (0, false);
        let stray = self.loss > 0 && self.random.u64(0..100) < 2;
        for member in serving::ranked(&members, &key) {
            // Some nodes skip others for no good reason.
            if stray && self.random.bool() {
                turn = buckets::Reason::Silent;
                continue;
            }
            match self.ask(index, &member.name, turn, overflow) {
                Ok(tokens::Decision::Granted(_)) => {
                    self.grants.push(self.now);
                    return true;
                }
                Ok(tokens::Decision::Denied(_)) => return false,
                Ok(tokens::Decision::Unknown(_)) => overflow = true,
                Err((reason, was_asked)) => {
                    turn = turn.max(reason);
                    if !was_asked {
                        continue;
                    }
                }
            }
            asked += 1;
            if asked == 3 {
                break;
            }
        }
        false
    }

    // The error is the reason to ask the next node, and whether this one was asked in vain.
    fn ask(
        &mut self,
        index: usize,
        name: &id::Vm,
        turn: buckets::Reason,
        overflow: bool,
    ) -> Result<tokens::Decision, (buckets::Reason, bool)> {
        let now = self.now;
        let to = self.machines.iter().position(|other| other.name == *name);
        let to = to.expect("a machine");
        let skip = self.machines[index].skips.get(name);
        if let Some((_, reason)) = skip.filter(|(until, _)| now < *until) {
            return Err((*reason, false));
        }
        let gone = self.machines[to].shares.is_none();
        if gone || self.is_cut(index, to) || !self.runs(to) {
            let (skip, reason) = if gone {
                (millis(400), buckets::Reason::Gone)
            } else {
                (SKIP, buckets::Reason::Silent)
            };
            self.machines[index]
                .skips
                .insert(name.clone(), (now + skip, reason));
            return Err((reason, true));
        }
        if !self.is_valid(to) {
            return Ok(tokens::Decision::Unknown(millis(1000)));
        }
        let newer = self.machines[index].quota.0 > self.machines[to].quota.0;
        let quota = self.machines[if newer { index } else { to }].quota.1;
        let request = tokens::Request {
            token: buckets::Request {
                organisation: ORGANISATION.into(),
                quota,
                version: 1,
                turn,
            },
            from: self.machines[index].name.clone(),
            wanted: 1,
            overflow,
        };
        if self.counting {
            return Ok(
                match self.machines[to].buckets.decide(&request.token, now) {
                    buckets::Decision::Granted => tokens::Decision::Granted(1),
                    buckets::Decision::Denied(wait) | buckets::Decision::Unknown(wait) => {
                        tokens::Decision::Denied(wait)
                    }
                },
            );
        }
        let random = self.random.f64();
        let shares = self.machines[to].shares.as_mut().expect("it runs");
        Ok(shares.grant(&request, random, now))
    }

    pub fn restart(&mut self, index: usize, down: time::Duration) {
        let machine = &mut self.machines[index];
        machine.shares = None;
        machine.starts_at = self.now + down;
        machine.paused_until = time::Duration::ZERO;
    }

    pub fn restart_all(&mut self, down: time::Duration) {
        for index in 0..self.machines.len() {
            self.restart(index, down);
        }
    }

    /// Cuts all links between two parts of the nodes.
    pub fn split(&mut self, far: &[usize], length: time::Duration) {
        self.heal_at = self.now + length;
        for one in 0..self.machines.len() {
            for other in one + 1..self.machines.len() {
                if far.contains(&one) != far.contains(&other) {
                    self.cut.insert((one, other));
                }
            }
        }
    }

    /// Lets a random fault happen, about once in 0.4 seconds.
    pub fn random_fault(&mut self) {
        if self.random.u64(0..40) != 0 {
            return;
        }
        // The nodes of the shard are hit more often than others.
        let index = self.likely_owner();
        let length = millis(self.random.u64(50..8000));
        let down = millis(self.random.u64(10..3000));
        match self.random.u64(0..16) {
            0..4 => self.restart(index, down),
            4..6 => self.machines[index].paused_until = self.now + length,
            6..8 => {
                let far: Vec<_> = (0..self.machines.len())
                    .filter(|_| self.random.bool())
                    .collect();
                self.split(&far, length);
            }
            8..10 => {
                let other = self.likely_owner();
                self.cut.insert((index.min(other), index.max(other)));
                self.heal_at = self.heal_at.max(self.now + length);
            }
            10..12 => self.machines[index].store_cut_until = self.now + length,
            12..14 => self.change_members(),
            14 => self.change_quota(),
            _ => {
                if self.random.u64(0..3) == 0 {
                    self.restart_all(down / 4 + millis(200));
                }
            }
        }
    }

    fn likely_owner(&mut self) -> usize {
        let all: Vec<_> = self.machines.iter().map(|one| member(&one.name)).collect();
        let key = shard::Shard::holding(&ORGANISATION.into(), shares::SHARDS).key();
        let rank = self.random.usize(..7);
        let name = &serving::ranked(&all, &key)[rank].name;
        let found = self.machines.iter().position(|one| one.name == *name);
        found.expect("a machine")
    }

    // Entries of nodes that do not reach the store expire, others return.
    fn change_members(&mut self) {
        let down = |fleet: &Self, index: usize| {
            !fleet.reaches_store(index) || fleet.machines[index].shares.is_none()
        };
        let mut names = Vec::new();
        for index in 0..self.machines.len() {
            let expires = self.random.bool();
            if !(expires && down(self, index)) {
                names.push(member(&self.machines[index].name));
            }
        }
        self.listed = names;
        self.list_version += 1;
        for index in 0..self.machines.len() {
            if self.reaches_store(index) {
                let at = self.now + millis(self.random.u64(1..900));
                let body = Body::Members(self.list_version, self.listed.clone());
                let life = self.machines[index].life;
                self.send(None, index, Some(life), at, body);
            }
        }
    }

    fn change_quota(&mut self) {
        let quota = quota::Quota {
            rate: self.random.f64() * 150.0 + 1.0,
            burst: self.random.f64() * 150.0 + 1.0,
        };
        self.quotas.push((self.now, quota));
        let version = u64::try_from(self.quotas.len()).expect("a small number");
        for index in 0..self.machines.len() {
            let at = self.now + millis(self.random.u64(1..900));
            self.send(None, index, None, at, Body::Quota(version, quota));
        }
    }

    /// Describes the first window that holds more operations than are tolerated.
    pub fn violation(&self) -> Option<String> {
        let mut first = 0;
        for (last, at) in self.grants.iter().enumerate() {
            while at.saturating_sub(self.grants[first]) >= TOLERANCE.window {
                first += 1;
            }
            let count = f64::from(u32::try_from(last + 1 - first).expect("a small number"));
            let allowed = self.allowed(self.grants[first], *at);
            if count > allowed {
                return Some(format!("{count} of {allowed} operations until {at:?}"));
            }
        }
        None
    }

    // A limit binds from one window after it is in force everywhere.
    fn allowed(&self, from: id::Time, to: id::Time) -> f64 {
        let reach = TOLERANCE.window + TIMING.takeover;
        let started = from.saturating_sub(reach);
        let mut ends = self.quotas.iter().skip(1).map(|(since, _)| *since);
        let most = self.quotas.iter().map(|(since, quota)| {
            let ended = ends.next().is_some_and(|end| end <= started);
            if *since > to || ended {
                return 0.0;
            }
            quota.within(TOLERANCE.window) + TOLERANCE.excess_operations(quota)
        });
        most.fold(0.0, f64::max)
    }
}

// An answer is for the process that asked.
fn task_life(asking: &Machine, sent: id::Time) -> u64 {
    let started_after = asking.shares.is_none() || asking.starts_at > sent;
    if started_after { 0 } else { asking.life }
}
