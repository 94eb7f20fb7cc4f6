//! Decides about tokens by shares of the organisations' limits, which owners lend to each other.
//!
//! Addresses limits that hold without a request for each operation to one counting node, also
//! while a partition of the nodes lasts. The owners of a shard are its first members by rendezvous
//! hashing. The node that is asked for tokens borrows the shares of the other owners. One node at
//! a time uses a share: the borrower while its lease runs, else the owner.

use std::collections;
use std::time;

use mangotray::id;

use crate::limits::allowance;
use crate::limits::buckets;
use crate::limits::lease;
use crate::limits::ownership;
use crate::limits::shard;
use crate::limits::slice;
use crate::limits::tokens;
use crate::limits::tolerance;
use crate::limits::view;
use crate::member;
use crate::organisation;

/// Number of shards. It does not follow the size of the fleet, as each change of it would leave all
/// shares unused until every node knows the new division.
pub const SHARDS: usize = 16;

/// A question that a node has to send about a share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Node to ask.
    pub to: id::Vm,
    /// The question.
    pub request: lease::Request,
}

/// What became of a question about a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered(lease::Response),
    /// The process of the asked node has ended: its address refuses connections.
    Gone,
    /// There is no answer.
    Silent,
}

/// The state of one node: its shares, those it has borrowed, and their tokens.
pub struct Shares {
    name: id::Vm,
    timing: ownership::Timing,
    tolerance: tolerance::Tolerance,
    started: id::Time,
    members: Vec<member::Member>,
    slices: collections::BTreeMap<shard::Shard, slice::Slice>,
}

impl Shares {
    /// Creates the state of the node `name`, whose process started at `started`.
    #[must_use]
    pub const fn new(
        name: id::Vm,
        timing: ownership::Timing,
        tolerance: tolerance::Tolerance,
        started: id::Time,
    ) -> Self {
        Self {
            name,
            timing,
            tolerance,
            started,
            members: Vec::new(),
            slices: collections::BTreeMap::new(),
        }
    }

    /// Applies the list of members.
    ///
    /// ```
    /// use mangotray_desk::limits::{ownership, shares, tolerance};
    /// use mangotray_desk::member;
    /// use std::time::Duration;
    /// let timing = ownership::Timing { lease: Duration::from_secs(2), takeover: Duration::from_secs(5) };
    /// let tolerance = tolerance::Tolerance::default();
    /// let mut shares = shares::Shares::new("a".into(), timing, tolerance, Duration::ZERO);
    /// let member = |name: &str| member::Member {
    ///     name: name.into(),
    ///     domain: "d".into(),
    ///     address: "127.0.0.1:1".parse().unwrap(),
    ///     protocol: 1,
    ///     capacity: None,
    /// };
    /// shares.set_members(&[member("a"), member("b")], Duration::ZERO);
    /// // A new owner asks the other members whether its share is in use.
    /// assert!(shares.due(Duration::ZERO).iter().all(|task| task.to == "b"));
    /// ```
    pub fn set_members(&mut self, members: &[member::Member], now: id::Time) {
        if self.members == members {
            return;
        }
        let first = self.slices.is_empty();
        members.clone_into(&mut self.members);
        let started = if first { self.started } else { now };
        for shard in shard::Shard::all(SHARDS) {
            let slice = self
                .slices
                .entry(shard)
                .or_insert_with(|| slice::Slice::new(self.name.clone(), self.timing, shard));
            slice.set_members(members, started, now);
        }
    }

    /// Whether enough members understand shares. If not, each operation asks the counting node.
    #[must_use]
    pub fn is_able(&self) -> bool {
        let able = |member: &&member::Member| member.protocol >= view::MIN_PROTOCOL;
        self.members.iter().filter(able).count() >= 2
    }

    /// Decides a request for tokens. `random` is between 0 and 1.
    pub fn grant(
        &mut self,
        request: &tokens::Request,
        random: f64,
        now: id::Time,
    ) -> tokens::Decision {
        let shard = shard::Shard::holding(&request.token.organisation, SHARDS);
        let tolerance = self.tolerance;
        let slice = self.slices.get_mut(&shard);
        slice.map_or(tokens::Decision::Unknown(allowance::MAX_DELAY), |slice| {
            slice.grant(request, &tolerance, random, now)
        })
    }

    /// Answers a question about a share.
    pub fn answer(&mut self, request: &lease::Request, now: id::Time) -> lease::Response {
        let unused_for = now.saturating_sub(self.started);
        let Some(slice) = self.slices.get_mut(&request.shard) else {
            return match request.kind {
                lease::Kind::Borrow => lease::Response::Kept,
                lease::Kind::Inquire => lease::Response::Standing(lease::Standing {
                    recognised: false,
                    recognised_for: time::Duration::ZERO,
                    holds: false,
                    unused_for,
                    departed: true,
                }),
            };
        };
        match request.kind {
            lease::Kind::Borrow => slice.lend(&request.from, now),
            lease::Kind::Inquire => {
                lease::Response::Standing(slice.standing(&request.from, unused_for, now))
            }
        }
    }

    /// The questions to send now. They count as sent at `now`.
    pub fn due(&mut self, now: id::Time) -> Vec<Task> {
        let slices = self.slices.iter_mut();
        slices
            .flat_map(|(shard, slice)| {
                slice.due(now).into_iter().map(|(to, kind)| Task {
                    to,
                    request: lease::Request {
                        shard: *shard,
                        from: self.name.clone(),
                        kind,
                    },
                })
            })
            .collect()
    }

    /// Records what became of a question that was sent at `sent`.
    pub fn learn(&mut self, task: &Task, sent: id::Time, outcome: Outcome, now: id::Time) {
        if let Some(slice) = self.slices.get_mut(&task.request.shard) {
            slice.learn(&task.to, sent, outcome, now);
        }
    }

    /// The shares of an organisation's limit that this node may use now.
    #[must_use]
    pub fn held(&self, name: &organisation::Name, now: id::Time) -> Vec<allowance::Held> {
        let slice = self.slices.get(&shard::Shard::holding(name, SHARDS));
        slice.map_or_else(Vec::new, |slice| slice.held(now))
    }

    /// Number of shares that this node has borrowed.
    #[must_use]
    pub fn borrowed(&self, now: id::Time) -> usize {
        self.slices.values().map(|slice| slice.borrowed(now)).sum()
    }

    /// Removes the tokens of organisations that are unused for long.
    pub fn prune(&mut self, now: id::Time) {
        for slice in self.slices.values_mut() {
            slice.prune(now);
        }
    }
}

/// Translates the answer for a node that requests one token of the counting node.
///
/// ```
/// use mangotray_desk::limits::{buckets, shares, tokens};
/// let granted = shares::as_counted(tokens::Decision::Granted(1));
/// assert_eq!(granted, buckets::Decision::Granted);
/// ```
#[must_use]
pub const fn as_counted(decision: tokens::Decision) -> buckets::Decision {
    match decision {
        tokens::Decision::Granted(_) => buckets::Decision::Granted,
        tokens::Decision::Denied(wait) => buckets::Decision::Denied(wait),
        tokens::Decision::Unknown(wait) => buckets::Decision::Unknown(wait),
    }
}
