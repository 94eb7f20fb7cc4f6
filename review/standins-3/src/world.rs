//! State shared by the stand-ins: the store's content, the instances with their replication, and
//! the record of what was sent, answered and run.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Interval at which an instance writes its entry.
const PING: Duration = Duration::from_millis(1200);

/// Term and number of a log position.
pub type Position = (u64, u64);

/// One record of a log.
#[derive(Clone, Debug)]
pub struct Entry {
    pub position: Position,
    pub ids: Vec<String>,
    /// When the primary appended it.
    pub appended: Instant,
    /// When this instance received it.
    pub received: Instant,
}

/// How an instance can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Power {
    Up,
    /// The process has ended: connections are refused.
    Down,
    /// No answer at all; open connections are silent.
    Dark,
}

#[derive(Clone, Debug)]
pub struct Instance {
    pub group: String,
    pub zone: String,
    pub address: std::net::SocketAddr,
    pub primary: bool,
    /// Newest term that it knows.
    pub term: u64,
    pub hold: u64,
    pub log: Vec<Entry>,
    pub power: Power,
    /// Counts the starts of the process; connections of an earlier one end.
    pub incarnation: u64,
    pub draining: bool,
    /// It receives nothing for a while.
    pub deaf: bool,
    /// One way to its primary.
    pub network: Duration,
    /// From receiving a record to applying it.
    pub apply: Duration,
    pub work: Duration,
    /// Statements that run at once, those that run, and those that wait.
    pub slots: usize,
    pub running: usize,
    pub queued: usize,
    pub connections: usize,
    pub max_connections: usize,
    pub seq: u64,
    /// The role in its entry.
    pub reported: bool,
    /// Since when it has written nothing, as it is down or dark.
    pub silent: Option<Instant>,
    /// Since when it, as a primary, can reach a primary of a later term.
    pub superseded: Option<Instant>,
}

impl Instance {
    pub fn received(&self) -> Position {
        self.log.last().map_or((1, 0), |entry| entry.position)
    }

    pub fn applied(&self) -> Position {
        if self.primary {
            return self.received();
        }
        let now = Instant::now();
        let applied = self
            .log
            .iter()
            .rev()
            .find(|entry| entry.received + self.apply <= now);
        applied.map_or((1, 0), |entry| entry.position)
    }
}

#[derive(Clone, Debug)]
pub struct Item {
    pub value: Vec<u8>,
    pub rev: u64,
    pub create_rev: u64,
    pub lease: u64,
}

#[derive(Clone, Debug)]
pub struct Event {
    pub rev: u64,
    pub key: String,
    pub item: Option<Item>,
    pub at: Instant,
}

/// What a statement that an instance ran looked like.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub text: String,
    pub instance: String,
    pub group: String,
    pub at: Instant,
    pub applied: Position,
    /// Who the connection was opened for.
    pub caller: String,
    /// The values that were set on the connection.
    pub values: BTreeMap<String, String>,
}

/// How the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    Silent,
    Busy,
}

pub struct State {
    pub items: BTreeMap<String, Item>,
    pub events: Vec<Event>,
    pub revision: u64,
    pub leases: BTreeMap<u64, (Instant, Duration)>,
    pub next_lease: u64,
    pub store: StoreMode,
    /// How far reads with `allow_stale` are behind.
    pub stale: Duration,
    pub instances: BTreeMap<String, Instance>,
    /// `sync_replicas` of all services.
    pub sync: usize,
    pub promote_delay: Duration,
    pub promotions: Vec<(Instant, String)>,
    pub promoted: Vec<(Instant, String, u64)>,
    pub orders: Vec<(Instant, String, u64, String)>,
    pub runs: Vec<Run>,
    pub calls: BTreeMap<String, u64>,
    /// Pairs of instances that cannot reach each other.
    pub parted: BTreeSet<(String, String)>,
    pub finished: bool,
}

pub struct World {
    state: Mutex<State>,
    pub changed: Condvar,
    pub start: Instant,
    record: Mutex<std::fs::File>,
}

pub type Shared = Arc<World>;

