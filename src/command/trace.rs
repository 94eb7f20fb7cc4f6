//! `mangotray trace`.

use std::fs;

use eyre::WrapErr;
use serde_json::Value;

use crate::cli;
use crate::console;
use crate::exit;

/// Log messages about one group or the whole node that explain the outcome of requests; they
/// must match the messages where they are logged.
const CONTEXT_MESSAGES: [&str; 10] = [
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

/// Fields that are not listed after a line's message.
const HIDDEN_FIELDS: [&str; 5] = ["timestamp", "level", "message", "target", "request"];

/// Seconds before and after a request's lines from which context is taken: longer than a
/// statement's timeout, so that the cause of a timeout lies within them.
const CONTEXT_SECONDS: f64 = 3.0;

pub(super) fn run(
    arguments: &cli::Trace,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let mut text = String::new();
    for log in &arguments.logs {
        let name = log.display();
        text += &fs::read_to_string(log).wrap_err(format!("cannot read {name}"))?;
    }
    let lines = timeline(&text, &arguments.request);
    if lines.is_empty() {
        let request = &arguments.request;
        console.error(&format!(
            "no line of these logs has the request {request:?}"
        ))?;
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
    seconds_of_day: f64,
    time: String,
    message: String,
    fields: serde_json::Map<String, Value>,
}

/// Returns the lines about a request in order of time, together with events of its group and of
/// the store around them, which are marked with a dash.
///
/// ```
/// use mangotray::command::trace;
/// let log = concat!(
///     r#"{"timestamp":"2026-01-01T00:00:01.5Z","message":"primary in doubt","group":"g"}"#, "\n",
///     r#"{"timestamp":"2026-01-01T00:00:02.0Z","message":"statement failed","request":"r7","group":"g","code":"Busy"}"#,
/// );
/// let timeline = trace::timeline(log, "r7");
/// assert!(timeline[0].contains("- primary in doubt"));
/// assert!(timeline[1].contains("statement failed") && timeline[1].contains("code=Busy"));
/// ```
#[must_use]
pub fn timeline(text: &str, request: &str) -> Vec<String> {
    let lines: Vec<_> = text.lines().filter_map(Line::parse).collect();
    let request_lines: Vec<_> = lines
        .iter()
        .filter(|line| line.has_field("request", request))
        .collect();
    let groups: Vec<_> = request_lines
        .iter()
        .filter_map(|line| line.fields.get("group"))
        .collect();
    let first = request_lines
        .iter()
        .map(|line| line.seconds_of_day)
        .fold(f64::INFINITY, f64::min);
    let last = request_lines
        .iter()
        .map(|line| line.seconds_of_day)
        .fold(0.0, f64::max);
    let context_range = first - CONTEXT_SECONDS..=last + CONTEXT_SECONDS;
    let is_context = |line: &&Line| {
        let group = line.fields.get("group");
        let same_group = group.is_none_or(|group| groups.contains(&group));
        CONTEXT_MESSAGES.contains(&line.message.as_str())
            && same_group
            && context_range.contains(&line.seconds_of_day)
    };
    let context = lines.iter().filter(is_context).map(|line| (line, "- "));
    let request_lines = request_lines.into_iter().map(|line| (line, ""));
    let mut entries: Vec<_> = request_lines.chain(context).collect();
    entries.sort_by(|(one, _), (other, _)| one.seconds_of_day.total_cmp(&other.seconds_of_day));
    entries
        .iter()
        .map(|(line, prefix)| line.show(prefix))
        .collect()
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
            seconds_of_day: seconds_of_day(&time)?,
            message: fields.get("message")?.as_str()?.to_owned(),
            time,
            fields,
        })
    }

    fn has_field(&self, field: &str, value: &str) -> bool {
        self.fields.get(field).and_then(Value::as_str) == Some(value)
    }

    fn show(&self, prefix: &str) -> String {
        let fields = self.fields.iter();
        let shown = fields.filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()));
        let shown: Vec<_> = shown
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        let clock = self.time.split('T').nth(1).unwrap_or(&self.time);
        format!(
            "{clock} {} {prefix}{} {}",
            self.node,
            self.message,
            shown.join(" ")
        )
    }
}

/// Seconds since midnight. The date is ignored, as a request takes far less than a day.
fn seconds_of_day(time: &str) -> Option<f64> {
    let clock = time.split('T').nth(1)?.trim_end_matches('Z');
    let mut parts = clock.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(hours.mul_add(3600.0, minutes.mul_add(60.0, seconds)))
}
