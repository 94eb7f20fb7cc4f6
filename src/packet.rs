//! Encoding of messages between proxies: a length field followed by postcard data.

use std::io;
use std::marker;

use bytes::BufMut;
use tokio_util::codec;

const LENGTH_BYTES: usize = 4;

/// Largest message between two proxies, in bytes, without its length field.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Codec that sends messages of type `Out` and receives messages of type `In`.
///
/// The length field is checked before memory is reserved, so a wrong length cannot exhaust the
/// proxy's memory. The end of the stream is an error: when a peer disconnects, its sessions must
/// end at once, even while its requests are still running.
#[derive(Debug)]
pub struct Codec<In, Out> {
    inner: codec::LengthDelimitedCodec,
    max_bytes: usize,
    types: marker::PhantomData<fn(Out) -> In>,
}

impl<In, Out> Codec<In, Out> {
    /// Creates a codec for messages of at most `max_bytes` bytes, without the length field.
    ///
    /// ```
    /// use mangotray::packet;
    /// use tokio_util::codec::{Decoder, Encoder};
    /// let mut codec = packet::Codec::<u32, u32>::new(16);
    /// let mut buffer = bytes::BytesMut::new();
    /// codec.encode(7, &mut buffer).unwrap();
    /// assert_eq!(codec.decode(&mut buffer).unwrap(), Some(7));
    /// ```
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            inner: codec::LengthDelimitedCodec::builder()
                .length_field_length(LENGTH_BYTES)
                .max_frame_length(max_bytes)
                .new_codec(),
            max_bytes,
            types: marker::PhantomData,
        }
    }
}

impl<In: serde::de::DeserializeOwned, Out> codec::Decoder for Codec<In, Out> {
    type Item = In;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut bytes::BytesMut) -> io::Result<Option<In>> {
        let Some(packet) = self.inner.decode(buffer)? else {
            return Ok(None);
        };
        postcard::from_bytes(&packet).map(Some).map_err(malformed)
    }

    fn decode_eof(&mut self, buffer: &mut bytes::BytesMut) -> io::Result<Option<In>> {
        match self.decode(buffer)? {
            Some(message) => Ok(Some(message)),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}

impl<In, Out: serde::Serialize> codec::Encoder<Out> for Codec<In, Out> {
    type Error = io::Error;

    /// Leaves the buffer unchanged on any error, so that no part of the message is sent.
    fn encode(&mut self, message: Out, buffer: &mut bytes::BytesMut) -> io::Result<()> {
        let start = buffer.len();
        let result = append(&message, buffer, self.max_bytes);
        if result.is_err() {
            buffer.truncate(start);
        }
        result
    }
}

fn append<M: serde::Serialize>(
    message: &M,
    buffer: &mut bytes::BytesMut,
    max_bytes: usize,
) -> io::Result<()> {
    let start = buffer.len();
    let body = start + LENGTH_BYTES;
    buffer.put_bytes(0, LENGTH_BYTES);
    postcard::to_io(message, (&mut *buffer).writer()).map_err(malformed)?;
    let length = buffer.len() - body;
    if length > max_bytes {
        let text = format!("message of {length} bytes exceeds the limit of {max_bytes}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, text));
    }
    let length = u32::try_from(length).map_err(malformed)?;
    buffer[start..body].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

fn malformed<E: Into<Box<dyn std::error::Error + Send + Sync>>>(error: E) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

#[cfg(test)]
mod tests;
