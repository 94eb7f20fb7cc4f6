//! Entry point of the lab.

use mangotray_lab::cli;
use mangotray_lab::control;
use mangotray_lab::serve;

/// Log lines of the lab itself, unless `RUST_LOG` says otherwise.
const FILTER: &str = "warn";

fn main() -> eyre::Result<()> {
    let command = cli::command().run();
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    tracing_subscriber::fmt()
        .with_env_filter(filter.unwrap_or_else(|_| FILTER.into()))
        .with_writer(std::io::stderr)
        .init();
    match command {
        cli::Command::Platform(arguments) => serve::platform(&arguments)?,
        cli::Command::Group(arguments) => serve::group(&arguments)?,
        cli::Command::Fault(arguments) => {
            let sending = control::send(arguments.control, &arguments.words);
            print!("{}", async_io::block_on(sending)?);
        }
    }
    Ok(())
}
