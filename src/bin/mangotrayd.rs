//! The proxy daemon.

use std::fs;
use std::process;

use async_signal::Signal;
use async_signal::Signals;
use eyre::WrapErr;
use futures_lite::StreamExt;
use mangotray::cli;
use mangotray::console;
use mangotray::daemon;
use mangotray::exit;
use mangotray::launch;
use mangotray::policy;
use mangotray::settings;
use mangotray::telemetry;

fn main() -> process::ExitCode {
    let launch = match cli::parse(&launch::options()) {
        Ok(launch) => launch,
        Err(code) => return code.into(),
    };
    let mut console = console::Console::standard();
    run(&launch, &mut console)
        .unwrap_or_else(|error| console.fail(&error))
        .into()
}

fn run(launch: &launch::Launch, console: &mut console::Console) -> eyre::Result<exit::Code> {
    let file = launch.settings.display().to_string();
    let text = fs::read_to_string(&launch.settings).wrap_err(format!("cannot read {file}"))?;
    let settings = match settings::Settings::parse_with(&text, &launch.overrides) {
        Ok(settings) => settings,
        Err(faults) => return Ok(console.invalid(&file, &faults)?),
    };
    if launch.check {
        writeln!(console.out, "{file} is valid: VM {}", settings.vm.name)?;
        return Ok(exit::Code::Success);
    }
    telemetry::init_logging(&settings.log)?;
    // The signal handlers are installed before the listeners open: otherwise an early signal
    // would kill the process instead of draining it, with callers already connected.
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let proxy = daemon::Daemon::start(&settings, policy::Policy::Default)?;
    writeln!(console.out, "serving callers at {}", proxy.caller_address())?;
    let complete = async_io::block_on(async {
        signals.next().await;
        proxy.drain().await
    });
    Ok(if complete {
        exit::Code::Success
    } else {
        exit::Code::Degraded
    })
}
