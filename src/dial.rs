//! Client side of the connections between proxies.

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

/// Timeout for opening a connection, including the handshake.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Time after which a connection with an unanswered ping is closed. Without it, requests to a peer
/// that became unreachable without closing its connections would wait until their deadlines.
pub const PING_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Number of pings sent in one [`PING_TIMEOUT`] while they are answered at once.
const PINGS_PER_TIMEOUT: u32 = 3;

/// Additional time after a batch's deadline to wait for the peer's answer, because an answer tells
/// the outcome of the batch, which is unknown without it.
pub const ANSWER_GRACE: time::Duration = time::Duration::from_millis(50);

/// Timeout of calls that carry no batch.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Time by which the deadline given to `tarpc` exceeds this module's own timeout, so that it never
/// expires first: a cancellation by `tarpc` does not tell whether the batch was sent.
const RPC_DEADLINE_MARGIN: time::Duration = time::Duration::from_mins(1);

/// Opens byte streams to peers: plain TCP for now, TLS when certificates are supported.
pub trait Connector: Send + Sync {
    /// Opens a stream to the peer at `address`.
    fn connect(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'_, io::Result<Box<dyn wire::Duplex>>>;
}

/// Connector for plain TCP.
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

/// Reason why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call was not sent and will not be sent.
    Unsent,
    /// The call may have been sent, and the connection was lost before the answer.
    Lost,
    /// The call may have been sent, and no answer arrived in time.
    Expired,
}

/// Multiplexed connection to a peer, shared by many sessions.
pub struct Connection {
    client: peer::PeerClient,
    executor: sync::Arc<async_executor::Executor<'static>>,
    alive: sync::Arc<atomic::AtomicBool>,
    next_session: atomic::AtomicU64,
    _task: async_executor::Task<()>,
}

impl Connection {
    /// Performs the handshake over the stream and starts the connection's task. The connection ends
    /// when a ping is not answered within `ping_timeout`.
    ///
    /// # Errors
    /// When the stream fails or the server is not a peer of this installation.
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

    /// Whether the connection is open; once false, it stays false.
    #[must_use]
    pub fn alive(&self) -> bool {
        self.alive.load(atomic::Ordering::Acquire)
    }

    /// Assigns a number to a new session.
    #[must_use]
    pub fn new_session(&self) -> peer::Session {
        self.next_session.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Runs one batch at the peer.
    ///
    /// # Errors
    /// The failure tells whether the batch may have run or may still run. A refusal by the peer is
    /// an answer, not a failure.
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
            // Set here already, because requests must not choose this connection again before its
            // task has ended.
            client::RpcError::Shutdown | client::RpcError::Channel(_) => {
                self.alive.store(false, atomic::Ordering::Release);
            }
            client::RpcError::DeadlineExceeded | client::RpcError::Server(_) => {}
        }
        failure_after_abandoning(mark, Failure::Lost)
    }

    /// Ends a session at the peer without waiting for the answer.
    pub fn close(&self, session: peer::Session) {
        let client = self.client.clone();
        let task = async move {
            client.close(context(CALL_TIMEOUT), session).await.ok();
        };
        self.executor.spawn(task).detach();
    }

    /// Exchanges a digest for the peer's news.
    ///
    /// # Errors
    /// When the connection breaks or no answer comes in time.
    pub async fn exchange(&self, digest: peer::Digest) -> Result<peer::News, Failure> {
        with_call_timeout(self.client.exchange(context(CALL_TIMEOUT), digest)).await
    }

    /// Sends news to the peer.
    ///
    /// # Errors
    /// When the connection breaks or no answer comes in time.
    pub async fn announce(&self, news: peer::News) -> Result<(), Failure> {
        with_call_timeout(self.client.announce(context(CALL_TIMEOUT), news)).await
    }

    /// Asks whether the peer also considers this primary failed.
    ///
    /// # Errors
    /// When the connection breaks or no answer comes in time.
    pub async fn suspects(&self, suspect: peer::Suspect) -> Result<bool, Failure> {
        with_call_timeout(self.client.suspects(context(CALL_TIMEOUT), suspect)).await
    }
}

/// Abandons the call; returns `Unsent` if it had not been sent by then.
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
