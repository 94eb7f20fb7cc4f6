//! Assembly of an instance's frames into a whole answer.

use compact_str::CompactString;
use compact_str::format_compact;
use pgwire::messages::copy;
use pgwire::messages::response;
use pgwire::messages::startup;

use crate::frame;
use crate::reply;
use crate::stamp;
use crate::transaction;
use crate::upstream;

/// Start of the error message for an answer that exceeds the size limit.
pub const TOO_LARGE_MESSAGE: &str = "answer too large";

/// Bytes of a frame's tag and length field.
pub(crate) const FRAME_HEADER_BYTES: usize = 5;
pub(crate) const STAMP_PARAMETER: &str = "group_stamp";
/// Prefix of the parameters that are reported to the proxy only and not relayed to the caller.
const PRIVATE_PARAMETER_PREFIX: &str = "group_";
const SQLSTATE_FIELD: u8 = b'C';
const MESSAGE_FIELD: u8 = b'M';

/// An answer that is not complete yet.
pub(crate) struct Assembly {
    frames: Vec<frame::Frame>,
    bytes: usize,
    max_bytes: usize,
    stamp: Option<stamp::Stamp>,
    error: Option<CompactString>,
}

impl Assembly {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            frames: Vec::new(),
            bytes: 0,
            max_bytes,
            stamp: None,
            error: None,
        }
    }

    /// Adds the next frame; returns the reply if the frame was the last one.
    pub(crate) fn add(
        &mut self,
        frame: frame::Frame,
    ) -> Result<Option<reply::Reply>, upstream::Failure> {
        self.bytes += FRAME_HEADER_BYTES + frame.body.len();
        if self.bytes > self.max_bytes {
            return Err(self.too_large());
        }
        self.process(frame)
            .map_err(|error| upstream::Failure::Unknown(format_compact!("{error}")))
    }

    fn too_large(&self) -> upstream::Failure {
        let max_bytes = self.max_bytes;
        upstream::Failure::Unknown(format_compact!(
            "{TOO_LARGE_MESSAGE}: more than {max_bytes} bytes"
        ))
    }

    fn process(&mut self, frame: frame::Frame) -> eyre::Result<Option<reply::Reply>> {
        match frame.tag {
            response::MESSAGE_TYPE_BYTE_READY_FOR_QUERY => return self.finish(&frame).map(Some),
            startup::MESSAGE_TYPE_BYTE_PARAMETER_STATUS => {
                let status = frame.decode::<startup::ParameterStatus>()?;
                if status.name == STAMP_PARAMETER {
                    self.stamp = Some(status.value.parse()?);
                }
                if status.name.starts_with(PRIVATE_PARAMETER_PREFIX) {
                    return Ok(None);
                }
            }
            response::MESSAGE_TYPE_BYTE_ERROR_RESPONSE if self.error.is_none() => {
                let error = frame.decode::<response::ErrorResponse>()?;
                self.error = field(&error, SQLSTATE_FIELD).map(CompactString::from);
            }
            copy::MESSAGE_TYPE_BYTE_COPY_IN_RESPONSE
            | copy::MESSAGE_TYPE_BYTE_COPY_BOTH_RESPONSE => {
                eyre::bail!("COPY from the caller is not supported");
            }
            _ => {}
        }
        self.frames.push(frame);
        Ok(None)
    }

    fn finish(&mut self, frame: &frame::Frame) -> eyre::Result<reply::Reply> {
        let ready = frame.decode::<response::ReadyForQuery>()?;
        Ok(reply::Reply {
            frames: std::mem::take(&mut self.frames),
            transaction: transaction_state(ready.status),
            stamp: self.stamp,
            error: self.error.take(),
        })
    }
}

fn transaction_state(status: response::TransactionStatus) -> transaction::State {
    match status {
        response::TransactionStatus::Idle => transaction::State::Idle,
        response::TransactionStatus::Transaction => transaction::State::Open,
        response::TransactionStatus::Error => transaction::State::Failed,
    }
}

fn field(error: &response::ErrorResponse, kind: u8) -> Option<&str> {
    error
        .fields
        .iter()
        .find_map(|(tag, text)| (*tag == kind).then_some(text.as_str()))
}

/// SQLSTATE and message of an error, for logs.
pub(crate) fn describe(error: &response::ErrorResponse) -> String {
    let code = field(error, SQLSTATE_FIELD).unwrap_or("no SQLSTATE");
    let message = field(error, MESSAGE_FIELD).unwrap_or_default();
    format!("{code} {message}")
}
