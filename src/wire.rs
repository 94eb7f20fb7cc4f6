//! Framing of the `PostgreSQL` wire protocol over a byte stream.

use std::io;

use bytes::Buf;
use futures_lite::io as stream;
use tokio_util::codec;
use tokio_util::compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::frame;

const LENGTH_BYTES: usize = 4;
const TAG_BYTES: usize = 1;

/// Largest startup packet in bytes. `PostgreSQL` servers use the same limit.
pub const MAX_STARTUP_PACKET_BYTES: usize = 10_000;

/// A bidirectional byte stream, such as TCP, TLS, or an in-memory pipe in tests.
pub trait Duplex: stream::AsyncRead + stream::AsyncWrite + Unpin + Send {}

impl<T: stream::AsyncRead + stream::AsyncWrite + Unpin + Send> Duplex for T {}

/// A stream of frames over a byte stream.
pub type Stream = codec::Framed<compat::Compat<Box<dyn Duplex>>, Codec>;

/// Encodes and decodes frames. The length field is checked against a limit before memory is
/// reserved, so a wrong length cannot exhaust the proxy's memory.
#[derive(Debug)]
pub struct Codec {
    inner: codec::LengthDelimitedCodec,
    tagged: bool,
}

impl Codec {
    /// Creates a codec for a connection whose startup is complete, with frames of at most
    /// `max_bytes` bytes.
    #[must_use]
    pub fn tagged(max_bytes: usize) -> Self {
        Self {
            inner: length_codec(TAG_BYTES, max_bytes),
            tagged: true,
        }
    }

    /// Creates a codec for startup, encryption and cancel packets. They have no type byte, so their
    /// frames get tag 0.
    #[must_use]
    pub fn untagged() -> Self {
        Self {
            inner: length_codec(0, MAX_STARTUP_PACKET_BYTES),
            tagged: false,
        }
    }
}

/// The protocol's length field includes itself but not the tag before it, while a decoded packet
/// begins with the tag.
fn length_codec(tag_bytes: usize, max_bytes: usize) -> codec::LengthDelimitedCodec {
    let adjustment = isize::try_from(tag_bytes).expect("offset of one byte at most");
    codec::LengthDelimitedCodec::builder()
        .length_field_offset(tag_bytes)
        .length_field_length(LENGTH_BYTES)
        .length_adjustment(adjustment)
        .num_skip(0)
        .max_frame_length(max_bytes)
        .new_codec()
}

impl codec::Decoder for Codec {
    type Item = frame::Frame;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut bytes::BytesMut) -> io::Result<Option<frame::Frame>> {
        let Some(mut packet) = self.inner.decode(buffer)? else {
            return Ok(None);
        };
        // A length below four bytes does not even cover the length field, so the peer is faulty or
        // hostile.
        let header = LENGTH_BYTES + if self.tagged { TAG_BYTES } else { 0 };
        if packet.len() < header {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let tag = if self.tagged { packet.get_u8() } else { 0 };
        packet.advance(LENGTH_BYTES);
        Ok(Some(frame::Frame {
            tag,
            body: packet.freeze(),
        }))
    }
}

impl codec::Encoder<frame::Frame> for Codec {
    type Error = io::Error;

    fn encode(&mut self, frame: frame::Frame, buffer: &mut bytes::BytesMut) -> io::Result<()> {
        frame.write(buffer);
        Ok(())
    }
}

/// Wraps a byte stream whose startup is not complete.
#[must_use]
pub fn stream(socket: Box<dyn Duplex>) -> Stream {
    codec::Framed::new(socket.compat(), Codec::untagged())
}

/// Switches a stream to tagged frames of at most `max_bytes` bytes each.
#[must_use]
pub fn established(stream: Stream, max_bytes: usize) -> Stream {
    stream.map_codec(|_| Codec::tagged(max_bytes))
}

#[cfg(test)]
mod tests;
