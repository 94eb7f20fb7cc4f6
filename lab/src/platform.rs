//! Stand-in for the platform's key-value service and VM list.
//!
//! Serves the published Consul KV HTTP API as far as `mangotray::platform` uses it,
//! with faults: outages, slow answers, lost answers, outdated VM lists, rate limits.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_lite::FutureExt;
use http_body_util::BodyExt;
use mangotray::clock;
use mangotray::clock::Clock;
use mangotray::id;
use mangotray::store;

use crate::call;
use crate::rate;
use crate::space;

/// Interval between two checks for leases that have ended.
const LEASE_EXPIRY_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Longest wait of a watch.
const MAX_WATCH_WAIT: time::Duration = time::Duration::from_mins(10);

type Executor = sync::Arc<async_executor::Executor<'static>>;

/// Initial settings of a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Port on the loopback address; 0 lets the system choose one.
    pub port: u16,
    /// Delay of each call before it is carried out.
    pub delay: time::Duration,
    /// Delay before a change of the VM list becomes visible.
    pub list_lag: time::Duration,
    /// Rate limits; `None` admits all calls.
    pub rates: Option<Rates>,
}

/// Rate limits of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Reads per second; a watch counts as one.
    pub reads: u32,
    /// Writes per second.
    pub writes: u32,
}

/// A running stand-in; it stops when the last handle is dropped.
pub struct Platform {
    address: net::SocketAddr,
    clock: clock::Monotonic,
    executor: Executor,
    outage: atomic::AtomicBool,
    /// Notified when an entry may have changed.
    changed: event_listener::Event,
    /// Notified at the start of an outage.
    outage_started: event_listener::Event,
    state: sync::Mutex<State>,
}

#[derive(Default)]
struct State {
    space: space::Space,
    delay: time::Duration,
    list_lag: time::Duration,
    /// VM lists in the order of their times.
    listing_history: Vec<(id::Time, Vec<store::Listing>)>,
    answer_loss: Option<AnswerLoss>,
    limits: Option<Limits>,
    /// Number of calls that arrived, by kind.
    calls: collections::HashMap<call::Kind, u64>,
}

/// Random loss of the answers to changes.
struct AnswerLoss {
    /// Fraction of answers that are lost, 0 to 1.
    fraction: f64,
    random: fastrand::Rng,
}

struct Limits {
    reads: rate::Limit,
    writes: rate::Limit,
}

