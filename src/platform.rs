//! Client of the platform's key-value service and VM list over HTTP.
//!
//! The calls are those of the published Consul KV HTTP API, with two extensions: one write may both
//! compare (`cas`) and bind to a session (`acquire`), and `/v1/vms` returns the VM list. With the
//! statuses 4xx (429 included) and 503, the service refuses a call before it runs it. The statuses
//! 500, 502 and 504 do not tell whether the call was run.

use std::net;
use std::sync;
use std::time;

use futures_util::FutureExt;
use futures_util::future;

use crate::consul;
use crate::http;
use crate::store;
use crate::telemetry;

/// Maximum number of concurrent calls, except watches.
const MAX_CALLS: usize = 8;

/// Maximum number of concurrent watches. They have a pool of their own, so that they never delay a
/// write.
const MAX_WATCHES: usize = 4;

/// Default timeout of a call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Options of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Address of the service.
    pub address: net::SocketAddr,
    /// Timeout of a call: for a change until the last byte of the answer, for a read until the
    /// answer begins. For a watch, the time that it waits is added.
    pub timeout: time::Duration,
    /// Maximum number of concurrent calls, except watches.
    pub connections: usize,
    /// Maximum number of concurrent watches.
    pub watches: usize,
}

impl Options {
    /// Returns the default options for a service at `address`.
    ///
    /// ```
    /// let address = "127.0.0.1:8500".parse().unwrap();
    /// assert_eq!(mangotray::platform::Options::new(address).address, address);
    /// ```
    #[must_use]
    pub const fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            timeout: CALL_TIMEOUT,
            connections: MAX_CALLS,
            watches: MAX_WATCHES,
        }
    }
}

/// Client that sends each changing call at most once.
#[derive(Debug)]
pub struct Client {
    calls: http::Pool,
    watches: http::Pool,
    timeout: time::Duration,
}

/// Entry, and the index from which to wait for its next change.
struct IndexedEntry {
    entry: Option<store::Entry>,
    index: u64,
}

impl Client {
    /// Creates a client whose connections run on `executor`, without opening any.
    ///
    /// ```
    /// use mangotray::platform;
    /// use std::sync;
    /// let executor = sync::Arc::new(async_executor::Executor::new());
    /// let options = platform::Options::new("127.0.0.1:8500".parse().unwrap());
    /// let client = platform::Client::new(options, &executor);
    /// assert!(format!("{client:?}").contains("8500"));
    /// ```
    #[must_use]
    pub fn new(options: Options, executor: &sync::Arc<async_executor::Executor<'static>>) -> Self {
        Self {
            calls: http::Pool::new(options.address, options.connections, executor),
            watches: http::Pool::new(options.address, options.watches, executor),
            timeout: options.timeout,
        }
    }

    /// Sends a read; repeats it once on a new connection if it failed on a kept-alive one.
    async fn read(
        &self,
        pool: &http::Pool,
        path: &str,
        timeout: time::Duration,
    ) -> Result<http::Answer, store::Failure> {
        let timeouts = http::Timeouts::streaming(timeout);
        let first = pool.call(consul::get(path), timeouts, false).await;
        let answer = match first {
            Err(failure) if failure.stale_connection => {
                pool.call(consul::get(path), timeouts, true).await
            }
            answer => answer,
        };
        count_call("read", answer.is_ok());
        answer.map_err(|failure| store::Failure::NotRun(failure.detail.into()))
    }

    /// Sends a change at most once.
    async fn change(&self, path: &str, body: bytes::Bytes) -> Result<http::Answer, store::Failure> {
        let timeouts = http::Timeouts::uniform(self.timeout);
        let answer = self
            .calls
            .call(consul::put(path, body), timeouts, false)
            .await;
        count_call("change", answer.is_ok());
        match answer {
            Ok(answer) => consul::check_change(answer),
            Err(failure) if failure.maybe_sent => {
                Err(store::Failure::Unknown(failure.detail.into()))
            }
            Err(failure) => Err(store::Failure::NotRun(failure.detail.into())),
        }
    }

    async fn entries(&self, path: &str) -> Result<Vec<store::Entry>, store::Failure> {
        let answer = self.read(&self.calls, path, self.timeout).await?;
        consul::entries(&answer)
    }

    async fn read_indexed(
        &self,
        key: &str,
        after: Option<(u64, time::Duration)>,
    ) -> Result<IndexedEntry, store::Failure> {
        let (query, wait) = match after {
            Some((index, wait)) => (format!("?index={index}&wait={}ms", wait.as_millis()), wait),
            None => (String::new(), time::Duration::ZERO),
        };
        let path = format!("/v1/kv/{}{query}", consul::escape(key));
        let answer = self.read(&self.watches, &path, self.timeout + wait).await?;
        let index = answer.index.unwrap_or_default();
        let entry = consul::entries(&answer)?.pop();
        Ok(IndexedEntry { entry, index })
    }

