//! An owner's view of its share: whether it may use the share, has lent it, or has to find out.
//!
//! Addresses restarts and changes of the members: an owner that cannot know whether its share is
//! in use elsewhere neither uses nor lends it until a lease that it may have given has ended, or
//! all others have answered that they don't use the share.

use std::collections;
use std::time;

use mangotray::id;

use crate::limits::lease;

/// A direct request that could not be granted keeps the owner from lending for this long.
const RECALL: time::Duration = time::Duration::from_secs(1);

/// A member that asked for the share within this time is preferred to those after it in the ranking.
const INTEREST: time::Duration = time::Duration::from_secs(1);

/// Lengths of leases and waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Length of a lease.
    pub lease: time::Duration,
    /// Time after which a node that is cut off from the store serves nobody.
    pub takeover: time::Duration,
}

impl Timing {
    /// Time after which neither a departed owner nor its borrower uses the share.
    ///
    /// ```
    /// use mangotray_desk::limits::ownership;
    /// use std::time::Duration;
    /// let timing = ownership::Timing { lease: Duration::from_secs(2), takeover: Duration::from_secs(5) };
    /// assert_eq!(timing.departure(), Duration::from_secs(7));
    /// ```
    #[must_use]
    pub const fn departure(&self) -> time::Duration {
        self.takeover.saturating_add(self.lease)
    }
}

#[derive(Clone, Debug)]
struct Loan {
    to: id::Vm,
    until: id::Time,
}

/// The search for a use of the share that this node does not know of.
#[derive(Clone, Debug)]
struct Claim {
    since: id::Time,
    /// Answers by node; `None` if its process has ended.
    answers: collections::BTreeMap<id::Vm, Option<lease::Standing>>,
    /// Latest time at which the share may have been in use, by the answers.
    last_use: id::Time,
}

/// The share that a node owns.
#[derive(Clone, Debug)]
pub struct Ownership {
    timing: Timing,
    /// Time from which on the node uses or lends the share, once it has no claim.
    since: id::Time,
    claim: Option<Claim>,
    loan: Option<Loan>,
    recalled_at: Option<id::Time>,
    /// Ranks of the members that asked for the share lately.
    interested: collections::BTreeMap<usize, id::Time>,
}

impl Ownership {
    /// The share of an owner whose process has just started: `started` is the start.
    #[must_use]
    pub const fn after_start(timing: Timing, started: id::Time, now: id::Time) -> Self {
        let claim = Claim {
            since: now,
            answers: collections::BTreeMap::new(),
            last_use: started,
        };
        Self::usable_from(timing, now.saturating_add(timing.departure()), Some(claim))
    }

    /// The share of a node that became an owner when a former owner left the members. No answers
    /// shorten the wait: the former owner cannot be asked.
    #[must_use]
    pub const fn after_departure(timing: Timing, now: id::Time) -> Self {
        Self::usable_from(timing, now.saturating_add(timing.departure()), None)
    }

    const fn usable_from(timing: Timing, since: id::Time, claim: Option<Claim>) -> Self {
        Self {
            timing,
            since,
            claim,
            loan: None,
            recalled_at: None,
            interested: collections::BTreeMap::new(),
        }
    }

    /// Time from which on this node may use the share; `None` if not now.
    #[must_use]
    pub fn usable_since(&self, now: id::Time) -> Option<id::Time> {
        (self.since <= now).then_some(self.since)
    }

    /// Time until which the share is in use, if this node ceases to be an owner now.
    #[must_use]
    pub fn in_use_until(&self, now: id::Time) -> id::Time {
        let loan = self.loan.as_ref().map(|loan| loan.until);
        loan.unwrap_or(now).max(now)
    }

    /// Whether a former owner that left the members may still use this share.
    #[must_use]
    pub fn waits_for_departed(&self, now: id::Time) -> bool {
        now < self.since && self.claim.is_none() && self.loan.is_none()
    }

    /// Whether the node still searches for a use of the share that it does not know of.
    #[must_use]
    pub fn is_claiming(&self, now: id::Time) -> bool {
        self.claim.is_some() && now < self.since
    }

