//! Reads frames and complete requests from a caller.

use std::io;
use std::time;

use bytes::Buf;
use compact_str::format_compact;
use futures_lite::StreamExt;

use crate::extended;
use crate::frame;
use crate::refusal;
use crate::wire;

/// A request from a caller.
#[derive(Debug, PartialEq, Eq)]
pub enum Request {
    /// Statements of the simple protocol, with the frame that contained them.
    Query(String, frame::Frame),
    /// Messages of the extended protocol, ending in a Sync.
    Extended(Vec<extended::Message>),
    /// A message that the proxy does not support on pooled connections.
    Unsupported {
        /// Name of the message.
        message: &'static str,
        /// Whether to ignore all messages up to the next Sync, since the caller sends one before it
        /// expects the end of the answer.
        skip_to_sync: bool,
    },
    /// The caller closes the session with a Terminate message.
    Terminate,
}

/// Why no further request can be read.
#[derive(Debug, PartialEq, Eq)]
pub enum Stop {
    /// The connection to the caller is closed.
    Closed,
    /// The session ends with this error.
    Fatal(refusal::Error),
}

const QUERY: u8 = b'Q';
const SYNC: u8 = b'S';
const FLUSH: u8 = b'H';
const FUNCTION_CALL: u8 = b'F';
const TERMINATE: u8 = b'X';
const FRAME_HEADER_BYTES: usize = 5;
const MESSAGE_LIMIT_HINT: &str =
    "The limit is message_bytes in the section [limits] of the proxy's settings.";

/// Reads one frame.
///
/// # Errors
/// When the connection is closed, or the data is not a valid frame within the size limit.
pub async fn frame(stream: &mut wire::Stream) -> Result<frame::Frame, Stop> {
    loop {
        let frame = match stream.next().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Err(framing_error(stream, &error)),
            None => return Err(Stop::Closed),
        };
        // Data messages that remain after a refused COPY; the protocol requires to ignore them.
        if !matches!(frame.tag, b'd' | b'c' | b'f') {
            return Ok(frame);
        }
    }
}

/// Reads one packet of a connection whose startup is not complete.
///
/// # Errors
/// When the connection is closed, or the data is not a valid packet within the size limit.
pub async fn packet(stream: &mut wire::Stream) -> Result<frame::Frame, Stop> {
    match stream.next().await {
        Some(Ok(frame)) => Ok(frame),
        Some(Err(error)) if is_invalid_data(&error) => Err(Stop::Fatal(refusal::Error::fatal(
            refusal::PROTOCOL_VIOLATION,
            format_compact!(
                "startup packet has an invalid length; the limit is {} bytes",
                wire::MAX_STARTUP_PACKET_BYTES
            ),
        ))),
        Some(Err(_)) | None => Err(Stop::Closed),
    }
}

fn is_invalid_data(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
    )
}

/// Describes a framing error. The codec leaves an oversized message in the buffer, but has already
/// consumed a message that is shorter than its own header.
fn framing_error(stream: &wire::Stream, error: &io::Error) -> Stop {
    if !is_invalid_data(error) {
        return Stop::Closed;
    }
    let head = stream.read_buffer();
    let (text, hint) = if error.get_ref().is_some() && head.len() >= FRAME_HEADER_BYTES {
        let length = (&head[1..FRAME_HEADER_BYTES]).get_u32();
        let tag = char::from(head[0]);
        let text =
            format_compact!("message of type {tag:?} has an invalid length of {length} bytes");
        (text, Some(MESSAGE_LIMIT_HINT.into()))
    } else {
        ("message is shorter than its own header".into(), None)
    };
    let error = refusal::Error::fatal(refusal::PROTOCOL_VIOLATION, text);
    Stop::Fatal(refusal::Error { hint, ..error })
}

/// Reads the rest of the request that begins with `first`. All its messages together may have at
/// most `max_bytes` bytes.
///
/// # Errors
/// When the connection is closed, or the request is invalid or too large.
pub async fn request(
    stream: &mut wire::Stream,
    first: frame::Frame,
    max_bytes: usize,
) -> Result<Request, Stop> {
    let mut messages = Vec::new();
    let mut bytes = 0;
    let mut next = first;
    loop {
        bytes += next.body.len() + FRAME_HEADER_BYTES;
        if bytes > max_bytes {
            return Err(Stop::Fatal(too_large(&next, bytes, max_bytes)));
        }
        match next.tag {
            TERMINATE => return Ok(Request::Terminate),
            FLUSH => return Ok(unsupported("Flush", true)),
            FUNCTION_CALL => return Ok(unsupported("FunctionCall", !messages.is_empty())),
            QUERY if messages.is_empty() => {
                let text = extended::query(&next).map_err(Stop::Fatal)?;
                return Ok(Request::Query(text, next));
            }
            tag @ (b'P' | b'B' | b'D' | b'C' | b'E' | SYNC) => {
                messages.push(extended::Message::decode(&next).map_err(Stop::Fatal)?);
                if tag == SYNC {
                    return Ok(Request::Extended(messages));
                }
            }
            tag => return Err(Stop::Fatal(unexpected_message(tag))),
        }
        next = frame(stream).await?;
    }
}

const fn unsupported(message: &'static str, skip_to_sync: bool) -> Request {
    Request::Unsupported {
        message,
        skip_to_sync,
    }
}

fn too_large(frame: &frame::Frame, bytes: usize, max_bytes: usize) -> refusal::Error {
    refusal::Error::fatal(
        refusal::PROTOCOL_VIOLATION,
        format_compact!(
            "request of {bytes} bytes, up to a message of type {:?}, exceeds the limit of {max_bytes}",
            char::from(frame.tag)
        ),
    )
}

fn unexpected_message(tag: u8) -> refusal::Error {
    refusal::Error::fatal(
        refusal::PROTOCOL_VIOLATION,
        format_compact!("unexpected message of type {:?}", char::from(tag)),
    )
}

/// Waits for `delay`, then returns a `Stop` with `error`. Used as a timeout.
pub async fn stop_after(delay: time::Duration, error: refusal::Error) -> Stop {
    async_io::Timer::after(delay).await;
    Stop::Fatal(error)
}

/// Ignores all messages up to and including the next Sync.
///
/// # Errors
/// When the connection is closed, the caller terminates the session, or the data is not a valid
/// frame.
pub async fn skip_to_sync(stream: &mut wire::Stream) -> Result<(), Stop> {
    loop {
        match frame(stream).await?.tag {
            SYNC => return Ok(()),
            TERMINATE => return Err(Stop::Closed),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
