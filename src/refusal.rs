//! Encodes refusals as error messages of the wire protocol.

use std::time;

use compact_str::CompactString;
use compact_str::format_compact;
use pgwire::messages::response;

use crate::frame;
use crate::outcome;
use crate::reason;

/// SQLSTATE: a code of five characters, defined by the SQL standard and `PostgreSQL`.
pub type Code = &'static str;

/// `protocol_violation`.
pub const PROTOCOL_VIOLATION: Code = "08P01";
/// `transaction_resolution_unknown`.
pub const RESOLUTION_UNKNOWN: Code = "08007";
/// `feature_not_supported`.
pub const NOT_SUPPORTED: Code = "0A000";
/// `invalid_parameter_value`.
pub const INVALID_PARAMETER: Code = "22023";
/// `in_failed_sql_transaction`.
pub const FAILED_TRANSACTION: Code = "25P02";
/// `idle_in_transaction_session_timeout`.
pub const IDLE_TRANSACTION_TIMEOUT: Code = "25P03";
/// `invalid_authorization_specification`.
pub const INVALID_AUTHORIZATION: Code = "28000";
/// `syntax_error`.
pub const SYNTAX_ERROR: Code = "42601";
/// `invalid_catalog_name`.
pub const UNKNOWN_DATABASE: Code = "3D000";
/// `undefined_object`, for a setting that does not exist.
pub const UNKNOWN_PARAMETER: Code = "42704";
/// `cant_change_runtime_param`.
pub const UNCHANGEABLE_PARAMETER: Code = "55P02";
/// `configuration_limit_exceeded`.
pub const TOO_MANY_STATEMENTS: Code = "53400";
/// `serialization_failure`.
pub const SERIALIZATION_FAILURE: Code = "40001";
/// `too_many_connections`.
pub const TOO_MANY_CONNECTIONS: Code = "53300";
/// `program_limit_exceeded`.
pub const LIMIT_EXCEEDED: Code = "54000";
/// `query_canceled`.
pub const QUERY_CANCELED: Code = "57014";
/// `admin_shutdown`.
pub const ADMIN_SHUTDOWN: Code = "57P01";
/// `cannot_connect_now`.
pub const CANNOT_CONNECT: Code = "57P03";

/// Scope of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Ends the request.
    Error,
    /// Ends the session.
    Fatal,
}

/// An error that is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Scope of the error.
    pub severity: Severity,
    /// SQLSTATE.
    pub code: Code,
    /// Message for users, in one line.
    pub message: CompactString,
    /// Further information for users and programs.
    pub detail: Option<CompactString>,
    /// Advice to the user.
    pub hint: Option<CompactString>,
}

impl Error {
    /// Builds an error that ends the request.
    ///
    /// ```
    /// use mangotray::refusal;
    /// let error = refusal::Error::new(refusal::NOT_SUPPORTED, "LISTEN is not supported");
    /// assert_eq!(error.frame().tag, b'E');
    /// ```
    #[must_use]
    pub fn new(code: Code, message: impl Into<CompactString>) -> Self {
        Self {
            severity: Severity::Error,
            code,
            message: message.into(),
            detail: None,
            hint: None,
        }
    }

    /// Builds an error that ends the session.
    ///
    /// ```
    /// use mangotray::refusal;
    /// let error = refusal::Error::fatal(refusal::ADMIN_SHUTDOWN, "shutting down");
    /// assert_eq!(error.severity, refusal::Severity::Fatal);
    /// ```
    #[must_use]
    pub fn fatal(code: Code, message: impl Into<CompactString>) -> Self {
        Self {
            severity: Severity::Fatal,
            ..Self::new(code, message)
        }
    }

