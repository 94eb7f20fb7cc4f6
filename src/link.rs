//! Connection to an instance over the `PostgreSQL` wire protocol.

use std::future;
use std::io;
use std::net;
use std::pin;
use std::task;
use std::time;

use bytes::Buf;
use compact_str::CompactString;
use compact_str::format_compact;
use futures_lite::AsyncWrite;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use pgwire::messages::response;
use pgwire::messages::startup;

use crate::assembly;
use crate::frame;
use crate::id;
use crate::local;
use crate::reply;
use crate::upstream;
use crate::wire;

/// Parameter with which an instance reports its incarnation during the handshake.
const INCARNATION_PARAMETER: &str = "group_incarnation";

/// Options of links.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Options {
    /// User name in the startup packet.
    pub user: CompactString,
    /// Timeout for connecting, including the handshake.
    #[serde(with = "humantime_serde")]
    pub timeout: time::Duration,
    /// Maximum size of the answer to one batch, in bytes.
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

/// Connection that runs one batch at a time; it is unusable after any failure.
pub struct Link {
    stream: wire::Stream,
    incarnation: id::Incarnation,
    limit: usize,
    usable: bool,
}

impl Link {
    /// Connects and performs the handshake.
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
    /// Always `Failure::NotRun`, because no statement has been sent.
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
        socket
            .write_all(&startup_packet(&options.user, database))
            .await?;
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
            let frame = self.next_frame().await?;
            match frame.tag {
                startup::MESSAGE_TYPE_BYTE_AUTHENTICATION => check_authentication(&frame)?,
                startup::MESSAGE_TYPE_BYTE_PARAMETER_STATUS => {
                    let status = frame.decode::<startup::ParameterStatus>()?;
                    if status.name == INCARNATION_PARAMETER {
                        incarnation = Some(status.value.parse()?);
                    }
                }
                response::MESSAGE_TYPE_BYTE_ERROR_RESPONSE => {
                    let refusal = frame.decode::<response::ErrorResponse>()?;
                    eyre::bail!("refused: {}", assembly::describe(&refusal));
                }
                response::MESSAGE_TYPE_BYTE_READY_FOR_QUERY => break,
                _ => {}
            }
        }
        self.incarnation =
            incarnation.ok_or_else(|| eyre::eyre!("no {INCARNATION_PARAMETER} reported"))?;
        Ok(())
    }

    async fn next_frame(&mut self) -> io::Result<frame::Frame> {
        self.stream
            .next()
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
    }

    /// Checks, without waiting, that the instance has not closed the idle connection. A batch
    /// written to a closed connection is lost, and the caller would be told "unknown" although it
    /// never ran. The end of the stream is then already in the socket's receive buffer.
    fn check_idle(&mut self) -> Result<(), upstream::Failure> {
        while let Some(event) = self.next_frame().now_or_never() {
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

    /// Sends the batch and receives its answer concurrently. Otherwise, an instance that answers a
    /// long batch while reading it would wait for the proxy to read, while the proxy waits for the
    /// instance to read.
    async fn exchange(
        &mut self,
        frames: &[frame::Frame],
    ) -> Result<reply::Reply, upstream::Failure> {
        let mut request = Request::new(frames);
        let mut answer = assembly::Assembly::new(self.limit);
        future::poll_fn(|context| {
            self.poll_send(context, &mut request)?;
            self.poll_receive(context, &mut answer)
        })
        .await
    }

    fn poll_send(
        &mut self,
        context: &mut task::Context<'_>,
        request: &mut Request,
    ) -> Result<(), upstream::Failure> {
        let socket = self.stream.get_mut().get_mut();
        while request.unsent.has_remaining() {
            match pin::Pin::new(&mut *socket).poll_write(context, &request.unsent) {
                task::Poll::Pending => break,
                task::Poll::Ready(Ok(bytes)) if bytes > 0 => request.advance(bytes),
                task::Poll::Ready(_) if request.nothing_sent => {
                    return Err(not_run("connection lost before sending"));
                }
                task::Poll::Ready(_) => return Err(unknown("connection lost while sending")),
            }
        }
        Ok(())
    }

    fn poll_receive(
        &mut self,
        context: &mut task::Context<'_>,
        answer: &mut assembly::Assembly,
    ) -> task::Poll<Result<reply::Reply, upstream::Failure>> {
        loop {
            let event = task::ready!(self.stream.poll_next(context));
            let event = event.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()));
            let frame = event.map_err(|error| receive_failure(&error))?;
            if let Some(reply) = answer.add(frame)? {
                return task::Poll::Ready(Ok(reply));
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
            // Set again only after a whole answer. A run that was dropped or has failed leaves
            // frames in the stream, which the next batch would take for its own answer.
            if !std::mem::replace(&mut self.usable, false) {
                return Err(not_run("connection is no longer usable"));
            }
            self.check_idle()?;
            let reply = self.exchange(frames).await?;
            self.usable = true;
            Ok(reply)
        })
    }
}

/// Batch that is being sent.
struct Request {
    unsent: bytes::Bytes,
    /// Whether no byte has been written yet.
    nothing_sent: bool,
}

impl Request {
    fn new(frames: &[frame::Frame]) -> Self {
        let mut buffer = bytes::BytesMut::new();
        for frame in frames {
            frame.write(&mut buffer);
        }
        Self {
            unsent: buffer.freeze(),
            nothing_sent: true,
        }
    }

    fn advance(&mut self, bytes: usize) {
        self.unsent.advance(bytes);
        self.nothing_sent = false;
    }
}

/// Encodes the startup packet. It requests the parameter values that the proxy reports to callers;
/// with other defaults of the instance, callers would misread its answers.
fn startup_packet(user: &str, database: &str) -> bytes::BytesMut {
    let mut message = startup::Startup::new();
    message.parameters.insert("user".into(), user.into());
    message
        .parameters
        .insert("database".into(), database.into());
    let in_force = local::FIXED_SETTINGS.iter();
    let in_force = in_force.map(|(name, value)| ((*name).into(), (*value).into()));
    message.parameters.extend(in_force);
    let mut buffer = bytes::BytesMut::new();
    pgwire::messages::Message::encode(&message, &mut buffer).expect("names fit into a packet");
    buffer
}

fn check_authentication(frame: &frame::Frame) -> eyre::Result<()> {
    match frame.decode::<startup::Authentication>()? {
        startup::Authentication::Ok => Ok(()),
        _ => eyre::bail!("the instance requires authentication"),
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

fn not_run(message: impl std::fmt::Display) -> upstream::Failure {
    upstream::Failure::NotRun(format_compact!("{message}"))
}

fn unknown(message: impl std::fmt::Display) -> upstream::Failure {
    upstream::Failure::Unknown(format_compact!("{message}"))
}

/// Describes a failure to receive. A frame whose length field exceeds the limit is rejected before
/// its body is read, with the kind `InvalidData`.
fn receive_failure(error: &io::Error) -> upstream::Failure {
    if error.kind() == io::ErrorKind::InvalidData {
        return unknown(format_args!("{}: {error}", assembly::TOO_LARGE_MESSAGE));
    }
    unknown(format_args!(
        "connection lost before the end of the answer: {error}"
    ))
}

#[cfg(test)]
mod tests;
