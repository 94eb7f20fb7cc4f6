//! The proxy daemon.

use std::fs;
use std::process;

use eyre::WrapErr;
use mangotray::cli;
use mangotray::console;
use mangotray::exit;
use mangotray::launch;
use mangotray::settings;

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
    eyre::bail!("this build only checks settings; run it with --check")
}
