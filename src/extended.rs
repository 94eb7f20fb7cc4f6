//! Messages of the extended query protocol, as callers send them.
//!
//! They are decoded here and not by the codec library, whose decoders panic on a truncated body:
//! one malformed message must not end the process.

use std::sync;

use bytes::Buf;
use bytes::BufMut;
use compact_str::CompactString;
use compact_str::format_compact;

use crate::frame;
use crate::refusal;

/// A message, decoded as far as the proxy needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Prepares a statement.
    Parse(Parse),
    /// Creates a portal from a statement and its parameters.
    Bind(Bind),
    /// Requests the description of a statement or portal.
    Describe(Target),
    /// Closes a statement or portal.
    Close(Target),
    /// Runs a portal.
    Execute {
        /// Name of the portal.
        portal: CompactString,
        /// Maximum number of rows to return; zero for all.
        max_rows: i32,
    },
    /// Ends the batch.
    Sync,
}

/// Text and parameter types of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parse {
    /// Name for later messages; empty for the unnamed statement.
    pub name: CompactString,
    /// SQL text.
    pub query: sync::Arc<str>,
    /// Number and object IDs of the parameter types, in encoded form.
    pub parameter_types: bytes::Bytes,
}

/// Names and parameters of a portal to create.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bind {
    /// Name of the portal.
    pub portal: CompactString,
    /// Name of the statement.
    pub statement: CompactString,
    /// Parameters, and formats of parameters and results, in encoded form.
    pub parameters: bytes::Bytes,
}

/// Statement or portal to which a Describe or Close applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A prepared statement.
    Statement(CompactString),
    /// A portal.
    Portal(CompactString),
}

const STATEMENT_KIND: u8 = b'S';
const PORTAL_KIND: u8 = b'P';
const TYPE_ID_BYTES: usize = 4;

impl Message {
    /// Decodes a frame.
    ///
    /// ```
    /// use mangotray::{extended, frame};
    /// let frame = frame::Frame { tag: b'E', body: bytes::Bytes::from_static(b"\0\0\0\0\0") };
    /// let message = extended::Message::decode(&frame).unwrap();
    /// assert_eq!(message, extended::Message::Execute { portal: "".into(), max_rows: 0 });
    /// assert_eq!(message.encode(), frame);
    /// ```
    ///
    /// # Errors
    /// The fatal error to send to the caller when the frame is not a valid message.
    pub fn decode(frame: &frame::Frame) -> Result<Self, refusal::Error> {
        let mut body = frame.body.clone();
        let message = Self::read(frame.tag, &mut body).ok_or_else(|| malformed(frame))?;
        if body.has_remaining() {
            return Err(malformed(frame));
        }
        Ok(message)
    }

    fn read(tag: u8, body: &mut bytes::Bytes) -> Option<Self> {
        match tag {
            b'P' => Parse::read(body).map(Self::Parse),
            b'B' => Bind::read(body).map(Self::Bind),
            b'D' => Target::read(body).map(Self::Describe),
            b'C' => Target::read(body).map(Self::Close),
            b'E' => Some(Self::Execute {
                portal: read_text(body)?.into(),
                max_rows: body.try_get_i32().ok()?,
            }),
            b'S' => Some(Self::Sync),
            _ => None,
        }
    }

    /// Encodes the message.
    ///
    /// ```
    /// use mangotray::extended;
    /// assert_eq!(extended::Message::Sync.encode().tag, b'S');
    /// ```
    #[must_use]
    pub fn encode(&self) -> frame::Frame {
        let mut body = bytes::BytesMut::new();
        let tag = match self {
            Self::Parse(parse) => {
                put_text(&mut body, &parse.name);
                put_text(&mut body, &parse.query);
                body.put_slice(&parse.parameter_types);
                b'P'
            }
            Self::Bind(bind) => {
                put_text(&mut body, &bind.portal);
                put_text(&mut body, &bind.statement);
                body.put_slice(&bind.parameters);
                b'B'
            }
            Self::Describe(target) => {
                target.write(&mut body);
                b'D'
            }
            Self::Close(target) => {
                target.write(&mut body);
                b'C'
            }
            Self::Execute { portal, max_rows } => {
                put_text(&mut body, portal);
                body.put_i32(*max_rows);
                b'E'
            }
            Self::Sync => b'S',
        };
        frame::Frame {
            tag,
            body: body.freeze(),
        }
    }
}

impl Parse {
    fn read(body: &mut bytes::Bytes) -> Option<Self> {
        let name = read_text(body)?.into();
        let query = read_text(body)?.into();
        let count = usize::from(body.clone().try_get_u16().ok()?);
        let parameter_types = split_front(body, size_of::<u16>() + count * TYPE_ID_BYTES)?;
        Some(Self {
            name,
            query,
            parameter_types,
        })
    }
}

impl Bind {
    fn read(body: &mut bytes::Bytes) -> Option<Self> {
        let portal = read_text(body)?.into();
        let statement = read_text(body)?.into();
        let parameters = body.split_off(0);
        Some(Self {
            portal,
            statement,
            parameters,
        })
    }
}

impl Target {
    fn read(body: &mut bytes::Bytes) -> Option<Self> {
        match body.try_get_u8().ok()? {
            STATEMENT_KIND => Some(Self::Statement(read_text(body)?.into())),
            PORTAL_KIND => Some(Self::Portal(read_text(body)?.into())),
            _ => None,
        }
    }

    fn write(&self, body: &mut bytes::BytesMut) {
        let (kind, name) = match self {
            Self::Statement(name) => (STATEMENT_KIND, name),
            Self::Portal(name) => (PORTAL_KIND, name),
        };
        body.put_u8(kind);
        put_text(body, name);
    }
}

/// SQL text of a Query frame.
///
/// ```
/// use mangotray::{extended, frame};
/// let frame = frame::Frame { tag: b'Q', body: bytes::Bytes::from_static(b"SELECT 1\0") };
/// assert_eq!(extended::query(&frame).unwrap(), "SELECT 1");
/// ```
///
/// # Errors
/// The fatal error to send to the caller when the body is not exactly one text.
pub fn query(frame: &frame::Frame) -> Result<String, refusal::Error> {
    let mut body = frame.body.clone();
    read_text(&mut body)
        .filter(|_| body.is_empty())
        .ok_or_else(|| malformed(frame))
}

fn malformed(frame: &frame::Frame) -> refusal::Error {
    refusal::Error::fatal(
        refusal::PROTOCOL_VIOLATION,
        format_compact!(
            "malformed message of type {:?} with {} bytes",
            char::from(frame.tag),
            frame.body.len()
        ),
    )
}

/// Reads a text up to its terminating zero byte; `None` if it is not valid UTF-8.
fn read_text(body: &mut bytes::Bytes) -> Option<String> {
    let length = body.iter().position(|byte| *byte == 0)?;
    let text = split_front(body, length + 1)?;
    String::from_utf8(text[..length].to_vec()).ok()
}

fn split_front(body: &mut bytes::Bytes, length: usize) -> Option<bytes::Bytes> {
    (length <= body.len()).then(|| body.split_to(length))
}

fn put_text(body: &mut bytes::BytesMut, text: &str) {
    body.put_slice(text.as_bytes());
    body.put_u8(0);
}

#[cfg(test)]
mod tests;
