//! `mangotray trace`.

use std::fs;

use eyre::WrapErr;
use serde_json::Value;

use crate::cli;
use crate::console;
use crate::exit;

/// Messages about a group, or about all of them, that explain what befell its requests.
const CONTEXT: [&str; 10] = [
    "primary in doubt",
    "primary found",
    "replacing the primary",
    "candidate chosen",
    "promotion ordered",
    "promotion over",
    "store lost",
    "store regained",
    "configuration in force",
    "instance is leaving",
];

/// Fields that say nothing to a reader of one request's lines.
const DULL: [&str; 5] = ["timestamp", "level", "message", "target", "request"];

/// Seconds around a request's lines from which context is taken: longer than a statement's
/// timeout, so that what made it fail began within it.
const AROUND: f64 = 3.0;

pub(super) fn run(
    arguments: &cli::Trace,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let mut text = String::new();
    for log in &arguments.logs {
        let shown = log.display();
        text += &fs::read_to_string(log).wrap_err(format!("cannot read {shown}"))?;
    }
    let lines = path(&text, &arguments.request);
    if lines.is_empty() {
        let request = &arguments.request;
        console.error(&format!("no line of these logs names request {request:?}"))?;
        return Ok(exit::Code::GeneralError);
    }
    for line in lines {
        writeln!(console.out, "{line}")?;
    }
    Ok(exit::Code::Success)
}

/// One line of a log.
struct Line<'a> {
    node: &'a str,
    seconds: f64,
    time: String,
    message: String,
    fields: serde_json::Map<String, Value>,
}

/// The lines about a request in the order of time, with what happened to its group and to
/// the store around them, marked with a dash.
///
/// ```
/// use mangotray::command::trace;
/// let log = concat!(
///     r#"{"timestamp":"2026-01-01T00:00:01.5Z","message":"primary in doubt","group":"g"}"#, "\n",
///     r#"{"timestamp":"2026-01-01T00:00:02.0Z","message":"statement failed","request":"r7","group":"g","code":"Busy"}"#,
/// );
/// let path = trace::path(log, "r7");
/// assert!(path[0].contains("- primary in doubt"));
/// assert!(path[1].contains("statement failed") && path[1].contains("code=Busy"));
/// ```
#[must_use]
pub fn path(text: &str, request: &str) -> Vec<String> {
    let lines: Vec<_> = text.lines().filter_map(Line::parse).collect();
    let own: Vec<_> = lines
        .iter()
        .filter(|line| line.names("request", request))
        .collect();
    let groups: Vec<_> = own
        .iter()
        .filter_map(|line| line.fields.get("group"))
        .collect();
    let first = own
        .iter()
        .map(|line| line.seconds)
        .fold(f64::INFINITY, f64::min);
    let last = own.iter().map(|line| line.seconds).fold(0.0, f64::max);
    let near = first - AROUND..=last + AROUND;
    let explains = |line: &&Line| {
        let group = line.fields.get("group");
        let concerned = group.is_none_or(|group| groups.contains(&group));
        CONTEXT.contains(&line.message.as_str()) && concerned && near.contains(&line.seconds)
    };
    let context = lines.iter().filter(explains).map(|line| (line, "- "));
    let own = own.into_iter().map(|line| (line, ""));
    let mut all: Vec<_> = own.chain(context).collect();
    all.sort_by(|(one, _), (other, _)| one.seconds.total_cmp(&other.seconds));
    all.iter().map(|(line, mark)| line.show(mark)).collect()
}

impl<'a> Line<'a> {
    fn parse(line: &'a str) -> Option<Self> {
        let start = line.find('{')?;
        let value: Value = serde_json::from_str(&line[start..]).ok()?;
        let Value::Object(fields) = value else {
            return None;
        };
        let time = fields.get("timestamp")?.as_str()?.to_owned();
        Some(Self {
            node: line[..start].split_whitespace().last().unwrap_or_default(),
            seconds: seconds(&time)?,
            message: fields.get("message")?.as_str()?.to_owned(),
            time,
            fields,
        })
    }

    fn names(&self, field: &str, value: &str) -> bool {
        self.fields.get(field).and_then(Value::as_str) == Some(value)
    }

    fn show(&self, mark: &str) -> String {
        let fields = self.fields.iter();
        let told = fields.filter(|(name, _)| !DULL.contains(&name.as_str()));
        let told: Vec<_> = told
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let clock = self.time.split('T').nth(1).unwrap_or(&self.time);
        format!(
            "{clock} {} {mark}{} {}",
            self.node,
            self.message,
            told.join(" ")
        )
    }
}

// Seconds since the day's midnight; a request does not outlive a day.
fn seconds(time: &str) -> Option<f64> {
    let clock = time.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = clock.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(hours.mul_add(3600.0, minutes.mul_add(60.0, seconds)))
}
