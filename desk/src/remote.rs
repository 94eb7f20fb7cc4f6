//! Connections to instances through another node, which lends its own.

use std::io;
use std::rc;
use std::time;

use async_net::TcpStream;
use futures_lite::future as poll;
use futures_util::FutureExt;
use futures_util::future;
use mangotray::id;

use crate::boot;
use crate::message;
use crate::organisation;
use crate::relay;
use crate::upstream;
use crate::urgency;
use crate::wait;

/// Longest wait for another node to accept a connection, which its system does even while the
/// node is busy: a few ways there and back. A node that is gone for good stays listed, and is asked
/// first for some instance by each node that starts.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(80);

/// A connection is suspected after this long without an answer or a heartbeat. The lending node sends one each
/// 60 ms; its machine may not let it run for the rest of a tenth of a second.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// What a lending node is asked to run.
#[derive(serde::Serialize)]
struct WorkRef<'a> {
    urgency: urgency::Urgency,
    organisation: &'a organisation::Name,
    commands: &'a [upstream::Command],
    /// Nodes of an earlier version do not read it.
    tell: u8,
}

/// A relayed connection through another node, of use until a time if one is set.
struct Remote {
    stream: TcpStream,
    expires_at: Option<id::Time>,
    pulse: upstream::Pulse,
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
                tell: relay::WANT_HEARTBEATS,
            };
            let exchange = async {
                message::send(&mut self.stream, &work).await?;
                let record_heartbeat = || self.pulse.set(boot::now());
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
        // Nothing may come unasked: bytes or an end of stream both make it useless.
        fresh && poll::block_on(poll::poll_once(self.stream.peek(&mut byte))).is_none()
    }

    fn serves_any(&self) -> bool {
        true
    }

    // The lending node notes values, and sets them before it runs a statement.
    fn sets_surely(&self) -> bool {
        true
    }

    fn silence(&self) -> time::Duration {
        SILENCE_TIMEOUT
    }

    fn pulse(&self) -> Option<upstream::Pulse> {
        Some(rc::Rc::clone(&self.pulse))
    }
}

/// Opens a connection to an instance through the node at `address`, of use for `lifetime`.
///
/// The inner result is what that node answered.
///
/// # Errors
/// When the node itself is not there.
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
            pulse: upstream::Pulse::default(),
        });
        (remote, stamp)
    }))
}
