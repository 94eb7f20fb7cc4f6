//! Settings of a node, read from an INI file.

use std::net;
use std::path;
use std::time;

use eyre::WrapErr;
use mangotray::id;

use crate::guarantees;
use crate::limits::tolerance;
use crate::load::options;

/// Identity, addresses, limits and guarantees of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the VM.
    pub name: id::Vm,
    /// Failure domain of the VM.
    pub domain: id::Domain,
    /// Capacity of the VM in thousandths of a core; `None` if the settings do not tell it.
    pub capacity: Option<u32>,
    /// Address on which callers are served.
    pub callers: net::SocketAddr,
    /// Address on which readiness and metrics are served.
    pub health: net::SocketAddr,
    /// Address on which other nodes are served.
    pub peers: net::SocketAddr,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Shortest lease that the store grants.
    pub min_lease: time::Duration,
    /// Address of the service that carries out promotions; without one this node never promotes.
    pub promotion: Option<net::SocketAddr>,
    /// Time between the request to stop and the kill of the process.
    pub stop_grace: time::Duration,
    /// Maximum number of caller connections served at once.
    pub max_sessions: usize,
    /// Guarantees about keys and rate limits of organisations.
    pub guarantees: guarantees::Guarantees,
    /// Decisions under load that are switched on.
    pub load: options::Options,
}

/// Capacity, in thousandths of a core, that one Mbit/s of a link can feed. With this value, 10 Mbit/s
/// and 0.12 of a core, the smallest nodes in use, bound a node alike.
const MILLICORES_PER_MBPS: f64 = 12.0;

/// Largest capacity that a node tells, in thousandths of a core.
const MAX_CAPACITY: f64 = 1_000_000.0;

/// File descriptors reserved for the store, the instances, the health address and files.
const RESERVED_DESCRIPTORS: usize = 600;

/// Shortest lease of a share of limits. A renewal has to be answered within half of it; questions
/// between nodes time out after 100 ms.
const MIN_SHARE_LEASE: time::Duration = time::Duration::from_millis(400);

/// Longest lease of a share of limits. After the loss of a borrower its shares are unused for as
/// long.
const MAX_SHARE_LEASE: time::Duration = time::Duration::from_secs(10);

impl Settings {
    /// Reads the settings from a file.
    ///
    /// # Errors
    /// When the file cannot be read, or a key is missing or has an invalid value; the error names
    /// section and key.
    pub fn load(path: &path::Path) -> eyre::Result<Self> {
        let shown = path.display();
        let text = std::fs::read_to_string(path).wrap_err(format!("cannot read {shown}"))?;
        Self::parse(&text).wrap_err(format!("in {shown}"))
    }

    /// Reads the settings from the text of a file.
    ///
    /// # Errors
    /// As [`Settings::load`].
    ///
    /// ```
    /// use mangotray_desk::settings;
    /// let text = "[vm]\nname = a\ndomain = d\n[listen]\ncallers = 127.0.0.1:1\n\
    ///     health = 127.0.0.1:2\npeers = 127.0.0.1:4\n[store]\naddress = 127.0.0.1:3\nlease_least_ms = 1000\n\
    ///     [duty]\naddress =\n[stop]\ngrace_s = 6\n[limits]\ndescriptors = 4200\n";
    /// assert_eq!(settings::Settings::parse(text).unwrap().promotion, None);
    /// assert!(settings::Settings::parse("[vm]\n").is_err());
    /// ```
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let file = ini::Ini::load_from_str(text).wrap_err("not an INI file")?;
        let descriptors: usize = value(&file, "limits", "descriptors")?;
        let promotion = text_of(&file, "duty", "address")?;
        Ok(Self {
            name: text_of(&file, "vm", "name")?.into(),
            domain: text_of(&file, "vm", "domain")?.into(),
            capacity: read_capacity(&file)?,
            callers: value(&file, "listen", "callers")?,
            health: value(&file, "listen", "health")?,
            peers: value(&file, "listen", "peers")?,
            store: value(&file, "store", "address")?,
            min_lease: time::Duration::from_millis(value(&file, "store", "lease_least_ms")?),
            promotion: match promotion {
                "" => None,
                _ => Some(value(&file, "duty", "address")?),
            },
            stop_grace: time::Duration::from_secs_f64(value(&file, "stop", "grace_s")?),
            max_sessions: descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(1),
            guarantees: read_guarantees(&file)?,
            load: read_load(&file)?,
        })
    }
}