    async fn wait_for_change(
        &self,
        key: &str,
        seen: store::Version,
        timeout: time::Duration,
    ) -> Result<Option<store::Entry>, store::Failure> {
        let deadline = time::Instant::now() + timeout;
        // An absent key has no version to wait on, so the index of its answer is read first.
        let mut index = seen;
        if seen == 0 {
            let found = self.read_indexed(key, None).await?;
            if found.entry.is_some() {
                return Ok(found.entry);
            }
            index = found.index;
        }
        loop {
            let time_left = deadline.saturating_duration_since(time::Instant::now());
            let found = self.read_indexed(key, Some((index, time_left))).await?;
            if found.version() != seen || time_left.is_zero() {
                return Ok(found.entry);
            }
            index = found.index;
        }
    }
}

impl IndexedEntry {
    fn version(&self) -> store::Version {
        self.entry.as_ref().map_or(0, |entry| entry.version)
    }
}

impl store::Store for Client {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> future::BoxFuture<'a, Result<Option<store::Entry>, store::Failure>> {
        async move {
            let path = format!("/v1/kv/{}", consul::escape(key));
            Ok(self.entries(&path).await?.pop())
        }
        .boxed()
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> future::BoxFuture<'a, Result<Vec<store::Entry>, store::Failure>> {
        async move {
            let path = format!("/v1/kv/{}?recurse", consul::escape(prefix));
            self.entries(&path).await
        }
        .boxed()
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        value: bytes::Bytes,
        expect: store::Version,
        lease: Option<&'a str>,
    ) -> future::BoxFuture<'a, Result<store::Swap, store::Failure>> {
        async move {
            let acquire = lease.map_or_else(String::new, |lease| format!("&acquire={lease}"));
            let path = format!("/v1/kv/{}?cas={expect}{acquire}", consul::escape(key));
            let answer = self.change(&path, value).await?;
            match answer.body.trim_ascii() {
                b"true" => Ok(store::Swap::Stored),
                b"false" => Ok(store::Swap::Conflict),
                _ => Err(store::Failure::Unknown(
                    "the answer is not a boolean".into(),
                )),
            }
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        seen: store::Version,
        timeout: time::Duration,
    ) -> future::BoxFuture<'a, Result<Option<store::Entry>, store::Failure>> {
        self.wait_for_change(key, seen, timeout).boxed()
    }

    fn grant(
        &self,
        ttl: time::Duration,
    ) -> future::BoxFuture<'_, Result<store::Lease, store::Failure>> {
        async move {
            let session = consul::Session {
                ttl: format!("{}ms", ttl.as_millis()),
                behavior: "delete",
            };
            let body = serde_json::to_vec(&session).expect("plain strings");
            let answer = self.change("/v1/session/create", body.into()).await?;
            serde_json::from_slice::<consul::SessionId>(&answer.body)
                .map(|session| session.id)
                .map_err(|error| store::Failure::Unknown(error.to_string().into()))
        }
        .boxed()
    }

    fn renew<'a>(&'a self, lease: &'a str) -> future::BoxFuture<'a, Result<bool, store::Failure>> {
        async move {
            let path = format!("/v1/session/renew/{lease}");
            let answer = self.change(&path, bytes::Bytes::new()).await?;
            Ok(answer.status != hyper::StatusCode::NOT_FOUND)
        }
        .boxed()
    }

    fn revoke<'a>(&'a self, lease: &'a str) -> future::BoxFuture<'a, Result<(), store::Failure>> {
        async move {
            let path = format!("/v1/session/destroy/{lease}");
            self.change(&path, bytes::Bytes::new()).await.map(drop)
        }
        .boxed()
    }
}

impl store::Inventory for Client {
    fn vms(&self) -> future::BoxFuture<'_, Result<Vec<store::Listing>, store::Failure>> {
        async move {
            let answer = self.read(&self.calls, "/v1/vms", self.timeout).await?;
            consul::parse(&answer)
        }
        .boxed()
    }
}

fn count_call(kind: &'static str, answered: bool) {
    let outcome = if answered { "answered" } else { "failed" };
    metrics::counter!(telemetry::STORE_CALLS, "kind" => kind, "outcome" => outcome).increment(1);
}

#[cfg(test)]
pub(crate) mod fake;
