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

/// Times that an apply of unknown outcome is repeated, always with the same id: the store's
/// answer may be lost after the file is in force. Without the id, a second try would
/// look like a rival's file.
const REPEATS: usize = 3;

/// Pause before a repeat.
const PAUSE: time::Duration = time::Duration::from_millis(500);

const NOBODY: &str = "unknown";

/// What became of an apply, and whether its answer was lost on the way.
struct Settled {
    verdict: Result<apply::Verdict, store::Failure>,
    doubt: bool,
}

pub(super) fn run(
    arguments: &cli::Apply,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let source = match command::source(&arguments.file, console)? {
        Ok(source) => source,
        Err(code) => return Ok(code),
    };
    let (platform, timeout) = (arguments.platform, arguments.timeout);
    let file = match command::with_store(platform, timeout, apply::current) {
        Ok(file) => file,
        Err(failure) => return command::unreachable(platform, &failure, console),
    };
    let old = command::in_force(file.as_ref(), console)?;
    let base = file.map_or(0, |file| file.revision);
    let request = request(arguments, &source.text, base);
    let settled = command::with_store(platform, timeout, async |store| put(store, &request).await);
    if let Ok(apply::Verdict::Applied(_)) = settled.verdict {
        for change in declaration::diff(&old, &source.catalog) {
            writeln!(console.out, "{change}")?;
        }
    }
    tell(arguments, &settled, console)
}

/// The revision just read is the base unless the operator names one: a file that another
/// operator puts in force in between is a conflict, never overwritten unseen.
fn request(arguments: &cli::Apply, text: &str, base: id::Revision) -> apply::Request {
    let by = arguments.by.clone().unwrap_or_else(user);
    apply::Request {
        id: apply::draw(),
        by,
        text: text.into(),
        base: Some(arguments.base.unwrap_or(base)),
    }
}

fn user() -> CompactString {
    let name = std::env::var("USER").unwrap_or_default();
    if name.is_empty() {
        NOBODY.into()
    } else {
        name.into()
    }
}

async fn put(store: &dyn store::Store, request: &apply::Request) -> Settled {
    let mut verdict = apply::put(store, request).await;
    let doubt = matches!(verdict, Err(store::Failure::Unknown(_)));
    for _ in 0..REPEATS {
        if !doubt || verdict.is_ok() {
            break;
        }
        async_io::Timer::after(PAUSE).await;
        verdict = apply::put(store, request).await;
    }
    Settled { verdict, doubt }
}

fn tell(
    arguments: &cli::Apply,
    settled: &Settled,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let file = arguments.file.display();
    match &settled.verdict {
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
            conflict(settled, winner, console)
        }
        Ok(apply::Verdict::TooLarge { length }) => {
            let limit = apply::VALUE_LIMIT;
            console.error(&format!(
                "{file} takes {length} bytes; the platform holds {limit}"
            ))?;
            Ok(exit::Code::InvalidFile)
        }
        Err(failure) if settled.doubt => unknown(arguments, failure, console),
        Err(failure) => command::unreachable(arguments.platform, failure, console),
    }
}

fn conflict(
    settled: &Settled,
    winner: &apply::Winner,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let apply::Winner { revision, by, diff } = winner;
    let superseded = matches!(settled.verdict, Ok(apply::Verdict::Superseded(_)));
    let outcome = if superseded || settled.doubt {
        "this file may have been in force for a moment"
    } else {
        "nothing was changed"
    };
    console.error(&format!(
        "revision {revision} by {by} is in force instead; {outcome}"
    ))?;
    write!(console.err, "{diff}")?;
    Ok(exit::Code::Conflict)
}

fn unknown(
    arguments: &cli::Apply,
    failure: &store::Failure,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let (file, why) = (arguments.file.display(), command::reason(failure));
    console.error(&format!(
        "{file} may or may not be in force: {why}; run `mangotray diff` once the platform answers"
    ))?;
    Ok(exit::Code::Unknown)
}

#[cfg(test)]
mod tests;
