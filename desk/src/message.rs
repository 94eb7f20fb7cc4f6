//! Messages between nodes: a length, and a value in a compact binary form.

use std::io;

use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;

/// Longest message between nodes; a caller's statement has one MiB at most.
const MAX_LENGTH: u32 = 4 << 20;

/// Sent in place of a first message's length by a node that asks questions. A node that does not
/// know it takes it for a message that is too long, and closes the connection.
const QUESTIONS_MARKER: u32 = u32::MAX - 1;

/// Sent in place of a length by a node that is still at work on what it was sent.
const HEARTBEAT_MARKER: u32 = u32::MAX - 2;

/// What a connection between two nodes is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Statements are relayed; the first message has this length.
    Relay(u32),
    /// Questions are asked.
    Questions,
}

/// Opens a conversation of questions.
///
/// # Errors
/// When the other node is not there.
pub async fn open_questions(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&QUESTIONS_MARKER.to_le_bytes()).await
}

/// Reads what a new connection is for.
///
/// # Errors
/// When the other node is not there.
pub async fn receive_opening(stream: &mut TcpStream) -> io::Result<Opening> {
    match receive_length(stream).await? {
        QUESTIONS_MARKER => Ok(Opening::Questions),
        length => Ok(Opening::Relay(length)),
    }
}

/// Sends a message.
///
/// # Errors
/// When the other node is not there.
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
/// When the other node is not there, or the message makes no sense.
pub async fn receive<T: serde::de::DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let length = receive_length(stream).await?;
    receive_body(stream, length).await
}

/// Tells the other node that its message is still worked on.
///
/// # Errors
/// When the other node is not there.
pub async fn send_heartbeat(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&HEARTBEAT_MARKER.to_le_bytes()).await
}

/// Receives a message; calls `on_heartbeat` for each heartbeat before it.
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

/// Receives a message, and the byte that may follow it.
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

/// Receives a message whose length is known.
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
