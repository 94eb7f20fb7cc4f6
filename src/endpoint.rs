//! One peer by its address: its connections, and when to try it again.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_lite::future;

use crate::clock;
use crate::dial;
use crate::hello;
use crate::id;

/// Connections to one peer; more than one, so that a large answer holds up only
/// a part of the sessions.
const CONNECTIONS_PER_PEER: usize = 2;

const INITIAL_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(5);

/// Whether a peer is worth trying, by what its last attempts showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    consecutive_failures: u32,
    retry_at: id::Time,
}

impl Health {
    /// A peer whose last attempt succeeded, or that was not tried yet.
    pub const HEALTHY: Self = Self {
        consecutive_failures: 0,
        retry_at: id::Time::ZERO,
    };

    /// False while the circuit is open: the last attempt failed, and none has
    /// succeeded since.
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

    /// Whether the pause after the last failure is over.
    #[must_use]
    pub fn retry_due(&self, now: id::Time) -> bool {
        now >= self.retry_at
    }

    /// Records a failure; `jitter` from 0 to 1 spreads the next attempts of many
    /// proxies, which would otherwise all meet a restarted peer at one moment.
    pub fn record_failure(&mut self, now: id::Time, jitter: f64) {
        let backoff = INITIAL_RETRY_DELAY * 2_u32.saturating_pow(self.consecutive_failures.min(16));
        let delay = backoff.min(MAX_RETRY_DELAY);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.retry_at = now + delay.mul_f64(0.5 + jitter / 2.0);
    }

    /// Records a success.
    pub fn record_success(&mut self) {
        *self = Self::HEALTHY;
    }
}

/// What opening a connection takes, the same for all peers.
pub struct Resources {
    /// How byte streams are opened.
    pub connector: Box<dyn dial::Connector>,
    /// Greeting of this installation.
    pub hello: hello::Hello,
    /// Where the connections' tasks run.
    pub executor: sync::Arc<async_executor::Executor<'static>>,
    /// Clock of pauses and deadlines.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Longest silence of a peer, in use [`dial::PING_TIMEOUT`].
    pub ping_timeout: time::Duration,
}

/// A peer by its address.
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
    /// A peer that has not been tried yet.
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

    /// What the last attempts showed.
    #[must_use]
    pub fn health(&self) -> Health {
        **self.health.load()
    }

    /// A live connection, opened if need be; `None` when the peer cannot be reached.
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
        // Whoever waited while another attempt failed does not wait for one more.
        if self.health().consecutive_failures > failures {
            return None;
        }
        self.open(slot).await
    }

    /// Tries a peer whose circuit is open again, beside the requests, so that none
    /// of them waits for a peer that is still gone.
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
                tracing::warn!(address = %self.address, %error, "peer cannot be reached");
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
