//! Statements on settings that the proxy answers itself, and the settings of a session.

use std::time;

use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use sqlparser::tokenizer;

use crate::refusal;
use crate::sql;
use crate::stamp;

/// Setting that holds the caller's token.
pub const TOKEN_SETTING: &str = "mangotray.token";
/// Setting that holds the deadline of each request.
pub const DEADLINE_SETTING: &str = "mangotray.deadline";
/// Read-only setting with a summary of the last request's outcome.
pub const LAST_OUTCOME_SETTING: &str = "mangotray.last_outcome";
/// Setting that holds the caller's label.
pub const APPLICATION_SETTING: &str = "application_name";

/// Length of the label in characters; the rest is cut off.
const APPLICATION_CHARS_LIMIT: usize = 64;

/// Settings with the same fixed value on every upstream connection, as reported to each caller.
///
/// A caller may set them to this value only: on pooled connections another value would leak into
/// other sessions.
pub const FIXED_SETTINGS: &[(&str, &str)] = &[
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("IntervalStyle", "postgres"),
    ("standard_conforming_strings", "on"),
    ("TimeZone", "UTC"),
];

/// A statement that the proxy answers without an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Changes a setting; `None` restores its default.
    Set(CompactString, Option<CompactString>),
    /// Shows a setting.
    Show(CompactString),
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// No rows; the command tag.
    Done(&'static str),
    /// One row with one text column.
    Row {
        /// Name of the column.
        name: CompactString,
        /// Value of the column.
        value: CompactString,
    },
}

impl Command {
    /// Recognizes a statement that the proxy answers itself; `None` for any other.
    ///
    /// ```
    /// use mangotray::{local, sql};
    /// let statements = sql::split("SET mangotray.token TO '3/77'").unwrap();
    /// let command = local::Command::from_statement(&statements[0]);
    /// assert_eq!(command, Some(local::Command::Set("mangotray.token".into(), Some("3/77".into()))));
    /// assert_eq!(local::Command::from_statement(&sql::split("SELECT 1").unwrap()[0]), None);
    /// ```
    #[must_use]
    pub fn from_statement(statement: &sql::Statement) -> Option<Self> {
        match statement.word(0).as_str() {
            "set" => set_command(statement),
            "reset" => {
                let (name, next) = setting_name(statement, 1)?;
                (is_kept_by_proxy(&name) && next == statement.tokens().len())
                    .then_some(Self::Set(name, None))
            }
            "show" => {
                let (name, next) = setting_name(statement, 1)?;
                (is_kept_by_proxy(&name) && next == statement.tokens().len())
                    .then_some(Self::Show(name))
            }
            _ => None,
        }
    }
}

/// Whether the proxy stores this setting for the session.
fn is_kept_by_proxy(name: &str) -> bool {
    name.starts_with("mangotray.") || name == APPLICATION_SETTING
}

/// Lower-case name of the setting that starts at `index`, and the index after it.
fn setting_name(statement: &sql::Statement, index: usize) -> Option<(CompactString, usize)> {
    let first = statement.name(index)?;
    if statement.tokens().get(index + 1) != Some(&tokenizer::Token::Period) {
        return Some((first.to_ascii_lowercase().into(), index + 1));
    }
    let second = statement.name(index + 2)?;
    let name = format_compact!("{first}.{second}").to_ascii_lowercase();
    Some((name, index + 3))
}

fn set_command(statement: &sql::Statement) -> Option<Command> {
    let start = if statement.word(1) == "session" { 2 } else { 1 };
    let (name, value_at) = match (statement.word(start).as_str(), statement.word(start + 1)) {
        ("names", _) => ("client_encoding".into(), start + 1),
        ("time", next) if next == "zone" => ("timezone".into(), start + 2),
        _ => {
            let (name, next) = setting_name(statement, start)?;
            is_assignment(statement, next).then_some((name, next + 1))?
        }
    };
    let default = statement.word(value_at) == "default";
    let value = value_from(statement, value_at).map(|value| (!default).then_some(value))?;
    (is_kept_by_proxy(&name) || is_fixed_value(&name, value.as_deref()))
        .then_some(Command::Set(name, value))
}

fn is_assignment(statement: &sql::Statement, index: usize) -> bool {
    statement.word(index) == "to" || statement.tokens().get(index) == Some(&tokenizer::Token::Eq)
}

