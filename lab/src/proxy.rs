//! Proxies as separate processes of the lab's binary, so that a crash closes all sockets.

use std::fs;
use std::io;
use std::io::BufRead;
use std::io::Write;
use std::net;
use std::path;
use std::process;

use mangotray::daemon;
use mangotray::policy;
use mangotray::settings;

/// Line on its standard input that tells a proxy to shut down gracefully.
const DRAIN_COMMAND: &str = "drain";

/// Configuration of a proxy process, which the lab passes in a JSON file.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Setup {
    /// Settings, as for the product's own daemon.
    pub settings: settings::Settings,
    /// Its policy, which cannot be set for the product's own daemon.
    pub policy: policy::Policy,
}

/// A running proxy process, which is killed when this is dropped.
#[derive(Debug)]
pub struct Proxy {
    caller_address: net::SocketAddr,
    admin_address: net::SocketAddr,
    child: process::Child,
}

impl Proxy {
    /// Writes `setup` to `setup_file`, starts `program`, the lab's binary, with it, and
    /// returns once the proxy listens.
    ///
    /// # Errors
    /// When the file cannot be written, or the process cannot be started or ends before it
    /// listens.
    pub fn start(
        program: &path::Path,
        setup_file: &path::Path,
        setup: &Setup,
    ) -> eyre::Result<Self> {
        fs::write(setup_file, serde_json::to_vec(setup)?)?;
        let mut child = process::Command::new(program)
            .args(["proxy", "--setup"])
            .arg(setup_file)
            .stdin(process::Stdio::piped())
            .stdout(process::Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            io::BufReader::new(output).read_line(&mut line)?;
        }
        let (caller_address, admin_address) = line
            .trim()
            .split_once(' ')
            .ok_or_else(|| eyre::eyre!("proxy does not listen"))?;
        Ok(Self {
            caller_address: caller_address.parse()?,
            admin_address: admin_address.parse()?,
            child,
        })
    }

    /// Address that it listens on for callers.
    #[must_use]
    pub const fn caller_address(&self) -> net::SocketAddr {
        self.caller_address
    }

    /// Address of its status and metrics.
    #[must_use]
    pub const fn admin_address(&self) -> net::SocketAddr {
        self.admin_address
    }

    /// Kills the process.
    pub fn crash(self) {
        drop(self);
    }

    /// Asks the process to shut down gracefully and waits for its end.
    ///
    /// # Errors
    /// When the process has already ended.
    pub fn drain(mut self) -> eyre::Result<()> {
        if let Some(input) = self.child.stdin.as_mut() {
            writeln!(input, "{DRAIN_COMMAND}")?;
        }
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a proxy until its standard input gives a line or ends. The line `drain` shuts it
/// down gracefully; the end of the input, as when the lab has ended, stops it at once.
///
/// # Errors
/// When the file cannot be read or is invalid, or the proxy cannot be started.
pub fn serve(setup_file: &path::Path) -> eyre::Result<()> {
    let setup: Setup = serde_json::from_slice(&fs::read(setup_file)?)?;
    let proxy = daemon::Daemon::start(&setup.settings, setup.policy)?;
    println!("{} {}", proxy.caller_address(), proxy.admin_address());
    let mut line = String::new();
    io::stdin().read_line(&mut line)?;
    if line.trim() == DRAIN_COMMAND {
        async_io::block_on(proxy.drain());
    }
    Ok(())
}
