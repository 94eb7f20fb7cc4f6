//! Runs one command of the operators' client.

use std::fs;
use std::net;
use std::path;
use std::sync;
use std::time;

use eyre::WrapErr;

use crate::catalog;
use crate::cli;
use crate::console;
use crate::declaration;
use crate::exit;
use crate::platform;
use crate::store;

mod apply;
mod check;
mod diff;
mod explain;
mod status;
pub mod trace;

/// A valid operators' file.
struct Source {
    text: String,
    catalog: catalog::Catalog,
}

/// Runs a command and returns its exit code; prints results and errors on `console`.
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
        cli::Command::Diff(arguments) => diff::run(arguments, console),
        cli::Command::Apply(arguments) => apply::run(arguments, console),
        cli::Command::Explain(arguments) => explain::run(arguments, console),
        cli::Command::Status(arguments) => status::run(arguments, console),
        cli::Command::Trace(arguments) => trace::run(arguments, console),
    }
}

/// Runs `operation` with a client of the platform's service; `timeout` limits each call.
fn with_store<T>(
    address: net::SocketAddr,
    timeout: time::Duration,
    operation: impl AsyncFnOnce(&dyn store::Store) -> T,
) -> T {
    let executor = sync::Arc::new(async_executor::Executor::new());
    let mut options = platform::Options::new(address);
    options.timeout = timeout;
    let client = platform::Client::new(options, &executor);
    async_io::block_on(executor.run(operation(&client)))
}

/// Text of a failed call.
fn failure_detail(failure: &store::Failure) -> &str {
    match failure {
        store::Failure::NotRun(detail) | store::Failure::Unknown(detail) => detail,
    }
}

/// Reports that a call to the platform's service failed without any effect.
fn report_unreachable(
    address: net::SocketAddr,
    failure: &store::Failure,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let detail = failure_detail(failure);
    console.error(&format!(
        "platform at {address}: {detail}; nothing was changed"
    ))?;
    Ok(exit::Code::Unreachable)
}

/// Catalog of the file in force; empty when there is none or this version cannot read it.
fn catalog_in_force(
    file: Option<&crate::apply::File>,
    console: &mut console::Console,
) -> eyre::Result<catalog::Catalog> {
    let Some(file) = file else {
        return Ok(catalog::Catalog::default());
    };
    if let Ok(declaration) = declaration::Declaration::parse(&file.text) {
        return Ok(declaration.catalog);
    }
    let revision = file.revision;
    console.warning(&format!(
        "this version cannot read revision {revision}; everything is shown as new"
    ))?;
    Ok(catalog::Catalog::default())
}

/// Reads and checks a file; prints its errors and returns the exit code when there are any.
fn read_source(
    file: &path::Path,
    console: &mut console::Console,
) -> eyre::Result<Result<Source, exit::Code>> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).wrap_err_with(|| format!("cannot read {name}"))?;
    match declaration::Declaration::parse(&text) {
        Err(faults) => Ok(Err(console.invalid(&name, &faults)?)),
        Ok(declaration) => {
            for warning in &declaration.warnings {
                console.warning(&warning.text_with_file(&name))?;
            }
            let catalog = declaration.catalog;
            Ok(Ok(Source { text, catalog }))
        }
    }
}
