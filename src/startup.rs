//! Startup of a caller's connection.

use std::collections;

use bytes::Buf;
use compact_str::CompactString;
use compact_str::format_compact;
use futures_util::SinkExt;
use pgwire::messages::startup;

use crate::answer;
use crate::cancel;
use crate::frame;
use crate::local;
use crate::reader;
use crate::refusal;
use crate::transaction;
use crate::wire;

const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_REQUEST_CODE: u32 = 80_877_104;
const MAJOR_VERSION: u16 = 3;
const NEWEST_MINOR_VERSION: u16 = 2;
const CODE_BYTES: usize = 4;
const CANCEL_REQUEST_BYTES: usize = 12;
/// Encryption requests allowed per connection. Clients usually send one of each kind.
const MAX_ENCRYPTION_REQUESTS: usize = 2;

/// Server version that is reported to callers. It matches the SQL dialect that the proxy
/// classifies.
pub const SERVER_VERSION: &str = "15.0";

/// A packet without a type byte.
#[derive(Debug, PartialEq, Eq)]
pub enum Packet {
    /// Requests TLS or GSS encryption.
    EncryptionRequest,
    /// Requests to cancel the running batch of another session.
    CancelRequest(cancel::Pid, cancel::Secret),
    /// Opens a session.
    Startup(Parameters),
}

/// Parameters with which a caller opens a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameters {
    /// User name as sent by the caller; not verified.
    pub user: CompactString,
    /// Name of the database.
    pub database: CompactString,
    /// Initial settings of the session.
    pub settings: local::Settings,
    /// Accepted protocol version and unsupported protocol options; `None` if the requested version
    /// and all options are accepted.
    pub negotiation: Option<(i32, Vec<String>)>,
}

impl Packet {
    /// Decodes a packet.
    ///
    /// ```
    /// use mangotray::{frame, startup};
    /// let body = bytes::Bytes::from_static(&[0x04, 0xd2, 0x16, 0x2f]);
    /// let packet = startup::Packet::decode(&frame::Frame { tag: 0, body });
    /// assert_eq!(packet, Ok(startup::Packet::EncryptionRequest));
    /// ```
    ///
    /// # Errors
    /// The fatal error to send to the caller when the packet is invalid.
    pub fn decode(frame: &frame::Frame) -> Result<Self, refusal::Error> {
        let mut body = frame.body.clone();
        match body.try_get_u32() {
            Ok(SSL_REQUEST_CODE | GSS_REQUEST_CODE) if body.is_empty() => {
                Ok(Self::EncryptionRequest)
            }
            Ok(CANCEL_REQUEST_CODE) if frame.body.len() == CANCEL_REQUEST_BYTES => {
                Ok(Self::CancelRequest(body.get_i32(), body.get_i32()))
            }
            Ok(code) if code >> u16::BITS == u32::from(MAJOR_VERSION) => {
                decode_startup(frame).map(Self::Startup)
            }
            Ok(code) => Err(protocol_violation(&format_compact!(
                "unsupported protocol {}.{}",
                code >> u16::BITS,
                code & u32::from(u16::MAX)
            ))),
            Err(_) => Err(protocol_violation("startup packet is too short")),
        }
    }
}

fn protocol_violation(text: &str) -> refusal::Error {
    refusal::Error::fatal(refusal::PROTOCOL_VIOLATION, text)
}

fn decode_startup(frame: &frame::Frame) -> Result<Parameters, refusal::Error> {
    // The codec library ends the list of parameters at any missing or empty text, so the
    // terminating empty name is checked here. A packet without it is truncated or forged.
    let pairs = frame.body.get(CODE_BYTES..).unwrap_or_default();
    if pairs != [0] && !pairs.ends_with(&[0, 0]) {
        return Err(protocol_violation("startup packet has no terminator"));
    }
    let startup: startup::Startup = frame
        .decode()
        .map_err(|_| protocol_violation("malformed startup packet"))?;
    let minor = startup.protocol_number_minor;
    let (extensions, parameters): (Vec<_>, Vec<_>) = startup
        .parameters
        .into_iter()
        .partition(|(name, _)| name.starts_with("_pq_."));
    let unknown_options: Vec<_> = extensions.into_iter().map(|(name, _)| name).collect();
    session_parameters(
        parameters.into_iter().collect(),
        negotiation(minor, unknown_options),
    )
}

fn negotiation(minor: u16, unknown_options: Vec<String>) -> Option<(i32, Vec<String>)> {
    let accepted = match minor {
        0 | 1 => 0,
        _ => NEWEST_MINOR_VERSION,
    };
    let version = (i32::from(MAJOR_VERSION) << u16::BITS) | i32::from(accepted);
    (accepted != minor || !unknown_options.is_empty()).then_some((version, unknown_options))
}

fn session_parameters(
    mut pairs: collections::BTreeMap<String, String>,
    negotiation: Option<(i32, Vec<String>)>,
) -> Result<Parameters, refusal::Error> {
    let user = pairs.remove("user").ok_or_else(|| {
        refusal::Error::fatal(
            refusal::INVALID_AUTHORIZATION,
            "no user name in startup packet",
        )
    })?;
    let database = pairs.remove("database").unwrap_or_else(|| user.clone());
    let options = pairs.remove("options").unwrap_or_default();
    let mut settings = local::Settings::default();
    for (name, value) in read_options(&options)?.into_iter().chain(pairs) {
        apply_parameter(&mut settings, &name, &value)?;
    }
    Ok(Parameters {
        user: user.into(),
        database: database.into(),
        settings,
        negotiation,
    })
}

