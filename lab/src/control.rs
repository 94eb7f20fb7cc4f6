//! Control port of a stand-in process; a connection sends one command line.

use std::fmt::Write;
use std::net;

use futures_lite::AsyncBufReadExt;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::StreamExt;
use futures_util::future;

/// Greatest length of a command line in bytes.
const MAX_LINE_BYTES: u64 = 64 * 1024;

/// Runs commands that arrive at the control port.
pub trait Handler: Send + Sync {
    /// Runs one command line and returns the text of its answer.
    fn handle<'a>(&'a self, line: &'a str) -> future::BoxFuture<'a, eyre::Result<String>>;
}

/// Serves one connection after the other until the listener fails.
///
/// # Errors
/// When the listener fails.
pub async fn serve(listener: async_net::TcpListener, handler: &dyn Handler) -> eyre::Result<()> {
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        if let Err(error) = answer(stream?, handler).await {
            tracing::warn!(%error, "control connection failed");
        }
    }
    Ok(())
}

async fn answer(mut stream: async_net::TcpStream, handler: &dyn Handler) -> eyre::Result<()> {
    let mut line = String::new();
    let limited = stream.clone().take(MAX_LINE_BYTES);
    futures_lite::io::BufReader::new(limited)
        .read_line(&mut line)
        .await?;
    let text = match handler.handle(line.trim()).await {
        Ok(text) => text,
        Err(error) => format!("error: {error:#}"),
    };
    stream.write_all(text.as_bytes()).await?;
    stream.write_all(b"\n").await?;
    Ok(())
}

/// Sends one command and returns the whole answer.
///
/// # Errors
/// When the port cannot be reached, or the connection fails.
pub async fn send(control: net::SocketAddr, words: &[String]) -> eyre::Result<String> {
    let mut stream = async_net::TcpStream::connect(control).await?;
    let mut line = words.join(" ");
    writeln!(line)?;
    stream.write_all(line.as_bytes()).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    Ok(text)
}

#[cfg(test)]
mod tests;
