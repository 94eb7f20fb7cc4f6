//! When a node renews its proof that its configuration is the newest.
//!
//! Nodes follow the configuration by watches, whose answers may be seconds old, and a change must be
//! in force within a bound. A node whose proof is younger than the bound has missed no change for
//! longer.

use std::time;

/// Age, as a percentage of the bound, at which the proof is renewed.
const RENEWAL_PERCENT: u32 = 20;

/// Age, as a percentage of the bound, at which a node that gets no proof from its peers asks the
/// store itself. The rest allows for one call without an answer and one that succeeds.
const ASK_STORE_PERCENT: u32 = 45;

/// How a node renews its proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// No renewal is due.
    None,
    /// Ask the peer that queries the store for its failure domain.
    AskPeer,
    /// Ask the store.
    AskStore,
}

/// Renewals of a proof that may not grow older than a bound.
///
/// ```
/// use mangotray_desk::schedule;
/// use std::time::Duration;
/// let schedule = schedule::Schedule::new(Duration::from_secs(3));
/// let action = |millis| schedule.next_action(Some(Duration::from_millis(millis)));
/// assert_eq!(action(500), schedule::Action::None);
/// assert_eq!(action(700), schedule::Action::AskPeer);
/// assert_eq!(action(1400), schedule::Action::AskStore);
/// assert_eq!(schedule.next_action(None), schedule::Action::AskStore);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    bound: time::Duration,
}

impl Schedule {
    /// Creates a schedule for a proof that may not grow older than `bound`.
    #[must_use]
    pub const fn new(bound: time::Duration) -> Self {
        Self { bound }
    }

    /// Age at which the proof is renewed.
    #[must_use]
    pub fn renewal(&self) -> time::Duration {
        self.bound * RENEWAL_PERCENT / 100
    }

    /// Whether changes that have been missing for so long are to be read from the store itself.
    #[must_use]
    pub fn is_overdue(&self, lag: time::Duration) -> bool {
        lag >= self.bound * ASK_STORE_PERCENT / 100
    }

    /// How a proof of this age is to be renewed; `None` if there is no proof.
    #[must_use]
    pub fn next_action(&self, age: Option<time::Duration>) -> Action {
        match age {
            Some(age) if age < self.renewal() => Action::None,
            Some(age) if !self.is_overdue(age) => Action::AskPeer,
            _ => Action::AskStore,
        }
    }
}
