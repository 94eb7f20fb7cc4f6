//! Small pool of kept-alive HTTP connections to one address.

use std::fmt;
use std::net;
use std::sync;
use std::time;

use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body;
use hyper::body::Body;
use hyper::client::conn::http1;

/// Request as the pool sends it.
pub type Request = hyper::Request<http_body_util::Full<bytes::Bytes>>;

type Sender = http1::SendRequest<http_body_util::Full<bytes::Bytes>>;

/// Header that carries the index of the data that was read.
pub const INDEX_HEADER: &str = "x-consul-index";

/// Longest wait for the next piece of an answer: a packet that is lost three times in a row arrives
/// within this time.
const BODY_READ_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Longest time from the beginning of an answer to its end, so that one that trickles ends:
/// two megabytes over a link of half a megabit a second.
const MAX_ANSWER_DURATION: time::Duration = time::Duration::from_secs(32);

/// What came back for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status of the response.
    pub status: hyper::StatusCode,
    /// Index of the data, when the service gave one.
    pub index: Option<u64>,
    /// Headers of the response.
    pub headers: hyper::HeaderMap,
    /// Whole body.
    pub body: bytes::Bytes,
}

/// How long a call may take.
///
/// How long a whole answer takes depends on its size and on what else the link carries. A call that is
/// given up loses what has come, and the next one begins anew: where the limit is for the
/// whole, an answer that outgrows it is never received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Until the answer begins, connecting included.
    pub answer_start: time::Duration,
    /// Until the next piece of an answer that has begun.
    pub body_read: time::Duration,
    /// For all of the call.
    pub total: time::Duration,
}

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// True when the request may have left this process.
    pub maybe_sent: bool,
    /// True when a kept-alive connection turned out to be closed.
    pub stale_connection: bool,
    /// Bytes of the answer's body that had come; none where the answer had not begun.
    pub received_bytes: Option<usize>,
    /// Words for the log.
    pub detail: String,
}

/// An answer that has begun.
pub struct PartialAnswer<'a> {
    pool: &'a Pool,
    _permit: async_lock::SemaphoreGuard<'a>,
    sender: Sender,
    response: hyper::Response<body::Incoming>,
    body_read_timeout: time::Duration,
    deadline: time::Instant,
}

/// Bounded set of connections; one request at a time on each.
pub struct Pool {
    address: net::SocketAddr,
    executor: sync::Arc<async_executor::Executor<'static>>,
    permits: async_lock::Semaphore,
    idle: sync::Mutex<Vec<Sender>>,
}

impl Pool {
    /// Builds a pool of at most `connections`; nothing is opened yet.
    ///
    /// ```
    /// use std::sync;
    /// let executor = sync::Arc::new(async_executor::Executor::new());
    /// let pool = mangotray::http::Pool::new("127.0.0.1:8500".parse().unwrap(), 4, &executor);
    /// assert_eq!(pool.idle(), 0);
    /// ```
    #[must_use]
    pub fn new(
        address: net::SocketAddr,
        connections: usize,
        executor: &sync::Arc<async_executor::Executor<'static>>,
    ) -> Self {
        Self {
            address,
            executor: sync::Arc::clone(executor),
            permits: async_lock::Semaphore::new(connections),
            idle: sync::Mutex::default(),
        }
    }

