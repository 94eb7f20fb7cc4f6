//! Runs one command of the operators' client.

use std::fs;
use std::path;

use eyre::WrapErr;

use crate::cli;
use crate::console;
use crate::declaration;
use crate::exit;

mod check;

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
    }
}

/// Reads a file; its mistakes are printed and end the command.
fn declaration(
    file: &path::Path,
    console: &mut console::Console,
) -> eyre::Result<Result<declaration::Declaration, exit::Code>> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).wrap_err_with(|| format!("cannot read {name}"))?;
    match declaration::Declaration::parse(&text) {
        Err(faults) => Ok(Err(console.invalid(&name, &faults)?)),
        Ok(declaration) => {
            for warning in &declaration.warnings {
                console.warning(&warning.located(&name))?;
            }
            Ok(Ok(declaration))
        }
    }
}
