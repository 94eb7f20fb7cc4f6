//! Counts the operations of organisations for all nodes, with one token bucket per organisation.
//!
//! An organisation's callers are connected to all nodes, so that no single node sees its whole rate
//! when it sends many times its usual load. One node, chosen by hash, therefore holds the bucket of
//! an organisation, and all nodes request a token from it for each operation. A successor does not
//! know how many tokens a failed node had granted, so a new bucket starts nearly empty instead of
//! with a full burst. While the counting node is silent, the next node in the ranking acts as its
//! deputy and grants only part of the tolerated excess.

use std::collections;
use std::time;

use mangotray::id;

use crate::limits::bucket;
use crate::limits::quota;
use crate::limits::tolerance;
use crate::organisation;

/// Fraction of the tolerated excess that a new bucket starts with. Together with the tokens that a
/// failed predecessor granted this stays within the tolerance.
const INITIAL_FRACTION: f64 = 0.25;

/// Fraction of the tolerated excess that a deputy may grant as a burst while the counting node is
/// silent and may still serve other nodes.
const DEPUTY_BURST_FRACTION: f64 = 0.1;

/// Fraction of the tolerated excess that a deputy may grant per window in addition to the burst.
const DEPUTY_FRACTION: f64 = 0.6;

/// A deputy that gets no requests for this long ends its role.
const DEPUTY_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Buckets that are unused for this long are removed; they would be full.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_mins(1);

/// Why a node is asked for a token.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Reason {
    /// It is the counting node of the organisation.
    Counting,
    /// The process of the counting node has ended: its address refuses connections.
    Gone,
    /// The counting node does not answer the requesting node, but may still serve others.
    Silent,
}

/// A request for one token.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Organisation that starts the operation.
    pub organisation: organisation::Name,
    /// Its quota in the configuration of the requesting node.
    pub quota: quota::Quota,
    /// Version of that configuration.
    pub version: id::Revision,
    /// Why this node is asked.
    pub turn: Reason,
}

/// Answer to a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Decision {
    /// The operation may start.
    Granted,
    /// The limit is reached; a token is available after this delay.
    Denied(time::Duration),
    /// It is unknown whether the limit is reached: the counting node is silent, and its deputy has
    /// no token of its own reduced rate left. It has the next one after this delay.
    Unknown(time::Duration),
}

/// State of one organisation.
struct Entry {
    bucket: bucket::Bucket,
    /// Set while this node acts as deputy of the counting node.
    deputy: Option<Deputy>,
    last_used: id::Time,
}

struct Deputy {
    since: id::Time,
    last_request: id::Time,
    bucket: bucket::Bucket,
}

/// The buckets of the organisations that a node counts for.
pub struct Buckets {
    tolerance: tolerance::Tolerance,
    /// Time after which a silent counting node no longer serves anybody.
    takeover: time::Duration,
    /// Whether quotas are sustained over the tolerance's window.
    sustained: bool,
    entries: collections::BTreeMap<organisation::Name, Entry>,
}

impl Buckets {
    /// Creates an empty set of buckets. A counting node that is partitioned from the others has no
    /// callers left after `takeover`, so that its deputy may then grant the full quota.
    #[must_use]
    pub const fn new(tolerance: tolerance::Tolerance, takeover: time::Duration) -> Self {
        Self {
            tolerance,
            takeover,
            sustained: false,
            entries: collections::BTreeMap::new(),
        }
    }

    /// The same buckets, which grant less of a burst at once and more by the rate if `sustained`.
    ///
    /// ```
    /// use mangotray_desk::{limits::buckets, limits::quota, limits::tolerance};
    /// use std::time::Duration;
    /// let buckets = buckets::Buckets::new(tolerance::Tolerance::default(), Duration::from_secs(5));
    /// let mut buckets = buckets.with_sustained_quotas(true);
    /// let request = buckets::Request {
    ///     organisation: "dome".into(),
    ///     quota: quota::Quota { rate: 10.0, burst: 100.0 },
    ///     version: 1,
    ///     turn: buckets::Reason::Counting,
    /// };
    /// let begun = buckets.decide(&request, Duration::ZERO);
    /// assert!(matches!(begun, buckets::Decision::Denied(_)));
    /// // 85 operations a second, as 25 of the burst may still start at once.
    /// assert_eq!(buckets.decide(&request, Duration::from_millis(12)), buckets::Decision::Granted);
    /// ```
    #[must_use]
    pub const fn with_sustained_quotas(mut self, sustained: bool) -> Self {
        self.sustained = sustained;
        self
    }

    /// Decides a token request.
    ///
    /// ```
    /// use mangotray_desk::{limits::buckets, limits::quota, limits::tolerance};
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
        let quota = if self.sustained {
            request.quota.sustained(self.tolerance.window)
        } else {
            request.quota
        };
        let entry = self
            .entries
            .entry(request.organisation.clone())
            .or_insert_with(|| {
                let initial = if request.turn == Reason::Counting {
                    excess * INITIAL_FRACTION
                } else {
                    0.0
                };
                Entry {
                    bucket: bucket::Bucket::new(initial, now),
                    deputy: None,
                    last_used: now,
                }
            });
        entry.last_used = now;
        match request.turn {
            Reason::Counting | Reason::Gone => {
                let taken = entry.bucket.take(&quota, now);
                taken.map_or_else(Decision::Denied, |()| Decision::Granted)
            }
            Reason::Silent => {
                let window = self.tolerance.window.as_secs_f64();
                let deputy_quota = quota::Quota {
                    rate: excess * DEPUTY_FRACTION / window,
                    burst: excess * DEPUTY_BURST_FRACTION,
                };
                entry.take_as_deputy(&quota, &deputy_quota, takeover, now)
            }
        }
    }

    /// Removes the buckets that are unused for `IDLE_TIMEOUT`.
    pub fn prune(&mut self, now: id::Time) {
        self.entries
            .retain(|_, entry| now.saturating_sub(entry.last_used) < IDLE_TIMEOUT);
    }
}

impl Entry {
    fn take_as_deputy(
        &mut self,
        quota: &quota::Quota,
        deputy_quota: &quota::Quota,
        takeover: time::Duration,
        now: id::Time,
    ) -> Decision {
        let active = self.deputy.take();
        let active =
            active.filter(|deputy| now.saturating_sub(deputy.last_request) < DEPUTY_IDLE_TIMEOUT);
        let mut deputy = active.unwrap_or_else(|| {
            // The full quota applies from the takeover on, with an empty bucket at its start.
            self.bucket = bucket::Bucket::new(0.0, now + takeover);
            Deputy {
                since: now,
                last_request: now,
                bucket: bucket::Bucket::new(deputy_quota.burst, now),
            }
        });
        deputy.last_request = now;
        let decision = if now.saturating_sub(deputy.since) < takeover {
            let taken = deputy.bucket.take(deputy_quota, now);
            taken.map_or_else(Decision::Unknown, |()| Decision::Granted)
        } else {
            let taken = self.bucket.take(quota, now);
            taken.map_or_else(Decision::Denied, |()| Decision::Granted)
        };
        self.deputy = Some(deputy);
        decision
    }
}
