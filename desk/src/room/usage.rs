//! How often each organisation uses an instance, and what its idle connections are worth.
//!
//! Addresses instances that accept fewer connections than there are organisations: each connection
//! serves one organisation, and opening another one takes 12 ms of a slot. The least recently used
//! connection is often that of a busy organisation, which needs it again at once.

use std::collections;
use std::time;

use mangotray::id;

use crate::organisation;

/// Work of the instance for a new connection, in seconds of a slot.
const OPENING_SECONDS: f64 = 0.012;

/// Time constant with which earlier uses lose weight. Long enough to tell apart organisations with
/// a few statements a second, and short enough to follow a change of the load within half a minute.
const MEMORY: time::Duration = time::Duration::from_secs(10);

/// Organisations with less weight than this are forgotten: 46 s after a single use.
const MIN_WEIGHT: f64 = 0.01;

/// Uses of an organisation, weighted by their age.
#[derive(Clone, Copy, Debug)]
struct Weight {
    weight: f64,
    at: id::Time,
}

impl Weight {
    fn at(self, now: id::Time) -> f64 {
        let age = now.saturating_sub(self.at);
        self.weight * (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

/// Recent uses of one instance by organisation.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    weights: collections::BTreeMap<organisation::Name, Weight>,
}

impl Usage {
    /// Records that an organisation uses the instance.
    pub fn note(&mut self, organisation: &organisation::Name, now: id::Time) {
        let weight = 1.0 + self.weight(organisation, now);
        if !self.weights.contains_key(organisation) {
            // Bounds the memory to organisations with recent uses, at no cost to the others.
            self.weights.retain(|_, weight| weight.at(now) > MIN_WEIGHT);
        }
        let weight = Weight { weight, at: now };
        self.weights.insert(organisation.clone(), weight);
    }

    /// Uses a second, of late.
    #[must_use]
    pub fn rate(&self, organisation: &organisation::Name, now: id::Time) -> f64 {
        self.weight(organisation, now) / MEMORY.as_secs_f64()
    }

    /// Work of the instance, in slots, that one of an organisation's `idle` connections saves: that
    /// of opening it again, as often as the organisation uses the instance, shared among them.
    ///
    /// ```
    /// use mangotray_desk::room::usage;
    /// use std::time::Duration;
    /// let mut usage = usage::Usage::default();
    /// let now = Duration::from_secs(1);
    /// usage.note(&"often".into(), now);
    /// usage.note(&"often".into(), now);
    /// usage.note(&"once".into(), now);
    /// assert!(usage.worth(&"often".into(), 1, now) > usage.worth(&"once".into(), 1, now));
    /// assert!(usage.worth(&"often".into(), 3, now) < usage.worth(&"once".into(), 1, now));
    /// ```
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // Some dozen connections at most.
    pub fn worth(&self, organisation: &organisation::Name, idle: usize, now: id::Time) -> f64 {
        OPENING_SECONDS * self.rate(organisation, now) / idle.max(1) as f64
    }

    fn weight(&self, organisation: &organisation::Name, now: id::Time) -> f64 {
        let weight = self.weights.get(organisation);
        weight.map_or(0.0, |weight| weight.at(now))
    }
}
