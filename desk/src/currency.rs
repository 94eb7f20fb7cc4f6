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
const GOOD_PERCENT: u32 = 95;

/// Part of the bound after which the balancer is told to send nobody here: new callers would
/// have a part of a second before they are refused.
const ANNOUNCED_PERCENT: u32 = 60;

/// Part of the bound after which evidence is renewed.
const RENEWED_PERCENT: u32 = 20;

/// Part of the bound after which a node that gets no evidence from others asks the store itself.
const OWN_PERCENT: u32 = 45;

/// After a return of the store, what it holds proves nothing for this long: the operators write
/// again what its older copy lacks.
const DISTRUST: time::Duration = time::Duration::from_secs(3);

/// What a node may do with keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Serve them.
    Good,
    /// Serve them, but call nobody here.
    Ageing,
    /// Serve none.
    Expired,
}

/// What a node is to do about its evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Errand {
    /// Nothing yet.
    None,
    /// Ask the node that has asked the store already.
    Others,
    /// Ask the store.
    Store,
}

/// The latest moment at which the configuration in force was proven to be the newest.
#[derive(Debug)]
pub struct Currency {
    bound: time::Duration,
    moment: cell::Cell<Option<id::Time>>,
    distrusted: cell::Cell<id::Time>,
    changed: event_listener::Event,
}

impl Currency {
    /// No evidence yet; a key must not be served longer than `bound` after it was taken away.
    #[must_use]
    pub fn new(bound: time::Duration) -> Self {
        Self {
            bound,
            moment: cell::Cell::default(),
            distrusted: cell::Cell::default(),
            changed: event_listener::Event::new(),
        }
    }

    /// Notes that nothing newer than the configuration in force had been acknowledged at `moment`,
    /// as the store tells.
    pub fn confirm(&self, moment: id::Time, now: id::Time) {
        if now >= self.distrusted.get() {
            self.confirm_as_told(moment, now);
        }
    }

    /// The same as another node tells, which relies on no store that has just come back either.
    pub fn confirm_as_told(&self, moment: id::Time, now: id::Time) {
        if self.moment.get() >= Some(moment) {
            return;
        }
        let before = self.standing(now);
        self.moment.set(Some(moment));
        let after = self.standing(now);
        if before == Standing::Expired && after != Standing::Expired {
            tracing::info!(
                age_ms = now.saturating_sub(moment).as_millis(),
                "serving keys"
            );
        }
        self.changed.notify(usize::MAX);
    }

    /// Notes that the store has come back from an older copy, or may have done so just before this
    /// process started.
    pub fn note_return(&self, now: id::Time) {
        self.distrusted.set(now + DISTRUST);
    }

    /// How old the evidence is.
    #[must_use]
    pub fn age(&self, now: id::Time) -> Option<time::Duration> {
        self.moment.get().map(|moment| now.saturating_sub(moment))
    }

    /// What may be done with keys now.
    ///
    /// ```
    /// use mangotray_desk::currency;
    /// use std::time::Duration;
    /// let seconds = Duration::from_secs;
    /// let currency = currency::Currency::new(seconds(5));
    /// assert_eq!(currency.standing(seconds(9)), currency::Standing::Expired);
    /// currency.confirm(seconds(9), seconds(9));
    /// assert_eq!(currency.standing(seconds(11)), currency::Standing::Good);
    /// assert_eq!(currency.standing(seconds(13)), currency::Standing::Ageing);
    /// assert_eq!(currency.standing(seconds(14)), currency::Standing::Expired);
    /// ```
    #[must_use]
    pub fn standing(&self, now: id::Time) -> Standing {
        match self.age(now) {
            Some(age) if age < self.bound * ANNOUNCED_PERCENT / 100 => Standing::Good,
            Some(age) if age < self.bound * GOOD_PERCENT / 100 => Standing::Ageing,
            _ => Standing::Expired,
        }
    }

    /// What to do about the evidence now.
    #[must_use]
    pub fn errand(&self, now: id::Time) -> Errand {
        match self.age(now) {
            Some(age) if age < self.renewal() => Errand::None,
            Some(age) if age < self.bound * OWN_PERCENT / 100 => Errand::Others,
            _ => Errand::Store,
        }
    }

    /// Age at which evidence is renewed.
    #[must_use]
    pub fn renewal(&self) -> time::Duration {
        self.bound * RENEWED_PERCENT / 100
    }

    /// Waits until there is newer evidence.
    pub fn renewed(&self) -> event_listener::EventListener {
        self.changed.listen()
    }
}
