//! `mangotray check`.

use crate::cli;
use crate::command;
use crate::console;
use crate::exit;

pub(super) fn run(
    arguments: &cli::Check,
    console: &mut console::Console,
) -> eyre::Result<exit::Code> {
    let catalog = match command::read_source(&arguments.file, console)? {
        Ok(source) => source.catalog,
        Err(code) => return Ok(code),
    };
    let vms = match catalog.vms.len() {
        0 => "all VMs".to_owned(),
        count => format!("{count} VMs"),
    };
    writeln!(
        console.out,
        "{} is valid: {} groups, served by {vms}",
        arguments.file.display(),
        catalog.groups.len()
    )?;
    Ok(exit::Code::Success)
}
