//! Connections to one peer, and its circuit breaker.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_lite::future;

use crate::clock;
use crate::dial;
use crate::hello;
use crate::id;

/// Number of connections to one peer. With more than one, a large answer delays only a part of the
/// sessions.
const CONNECTIONS_PER_PEER: usize = 2;

/// Longest delay before the first retry, before random shortening.
const INITIAL_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Longest delay before any retry.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);

/// Circuit breaker of a peer, from the results of the latest attempts to connect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    consecutive_failures: u32,
    retry_at: id::Time,
}

impl Health {
    /// State of a peer whose last attempt succeeded or that has not been tried yet.
    pub const HEALTHY: Self = Self {
        consecutive_failures: 0,
        retry_at: id::Time::ZERO,
    };

    /// Whether the circuit is closed. It is open from a failed attempt until the next successful
    /// one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::endpoint;
    /// let mut health = endpoint::Health::default();
    /// assert!(health.circuit_closed());
    /// health.record_failure(Duration::ZERO, 1.0);
    /// assert!(!health.circuit_closed());
    /// assert!(!health.retry_due(Duration::from_millis(49)));
    /// assert!(health.retry_due(Duration::from_millis(50)));
    /// ```
    #[must_use]
    pub fn circuit_closed(&self) -> bool {
        self.consecutive_failures == 0
    }

    /// Whether the retry delay after the last failure has elapsed.
    #[must_use]
    pub fn retry_due(&self, now: id::Time) -> bool {
        now >= self.retry_at
    }

    /// Records a failure and doubles the retry delay, up to a limit. `jitter` from 0 to 1 scales
    /// the delay to between half and all of it, so that many proxies do not retry a restarted peer
    /// at the same moment.
    pub fn record_failure(&mut self, now: id::Time, jitter: f64) {
        let backoff = INITIAL_RETRY_DELAY * 2_u32.saturating_pow(self.consecutive_failures.min(16));
        let delay = backoff.min(MAX_RETRY_DELAY);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.retry_at = now + delay.mul_f64(0.5 + jitter / 2.0);
    }

    /// Records a success, which closes the circuit.
    pub fn record_success(&mut self) {
        *self = Self::HEALTHY;
    }
}

/// Dependencies of the connections, shared by all peers.
pub struct Resources {
    /// Opens the byte streams.
    pub connector: Box<dyn dial::Connector>,
    /// Handshake of this installation.
    pub hello: hello::Hello,
    /// Executor that runs the connections' tasks.
    pub executor: sync::Arc<async_executor::Executor<'static>>,
    /// Clock of the retry delays.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Time to wait for the answer to a ping; [`dial::PING_TIMEOUT`] except in tests.
    pub ping_timeout: time::Duration,
}

/// Peer at one address.
pub struct Endpoint {
    address: net::SocketAddr,
    resources: sync::Arc<Resources>,
    slots: [Slot; CONNECTIONS_PER_PEER],
    next_slot: atomic::AtomicUsize,
    health: arc_swap::ArcSwap<Health>,
    probe_running: atomic::AtomicBool,
}

#[derive(Default)]
struct Slot {
    connection: arc_swap::ArcSwapOption<dial::Connection>,
    open_lock: async_lock::Mutex<()>,
}

impl Slot {
    fn live(&self) -> Option<sync::Arc<dial::Connection>> {
        self.connection
            .load_full()
            .filter(|connection| connection.alive())
    }
}

impl Endpoint {
    /// Creates an endpoint for a peer that has not been tried yet.
    #[must_use]
    pub fn new(address: net::SocketAddr, resources: sync::Arc<Resources>) -> Self {
        Self {
            address,
            resources,
            slots: Default::default(),
            next_slot: atomic::AtomicUsize::new(0),
            health: arc_swap::ArcSwap::default(),
            probe_running: atomic::AtomicBool::new(false),
        }
    }

    /// State of the circuit breaker.
    #[must_use]
    pub fn health(&self) -> Health {
        **self.health.load()
    }

    /// Returns a live connection, opening one if necessary; `None` when the peer cannot be reached.
    pub async fn connection(&self) -> Option<sync::Arc<dial::Connection>> {
        let number = self.next_slot.fetch_add(1, atomic::Ordering::Relaxed);
        let slot = &self.slots[number % CONNECTIONS_PER_PEER];
        if let Some(connection) = slot.live() {
            return Some(connection);
        }
        let failures = self.health().consecutive_failures;
        let _guard = slot.open_lock.lock().await;
        if let Some(connection) = slot.live() {
            return Some(connection);
        }
        // An attempt failed while this call waited for the lock; it does not make another one.
        if self.health().consecutive_failures > failures {
            return None;
        }
        self.open(slot).await
    }

    /// Tries to reconnect to a peer whose circuit is open. This runs in the background, so that no
    /// request waits for a peer that is still unreachable.
    pub fn probe(self: &sync::Arc<Self>) {
        if self.probe_running.swap(true, atomic::Ordering::AcqRel) {
            return;
        }
        let endpoint = self.clone();
        let attempt = async move {
            if endpoint.connection().await.is_some() {
                endpoint.record(Health::record_success);
            }
            endpoint
                .probe_running
                .store(false, atomic::Ordering::Release);
        };
        self.resources.executor.spawn(attempt).detach();
    }

    async fn open(&self, slot: &Slot) -> Option<sync::Arc<dial::Connection>> {
        let expiry = async {
            async_io::Timer::after(dial::CONNECT_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        match future::or(self.attempt(), expiry).await {
            Ok(connection) => {
                let connection = sync::Arc::new(connection);
                slot.connection.store(Some(connection.clone()));
                self.record(Health::record_success);
                Some(connection)
            }
            Err(error) => {
                let now = self.resources.clock.now();
                let jitter = fastrand::f64();
                self.record(|health| health.record_failure(now, jitter));
                tracing::warn!(address = %self.address, %error, "cannot connect to peer");
                None
            }
        }
    }

    async fn attempt(&self) -> std::io::Result<dial::Connection> {
        let resources = &self.resources;
        let stream = resources.connector.connect(self.address).await?;
        let executor = resources.executor.clone();
        dial::Connection::open(stream, &resources.hello, executor, resources.ping_timeout).await
    }

    fn record(&self, change: impl Fn(&mut Health)) {
        self.health.rcu(|health| {
            let mut health = **health;
            change(&mut health);
            health
        });
    }
}
