//! Whether a node may still rely on its configuration for who may call.
//!
//! The load that this answers: keys are taken away while some nodes are cut off from the store, turned away
//! by it, paused, or follow one that is slow. A key must not be served longer than a bound
//! after it was taken away, wherever its caller is connected. So a node serves keys only while it can prove that
//! its configuration was the newest less than the bound ago. The proof is the *beginning* of a
//! question that the store answered, by this node or, with its age, by another one.

use std::cell;
use std::time;

use mangotray::id;

/// Part of the bound for which evidence is good; the rest is for clocks that run apart.
const EXPIRED_PERCENT: u32 = 95;

/// Part of the bound after which the balancer is told to send nobody here: new callers would
/// have a part of a second before they are refused.
const EXPIRING_PERCENT: u32 = 60;

/// Part of the bound after which evidence is renewed.
const RENEWAL_PERCENT: u32 = 20;

/// Part of the bound after which a node that gets no evidence from others asks the store itself.
const ASK_STORE_PERCENT: u32 = 45;

/// After a return of the store, what it holds proves nothing for this long: the operators write
/// again what its older copy lacks.
const STORE_RESET_DISTRUST: time::Duration = time::Duration::from_secs(3);

/// What a node may do with keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Serve them.
    Valid,
    /// Serve them, but call nobody here.
    Expiring,
    /// Serve none.
    Expired,
}

/// What a node is to do about its evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing yet.
    None,
    /// Ask the node that has asked the store already.
    AskPeer,
    /// Ask the store.
    AskStore,
}

/// The latest moment at which the configuration in force was proven to be the newest.
#[derive(Debug)]
pub struct Validity {
    bound: time::Duration,
    proven_at: cell::Cell<Option<id::Time>>,
    distrusted_until: cell::Cell<id::Time>,
    changed: event_listener::Event,
}

impl Validity {
    /// No evidence yet; a key must not be served longer than `bound` after it was taken away.
    #[must_use]
    pub fn new(bound: time::Duration) -> Self {
        Self {
            bound,
            proven_at: cell::Cell::default(),
            distrusted_until: cell::Cell::default(),
            changed: event_listener::Event::new(),
        }
    }

    /// Notes that nothing newer than the configuration in force had been acknowledged at `moment`,
    /// as the store tells.
    pub fn confirm(&self, moment: id::Time, now: id::Time) {
        if now >= self.distrusted_until.get() {
            self.confirm_from_peer(moment, now);
        }
    }

    /// The same as another node tells, which relies on no store that has just come back either.
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
                "serving keys"
            );
        }
        self.changed.notify(usize::MAX);
    }

    /// Notes that the store has come back from an older copy, or may have done so just before this
    /// process started.
    pub fn note_store_reset(&self, now: id::Time) {
        self.distrusted_until.set(now + STORE_RESET_DISTRUST);
    }

    /// How old the evidence is.
    #[must_use]
    pub fn age(&self, now: id::Time) -> Option<time::Duration> {
        self.proven_at
            .get()
            .map(|moment| now.saturating_sub(moment))
    }

    /// What may be done with keys now.
    ///
    /// ```
    /// use mangotray_desk::validity;
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let validity = validity::Validity::new(seconds(5));
    /// assert_eq!(validity.state(seconds(9)), validity::State::Expired);
    /// validity.confirm(seconds(9), seconds(9));
    /// assert_eq!(validity.state(seconds(11)), validity::State::Valid);
    /// assert_eq!(validity.state(seconds(13)), validity::State::Expiring);
    /// assert_eq!(validity.state(seconds(14)), validity::State::Expired);
    /// ```
    #[must_use]
    pub fn state(&self, now: id::Time) -> State {
        match self.age(now) {
            Some(age) if age < self.bound * EXPIRING_PERCENT / 100 => State::Valid,
            Some(age) if age < self.bound * EXPIRED_PERCENT / 100 => State::Expiring,
            _ => State::Expired,
        }
    }

    /// What to do about the evidence now.
    #[must_use]
    pub fn next_action(&self, now: id::Time) -> Action {
        match self.age(now) {
            Some(age) if age < self.renewal() => Action::None,
            Some(age) if age < self.bound * ASK_STORE_PERCENT / 100 => Action::AskPeer,
            _ => Action::AskStore,
        }
    }

    /// Age at which evidence is renewed.
    #[must_use]
    pub fn renewal(&self) -> time::Duration {
        self.bound * RENEWAL_PERCENT / 100
    }

    /// Waits until there is newer evidence.
    pub fn renewed(&self) -> event_listener::EventListener {
        self.changed.listen()
    }
}
