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
use crate::load::report;
use crate::load::subscription;
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
    /// Trailing byte [`relay::HEARTBEAT_REQUEST`], which nodes of an earlier version ignore, or
    /// [`relay::REPORT_REQUEST`].
    tell: u8,
}

/// A relayed connection through another node.
struct Remote {
    stream: TcpStream,
    /// When the connection is to be replaced, if ever.
    expires_at: Option<id::Time>,
    heartbeat: upstream::Heartbeat,
    /// Where load reports are recorded, if they are requested.
    subscription: Option<subscription::Subscription>,
    /// Whether a request is not answered yet, and when it was sent.
    pending_since: Option<id::Time>,
}

impl Remote {
    async fn exchange(&mut self, work: &WorkRef<'_>) -> io::Result<relay::Answer> {
        let record_heartbeat = || self.heartbeat.set(boot::now());
        let Some(subscription) = &self.subscription else {
            message::send(&mut self.stream, work).await?;
            return message::receive_after_heartbeats(&mut self.stream, record_heartbeat).await;
        };
        let ticket = subscription.note_sent();
        self.pending_since = Some(boot::now());
        message::send(&mut self.stream, work).await?;
        let (answer, report) = message::receive_with_appendix::<relay::Answer, report::Report>(
            &mut self.stream,
            record_heartbeat,
        )
        .await?;
        self.pending_since = None;
        // A node that refuses for another reason than its queue is stopping, or has lost the
        // instance.
        let refused = matches!(&answer, Err(failure) if !failure.crowded);
        match report {
            _ if refused => subscription.forget(),
            Some(report) => subscription.record(ticket, report),
            None => {}
        }
        Ok(answer)
    }
}

impl Drop for Remote {
    // A request that was given up leaves nothing known about the instance, nor about the lending
    // node if that sent no heartbeat.
    fn drop(&mut self) {
        let (Some(subscription), Some(since)) = (&self.subscription, self.pending_since) else {
            return;
        };
        subscription.forget();
        if boot::now() >= self.heartbeat.get().max(since) + SILENCE_TIMEOUT {
            subscription.forget_lender();
        }
    }
}

impl upstream::Connection for Remote {
    fn run<'a>(
        &'a mut self,
        commands: &'a [upstream::Command],
        urgency: urgency::Urgency,
        organisation: &'a organisation::Name,
    ) -> future::LocalBoxFuture<'a, relay::Answer> {
        async move {
            let tell = match self.subscription {
                Some(_) => relay::REPORT_REQUEST,
                None => relay::HEARTBEAT_REQUEST,
            };
            let work = WorkRef {
                urgency: urgency.to_remaining(),
                organisation,
                commands,
                tell,
            };
            self.exchange(&work).await.unwrap_or_else(|error| {
                if let Some(subscription) = &self.subscription {
                    subscription.forget_lender();
                }
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
        // connection cannot be used any more, and that the node may have restarted.
        let silent = poll::block_on(poll::poll_once(self.stream.peek(&mut byte))).is_none();
        if let Some(subscription) = self.subscription.as_ref().filter(|_| !silent) {
            subscription.forget_lender();
        }
        fresh && silent
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
/// most. Load reports are requested on it if there is a `subscription` to record them.
///
/// The inner result is that node's answer.
///
/// # Errors
/// Returns an error if the node itself cannot be reached.
pub async fn dial(
    address: std::net::SocketAddr,
    target: &upstream::Target,
    lifetime: Option<time::Duration>,
    subscription: Option<subscription::Subscription>,
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
            subscription,
            pending_since: None,
        });
        (remote, stamp)
    }))
}
