//! Entry point of the lab.

use mangotray_lab::capacity;
use mangotray_lab::cli;
use mangotray_lab::control;
use mangotray_lab::demo;
use mangotray_lab::proxy;
use mangotray_lab::run;
use mangotray_lab::serve;
use mangotray_lab::sweep;
use std::process;
use std::time;

/// Log filter of the lab when `RUST_LOG` is not set or invalid.
const DEFAULT_LOG_FILTER: &str = "warn";

fn main() -> eyre::Result<process::ExitCode> {
    let command = cli::command().run();
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    tracing_subscriber::fmt()
        .with_env_filter(filter.unwrap_or_else(|_| DEFAULT_LOG_FILTER.into()))
        .with_writer(std::io::stderr)
        .init();
    match command {
        cli::Command::Run(arguments) => return measure(arguments),
        cli::Command::Sweep(arguments) => {
            let program = std::env::current_exe()?;
            let failures = sweep::execute(&program, arguments.seed, &arguments.only);
            return Ok(exit_code(failures > 0));
        }
        cli::Command::Demo(arguments) => {
            demo::serve(arguments.port, arguments.lasts.map(Into::into))?;
        }
        cli::Command::Platform(arguments) => serve::platform(&arguments)?,
        cli::Command::Group(arguments) => serve::group(&arguments)?,
        cli::Command::Proxy(arguments) => proxy::serve(&arguments.setup)?,
        cli::Command::Capacity(arguments) => capacity::run(&capacity::Options {
            sections: arguments.sections,
            window: time::Duration::from_secs(arguments.window),
        })?,
        cli::Command::Fault(arguments) => {
            let sending = control::send(arguments.control, &arguments.words);
            print!("{}", async_io::block_on(sending)?);
        }
    }
    Ok(process::ExitCode::SUCCESS)
}

/// Runs one workload; the exit code is 1 when a guarantee was violated.
fn measure(arguments: cli::Run) -> eyre::Result<process::ExitCode> {
    let mut profile = *arguments.profile;
    profile.lag = arguments.lag.map_or(profile.lag, Into::into);
    let run = run::Run {
        program: std::env::current_exe()?,
        policy: arguments.policy.parse()?,
        profile,
        proxies: arguments.proxies,
        duration: time::Duration::from_secs(arguments.seconds),
        seed: arguments.seed,
        faults: arguments.fault,
    };
    let report = run.execute()?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(exit_code(report.is_violated()))
}

fn exit_code(failed: bool) -> process::ExitCode {
    if failed {
        process::ExitCode::FAILURE
    } else {
        process::ExitCode::SUCCESS
    }
}