impl World {
    pub fn new(record: &std::path::Path) -> Shared {
        let state = State {
            items: BTreeMap::new(),
            events: Vec::new(),
            revision: 100,
            leases: BTreeMap::new(),
            next_lease: 70_000,
            store: StoreMode::Up,
            stale: Duration::ZERO,
            instances: BTreeMap::new(),
            sync: 1,
            promote_delay: Duration::from_millis(300),
            promotions: Vec::new(),
            promoted: Vec::new(),
            orders: Vec::new(),
            runs: Vec::new(),
            calls: BTreeMap::new(),
            parted: BTreeSet::new(),
            finished: false,
        };
        let world = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            start: Instant::now(),
            record: Mutex::new(std::fs::File::create(record).expect("the record can be written")),
        });
        let ticking = Arc::clone(&world);
        std::thread::spawn(move || ticking.tick_until_finished());
        world
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Milliseconds since the start of the script.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.start).as_millis()
    }

    /// Writes a line to the record, with the time.
    pub fn note(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms(Instant::now()));
        let _ = self
            .record
            .lock()
            .expect("no panic while locked")
            .write_all(line.as_bytes());
    }

    fn tick_until_finished(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(1));
            let mut state = self.lock();
            if state.finished {
                return;
            }
            state.expire_leases();
            let due = state.take_due_promotions();
            for id in due {
                if let Some(term) = state.promote(&id) {
                    self.note(&format!("PROMOTED {id} term {term}"));
                }
            }
            state.replicate();
            state.expire_entries();
            let changed = state.changed_roles();
            drop(state);
            changed.iter().for_each(|id| self.register(id));
            self.changed.notify_all();
        }
    }

    /// Writes a key as the operator or an instance does. Returns the time of the acknowledgement.
    pub fn put(&self, key: &str, value: &serde_json::Value) -> Instant {
        let mut state = self.lock();
        state.write(key, value.to_string().into_bytes(), 0);
        drop(state);
        self.changed.notify_all();
        self.note(&format!("STORE {key} {value}"));
        Instant::now()
    }

    /// Adds an instance, and writes its entry.
    pub fn register(&self, id: &str) {
        let entry = {
            let mut state = self.lock();
            let Some(instance) = state.instances.get_mut(id) else {
                return;
            };
            instance.seq += 1;
            instance.reported = instance.primary;
            instance.silent = None;
            serde_json::json!({
                "service": instance.group, "addr": instance.address.to_string(), "zone": instance.zone,
                "version": "v1", "capacity": 3, "warmup_left_ms": 0, "seq": instance.seq,
                "state": if instance.draining { "draining" } else { "ready" },
                "db_role": if instance.primary { "primary" } else { "replica" },
            })
        };
        self.put(&format!("servers/{id}"), &entry);
    }
}

