//! State of the database instances: logs, replication, holds, promotions, and what was seen.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Term and number of a commit.
pub type Position = (u64, u64);

/// One way between two machines.
pub const TRANSIT: Duration = Duration::from_micros(1400);

/// Time after its receipt in which a replica applies a commit.
const APPLY: Duration = Duration::from_millis(20);

/// How long an old primary goes on once it reaches a primary of a later term.
const STEP_DOWN: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
pub struct Record {
    pub position: Position,
    /// Ids of its writes, for the debugger.
    #[allow(dead_code)]
    pub writes: Vec<String>,
    pub received: Instant,
    /// A replica has received it from this instance.
    pub confirmed: bool,
}

#[derive(Clone, Debug)]
pub struct Instance {
    pub id: String,
    pub group: String,
    pub zone: String,
    pub address: SocketAddr,
    pub primary: bool,
    pub term: u64,
    pub held: u64,
    pub log: Vec<Record>,
    pub up: bool,
    pub draining: bool,
    pub superseded: Option<Instant>,
    pub statements: usize,
    pub connections: usize,
}

impl Instance {
    pub fn received(&self) -> Position {
        self.log.last().map_or((1, 0), |record| record.position)
    }

    pub fn applied(&self) -> Position {
        let now = Instant::now();
        let applied = |record: &&Record| self.primary || record.received + APPLY <= now;
        let last = self.log.iter().take_while(applied).last();
        last.map_or((1, 0), |record| record.position)
    }

    pub fn has(&self, position: Position) -> bool {
        self.log
            .binary_search_by_key(&position, |record| record.position)
            .is_ok()
    }
}

#[derive(Clone, Debug)]
pub struct Acknowledged {
    pub group: &'static str,
    pub write: String,
    pub position: Position,
}

pub struct State {
    pub instances: BTreeMap<String, Instance>,
    /// Writes that were acknowledged to their requesters.
    pub acknowledged: Vec<Acknowledged>,
    /// Violations of the rule under test.
    pub violations: Vec<String>,
    pub over: bool,
    record: std::fs::File,
}

pub struct World {
    pub state: Mutex<State>,
    pub changed: Condvar,
    pub began: Instant,
}

pub type Shared = Arc<World>;

impl World {
    pub fn new(record: &std::path::Path) -> Shared {
        Arc::new(Self {
            state: Mutex::new(State {
                instances: BTreeMap::new(),
                acknowledged: Vec::new(),
                violations: Vec::new(),
                over: false,
                record: std::fs::File::create(record).expect("the record can be written"),
            }),
            changed: Condvar::new(),
            began: Instant::now(),
        })
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    pub fn is_over(&self) -> bool {
        self.lock().over
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        self.note_in(&mut self.lock(), text);
    }

    pub fn note_in(&self, state: &mut State, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(state.record, "{at:9.4} {text}");
    }

    pub fn violation(&self, state: &mut State, text: &str) {
        state.violations.push(text.to_owned());
        self.note_in(state, &format!("BROKEN {text}"));
    }

    /// Copies logs from primaries to replicas until the end.
    pub fn replicate(&self) {
        while !self.is_over() {
            std::thread::sleep(Duration::from_millis(1));
            let mut state = self.lock();
            let ids: Vec<_> = state.instances.keys().cloned().collect();
            for id in ids {
                self.step(&mut state, &id);
            }
            drop(state);
            self.changed.notify_all();
        }
    }

    fn step(&self, state: &mut State, id: &str) {
        let now = Instant::now();
        let Some(mut own) = state.instances.remove(id) else {
            return;
        };
        let group = own.group.clone();
        let leaders = state.instances.values_mut().filter(|other| {
            other.group == group && other.primary && other.up && other.term >= own.term
        });
        let leader = leaders.max_by_key(|other| other.term);
        if own.primary {
            match leader.filter(|leader| leader.term > own.term) {
                Some(_) if own.up => {
                    let since = *own.superseded.get_or_insert(now);
                    if now > since + STEP_DOWN {
                        own.primary = false;
                        own.superseded = None;
                        self.note_in(
                            state,
                            &format!("instance {id} steps down: it has reached a later primary"),
                        );
                    }
                }
                _ => own.superseded = None,
            }
        } else if let Some(leader) = leader.filter(|_| own.up && own.held == 0) {
            let pairs = own.log.iter().zip(&leader.log);
            let common = pairs
                .take_while(|(mine, theirs)| mine.position == theirs.position)
                .count();
            own.term = leader.term;
            let cut: Vec<_> = own
                .log
                .drain(common..)
                .map(|record| record.position)
                .collect();
            for record in &mut leader.log[common..] {
                if record.received + TRANSIT > now {
                    break;
                }
                own.log.push(Record {
                    received: now,
                    confirmed: false,
                    ..record.clone()
                });
                record.confirmed = true;
            }
            if !cut.is_empty() {
                self.note_in(state, &format!("instance {id} rolls back {cut:?}"));
            }
        }
        state.instances.insert(id.to_owned(), own);
    }

    /// Carries out a promotion: the instance leads the next term with what it has received.
    pub fn promote(&self, id: &str) {
        let mut state = self.lock();
        let Some(candidate) = state.instances.get(id).filter(|found| found.up).cloned() else {
            return self.note_in(
                &mut state,
                &format!("promotion of {id} not carried out: it does not run"),
            );
        };
        let group: Vec<_> = state
            .instances
            .values()
            .filter(|other| other.group == candidate.group)
            .cloned()
            .collect();
        let leads = group
            .iter()
            .filter(|other| other.primary && other.up)
            .max_by_key(|other| other.term);
        if leads.is_some_and(|leader| leader.id == id) {
            return;
        }
        let term = group.iter().map(|other| other.term).max().unwrap_or(0) + 1;
        let views: Vec<_> = group
            .iter()
            .map(|other| {
                format!(
                    "{}{}{}={:?}",
                    other.id,
                    if other.primary { "(primary)" } else { "" },
                    if other.held > 0 { "(held)" } else { "" },
                    other.received()
                )
            })
            .collect();
        self.note_in(
            &mut state,
            &format!(
                "instance {id} leads term {term} from now on with {:?}; logs: {}",
                candidate.received(),
                views.join(" ")
            ),
        );
        let lacks = |known: &&Acknowledged| {
            known.group == candidate.group && !candidate.has(known.position)
        };
        let lost: Vec<_> = state.acknowledged.iter().filter(lacks).cloned().collect();
        for known in &lost {
            state
                .acknowledged
                .retain(|other| other.write != known.write);
            let (write, position) = (&known.write, known.position);
            self.violation(&mut state, &format!("LOST: write {write} to {} was acknowledged at {position:?} and is not in the log of {id}, which was promoted", known.group));
        }
        for other in state
            .instances
            .values_mut()
            .filter(|other| other.group == candidate.group)
        {
            other.held = 0;
            if other.id == id {
                other.primary = true;
                other.term = term;
            }
        }
    }
}
