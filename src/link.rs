//! A working connection to an instance over the `PostgreSQL` wire protocol.

use std::io;
use std::net;
use std::time;

use compact_str::CompactString;
use compact_str::format_compact;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use pgwire::messages::response;
use pgwire::messages::startup;

use crate::frame;
use crate::id;
use crate::reply;
use crate::stamp;
use crate::transaction;
use crate::upstream;
use crate::wire;

/// First words of the failure of an answer that exceeds the limit.
pub const TOO_LARGE: &str = "answer too large";

/// Parameters that begin with this are for the proxy and never reach the caller.
const PRIVATE_PREFIX: &str = "group_";
const INCARNATION: &str = "group_incarnation";
const STAMP: &str = "group_stamp";
const HEADER_BYTES: usize = 5;
const SQLSTATE_FIELD: u8 = b'C';
const MESSAGE_FIELD: u8 = b'M';

/// How links are opened and how much they accept.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Options {
    /// User name of the startup packet.
    pub user: CompactString,
    /// Longest wait for the connection and its handshake.
    #[serde(with = "humantime_serde")]
    pub timeout: time::Duration,
    /// Largest answer to one batch, in bytes.
    pub limit: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            user: "mangotray".into(),
            timeout: time::Duration::from_secs(2),
            limit: 16 << 20,
        }
    }
}

/// One connection; it answers one batch at a time and is unusable after any failure.
pub struct Link {
    stream: wire::Stream,
    incarnation: id::Incarnation,
    limit: usize,
    usable: bool,
}

impl Link {
    /// Connects and completes the handshake.
    ///
    /// ```
    /// use mangotray::{link, upstream};
    /// let options = link::Options::default();
    /// let closed = "127.0.0.1:1".parse().unwrap();
    /// let link = futures_lite::future::block_on(link::Link::open(closed, "db", &options));
    /// assert!(matches!(link.err(), Some(upstream::Failure::NotRun(_))));
    /// ```
    ///
    /// # Errors
    /// Always `Failure::NotRun`: no statement has been sent yet.
    pub async fn open(
        address: net::SocketAddr,
        database: &str,
        options: &Options,
    ) -> Result<Self, upstream::Failure> {
        Self::handshake(address, database, options)
            .or(async {
                async_io::Timer::after(options.timeout).await;
                Err(eyre::eyre!("no handshake within {:?}", options.timeout))
            })
            .await
            .map_err(|error| not_run(format_args!("cannot open {address}: {error}")))
    }

    async fn handshake(
        address: net::SocketAddr,
        database: &str,
        options: &Options,
    ) -> eyre::Result<Self> {
        let mut socket = async_net::TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        socket.write_all(&greeting(&options.user, database)).await?;
        let mut link = Self {
            stream: wire::established(wire::stream(Box::new(socket)), options.limit),
            incarnation: 0,
            limit: options.limit,
            usable: false,
        };
        link.authenticate().await?;
        link.usable = true;
        Ok(link)
    }

    async fn authenticate(&mut self) -> eyre::Result<()> {
        let mut incarnation = None;
        loop {
            let frame = self.next().await?;
            match frame.tag {
                startup::MESSAGE_TYPE_BYTE_AUTHENTICATION => accept(&frame)?,
                startup::MESSAGE_TYPE_BYTE_PARAMETER_STATUS => {
                    let status = frame.decode::<startup::ParameterStatus>()?;
                    if status.name == INCARNATION {
                        incarnation = Some(status.value.parse()?);
                    }
                }
                response::MESSAGE_TYPE_BYTE_ERROR_RESPONSE => {
                    let refusal = frame.decode::<response::ErrorResponse>()?;
                    eyre::bail!("refused: {}", describe(&refusal));
                }
                response::MESSAGE_TYPE_BYTE_READY_FOR_QUERY => break,
                _ => {}
            }
        }
        self.incarnation = incarnation.ok_or_else(|| eyre::eyre!("no {INCARNATION} reported"))?;
        Ok(())
    }

    async fn next(&mut self) -> io::Result<frame::Frame> {
        self.stream
            .next()
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
    }

    /// A connection that the instance closed while it lay idle would swallow a batch
    /// without a trace, and the caller would be told "unknown" for something that
    /// never left. The closing is already in the socket, so it is looked for first.
    fn check_idle(&mut self) -> Result<(), upstream::Failure> {
        while let Some(event) = self.next().now_or_never() {
            match event {
                Ok(frame) if is_asynchronous(frame.tag) => {}
                Ok(frame) if frame.tag == response::MESSAGE_TYPE_BYTE_ERROR_RESPONSE => {
                    return Err(not_run("closed by the instance while idle"));
                }
                Ok(_) => return Err(not_run("unexpected frame on an idle connection")),
                Err(error) => return Err(not_run(format_args!("closed while idle: {error}"))),
            }
        }
        Ok(())
    }

    async fn send(&mut self, frames: &[frame::Frame]) -> Result<(), upstream::Failure> {
        let mut buffer = bytes::BytesMut::new();
        for frame in frames {
            frame.write(&mut buffer);
        }
        let socket = self.stream.get_mut().get_mut();
        let mut sent = 0;
        while sent < buffer.len() {
            match socket.write(&buffer[sent..]).await {
                Ok(0) | Err(_) if sent == 0 => {
                    return Err(not_run("connection lost before sending"));
                }
                Ok(0) => return Err(unknown("connection lost while sending")),
                Ok(bytes) => sent += bytes,
                Err(error) => return Err(unknown(format_args!("lost while sending: {error}"))),
            }
        }
        Ok(())
    }

