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
//! | `[limits]` | `callers` | `2000` connections at once |
//! | | `callers_per_address` | the same as `callers`, as a balancer may hide all callers behind one IP |
//! | | `message_bytes` | `1MiB`; largest message of a caller |
//! | | `answer_bytes` | `16MiB`; largest answer that is relayed |
//! | | `startup_timeout` | `10s`; from accepting a connection to its first request |
//! | | `drain_timeout` | `30s`; for requests in flight at a shutdown |
//! | `[log]` | `format` | `text`, or `json` |
//! | | `filter` | `info`; syntax of `tracing_subscriber::EnvFilter` |

use std::net;
use std::time;

use compact_str::CompactString;
use compact_str::format_compact;

use crate::document;
use crate::fault;
use crate::id;
use crate::section;
use crate::value;

const SECTIONS: [&str; 5] = ["vm", "listen", "platform", "limits", "log"];
const REGION: &str = "default";
const PEERS_PORT: u16 = 6433;
const ADMIN_PORT: u16 = 9633;
const PLATFORM_TIMEOUT: time::Duration = time::Duration::from_secs(1);
const CALLERS: usize = 2000;
const MESSAGE_BYTES: usize = 1 << 20;
const ANSWER_BYTES: usize = 16 << 20;
const STARTUP_TIMEOUT: time::Duration = time::Duration::from_secs(10);
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const FILTER: &str = "info";
const LEAST_TIMEOUT: time::Duration = time::Duration::from_millis(1);
const MOST_TIMEOUT: time::Duration = time::Duration::from_hours(1);

/// Everything that a daemon has to be told.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where the process runs.
    pub vm: Vm,
    /// Where it listens.
    pub listen: Listen,
    /// How it reaches the platform.
    pub platform: Platform,
    /// Bounds on what callers may use.
    pub limits: Limits,
    /// What it logs.
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
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Longest wait for the answer to one call, a watch's own patience apart.
    #[serde(with = "humantime_serde")]
    pub timeout: time::Duration,
}

/// Bounds on what callers may use.
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

/// What the process logs, on standard error.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Form of a line.
    pub format: Format,
    /// Which lines, in the syntax of `tracing_subscriber::EnvFilter`.
    pub filter: CompactString,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// A value from the command line that goes before the file's.
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
            callers: CALLERS,
            callers_per_address: CALLERS,
            message_bytes: MESSAGE_BYTES,
            answer_bytes: ANSWER_BYTES,
            startup_timeout: STARTUP_TIMEOUT,
            drain_timeout: DRAIN_TIMEOUT,
        }
    }
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: Format::default(),
            filter: FILTER.into(),
        }
    }
}

impl Settings {
    /// Reads and checks a whole file.
    ///
    /// # Errors
    /// Every mistake in the file, in the order of its lines.
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

    /// Reads and checks a whole file after putting some values in place of its own.
    ///
    /// # Errors
    /// Every mistake in the file and in the given values.
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
            document.put(item.section, item.key, &item.value);
        }
        let mut faults = std::mem::take(&mut document.faults);
        check_sections(&document, &mut faults);
        let settings = read(&document, &mut faults);
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => {
                faults.sort_by_key(|fault| fault.line);
                Err(faults)
            }
        }
    }
}

fn check_sections(document: &document::Document, faults: &mut Vec<fault::Fault>) {
    let unknown = document
        .sections
        .iter()
        .filter(|section| !SECTIONS.contains(&section.title.as_str()));
    let reason = format!("unknown section; known are: {}", SECTIONS.join(", "));
    faults.extend(
        unknown.map(|s| fault::Fault::new(s.line, format_compact!("[{}]", s.title), &reason)),
    );
}

fn read(document: &document::Document, faults: &mut Vec<fault::Fault>) -> Option<Settings> {
    let section = |title: &str| {
        let found = document.sections.iter().find(|s| s.title == title);
        found.cloned().unwrap_or_else(|| absent(title))
    };
    let vm = vm(&section("vm"), faults);
    let listen = listen(&section("listen"), faults);
    let platform = platform(&section("platform"), faults);
    let limits = limits(&section("limits"), faults);
    let log = log(&section("log"), faults);
    Some(Settings {
        vm: vm?,
        listen: listen?,
        platform: platform?,
        limits,
        log,
    })
}

/// Stands for a section that is not in the file; faults about it point to line 1.
fn absent(title: &str) -> section::Section {
    section::Section {
        title: title.into(),
        line: Some(1),
        entries: Vec::new(),
    }
}

