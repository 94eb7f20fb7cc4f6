//! Handshake on a connection between proxies, which checks that both belong to the same
//! installation.

use std::io;
use std::time;

use compact_str::CompactString;
use futures_lite::future;
use futures_util::sink::SinkExt;
use futures_util::stream::StreamExt;
use tokio_util::codec;
use tokio_util::compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::packet;
use crate::wire;

/// Version of the protocol between proxies; both sides must use the same version.
pub const VERSION: u32 = 2;

const MAGIC: [u8; 8] = *b"mangtray";
const MAX_HELLO_BYTES: usize = 1024;
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// First message of each side: the client sends its own, the server checks it and replies.
///
/// Without the handshake an unrelated client, or a proxy of another installation at a reused
/// address, could run statements or distribute another installation's configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Hello {
    magic: [u8; 8],
    version: u32,
    key: CompactString,
}

/// A byte stream framed into packets, as returned by the handshake.
pub type Framed<In, Out> =
    codec::Framed<compat::Compat<Box<dyn wire::Duplex>>, packet::Codec<In, Out>>;

impl Hello {
    /// Creates a message with the key that all proxies of one installation share.
    ///
    /// ```
    /// use mangotray::hello;
    /// let hello = hello::Hello::new("secret");
    /// assert!(hello.accepts(&hello::Hello::new("secret")));
    /// assert!(!hello.accepts(&hello::Hello::new("other")));
    /// ```
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self {
            magic: MAGIC,
            version: VERSION,
            key: key.into(),
        }
    }

    /// Whether a peer that sent `other` belongs to the same installation and uses the same
    /// protocol version.
    #[must_use]
    pub fn accepts(&self, other: &Self) -> bool {
        self.magic == other.magic
            && self.version == other.version
            && constant_time_eq(self.key.as_bytes(), other.key.as_bytes())
    }

    /// Performs the client's side of the handshake.
    ///
    /// # Errors
    /// When the stream fails, the handshake times out, or the other side is not a peer.
    pub async fn connect<In, Out>(
        &self,
        stream: Box<dyn wire::Duplex>,
    ) -> io::Result<Framed<In, Out>> {
        let exchange = async {
            let mut framed = frame_hellos(stream);
            framed.send(self.clone()).await?;
            self.check_peer(&mut framed).await?;
            Ok(framed)
        };
        with_timeout(exchange).await.map(into_peer_codec)
    }

    /// Performs the server's side of the handshake; a refused client gets no reply.
    ///
    /// # Errors
    /// When the stream fails, the handshake times out, or the other side is not a peer.
    pub async fn accept<In, Out>(
        &self,
        stream: Box<dyn wire::Duplex>,
    ) -> io::Result<Framed<In, Out>> {
        let exchange = async {
            let mut framed = frame_hellos(stream);
            self.check_peer(&mut framed).await?;
            framed.send(self.clone()).await?;
            Ok(framed)
        };
        with_timeout(exchange).await.map(into_peer_codec)
    }

    async fn check_peer(&self, framed: &mut Framed<Self, Self>) -> io::Result<()> {
        let other = framed.next().await;
        let other = other.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))?;
        if self.accepts(&other) {
            return Ok(());
        }
        Err(io::Error::new(
            io::ErrorKind::PermissionDenied,
            "not a peer of this system",
        ))
    }
}

/// Compares in a time that does not depend on where the inputs differ, so that the key can't be
/// guessed byte by byte from response times.
fn constant_time_eq(left: &[u8], right: &[u8]) -> bool {
    let differences = left.iter().zip(right).fold(0, |sum, (a, b)| sum | (a ^ b));
    left.len() == right.len() && differences == 0
}

fn frame_hellos(stream: Box<dyn wire::Duplex>) -> Framed<Hello, Hello> {
    codec::Framed::new(stream.compat(), packet::Codec::new(MAX_HELLO_BYTES))
}

fn into_peer_codec<In, Out>(framed: Framed<Hello, Hello>) -> Framed<In, Out> {
    framed.map_codec(|_| packet::Codec::new(packet::MAX_MESSAGE_BYTES))
}

async fn with_timeout<T>(exchange: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let timeout = async {
        async_io::Timer::after(HANDSHAKE_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(exchange, timeout).await
}
