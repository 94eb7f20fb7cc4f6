//! Instances that are missing from the list of instances, and when they count as ended.
//!
//! An instance that can't write its entry still receives records, so commits are acknowledged
//! because of it, and one that has lost its power comes back with its log. If a promotion passes
//! over it, acknowledged commits are lost. So an instance counts as ended only by evidence: another
//! process at its address, a refusal there, or the operators' word. Silence is none, however long
//! it lasts.

use std::time;

use mangotray::id;

/// An instance that hasn't announced its end counts as ended only if its address has refused every
/// connection for this long: it may do so for a while as the process restarts.
const RESTART_GRACE: time::Duration = time::Duration::from_millis(5500);

/// An unlisted instance that is silent for this long is probed at longer intervals.
const DORMANT_AFTER: time::Duration = time::Duration::from_secs(9);

/// A primary is handed over once its entry has been missing for this long. Entries that expired
/// while the store was unavailable come back within two seconds of its return, and the list takes
/// some time to report them.
const OVERDUE_AFTER: time::Duration = time::Duration::from_secs(3);

/// The last known activity of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    /// When it last answered anything.
    pub last_answer: id::Time,
    /// Since when its address has refused every connection; `None` if the last one was not refused.
    pub refused_since: Option<id::Time>,
    /// Another instance answered there, so its process has ended.
    pub replaced: bool,
}

/// Standing of an instance in its group, as far as this node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The last known primary.
    Primary,
    /// Another instance is known to lead.
    Follower,
    /// No instance is known to lead, and this one wasn't the last.
    Vacant,
}

/// An instance that is missing from the list.
///
/// ```
/// use mangotray_desk::absence::{Absence, Activity, Standing};
/// use std::time::Duration;
/// let seconds = Duration::from_secs;
/// let absence = Absence { unlisted_since: seconds(9), noticed_at: seconds(10), end_announced: false };
/// let silent = Activity { last_answer: seconds(9), refused_since: None, replaced: false };
/// // It may run out of this node's reach, or come back with its log.
/// assert!(!absence.has_ended(silent, Standing::Follower, seconds(900)));
/// let replaced = Activity { replaced: true, ..silent };
/// assert!(absence.has_ended(replaced, Standing::Primary, seconds(10)));
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
    /// The absence of an instance that this node knows from its record alone, found at `now`.
    /// One that had left then has been missing for long.
    ///
    /// ```
    /// use mangotray_desk::absence::Absence;
    /// use std::time::Duration;
    /// let now = Duration::from_secs(100);
    /// assert!(Absence::recorded(true, now).has_left(now));
    /// assert!(!Absence::recorded(false, now).has_left(now + Duration::from_secs(60)));
    /// ```
    #[must_use]
    pub const fn recorded(left: bool, now: id::Time) -> Self {
        Self {
            unlisted_since: now,
            noticed_at: if left {
                now.saturating_sub(OVERDUE_AFTER)
            } else {
                now
            },
            end_announced: left,
        }
    }

    /// Whether the instance has left as planned: it had announced its end, and is not listed again
    /// within the time that the list needs to become complete.
    ///
    /// ```
    /// use mangotray_desk::absence::Absence;
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let absence = Absence { unlisted_since: seconds(9), noticed_at: seconds(10), end_announced: true };
    /// assert!(!absence.has_left(seconds(11)));
    /// assert!(absence.has_left(seconds(14)));
    /// ```
    #[must_use]
    pub fn has_left(&self, now: id::Time) -> bool {
        self.end_announced && self.is_overdue(now)
    }

    /// Whether there is evidence that the instance has ended.
    ///
    /// A refusal shows that its process has ended. For a [`Standing::Follower`] that suffices if it had announced
    /// its end, or if another instance is known to lead, whose answers bound the records that this
    /// one may have confirmed. The last known primary comes back with its log, or a successor at its
    /// address does.
    ///
    /// ```
    /// use mangotray_desk::absence::{Absence, Activity, Standing};
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let absence = Absence { unlisted_since: seconds(9), noticed_at: seconds(10), end_announced: false };
    /// let refused = Activity { last_answer: seconds(9), refused_since: Some(seconds(10)), replaced: false };
    /// assert!(absence.has_ended(refused, Standing::Follower, seconds(16)));
    /// assert!(!absence.has_ended(refused, Standing::Vacant, seconds(16)));
    /// assert!(!absence.has_ended(refused, Standing::Primary, seconds(16)));
    /// ```
    #[must_use]
    pub fn has_ended(&self, activity: Activity, standing: Standing, now: id::Time) -> bool {
        let refused = activity.refused_since.is_some_and(|since| match standing {
            Standing::Primary => false,
            _ if self.end_announced => true,
            Standing::Vacant => false,
            Standing::Follower => {
                now > since.max(self.unlisted_since).max(activity.last_answer) + RESTART_GRACE
            }
        });
        activity.replaced || refused
    }

    /// Whether it has been silent for so long that an answer is unlikely.
    ///
    /// ```
    /// use mangotray_desk::absence;
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let absence = absence::Absence { unlisted_since: seconds(9), noticed_at: seconds(10), end_announced: false };
    /// let silent = absence::Activity { last_answer: seconds(9), refused_since: None, replaced: false };
    /// assert!(!absence.is_dormant(silent, seconds(15)));
    /// assert!(absence.is_dormant(silent, seconds(20)));
    /// ```
    #[must_use]
    pub fn is_dormant(&self, activity: Activity, now: id::Time) -> bool {
        now > activity.last_answer.max(self.unlisted_since) + DORMANT_AFTER
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
