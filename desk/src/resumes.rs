//! Commands of this node that end holds, and may arrive late.

use std::collections;
use std::time;

use mangotray::id;

/// A command that got no answer arrives within this time or never: it waits for its turn for up to 300 ms, the
/// instance drops a dead connection after three seconds, and a full queue takes 160 ms.
pub const MAX_DELIVERY_DELAY: time::Duration = time::Duration::from_secs(4);

/// A command that may be on its way.
struct Sent {
    group: id::Group,
    at: id::Time,
}

/// Ends of holds that are on their way, and the groups of which a promotion is under way.
///
/// The end of a hold names no term, and commands on different connections arrive in any order: one that is
/// late ends the hold of a later promotion, whose old primary may then acknowledge what its successor never
/// gets. No order leaves while one may be on its way.
///
/// ```
/// use mangotray_desk::resumes;
/// use std::time::Duration;
/// let group = "bookings".into();
/// let mut resumes = resumes::Resumes::default();
/// let first = resumes.sent(&group, Duration::from_secs(1));
/// let second = resumes.sent(&group, Duration::from_secs(2));
/// resumes.answered(second);
/// let until = Duration::from_secs(1) + resumes::MAX_DELIVERY_DELAY;
/// assert_eq!(resumes.until(&group, Duration::from_secs(2)), Some(until));
/// assert_eq!(resumes.until(&"others".into(), Duration::from_secs(2)), None);
/// assert_eq!(resumes.until(&group, until), None);
/// resumes.answered(first);
/// ```
#[derive(Default)]
pub struct Resumes {
    unanswered: collections::BTreeMap<u64, Sent>,
    count: u64,
    promoting: collections::BTreeSet<id::Group>,
}

impl Resumes {
    /// Notes a command to a replica of this group; its number tells it from others.
    pub fn sent(&mut self, group: &id::Group, now: id::Time) -> u64 {
        self.count += 1;
        let group = group.clone();
        self.unanswered.insert(self.count, Sent { group, at: now });
        self.count
    }

    /// Notes that a command has been carried out, or never will be.
    pub fn answered(&mut self, number: u64) {
        self.unanswered.remove(&number);
    }

    /// Until when a command to a replica of this group may arrive; none where all have been answered.
    pub fn until(&mut self, group: &id::Group, now: id::Time) -> Option<id::Time> {
        self.unanswered
            .retain(|_, sent| now < sent.at + MAX_DELIVERY_DELAY);
        let sent = self.unanswered.values().filter(|sent| sent.group == *group);
        sent.map(|sent| sent.at + MAX_DELIVERY_DELAY).max()
    }

    /// Notes that a promotion of this group begins, or is over.
    ///
    /// ```
    /// use mangotray_desk::resumes;
    /// let mut resumes = resumes::Resumes::default();
    /// resumes.set_promoting(&"bookings".into(), true);
    /// assert!(resumes.is_promoting(&"bookings".into()));
    /// resumes.set_promoting(&"bookings".into(), false);
    /// assert!(!resumes.is_promoting(&"bookings".into()));
    /// ```
    pub fn set_promoting(&mut self, group: &id::Group, promotes: bool) {
        if promotes {
            self.promoting.insert(group.clone());
        } else {
            self.promoting.remove(group);
        }
    }

    /// Whether a promotion of this group is under way, whose holds nobody else may end.
    #[must_use]
    pub fn is_promoting(&self, group: &id::Group) -> bool {
        self.promoting.contains(group)
    }
}
