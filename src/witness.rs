//! What a VM can testify about its own contact with the platform's store.
//!
//! The same testimony serves two opposite ends: a VM whose lease cannot be renewed keeps
//! its seats while most of its witnesses have had no contact either, and another may take
//! these seats over only when enough of them have. One witness cannot serve both.

use std::time;

use crate::id;

/// Witnesses of a VM's seats. A majority outlives the loss of one of three failure
/// domains together with the owner, and the replacement of any three witnesses while the
/// store is out. They are chosen like serving sets, over all known VMs but the owner, so
/// that they seldom change: each change rewrites the owner's entries.
pub const COUNT: usize = 7;

/// Testimony of one VM at the moment it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// It has had no contact for this long, by its own clock.
    pub silent: time::Duration,
    /// Whether there was a contact before that since its process started.
    pub contacted: bool,
}

/// A VM's record of its own contact with the store.
///
/// ```
/// use std::time::Duration;
/// use mangotray::witness;
/// let mut witness = witness::Witness::new(Duration::from_secs(5));
/// assert!(!witness.report(Duration::from_secs(6)).contacted);
/// witness.contact(Duration::from_secs(7));
/// let report = witness.report(Duration::from_secs(9));
/// assert_eq!(report.silent, Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Witness {
    started: id::Time,
    last: Option<id::Time>,
}

impl Witness {
    /// A process that started now and remembers nothing of earlier ones.
    #[must_use]
    pub fn new(now: id::Time) -> Self {
        Self {
            started: now,
            last: None,
        }
    }

    /// Notes an answered renewal, whatever the answer. Reads do not count: while only
    /// writes fail, no seat can change hands and all owners have to keep theirs.
    pub fn contact(&mut self, answered: id::Time) {
        self.last = self.last.max(Some(answered));
    }

    /// The testimony as of now. Without a contact it reaches back to the start of the
    /// process only: an earlier process on this VM may have testified otherwise.
    #[must_use]
    pub fn report(&self, now: id::Time) -> Report {
        let since = self.last.unwrap_or(self.started);
        Report {
            silent: now.saturating_sub(since),
            contacted: self.last.is_some(),
        }
    }
}
