//! Stand-in of a database instance, which speaks the line protocol.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::world::{Entry, Instance, Power, Run, Shared};

/// A primary gives up waiting for a replica after this time, and does not answer.
const SYNC_TIMEOUT: Duration = Duration::from_secs(4);

/// Statements that wait for a slot before others are answered with `BUSY`.
const QUEUE: usize = 24;

/// What an instance is like at its start.
pub struct Kind<'a> {
    pub group: &'a str,
    pub zone: &'a str,
    pub primary: bool,
    pub network: Duration,
    pub apply: Duration,
    pub max_connections: usize,
}

/// Starts an instance and writes its entry.
pub fn start(world: &Shared, id: &str, kind: &Kind<'_>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let instance = Instance {
        group: kind.group.to_owned(),
        zone: kind.zone.to_owned(),
        address,
        primary: kind.primary,
        term: 1,
        hold: 0,
        log: Vec::new(),
        power: Power::Up,
        incarnation: 0,
        draining: false,
        deaf: false,
        network: kind.network,
        apply: kind.apply,
        work: Duration::from_millis(6),
        slots: 3,
        running: 0,
        queued: 0,
        connections: 0,
        max_connections: kind.max_connections,
        seq: 0,
        reported: kind.primary,
        silent: None,
        superseded: None,
    };
    world.lock().instances.insert(id.to_owned(), instance);
    listen(world, id, listener);
    world.register(id);
}

