//! Messages between nodes: a length, and a value in a compact binary form.

use std::io;

use async_net::TcpStream;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;

/// Longest message between nodes; a caller's statement has one MiB at most.
const LONGEST: u32 = 4 << 20;

/// Sent in place of a first message's length by a node that asks questions. A node that does not
/// know it takes it for a message that is too long, and closes the connection.
const QUESTIONS: u32 = u32::MAX - 1;

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
    stream.write_all(&QUESTIONS.to_le_bytes()).await
}

/// Reads what a new connection is for.
///
/// # Errors
/// When the other node is not there.
pub async fn opening(stream: &mut TcpStream) -> io::Result<Opening> {
    match length(stream).await? {
        QUESTIONS => Ok(Opening::Questions),
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
    let length = length(stream).await?;
    body(stream, length).await
}

/// Receives a message whose length is known.
///
/// # Errors
/// As [`receive`].
pub async fn body<T: serde::de::DeserializeOwned>(
    stream: &mut TcpStream,
    length: u32,
) -> io::Result<T> {
    if length > LONGEST {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}

async fn length(stream: &mut TcpStream) -> io::Result<u32> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    Ok(u32::from_le_bytes(length))
}
