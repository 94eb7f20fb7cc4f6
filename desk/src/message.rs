//! Messages between nodes: a length of four bytes, little-endian, and a value in postcard's binary
//! form.
//!
//! Lengths above the limit serve as markers in place of a message.

use std::io;

use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;

/// Longest message between nodes, in bytes; a caller's statement has one MiB at most.
const MAX_LENGTH: u32 = 4 << 20;

/// Sent in place of the first message's length on a connection for questions. A node that does not
/// know the marker takes it for the length of a message that is too long, and closes the
/// connection.
const QUESTIONS_MARKER: u32 = u32::MAX - 1;

/// Sent in place of a length as a heartbeat, by a node that still works on the request.
const HEARTBEAT_MARKER: u32 = u32::MAX - 2;

/// Purpose of a connection between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Relaying statements; the first message has this length.
    Relay(u32),
    /// Questions and answers.
    Questions,
}

/// Marks a new connection as one for questions.
///
/// # Errors
/// Returns an error if the connection is broken.
pub async fn open_questions(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&QUESTIONS_MARKER.to_le_bytes()).await
}

/// Reads the purpose of a new connection.
///
/// # Errors
/// Returns an error if the connection is broken or closed.
pub async fn receive_opening(stream: &mut TcpStream) -> io::Result<Opening> {
    match receive_length(stream).await? {
        QUESTIONS_MARKER => Ok(Opening::Questions),
        length => Ok(Opening::Relay(length)),
    }
}

/// Sends a message.
///
/// # Errors
/// Returns an error if the connection is broken, or the value cannot be serialised.
pub async fn send(stream: &mut TcpStream, value: &impl serde::Serialize) -> io::Result<()> {
    let body = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(io::Error::other)?;
    let mut message = Vec::with_capacity(body.len() + 4);
    message.extend_from_slice(&length.to_le_bytes());
    message.extend_from_slice(&body);
    stream.write_all(&message).await
}

/// Receives a message.
///
/// # Errors
/// Returns an error if the connection is broken or closed, or the message is too long or malformed.
pub async fn receive<T: serde::de::DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let length = receive_length(stream).await?;
    receive_body(stream, length).await
}

/// Sends a heartbeat: the other node's request is still being worked on.
///
/// # Errors
/// Returns an error if the connection is broken.
pub async fn send_heartbeat(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&HEARTBEAT_MARKER.to_le_bytes()).await
}

/// Receives a message, and calls `on_heartbeat` for each heartbeat before it.
///
/// # Errors
/// As [`receive`].
pub async fn receive_after_heartbeats<T: serde::de::DeserializeOwned>(
    stream: &mut TcpStream,
    on_heartbeat: impl Fn(),
) -> io::Result<T> {
    loop {
        match receive_length(stream).await? {
            HEARTBEAT_MARKER => on_heartbeat(),
            length => return receive_body(stream, length).await,
        }
    }
}

/// Receives a message and, if one follows its value, a second value; calls `on_heartbeat` for each
/// heartbeat before it. What follows and is no such value is ignored.
///
/// # Errors
/// As [`receive`].
pub async fn receive_with_appendix<T, U>(
    stream: &mut TcpStream,
    on_heartbeat: impl Fn(),
) -> io::Result<(T, Option<U>)>
where
    T: serde::de::DeserializeOwned,
    U: serde::de::DeserializeOwned,
{
    loop {
        match receive_length(stream).await? {
            HEARTBEAT_MARKER => on_heartbeat(),
            length => {
                let bytes = receive_bytes(stream, length).await?;
                let (value, rest) = postcard::take_from_bytes(&bytes).map_err(io::Error::other)?;
                return Ok((value, postcard::from_bytes(rest).ok()));
            }
        }
    }
}

/// Receives a message, and the byte after its value if there is one.
///
/// # Errors
/// As [`receive`].
pub async fn receive_with_trailer<T: serde::de::DeserializeOwned>(
    stream: &mut TcpStream,
) -> io::Result<(T, Option<u8>)> {
    let length = receive_length(stream).await?;
    let bytes = receive_bytes(stream, length).await?;
    let (value, rest) = postcard::take_from_bytes(&bytes).map_err(io::Error::other)?;
    Ok((value, rest.first().copied()))
}

/// Receives a message whose length has been read already.
///
/// # Errors
/// As [`receive`].
pub async fn receive_body<T: serde::de::DeserializeOwned>(
    stream: &mut TcpStream,
    length: u32,
) -> io::Result<T> {
    let bytes = receive_bytes(stream, length).await?;
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}

async fn receive_bytes(stream: &mut TcpStream, length: u32) -> io::Result<Vec<u8>> {
    if length > MAX_LENGTH {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

async fn receive_length(stream: &mut TcpStream) -> io::Result<u32> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    Ok(u32::from_le_bytes(length))
}
