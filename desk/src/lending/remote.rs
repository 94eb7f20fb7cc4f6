//! Connections to instances that are relayed through another node.

use std::io;
use std::rc;
use std::time;

use async_net::TcpStream;
use futures_lite::future as poll;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::id;

use crate::boot;
use crate::lending::relay;
use crate::message;
use crate::organisation;
use crate::upstream;
use crate::urgency;
use crate::wait;

/// Longest wait for another node to accept a connection: a few round trips, as the kernel accepts
/// even while the node is busy. Kept short because a node that never returns stays listed, and each
/// node that starts asks it first for some instance.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(80);

/// A connection is suspected after this long without an answer or a heartbeat. The relaying node
/// sends a heartbeat every 60 ms, and may not be scheduled for the rest of a tenth of a second.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// A request to run commands; the receiving side is `Work` in [`crate::lending::relay`].
#[derive(serde::Serialize)]
struct WorkRef<'a> {
    urgency: urgency::Urgency,
    organisation: &'a organisation::Name,
    commands: &'a [upstream::Command],
    /// Trailing byte [`relay::WANT_HEARTBEATS`]; nodes of an earlier version ignore it.
    tell: u8,
}

/// A relayed connection through another node.
struct Remote {
    stream: TcpStream,
    /// When the connection is to be replaced, if ever.
    expires_at: Option<id::Time>,
    heartbeat: upstream::Heartbeat,
}

impl upstream::Connection for Remote {
    fn run<'a>(
        &'a mut self,
        commands: &'a [upstream::Command],
        urgency: urgency::Urgency,
        organisation: &'a organisation::Name,
    ) -> future::LocalBoxFuture<'a, relay::Answer> {
        async move {
            let work = WorkRef {
                urgency: urgency.to_remaining(),
                organisation,
                commands,
                tell: relay::HEARTBEAT_REQUEST,
            };
            let exchange = async {
                message::send(&mut self.stream, &work).await?;
                let record_heartbeat = || self.heartbeat.set(boot::now());
                message::receive_after_heartbeats(&mut self.stream, record_heartbeat).await
            };
            exchange.await.unwrap_or_else(|error| {
                Err(upstream::Failure {
                    sent: true,
                    crowded: false,
                    detail: compact_str::format_compact!("lending node lost: {error}"),
                })
            })
        }
        .boxed_local()
    }

    fn alive(&mut self) -> bool {
        let mut byte = [0];
        let fresh = self
            .expires_at
            .is_none_or(|expires_at| boot::now() < expires_at);
        // The other node sends nothing unasked: bytes or an end of the stream both mean that the
        // connection cannot be used any more.
        fresh && poll::block_on(poll::poll_once(self.stream.peek(&mut byte))).is_none()
    }

    fn serves_any_organisation(&self) -> bool {
        true
    }

    // The relaying node records values without sending them, and sets them before a statement runs.
    fn set_always_succeeds(&self) -> bool {
        true
    }

    fn silence_timeout(&self) -> time::Duration {
        SILENCE_TIMEOUT
    }

    fn heartbeat(&self) -> Option<upstream::Heartbeat> {
        Some(rc::Rc::clone(&self.heartbeat))
    }
}

/// Opens a connection to an instance through the node at `address`, to be used for `lifetime` at
/// most.
///
/// The inner result is that node's answer.
///
/// # Errors
/// Returns an error if the node itself cannot be reached.
pub async fn dial(
    address: std::net::SocketAddr,
    target: &upstream::Target,
    lifetime: Option<time::Duration>,
) -> io::Result<Result<upstream::Dialled, upstream::Refusal>> {
    let connected = wait::within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = connected.ok_or(io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    message::send(&mut stream, target).await?;
    let opened = message::receive::<relay::Opened>(&mut stream).await?;
    let expires_at = lifetime.map(|lifetime| boot::now() + lifetime);
    Ok(opened.map(|stamp| {
        let remote: Box<dyn upstream::Connection> = Box::new(Remote {
            stream,
            expires_at,
            heartbeat: upstream::Heartbeat::default(),
        });
        (remote, stamp)
    }))
}
