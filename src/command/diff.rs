//! `mangotray diff`.

use crate::apply;
use crate::cli;
use crate::command;
use crate::console;
use crate::declaration;
use crate::exit;

pub(super) fn run(
    arguments: &cli::Diff,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let source = match command::read_source(&arguments.file, console)? {
        Ok(source) => source,
        Err(code) => return Ok(code),
    };
    let answer = command::with_store(arguments.platform, arguments.timeout, apply::current);
    let file = match answer {
        Ok(file) => file,
        Err(failure) => return command::report_unreachable(arguments.platform, &failure, console),
    };
    let old = command::catalog_in_force(file.as_ref(), console)?;
    match file {
        None => writeln!(console.out, "no file is in force")?,
        Some(file) => writeln!(console.out, "revision {} by {}", file.revision, file.by)?,
    }
    let changes = declaration::diff(&old, &source.catalog);
    if changes.is_empty() {
        writeln!(console.out, "no change")?;
    }
    for change in changes {
        writeln!(console.out, "{change}")?;
    }
    Ok(exit::Code::Success)
}
