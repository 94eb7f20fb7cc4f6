//! Server side of the connections between proxies.

use std::collections::HashMap;
use std::io;
use std::sync;
use std::sync::atomic;
use std::time;

use async_compat::CompatExt;
use futures_lite::future;
use futures_util::stream::StreamExt;
use tarpc::server::Channel;

use crate::clock;
use crate::hello;
use crate::lane;
use crate::outcome;
use crate::packet;
use crate::peer;
use crate::reason;
use crate::reply;
use crate::wire;

/// Time without a request after which a connection is closed. The client pings several times in
/// this period, so a silent client has ended or is cut off. If its connection stayed open, its open
/// transactions would hold their locks and upstream connections forever.
pub const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Maximum number of sessions on one connection.
const MAX_SESSIONS: usize = 65_536;

/// Upper bound for the bytes of an encoded frame besides its body, and of an encoded reply besides
/// its frames.
const FRAME_OVERHEAD_BYTES: usize = 256;

/// Maximum number of answers that wait to be written to one connection.
const MAX_PENDING_ANSWERS: usize = 1024;

type Transport =
    hello::Framed<tarpc::ClientMessage<peer::PeerRequest>, tarpc::Response<peer::PeerResponse>>;

/// Accepts connections from peers and runs their batches on this proxy's own lanes.
pub struct Server {
    /// Operations of this proxy that peers can call.
    pub handler: sync::Arc<dyn peer::Handler>,
    /// Clock that the deadlines of received batches refer to.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Executor that runs the requests.
    pub executor: sync::Arc<async_executor::Executor<'static>>,
    /// Handshake that a peer must match.
    pub hello: hello::Hello,
    /// Time without a request after which a connection is closed; [`IDLE_TIMEOUT`] except in tests.
    pub idle_timeout: time::Duration,
}

impl Server {
    /// Serves one connection until it ends, which also ends its sessions.
    ///
    /// # Errors
    /// When the client is not a peer of this installation, the stream fails, or no request arrives
    /// within the idle timeout (`TimedOut`).
    pub async fn serve(&self, stream: Box<dyn wire::Duplex>) -> io::Result<()> {
        let transport = self.hello.accept(stream).await?;
        let request_received = atomic::AtomicBool::new(true);
        let work = self.serve_requests(transport, &request_received);
        future::or(work, fail_when_idle(self.idle_timeout, &request_received))
            .compat()
            .await
    }

    async fn serve_requests(
        &self,
        transport: Transport,
        request_received: &atomic::AtomicBool,
    ) -> io::Result<()> {
        let config = tarpc::server::Config {
            pending_response_buffer: MAX_PENDING_ANSWERS,
        };
        let channel = tarpc::server::BaseChannel::new(config, transport);
        let mut requests = Box::pin(channel.requests());
        let service = self.service();
        while let Some(request) = requests.next().await {
            let request = request.map_err(|error| io::Error::other(error.to_string()))?;
            request_received.store(true, atomic::Ordering::Relaxed);
            let serve = peer::Peer::serve(service.clone());
            self.start(request.execute(serve)).await;
        }
        Ok(())
    }

    /// Polls a request once, in order of arrival, before it runs concurrently with others. The
    /// first poll opens, finds or closes the session, so a "close" cannot overtake the batch that
    /// opens the session, which would then stay open without an owner.
    async fn start(&self, request: impl Future<Output = ()> + Send + 'static) {
        let mut request = Box::pin(request);
        if future::poll_once(&mut request).await.is_none() {
            self.executor.spawn(request).detach();
        }
    }

    fn service(&self) -> Service {
        Service(sync::Arc::new(Connection {
            handler: self.handler.clone(),
            clock: self.clock.clone(),
            executor: self.executor.clone(),
            sessions: sync::Mutex::default(),
        }))
    }
}

/// Fails when no request has arrived for a whole idle timeout.
async fn fail_when_idle(
    idle_timeout: time::Duration,
    request_received: &atomic::AtomicBool,
) -> io::Result<()> {
    while request_received.swap(false, atomic::Ordering::Relaxed) {
        async_io::Timer::after(idle_timeout).await;
    }
    Err(io::ErrorKind::TimedOut.into())
}

struct Connection {
    handler: sync::Arc<dyn peer::Handler>,
    clock: sync::Arc<dyn clock::Clock>,
    executor: sync::Arc<async_executor::Executor<'static>>,
    sessions: sync::Mutex<HashMap<peer::Session, sync::Arc<Session>>>,
}

impl Connection {
    fn session(&self, run: &peer::Run) -> Result<sync::Arc<Session>, outcome::Outcome> {
        let mut sessions = self.sessions.lock().expect("no panic while locked");
        if let Some(session) = sessions.get(&run.session) {
            return Ok(session.clone());
        }
        if sessions.len() >= MAX_SESSIONS {
            return Err(not_run(reason::Reason::Overload, "too many sessions"));
        }
        let database = run.open.as_deref();
        let database = database.ok_or_else(|| no_server("the session has ended"))?;
        let lane = self.handler.lanes().lane(database);
        let lane = lane.ok_or_else(|| no_server("the group is not served here"))?;
        let session = sync::Arc::new(Session::new(lane));
        sessions.insert(run.session, session.clone());
        Ok(session)
    }