impl Platform {
    /// Listens on the loopback address and serves on `executor`.
    ///
    /// ```
    /// use std::sync;
    /// use mangotray_lab::platform;
    /// let executor = sync::Arc::new(async_executor::Executor::new());
    /// let platform = platform::Platform::start(platform::Options::default(), &executor).unwrap();
    /// assert!(platform.address().ip().is_loopback());
    /// ```
    ///
    /// # Errors
    ///
    /// Fails when the port cannot be bound.
    pub fn start(options: Options, executor: &Executor) -> eyre::Result<sync::Arc<Self>> {
        let loopback = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, options.port));
        let listener = async_io::Async::<net::TcpListener>::bind(loopback)?;
        let platform = sync::Arc::new(Self {
            address: listener.get_ref().local_addr()?,
            clock: clock::Monotonic::new(),
            executor: sync::Arc::clone(executor),
            outage: atomic::AtomicBool::new(false),
            changed: event_listener::Event::new(),
            outage_started: event_listener::Event::new(),
            state: sync::Mutex::default(),
        });
        platform.set_delay(options.delay);
        platform.set_list_lag(options.list_lag);
        platform.set_rates(options.rates);
        let weak = sync::Arc::downgrade(&platform);
        executor.spawn(accept(listener, weak.clone())).detach();
        executor.spawn(expire(weak)).detach();
        Ok(platform)
    }

    /// Address that the stand-in listens on.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Starts or ends an outage: open connections are closed, calls are answered 503.
    ///
    /// Leases still expire during an outage.
    pub fn set_outage(&self, outage: bool) {
        self.outage.store(outage, atomic::Ordering::SeqCst);
        if outage {
            self.outage_started.notify(usize::MAX);
        }
    }

    /// Sets the delay of each call before it is carried out.
    ///
    /// A call is carried out even if its caller disconnects during the delay.
    pub fn set_delay(&self, delay: time::Duration) {
        self.lock().delay = delay;
    }

    /// For a fraction of the changes (0 to 1), carries out the change but closes the
    /// connection without an answer. `seed` makes the choice repeatable.
    pub fn lose_answers(&self, fraction: f64, seed: u64) {
        let random = fastrand::Rng::with_seed(seed);
        self.lock().answer_loss = (fraction > 0.0).then_some(AnswerLoss { fraction, random });
    }

    /// Sets the rate limits, above which calls are answered 429; `None` admits all calls.
    pub fn set_rates(&self, rates: Option<Rates>) {
        let now = self.clock.now();
        self.lock().limits = rates.map(|rates| Limits {
            reads: rate::Limit::new(rates.reads, now),
            writes: rate::Limit::new(rates.writes, now),
        });
    }

    /// Sets the VM list, which becomes visible after the lag.
    pub fn set_vms(&self, listings: Vec<store::Listing>) {
        let now = self.clock.now();
        self.lock().listing_history.push((now, listings));
    }

    /// Sets the delay before a change of the VM list becomes visible.
    pub fn set_list_lag(&self, list_lag: time::Duration) {
        self.lock().list_lag = list_lag;
    }

    /// Number of calls that arrived, including refused ones.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls.values().sum()
    }

    /// Number of calls of one kind that arrived, including refused ones.
    #[must_use]
    pub fn calls_of(&self, kind: call::Kind) -> u64 {
        self.lock().calls.get(&kind).copied().unwrap_or_default()
    }

    /// All entries, for audits.
    #[must_use]
    pub fn entries(&self) -> Vec<store::Entry> {
        self.lock().space.list("")
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("state of the stand-in")
    }

    fn in_outage(&self) -> bool {
        self.outage.load(atomic::Ordering::SeqCst)
    }

    /// Admits, delays, carries out and answers one call.
    async fn serve(self: sync::Arc<Self>, call: call::Call) -> eyre::Result<call::Response> {
        let kind = call.kind;
        let (admitted, delay) = self.admit(kind);
        if self.in_outage() {
            return call::plain(503, "outage");
        }
        if !admitted {
            return call::plain(429, "too many calls");
        }
        async_io::Timer::after(delay).await;
        if self.in_outage() {
            eyre::bail!("connection closed by an outage");
        }
        let response = match kind {
            call::Kind::Watch => self.watch(&call).await?,
            _ => self.lock().run(&call, self.clock.now())?,
        };
        if kind.changes() {
            self.changed.notify(usize::MAX);
            eyre::ensure!(!self.lock().loses_answer(), "answer lost");
        }
        Ok(response)
    }

    /// Counts a call; returns whether the rate limit admits it, and its delay.
    fn admit(&self, kind: call::Kind) -> (bool, time::Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        *state.calls.entry(kind).or_default() += 1;
        let admitted = state.limits.as_mut().is_none_or(|limits| {
            if kind.changes() {
                limits.writes.admit(now)
            } else {
                limits.reads.admit(now)
            }
        });
        (admitted, state.delay)
    }

    /// Waits until the index of the key differs from the caller's, or for the wait that the
    /// call asks for; then reads the key.
    async fn watch(&self, call: &call::Call) -> eyre::Result<call::Response> {
        let known_index: store::Version = call.number("index")?;
        let wait = call.duration("wait")?.min(MAX_WATCH_WAIT);
        let deadline = time::Instant::now() + wait;
        loop {
            let changed = self.changed.listen();
            if self.lock().space.index(&call.key) != known_index {
                break;
            }
            let timer = async {
                async_io::Timer::at(deadline).await;
                false
            };
            let woken_by_change = async {
                changed.await;
                true
            };
            if !woken_by_change.or(timer).await {
                break;
            }
        }
        self.lock().run(call, self.clock.now())
    }
}

