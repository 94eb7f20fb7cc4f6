//! Faults by name and time.

use std::fmt;
use std::str;
use std::time;

/// How long a fault lasts when the command line does not say.
const DEFAULT_DURATION: time::Duration = time::Duration::from_secs(8);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The primary's process ends; it starts again when the fault is over.
    PrimaryCrash,
    /// The primary is cut off from the rest of its group and still answers callers.
    PrimaryPartition,
    /// The primary's process stands still, and goes on unaware.
    PrimaryPause,
    /// A replica applies the log late.
    ReplicaLag,
    /// A replica's process ends; it starts again when the fault is over.
    ReplicaCrash,
    /// A proxy ends abruptly.
    ProxyCrash,
    /// A proxy shuts down gracefully.
    ProxyDrain,
    /// The platform's service answers nobody.
    PlatformOutage,
    /// The platform's service answers late.
    PlatformSlow,
    /// The platform's service loses answers after the change has taken effect.
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
    /// True for faults after which another instance has to lead.
    ///
    /// ```
    /// use mangotray_lab::fault::Kind;
    /// assert!(Kind::PrimaryPause.hits_primary());
    /// assert!(!Kind::ReplicaLag.hits_primary());
    /// ```
    #[must_use]
    pub const fn hits_primary(self) -> bool {
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
            eyre::eyre!("no fault {text:?}; there are {}", known.join(", "))
        })
    }
}

/// One fault of a run, written `NAME@SECONDS`, with `+SECONDS` for how long it lasts
/// and `/N` for the group it hits.
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
    /// What goes wrong.
    pub kind: Kind,
    /// When, counted from the start of the workload.
    pub start: time::Duration,
    /// How long; a drained or crashed proxy stays away.
    pub duration: time::Duration,
    /// Group that it hits, counted from 0; of no meaning for proxies and platform.
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