fn apply_parameter(
    settings: &mut local::Settings,
    name: &str,
    value: &str,
) -> Result<(), refusal::Error> {
    if name == "replication" && matches!(value, "false" | "off" | "no" | "0") {
        return Ok(());
    }
    let name = name.to_ascii_lowercase();
    let result = settings.set(&name, Some(value));
    result.map_err(|error| match error.code {
        refusal::UNKNOWN_PARAMETER => refusal::Error::fatal(
            refusal::NOT_SUPPORTED,
            format_compact!("startup parameter \"{name}\" = \"{value}\" is not supported"),
        )
        .hint("Connections to the database are shared and keep no session state."),
        _ => refusal::Error {
            severity: refusal::Severity::Fatal,
            ..error
        },
    })
}

/// Parses options of the forms `-c name=value` and `--name=value`. A backslash escapes the next
/// character.
fn read_options(text: &str) -> Result<Vec<(String, String)>, refusal::Error> {
    let mut words = split_words(text).into_iter();
    let mut pairs = Vec::new();
    while let Some(word) = words.next() {
        let pair = match word.as_str() {
            "-c" => words.next(),
            word => word
                .strip_prefix("--")
                .or_else(|| word.strip_prefix("-c"))
                .map(str::to_owned),
        };
        let pair = pair.as_deref().and_then(|pair| pair.split_once('='));
        let (name, value) = pair.ok_or_else(|| {
            protocol_violation(&format_compact!("invalid startup option \"{word}\""))
        })?;
        pairs.push((name.replace('-', "_"), value.to_owned()));
    }
    Ok(pairs)
}

fn split_words(text: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut chars = text.chars();
    while let Some(char) = chars.next() {
        match char {
            '\\' => words.last_mut().expect("never empty").extend(chars.next()),
            char if char.is_ascii_whitespace() => words.push(String::new()),
            char => words.last_mut().expect("never empty").push(char),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

/// Reads packets until the caller opens a session; `None` after a cancel request.
///
/// # Errors
/// When the connection is closed or a packet is invalid.
pub async fn receive(
    stream: &mut wire::Stream,
    cancel_registry: &cancel::Registry,
) -> Result<Option<Parameters>, reader::Stop> {
    for _ in 0..=MAX_ENCRYPTION_REQUESTS {
        let frame = reader::packet(stream).await?;
        match Packet::decode(&frame).map_err(reader::Stop::Fatal)? {
            Packet::Startup(parameters) => return Ok(Some(parameters)),
            Packet::CancelRequest(pid, secret) => {
                let found = cancel_registry.cancel(pid, secret);
                tracing::debug!(target: "mangotray::session", pid, found, "cancel request");
                return Ok(None);
            }
            Packet::EncryptionRequest => {
                stream.write_buffer_mut().extend_from_slice(b"N");
                stream.flush().await.map_err(|_| reader::Stop::Closed)?;
            }
        }
    }
    Err(reader::Stop::Fatal(protocol_violation(
        "too many encryption requests",
    )))
}

/// The frames that complete the startup of a session.
///
/// ```
/// use mangotray::{cancel, local, startup};
/// let parameters = startup::Parameters {
///     user: "desk".into(),
///     database: "dome".into(),
///     settings: local::Settings::default(),
///     negotiation: None,
/// };
/// let handle = cancel::Registry::new().register();
/// let frames = startup::response(&parameters, &handle);
/// assert_eq!(frames.last().unwrap().tag, b'Z');
/// ```
#[must_use]
pub fn response(parameters: &Parameters, handle: &cancel::Handle) -> Vec<frame::Frame> {
    let mut frames = Vec::new();
    frames.extend(
        parameters
            .negotiation
            .clone()
            .map(|(version, unknown_options)| {
                frame::Frame::encode(&startup::NegotiateProtocolVersion::new(
                    version,
                    unknown_options,
                ))
            }),
    );
    frames.push(frame::Frame::encode(&startup::Authentication::Ok));
    let token = parameters.settings.token_text();
    let own = [
        ("server_version", SERVER_VERSION),
        ("server_encoding", "UTF8"),
        ("integer_datetimes", "on"),
        ("is_superuser", "off"),
        ("in_hot_standby", "off"),
        ("default_transaction_read_only", "off"),
        ("session_authorization", parameters.user.as_str()),
        (
            local::APPLICATION_SETTING,
            parameters.settings.application.as_str(),
        ),
        (local::TOKEN_SETTING, token.as_str()),
    ];
    let statuses = local::FIXED_SETTINGS.iter().copied().chain(own);
    frames.extend(statuses.map(|(name, value)| answer::parameter_status(name, value)));
    let secret = startup::SecretKey::I32(handle.secret());
    frames.push(frame::Frame::encode(&startup::BackendKeyData::new(
        handle.pid(),
        secret,
    )));
    frames.push(answer::ready_for_query(transaction::State::Idle));
    frames
}

#[cfg(test)]
mod tests;
