//! A message of the `PostgreSQL` wire protocol whose body is not decoded.

/// Tag byte and body of a message, without the length field.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Frame {
    /// Message type byte, such as `b'Q'`.
    pub tag: u8,
    /// Bytes after the length field.
    pub body: bytes::Bytes,
}

use bytes::BufMut;
use pgwire::messages;

const LENGTH_BYTES: usize = 4;

impl Frame {
    /// Encodes a typed protocol message.
    ///
    /// ```
    /// use mangotray::frame::Frame;
    /// use pgwire::messages::simplequery::Query;
    /// let frame = Frame::encode(&Query::new("SELECT 1".to_owned()));
    /// assert_eq!(frame.tag, b'Q');
    /// ```
    ///
    /// # Panics
    /// When the message is larger than the protocol allows; the caller of this function must limit
    /// the size.
    pub fn encode<M: messages::Message>(message: &M) -> Self {
        let mut buffer = bytes::BytesMut::new();
        message
            .encode(&mut buffer)
            .expect("message within protocol limits");
        let tag = buffer[0];
        let body = buffer.split_off(1 + LENGTH_BYTES).freeze();
        Self { tag, body }
    }

    /// Decodes the body as a typed message. The tag is not checked.
    ///
    /// # Errors
    /// When the body is not a well-formed message of that type.
    pub fn decode<M: messages::Message>(&self) -> eyre::Result<M> {
        let mut buffer = bytes::BytesMut::from(&self.body[..]);
        let length = self.body.len() + LENGTH_BYTES;
        let context = messages::DecodeContext::default();
        M::decode_body(&mut buffer, length, &context)
            .map_err(|error| eyre::eyre!("malformed {:?} message: {error}", char::from(self.tag)))
    }

    /// Appends tag, length and body in the encoding of the wire protocol.
    ///
    /// # Panics
    /// When the length does not fit into the protocol's length field.
    pub fn write(&self, buffer: &mut bytes::BytesMut) {
        let length = i32::try_from(self.body.len() + LENGTH_BYTES).expect("frame within limits");
        buffer.reserve(1 + LENGTH_BYTES + self.body.len());
        buffer.put_u8(self.tag);
        buffer.put_i32(length);
        buffer.put_slice(&self.body);
    }
}
