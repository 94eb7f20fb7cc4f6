//! An instance's side of the line protocol.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::world::{Instance, Position, Record, Shared, TRANSIT};

/// Time of a write or read in its slot.
const WORK: Duration = Duration::from_millis(4);

/// Statements that run at once, and those that wait beside them.
const SLOTS: usize = 3;
const QUEUE: usize = 24;

/// A commit that no replica receives in this time gets no answer.
const SYNC_TIMEOUT: Duration = Duration::from_secs(4);

/// The instance that fails a part of its requests, its liveness check being good: those of any text
/// but STATUS, HOLD, DEMOTE and RESUME.
pub type Grey = Arc<Mutex<Option<String>>>;

/// How many requests in a hundred such an instance fails.
const GREY_PERCENT: u64 = 40;

struct Session {
    world: Shared,
    id: String,
    grey: Grey,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
    /// Whether a transaction is open: read-only, its term, its writes.
    transaction: Option<(bool, u64, Vec<String>)>,
    failed: bool,
    random: u64,
}

/// Starts an instance on a free port.
pub fn start(
    world: &Shared,
    id: &str,
    group: &str,
    zone: &str,
    primary: bool,
    max_connections: usize,
    grey: &Grey,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    world.lock().instances.insert(
        id.to_owned(),
        Instance {
            id: id.to_owned(),
            group: group.to_owned(),
            zone: zone.to_owned(),
            address,
            primary,
            term: 1,
            held: 0,
            log: Vec::new(),
            up: true,
            draining: false,
            superseded: None,
            statements: 0,
            connections: 0,
        },
    );
    world.note(&format!(
        "instance {id} of {group} starts at {address}, {}",
        if primary { "primary" } else { "replica" }
    ));
    let (world, id, group, grey) = (
        Arc::clone(world),
        id.to_owned(),
        group.to_owned(),
        Arc::clone(grey),
    );
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            if !world.lock().instances[&id].up {
                // The process has ended: its port refuses.
                return;
            }
            let session = Session {
                world: Arc::clone(&world),
                id: id.clone(),
                grey: Arc::clone(&grey),
                values: BTreeMap::new(),
                prepared: BTreeMap::new(),
                transaction: None,
                failed: false,
                random: u64::from(stream.peer_addr().map_or(1, |peer| peer.port()))
                    .wrapping_mul(0x9e37_79b9_7f4a_7c15),
            };
            let group = group.clone();
            std::thread::spawn(move || session.serve(stream, &group, max_connections));
        }
    });
    address
}

/// Ends an instance's process.
pub fn stop(world: &Shared, id: &str) {
    let address = {
        let mut state = world.lock();
        let instance = state.instances.get_mut(id).expect("it is known");
        instance.up = false;
        instance.address
    };
    // Wakes the listener, so that its port is closed.
    let _ = TcpStream::connect(address);
    world.note(&format!("instance {id} has ended"));
}

fn show(position: Position) -> String {
    format!("{}.{}", position.0, position.1)
}

