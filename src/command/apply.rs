//! `mangotray apply`.

use std::time;

use compact_str::CompactString;

use crate::apply;
use crate::cli;
use crate::command;
use crate::console;
use crate::declaration;
use crate::exit;
use crate::id;
use crate::store;

/// Maximum number of repeats of an apply whose outcome is unknown, always with the same id: the
/// store's answer may be lost after the file came into force, and a repeat with another id would
/// take that file for another operator's.
const MAX_REPEATS: usize = 3;

/// Delay before each repeat.
const REPEAT_DELAY: time::Duration = time::Duration::from_millis(500);

const UNKNOWN_OPERATOR: &str = "unknown";

/// Verdict on an apply, and whether the outcome of the first attempt was unknown.
struct Outcome {
    verdict: Result<apply::Verdict, store::Failure>,
    answer_lost: bool,
}

pub(super) fn run(
    arguments: &cli::Apply,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let source = match command::read_source(&arguments.file, console)? {
        Ok(source) => source,
        Err(code) => return Ok(code),
    };
    let (platform, timeout) = (arguments.platform, arguments.timeout);
    let file = match command::with_store(platform, timeout, apply::current) {
        Ok(file) => file,
        Err(failure) => return command::report_unreachable(platform, &failure, console),
    };
    let old = command::catalog_in_force(file.as_ref(), console)?;
    let base = file.map_or(0, |file| file.revision);
    let request = request(arguments, &source.text, base);
    let outcome = command::with_store(platform, timeout, async |store| put(store, &request).await);
    if let Ok(apply::Verdict::Applied(_)) = outcome.verdict {
        for change in declaration::diff(&old, &source.catalog) {
            writeln!(console.out, "{change}")?;
        }
    }
    report(arguments, &outcome, console)
}

/// Builds the request. Its base is the revision just read unless the operator gives one, so
/// that a file which another operator applies in the meantime is a conflict and is not overwritten.
fn request(arguments: &cli::Apply, text: &str, base: id::Revision) -> apply::Request {
    let by = arguments.by.clone().unwrap_or_else(current_user);
    apply::Request {
        id: apply::new_id(),
        by,
        text: text.into(),
        base: Some(arguments.base.unwrap_or(base)),
    }
}

fn current_user() -> CompactString {
    let name = std::env::var("USER").unwrap_or_default();
    if name.is_empty() {
        UNKNOWN_OPERATOR.into()
    } else {
        name.into()
    }
}

async fn put(store: &dyn store::Store, request: &apply::Request) -> Outcome {
    let mut verdict = apply::put(store, request).await;
    let answer_lost = matches!(verdict, Err(store::Failure::Unknown(_)));
    for _ in 0..MAX_REPEATS {
        if !answer_lost || verdict.is_ok() {
            break;
        }
        async_io::Timer::after(REPEAT_DELAY).await;
        verdict = apply::put(store, request).await;
    }
    Outcome {
        verdict,
        answer_lost,
    }
}

fn report(
    arguments: &cli::Apply,
    outcome: &Outcome,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let file = arguments.file.display();
    match &outcome.verdict {
        Ok(apply::Verdict::Applied(revision)) => {
            writeln!(console.out, "{file} is in force as revision {revision}")?;
            Ok(exit::Code::Success)
        }
        Ok(apply::Verdict::Unchanged(revision)) => {
            writeln!(
                console.out,
                "{file} was in force already, as revision {revision}"
            )?;
            Ok(exit::Code::Success)
        }
        Ok(apply::Verdict::Lost(winner) | apply::Verdict::Superseded(winner)) => {
            report_conflict(outcome, winner, console)
        }
        Ok(apply::Verdict::TooLarge { length }) => {
            let limit = apply::MAX_VALUE_BYTES;
            console.error(&format!(
                "{file} takes {length} bytes when stored; the platform's limit is {limit} bytes"
            ))?;
            Ok(exit::Code::InvalidFile)
        }
        Err(failure) if outcome.answer_lost => report_unknown(arguments, failure, console),
        Err(failure) => command::report_unreachable(arguments.platform, failure, console),
    }
}

fn report_conflict(
    outcome: &Outcome,
    winner: &apply::Winner,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let apply::Winner { revision, by, diff } = winner;
    let superseded = matches!(outcome.verdict, Ok(apply::Verdict::Superseded(_)));
    let effect = if superseded || outcome.answer_lost {
        "this file may have been in force briefly"
    } else {
        "nothing was changed"
    };
    console.error(&format!(
        "revision {revision} by {by} is in force instead; {effect}"
    ))?;
    write!(console.err, "{diff}")?;
    Ok(exit::Code::Conflict)
}

fn report_unknown(
    arguments: &cli::Apply,
    failure: &store::Failure,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let (file, detail) = (arguments.file.display(), command::failure_detail(failure));
    console.error(&format!(
        "{file} may or may not be in force: {detail}; run `mangotray diff` once the platform \
         answers"
    ))?;
    Ok(exit::Code::Unknown)
}

#[cfg(test)]
mod tests;