    async fn receive(&mut self) -> Result<reply::Reply, upstream::Failure> {
        let mut answer = Answer::default();
        let mut size = 0;
        loop {
            let frame = self.next().await.map_err(|error| lost(&error))?;
            size += HEADER_BYTES + frame.body.len();
            if size > self.limit {
                return Err(too_large(self.limit));
            }
            let complete = answer
                .add(frame)
                .map_err(|error| unknown(format_args!("{error}")))?;
            if let Some(reply) = complete {
                return Ok(reply);
            }
        }
    }
}

impl upstream::Connection for Link {
    fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    fn run<'a>(
        &'a mut self,
        frames: &'a [frame::Frame],
    ) -> BoxFuture<'a, Result<reply::Reply, upstream::Failure>> {
        Box::pin(async move {
            // Set again only after a whole answer: a run that was dropped or failed
            // half way leaves frames behind, which the next batch would take for its own.
            if !std::mem::replace(&mut self.usable, false) {
                return Err(not_run("connection is no longer usable"));
            }
            self.check_idle()?;
            self.send(frames).await?;
            let reply = self.receive().await?;
            self.usable = true;
            Ok(reply)
        })
    }
}

/// Answer under construction.
#[derive(Default)]
struct Answer {
    frames: Vec<frame::Frame>,
    stamp: Option<stamp::Stamp>,
    error: Option<CompactString>,
}

impl Answer {
    /// Takes the next frame; gives the reply when it was the last.
    fn add(&mut self, frame: frame::Frame) -> eyre::Result<Option<reply::Reply>> {
        match frame.tag {
            response::MESSAGE_TYPE_BYTE_READY_FOR_QUERY => return self.finish(&frame).map(Some),
            startup::MESSAGE_TYPE_BYTE_PARAMETER_STATUS => {
                let status = frame.decode::<startup::ParameterStatus>()?;
                if status.name == STAMP {
                    self.stamp = Some(status.value.parse()?);
                }
                if status.name.starts_with(PRIVATE_PREFIX) {
                    return Ok(None);
                }
            }
            response::MESSAGE_TYPE_BYTE_ERROR_RESPONSE if self.error.is_none() => {
                let error = frame.decode::<response::ErrorResponse>()?;
                self.error = field(&error, SQLSTATE_FIELD).map(CompactString::from);
            }
            pgwire::messages::copy::MESSAGE_TYPE_BYTE_COPY_IN_RESPONSE
            | pgwire::messages::copy::MESSAGE_TYPE_BYTE_COPY_BOTH_RESPONSE => {
                eyre::bail!("COPY from the caller is not relayed");
            }
            _ => {}
        }
        self.frames.push(frame);
        Ok(None)
    }

    fn finish(&mut self, frame: &frame::Frame) -> eyre::Result<reply::Reply> {
        let ready = frame.decode::<response::ReadyForQuery>()?;
        Ok(reply::Reply {
            frames: std::mem::take(&mut self.frames),
            transaction: state(ready.status),
            stamp: self.stamp,
            error: self.error.take(),
        })
    }
}

fn state(status: response::TransactionStatus) -> transaction::State {
    match status {
        response::TransactionStatus::Idle => transaction::State::Idle,
        response::TransactionStatus::Transaction => transaction::State::Open,
        response::TransactionStatus::Error => transaction::State::Failed,
    }
}

fn greeting(user: &str, database: &str) -> bytes::BytesMut {
    let mut message = startup::Startup::new();
    message.parameters.insert("user".into(), user.into());
    message
        .parameters
        .insert("database".into(), database.into());
    let mut buffer = bytes::BytesMut::new();
    pgwire::messages::Message::encode(&message, &mut buffer).expect("names within limits");
    buffer
}

fn accept(frame: &frame::Frame) -> eyre::Result<()> {
    match frame.decode::<startup::Authentication>()? {
        startup::Authentication::Ok => Ok(()),
        _ => eyre::bail!("the instance asks for a password"),
    }
}

fn is_asynchronous(tag: u8) -> bool {
    matches!(
        tag,
        startup::MESSAGE_TYPE_BYTE_PARAMETER_STATUS
            | response::MESSAGE_TYPE_BYTE_NOTICE_RESPONSE
            | response::MESSAGE_TYPE_BYTE_NOTIFICATION_RESPONSE
    )
}

fn field(error: &response::ErrorResponse, kind: u8) -> Option<&str> {
    error
        .fields
        .iter()
        .find_map(|(tag, text)| (*tag == kind).then_some(text.as_str()))
}

/// SQLSTATE and message of an error, for logs.
pub(crate) fn describe(error: &response::ErrorResponse) -> String {
    let code = field(error, SQLSTATE_FIELD).unwrap_or("no SQLSTATE");
    let message = field(error, MESSAGE_FIELD).unwrap_or_default();
    format!("{code} {message}")
}

fn not_run(words: impl std::fmt::Display) -> upstream::Failure {
    upstream::Failure::NotRun(format_compact!("{words}"))
}

fn unknown(words: impl std::fmt::Display) -> upstream::Failure {
    upstream::Failure::Unknown(format_compact!("{words}"))
}

fn too_large(limit: usize) -> upstream::Failure {
    unknown(format_args!("{TOO_LARGE}: more than {limit} bytes"))
}

/// A frame over the limit is refused by its length field, before it is read.
fn lost(error: &io::Error) -> upstream::Failure {
    if error.kind() == io::ErrorKind::InvalidData {
        return unknown(format_args!("{TOO_LARGE}: {error}"));
    }
    unknown(format_args!(
        "connection lost before the whole answer: {error}"
    ))
}

#[cfg(test)]
mod tests;