    fn close(&self, session: peer::Session) {
        let mut sessions = self.sessions.lock().expect("no panic while locked");
        if let Some(ended) = sessions.remove(&session) {
            ended.close_signal.0.close();
        }
    }
}

struct Session {
    state: async_lock::Mutex<State>,
    close_signal: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

struct State {
    lane: Box<dyn lane::Lane>,
    last_sequence: Option<peer::Sequence>,
}

impl Session {
    fn new(lane: Box<dyn lane::Lane>) -> Self {
        let state = State {
            lane,
            last_sequence: None,
        };
        Self {
            state: async_lock::Mutex::new(state),
            close_signal: async_channel::bounded(1),
        }
    }

    /// Runs a batch unless the client closes the session first. Closing the session abandons a
    /// running batch, as dropping a local lane does, so that a request canceled by its caller does
    /// not hold a slot until its deadline. A lost connection does not abandon the batch: a write
    /// that has started runs to its end.
    async fn run(&self, run: peer::Run, clock: &dyn clock::Clock) -> peer::Answer {
        let close = async {
            self.close_signal.1.recv().await.ok();
            Err(session_closed())
        };
        future::or(close, self.execute(run, clock)).await
    }

    async fn execute(&self, run: peer::Run, clock: &dyn clock::Clock) -> peer::Answer {
        let sequence = run.sequence;
        let batch = run.batch(clock.now());
        let mut state = self.state.lock().await;
        if state.last_sequence >= Some(sequence) {
            return Err(repeated_request());
        }
        state.last_sequence = Some(sequence);
        state.lane.run(batch).await.and_then(check_size)
    }
}

#[derive(Clone)]
struct Service(sync::Arc<Connection>);

impl peer::Peer for Service {
    async fn run(self, _: tarpc::context::Context, run: peer::Run) -> peer::Answer {
        let session = self.0.session(&run)?;
        let (sender, receiver) = async_channel::bounded(1);
        let clock = self.0.clock.clone();
        // Runs in a separate task, because the future of a request that is canceled or whose
        // connection is lost is dropped at any point. A write dropped half way would lose its
        // confirmation, and its connection to the primary would be unusable.
        let work = async move {
            let answer = session.run(run, &*clock).await;
            sender.send(answer).await.ok();
        };
        self.0.executor.spawn(work).detach();
        receiver
            .recv()
            .await
            .unwrap_or_else(|_| Err(proxy_stopped()))
    }

    async fn close(self, _: tarpc::context::Context, session: peer::Session) {
        self.0.close(session);
    }

    async fn exchange(self, _: tarpc::context::Context, digest: peer::Digest) -> peer::News {
        self.0.handler.exchange(digest).await
    }

    async fn announce(self, _: tarpc::context::Context, news: peer::News) {
        self.0.handler.announce(news).await;
    }

    async fn suspects(self, _: tarpc::context::Context, suspect: peer::Suspect) -> bool {
        self.0.handler.suspects(&suspect)
    }

    async fn ping(self, _: tarpc::context::Context) {}
}

/// Replaces a reply that exceeds the packet limit by an error. Writing it would fail and end the
/// connection with all other sessions on it.
fn check_size(reply: reply::Reply) -> peer::Answer {
    let frames = reply.frames.iter();
    let size: usize = frames
        .map(|frame| frame.body.len() + FRAME_OVERHEAD_BYTES)
        .sum();
    if size + FRAME_OVERHEAD_BYTES <= packet::MAX_MESSAGE_BYTES {
        return Ok(reply);
    }
    Err(outcome::Outcome::Unknown {
        reason: reason::Reason::TooLarge,
        detail: "the request ran, but its answer is too large to be relayed".into(),
    })
}

fn no_server(detail: &str) -> outcome::Outcome {
    not_run(reason::Reason::NoServer, detail)
}

fn not_run(reason: reason::Reason, detail: &str) -> outcome::Outcome {
    outcome::Outcome::NotRun {
        reason,
        detail: detail.into(),
        retry: None,
    }
}

/// The outcome is unknown, because the first batch with this sequence number may have run.
fn repeated_request() -> outcome::Outcome {
    outcome::Outcome::Unknown {
        reason: reason::Reason::ConnectionLost,
        detail: "the request was already received".into(),
    }
}

fn session_closed() -> outcome::Outcome {
    outcome::Outcome::Unknown {
        reason: reason::Reason::ConnectionLost,
        detail: "the session was closed while the request ran".into(),
    }
}

fn proxy_stopped() -> outcome::Outcome {
    outcome::Outcome::Unknown {
        reason: reason::Reason::ConnectionLost,
        detail: "the proxy stopped while the request ran".into(),
    }
}