/// The tokens from `index` on as one value; `DEFAULT` is not treated specially.
fn value_from(statement: &sql::Statement, index: usize) -> Option<CompactString> {
    let rest = statement.tokens().get(index..)?;
    let parts = rest
        .iter()
        .filter(|token| **token != tokenizer::Token::Comma)
        .map(|token| match token {
            tokenizer::Token::SingleQuotedString(text) | tokenizer::Token::Number(text, _) => {
                Some(text.clone())
            }
            tokenizer::Token::Word(word) => Some(word.value.clone()),
            _ => None,
        })
        .collect::<Option<Vec<_>>>()?;
    (!parts.is_empty()).then(|| parts.join(", ").into())
}

/// Whether a setting has this value on every upstream connection; `None` is the default.
///
/// ```
/// use mangotray::local;
/// assert!(local::is_fixed_value("client_encoding", Some("utf-8")));
/// assert!(!local::is_fixed_value("timezone", Some("Asia/Kathmandu")));
/// ```
#[must_use]
pub fn is_fixed_value(name: &str, value: Option<&str>) -> bool {
    let Some(value) = value else {
        return FIXED_SETTINGS
            .iter()
            .any(|(fixed_name, _)| fixed_name.eq_ignore_ascii_case(name));
    };
    if name.eq_ignore_ascii_case("extra_float_digits") {
        // All positive values select the shortest exact output, which is the default.
        return matches!(value, "1" | "2" | "3");
    }
    FIXED_SETTINGS
        .iter()
        .filter(|(fixed_name, _)| fixed_name.eq_ignore_ascii_case(name))
        .any(|(fixed_name, fixed)| is_same_value(fixed_name, value, fixed))
}

fn is_same_value(name: &str, value: &str, fixed: &str) -> bool {
    let normalize = |text: &str| {
        text.chars()
            .filter(char::is_ascii_alphanumeric)
            .map(|char| char.to_ascii_lowercase())
            .collect::<String>()
    };
    let value = normalize(value);
    match name {
        "client_encoding" => value == "utf8" || value == "unicode",
        "DateStyle" => value == "iso" || value == normalize(fixed),
        "TimeZone" => value == "utc" || value == "etcutc",
        "standard_conforming_strings" => matches!(value.as_str(), "on" | "true" | "1" | "yes"),
        _ => value == normalize(fixed),
    }
}

/// The settings of one session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Stamp of the latest write that the session has observed or that the caller has set.
    pub token: Option<stamp::Stamp>,
    /// Whether the caller has set the token itself, so that it covers writes through other proxies.
    pub token_from_caller: bool,
    /// Deadline of each request, if the caller set one.
    pub deadline: Option<time::Duration>,
    /// The caller's label.
    pub application: CompactString,
    /// Summary of the last request's outcome.
    pub outcome: CompactString,
}

impl Settings {
    /// Runs a command.
    ///
    /// ```
    /// use mangotray::local;
    /// let mut settings = local::Settings::default();
    /// let set = local::Command::Set(local::DEADLINE_SETTING.into(), Some("500ms".into()));
    /// assert_eq!(settings.run(&set), Ok(local::Answer::Done("SET")));
    /// assert_eq!(settings.deadline, Some(std::time::Duration::from_millis(500)));
    /// ```
    ///
    /// # Errors
    /// If the setting is unknown or read-only, or the value is malformed.
    pub fn run(&mut self, command: &Command) -> Result<Answer, refusal::Error> {
        match command {
            Command::Set(name, value) => {
                self.set(name, value.as_deref())?;
                Ok(Answer::Done("SET"))
            }
            Command::Show(name) => Ok(Answer::Row {
                name: name.clone(),
                value: self.show(name)?,
            }),
        }
    }

