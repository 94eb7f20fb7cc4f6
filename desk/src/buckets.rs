//! Counts the operations of organisations for the whole fleet.
//!
//! The load that this answers: an organisation's callers are connected to all nodes, each of which sees
//! a few of its operations, and one organisation sends many times its usual. For each organisation one node, chosen by
//! hash, hands out a token for each operation. What it had handed out when it ended is not known
//! to its successor, so that a count begins with next to nothing in place of a whole burst.

use std::collections;
use std::time;

use mangotray::id;

use crate::bucket;
use crate::organisation;
use crate::quota;
use crate::tolerance;

/// Part of what is tolerated above the quota that a count begins with. What its predecessor
/// handed out and this together stay within what is tolerated.
const INITIAL_PART: f64 = 0.25;

/// The same for what a deputy hands out at once while the node that counts is silent and may yet
/// be at work.
const DEPUTY_BURST_PART: f64 = 0.1;

/// The same for what a deputy hands out in a window on top of that.
const DEPUTY_PART: f64 = 0.6;

/// A deputy that was not asked for this long is none any more.
const DEPUTY_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Accounts that nobody used for this long are forgotten; they would be full.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// Why a node is asked.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Reason {
    /// It is the one that counts.
    Counting,
    /// The process that counts is gone: its address refuses connections.
    Gone,
    /// The node that counts does not answer whoever asks here, and may be at work for others.
    Silent,
}

/// A question for one token.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Whose operation it is.
    pub organisation: organisation::Name,
    /// Its limit by the configuration of the node that asks.
    pub quota: quota::Quota,
    /// The version of that configuration.
    pub version: id::Revision,
    /// Why this node is asked.
    pub turn: Reason,
}

/// What becomes of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Decision {
    /// It may begin.
    Granted,
    /// The limit is reached; there is a token after this time.
    Denied(time::Duration),
    /// Nobody knows whether the limit is reached: the node that counts is silent, and its deputy has
    /// handed out what it may meanwhile; it may hand out the next after this time.
    Unknown(time::Duration),
}

/// What is kept of one organisation.
struct Entry {
    bucket: bucket::Bucket,
    /// What a deputy hands out while the node that counts may be at work.
    deputy: Option<Deputy>,
    used: id::Time,
}

struct Deputy {
    since: id::Time,
    asked: id::Time,
    bucket: bucket::Bucket,
}

/// The entries of the organisations that a node counts for.
pub struct Buckets {
    tolerance: tolerance::Tolerance,
    /// A silent node is past counting after this long.
    takeover: time::Duration,
    entries: collections::BTreeMap<organisation::Name, Entry>,
}

impl Buckets {
    /// A ledger without entries. A node that counts and is silent for others has nobody left to
    /// count for after `takeover`.
    #[must_use]
    pub const fn new(tolerance: tolerance::Tolerance, takeover: time::Duration) -> Self {
        Self {
            tolerance,
            takeover,
            entries: collections::BTreeMap::new(),
        }
    }

    /// Decides about one operation.
    ///
    /// ```
    /// use mangotray_desk::{buckets, quota, tolerance};
    /// use std::time::Duration;
    /// let mut buckets = buckets::Buckets::new(tolerance::Tolerance::default(), Duration::from_secs(5));
    /// let request = buckets::Request {
    ///     organisation: "dome".into(),
    ///     quota: quota::Quota { rate: 10.0, burst: 10.0 },
    ///     version: 1,
    ///     turn: buckets::Reason::Counting,
    /// };
    /// assert!(matches!(buckets.decide(&request, Duration::ZERO), buckets::Decision::Denied(_)));
    /// assert_eq!(buckets.decide(&request, Duration::from_millis(100)), buckets::Decision::Granted);
    /// ```
    pub fn decide(&mut self, request: &Request, now: id::Time) -> Decision {
        let excess = self.tolerance.excess_operations(&request.quota);
        let takeover = self.takeover;
        let entry = self
            .entries
            .entry(request.organisation.clone())
            .or_insert_with(|| {
                let initial = if request.turn == Reason::Counting {
                    excess * INITIAL_PART
                } else {
                    0.0
                };
                Entry {
                    bucket: bucket::Bucket::new(initial, now),
                    deputy: None,
                    used: now,
                }
            });
        entry.used = now;
        match request.turn {
            Reason::Counting | Reason::Gone => {
                let taken = entry.bucket.take(&request.quota, now);
                taken.map_or_else(Decision::Denied, |()| Decision::Granted)
            }
            Reason::Silent => {
                let window = self.tolerance.window.as_secs_f64();
                let part = quota::Quota {
                    rate: excess * DEPUTY_PART / window,
                    burst: excess * DEPUTY_BURST_PART,
                };
                entry.take_as_deputy(&request.quota, &part, takeover, now)
            }
        }
    }

    /// Forgets what nobody has used for long.
    pub fn tidy(&mut self, now: id::Time) {
        self.entries
            .retain(|_, entry| now.saturating_sub(entry.used) < IDLE_TIMEOUT);
    }
}

impl Entry {
    fn take_as_deputy(
        &mut self,
        quota: &quota::Quota,
        part: &quota::Quota,
        takeover: time::Duration,
        now: id::Time,
    ) -> Decision {
        let active = self.deputy.take();
        let active = active.filter(|deputy| now.saturating_sub(deputy.asked) < DEPUTY_IDLE_TIMEOUT);
        let mut deputy = active.unwrap_or_else(|| {
            // It begins to count in earnest with nothing in hand.
            self.bucket = bucket::Bucket::new(0.0, now + takeover);
            Deputy {
                since: now,
                asked: now,
                bucket: bucket::Bucket::new(part.burst, now),
            }
        });
        deputy.asked = now;
        let decision = if now.saturating_sub(deputy.since) < takeover {
            let taken = deputy.bucket.take(part, now);
            taken.map_or_else(Decision::Unknown, |()| Decision::Granted)
        } else {
            let taken = self.bucket.take(quota, now);
            taken.map_or_else(Decision::Denied, |()| Decision::Granted)
        };
        self.deputy = Some(deputy);
        decision
    }
}
