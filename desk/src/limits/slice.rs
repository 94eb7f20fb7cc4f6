//! One shard at one node: its own share, the shares that it has borrowed, and their tokens.

use std::collections;
use std::time;

use mangotray::id;

use crate::limits::allowance;
use crate::limits::buckets;
use crate::limits::lease;
use crate::limits::ownership;
use crate::limits::shard;
use crate::limits::shares;
use crate::limits::tokens;
use crate::limits::tolerance;
use crate::limits::view;
use crate::member;
use crate::organisation;

/// Leases are renewed while the node was asked for tokens, as the first in the ranking, within this
/// time. Longer than the pauses between the operations of a small organisation, whose tokens would
/// be lost with the lease.
const KEEP: time::Duration = time::Duration::from_secs(10);

/// The same for a node that is asked because those before it in the ranking do not answer.
const KEEP_AS_DEPUTY: time::Duration = time::Duration::from_secs(3);

/// Delay before the same node is asked again. Longer than the timeout of a question.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// A share of another owner.
#[derive(Clone, Debug)]
struct Lease {
    since: id::Time,
    until: id::Time,
    divisor: u32,
}

/// The state of one shard.
pub struct Slice {
    name: id::Vm,
    timing: ownership::Timing,
    shard: shard::Shard,
    view: view::View,
    own: Option<ownership::Ownership>,
    /// When this node, as an owner until then, last used its share or had lent it.
    ceased: Option<id::Time>,
    leases: collections::BTreeMap<id::Vm, Lease>,
    /// When the last of the removed leases ended.
    lease_ended: Option<id::Time>,
    /// When each node was last asked. The answers to earlier questions don't count.
    asked_at: collections::BTreeMap<id::Vm, id::Time>,
    keep_until: id::Time,
    /// Since when this node is an owner or one of those after them in the ranking.
    known_since: id::Time,
    allowances: collections::BTreeMap<organisation::Name, allowance::Allowance>,
}

impl Slice {
    /// Creates the state of a shard at the node `name`, without members.
    #[must_use]
    pub fn new(name: id::Vm, timing: ownership::Timing, shard: shard::Shard) -> Self {
        Self {
            name,
            timing,
            shard,
            view: view::View::default(),
            own: None,
            ceased: None,
            leases: collections::BTreeMap::new(),
            lease_ended: None,
            asked_at: collections::BTreeMap::new(),
            keep_until: time::Duration::ZERO,
            known_since: time::Duration::ZERO,
            allowances: collections::BTreeMap::new(),
        }
    }

    /// Applies the list of members. `started` is the start of this process in its first list, else
    /// the present time.
    pub fn set_members(&mut self, members: &[member::Member], started: id::Time, now: id::Time) {
        let known = self.view.rank(&self.name).is_some();
        let departure = self.view.update(members, self.shard, self.timing, now);
        if !known {
            self.known_since = now;
            self.allowances.clear();
        }
        let owns = self.view.owner_since(&self.name).is_some();
        match (self.own.take(), owns) {
            (Some(own), true) => self.own = Some(own),
            (Some(own), false) => {
                self.ceased = Some(own.in_use_until(now));
            }
            (None, true) if departure => {
                self.own = Some(ownership::Ownership::after_departure(self.timing, now));
            }
            (None, true) => {
                self.own = Some(ownership::Ownership::after_start(self.timing, started, now));
            }
            (None, false) => {}
        }
    }

