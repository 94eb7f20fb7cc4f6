//! Whether a node may still accept keys by its configuration.
//!
//! Keys are revoked while some nodes are partitioned from the store, refused by it, paused, or
//! follow a slow copy of it. A revoked key must not be accepted for longer than a bound, on any
//! node. A node therefore accepts keys only while it has proof that its configuration was the
//! newest less than the bound ago. The proof is the time at which a request to the store was *sent*
//! that the store then answered. The request is the node's own, or that of another node, which
//! reports its age.

use std::cell;
use std::time;

use mangotray::id;

/// Age, as a percentage of the bound, at which the proof expires; the rest allows for clock drift.
const EXPIRED_PERCENT: u32 = 95;

/// Age, as a percentage of the bound, at which the node reports to the load balancer that it is not
/// ready: new callers would be refused within a fraction of a second.
const EXPIRING_PERCENT: u32 = 60;

/// Time after a reset of the store to an older copy during which its answers prove nothing: the
/// operators first write the missing entries again.
const STORE_RESET_DISTRUST: time::Duration = time::Duration::from_secs(3);

/// Whether a node may accept keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Keys are accepted.
    Valid,
    /// Keys are accepted, but the node reports that it is not ready for new callers.
    Expiring,
    /// No key is accepted.
    Expired,
}

/// The latest time at which the configuration in force was proven to be the newest.
#[derive(Debug)]
pub struct Validity {
    /// How long a key may be accepted after its revocation; `None` if for any time.
    bound: Option<time::Duration>,
    proven_at: cell::Cell<Option<id::Time>>,
    distrusted_until: cell::Cell<id::Time>,
    changed: event_listener::Event,
}

impl Validity {
    /// Creates a validity without proof. A key must not be accepted longer than `bound` after it was
    /// revoked; without a bound, keys are always accepted.
    #[must_use]
    pub fn new(bound: Option<time::Duration>) -> Self {
        Self {
            bound,
            proven_at: cell::Cell::default(),
            distrusted_until: cell::Cell::default(),
            changed: event_listener::Event::new(),
        }
    }

    /// Records the store's answer that nothing newer than the configuration in force had been
    /// acknowledged at `moment`. Ignored for a while after a reset of the store.
    pub fn confirm(&self, moment: id::Time, now: id::Time) {
        if now >= self.distrusted_until.get() {
            self.confirm_from_peer(moment, now);
        }
    }

    /// Like [`Validity::confirm`], for the answer of a peer. The peer itself ignores a store that
    /// has just been reset.
    pub fn confirm_from_peer(&self, moment: id::Time, now: id::Time) {
        if self.proven_at.get() >= Some(moment) {
            return;
        }
        let before = self.state(now);
        self.proven_at.set(Some(moment));
        let after = self.state(now);
        if before == State::Expired && after != State::Expired {
            tracing::info!(
                age_ms = now.saturating_sub(moment).as_millis(),
                "accepting keys"
            );
        }
        self.changed.notify(usize::MAX);
    }

    /// Records that the store was reset to an older copy, or may have been just before this process
    /// started.
    pub fn note_store_reset(&self, now: id::Time) {
        self.distrusted_until.set(now + STORE_RESET_DISTRUST);
    }

    /// Whether keys are accepted only while there is a proof.
    #[must_use]
    pub const fn is_bounded(&self) -> bool {
        self.bound.is_some()
    }

    /// Age of the proof; `None` if there is none.
    #[must_use]
    pub fn age(&self, now: id::Time) -> Option<time::Duration> {
        self.proven_at
            .get()
            .map(|moment| now.saturating_sub(moment))
    }

    /// Whether keys are accepted at `now`.
    ///
    /// ```
    /// use mangotray_desk::validity;
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let validity = validity::Validity::new(Some(seconds(5)));
    /// assert_eq!(validity.state(seconds(9)), validity::State::Expired);
    /// validity.confirm(seconds(9), seconds(9));
    /// assert_eq!(validity.state(seconds(11)), validity::State::Valid);
    /// assert_eq!(validity.state(seconds(13)), validity::State::Expiring);
    /// assert_eq!(validity.state(seconds(14)), validity::State::Expired);
    /// ```
    #[must_use]
    pub fn state(&self, now: id::Time) -> State {
        let Some(bound) = self.bound else {
            return State::Valid;
        };
        match self.age(now) {
            Some(age) if age < bound * EXPIRING_PERCENT / 100 => State::Valid,
            Some(age) if age < bound * EXPIRED_PERCENT / 100 => State::Expiring,
            _ => State::Expired,
        }
    }

    /// Returns a listener for the next renewal.
    pub fn renewed(&self) -> event_listener::EventListener {
        self.changed.listen()
    }
}
