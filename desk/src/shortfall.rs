//! How long a promotion waits while its candidate lacks acknowledged commits.
//!
//! A commit is acknowledged once one replica has received it, which may be one that is not listed
//! yet. Such a replica is listed within some seconds, and the promotion then includes it.

use std::time;

use mangotray::id;
use mangotray::stamp;

/// Longest wait for a replica that has the acknowledged commits. Entries that expired during an
/// outage of the store are back two seconds after its return, and a new replica writes its first one
/// within its heartbeat interval.
const MAX_WAIT: time::Duration = time::Duration::from_secs(5);

/// A shortfall of a group's candidate, as last noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Highest acknowledged position, which the candidate lacks.
    pub acknowledged: stamp::Stamp,
    since: id::Time,
    noticed_at: id::Time,
}

impl Shortfall {
    /// Notes that the candidate lacks `acknowledged`, after an earlier shortfall of the group if
    /// there was one. The wait begins anew when more was acknowledged, as then some replica that is
    /// not known receives records, or when the earlier shortfall is long past.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::shortfall;
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let first = shortfall::Shortfall::note(None, Stamp::new(1, 7), seconds(10));
    /// let second = shortfall::Shortfall::note(Some(first), Stamp::new(1, 7), seconds(13));
    /// assert!(!second.is_over(seconds(14)));
    /// assert!(second.is_over(seconds(15)));
    /// let more = shortfall::Shortfall::note(Some(second), Stamp::new(1, 8), seconds(14));
    /// assert!(!more.is_over(seconds(15)));
    /// let much_later = shortfall::Shortfall::note(Some(more), Stamp::new(1, 8), seconds(99));
    /// assert!(!much_later.is_over(seconds(100)));
    /// ```
    #[must_use]
    pub fn note(before: Option<Self>, acknowledged: stamp::Stamp, now: id::Time) -> Self {
        let continues = |before: &Self| {
            before.acknowledged >= acknowledged && now < before.noticed_at + MAX_WAIT
        };
        let since = before.filter(continues).map_or(now, |before| before.since);
        Self {
            acknowledged,
            since,
            noticed_at: now,
        }
    }

    /// Whether the wait is over: no instance that has the commits is expected any more.
    #[must_use]
    pub fn is_over(&self, now: id::Time) -> bool {
        now >= self.since + MAX_WAIT
    }
}
