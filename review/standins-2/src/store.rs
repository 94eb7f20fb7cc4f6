//! The platform's store and its promotion call.

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::world;

/// Time of an answer of the store: 4 ms, and the way there and back.
const ANSWER: Duration = Duration::from_micros(4000 + 2800);

/// Time of an answer to a promotion call: 10 ms, and the way there and back twice, as the connection
/// is a new one. Then the time until the promotion takes effect.
const PROMOTION_ANSWER: Duration = Duration::from_micros(10_000 + 5600);
const PROMOTION: Duration = Duration::from_millis(300);

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    create_rev: u64,
    lease: u64,
}

struct Event {
    rev: u64,
    key: String,
    body: Value,
}

#[derive(Default)]
struct Content {
    items: BTreeMap<String, Item>,
    events: VecDeque<Event>,
    rev: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    world: world::Shared,
}

pub type Shared = Arc<Store>;

impl Store {
    pub fn start(world: &world::Shared) -> (Shared, SocketAddr) {
        let store = Arc::new(Self {
            content: Mutex::new(Content {
                rev: 100,
                next_lease: 7000,
                ..Content::default()
            }),
            changed: Condvar::new(),
            world: Arc::clone(world),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = Arc::clone(&store);
        std::thread::spawn(move || {
            while !expiring.world.is_over() {
                std::thread::sleep(Duration::from_millis(10));
                expiring.expire();
            }
        });
        (store, address)
    }

    /// Writes a key as an operator or an instance does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut content = self.content.lock().expect("no panic while locked");
        content.write(key, STANDARD.encode(value.to_string()), 0);
        let rev = content.rev;
        drop(content);
        self.changed.notify_all();
        self.world.note(&format!(
            "store: acknowledged {key} at revision {rev}: {value}"
        ));
    }

    pub fn remove(&self, key: &str) {
        self.content
            .lock()
            .expect("no panic while locked")
            .remove(key);
        self.changed.notify_all();
        self.world.note(&format!("store: {key} removed"));
    }

    /// Writes an instance's entry.
    pub fn register(&self, id: &str) {
        let entry = {
            let state = self.world.lock();
            let own = &state.instances[id];
            json!({
                "service": own.group, "addr": own.address.to_string(), "zone": own.zone, "version": "v1",
                "capacity": 3, "state": if own.draining { "draining" } else { "ready" }, "warmup_left_ms": 0,
                "db_role": if own.primary { "primary" } else { "replica" },
                "seq": self.world.began.elapsed().as_millis() as u64,
            })
        };
        self.put(&format!("servers/{id}"), &entry);
    }

    /// Writes an entry when the instance's role has changed; runs until the end.
    pub fn watch_roles(&self) {
        let mut known = BTreeMap::new();
        while !self.world.is_over() {
            std::thread::sleep(Duration::from_millis(20));
            let now: Vec<_> = {
                let state = self.world.lock();
                state
                    .instances
                    .values()
                    .filter(|own| own.up)
                    .map(|own| (own.id.clone(), own.primary))
                    .collect()
            };
            for (id, primary) in now {
                let before = known.insert(id.clone(), primary);
                if before.is_some_and(|before| before != primary) {
                    self.register(&id);
                }
            }
        }
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut content = self.content.lock().expect("no panic while locked");
        let ended: Vec<_> = content
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            content.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        loop {
            let mut head = Vec::new();
            loop {
                let mut line = String::new();
                match reader.read_line(&mut line) {
                    Ok(0) | Err(_) => return,
                    Ok(_) if line.trim_end().is_empty() => break,
                    Ok(_) => head.push(line.trim_end().to_owned()),
                }
            }
            let header = |name: &str| {
                let lines = head.iter().skip(1).filter_map(|line| line.split_once(':'));
                let found = lines
                    .into_iter()
                    .find(|(key, _)| key.eq_ignore_ascii_case(name));
                found.map(|(_, value)| value.trim().to_owned())
            };
            let length: usize = header("content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            let mut words = head
                .first()
                .map(String::as_str)
                .unwrap_or_default()
                .split(' ');
            let (Some(method), Some(target)) = (words.next(), words.next()) else {
                return;
            };
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            let duty = (header("duty-holder"), header("fence-token"));
            let (status, answer) = self.answer(method, path, query, &body, duty);
            let text = answer.to_string();
            let reply = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        method: &str,
        path: &str,
        query: &str,
        body: &Value,
        duty: (Option<String>, Option<String>),
    ) -> (u16, Value) {
        if path == "/failover" {
            return self.failover(body, duty);
        }
        std::thread::sleep(ANSWER);
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.into_iter().find(|(key, _)| *key == name);
            found.map(|(_, value)| unescape(value)).unwrap_or_default()
        };
        match (method, path) {
            ("GET", "/v1/kv-key") => {
                let content = self.content.lock().expect("no panic while locked");
                match content.items.get(&parameter("key")) {
                    Some(item) => {
                        let mut row = show(&parameter("key"), item);
                        row["store_revision"] = content.rev.into();
                        (200, row)
                    }
                    None => (404, json!({})),
                }
            }
            ("GET", "/v1/kv-range") => {
                let content = self.content.lock().expect("no panic while locked");
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let found = content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let mut items: Vec<_> = found.map(|(key, item)| show(key, item)).collect();
                let truncated = items.len() > 500;
                items.truncate(500);
                (
                    200,
                    json!({"items": items, "truncated": truncated, "store_revision": content.rev}),
                )
            }
            ("GET", "/v1/kv-watch") => {
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                self.watch(
                    &parameter("prefix"),
                    parameter("after").parse().unwrap_or(0),
                    wait,
                )
            }
            ("POST", "/v1/kv-txn") => self.transact(body),
            ("POST", "/v1/kv-lease") => {
                let mut content = self.content.lock().expect("no panic while locked");
                let millis = body["ttl_ms"].as_u64().unwrap_or(1000).max(1000);
                let ttl = Duration::from_millis(millis);
                content.next_lease += 1;
                let id = content.next_lease;
                content.leases.insert(id, (Instant::now() + ttl, ttl));
                (200, json!({"lease": id, "ttl_ms": millis}))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let mut content = self.content.lock().expect("no panic while locked");
                let id = path["/v1/kv-keep/".len()..].parse().unwrap_or(0);
                match content.leases.get_mut(&id) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        (200, json!({"ttl_ms": ttl.as_millis() as u64}))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let id = path["/v1/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.content
                    .lock()
                    .expect("no panic while locked")
                    .end_lease(id);
                self.changed.notify_all();
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let deadline = Instant::now() + wait;
        let mut content = self.content.lock().expect("no panic while locked");
        loop {
            let visible = content.rev;
            let found = content.events.iter().filter(|event| {
                event.rev > after && event.rev <= visible && event.key.starts_with(prefix)
            });
            let events: Vec<_> = found.map(|event| event.body.clone()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                return (200, json!({"events": events, "store_revision": visible}));
            }
            let pause = (deadline - now).min(Duration::from_millis(10));
            content = self
                .changed
                .wait_timeout(content, pause)
                .expect("no panic while locked")
                .0;
        }
    }

    fn transact(&self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut content = self.content.lock().expect("no panic while locked");
        let expected = rows("expected");
        let present = |row: &Value| content.items.get(row["key"].as_str().unwrap_or_default());
        if expected
            .iter()
            .any(|row| Some(present(row).map_or(0, |item| item.rev)) != row["rev"].as_u64())
        {
            let items: Vec<_> = expected
                .iter()
                .filter_map(|row| {
                    present(row).map(|item| show(row["key"].as_str().unwrap_or_default(), item))
                })
                .collect();
            return (412, json!({"items": items}));
        }
        let writes = rows("writes");
        let unknown = |row: &Value| {
            row["lease"]
                .as_u64()
                .is_some_and(|lease| lease > 0 && !content.leases.contains_key(&lease))
        };
        if writes.iter().any(unknown) {
            return (404, json!({}));
        }
        for row in &writes {
            let (key, value) = (
                row["key"].as_str().unwrap_or_default(),
                row["value"].as_str().unwrap_or_default(),
            );
            content.write(key, value.to_owned(), row["lease"].as_u64().unwrap_or(0));
        }
        for key in rows("deletes") {
            content.remove(key.as_str().unwrap_or_default());
        }
        let rev = content.rev;
        drop(content);
        self.changed.notify_all();
        for row in &writes {
            let value = STANDARD
                .decode(row["value"].as_str().unwrap_or_default())
                .unwrap_or_default();
            self.world.note(&format!(
                "store: {} written at revision {rev}: {}",
                row["key"],
                String::from_utf8_lossy(&value)
            ));
        }
        (200, json!({"rev": rev}))
    }

    fn failover(&self, body: &Value, duty: (Option<String>, Option<String>)) -> (u16, Value) {
        let id = body["id"].as_str().unwrap_or_default().to_owned();
        self.world.note(&format!(
            "platform: POST /failover {body} by {} with fence {}",
            duty.0.unwrap_or_default(),
            duty.1.unwrap_or_default()
        ));
        let up = self
            .world
            .lock()
            .instances
            .get(&id)
            .is_some_and(|own| own.up);
        if !up {
            return (409, json!({}));
        }
        let world = Arc::clone(&self.world);
        std::thread::spawn(move || {
            std::thread::sleep(PROMOTION);
            world.promote(&id);
        });
        std::thread::sleep(PROMOTION_ANSWER);
        (200, json!({}))
    }
}

impl Content {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let create_rev = self.items.get(key).map_or(self.rev, |item| item.create_rev);
        let item = Item {
            value,
            rev: self.rev,
            create_rev,
            lease,
        };
        let body = show(key, &item);
        self.items.insert(key.to_owned(), item);
        self.events.push_back(Event {
            rev: self.rev,
            key: key.to_owned(),
            body,
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            let body = json!({"key": key, "rev": self.rev, "deleted": true});
            self.events.push_back(Event {
                rev: self.rev,
                key: key.to_owned(),
                body,
            });
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| id > 0 && item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn show(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "rev": item.rev, "create_rev": item.create_rev, "lease": item.lease})
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
        bytes.push(u8::from_str_radix(&String::from_utf8_lossy(&digits), 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