    /// Decides a request for tokens.
    pub fn grant(
        &mut self,
        request: &tokens::Request,
        tolerance: &tolerance::Tolerance,
        random: f64,
        now: id::Time,
    ) -> tokens::Decision {
        let token = &request.token;
        let quota = token.quota.sustained(tolerance.window);
        let keep = if token.turn == buckets::Reason::Counting {
            KEEP
        } else {
            KEEP_AS_DEPUTY
        };
        if !request.overflow {
            self.keep_until = self.keep_until.max(now + keep);
        }
        let held = self.held(now);
        let known = self.view.rank(&self.name).is_some();
        let entry = self.allowances.entry(token.organisation.clone());
        let since = self.known_since;
        let allowance = entry.or_insert_with(|| allowance::Allowance::new(quota, since));
        let next = match allowance.take(&quota, tolerance, &held, now) {
            Ok(()) => return tokens::Decision::Granted(1),
            Err(next) => next,
        };
        if allowance::is_whole(&held) {
            let wait = allowance.deny(&request.from, next, random, now);
            return tokens::Decision::Denied(wait);
        }
        let waits = |own: &ownership::Ownership| own.waits_for_departed(now);
        let next_interim = if known && !self.own.as_ref().is_some_and(waits) {
            match allowance.take_interim(&quota, tolerance, now) {
                Ok(()) => return tokens::Decision::Granted(1),
                Err(next) => next,
            }
        } else {
            time::Duration::MAX
        };
        let directly = token.turn != buckets::Reason::Counting && !request.overflow;
        if let Some(own) = self.own.as_mut().filter(|_| directly) {
            own.recall(now);
        }
        let wait = next.min(next_interim);
        tokens::Decision::Unknown(wait.clamp(allowance::MIN_DELAY, allowance::MAX_DELAY))
    }

    /// The shares that this node may use now.
    #[must_use]
    pub fn held(&self, now: id::Time) -> Vec<allowance::Held> {
        let divisor = self.view.divisor(now);
        let held = |owner: &id::Vm, since, divisor: u32| allowance::Held {
            owner: owner.clone(),
            since,
            fraction: 1.0 / f64::from(divisor.max(1)),
        };
        let own = self.own.as_ref().and_then(|own| own.usable_since(now));
        let own = own.map(|since| held(&self.name, since, divisor));
        let borrowed = self.leases.iter().filter(|(_, lease)| now < lease.until);
        let borrowed =
            borrowed.map(|(owner, lease)| held(owner, lease.since, lease.divisor.max(divisor)));
        own.into_iter().chain(borrowed).collect()
    }

    /// Lends this node's own share, if it is free.
    pub fn lend(&mut self, to: &id::Vm, now: id::Time) -> lease::Response {
        let divisor = self.view.divisor(now);
        let rank = self.view.rank(to);
        let lent = self
            .own
            .as_mut()
            .zip(rank)
            .and_then(|(own, rank)| own.lend(to, rank, now));
        let Some((length, new)) = lent else {
            return lease::Response::Kept;
        };
        if new {
            tracing::info!(shard = self.shard.index, %to, divisor, "share of limits lent");
        }
        lease::Response::Lent { length, divisor }
    }

    /// Answers an inquiry of an owner. Leases that it gave before are not accepted afterwards.
    pub fn standing(
        &mut self,
        owner: &id::Vm,
        running_for: time::Duration,
        now: id::Time,
    ) -> lease::Standing {
        self.asked_at.remove(owner);
        let since = self.view.owner_since(owner);
        let is_owner = |name: &id::Vm| self.view.owner_since(name).is_some();
        let mut running = self.leases.iter().filter(|(_, lease)| now < lease.until);
        // The share of a former owner may be the one that the asking node takes over.
        let holds = running.any(|(lender, _)| lender == owner || !is_owner(lender));
        let ceased = self.ceased.filter(|_| self.own.is_none());
        let leases = self.leases.values().map(|lease| lease.until.min(now));
        let last_use = leases.max().max(self.lease_ended).max(ceased);
        let unused_for = last_use.map_or(running_for, |at| now.saturating_sub(at));
        lease::Standing {
            recognised: since.is_some(),
            recognised_for: since.map_or(time::Duration::ZERO, |at| now.saturating_sub(at)),
            holds: holds || ceased.is_some_and(|until| now < until),
            unused_for: unused_for.min(running_for),
            departed: self.view.has_departed(owner, self.timing.departure(), now),
        }
    }