    /// Connections that are open and not in use.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.lock_idle().len()
    }

    /// Sends one request and collects its whole answer within `limit`.
    ///
    /// With `new_connection`, kept-alive connections are dropped and a new one is opened.
    /// Nothing is sent twice.
    ///
    /// # Errors
    ///
    /// `Failure::maybe_sent` tells whether the request may have left this process.
    pub async fn call(
        &self,
        request: Request,
        timeouts: Timeouts,
        new_connection: bool,
    ) -> Result<Answer, Failure> {
        self.begin(request, timeouts, new_connection)
            .await?
            .finish()
            .await
    }

    /// Sends one request and waits until its answer begins.
    ///
    /// # Errors
    ///
    /// As those of [`Pool::call`].
    pub async fn begin(
        &self,
        request: Request,
        timeouts: Timeouts,
        new_connection: bool,
    ) -> Result<PartialAnswer<'_>, Failure> {
        let started = time::Instant::now();
        let deadline = started + timeouts.answer_start;
        let permit = within(deadline, self.permits.acquire())
            .await
            .ok_or_else(|| Failure::unsent("no connection was free in time"))?;
        let (mut sender, reused) = within(deadline, self.checkout(new_connection))
            .await
            .ok_or_else(|| Failure::unsent("timeout while connecting"))??;
        let Some(response) = within(deadline, send(&mut sender, request, reused)).await else {
            // Where one open connection went silent, others may have: each would cost a timeout.
            self.lock_idle().clear();
            return Err(Failure::lost("timeout before the answer began"));
        };
        let response = response?;
        Ok(PartialAnswer {
            pool: self,
            _permit: permit,
            sender,
            response,
            body_read_timeout: timeouts.body_read,
            deadline: started + timeouts.total,
        })
    }

    /// Takes a kept-alive connection, or opens one; true when it was kept alive.
    async fn checkout(&self, new_connection: bool) -> Result<(Sender, bool), Failure> {
        if new_connection {
            self.lock_idle().clear();
        }
        while let Some(mut sender) = self.pop_idle() {
            if sender.ready().await.is_ok() {
                return Ok((sender, true));
            }
        }
        Ok((self.connect().await?, false))
    }

    fn lock_idle(&self) -> sync::MutexGuard<'_, Vec<Sender>> {
        self.idle.lock().expect("no thread panics with the list")
    }

    // A function of its own, as the list must not stay locked while a sender is tried.
    fn pop_idle(&self) -> Option<Sender> {
        self.lock_idle().pop()
    }

    async fn connect(&self) -> Result<Sender, Failure> {
        let stream = async_net::TcpStream::connect(self.address)
            .await
            .map_err(Failure::unsent)?;
        stream.set_nodelay(true).map_err(Failure::unsent)?;
        let (sender, connection) = http1::handshake(smol_hyper::rt::FuturesIo::new(stream))
            .await
            .map_err(Failure::unsent)?;
        let serve = async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection to the platform ended");
            }
        };
        self.executor.spawn(serve).detach();
        Ok(sender)
    }
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl PartialAnswer<'_> {
    /// Collects the rest of the answer.
    ///
    /// # Errors
    ///
    /// When it does not come in time, or breaks off.
    pub async fn finish(self) -> Result<Answer, Failure> {
        let announced = self.response.body().size_hint().exact();
        let (parts, mut incoming) = self.response.into_parts();
        let mut body = bytes::BytesMut::new();
        loop {
            let received = body.len();
            let deadline = self
                .deadline
                .min(time::Instant::now() + self.body_read_timeout);
            let frame = within(deadline, incoming.frame())
                .await
                .ok_or_else(|| Failure::incomplete("timeout", received, announced))?;
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| Failure::incomplete(error, received, announced))?;
            if let Ok(data) = frame.into_data() {
                body.extend_from_slice(&data);
            }
        }
        // A call that is given up drops its sender, which closes the connection:
        // a late answer can never be taken for the answer to the next request.
        self.pool.lock_idle().push(self.sender);
        Ok(Answer {
            status: parts.status,
            index: index(&parts.headers),
            headers: parts.headers,
            body: body.freeze(),
        })
    }
}

impl Timeouts {
    /// A limit for all of a call whose answer is small.
    ///
    /// ```
    /// let timeouts = mangotray::http::Timeouts::uniform(std::time::Duration::from_secs(1));
    /// assert_eq!(timeouts.answer_start, timeouts.total);
    /// ```
    #[must_use]
    pub const fn uniform(timeout: time::Duration) -> Self {
        Self {
            answer_start: timeout,
            body_read: timeout,
            total: timeout,
        }
    }

    /// A limit for a call whose answer may be of any size: it may take as long as it goes on.
    ///
    /// ```
    /// let second = std::time::Duration::from_secs(1);
    /// let timeouts = mangotray::http::Timeouts::streaming(second);
    /// assert_eq!(timeouts.answer_start, second);
    /// assert!(timeouts.total > second);
    /// ```
    #[must_use]
    pub fn streaming(answer_start: time::Duration) -> Self {
        Self {
            answer_start,
            body_read: BODY_READ_TIMEOUT,
            total: answer_start + MAX_ANSWER_DURATION,
        }
    }
}

impl Failure {
    fn unsent(detail: impl fmt::Display) -> Self {
        Self {
            maybe_sent: false,
            stale_connection: false,
            received_bytes: None,
            detail: detail.to_string(),
        }
    }

    fn lost(detail: impl fmt::Display) -> Self {
        Self {
            maybe_sent: true,
            ..Self::unsent(detail)
        }
    }

    fn incomplete(detail: impl fmt::Display, received: usize, announced: Option<u64>) -> Self {
        let total = announced.map_or_else(String::new, |bytes| format!(" of {bytes}"));
        let detail = format!("{detail} after {received}{total} bytes of the answer");
        Self {
            received_bytes: Some(received),
            ..Self::lost(detail)
        }
    }
}

async fn send(
    sender: &mut Sender,
    request: Request,
    reused: bool,
) -> Result<hyper::Response<body::Incoming>, Failure> {
    sender
        .try_send_request(request)
        .await
        .map_err(|mut error| Failure {
            // The request comes back only when none of it was written.
            maybe_sent: error.take_message().is_none(),
            stale_connection: reused,
            received_bytes: None,
            detail: error.into_error().to_string(),
        })
}

fn index(headers: &hyper::HeaderMap) -> Option<u64> {
    headers.get(INDEX_HEADER)?.to_str().ok()?.parse().ok()
}

/// Result of `future`, or `None` once the deadline has passed.
async fn within<T>(deadline: time::Instant, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        async_io::Timer::at(deadline).await;
        None
    };
    async { Some(future.await) }.or(timer).await
}
