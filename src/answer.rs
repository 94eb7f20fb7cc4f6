//! Frames of answers that the proxy gives without an upstream.

use bytes::BufMut;
use pgwire::messages::data;
use pgwire::messages::response;
use pgwire::messages::startup;

use crate::classify;
use crate::extended;
use crate::frame;
use crate::local;
use crate::prepared;
use crate::refusal;
use crate::transaction;

/// Object ID of the type `text`.
const TEXT_TYPE_ID: u32 = 25;
/// Type size that marks a type of variable length.
const VARIABLE_SIZE: i16 = -1;
const NO_TYPE_MODIFIER: i32 = -1;

const PARSE_COMPLETE: u8 = b'1';
const BIND_COMPLETE: u8 = b'2';
const CLOSE_COMPLETE: u8 = b'3';
const NO_DATA: u8 = b'n';
const EMPTY_QUERY: u8 = b'I';

/// A frame with an empty body.
fn without_body(tag: u8) -> frame::Frame {
    frame::Frame {
        tag,
        body: bytes::Bytes::new(),
    }
}

/// The answer to a query text that contains no statement.
///
/// ```
/// assert_eq!(mangotray::answer::empty_query().tag, b'I');
/// ```
#[must_use]
pub fn empty_query() -> frame::Frame {
    without_body(EMPTY_QUERY)
}

/// The frame that ends an answer and invites the next request, with the transaction state.
///
/// ```
/// use mangotray::{answer, transaction};
/// assert_eq!(answer::ready_for_query(transaction::State::Open).body[..], b"T"[..]);
/// ```
#[must_use]
pub fn ready_for_query(state: transaction::State) -> frame::Frame {
    let status = match state {
        transaction::State::Idle => response::TransactionStatus::Idle,
        transaction::State::Open => response::TransactionStatus::Transaction,
        transaction::State::Failed => response::TransactionStatus::Error,
    };
    frame::Frame::encode(&response::ReadyForQuery::new(status))
}

/// The frame that reports the value of a setting.
///
/// ```
/// assert_eq!(mangotray::answer::parameter_status("TimeZone", "UTC").tag, b'S');
/// ```
#[must_use]
pub fn parameter_status(name: &str, value: &str) -> frame::Frame {
    frame::Frame::encode(&startup::ParameterStatus::new(
        name.to_owned(),
        value.to_owned(),
    ))
}

/// The frame that ends the answer to one statement.
fn command_complete(tag: &str) -> frame::Frame {
    frame::Frame::encode(&response::CommandComplete::new(tag.to_owned()))
}

fn text_column(name: &str) -> frame::Frame {
    let field = data::FieldDescription::new(
        name.to_owned(),
        0,
        0,
        TEXT_TYPE_ID,
        VARIABLE_SIZE,
        NO_TYPE_MODIFIER,
        0,
    );
    frame::Frame::encode(&data::RowDescription::new(vec![field]))
}

fn data_row(value: &str) -> frame::Frame {
    let length = i32::try_from(value.len()).expect("settings are short");
    let mut body = bytes::BytesMut::new();
    body.put_i32(length);
    body.put_slice(value.as_bytes());
    frame::Frame::encode(&data::DataRow::new(body, 1))
}

fn statement_result(answer: &local::Answer) -> Vec<frame::Frame> {
    match answer {
        local::Answer::Done(tag) => vec![command_complete(tag)],
        local::Answer::Row { value, .. } => vec![data_row(value), command_complete("SHOW")],
    }
}

/// The answer to one statement of the simple protocol.
///
/// ```
/// use mangotray::{answer, local};
/// let frames = answer::simple(&local::Answer::Done("SET"));
/// assert_eq!(frames.len(), 1);
/// ```
#[must_use]
pub fn simple(answer: &local::Answer) -> Vec<frame::Frame> {
    match answer {
        local::Answer::Done(_) => statement_result(answer),
        local::Answer::Row { name, .. } => {
            let mut frames = vec![text_column(name)];
            frames.extend(statement_result(answer));
            frames
        }
    }
}

/// The answer to a batch of the extended protocol, and the effects of its messages on the
/// session's prepared statements. `run` is called for each executed statement; an error ends the
/// batch.
///
/// ```
/// use mangotray::{answer, extended, local};
/// let batch = [extended::Message::Sync];
/// let (frames, effects) = answer::extended(&batch, &vec![None], |_| Ok(local::Answer::Done("SET")));
/// assert!(frames.is_empty() && effects.is_empty());
/// ```
pub fn extended(
    messages: &[extended::Message],
    references: &prepared::References,
    mut run: impl FnMut(&prepared::Statement) -> Result<local::Answer, refusal::Error>,
) -> (Vec<frame::Frame>, Vec<prepared::Effect>) {
    let mut frames = Vec::new();
    let mut effects = Vec::new();
    for (message, reference) in messages.iter().zip(references) {
        let statement = reference.as_deref();
        match message {
            extended::Message::Parse(_) => frames.push(without_body(PARSE_COMPLETE)),
            extended::Message::Bind(_) => frames.push(without_body(BIND_COMPLETE)),
            extended::Message::Close(_) => frames.push(without_body(CLOSE_COMPLETE)),
            extended::Message::Describe(target) => {
                if matches!(target, extended::Target::Statement(_)) {
                    frames.push(frame::Frame::encode(&data::ParameterDescription::new(
                        Vec::new(),
                    )));
                }
                frames.push(row_description(statement));
            }
            extended::Message::Execute { .. } => match statement.map(&mut run) {
                Some(Ok(answer)) => frames.extend(statement_result(&answer)),
                Some(Err(error)) => {
                    frames.push(error.frame());
                    return (frames, effects);
                }
                None => {}
            },
            extended::Message::Sync => {}
        }
        effects.extend(prepared::effect(message, reference.as_ref()));
    }
    (frames, effects)
}

fn row_description(statement: Option<&prepared::Statement>) -> frame::Frame {
    match statement.map(|statement| &*statement.plan) {
        Some(classify::Plan::Local(commands)) => match commands.as_slice() {
            [local::Command::Show(name)] => text_column(name),
            _ => without_body(NO_DATA),
        },
        _ => without_body(NO_DATA),
    }
}

#[cfg(test)]
mod tests;