    /// Whether the node waits for this member's answer about the use of the share.
    #[must_use]
    pub fn awaits(&self, member: &id::Vm, now: id::Time) -> bool {
        let claim = self.claim.as_ref().filter(|_| now < self.since);
        claim.is_some_and(|claim| match claim.answers.get(member) {
            None => true,
            // Its list of members may be older than this node's.
            Some(Some(standing)) => !standing.recognised,
            Some(None) => false,
        })
    }

    /// Records the answer of a member, `None` if its process has ended, and ends the search once
    /// all members in `asked` have answered. Returns whether it has ended now.
    pub fn learn(
        &mut self,
        from: &id::Vm,
        answer: Option<lease::Standing>,
        asked: &[id::Vm],
        now: id::Time,
    ) -> bool {
        let Some(claim) = self.claim.as_mut().filter(|_| now < self.since) else {
            return false;
        };
        claim.answers.insert(from.clone(), answer);
        // A process that has ended may have used the share until then.
        let unused_for = answer.map_or(time::Duration::ZERO, |told| told.unused_for);
        claim.last_use = claim.last_use.max(now.saturating_sub(unused_for));
        let standings = || claim.answers.values().flatten();
        let known = standings().any(|told| told.recognised_for >= self.timing.takeover);
        let departed = standings().any(|told| told.departed);
        if known {
            // All members have seen this owner before, so that only a lease of its own may run.
            self.since = self.since.min(claim.since + self.timing.lease);
        }
        let clear = |member: &id::Vm| {
            let answer = claim.answers.get(member);
            answer.is_some_and(|told| told.is_none_or(|told| told.recognised))
        };
        // A node that has left the members may hold the share, and cannot be asked.
        if departed || !asked.iter().all(clear) {
            return false;
        }
        let holds = |told: &Option<lease::Standing>| told.is_some_and(|told| told.holds);
        let mut holders = claim.answers.iter().filter(|(_, told)| holds(told));
        match (holders.next(), holders.next()) {
            (None, _) => self.since = claim.last_use.min(now),
            // A lease that was given before the start of this process ends by then.
            (Some((holder, _)), None) => {
                let (to, until) = (holder.clone(), now + self.timing.lease);
                self.since = until;
                self.loan = Some(Loan { to, until });
            }
            _ => return false,
        }
        self.claim = None;
        true
    }

    /// Records that callers' nodes ask this owner directly, as they cannot reach the borrower, and
    /// that it could not grant a token.
    pub const fn recall(&mut self, now: id::Time) {
        self.recalled_at = Some(now);
    }

    /// Lends the share to the member with this rank, or renews its lease. Returns the lease's
    /// length, and whether the borrower is a new one.
    pub fn lend(
        &mut self,
        to: &id::Vm,
        rank: usize,
        now: id::Time,
    ) -> Option<(time::Duration, bool)> {
        self.interested
            .retain(|_, at| now.saturating_sub(*at) < INTEREST);
        self.interested.insert(rank, now);
        let lent_to = self.lent_to(now).cloned();
        let renewed = lent_to.as_ref() == Some(to);
        let free = renewed || self.usable_since(now).is_some();
        let recalled = self
            .recalled_at
            .is_some_and(|at| now.saturating_sub(at) < RECALL);
        let preferred = self.interested.keys().next() == Some(&rank);
        if !free || recalled || !preferred {
            return None;
        }
        let until = now + self.timing.lease;
        self.loan = Some(Loan {
            to: to.clone(),
            until,
        });
        self.since = until;
        // The search is over: late answers must not make the lent share usable.
        self.claim = None;
        Some((self.timing.lease, !renewed))
    }

    /// The member that the share is lent to.
    #[must_use]
    pub fn lent_to(&self, now: id::Time) -> Option<&id::Vm> {
        let loan = self.loan.as_ref().filter(|loan| now < loan.until);
        loan.map(|loan| &loan.to)
    }
}
