//! Calling side of the connections between proxies.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use async_compat::CompatExt;
use futures_util::future;
use tarpc::client;

use crate::hello;
use crate::peer;
use crate::wire;

/// Longest time for a connection to be made and to pass its greeting.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// A connection whose ping stays unanswered for so long is given up; a peer that
/// was cut off without a word would otherwise hold every request to its deadline.
pub const PING_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Pings are this many times as frequent as the longest silence.
const PINGS_PER_TIMEOUT: u32 = 3;

/// Time beyond the deadline that the answer of a peer is waited for, as an answer
/// that says what became of the request is better than not knowing.
pub const ANSWER_GRACE: time::Duration = time::Duration::from_millis(50);

/// Deadline of calls that carry no batch.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Expiry that `tarpc` itself watches; far behind this module's own, because its
/// cancellation cannot tell a batch that ran from one that did not.
const RPC_DEADLINE_MARGIN: time::Duration = time::Duration::from_mins(1);

/// Opens byte streams to peers: plain TCP today, TLS once there are certificates.
pub trait Connector: Send + Sync {
    /// Opens a stream to the peer at that address.
    fn connect(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, io::Result<Box<dyn wire::Duplex>>>;
}

/// Plain TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Connector for Tcp {
    fn connect(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, io::Result<Box<dyn wire::Duplex>>> {
        Box::pin(async move {
            let stream = async_net::TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as Box<dyn wire::Duplex>)
        })
    }
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing of it was or ever will be sent.
    Unsent,
    /// It was sent, and the connection broke before the answer.
    Lost,
    /// It was sent, and no answer came in time.
    Expired,
}

/// One multiplexed connection to a peer; carries many sessions at once.
pub struct Connection {
    client: peer::PeerClient,
    executor: sync::Arc<async_executor::Executor<'static>>,
    alive: sync::Arc<atomic::AtomicBool>,
    next_session: atomic::AtomicU64,
    _task: async_executor::Task<()>,
}

impl Connection {
    /// Greets the peer at the other end of the stream and starts the connection's
    /// task; the connection ends when a ping is not answered within `silence`.
    ///
    /// # Errors
    /// When the stream breaks or the other end is not a peer of this system.
    pub async fn open(
        stream: Box<dyn wire::Duplex>,
        hello: &hello::Hello,
        executor: sync::Arc<async_executor::Executor<'static>>,
        ping_timeout: time::Duration,
    ) -> io::Result<Self> {
        let transport = hello.connect(stream).await?;
        let config = client::Config::default();
        let new_client = peer::PeerClient::new(config, transport);
        let client = new_client.client;
        let alive = sync::Arc::new(atomic::AtomicBool::new(true));
        let alive_flag = alive.clone();
        let pings = ping(client.clone(), ping_timeout);
        let task = async move {
            let dispatch = async {
                let end = new_client.dispatch.await;
                end.map_err(|error| io::Error::other(error.to_string()))
            };
            let end = futures_lite::future::or(dispatch, pings).await;
            alive_flag.store(false, atomic::Ordering::Release);
            tracing::info!(?end, "connection to a peer ended");
        };
        Ok(Self {
            client,
            _task: executor.spawn(task.compat()),
            executor,
            alive,
            next_session: atomic::AtomicU64::new(0),
        })
    }

    /// False once the connection has ended; it never comes back.
    #[must_use]
    pub fn alive(&self) -> bool {
        self.alive.load(atomic::Ordering::Acquire)
    }

    /// Draws a number for a new session.
    #[must_use]
    pub fn new_session(&self) -> peer::Session {
        self.next_session.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Runs one batch at the peer.
    ///
    /// # Errors
    /// A failure says whether the batch can still run; the peer's own refusal is
    /// part of the answer.
    pub async fn run(&self, run: peer::Run) -> Result<peer::Answer, Failure> {
        if !self.alive() {
            return Err(Failure::Unsent);
        }
        let mark = run.mark.clone();
        let timeout = run.remaining + ANSWER_GRACE;
        let call = async {
            let result = self
                .client
                .run(context(timeout + RPC_DEADLINE_MARGIN), run)
                .await;
            result.map_err(|error| self.failure(&error, &mark))
        };
        let expiry = async {
            async_io::Timer::after(timeout).await;
            Err(failure_after_abandoning(&mark, Failure::Expired))
        };
        futures_lite::future::or(call, expiry).await
    }

    fn failure(&self, error: &client::RpcError, mark: &peer::Transmission) -> Failure {
        match error {
            client::RpcError::Send(_) => return Failure::Unsent,
            // Before the connection's task gets to say so: nobody may choose it again.
            client::RpcError::Shutdown | client::RpcError::Channel(_) => {
                self.alive.store(false, atomic::Ordering::Release);
            }
            client::RpcError::DeadlineExceeded | client::RpcError::Server(_) => {}
        }
        failure_after_abandoning(mark, Failure::Lost)
    }

    /// Ends a session without waiting for it.
    pub fn close(&self, session: peer::Session) {
        let client = self.client.clone();
        let task = async move {
            client.close(context(CALL_TIMEOUT), session).await.ok();
        };
        self.executor.spawn(task).detach();
    }

    /// Asks for the peer's news.
    ///
    /// # Errors
    /// When the connection breaks or no answer comes in time.
    pub async fn exchange(&self, digest: peer::Digest) -> Result<peer::News, Failure> {
        with_call_timeout(self.client.exchange(context(CALL_TIMEOUT), digest)).await
    }

    /// Pushes news to the peer.
    ///
    /// # Errors
    /// When the connection breaks or no answer comes in time.
    pub async fn announce(&self, news: peer::News) -> Result<(), Failure> {
        with_call_timeout(self.client.announce(context(CALL_TIMEOUT), news)).await
    }

    /// Asks whether the peer, too, sees that primary as failed.
    ///
    /// # Errors
    /// When the connection breaks or no answer comes in time.
    pub async fn suspects(&self, suspect: peer::Suspect) -> Result<bool, Failure> {
        with_call_timeout(self.client.suspects(context(CALL_TIMEOUT), suspect)).await
    }
}

fn failure_after_abandoning(mark: &peer::Transmission, failure_if_sent: Failure) -> Failure {
    if mark.abandon() {
        Failure::Unsent
    } else {
        failure_if_sent
    }
}

async fn with_call_timeout<T>(
    call: impl Future<Output = Result<T, client::RpcError>>,
) -> Result<T, Failure> {
    let call = async { call.await.map_err(|_| Failure::Lost) };
    let expiry = async {
        async_io::Timer::after(CALL_TIMEOUT).await;
        Err(Failure::Expired)
    };
    futures_lite::future::or(call, expiry).await
}

async fn ping(client: peer::PeerClient, ping_timeout: time::Duration) -> io::Result<()> {
    loop {
        async_io::Timer::after(ping_timeout / PINGS_PER_TIMEOUT).await;
        let call = async {
            let call = client.ping(context(ping_timeout + RPC_DEADLINE_MARGIN));
            call.await.map_err(io::Error::other)
        };
        let expiry = async {
            async_io::Timer::after(ping_timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        futures_lite::future::or(call, expiry).await?;
    }
}

fn context(deadline: time::Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = time::Instant::now() + deadline;
    context
}
