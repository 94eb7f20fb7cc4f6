//! HTTP server for status and metrics.

use std::convert;
use std::io;
use std::net;
use std::sync;
use std::time;

use http_body_util::Full;
use hyper::body;
use hyper::header;
use hyper::service;

use crate::admin;
use crate::telemetry;

/// Connections served at once. More wait, so that scrapers cannot exhaust file descriptors.
const MAX_CONNECTIONS: usize = 32;

/// Time for a client to send the head of its request. A client that connects and sends nothing
/// would otherwise hold one of the few connections forever, and the endpoint of a healthy proxy
/// could hang.
const REQUEST_HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

const TEXT_TYPE: &str = "text/plain; charset=utf-8";
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
const JSON_TYPE: &str = "application/json";

type Response = hyper::Response<Full<body::Bytes>>;

/// A server bound to its address.
pub struct Server {
    listener: async_net::TcpListener,
    handler: sync::Arc<Handler>,
}

struct Handler {
    source: sync::Arc<dyn admin::Source>,
    metrics: telemetry::Handle,
}

impl Server {
    /// Binds the server; port 0 selects any free port.
    ///
    /// # Errors
    /// When the address cannot be bound.
    ///
    /// ```
    /// use mangotray::{admin, telemetry};
    /// use std::sync;
    /// struct Idle;
    /// impl admin::Source for Idle {
    ///     fn status(&self) -> admin::Status {
    ///         admin::Status::default()
    ///     }
    /// }
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let metrics = telemetry::Handle::install();
    /// let server = admin::Server::bind(address, sync::Arc::new(Idle), metrics);
    /// assert!(futures_lite::future::block_on(server).is_ok());
    /// ```
    pub async fn bind(
        address: net::SocketAddr,
        source: sync::Arc<dyn admin::Source>,
        metrics: telemetry::Handle,
    ) -> io::Result<Self> {
        let listener = async_net::TcpListener::bind(address).await?;
        let handler = sync::Arc::new(Handler { source, metrics });
        Ok(Self { listener, handler })
    }

    /// The bound address.
    ///
    /// # Errors
    /// When the operating system does not return the address.
    ///
    /// ```
    /// # use mangotray::{admin, telemetry};
    /// # struct Idle;
    /// # impl admin::Source for Idle {
    /// #     fn status(&self) -> admin::Status { admin::Status::default() }
    /// # }
    /// # let address = "127.0.0.1:0".parse().unwrap();
    /// # let source = std::sync::Arc::new(Idle);
    /// # let server = admin::Server::bind(address, source, telemetry::Handle::install());
    /// # let server = futures_lite::future::block_on(server).unwrap();
    /// assert_ne!(server.address().unwrap().port(), 0);
    /// ```
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves requests until the future is dropped, each connection in a task of `executor`.
    pub async fn run(self, executor: sync::Arc<async_executor::Executor<'static>>) {
        let slots = sync::Arc::new(async_lock::Semaphore::new(MAX_CONNECTIONS));
        loop {
            let slot = slots.acquire_arc().await;
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let handler = self.handler.clone();
                    executor
                        .spawn(async move {
                            serve(stream, handler).await;
                            drop(slot);
                        })
                        .detach();
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot accept an admin connection");
                    async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

async fn serve(stream: async_net::TcpStream, handler: sync::Arc<Handler>) {
    let service = service::service_fn(|request: hyper::Request<body::Incoming>| {
        let response = handler.respond(request.method(), request.uri().path());
        async move { Ok::<_, convert::Infallible>(response) }
    });
    let result = hyper::server::conn::http1::Builder::new()
        .timer(smol_hyper::rt::SmolTimer::new())
        .header_read_timeout(REQUEST_HEAD_TIMEOUT)
        .serve_connection(smol_hyper::rt::FuturesIo::new(stream), service)
        .await;
    if let Err(error) = result {
        tracing::debug!(%error, "admin connection failed");
    }
}

impl Handler {
    fn respond(&self, method: &hyper::Method, path: &str) -> Response {
        if method != hyper::Method::GET {
            return response(
                hyper::StatusCode::METHOD_NOT_ALLOWED,
                TEXT_TYPE,
                "GET only\n",
            );
        }
        match path {
            "/metrics" => self.metrics(),
            "/status" => self.status(),
            "/healthz" => self.health(),
            _ => response(
                hyper::StatusCode::NOT_FOUND,
                TEXT_TYPE,
                "unknown path; use /status, /metrics or /healthz\n",
            ),
        }
    }

    fn metrics(&self) -> Response {
        self.source.update_gauges();
        response(hyper::StatusCode::OK, METRICS_TYPE, self.metrics.render())
    }

    fn status(&self) -> Response {
        match serde_json::to_vec(&self.source.status()) {
            Ok(json) => response(hyper::StatusCode::OK, JSON_TYPE, json),
            Err(error) => {
                let code = hyper::StatusCode::INTERNAL_SERVER_ERROR;
                response(code, TEXT_TYPE, format!("{error}\n"))
            }
        }
    }

    fn health(&self) -> Response {
        if self.source.status().draining {
            response(
                hyper::StatusCode::SERVICE_UNAVAILABLE,
                TEXT_TYPE,
                "draining\n",
            )
        } else {
            response(hyper::StatusCode::OK, TEXT_TYPE, "ok\n")
        }
    }
}

fn response(
    code: hyper::StatusCode,
    content_type: &'static str,
    body: impl Into<body::Bytes>,
) -> Response {
    let mut response = hyper::Response::new(Full::new(body.into()));
    *response.status_mut() = code;
    let content_type = header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
