//! Runs one command of the operators' client.

use std::fs;
use std::path;

use eyre::WrapErr;

use crate::catalog;
use crate::cli;
use crate::console;
use crate::declaration;
use crate::exit;
use crate::store;

mod check;
mod explain;
mod status;

/// An operators' file that was read and found valid.
struct Source {
    catalog: catalog::Catalog,
}

/// Runs a command to its exit code; results and mistakes are printed on `console`.
///
/// # Errors
/// When a file cannot be read or the output cannot be written.
///
/// ```
/// use mangotray::{cli, command, console};
/// let missing = cli::Check { file: "/nowhere/system.ini".into() };
/// let mut console = console::Console::standard();
/// assert!(command::run(&cli::Command::Check(missing), &mut console).is_err());
/// ```
pub fn run(command: &cli::Command, console: &mut console::Console) -> eyre::Result<exit::Code> {
    match command {
        cli::Command::Check(arguments) => check::run(arguments, console),
        cli::Command::Explain(arguments) => explain::run(arguments, console),
        cli::Command::Status(arguments) => status::run(arguments, console),
    }
}

/// Words of a failed call.
fn reason(failure: &store::Failure) -> &str {
    match failure {
        store::Failure::NotRun(why) | store::Failure::Unknown(why) => why,
    }
}

/// Reads a file; its mistakes are printed and end the command.
fn source(
    file: &path::Path,
    console: &mut console::Console,
) -> eyre::Result<Result<Source, exit::Code>> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).wrap_err_with(|| format!("cannot read {name}"))?;
    match declaration::Declaration::parse(&text) {
        Err(faults) => Ok(Err(console.invalid(&name, &faults)?)),
        Ok(declaration) => {
            for warning in &declaration.warnings {
                console.warning(&warning.located(&name))?;
            }
            let catalog = declaration.catalog;
            Ok(Ok(Source { catalog }))
        }
    }
}
