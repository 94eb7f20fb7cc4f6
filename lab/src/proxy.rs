//! Proxies as processes of the lab's own binary, so that a crash closes every socket.

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

/// What a proxy process is started with; the lab passes it in a file of JSON.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Setup {
    /// Where it runs, and how it reaches the platform.
    pub settings: settings::Settings,
    /// Its rules, which the product's own daemon does not let anybody choose.
    pub policy: policy::Policy,
}

/// A running proxy process; it ends abruptly when dropped.
#[derive(Debug)]
pub struct Proxy {
    caller_address: net::SocketAddr,
    admin_address: net::SocketAddr,
    child: process::Child,
}

impl Proxy {
    /// Starts `program`, the lab's binary, and returns once the proxy listens; `setup_file`
    /// is written for it.
    ///
    /// # Errors
    /// When the file cannot be written, or the process does not start to listen.
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

    /// Where it listens for callers.
    #[must_use]
    pub const fn caller_address(&self) -> net::SocketAddr {
        self.caller_address
    }

    /// Where operators ask it for status and metrics.
    #[must_use]
    pub const fn admin_address(&self) -> net::SocketAddr {
        self.admin_address
    }

    /// Ends the process at once.
    pub fn crash(self) {
        drop(self);
    }

    /// Asks the process to shut down gracefully and waits for its end.
    ///
    /// # Errors
    /// When the process is gone already.
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

/// Runs a proxy until standard input says to drain; its end, as when the lab itself has
/// ended, stops the proxy at once.
///
/// # Errors
/// When the file is wrong or an address cannot be bound.
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