fn listen(world: &Shared, id: &str, listener: TcpListener) {
    listener
        .set_nonblocking(true)
        .expect("the listener is valid");
    let (world, id) = (Arc::clone(world), id.to_owned());
    std::thread::spawn(move || {
        loop {
            {
                let state = world.lock();
                if state.finished || state.instances[&id].power == Power::Down {
                    return;
                }
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let (world, id) = (Arc::clone(&world), id.clone());
                    std::thread::spawn(move || serve(&world, &id, stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    });
}

/// Ends the process: connections are reset, new ones are refused. Its log is kept.
pub fn crash(world: &Shared, id: &str) {
    world.note(&format!("CRASH {id}"));
    let mut state = world.lock();
    let instance = state.instances.get_mut(id).expect("the instance exists");
    instance.power = Power::Down;
    instance.incarnation += 1;
    instance.hold = 0;
}

/// Starts the process again at its address, with its log; as a replica if another one was promoted.
pub fn restart(world: &Shared, id: &str) {
    let address: SocketAddr = {
        let mut state = world.lock();
        let group = state.instances[id].group.clone();
        let own = state.instances[id].term;
        let later = state
            .instances
            .values()
            .any(|other| other.group == group && other.primary && other.term > own);
        let instance = state.instances.get_mut(id).expect("the instance exists");
        instance.power = Power::Up;
        instance.incarnation += 1;
        if later {
            instance.primary = false;
        }
        instance.address
    };
    world.note(&format!("RESTART {id}"));
    let listener = TcpListener::bind(address).expect("the port is still free");
    listen(world, id, listener);
    world.register(id);
}

struct Session<'a> {
    world: &'a Shared,
    id: &'a str,
    incarnation: u64,
    caller: String,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
    transaction: Option<Transaction>,
    failed: bool,
}

struct Transaction {
    read_only: bool,
    term: u64,
    writes: Vec<String>,
}

type Reply = (Vec<String>, String);

fn serve(world: &Shared, id: &str, stream: TcpStream) {
    let incarnation = {
        let mut state = world.lock();
        let instance = state.instances.get_mut(id).expect("the instance exists");
        instance.connections += 1;
        instance.incarnation
    };
    let session = Session {
        world,
        id,
        incarnation,
        caller: String::new(),
        values: BTreeMap::new(),
        prepared: BTreeMap::new(),
        transaction: None,
        failed: false,
    };
    let _ = session.run(stream);
    world
        .lock()
        .instances
        .get_mut(id)
        .expect("the instance exists")
        .connections -= 1;
}

impl Session<'_> {
    fn run(mut self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(5)))?;
        let mut buffer = Vec::new();
        let mut started = false;
        loop {
            if !self.alive() {
                return Ok(());
            }
            let dark = self.world.lock().instances[self.id].power == Power::Dark;
            if dark {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            if let Some(at) = buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&buffer[..at]).into_owned();
                buffer.drain(..at + 2);
                let out = if started {
                    self.query(&line)
                } else {
                    started = true;
                    self.start(&line)
                };
                let Some(out) = out else { return Ok(()) };
                if !self.alive() {
                    return Ok(());
                }
                stream.write_all(out.as_bytes())?;
                if out.starts_with("ERR") && !out.contains("READY") {
                    return Ok(());
                }
                continue;
            }
            let mut chunk = [0; 4096];
            match stream.read(&mut chunk) {
                Ok(0) => return Ok(()),
                Ok(count) => buffer.extend_from_slice(&chunk[..count]),
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn alive(&self) -> bool {
        let state = self.world.lock();
        let instance = &state.instances[self.id];
        !state.finished && instance.power != Power::Down && instance.incarnation == self.incarnation
    }

    fn start(&mut self, line: &str) -> Option<String> {
        let words: Vec<_> = line.split(' ').collect();
        let state = self.world.lock();
        let instance = &state.instances[self.id];
        if words.first() != Some(&"START") {
            return None;
        }
        let addressed = words.get(3).is_none_or(|id| *id == self.id);
        if words.get(1) != Some(&instance.group.as_str()) || !addressed {
            return Some(format!("ERR WRONGNODE {}\r\n", self.id));
        }
        if instance.connections > instance.max_connections {
            return Some(format!("ERR TOOMANY {}\r\n", self.id));
        }
        drop(state);
        words
            .get(2)
            .copied()
            .unwrap_or_default()
            .clone_into(&mut self.caller);
        std::thread::sleep(Duration::from_millis(12));
        Some(self.ready())
    }

    fn ready(&self) -> String {
        let (term, number) = self.world.lock().instances[self.id].applied();
        let state = match (&self.transaction, self.failed) {
            (_, true) => 'E',
            (Some(_), _) => 'T',
            _ => 'I',
        };
        format!("READY {state} {term}.{number}\r\n")
    }

    fn query(&mut self, line: &str) -> Option<String> {
        let rest = line.strip_prefix("QUERY ")?;
        let (id, text) = rest.split_once(' ')?;
        let (rows, end) = self.execute(id, text)?;
        if end.starts_with("ERR") && self.transaction.is_some() {
            self.failed = true;
        }
        let mut out = String::new();
        for row in rows {
            out += &format!("ROW {row}\r\n");
        }
        Some(out + &end + "\r\n" + &self.ready())
    }

    fn execute(&mut self, id: &str, text: &str) -> Option<Reply> {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ')?;
            let (term, number) = position.split_once('.')?;
            let wanted = (term.parse().ok()?, number.parse().ok()?);
            if self.world.lock().instances[self.id].applied() < wanted {
                return refusal("BEHIND");
            }
            text = rest;
        }
        let words: Vec<_> = text.split(' ').collect();
        let ends = matches!(words[0], "ROLLBACK" | "COMMIT");
        if self.failed && !ends {
            return refusal("BAD");
        }
        match words[0] {
            "STATUS" => Some(self.status()),
            "HOLD" => {
                let term = words.get(1)?.parse().ok()?;
                self.change(|instance| {
                    if !instance.primary && instance.term < term {
                        instance.hold = instance.hold.max(term);
                    }
                });
                self.noted_status(text)
            }
            "RESUME" => {
                self.change(|instance| instance.hold = 0);
                self.noted_status(text)
            }
            "DEMOTE" => {
                let term: u64 = words.get(1)?.parse().ok()?;
                self.change(|instance| {
                    if instance.primary && instance.term < term {
                        instance.primary = false;
                    }
                });
                let status = self.noted_status(text);
                status
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                done("-")
            }
            "SET" => {
                self.values
                    .insert(words.get(1)?.to_string(), words[2..].join(" "));
                done("-")
            }
            "PREPARE" => {
                self.prepared
                    .insert(words.get(1)?.to_string(), words[2..].join(" "));
                done("-")
            }
            "FORGET" => {
                self.prepared.remove(*words.get(1)?);
                done("-")
            }
            "BEGIN" => {
                let read_only = words.get(1) == Some(&"READ");
                let (primary, term) = self.role();
                if !read_only && !primary {
                    return refusal("READONLY");
                }
                self.transaction = Some(Transaction {
                    read_only,
                    term,
                    writes: Vec::new(),
                });
                done("-")
            }
            "ROLLBACK" => {
                self.transaction = None;
                self.failed = false;
                done("-")
            }
            "COMMIT" => self.commit(id),
            _ => self.statement(id, text),
        }
    }

    fn change(&self, change: impl Fn(&mut Instance)) {
        let mut state = self.world.lock();
        change(
            state
                .instances
                .get_mut(self.id)
                .expect("the instance exists"),
        );
    }

    fn role(&self) -> (bool, u64) {
        let state = self.world.lock();
        (
            state.instances[self.id].primary,
            state.instances[self.id].term,
        )
    }

    fn noted_status(&self, text: &str) -> Option<Reply> {
        let status = self.status();
        self.world
            .note(&format!("COMMAND {text} at {}: {}", self.id, status.0[0]));
        Some(status)
    }

    fn status(&self) -> Reply {
        let state = self.world.lock();
        let instance = &state.instances[self.id];
        let role = if instance.primary {
            "primary"
        } else {
            "replica"
        };
        let (term, number) = instance.received();
        let row = format!(
            "{role} {} {term}.{number} {} 0 0 {}",
            instance.term, instance.hold, instance.connections
        );
        (vec![row], "DONE -".into())
    }

    fn statement(&mut self, id: &str, text: &str) -> Option<Reply> {
        let mut text = text.to_owned();
        if let Some(rest) = text.strip_prefix("EXEC ") {
            let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
            let Some(shape) = self.prepared.get(name) else {
                return refusal("NOSTMT");
            };
            text = format!("{shape} {arguments}");
        }
        let write = text.starts_with("WRITE");
        let Some(work) = self.enter() else {
            return refusal("BUSY");
        };
        std::thread::sleep(work);
        self.change(|instance| instance.running -= 1);
        self.world.changed.notify_all();
        if !self.alive() {
            return None;
        }
        let (primary, term) = self.role();
        let lost = self
            .transaction
            .as_ref()
            .is_some_and(|open| !open.read_only && (!primary || open.term != term));
        let barred = self.transaction.as_ref().is_some_and(|open| open.read_only);
        if lost || write && (!primary || barred) {
            return refusal("READONLY");
        }
        self.note_run(id, &text);
        if write {
            if let Some(open) = &mut self.transaction {
                open.writes.push(id.to_owned());
                return done(&format!("d.{id}"));
            }
            return self.append(vec![id.to_owned()], id);
        }
        Some((vec![format!("row-of-{id}")], format!("DONE d.{id}")))
    }

    // Waits for a slot; `None` if the queue is full.
    fn enter(&self) -> Option<Duration> {
        let mut state = self.world.lock();
        let own = |state: &mut crate::world::State| {
            state.instances.get_mut(self.id).map(|own| {
                let free = own.running < own.slots;
                own.running += usize::from(free);
                free.then_some(own.work)
            })
        };
        if let Some(Some(work)) = own(&mut state) {
            return Some(work);
        }
        let instance = state.instances.get_mut(self.id)?;
        if instance.queued >= QUEUE {
            return None;
        }
        instance.queued += 1;
        loop {
            state = self
                .world
                .changed
                .wait_timeout(state, Duration::from_millis(5))
                .expect("no panic while locked")
                .0;
            let work = own(&mut state).flatten();
            if work.is_some() || state.finished {
                state.instances.get_mut(self.id)?.queued -= 1;
                return Some(work.unwrap_or_default());
            }
        }
    }

    fn note_run(&self, id: &str, text: &str) {
        let applied = {
            let mut state = self.world.lock();
            let instance = &state.instances[self.id];
            let (applied, group) = (instance.applied(), instance.group.clone());
            state.runs.push(Run {
                id: id.to_owned(),
                text: text.to_owned(),
                instance: self.id.to_owned(),
                group,
                at: Instant::now(),
                applied,
                caller: self.caller.clone(),
                values: self.values.clone(),
            });
            applied
        };
        self.world.note(&format!(
            "RUN {id} {text} at {} with {}.{} for {} with values {:?}",
            self.id, applied.0, applied.1, self.caller, self.values
        ));
    }

    fn commit(&mut self, id: &str) -> Option<Reply> {
        let failed = std::mem::take(&mut self.failed);
        let Some(open) = self.transaction.take() else {
            return refusal("BAD");
        };
        if failed {
            return refusal("ABORTED");
        }
        if open.writes.is_empty() {
            return done(&format!("d.{id}"));
        }
        let (primary, term) = self.role();
        if !primary || term != open.term {
            return refusal("READONLY");
        }
        self.note_run(id, "COMMIT");
        self.append(open.writes, id)
    }

    fn append(&self, ids: Vec<String>, id: &str) -> Option<Reply> {
        let (position, sync, group) = {
            let mut state = self.world.lock();
            let sync = state.sync;
            let instance = state
                .instances
                .get_mut(self.id)
                .expect("the instance exists");
            let position = (instance.term, instance.received().1 + 1);
            let now = Instant::now();
            // Its own records stay applied when it steps down.
            let received = now.checked_sub(instance.apply).unwrap_or(now);
            instance.log.push(Entry {
                position,
                ids,
                appended: now,
                received,
            });
            (position, sync, instance.group.clone())
        };
        self.world.note(&format!(
            "COMMITTED {id} at {} as {}.{}",
            self.id, position.0, position.1
        ));
        let until = Instant::now() + SYNC_TIMEOUT;
        while sync > 0 {
            let state = self.world.lock();
            let has = |log: &[Entry]| {
                log.binary_search_by_key(&position, |entry| entry.position)
                    .is_ok()
            };
            let copies = state.instances.iter().filter(|(name, other)| {
                *name != self.id
                    && other.group == group
                    && other.power == Power::Up
                    && has(&other.log)
            });
            if copies.count() >= sync {
                break;
            }
            let instance = &state.instances[self.id];
            if Instant::now() > until
                || !instance.primary
                || instance.incarnation != self.incarnation
            {
                return None;
            }
            drop(
                self.world
                    .changed
                    .wait_timeout(state, Duration::from_millis(5)),
            );
        }
        done(&format!("d.{id}.{}.{}", position.0, position.1))
    }
}

fn done(digest: &str) -> Option<Reply> {
    Some((Vec::new(), format!("DONE {digest}")))
}

fn refusal(code: &str) -> Option<Reply> {
    Some((Vec::new(), format!("ERR {code} refused")))
}
