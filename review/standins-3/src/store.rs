//! Stand-in of the platform's metadata store and of its call that names a new primary.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use serde_json::{Value, json};

use crate::world::{Event, Item, Power, Shared, State, StoreMode};

/// Serves the store and `POST /failover`. Returns its address.
pub fn serve(world: &Shared) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let world = Arc::clone(world);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = Arc::clone(&world);
            std::thread::spawn(move || {
                let _ = serve_connection(&world, stream);
            });
        }
    });
    address
}

struct Request {
    method: String,
    path: String,
    query: Vec<(String, String)>,
    holder: String,
    fence: u64,
    body: Vec<u8>,
}

fn serve_connection(world: &Shared, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let mode = world.lock().store;
        let duty = request.path == "/failover";
        let (status, body) = match mode {
            StoreMode::Silent if !duty => loop {
                std::thread::sleep(Duration::from_secs(1));
                if world.lock().finished {
                    return Ok(());
                }
            },
            StoreMode::Busy if !duty => (503, json!({})),
            _ => {
                // An answer takes 4 ms.
                std::thread::sleep(Duration::from_millis(4));
                answer(world, &request)
            }
        };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(head.as_bytes())?;
        writer.write_all(body.as_bytes())?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (mut length, mut holder, mut fence) = (0, String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let Some((name, value)) = line.split_once(':') else {
            continue;
        };
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().unwrap_or(0),
            "duty-holder" => value.clone_into(&mut holder),
            "fence-token" => fence = value.parse().unwrap_or(0),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs
        .map(|(key, value)| (key.to_owned(), unescape(value)))
        .collect();
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query,
        holder,
        fence,
        body,
    }))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn answer(world: &Shared, request: &Request) -> (u16, Value) {
    let get = |name: &str| {
        let found = request.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    };
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let call = format!(
        "{} {}",
        request.method,
        request
            .path
            .split('/')
            .take(3)
            .collect::<Vec<_>>()
            .join("/")
    );
    *world.lock().calls.entry(call).or_default() += 1;
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/v1/kv-key") => {
            let state = world.lock();
            match state.items.get(&get("key")) {
                Some(item) => {
                    let mut row = row(&get("key"), item);
                    row["store_revision"] = state.revision.into();
                    (200, row)
                }
                None => (404, json!({"store_revision": state.revision})),
            }
        }
        ("GET", "/v1/kv-range") => {
            let state = world.lock();
            let prefix = get("prefix");
            let found = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix));
            let items: Vec<_> = found.map(|(key, item)| row(key, item)).collect();
            (
                200,
                json!({"items": items, "truncated": false, "store_revision": state.revision}),
            )
        }
        ("GET", "/v1/kv-watch") => {
            let after = get("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(get("wait_ms").parse().unwrap_or(0));
            watch(
                world,
                &get("prefix"),
                after,
                wait,
                get("allow_stale") == "1",
            )
        }
        ("POST", "/v1/kv-txn") => {
            let answer = transact(&mut world.lock(), &body);
            world.changed.notify_all();
            world.note(&format!("TXN {} {}", answer.0, keys_of(&body)));
            answer
        }
        ("POST", "/v1/kv-lease") => {
            let mut state = world.lock();
            let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1000));
            state.next_lease += 1;
            let lease = state.next_lease;
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            (
                200,
                json!({"lease": lease, "ttl_ms": ttl.as_millis() as u64}),
            )
        }
        ("POST", path) if path.starts_with("/v1/kv-keep/") => {
            let mut state = world.lock();
            let lease = path
                .rsplit('/')
                .next()
                .and_then(|id| id.parse::<u64>().ok());
            match lease.and_then(|lease| state.leases.get_mut(&lease)) {
                Some((until, ttl)) => {
                    *until = Instant::now() + *ttl;
                    (200, json!({"ttl_ms": ttl.as_millis() as u64}))
                }
                None => (404, json!({})),
            }
        }
        ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
            let lease = path
                .rsplit('/')
                .next()
                .and_then(|id| id.parse::<u64>().ok());
            world.lock().end_lease(lease.unwrap_or(0));
            world.changed.notify_all();
            (200, json!({}))
        }
        ("POST", "/failover") => failover(world, request, &body),
        _ => (404, json!({})),
    }
}

fn keys_of(body: &Value) -> String {
    let rows = body["writes"].as_array().cloned().unwrap_or_default();
    let keys: Vec<_> = rows
        .iter()
        .map(|row| row["key"].as_str().unwrap_or_default().to_owned())
        .collect();
    keys.join(" ")
}

fn row(key: &str, item: &Item) -> Value {
    let value = base64::engine::general_purpose::STANDARD.encode(&item.value);
    json!({"key": key, "value": value, "rev": item.rev, "create_rev": item.create_rev, "lease": item.lease})
}

fn event(event: &Event) -> Value {
    match &event.item {
        Some(item) => row(&event.key, item),
        None => json!({"key": event.key, "rev": event.rev, "deleted": true}),
    }
}

// A read that may be stale shows the store as it was some time ago.
fn watch(
    world: &Shared,
    prefix: &str,
    after: u64,
    wait: Duration,
    may_be_stale: bool,
) -> (u16, Value) {
    let until = Instant::now() + wait;
    let mut state = world.lock();
    loop {
        let lag = if may_be_stale {
            state.stale
        } else {
            Duration::ZERO
        };
        let now = Instant::now();
        let visible = state.events.partition_point(|event| event.at + lag <= now);
        let seen = &state.events[..visible];
        let revision = if lag.is_zero() {
            state.revision
        } else {
            seen.last().map_or(after, |event| event.rev).max(after)
        };
        let found = seen
            .iter()
            .filter(|event| event.rev > after && event.key.starts_with(prefix));
        let events: Vec<_> = found.map(self::event).collect();
        if !events.is_empty() || now >= until || state.finished {
            return (200, json!({"events": events, "store_revision": revision}));
        }
        let left = until
            .saturating_duration_since(now)
            .min(Duration::from_millis(20));
        state = world
            .changed
            .wait_timeout(state, left)
            .expect("no panic while locked")
            .0;
    }
}

fn transact(state: &mut State, body: &Value) -> (u16, Value) {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let current = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.rev);
    if rows("expected")
        .iter()
        .any(|row| Some(current(state, &text(&row["key"]))) != row["rev"].as_u64())
    {
        return (412, json!({"items": []}));
    }
    for row in rows("writes") {
        let lease = row["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, json!({}));
        }
    }
    for row in rows("writes") {
        let value = base64::engine::general_purpose::STANDARD.decode(text(&row["value"]));
        state.write(
            &text(&row["key"]),
            value.unwrap_or_default(),
            row["lease"].as_u64().unwrap_or(0),
        );
    }
    for key in rows("deletes") {
        state.remove(&text(&key));
    }
    (200, json!({"rev": state.revision}))
}

fn failover(world: &Shared, request: &Request, body: &Value) -> (u16, Value) {
    let id = body["id"].as_str().unwrap_or_default().to_owned();
    world.note(&format!(
        "ORDER {id} by {} with {}",
        request.holder, request.fence
    ));
    let mut state = world.lock();
    state.orders.push((
        Instant::now(),
        request.holder.clone(),
        request.fence,
        id.clone(),
    ));
    let Some(found) = state.instances.get(&id) else {
        return (409, json!({}));
    };
    if found.power != Power::Up {
        return (409, json!({}));
    }
    let at = Instant::now() + state.promote_delay;
    state.promotions.push((at, id));
    (200, json!({}))
}