impl State {
    pub fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let rev = self.revision;
        let create_rev = self.items.get(key).map_or(rev, |item| item.create_rev);
        let item = Item {
            value,
            rev,
            create_rev,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            rev,
            key: key.to_owned(),
            item: Some(item),
            at: Instant::now(),
        });
    }

    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = Event {
                rev: self.revision,
                key: key.to_owned(),
                item: None,
                at: Instant::now(),
            };
            self.events.push(event);
        }
    }

    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of = |item: &Item| item.lease == lease;
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| of(item))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        if self.store != StoreMode::Up {
            return;
        }
        let ended: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    // An entry is removed after three ping intervals of silence.
    fn expire_entries(&mut self) {
        let now = Instant::now();
        let mut expired = Vec::new();
        for (id, instance) in &mut self.instances {
            if instance.power == Power::Up {
                instance.silent = None;
                continue;
            }
            let since = *instance.silent.get_or_insert(now);
            if now > since + 3 * PING && self.items.contains_key(&format!("servers/{id}")) {
                expired.push(id.clone());
            }
        }
        expired
            .iter()
            .for_each(|id| self.remove(&format!("servers/{id}")));
    }

    // A change of the role is reported immediately, and an entry that expired is written again.
    fn changed_roles(&self) -> Vec<String> {
        let missing = |id: &String| !self.items.contains_key(&format!("servers/{id}"));
        let due = |id: &String, found: &Instance| {
            found.power == Power::Up
                && found.seq > 0
                && (found.primary != found.reported || missing(id))
        };
        let found = self.instances.iter().filter(|(id, found)| due(id, found));
        found.map(|(id, _)| id.clone()).collect()
    }

    fn take_due_promotions(&mut self) -> Vec<String> {
        let now = Instant::now();
        let (due, left) = self.promotions.drain(..).partition(|(at, _)| *at <= now);
        self.promotions = left;
        let due: Vec<(Instant, String)> = due;
        due.into_iter().map(|(_, id)| id).collect()
    }

    /// The named instance leads the next term with what it had received and nothing more.
    fn promote(&mut self, id: &str) -> Option<u64> {
        let group = self
            .instances
            .get(id)
            .filter(|found| found.power == Power::Up)?
            .group
            .clone();
        let of = |instance: &&Instance| instance.group == group;
        let leads = |instance: &Instance, term| instance.primary && instance.term == term;
        let highest = self
            .instances
            .values()
            .filter(of)
            .map(|found| found.term.max(found.hold))
            .max()?;
        if leads(
            &self.instances[id],
            self.instances
                .values()
                .filter(of)
                .map(|found| found.term)
                .max()?,
        ) {
            return None;
        }
        let term = highest + 1;
        for (name, instance) in &mut self.instances {
            if instance.group != group {
                continue;
            }
            instance.hold = 0;
            if name == id {
                instance.primary = true;
                instance.term = term;
                instance.superseded = None;
            }
        }
        self.promoted.push((Instant::now(), id.to_owned(), term));
        Some(term)
    }

    pub fn reaches(&self, one: &str, other: &str) -> bool {
        let up = |id: &str| {
            self.instances
                .get(id)
                .is_some_and(|found| found.power == Power::Up)
        };
        let pair = if one < other {
            (one, other)
        } else {
            (other, one)
        };
        up(one)
            && up(other)
            && !self
                .parted
                .contains(&(pair.0.to_owned(), pair.1.to_owned()))
    }

    fn replicate(&mut self) {
        let now = Instant::now();
        let ids: Vec<String> = self.instances.keys().cloned().collect();
        for id in &ids {
            let own = self.instances[id].clone_head();
            let newest = ids.iter().filter(|other| {
                let found = &self.instances[*other];
                *other != id && found.group == own.group && found.primary && self.reaches(id, other)
            });
            let newest = newest
                .max_by_key(|other| self.instances[*other].term)
                .cloned();
            let Some(newest) = newest else { continue };
            let lead_term = self.instances[&newest].term;
            if own.primary {
                let instance = self.instances.get_mut(id).expect("listed");
                if lead_term > own.term {
                    let since = *instance.superseded.get_or_insert(now);
                    if now > since + Duration::from_secs(1) {
                        instance.primary = false;
                        instance.superseded = None;
                    }
                }
                continue;
            }
            if own.power != Power::Up || own.hold > 0 || own.deaf || lead_term < own.term {
                continue;
            }
            let visible: Vec<Entry> = {
                let log = &self.instances[&newest].log;
                let count = log.partition_point(|entry| entry.appended + own.network <= now);
                let mine = &self.instances[id].log;
                let same = |(a, b): &(&Entry, &Entry)| a.position == b.position;
                let last = mine
                    .last()
                    .zip(mine.len().checked_sub(1).and_then(|at| log.get(at)));
                let common = match last {
                    Some(pair) if same(&pair) => mine.len(),
                    _ => mine.iter().zip(log).take_while(same).count(),
                };
                let tail: Vec<Entry> = log[common.min(count)..count].to_vec();
                let instance = self.instances.get_mut(id).expect("listed");
                // Records that this primary does not have are rolled back.
                if instance.term < lead_term || common < instance.log.len() {
                    instance.log.truncate(common);
                }
                tail
            };
            let instance = self.instances.get_mut(id).expect("listed");
            instance.term = lead_term;
            instance.log.extend(visible.into_iter().map(|entry| Entry {
                received: now,
                ..entry
            }));
        }
    }
}

impl Instance {
    // All but the log, which is long.
    fn clone_head(&self) -> Self {
        Self {
            group: self.group.clone(),
            zone: self.zone.clone(),
            log: Vec::new(),
            ..*self
        }
    }
}