    /// Adds a hint.
    ///
    /// ```
    /// use mangotray::refusal;
    /// let error = refusal::Error::new(refusal::TOO_MANY_CONNECTIONS, "full").hint("try again");
    /// assert_eq!(error.hint.as_deref(), Some("try again"));
    /// ```
    #[must_use]
    pub fn hint(mut self, hint: impl Into<CompactString>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// Encodes the error as an `ErrorResponse`.
    ///
    /// ```
    /// use mangotray::refusal;
    /// let frame = refusal::Error::new(refusal::QUERY_CANCELED, "canceled").frame();
    /// assert!(frame.body.windows(5).any(|code| code == b"57014"));
    /// ```
    #[must_use]
    pub fn frame(&self) -> frame::Frame {
        let severity = match self.severity {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        };
        let mut fields = vec![
            (b'S', severity.to_owned()),
            (b'V', severity.to_owned()),
            (b'C', self.code.to_owned()),
            (b'M', field_text(&self.message)),
        ];
        fields.extend(self.detail.iter().map(|detail| (b'D', field_text(detail))));
        fields.extend(self.hint.iter().map(|hint| (b'H', field_text(hint))));
        frame::Frame::encode(&response::ErrorResponse::new(fields))
    }
}

/// Length limit of a field in characters; a whole error message must stay below 30 kB.
const FIELD_CHARS_LIMIT: usize = 2_000;

/// Removes NUL characters and cuts a field at its limit. A NUL would end the field early, and its
/// rest would be read as further fields.
fn field_text(text: &str) -> String {
    text.chars()
        .filter(|char| *char != '\0')
        .take(FIELD_CHARS_LIMIT)
        .collect()
}

/// SQLSTATE of a request that did not run.
const fn not_run_code(reason: reason::Reason) -> Code {
    match reason {
        reason::Reason::NoPrimary
        | reason::Reason::NoInstance
        | reason::Reason::NoMajority
        | reason::Reason::NoServer => CANNOT_CONNECT,
        reason::Reason::Draining => ADMIN_SHUTDOWN,
        reason::Reason::Overload => TOO_MANY_CONNECTIONS,
        reason::Reason::Deadline => QUERY_CANCELED,
        reason::Reason::ConnectionLost | reason::Reason::Unconfirmed => SERIALIZATION_FAILURE,
        reason::Reason::Unsupported => NOT_SUPPORTED,
        reason::Reason::TooLarge => LIMIT_EXCEEDED,
    }
}

/// Stable name of a reason in logs and error details.
///
/// ```
/// use mangotray::{reason, refusal};
/// assert_eq!(refusal::name(reason::Reason::NoPrimary), "no-primary");
/// ```
#[must_use]
pub const fn name(reason: reason::Reason) -> &'static str {
    match reason {
        reason::Reason::NoPrimary => "no-primary",
        reason::Reason::NoInstance => "no-instance",
        reason::Reason::NoMajority => "no-majority",
        reason::Reason::Deadline => "deadline",
        reason::Reason::Overload => "overload",
        reason::Reason::Draining => "draining",
        reason::Reason::ConnectionLost => "connection-lost",
        reason::Reason::Unconfirmed => "unconfirmed",
        reason::Reason::Unsupported => "unsupported",
        reason::Reason::TooLarge => "too-large",
        reason::Reason::NoServer => "no-server",
    }
}

/// One-line summary of an outcome, as returned by `SHOW mangotray.last_outcome`.
///
/// ```
/// use mangotray::{outcome, reason, refusal};
/// let outcome = outcome::Outcome::Unknown {
///     reason: reason::Reason::Unconfirmed,
///     detail: "no replica in time".into(),
/// };
/// assert_eq!(refusal::summary(&outcome), "outcome=unknown reason=unconfirmed");
/// ```
#[must_use]
pub fn summary(outcome: &outcome::Outcome) -> CompactString {
    match outcome {
        outcome::Outcome::NotRun { reason, .. } => {
            format_compact!("outcome=not-run reason={}", name(*reason))
        }
        outcome::Outcome::Unknown { reason, .. } => {
            format_compact!("outcome=unknown reason={}", name(*reason))
        }
    }
}

/// Builds the error that reports an outcome to the caller.
///
/// ```
/// use mangotray::{outcome, reason, refusal};
/// let outcome = outcome::Outcome::NotRun {
///     reason: reason::Reason::Overload,
///     detail: "queue full".into(),
///     retry: Some(std::time::Duration::from_millis(250)),
/// };
/// let error = refusal::error(&outcome);
/// assert_eq!(error.code, "53300");
/// assert!(error.message.ends_with("(not run)"));
/// ```
#[must_use]
pub fn error(outcome: &outcome::Outcome) -> Error {
    let (code, message, hint) = match outcome {
        outcome::Outcome::NotRun {
            reason,
            detail,
            retry,
        } => (
            not_run_code(*reason),
            format_compact!("{} (not run)", message_text(*reason, detail)),
            retry_hint(*retry),
        ),
        outcome::Outcome::Unknown { reason, detail } => (
            RESOLUTION_UNKNOWN,
            format_compact!("{} (outcome unknown)", message_text(*reason, detail)),
            "The request may have run. Read back what it was to change before repeating it.".into(),
        ),
    };
    Error {
        severity: Severity::Error,
        code,
        message,
        detail: Some(summary(outcome)),
        hint: Some(hint),
    }
}

fn message_text(reason: reason::Reason, detail: &str) -> CompactString {
    if detail.is_empty() {
        return name(reason).replace('-', " ").into();
    }
    detail.into()
}

fn retry_hint(retry: Option<time::Duration>) -> CompactString {
    match retry {
        Some(wait) => format_compact!("Try again in {} ms.", wait.as_millis()),
        None => "It is safe to try again.".into(),
    }
}

#[cfg(test)]
mod tests;
