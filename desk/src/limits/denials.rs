//! Remembers which organisations are over their limits, so that their operations are refused
//! without a request to another node.
//!
//! Addresses an organisation that sends many times its limit: its callers are told a true time to
//! come back, and only one operation at a time asks whether the limit allows it again.

use std::collections;
use std::time;

use mangotray::id;

use crate::access;
use crate::limits::allowance;
use crate::organisation;

/// Time for which others are refused while one operation asks. Longer than an answer takes.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// An organisation whose last request was denied.
#[derive(Clone, Copy, Debug)]
struct Denial {
    refusal: access::Refusal,
    until: id::Time,
    /// Version of the configuration with the limit.
    version: id::Revision,
    /// An operation asks again until this time at most.
    asking_until: Option<id::Time>,
    /// Operations have been granted since; the entry stays for a while so that an organisation at
    /// its limit is not logged with each token.
    ended: bool,
}

/// The denials that a node remembers.
#[derive(Debug, Default)]
pub struct Denials {
    entries: collections::BTreeMap<organisation::Name, Denial>,
}

impl Denials {
    /// Creates an empty memory.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            entries: collections::BTreeMap::new(),
        }
    }

    /// Returns the refusal of an operation that is not to ask for a token.
    ///
    /// ```
    /// use mangotray_desk::{access, limits::denials};
    /// use std::time::Duration;
    /// let mut denials = denials::Denials::new();
    /// let millis = Duration::from_millis;
    /// let over = access::Refusal::OverQuota(millis(300));
    /// denials.learn(&"dome".into(), 1, Some(over), millis(0));
    /// let left = access::Refusal::OverQuota(millis(200));
    /// assert_eq!(denials.check(&"dome".into(), 1, millis(100)), Some(left));
    /// // One operation asks again, the others wait for its answer.
    /// assert_eq!(denials.check(&"dome".into(), 1, millis(300)), None);
    /// assert!(denials.check(&"dome".into(), 1, millis(301)).is_some());
    /// denials.learn(&"dome".into(), 1, None, millis(302));
    /// assert_eq!(denials.check(&"dome".into(), 1, millis(303)), None);
    /// ```
    pub fn check(
        &mut self,
        name: &organisation::Name,
        version: id::Revision,
        now: id::Time,
    ) -> Option<access::Refusal> {
        let denial = self.entries.get_mut(name)?;
        if denial.version != version {
            self.entries.remove(name);
            return None;
        }
        if denial.ended {
            return None;
        }
        let asking = denial.asking_until.is_some_and(|until| now < until);
        if now >= denial.until && !asking {
            denial.asking_until = Some(now + ASK_TIMEOUT);
            return None;
        }
        let left = denial.until.saturating_sub(now).max(allowance::MIN_DELAY);
        Some(denial.refusal.with_delay(left))
    }

    /// Records the answer to a request for a token: `None` if it was granted.
    pub fn learn(
        &mut self,
        name: &organisation::Name,
        version: id::Revision,
        refusal: Option<access::Refusal>,
        now: id::Time,
    ) {
        let Some(refusal) = refusal else {
            if let Some(denial) = self.entries.get_mut(name) {
                denial.ended = true;
            }
            return;
        };
        let Some(delay) = refusal.delay() else {
            return;
        };
        let denial = Denial {
            refusal,
            until: now + delay,
            version,
            asking_until: None,
            ended: false,
        };
        if self.entries.insert(name.clone(), denial).is_none() {
            tracing::info!(organisation = %name, reason = refusal.label(), ?delay, "operations of an organisation are refused without asking");
        }
    }

    /// Removes denials that ended some time ago.
    pub fn prune(&mut self, now: id::Time) {
        self.entries.retain(|name, denial| {
            let keep = now < denial.until + allowance::MAX_DELAY;
            if !keep {
                tracing::info!(organisation = %name, "operations of an organisation are no longer refused without asking");
            }
            keep
        });
    }
}