    /// The questions to send now, with the nodes to send them to.
    pub fn due(&mut self, now: id::Time) -> Vec<(id::Vm, lease::Kind)> {
        let others = self.view.others(&self.name);
        let claiming = self.own.as_ref().filter(|own| own.is_claiming(now));
        let inquiries = others.iter().filter(|name| {
            let awaits = claiming.is_some_and(|own| own.awaits(name, now));
            awaits && self.may_ask(name, now)
        });
        let inquiries = inquiries.map(|name| (name.clone(), lease::Kind::Inquire));
        let owners = self.view.owners.iter().map(|(name, _)| name);
        let loans = owners.filter(|name| {
            let soon = now + self.timing.lease / 2;
            let lease = self.leases.get(*name);
            let needed = lease.is_none_or(|lease| lease.until <= soon);
            **name != self.name && now < self.keep_until && needed && self.may_ask(name, now)
        });
        let loans = loans.map(|name| (name.clone(), lease::Kind::Borrow));
        let mut due: Vec<_> = inquiries.chain(loans).collect();
        // One question at a time to each node; an inquiry comes first.
        due.dedup_by(|later, earlier| later.0 == earlier.0);
        let mut seen = collections::BTreeSet::new();
        due.retain(|(name, _)| seen.insert(name.clone()));
        for (name, _) in &due {
            self.asked_at.insert(name.clone(), now);
        }
        due
    }

    fn may_ask(&self, name: &id::Vm, now: id::Time) -> bool {
        let asked = self.asked_at.get(name);
        asked.is_none_or(|at| now.saturating_sub(*at) >= RETRY_DELAY)
    }

    /// Records what became of a question that was sent at `sent`.
    pub fn learn(&mut self, to: &id::Vm, sent: id::Time, outcome: shares::Outcome, now: id::Time) {
        // The answer to an earlier question.
        if self.asked_at.get(to) != Some(&sent) {
            return;
        }
        match outcome {
            shares::Outcome::Answered(lease::Response::Lent { length, divisor }) => {
                let length = length.min(self.timing.lease);
                self.renew(to, sent + length, divisor, now);
            }
            shares::Outcome::Answered(lease::Response::Standing(standing)) => {
                if !standing.recognised {
                    // It learns of this owner soon.
                    self.asked_at.remove(to);
                }
                self.learn_standing(to, Some(standing), now);
            }
            shares::Outcome::Gone => self.learn_standing(to, None, now),
            shares::Outcome::Answered(lease::Response::Kept) | shares::Outcome::Silent => {}
        }
    }

    fn learn_standing(&mut self, of: &id::Vm, standing: Option<lease::Standing>, now: id::Time) {
        let others = self.view.others(&self.name);
        let own = self.own.as_mut();
        if own.is_some_and(|own| own.learn(of, standing, &others, now)) {
            tracing::info!(
                shard = self.shard.index,
                "share of limits kept: nobody else has a use of it that is not known"
            );
        }
    }

    fn renew(&mut self, owner: &id::Vm, until: id::Time, divisor: u32, now: id::Time) {
        if until <= now {
            return;
        }
        let running = self.leases.get(owner).filter(|lease| now < lease.until);
        let since = running.map_or(now, |lease| lease.since);
        if running.is_none() {
            tracing::info!(shard = self.shard.index, %owner, divisor, "share of limits borrowed");
        }
        let lease = Lease {
            since,
            until,
            divisor,
        };
        self.leases.insert(owner.clone(), lease);
    }

    /// Number of shares that this node has borrowed.
    #[must_use]
    pub fn borrowed(&self, now: id::Time) -> usize {
        let running = self.leases.values().filter(|lease| now < lease.until);
        running.count()
    }

    /// Removes ended leases and the tokens of organisations that are unused for long.
    pub fn prune(&mut self, now: id::Time) {
        for (owner, lease) in &self.leases {
            if lease.until <= now {
                tracing::info!(shard = self.shard.index, %owner, "lease of a share of limits ended");
                self.lease_ended = self.lease_ended.max(Some(lease.until));
            }
        }
        self.leases.retain(|_, lease| now < lease.until);
        self.allowances
            .retain(|_, allowance| !allowance.is_idle(now));
    }
}