impl Session {
    fn serve(mut self, stream: TcpStream, group: &str, max_connections: usize) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        let mut started = false;
        loop {
            match reader.read_line(&mut line) {
                Ok(0) => break,
                Ok(_) if line.ends_with('\n') => {}
                Ok(_) => continue,
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    if !self.is_up() {
                        break;
                    }
                    continue;
                }
                Err(_) => break,
            }
            let text = line.trim_end_matches(['\r', '\n']).to_owned();
            line.clear();
            std::thread::sleep(TRANSIT);
            let answer = if started {
                self.query(&text)
            } else {
                std::thread::sleep(Duration::from_millis(12));
                let words: Vec<_> = text.split(' ').collect();
                let mut state = self.world.lock();
                let own = state.instances.get_mut(&self.id).expect("it is known");
                let named = words.get(3).is_none_or(|id| *id == self.id);
                if words.first() != Some(&"START") || words.get(1) != Some(&group) || !named {
                    Some(format!("ERR WRONGNODE {}\r\n", self.id))
                } else if own.connections >= max_connections {
                    Some(format!("ERR TOOMANY {}\r\n", self.id))
                } else {
                    started = true;
                    own.connections += 1;
                    Some(format!("READY I {}\r\n", show(own.applied())))
                }
            };
            let Some(answer) = answer else { break };
            std::thread::sleep(TRANSIT);
            if !self.is_up() || writer.write_all(answer.as_bytes()).is_err() || !started {
                break;
            }
        }
        if started {
            let mut state = self.world.lock();
            state
                .instances
                .get_mut(&self.id)
                .expect("it is known")
                .connections -= 1;
        }
    }

    fn is_up(&self) -> bool {
        let state = self.world.lock();
        !state.over && state.instances[&self.id].up
    }

    fn query(&mut self, line: &str) -> Option<String> {
        let mut words = line.splitn(3, ' ');
        let (Some("QUERY"), Some(id), Some(text)) = (words.next(), words.next(), words.next())
        else {
            self.world.note(&format!("{} got {line:?}", self.id));
            return None;
        };
        let commands = ["STATUS", "HOLD", "RESUME", "DEMOTE"];
        let own_command = commands.iter().any(|command| text.starts_with(command));
        let grey = self.grey.lock().expect("no panic while locked").as_ref() == Some(&self.id);
        let fails = !own_command && grey && {
            self.random = self
                .random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (self.random >> 33) % 100 < GREY_PERCENT
        };
        let end = if fails {
            if self.transaction.is_some() {
                self.failed = true;
            }
            let state = if self.transaction.is_some() { "E" } else { "I" };
            self.world.note(&format!("{} fails: {id} {text}", self.id));
            return Some(format!(
                "ERR FAILED {}\r\nREADY {state} {}\r\n",
                self.id,
                show(self.applied())
            ));
        } else {
            let end = self.execute(id, text)?;
            // An error inside a transaction makes it fail; a refused COMMIT has ended it.
            if end.starts_with("ERR") && self.transaction.is_some() {
                self.failed = true;
            }
            end
        };
        if !own_command {
            self.world.note(&format!(
                "{} runs: {id} {text} -> {}",
                self.id,
                end.trim_end().replace("\r\n", " | ")
            ));
        }
        let state = match (&self.transaction, self.failed) {
            (Some(_), true) => "E",
            (Some(_), false) => "T",
            _ => "I",
        };
        Some(format!(
            "{end}\r\nREADY {state} {}\r\n",
            show(self.applied())
        ))
    }

    fn applied(&self) -> Position {
        self.world.lock().instances[&self.id].applied()
    }

    fn refuse(&self, code: &str) -> Option<String> {
        Some(format!("ERR {code} {}", self.id))
    }

    fn execute(&mut self, id: &str, text: &str) -> Option<String> {
        let mut text = text;
        if self.failed && !["COMMIT", "ROLLBACK"].contains(&text) {
            return self.refuse("BAD");
        }
        if let Some(rest) = text.strip_prefix("AFTER ") {
            let (position, rest) = rest.split_once(' ')?;
            let (term, number) = position.split_once('.')?;
            if self.applied() < (term.parse().ok()?, number.parse().ok()?) {
                return self.refuse("BEHIND");
            }
            text = rest;
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            "STATUS" => Some(self.status()),
            "HOLD" | "DEMOTE" | "RESUME" => {
                let term: u64 = rest.parse().unwrap_or(0);
                let mut state = self.world.lock();
                let own = state.instances.get_mut(&self.id)?;
                match word {
                    "HOLD" if !own.primary && term > own.term => own.held = own.held.max(term),
                    "RESUME" => own.held = 0,
                    "DEMOTE" if own.primary && term > own.term => own.primary = false,
                    _ => {}
                }
                self.world
                    .note_in(&mut state, &format!("{} runs: {text}", self.id));
                drop(state);
                Some(self.status())
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                Some("DONE -".into())
            }
            "SET" => {
                let (name, value) = rest.split_once(' ')?;
                self.values.insert(name.into(), value.into());
                Some("DONE -".into())
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ')?;
                self.prepared.insert(name.into(), shape.into());
                Some("DONE -".into())
            }
            "BEGIN" => {
                let state = self.world.lock();
                let own = &state.instances[&self.id];
                if rest != "READ" && !own.primary {
                    drop(state);
                    return self.refuse("READONLY");
                }
                let term = own.term;
                drop(state);
                self.transaction = Some((rest == "READ", term, Vec::new()));
                Some("DONE -".into())
            }
            "ROLLBACK" => {
                self.transaction = None;
                self.failed = false;
                Some("DONE -".into())
            }
            "COMMIT" => {
                let Some((_, term, writes)) = self.transaction.take() else {
                    return self.refuse("BAD");
                };
                if std::mem::take(&mut self.failed) {
                    return self.refuse("ABORTED");
                }
                self.work()?;
                if writes.is_empty() {
                    return Some(format!("DONE {}.{id}", self.id));
                }
                self.append(id, writes, Some(term))
            }
            "READ" | "WRITE" => self.statement(id, word == "WRITE"),
            "EXEC" => {
                let (name, _) = rest.split_once(' ').unwrap_or((rest, ""));
                match self.prepared.get(name).cloned() {
                    None => self.refuse("NOSTMT"),
                    Some(shape) => self.statement(id, shape.starts_with("WRITE")),
                }
            }
            _ => self.refuse("BAD"),
        }
    }

    fn status(&self) -> String {
        std::thread::sleep(Duration::from_micros(500));
        let state = self.world.lock();
        let own = &state.instances[&self.id];
        let role = if own.primary { "primary" } else { "replica" };
        format!(
            "ROW {role} {} {} {} 0 {} {}\r\nDONE -",
            own.term,
            show(own.received()),
            own.held,
            own.statements,
            own.connections
        )
    }

    // Takes a slot for the time of a statement.
    fn work(&self) -> Option<()> {
        let mut state = self.world.lock();
        let own = state.instances.get_mut(&self.id)?;
        own.statements += 1;
        let turns = own.statements.div_ceil(SLOTS);
        drop(state);
        std::thread::sleep(WORK * u32::try_from(turns).unwrap_or(1));
        let mut state = self.world.lock();
        state.instances.get_mut(&self.id)?.statements -= 1;
        Some(())
    }

    fn statement(&mut self, id: &str, write: bool) -> Option<String> {
        if self.world.lock().instances[&self.id].statements >= SLOTS + QUEUE {
            return self.refuse("BUSY");
        }
        self.work()?;
        let (primary, term) = {
            let state = self.world.lock();
            let own = &state.instances[&self.id];
            (own.primary, own.term)
        };
        let lost = self
            .transaction
            .as_ref()
            .is_some_and(|(reads, begun, _)| !reads && (!primary || *begun != term));
        if lost || (write && !primary) {
            self.failed = self.transaction.is_some();
            return self.refuse("READONLY");
        }
        if !write {
            return Some(format!("ROW {}-{id}\r\nDONE {}.{id}", self.id, self.id));
        }
        if let Some((_, _, writes)) = &mut self.transaction {
            writes.push(id.to_owned());
            return Some(format!("DONE {}.{id}", self.id));
        }
        self.append(id, vec![id.to_owned()], None)
    }

    // Commits; answers once a replica has received it.
    fn append(&self, id: &str, writes: Vec<String>, begun: Option<u64>) -> Option<String> {
        let mut state = self.world.lock();
        let own = state.instances.get_mut(&self.id)?;
        if !own.primary || begun.is_some_and(|term| term != own.term) {
            drop(state);
            return self.refuse("READONLY");
        }
        let position = (own.term, own.received().1 + 1);
        own.log.push(Record {
            position,
            writes,
            received: Instant::now(),
            confirmed: false,
        });
        let deadline = Instant::now() + SYNC_TIMEOUT;
        loop {
            let own = &state.instances[&self.id];
            let found = own
                .log
                .iter()
                .rev()
                .find(|record| record.position == position);
            if found.is_some_and(|record| record.confirmed) && own.up {
                return Some(format!(
                    "DONE {}.{id}.{}.{}",
                    self.id, position.0, position.1
                ));
            }
            // Demoted, rolled back or ended before a replica had it: no answer.
            if !own.primary || !own.up || found.is_none() || Instant::now() > deadline || state.over
            {
                return None;
            }
            state = self
                .world
                .changed
                .wait_timeout(state, Duration::from_millis(20))
                .expect("no panic while locked")
                .0;
        }
    }
}