fn vm(section: &section::Section, faults: &mut Vec<fault::Fault>) -> Option<Vm> {
    section.known(&["name", "failure_domain", "region"], faults);
    let name = section.required("name", value::name, faults);
    let failure_domain = section.required("failure_domain", value::name, faults);
    let region = section.optional("region", value::name, faults);
    Some(Vm {
        name: name?,
        failure_domain: failure_domain?,
        region: region.unwrap_or(REGION.into()),
    })
}

fn listen(section: &section::Section, faults: &mut Vec<fault::Fault>) -> Option<Listen> {
    section.known(&["callers", "peers", "admin"], faults);
    let callers = section.required("callers", value::address, faults);
    let peers = section.optional("peers", value::reachable, faults);
    let admin = section.optional("admin", value::reachable, faults);
    let callers = callers?;
    let listen = Listen {
        callers,
        peers: peers.unwrap_or(net::SocketAddr::new(callers.ip(), PEERS_PORT)),
        admin: admin.unwrap_or(net::SocketAddr::new(callers.ip(), ADMIN_PORT)),
    };
    check_addresses(section, &listen, faults);
    Some(listen)
}

fn check_addresses(section: &section::Section, listen: &Listen, faults: &mut Vec<fault::Fault>) {
    let named = [
        ("callers", listen.callers),
        ("peers", listen.peers),
        ("admin", listen.admin),
    ];
    for (index, (key, address)) in named.iter().enumerate() {
        let others = &named[..index];
        if let Some((other, _)) = others
            .iter()
            .find(|(_, other)| other == address && address.port() != 0)
        {
            faults.push(section.fault(key, format!("{address} is also the address for {other}")));
        }
        let hidden = section.entry(key).is_none() && address.ip().is_unspecified();
        if hidden {
            faults.push(section.fault(key, "missing; needed as `callers` names no single IP"));
        }
    }
}

fn platform(section: &section::Section, faults: &mut Vec<fault::Fault>) -> Option<Platform> {
    section.known(&["address", "timeout"], faults);
    let address = section.required("address", value::remote, faults);
    let timeout = section.optional("timeout", timeout(), faults);
    Some(Platform {
        address: address?,
        timeout: timeout.unwrap_or(PLATFORM_TIMEOUT),
    })
}

fn limits(section: &section::Section, faults: &mut Vec<fault::Fault>) -> Limits {
    section.known(
        &[
            "callers",
            "callers_per_address",
            "message_bytes",
            "answer_bytes",
            "startup_timeout",
            "drain_timeout",
        ],
        faults,
    );
    let callers = section.optional("callers", value::count, faults);
    let callers = callers.unwrap_or(CALLERS);
    let mut number = |key, parse: fn(&str) -> value::Parsed<usize>, default| {
        section.optional(key, parse, faults).unwrap_or(default)
    };
    let callers_per_address = number("callers_per_address", value::count, callers);
    let message_bytes = number("message_bytes", value::bytes, MESSAGE_BYTES);
    let answer_bytes = number("answer_bytes", value::bytes, ANSWER_BYTES);
    let startup_timeout = section.optional("startup_timeout", timeout(), faults);
    let drain_timeout = section.optional("drain_timeout", timeout(), faults);
    if callers_per_address > callers {
        let reason = format!("{callers_per_address} is more than the {callers} callers in all");
        faults.push(section.fault("callers_per_address", reason));
    }
    Limits {
        callers,
        callers_per_address,
        message_bytes,
        answer_bytes,
        startup_timeout: startup_timeout.unwrap_or(STARTUP_TIMEOUT),
        drain_timeout: drain_timeout.unwrap_or(DRAIN_TIMEOUT),
    }
}

fn log(section: &section::Section, faults: &mut Vec<fault::Fault>) -> Log {
    section.known(&["format", "filter"], faults);
    let default = Log::default();
    let format = section.optional("format", format, faults);
    let filter = section.optional("filter", value::filter, faults);
    Log {
        format: format.unwrap_or(default.format),
        filter: filter.unwrap_or(default.filter),
    }
}

fn format(text: &str) -> value::Parsed<Format> {
    match text {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        other => Err(format_compact!("{other:?} is no format: text or json")),
    }
}

fn timeout() -> impl Fn(&str) -> value::Parsed<time::Duration> {
    value::within(LEAST_TIMEOUT, MOST_TIMEOUT)
}

#[cfg(test)]
mod tests;