impl State {
    /// Carries out a call at time `now`. Calls that cannot be read are errors.
    fn run(&mut self, call: &call::Call, now: id::Time) -> eyre::Result<call::Response> {
        self.space.expire(now);
        match call.kind {
            call::Kind::Get | call::Kind::Watch => {
                let found = self.space.get(&call.key).cloned();
                call::rows(found.as_slice(), self.space.index(&call.key))
            }
            call::Kind::List => {
                let found = self.space.list(&call.key);
                let index = found.iter().map(|entry| entry.version).max();
                call::rows(&found, index.unwrap_or(1))
            }
            call::Kind::Swap => self.swap(call),
            call::Kind::Grant => {
                let body: serde_json::Value = serde_json::from_slice(&call.body)?;
                let ttl = humantime::parse_duration(body["TTL"].as_str().unwrap_or_default())?;
                let id = self.space.grant(ttl, now);
                call::json(200, &serde_json::json!({ "ID": id }))
            }
            call::Kind::Renew if self.space.renew(&call.key, now) => {
                call::json(200, &serde_json::json!([]))
            }
            call::Kind::Renew => call::plain(404, "session not found"),
            call::Kind::Revoke => {
                self.space.revoke(&call.key);
                call::plain(200, "true")
            }
            call::Kind::Vms => call::json(200, &serde_json::to_value(self.visible_listings(now))?),
        }
    }

    fn swap(&mut self, call: &call::Call) -> eyre::Result<call::Response> {
        let expected_version = call.number("cas")?;
        let lease = call.query.get("acquire").map(String::as_str);
        match self
            .space
            .put(&call.key, call.body.clone(), expected_version, lease)
        {
            space::Outcome::Stored => call::plain(200, "true"),
            space::Outcome::Conflict => call::plain(200, "false"),
            space::Outcome::NoLease => call::plain(400, "invalid session"),
            space::Outcome::TooLarge => call::plain(413, "value is too large"),
        }
    }

    /// The newest list that was set at least the lag ago; the first one if none was.
    fn visible_listings(&self, now: id::Time) -> &[store::Listing] {
        let is_visible = |entry: &&(id::Time, Vec<store::Listing>)| entry.0 + self.list_lag <= now;
        let newest = self.listing_history.iter().rev().find(is_visible);
        newest
            .or(self.listing_history.first())
            .map_or(&[], |entry| &entry.1)
    }

    /// Draws whether the answer to a change is lost.
    fn loses_answer(&mut self) -> bool {
        self.answer_loss
            .as_mut()
            .is_some_and(|loss| loss.random.f64() < loss.fraction)
    }
}

async fn accept(listener: async_io::Async<net::TcpListener>, weak: sync::Weak<Platform>) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let timer = async {
            async_io::Timer::after(LEASE_EXPIRY_INTERVAL).await;
            None
        };
        let accepted = accepted.or(timer).await;
        let Some(platform) = weak.upgrade() else {
            return;
        };
        if let Some(Ok((stream, _))) = accepted {
            let connection = connect(stream, sync::Arc::downgrade(&platform));
            platform.executor.spawn(connection).detach();
        }
    }
}

async fn expire(weak: sync::Weak<Platform>) {
    while let Some(platform) = weak.upgrade() {
        let ended_leases = platform.lock().space.expire(platform.clock.now());
        if ended_leases > 0 {
            platform.changed.notify(usize::MAX);
        }
        drop(platform);
        async_io::Timer::after(LEASE_EXPIRY_INTERVAL).await;
    }
}

async fn connect(stream: async_io::Async<net::TcpStream>, weak: sync::Weak<Platform>) {
    let Some(platform) = weak.upgrade() else {
        return;
    };
    let outage_started = platform.outage_started.listen();
    drop(platform);
    let service = hyper::service::service_fn(move |request| respond(request, weak.clone()));
    let serve = async move {
        let stream = smol_hyper::rt::FuturesIo::new(stream);
        let served = hyper::server::conn::http1::Builder::new()
            .serve_connection(stream, service)
            .await;
        if let Err(error) = served {
            tracing::debug!(%error, "connection ended");
        }
    };
    serve.or(outage_started).await;
}

/// Answers one request; an error closes the connection without an answer.
async fn respond(
    request: hyper::Request<hyper::body::Incoming>,
    weak: sync::Weak<Platform>,
) -> eyre::Result<call::Response> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let Some(call) = call::Call::parse(&head.method, &head.uri, body) else {
        return call::plain(405, "no such call");
    };
    let platform = weak.upgrade().ok_or_else(|| eyre::eyre!("stopped"))?;
    let executor = sync::Arc::clone(&platform.executor);
    let (sender, receiver) = async_channel::bounded(1);
    // The call runs in its own task, so that it is carried out even if the caller
    // disconnects, as at a real service.
    let serve = async move {
        let _ = sender.send(platform.serve(call).await).await;
    };
    executor.spawn(serve).detach();
    receiver.recv().await?
}

#[cfg(test)]
mod tests;
