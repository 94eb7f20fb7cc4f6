//! Commands of this node that release held replicas and may arrive late.

use std::collections;
use std::time;

use mangotray::id;

/// A command without an answer arrives within this time or never: it waits for a connection for up
/// to 300 ms, the instance drops a broken connection after three seconds, and a full queue takes
/// 160 ms.
pub const MAX_DELIVERY_DELAY: time::Duration = time::Duration::from_secs(4);

/// A command that may still arrive.
struct Sent {
    group: id::Group,
    at: id::Time,
}

/// Unanswered commands to release replicas, and the groups with a promotion under way.
///
/// The command names no term, and commands on different connections arrive in any order. A late
/// command releases a replica held for a later promotion, whose old primary may then acknowledge
/// writes that its successor never gets. Therefore no order is sent while such a command may still
/// arrive.
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
    /// Notes a command to a replica of this group and returns its number.
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

    /// Until when a command to a replica of this group may arrive; `None` if all have been
    /// answered.
    pub fn until(&mut self, group: &id::Group, now: id::Time) -> Option<id::Time> {
        self.unanswered
            .retain(|_, sent| now < sent.at + MAX_DELIVERY_DELAY);
        let sent = self.unanswered.values().filter(|sent| sent.group == *group);
        sent.map(|sent| sent.at + MAX_DELIVERY_DELAY).max()
    }

    /// Notes that a promotion of this group begins or is over.
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

    /// Whether a promotion of this group is in progress; nothing else may release its replicas.
    #[must_use]
    pub fn is_promoting(&self, group: &id::Group) -> bool {
        self.promoting.contains(group)
    }
}
