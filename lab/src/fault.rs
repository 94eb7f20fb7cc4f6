//! Faults that a run injects, and their form on the command line.

use std::fmt;
use std::str;
use std::time;

/// Duration of a fault when the command line gives none.
const DEFAULT_DURATION: time::Duration = time::Duration::from_secs(8);

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The primary's process crashes, and restarts at the end of the fault.
    PrimaryCrash,
    /// The primary is partitioned from the rest of its group but still answers callers.
    PrimaryPartition,
    /// The primary's process is frozen, and resumes without noticing.
    PrimaryPause,
    /// Replication to a replica is delayed.
    ReplicaLag,
    /// A replica's process crashes, and restarts at the end of the fault.
    ReplicaCrash,
    /// A proxy crashes and does not restart.
    ProxyCrash,
    /// A proxy shuts down gracefully and does not restart.
    ProxyDrain,
    /// The platform's service is unavailable.
    PlatformOutage,
    /// The platform's service answers slowly.
    PlatformSlow,
    /// The platform's service carries out changes but loses some of the answers.
    PlatformLostAnswers,
}

/// All kinds with their names on the command line.
pub const KINDS: [(&str, Kind); 10] = [
    ("primary-crash", Kind::PrimaryCrash),
    ("primary-partition", Kind::PrimaryPartition),
    ("primary-pause", Kind::PrimaryPause),
    ("replica-lag", Kind::ReplicaLag),
    ("replica-crash", Kind::ReplicaCrash),
    ("proxy-crash", Kind::ProxyCrash),
    ("proxy-drain", Kind::ProxyDrain),
    ("platform-outage", Kind::PlatformOutage),
    ("platform-slow", Kind::PlatformSlow),
    ("platform-lost-answers", Kind::PlatformLostAnswers),
];

impl Kind {
    /// True for faults of a primary, after which another instance must be promoted.
    ///
    /// ```
    /// use mangotray_lab::fault::Kind;
    /// assert!(Kind::PrimaryPause.affects_primary());
    /// assert!(!Kind::ReplicaLag.affects_primary());
    /// ```
    #[must_use]
    pub const fn affects_primary(self) -> bool {
        matches!(
            self,
            Self::PrimaryCrash | Self::PrimaryPartition | Self::PrimaryPause
        )
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = KINDS.iter().find(|(_, kind)| kind == self);
        f.write_str(named.map_or("unnamed", |(name, _)| name))
    }
}

impl str::FromStr for Kind {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        let found = KINDS.iter().find(|(name, _)| *name == text);
        found.map(|(_, kind)| *kind).ok_or_else(|| {
            let known: Vec<_> = KINDS.iter().map(|(name, _)| *name).collect();
            eyre::eyre!("unknown fault {text:?}; known are {}", known.join(", "))
        })
    }
}

/// One fault of a run, written `NAME@SECONDS[+SECONDS][/N]`: kind, start, duration and
/// the affected group.
///
/// ```
/// use std::time::Duration;
/// use mangotray_lab::fault::{Fault, Kind};
/// let fault: Fault = "primary-pause@2.5+4/1".parse().unwrap();
/// assert_eq!(fault.kind, Kind::PrimaryPause);
/// assert_eq!(fault.start, Duration::from_millis(2500));
/// assert_eq!(fault.duration, Duration::from_secs(4));
/// assert_eq!(fault.group, 1);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: Kind,
    /// Start, counted from the start of the workload.
    pub start: time::Duration,
    /// Duration; ignored for a proxy, which does not restart.
    pub duration: time::Duration,
    /// Index of the affected group, from 0; ignored for faults of a proxy or the platform.
    pub group: usize,
}

impl str::FromStr for Fault {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        let (name, times) = text
            .split_once('@')
            .ok_or_else(|| eyre::eyre!("fault {text:?} is not of the form NAME@SECONDS"))?;
        let (times, group) = match times.split_once('/') {
            Some((times, group)) => (times, group.parse()?),
            None => (times, 0),
        };
        let (start, duration) = match times.split_once('+') {
            Some((start, duration)) => (start, seconds(duration)?),
            None => (times, DEFAULT_DURATION),
        };
        Ok(Self {
            kind: name.parse()?,
            start: seconds(start)?,
            duration,
            group,
        })
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (start, duration) = (self.start.as_secs_f64(), self.duration.as_secs_f64());
        write!(f, "{}@{start}+{duration}/{}", self.kind, self.group)
    }
}

fn seconds(text: &str) -> eyre::Result<time::Duration> {
    let seconds: f64 = text.parse()?;
    Ok(time::Duration::try_from_secs_f64(seconds)?)
}

#[cfg(test)]
mod tests;
