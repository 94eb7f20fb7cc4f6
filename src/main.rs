//! Command-line client for operators.

use std::process;

use mangotray::cli;
use mangotray::command;
use mangotray::console;

fn main() -> process::ExitCode {
    let command = match cli::parse(&cli::options()) {
        Ok(command) => command,
        Err(code) => return code.into(),
    };
    let mut console = console::Console::standard();
    command::run(&command, &mut console)
        .unwrap_or_else(|error| console.fail(&error))
        .into()
}
