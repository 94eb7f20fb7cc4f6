//! Sends questions to other nodes.
//!
//! A node that does not answer is skipped for a while, so that its silence doesn't delay each
//! question again. An idle connection may be broken although its node is healthy, for example after
//! a network fault: a question on it is repeated on a new connection before the node counts as
//! silent.

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::pin;
use std::time;

use async_net::TcpStream;
use futures_lite::future as poll;
use mangotray::id;

use crate::boot;
use crate::limits::buckets;
use crate::member;
use crate::message;
use crate::question;
use crate::wait;

/// Timeouts of questions to a node.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Maximum wait for an answer.
    pub answer: time::Duration,
    /// Maximum wait for an answer of a node that did not answer the previous question.
    pub after_silence: time::Duration,
    /// Wait for an answer on an idle connection. It may be broken although the node is healthy, so
    /// the question is then also sent on a new connection.
    pub idle_connection: time::Duration,
}

impl Default for Timeouts {
    // To answer, a node queries two instances at most. The time left after the timeout of an idle
    // connection suffices to open a new connection between failure domains.
    fn default() -> Self {
        Self {
            answer: time::Duration::from_millis(100),
            after_silence: time::Duration::from_millis(30),
            idle_connection: time::Duration::from_millis(40),
        }
    }
}

/// Time for which a node that did not answer is skipped: it is slow, paused, unreachable or
/// stopped.
const SILENT_BACKOFF: time::Duration = time::Duration::from_secs(2);

/// Time for which a node that refuses connections is skipped. Short, as its process restarts soon.
const GONE_BACKOFF: time::Duration = time::Duration::from_millis(400);

/// Maximum number of idle connections to one node.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// A node that is skipped for a while.
struct SkippedNode {
    until: id::Time,
    reason: buckets::Reason,
}

/// Connections to other nodes for questions, and the nodes that did not answer.
#[derive(Default)]
pub struct Peers {
    timeouts: Timeouts,
    idle: cell::RefCell<collections::BTreeMap<net::SocketAddr, Vec<TcpStream>>>,
    skipped_nodes: cell::RefCell<collections::BTreeMap<id::Vm, SkippedNode>>,
}

impl Peers {
    /// Creates peers with these timeouts.
    #[must_use]
    pub fn with_timeouts(timeouts: Timeouts) -> Self {
        Self {
            timeouts,
            ..Self::default()
        }
    }

    /// Whether a node may be asked: it has not failed to answer recently.
    #[must_use]
    pub fn may_ask(&self, name: &id::Vm) -> bool {
        self.skip_reason(name).is_none()
    }

    /// Returns why a node is skipped now, or `None` if it may be asked.
    #[must_use]
    pub fn skip_reason(&self, name: &id::Vm) -> Option<buckets::Reason> {
        let skipped = self.skipped_nodes.borrow();
        let skipped = skipped.get(name)?;
        (boot::now() <= skipped.until).then_some(skipped.reason)
    }

    /// Sends a question to a node; `None` if it does not answer in time.
    pub async fn ask(
        &self,
        node: &member::Member,
        question: &question::Question,
    ) -> Option<question::Answer> {
        let limit = self.answer_timeout(&node.name);
        let answered = wait::within(limit, self.exchange(node.address, question)).await;
        let failure = match answered {
            Some(Ok(answer)) => {
                self.skipped_nodes.borrow_mut().remove(&node.name);
                return Some(answer);
            }
            Some(Err(error)) => error,
            None => io::ErrorKind::TimedOut.into(),
        };
        tracing::info!(node = %node.name, %failure, "node did not answer a question");
        self.idle.borrow_mut().remove(&node.address);
        let gone = failure.kind() == io::ErrorKind::ConnectionRefused;
        let (pause, reason) = if gone {
            (GONE_BACKOFF, buckets::Reason::Gone)
        } else {
            (SILENT_BACKOFF, buckets::Reason::Silent)
        };
        let until = boot::now() + pause;
        self.skipped_nodes
            .borrow_mut()
            .insert(node.name.clone(), SkippedNode { until, reason });
        None
    }

    fn answer_timeout(&self, name: &id::Vm) -> time::Duration {
        let skipped = self.skipped_nodes.borrow();
        match skipped.get(name) {
            Some(before) if before.reason == buckets::Reason::Silent => self.timeouts.after_silence,
            _ => self.timeouts.answer,
        }
    }

    // A broken idle connection says nothing about the node: its process may have restarted. Nor
    // does a silent one, as open connections can break unnoticed while new ones work. Only a node
    // that does not answer on a new connection either is silent itself.
    async fn exchange(
        &self,
        address: net::SocketAddr,
        question: &question::Question,
    ) -> io::Result<question::Answer> {
        let Some(stream) = self.take_idle(address) else {
            return self.ask_on_new_connection(address, question).await;
        };
        let mut answer = pin::pin!(self.exchange_on(stream, address, question));
        match wait::within(self.timeouts.idle_connection, answer.as_mut()).await {
            Some(Ok(answer)) => return Ok(answer),
            Some(Err(_)) => return self.ask_on_new_connection(address, question).await,
            None => self.drop_idle(address),
        }
        let late = async {
            match answer.await {
                Ok(answer) => Ok(answer),
                Err(_) => poll::pending().await,
            }
        };
        poll::or(late, self.ask_on_new_connection(address, question)).await
    }

    async fn ask_on_new_connection(
        &self,
        address: net::SocketAddr,
        question: &question::Question,
    ) -> io::Result<question::Answer> {
        self.exchange_on(connect(address).await?, address, question)
            .await
    }

    // The other idle connections are as old as the silent one, so they are probably broken too.
    fn drop_idle(&self, address: net::SocketAddr) {
        let dropped = self.idle.borrow_mut().remove(&address);
        let others = dropped.map_or(0, |streams| streams.len());
        tracing::info!(%address, others, "idle connection to a node is silent; repeating the question on a new one");
        metrics::counter!("mangotray_peer_silent_connections_total").increment(1);
    }

    async fn exchange_on(
        &self,
        mut stream: TcpStream,
        address: net::SocketAddr,
        question: &question::Question,
    ) -> io::Result<question::Answer> {
        message::send(&mut stream, question).await?;
        let answer = message::receive(&mut stream).await?;
        let mut idle = self.idle.borrow_mut();
        let streams = idle.entry(address).or_default();
        if streams.len() < MAX_IDLE_CONNECTIONS {
            streams.push(stream);
        }
        Ok(answer)
    }

    // Unsolicited bytes or the end of the stream make a connection unusable.
    fn take_idle(&self, address: net::SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&address)?;
        let mut byte = [0];
        while let Some(stream) = streams.pop() {
            if poll::block_on(poll::poll_once(stream.peek(&mut byte))).is_none() {
                return Some(stream);
            }
        }
        None
    }
}

async fn connect(address: net::SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    message::open_questions(&mut stream).await?;
    Ok(stream)
}
