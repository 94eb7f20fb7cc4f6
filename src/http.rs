//! Pool of kept-alive HTTP connections to one address.

use std::fmt;
use std::net;
use std::sync;
use std::time;

use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body;
use hyper::body::Body;
use hyper::client::conn::http1;

/// Request with its whole body.
pub type Request = hyper::Request<http_body_util::Full<bytes::Bytes>>;

type Sender = http1::SendRequest<http_body_util::Full<bytes::Bytes>>;

/// Response header with the index of the returned data.
pub const INDEX_HEADER: &str = "x-consul-index";

/// Longest wait for the next part of an answer's body. A packet that is lost three times in a row
/// still arrives within this time.
const BODY_READ_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Longest time to receive an answer's body, so that a very slow answer is abandoned. It allows two
/// megabytes over a link of half a megabit per second.
const MAX_ANSWER_DURATION: time::Duration = time::Duration::from_secs(32);

/// Response to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: hyper::StatusCode,
    /// Index of the data, if the service sent one.
    pub index: Option<u64>,
    /// HTTP headers.
    pub headers: hyper::HeaderMap,
    /// Whole body.
    pub body: bytes::Bytes,
}

/// Timeouts of one call.
///
/// The time to receive an answer depends on its size and on the other traffic on the link. An
/// abandoned call discards the part that was received, and the next call starts from the
/// beginning. With a fixed total timeout, an answer that becomes too large is therefore never
/// received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Time until the answer begins, including the time to connect.
    pub answer_start: time::Duration,
    /// Time until the next part of an answer that has begun.
    pub body_read: time::Duration,
    /// Time for the whole call.
    pub total: time::Duration,
}

/// Reason why a request has no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request may have been sent.
    pub maybe_sent: bool,
    /// Whether the request failed on a kept-alive connection, which the service may have closed.
    pub stale_connection: bool,
    /// Number of bytes received of the answer's body; `None` if the answer had not begun.
    pub received_bytes: Option<usize>,
    /// Description for the log.
    pub detail: String,
}

/// Answer that has begun and is not completely received.
pub struct PartialAnswer<'a> {
    pool: &'a Pool,
    _permit: async_lock::SemaphoreGuard<'a>,
    sender: Sender,
    response: hyper::Response<body::Incoming>,
    body_read_timeout: time::Duration,
    deadline: time::Instant,
}

/// Bounded set of connections, each of which carries one request at a time.
pub struct Pool {
    address: net::SocketAddr,
    executor: sync::Arc<async_executor::Executor<'static>>,
    permits: async_lock::Semaphore,
    idle: sync::Mutex<Vec<Sender>>,
}

impl Pool {
    /// Creates a pool of at most `connections`, without opening any.
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

    /// Number of open connections that are not in use.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.lock_idle().len()
    }

    /// Sends one request and receives its whole answer.
    ///
    /// With `new_connection`, the idle connections are closed and a new one is opened. The request
    /// is sent at most once.
    ///
    /// # Errors
    ///
    /// When a timeout elapses or the connection fails; `Failure::maybe_sent` tells whether the
    /// request may have been sent.
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
    /// The same as for [`Pool::call`].
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
            // The other idle connections may not answer either, and each would cost a timeout.
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

    /// Takes an idle connection or opens one; returns whether it is a reused one.
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
        self.idle.lock().expect("no panic while locked")
    }

    // A separate function, so that the list is not locked while `checkout` waits for the sender.
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
    /// Receives the rest of the answer.
    ///
    /// # Errors
    ///
    /// When the body is incomplete after a timeout or a connection failure.
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
        // An abandoned call drops its sender, which closes the connection, so that a late answer
        // is never taken for the answer to the next request.
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
    /// Returns timeouts for a call with a small answer: `timeout` applies to the whole call.
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

    /// Returns timeouts for a call with an answer of any size, which may take long while parts of
    /// it keep arriving. `answer_start` is the time until the answer begins.
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
            // The request is returned only if no part of it was written.
            maybe_sent: error.take_message().is_none(),
            stale_connection: reused,
            received_bytes: None,
            detail: error.into_error().to_string(),
        })
}

fn index(headers: &hyper::HeaderMap) -> Option<u64> {
    headers.get(INDEX_HEADER)?.to_str().ok()?.parse().ok()
}

/// Returns the result of `future`, or `None` when the deadline has passed.
async fn within<T>(deadline: time::Instant, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        async_io::Timer::at(deadline).await;
        None
    };
    async { Some(future.await) }.or(timer).await
}