// The section and its keys are optional. Without them keys are checked against the configuration in
// force, whatever its age, and no excess over quotas is tolerated.
fn read_guarantees(file: &ini::Ini) -> eyre::Result<guarantees::Guarantees> {
    const SECTION: &str = "organisations";
    let revocation: Option<u64> = optional(file, SECTION, "revocation_ms")?;
    let window: Option<f64> = optional(file, SECTION, "window_s")?;
    let tolerance = match window {
        Some(window) => tolerance::Tolerance {
            window: time::Duration::try_from_secs_f64(window)
                .ok()
                .filter(|window| !window.is_zero())
                .ok_or_else(|| {
                    eyre::eyre!("[{SECTION}] window_s: {window} is not a positive duration")
                })?,
            excess: optional(file, SECTION, "excess")?.unwrap_or_default(),
            slack: optional(file, SECTION, "slack")?.unwrap_or_default(),
        },
        None => tolerance::Tolerance::default(),
    };
    Ok(guarantees::Guarantees {
        application: read_application(file)?,
        revocation: revocation.map(time::Duration::from_millis),
        tolerance,
        sustained: window.is_some() && read_switch(file, SECTION, "sustained_limits")?,
        share: read_share(file, SECTION)?,
    })
}

// The key is optional.
fn read_application(file: &ini::Ini) -> eyre::Result<time::Duration> {
    let bound: Option<u64> = optional(file, "configuration", "apply_ms")?;
    eyre::ensure!(
        bound != Some(0),
        "[configuration] apply_ms: 0 is not a positive number"
    );
    let bound = bound.map(time::Duration::from_millis);
    Ok(bound.unwrap_or(guarantees::DEFAULT_APPLICATION))
}

// Both keys are optional. A narrow link bounds the capacity, as a node that relays statements uses
// both.
fn read_capacity(file: &ini::Ini) -> eyre::Result<Option<u32>> {
    let cores = positive(file, "vm", "cores")?;
    let link = positive(file, "vm", "link_mbps")?;
    let from_link = link.map(|link| link * MILLICORES_PER_MBPS);
    let Some(cores) = cores else {
        return Ok(None);
    };
    let millicores = from_link.map_or(cores * 1000.0, |bound| bound.min(cores * 1000.0));
    Ok(Some(to_capacity(millicores)))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Within the bounds.
fn to_capacity(millicores: f64) -> u32 {
    millicores.clamp(1.0, MAX_CAPACITY) as u32
}

fn positive(file: &ini::Ini, section: &str, key: &str) -> eyre::Result<Option<f64>> {
    let found: Option<f64> = optional(file, section, key)?;
    if let Some(found) = found
        && !(found.is_finite() && found > 0.0)
    {
        eyre::bail!("[{section}] {key}: {found} is not a positive number");
    }
    Ok(found)
}

fn read_share(file: &ini::Ini, section: &str) -> eyre::Result<Option<time::Duration>> {
    let length: Option<u64> = optional(file, section, "share_ms")?;
    let length = length.map(time::Duration::from_millis);
    if let Some(length) = length {
        let (least, most) = (MIN_SHARE_LEASE.as_millis(), MAX_SHARE_LEASE.as_millis());
        eyre::ensure!(
            (MIN_SHARE_LEASE..=MAX_SHARE_LEASE).contains(&length),
            "[{section}] share_ms: {} is not between {least} and {most}",
            length.as_millis()
        );
    }
    Ok(length)
}

// The section and its keys are optional; what is not named is off.
fn read_load(file: &ini::Ini) -> eyre::Result<options::Options> {
    let switch = |key| read_switch(file, "load", key);
    Ok(options::Options {
        adaptive_concurrency: switch("adaptive_concurrency")?,
        load_reports: switch("load_reports")?,
        fair_queueing: switch("fair_queueing")?,
        transactions: if switch("bounded_transactions")? {
            options::Transactions::Bounded
        } else {
            options::Transactions::Unbounded
        },
        retry_percent: read_retry_percent(file)?,
    })
}

fn read_switch(file: &ini::Ini, section: &str, key: &str) -> eyre::Result<bool> {
    optional(file, section, key).map(Option::unwrap_or_default)
}

fn read_retry_percent(file: &ini::Ini) -> eyre::Result<Option<u32>> {
    let percent: Option<u32> = optional(file, "load", "retry_percent")?;
    match percent {
        Some(percent) if !(1..=100).contains(&percent) => Err(eyre::eyre!(
            "[load] retry_percent: {percent} is not between 1 and 100"
        )),
        percent => Ok(percent),
    }
}

fn optional<T>(file: &ini::Ini, section: &str, key: &str) -> eyre::Result<Option<T>>
where
    T: std::str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    match text_of(file, section, key) {
        Ok(text) if !text.is_empty() => value(file, section, key).map(Some),
        _ => Ok(None),
    }
}

fn text_of<'a>(file: &'a ini::Ini, section: &str, key: &str) -> eyre::Result<&'a str> {
    let found = file.section(Some(section)).and_then(|found| found.get(key));
    found.ok_or_else(|| eyre::eyre!("[{section}] {key} is missing"))
}

fn value<T>(file: &ini::Ini, section: &str, key: &str) -> eyre::Result<T>
where
    T: std::str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = text_of(file, section, key)?;
    text.parse()
        .wrap_err(format!("[{section}] {key}: {text:?} is not a valid value"))
}
