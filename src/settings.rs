//! Settings of a daemon, read from an INI file.
//!
//! | Section | Key | Default |
//! |---|---|---|
//! | `[vm]` | `name` | required; unique among the VMs |
//! | | `failure_domain` | required |
//! | | `region` | `default` |
//! | `[listen]` | `callers` | required, `IP:PORT` |
//! | | `peers` | IP of `callers`, port 6433 |
//! | | `admin` | IP of `callers`, port 9633 |
//! | `[platform]` | `address` | required, `IP:PORT` |
//! | | `timeout` | `1s`; for one call |
//! | `[peers]` | `seeds` | none; `IP:PORT, ...` where other proxies accept peers; contacted first while no proxy is known, such as in an outage of the platform |
//! | `[limits]` | `callers` | `2000` connections at once |
//! | | `callers_per_address` | the same as `callers`, as a load balancer may connect all callers from one IP |
//! | | `message_bytes` | `1MiB`; largest message of a caller |
//! | | `answer_bytes` | `16MiB`; largest answer that is relayed |
//! | | `startup_timeout` | `10s`; from accepting a connection to its first request |
//! | | `drain_timeout` | `30s`; for requests in flight at a shutdown |
//! | `[log]` | `format` | `text`, or `json` |
//! | | `filter` | `info`; syntax of `tracing_subscriber::EnvFilter` |

use std::net;
use std::time;

use compact_str::CompactString;

use crate::document;
use crate::fault;
use crate::id;

const DEFAULT_MAX_CALLERS: usize = 2000;
const DEFAULT_MAX_MESSAGE_BYTES: usize = 1 << 20;
const DEFAULT_MAX_ANSWER_BYTES: usize = 16 << 20;
const DEFAULT_STARTUP_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const DEFAULT_DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const DEFAULT_LOG_FILTER: &str = "info";

/// All settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// VM that the process runs on.
    pub vm: Vm,
    /// Addresses that it listens on.
    pub listen: Listen,
    /// Connection to the platform's key-value service.
    pub platform: Platform,
    /// Other proxies that are known without the platform.
    pub peers: Peers,
    /// Limits on the resources that callers use.
    pub limits: Limits,
    /// Format and filter of the log.
    pub log: Log,
}

/// The VM that the process runs on.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name, unique among all VMs.
    pub name: id::Vm,
    /// Failure domain of the VM.
    pub failure_domain: id::Domain,
    /// Region of the failure domain.
    pub region: CompactString,
}

/// Addresses that the process listens on; port 0 takes any free port.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For other proxies.
    pub peers: net::SocketAddr,
    /// For operators: status and metrics over HTTP.
    pub admin: net::SocketAddr,
}

/// The platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address that it listens on.
    pub address: net::SocketAddr,
    /// Longest wait for the answer to one call; a watch adds its own time to wait for a change.
    #[serde(with = "humantime_serde")]
    pub timeout: time::Duration,
}

/// Other proxies that are known without the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Addresses where some of them accept peers.
    pub seeds: Vec<net::SocketAddr>,
}

/// Limits on the resources that callers use.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Caller connections at once.
    pub callers: usize,
    /// Caller connections at once from one IP.
    pub callers_per_address: usize,
    /// Largest message of a caller in bytes.
    pub message_bytes: usize,
    /// Largest answer in bytes that is relayed.
    pub answer_bytes: usize,
    /// Longest time from accepting a connection to its first request.
    #[serde(with = "humantime_serde")]
    pub startup_timeout: time::Duration,
    /// Longest wait for requests in flight at a shutdown.
    #[serde(with = "humantime_serde")]
    pub drain_timeout: time::Duration,
}

/// Format and filter of the log on standard error.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Format of a line.
    pub format: Format,
    /// Filter for the lines, in the syntax of `tracing_subscriber::EnvFilter`.
    pub filter: CompactString,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Text for people to read.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// A value from the command line that takes precedence over the file's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Override {
    /// Section without brackets.
    pub section: &'static str,
    /// Key in that section.
    pub key: &'static str,
    /// Value in the file's syntax.
    pub value: CompactString,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            callers: DEFAULT_MAX_CALLERS,
            callers_per_address: DEFAULT_MAX_CALLERS,
            message_bytes: DEFAULT_MAX_MESSAGE_BYTES,
            answer_bytes: DEFAULT_MAX_ANSWER_BYTES,
            startup_timeout: DEFAULT_STARTUP_TIMEOUT,
            drain_timeout: DEFAULT_DRAIN_TIMEOUT,
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: Format::default(),
            filter: DEFAULT_LOG_FILTER.into(),
        }
    }
}

impl Settings {
    /// Reads and checks a whole file.
    ///
    /// # Errors
    /// All errors in the file, in the order of its lines.
    ///
    /// ```
    /// let settings = mangotray::settings::Settings::parse(
    ///     "[vm]\nname = entry-1\nfailure_domain = patan-hall\n\
    ///      [listen]\ncallers = 127.0.0.1:6432\n\
    ///      [platform]\naddress = 127.0.0.1:7000\n",
    /// ).unwrap();
    /// assert_eq!(settings.listen.peers.to_string(), "127.0.0.1:6433");
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<fault::Fault>> {
        Self::parse_with(text, &[])
    }

    /// Reads and checks a whole file, with some of its values overridden.
    ///
    /// # Errors
    /// All errors in the file and in the overriding values.
    ///
    /// ```
    /// use mangotray::settings;
    /// let text = "[vm]\nname = entry-1\nfailure_domain = patan-hall\n\
    ///     [listen]\ncallers = 127.0.0.1:6432\n[platform]\naddress = 127.0.0.1:7000\n";
    /// let name = settings::Override { section: "vm", key: "name", value: "entry-2".into() };
    /// let settings = settings::Settings::parse_with(text, &[name]).unwrap();
    /// assert_eq!(settings.vm.name, "entry-2");
    /// ```
    pub fn parse_with(text: &str, overrides: &[Override]) -> Result<Self, Vec<fault::Fault>> {
        let mut document = document::Document::parse(text);
        for item in overrides {
            document.override_value(item.section, item.key, &item.value);
        }
        let mut faults = std::mem::take(&mut document.faults);
        read::check_sections(&document, &mut faults);
        let settings = read::settings(&document, &mut faults);
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => {
                faults.sort_by_key(|fault| fault.line);
                Err(faults)
            }
        }
    }
}

mod read;

#[cfg(test)]
mod tests;
