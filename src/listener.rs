//! Accepts caller connections.

use std::collections;
use std::io;
use std::net;
use std::sync;

use async_executor::Executor;
use async_net::TcpListener;
use async_net::TcpStream;
use compact_str::format_compact;
use event_listener::Event;
use futures_lite::FutureExt;

use crate::refusal;
use crate::session;
use crate::telemetry;
use crate::wire;
use crate::writer;

/// Connection limits of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum number of connections from one IP address.
    pub connections_per_address: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 2_000,
            connections_per_address: 1_000,
        }
    }
}

/// Listening socket that accepts callers until the process drains.
pub struct Listener {
    socket: TcpListener,
    context: sync::Arc<session::Context>,
    limits: Limits,
    sessions: sync::Arc<Sessions>,
}

/// Counts of open connections, and an event that is notified when one closes.
#[derive(Debug, Default)]
struct Sessions {
    counts: sync::Mutex<Counts>,
    session_end: Event,
}

#[derive(Debug, Default)]
struct Counts {
    total: usize,
    addresses: collections::HashMap<net::IpAddr, usize>,
}

/// Counts as one open connection until it is dropped.
#[derive(Debug)]
struct Permit {
    sessions: sync::Arc<Sessions>,
    address: net::IpAddr,
}

impl Listener {
    /// Binds a socket to `address`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(
        address: net::SocketAddr,
        context: sync::Arc<session::Context>,
        limits: Limits,
    ) -> io::Result<Self> {
        Ok(Self {
            socket: TcpListener::bind(address).await?,
            context,
            limits,
            sessions: sync::Arc::default(),
        })
    }

    /// Local address of the socket.
    ///
    /// # Errors
    /// When the operating system does not return the address.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts callers until the process drains; each session runs in a task of its own.
    pub async fn run(&self, executor: &sync::Arc<Executor<'static>>) {
        let drain = self.context.drain.clone();
        let drain_started = async {
            drain.wait().await;
            None
        };
        let mut drain_started = std::pin::pin!(drain_started);
        loop {
            let accept = async { Some(self.socket.accept().await) };
            match drain_started.as_mut().or(accept).await {
                Some(Ok((socket, peer))) => self.admit(socket, peer.ip(), executor),
                Some(Err(error)) => self.pause_after_error(&error).await,
                None => return,
            }
        }
    }

    /// Refuses callers that connect during the drain; call it after `run` has returned. In the
    /// socket's backlog they would wait without an answer until the process ends.
    pub async fn refuse_callers(&self, executor: &sync::Arc<Executor<'static>>) {
        loop {
            match self.socket.accept().await {
                Ok((socket, _)) => {
                    let stream = wire::stream(Box::new(socket));
                    let refusal = async move { writer::close(stream, &writer::shutdown()).await };
                    executor.spawn(refusal).detach();
                }
                Err(error) => self.pause_after_error(&error).await,
            }
        }
    }

    /// Logs the error and waits. An accept fails when the process has no free file descriptors;
    /// retrying without a delay would keep a processor core busy until one is free.
    async fn pause_after_error(&self, error: &io::Error) {
        tracing::warn!(target: "mangotray::session", %error, "cannot accept caller connection");
        async_io::Timer::after(ACCEPT_RETRY_DELAY).await;
    }

    fn admit(&self, socket: TcpStream, address: net::IpAddr, executor: &Executor<'static>) {
        // Answers are written as a whole, so the delay of Nagle's algorithm saves no packets.
        let _ = socket.set_nodelay(true);
        let stream = wire::stream(Box::new(socket));
        match self.acquire_permit(address) {
            Ok(permit) => {
                let context = self.context.clone();
                executor
                    .spawn(async move {
                        session::serve(stream, context).await;
                        drop(permit);
                    })
                    .detach();
            }
            Err(error) => {
                metrics::counter!(telemetry::CALLERS_REFUSED).increment(1);
                executor
                    .spawn(async move { writer::close(stream, &error).await })
                    .detach();
            }
        }
    }

    fn acquire_permit(&self, address: net::IpAddr) -> Result<Permit, refusal::Error> {
        let mut counts = self.sessions.lock();
        let count = counts.addresses.get(&address).copied().unwrap_or(0);
        if counts.total >= self.limits.connections {
            return Err(too_many("connections", self.limits.connections));
        }
        if count >= self.limits.connections_per_address {
            return Err(too_many(
                "connections from one address",
                self.limits.connections_per_address,
            ));
        }
        counts.total += 1;
        counts.addresses.insert(address, count + 1);
        Ok(Permit {
            sessions: self.sessions.clone(),
            address,
        })
    }

    /// Number of open connections.
    #[must_use]
    pub fn session_count(&self) -> usize {
        self.sessions.lock().total
    }

    /// Waits until no connection is open.
    pub async fn wait_until_idle(&self) {
        while self.session_count() > 0 {
            let listener = self.sessions.session_end.listen();
            if self.session_count() == 0 {
                return;
            }
            listener.await;
        }
    }
}

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(100);

fn too_many(connection_kind: &str, limit: usize) -> refusal::Error {
    refusal::Error::fatal(
        refusal::TOO_MANY_CONNECTIONS,
        format_compact!("too many {connection_kind}; the limit is {limit}"),
    )
    .hint("Close connections that are no longer needed, or connect to another proxy.")
}

impl Sessions {
    fn lock(&self) -> sync::MutexGuard<'_, Counts> {
        self.counts.lock().expect("no panic while locked")
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut counts = self.sessions.lock();
        counts.total -= 1;
        let count = counts.addresses.get_mut(&self.address);
        let left = count.map_or(0, |count| {
            *count -= 1;
            *count
        });
        if left == 0 {
            counts.addresses.remove(&self.address);
        }
        drop(counts);
        self.sessions.session_end.notify(usize::MAX);
    }
}

#[cfg(test)]
mod tests;
