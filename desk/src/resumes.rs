//! Commands of this node that release held replicas and may arrive late.

use std::collections;
use std::time;

use mangotray::id;

/// A command without an answer arrives within this time or never: it waits for a connection for up
/// to 300 ms, the instance drops a broken connection after three seconds, and a full queue takes
/// 160 ms.
pub const MAX_DELIVERY_DELAY: time::Duration = time::Duration::from_secs(4);

/// A command that may still arrive.
struct PendingResume {
    group: id::Group,
    at: id::Time,
}

/// Unanswered commands to release replicas, and the groups with a promotion in progress.
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
/// let first = resumes.note_sent(&group, Duration::from_secs(1));
/// let second = resumes.note_sent(&group, Duration::from_secs(2));
/// resumes.note_answered(second);
/// let until = Duration::from_secs(1) + resumes::MAX_DELIVERY_DELAY;
/// assert_eq!(resumes.latest_arrival(&group, Duration::from_secs(2)), Some(until));
/// assert_eq!(resumes.latest_arrival(&"others".into(), Duration::from_secs(2)), None);
/// assert_eq!(resumes.latest_arrival(&group, until), None);
/// resumes.note_answered(first);
/// ```
#[derive(Default)]
pub struct Resumes {
    unanswered: collections::BTreeMap<u64, PendingResume>,
    last_number: u64,
    promoting_groups: collections::BTreeSet<id::Group>,
}

impl Resumes {
    /// Notes a command to a replica of this group and returns its number.
    pub fn note_sent(&mut self, group: &id::Group, now: id::Time) -> u64 {
        self.last_number += 1;
        let group = group.clone();
        self.unanswered
            .insert(self.last_number, PendingResume { group, at: now });
        self.last_number
    }

    /// Notes that a command has been carried out, or never will be.
    pub fn note_answered(&mut self, number: u64) {
        self.unanswered.remove(&number);
    }

    /// Latest time at which a command to a replica of this group may arrive; `None` if all have
    /// been answered.
    pub fn latest_arrival(&mut self, group: &id::Group, now: id::Time) -> Option<id::Time> {
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
            self.promoting_groups.insert(group.clone());
        } else {
            self.promoting_groups.remove(group);
        }
    }

    /// Whether a promotion of this group is in progress; nothing else may release its replicas.
    #[must_use]
    pub fn is_promoting(&self, group: &id::Group) -> bool {
        self.promoting_groups.contains(group)
    }
}
