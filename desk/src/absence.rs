//! Instances that are missing from the list of instances, and when they count as ended.
//!
//! An instance that can't write its entry for seconds still receives records, so commits are
//! acknowledged because of it. If a promotion passes over it while it runs, acknowledged commits
//! are lost; if a promotion waits for it after it has ended, the group has no primary.

use std::time;

use mangotray::id;

/// How long an instance that hasn't announced its end may run without an entry after its last
/// answer, even if its address refuses connections: it may do so while the process runs or
/// restarts.
const RESTART_GRACE: time::Duration = time::Duration::from_millis(5500);

/// Silence after which an unlisted instance that announced its end counts as ended. It is probed
/// each second, and an instance under load answers within a quarter of one.
const ANNOUNCED_SILENCE: time::Duration = time::Duration::from_millis(2500);

/// Silence after which an instance that hasn't announced its end counts as ended. A crashed
/// instance is unlisted three heartbeats after its last answer and has been silent for this long
/// [`RESTART_GRACE`] later. An instance that still answers without an entry is running, and may
/// only be cut off from this node.
const UNANNOUNCED_SILENCE: time::Duration = time::Duration::from_secs(9);

/// A primary is handed over once its entry has been missing for this long. Entries that expired
/// while the store was unavailable come back within two seconds of its return, and the list takes
/// some time to report them.
const OVERDUE_AFTER: time::Duration = time::Duration::from_secs(3);

/// The last known activity of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// When it last answered anything.
    pub last_answer: id::Time,
    /// Its address refused the last connection, or another instance answered there.
    pub connection_refused: bool,
    /// Another instance answered there, so its process has ended.
    pub replaced: bool,
}

/// An instance that is missing from the list.
///
/// ```
/// use mangotray_desk::absence;
/// use std::time::Duration;
/// let seconds = Duration::from_secs;
/// let absence = absence::Absence { unlisted_since: seconds(9), noticed_at: seconds(10), end_announced: false };
/// let answers = |at| absence::Activity { last_answer: at, connection_refused: false, replaced: false };
/// // It is running and may confirm commits.
/// assert!(!absence.has_ended(answers(seconds(39)), seconds(40)));
/// assert!(absence.has_ended(answers(seconds(20)), seconds(40)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// Time of the first list without it.
    pub unlisted_since: id::Time,
    /// When this node received that list.
    pub noticed_at: id::Time,
    /// It had announced its end before.
    pub end_announced: bool,
}

impl Absence {
    /// Whether the instance has ended, by both the list and its own activity.
    ///
    /// ```
    /// use mangotray_desk::absence;
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let absence = absence::Absence { unlisted_since: seconds(9), noticed_at: seconds(10), end_announced: true };
    /// let ended = absence::Activity { last_answer: seconds(9), connection_refused: true, replaced: false };
    /// assert!(absence.has_ended(ended, seconds(10)));
    /// ```
    #[must_use]
    pub fn has_ended(&self, activity: Activity, now: id::Time) -> bool {
        let last_seen = self.unlisted_since.max(activity.last_answer);
        let may_return =
            !self.end_announced && !activity.replaced && now <= last_seen + RESTART_GRACE;
        let silent = if self.end_announced {
            now > activity.last_answer.max(self.noticed_at) + ANNOUNCED_SILENCE
        } else {
            now > activity.last_answer + UNANNOUNCED_SILENCE
        };
        !may_return && (activity.connection_refused || silent)
    }

    /// Whether it has been missing for longer than the list needs to become complete again.
    ///
    /// ```
    /// use mangotray_desk::absence;
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let absence = absence::Absence { unlisted_since: seconds(9), noticed_at: seconds(10), end_announced: false };
    /// assert!(!absence.is_overdue(seconds(11)));
    /// assert!(absence.is_overdue(seconds(14)));
    /// ```
    #[must_use]
    pub fn is_overdue(&self, now: id::Time) -> bool {
        now >= self.noticed_at + OVERDUE_AFTER
    }
}
