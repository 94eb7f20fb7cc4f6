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
const CONNECTIONS: usize = 2;

const PAUSE_FIRST: time::Duration = time::Duration::from_millis(50);
const PAUSE_LONGEST: time::Duration = time::Duration::from_secs(5);

/// Whether a peer is worth trying, by what its last attempts showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    until: id::Time,
}

impl Health {
    /// A peer whose last attempt succeeded, or that was not tried yet.
    pub const WELL: Self = Self {
        failures: 0,
        until: id::Time::ZERO,
    };

    /// False while the circuit is open: the last attempt failed, and none has
    /// succeeded since.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::endpoint;
    /// let mut health = endpoint::Health::default();
    /// assert!(health.closed());
    /// health.fail(Duration::ZERO, 1.0);
    /// assert!(!health.closed());
    /// assert!(!health.due(Duration::from_millis(49)));
    /// assert!(health.due(Duration::from_millis(50)));
    /// ```
    #[must_use]
    pub fn closed(&self) -> bool {
        self.failures == 0
    }

    /// Whether the pause after the last failure is over.
    #[must_use]
    pub fn due(&self, now: id::Time) -> bool {
        now >= self.until
    }

    /// Records a failure; `jitter` from 0 to 1 spreads the next attempts of many
    /// proxies, which would otherwise all meet a restarted peer at one moment.
    pub fn fail(&mut self, now: id::Time, jitter: f64) {
        let doubled = PAUSE_FIRST * 2_u32.saturating_pow(self.failures.min(16));
        let pause = doubled.min(PAUSE_LONGEST);
        self.failures = self.failures.saturating_add(1);
        self.until = now + pause.mul_f64(0.5 + jitter / 2.0);
    }

    /// Records a success.
    pub fn succeed(&mut self) {
        *self = Self::WELL;
    }
}

/// What opening a connection takes, the same for all peers.
pub struct Means {
    /// How byte streams are opened.
    pub connector: Box<dyn dial::Connector>,
    /// Greeting of this installation.
    pub hello: hello::Hello,
    /// Where the connections' tasks run.
    pub executor: sync::Arc<async_executor::Executor<'static>>,
    /// Clock of pauses and deadlines.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Longest silence of a peer, in use [`dial::SILENCE`].
    pub silence: time::Duration,
}

/// A peer by its address.
pub struct Endpoint {
    address: net::SocketAddr,
    means: sync::Arc<Means>,
    slots: [Slot; CONNECTIONS],
    next: atomic::AtomicUsize,
    health: arc_swap::ArcSwap<Health>,
    probing: atomic::AtomicBool,
}

#[derive(Default)]
struct Slot {
    current: arc_swap::ArcSwapOption<dial::Connection>,
    opening: async_lock::Mutex<()>,
}

impl Slot {
    fn live(&self) -> Option<sync::Arc<dial::Connection>> {
        self.current
            .load_full()
            .filter(|connection| connection.alive())
    }
}

impl Endpoint {
    /// A peer that has not been tried yet.
    #[must_use]
    pub fn new(address: net::SocketAddr, means: sync::Arc<Means>) -> Self {
        Self {
            address,
            means,
            slots: Default::default(),
            next: atomic::AtomicUsize::new(0),
            health: arc_swap::ArcSwap::default(),
            probing: atomic::AtomicBool::new(false),
        }
    }

    /// What the last attempts showed.
    #[must_use]
    pub fn health(&self) -> Health {
        **self.health.load()
    }

    /// A live connection, opened if need be; `None` when the peer cannot be reached.
    pub async fn connection(&self) -> Option<sync::Arc<dial::Connection>> {
        let turn = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let slot = &self.slots[turn % CONNECTIONS];
        if let Some(connection) = slot.live() {
            return Some(connection);
        }
        let failures = self.health().failures;
        let _guard = slot.opening.lock().await;
        if let Some(connection) = slot.live() {
            return Some(connection);
        }
        // Whoever waited while another attempt failed does not wait for one more.
        if self.health().failures > failures {
            return None;
        }
        self.open(slot).await
    }

    /// Tries a peer whose circuit is open again, beside the requests, so that none
    /// of them waits for a peer that is still gone.
    pub fn probe(self: &sync::Arc<Self>) {
        if self.probing.swap(true, atomic::Ordering::AcqRel) {
            return;
        }
        let endpoint = self.clone();
        let attempt = async move {
            if endpoint.connection().await.is_some() {
                endpoint.record(Health::succeed);
            }
            endpoint.probing.store(false, atomic::Ordering::Release);
        };
        self.means.executor.spawn(attempt).detach();
    }

    async fn open(&self, slot: &Slot) -> Option<sync::Arc<dial::Connection>> {
        let expiry = async {
            async_io::Timer::after(dial::TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        match future::or(self.attempt(), expiry).await {
            Ok(connection) => {
                let connection = sync::Arc::new(connection);
                slot.current.store(Some(connection.clone()));
                self.record(Health::succeed);
                Some(connection)
            }
            Err(error) => {
                let now = self.means.clock.now();
                let jitter = fastrand::f64();
                self.record(|health| health.fail(now, jitter));
                tracing::warn!(address = %self.address, %error, "peer cannot be reached");
                None
            }
        }
    }

    async fn attempt(&self) -> std::io::Result<dial::Connection> {
        let means = &self.means;
        let stream = means.connector.connect(self.address).await?;
        let executor = means.executor.clone();
        dial::Connection::open(stream, &means.hello, executor, means.silence).await
    }

    fn record(&self, change: impl Fn(&mut Health)) {
        self.health.rcu(|health| {
            let mut health = **health;
            change(&mut health);
            health
        });
    }
}
