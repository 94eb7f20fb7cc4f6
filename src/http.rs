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

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// True when the request may have left this process.
    pub sent: bool,
    /// True when a kept-alive connection turned out to be closed.
    pub stale: bool,
    /// Bytes of the answer's body that had come; none where the answer had not begun.
    pub received: Option<usize>,
    /// Words for the log.
    pub detail: String,
}

/// An answer that has begun.
pub struct Arrival<'a> {
    pool: &'a Pool,
    _permit: async_lock::SemaphoreGuard<'a>,
    sender: Sender,
    response: hyper::Response<body::Incoming>,
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
        self.kept().len()
    }

    /// Sends one request and collects its whole answer within `timeout`.
    ///
    /// With `fresh`, kept-alive connections are dropped and a new one is opened.
    /// Nothing is sent twice.
    ///
    /// # Errors
    ///
    /// `Failure::sent` tells whether the request may have left this process.
    pub async fn call(
        &self,
        request: Request,
        timeout: time::Duration,
        fresh: bool,
    ) -> Result<Answer, Failure> {
        self.begin(request, timeout, fresh).await?.finish().await
    }

    /// Sends one request and waits until its answer begins, within `timeout`, in which the rest
    /// of it must come as well.
    ///
    /// # Errors
    ///
    /// As those of [`Pool::call`].
    pub async fn begin(
        &self,
        request: Request,
        timeout: time::Duration,
        fresh: bool,
    ) -> Result<Arrival<'_>, Failure> {
        let deadline = time::Instant::now() + timeout;
        let permit = within(deadline, self.permits.acquire())
            .await
            .ok_or_else(|| Failure::unsent("no connection was free in time"))?;
        let (mut sender, kept) = within(deadline, self.checkout(fresh))
            .await
            .ok_or_else(|| Failure::unsent("timeout while connecting"))??;
        let response = within(deadline, send(&mut sender, request, kept))
            .await
            .ok_or_else(|| Failure::lost("timeout before the answer began"))??;
        Ok(Arrival {
            pool: self,
            _permit: permit,
            sender,
            response,
            deadline,
        })
    }

    /// Takes a kept-alive connection, or opens one; true when it was kept alive.
    async fn checkout(&self, fresh: bool) -> Result<(Sender, bool), Failure> {
        if fresh {
            self.kept().clear();
        }
        while let Some(mut sender) = self.pop() {
            if sender.ready().await.is_ok() {
                return Ok((sender, true));
            }
        }
        Ok((self.connect().await?, false))
    }

    fn kept(&self) -> sync::MutexGuard<'_, Vec<Sender>> {
        self.idle.lock().expect("no thread panics with the list")
    }

    // A function of its own, as the list must not stay locked while a sender is tried.
    fn pop(&self) -> Option<Sender> {
        self.kept().pop()
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

impl Arrival<'_> {
    /// Collects the rest of the answer.
    ///
    /// # Errors
    ///
    /// When it does not come in time, or breaks off.
    pub async fn finish(self) -> Result<Answer, Failure> {
        let announced = self.response.body().size_hint().exact();
        let (parts, mut rest) = self.response.into_parts();
        let mut body = bytes::BytesMut::new();
        loop {
            let received = body.len();
            let piece = within(self.deadline, rest.frame())
                .await
                .ok_or_else(|| Failure::incomplete("timeout", received, announced))?;
            let Some(piece) = piece else { break };
            let piece = piece.map_err(|error| Failure::incomplete(error, received, announced))?;
            if let Ok(data) = piece.into_data() {
                body.extend_from_slice(&data);
            }
        }
        // A call that is given up drops its sender, which closes the connection:
        // a late answer can never be taken for the answer to the next request.
        self.pool.kept().push(self.sender);
        Ok(Answer {
            status: parts.status,
            index: index(&parts.headers),
            headers: parts.headers,
            body: body.freeze(),
        })
    }
}

impl Failure {
    fn unsent(detail: impl fmt::Display) -> Self {
        Self {
            sent: false,
            stale: false,
            received: None,
            detail: detail.to_string(),
        }
    }

    fn lost(detail: impl fmt::Display) -> Self {
        Self {
            sent: true,
            ..Self::unsent(detail)
        }
    }

    fn incomplete(detail: impl fmt::Display, received: usize, announced: Option<u64>) -> Self {
        let whole = announced.map_or_else(String::new, |bytes| format!(" of {bytes}"));
        let detail = format!("{detail} after {received}{whole} bytes of the answer");
        Self {
            received: Some(received),
            ..Self::lost(detail)
        }
    }
}

async fn send(
    sender: &mut Sender,
    request: Request,
    kept: bool,
) -> Result<hyper::Response<body::Incoming>, Failure> {
    sender
        .try_send_request(request)
        .await
        .map_err(|mut error| Failure {
            // The request comes back only when none of it was written.
            sent: error.take_message().is_none(),
            stale: kept,
            received: None,
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