    /// Changes one setting; `None` restores its default.
    ///
    /// ```
    /// let mut settings = mangotray::local::Settings::default();
    /// assert!(settings.set("mangotray.token", Some("nonsense")).is_err());
    /// ```
    ///
    /// # Errors
    /// As [`Settings::run`].
    pub fn set(&mut self, name: &str, value: Option<&str>) -> Result<(), refusal::Error> {
        let value = value.filter(|text| !text.is_empty());
        match name {
            TOKEN_SETTING => {
                self.token = value.map(parse_token).transpose()?;
                self.token_from_caller = self.token.is_some();
            }
            DEADLINE_SETTING => self.deadline = value.map(parse_deadline).transpose()?,
            APPLICATION_SETTING => {
                let label = value.unwrap_or_default();
                self.application = label.chars().take(APPLICATION_CHARS_LIMIT).collect();
            }
            LAST_OUTCOME_SETTING => {
                return Err(refusal::Error::new(
                    refusal::UNCHANGEABLE_PARAMETER,
                    format_compact!("parameter \"{name}\" cannot be changed"),
                ));
            }
            _ if is_fixed_value(name, value) => {}
            _ => return Err(unknown_setting(name)),
        }
        Ok(())
    }

    fn show(&self, name: &str) -> Result<CompactString, refusal::Error> {
        match name {
            TOKEN_SETTING => Ok(self.token_text()),
            DEADLINE_SETTING => Ok(self
                .deadline
                .map(|deadline| format_compact!("{}ms", deadline.as_millis()))
                .unwrap_or_default()),
            LAST_OUTCOME_SETTING => Ok(self.outcome.clone()),
            APPLICATION_SETTING => Ok(self.application.clone()),
            _ => Err(unknown_setting(name)),
        }
    }

    /// The token, if the caller has set it. A read that includes it is fresh enough without a
    /// further check. A token from the session's own writes alone is not sufficient: the caller
    /// may have written through another proxy since, which this session does not know of.
    ///
    /// ```
    /// use mangotray::{local, stamp};
    /// let mut settings = local::Settings::default();
    /// settings.raise_token(stamp::Stamp::new(3, 9));
    /// assert_eq!(settings.caller_token(), None);
    /// settings.set(local::TOKEN_SETTING, Some("3/9")).unwrap();
    /// assert_eq!(settings.caller_token(), Some(stamp::Stamp::new(3, 9)));
    /// ```
    #[must_use]
    pub fn caller_token(&self) -> Option<stamp::Stamp> {
        self.token.filter(|_| self.token_from_caller)
    }

    /// The token as reported to the caller; empty if there is none.
    ///
    /// ```
    /// assert_eq!(mangotray::local::Settings::default().token_text(), "");
    /// ```
    #[must_use]
    pub fn token_text(&self) -> CompactString {
        self.token
            .map(|token| token.to_compact_string())
            .unwrap_or_default()
    }

    /// Raises the token to the stamp of an answer. A lower stamp leaves it unchanged.
    ///
    /// ```
    /// use mangotray::{local, stamp};
    /// let mut settings = local::Settings::default();
    /// settings.raise_token(stamp::Stamp::new(3, 9));
    /// settings.raise_token(stamp::Stamp::new(3, 2));
    /// assert_eq!(settings.token_text(), "3/9");
    /// ```
    pub fn raise_token(&mut self, stamp: stamp::Stamp) {
        self.token = self.token.max(Some(stamp));
    }
}

fn parse_token(text: &str) -> Result<stamp::Stamp, refusal::Error> {
    text.parse()
        .map_err(|_| invalid_value(TOKEN_SETTING, text).hint("A token has the form TERM/POSITION."))
}

fn parse_deadline(text: &str) -> Result<time::Duration, refusal::Error> {
    let duration = match text.parse::<u64>() {
        Ok(millis) => Some(time::Duration::from_millis(millis)),
        Err(_) => humantime::parse_duration(text).ok(),
    };
    duration
        .filter(|duration| !duration.is_zero() && *duration <= DEADLINE_LIMIT)
        .ok_or_else(|| {
            invalid_value(DEADLINE_SETTING, text).hint("Use a duration such as 500ms, at most 1h.")
        })
}

/// Longest deadline that a caller may set.
pub const DEADLINE_LIMIT: time::Duration = time::Duration::from_hours(1);

fn invalid_value(name: &str, value: &str) -> refusal::Error {
    refusal::Error::new(
        refusal::INVALID_PARAMETER,
        format_compact!("invalid value for parameter \"{name}\": \"{value}\""),
    )
}

fn unknown_setting(name: &str) -> refusal::Error {
    refusal::Error::new(
        refusal::UNKNOWN_PARAMETER,
        format_compact!("unrecognized configuration parameter \"{name}\""),
    )
}

#[cfg(test)]
mod tests;
