//! State machine that promotes a new primary.
//!
//! A promotion claims a unique term, fences all instances at it and promotes the fenced instance
//! with the highest stamp. Safety rests on two rules: each term is used by one promotion only, and
//! the new primary is chosen from a majority that has been fenced at that term. Timeouts and
//! delays affect only which proxy tries first.

use std::time;

use crate::detect;
use crate::id;
use crate::role;
use crate::stamp;
use crate::status;

/// Delay between the first attempts of proxies with consecutive ranks.
pub const RANK_DELAY: time::Duration = time::Duration::from_millis(400);

/// Time for which the primary must be suspected before the proxy with rank 0 acts, so that a
/// promotion made by another proxy is seen first.
pub const SUSPICION_DELAY: time::Duration = time::Duration::from_millis(30);

/// Timeout for the answers to the fencing calls.
pub const FENCE_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Wait for the remaining instances once a majority is fenced: an instance that answers slightly
/// later may have the longer log and save callers a repair.
pub const FENCE_GRACE: time::Duration = time::Duration::from_millis(20);

/// Timeout for the answer to the promotion call.
pub const PROMOTE_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Timeout for claiming a term from the platform's store.
pub const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Wait after the first failed attempt; doubles up to `MAX_BACKOFF`.
pub const INITIAL_BACKOFF: time::Duration = time::Duration::from_millis(200);

/// Time after a promotion by this proxy during which its next promotion is delayed.
pub const DAMPING_PERIOD: time::Duration = time::Duration::from_secs(20);

/// Longest wait between attempts.
pub const MAX_BACKOFF: time::Duration = time::Duration::from_secs(3);

/// Phase of a promotion.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The primary is healthy.
    Idle,
    /// The primary is suspected; this proxy waits before it claims a term.
    Waiting {
        /// When this proxy may claim a term.
        until: id::Time,
    },
    /// Waiting for the claim of a unique term.
    Claiming {
        /// When to give up.
        until: id::Time,
    },
    /// Fencing all instances at the term.
    Fencing {
        /// The claimed term.
        term: id::Term,
        /// Status of each instance that is fenced at exactly this term, by index.
        fenced: Vec<Option<status::Status>>,
        /// Number of fencing calls without an answer so far.
        open: usize,
        /// When to choose an instance from the answers so far, or give up.
        until: id::Time,
    },
    /// Waiting for the chosen instance to become primary.
    Promoting {
        /// The claimed term.
        term: id::Term,
        /// The chosen instance.
        index: id::Index,
        /// When to give up.
        until: id::Time,
    },
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// Periodic tick with the failure detector's current verdict.
    Tick(detect::Verdict),
    /// A term was claimed; no other promotion can use it.
    Claimed(id::Term),
    /// No term could be claimed.
    ClaimFailed,
    /// An instance answered a fencing call with its status.
    Fenced(id::Index, status::Status),
    /// A fencing call failed or had no answer; the instance may still have been fenced.
    FenceFailed(id::Index),
    /// The chosen instance answered the promotion call with its status.
    Promoted(status::Status),
    /// The promotion call failed or had no answer; the instance may still have become primary.
    PromoteFailed,
}

/// Output of the state machine: a call that the proxy has to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Claim a unique term above the given one.
    Claim {
        /// Highest term known to be in use.
        above: id::Term,
    },
    /// Fence every instance at the term.
    Fence {
        /// The claimed term.
        term: id::Term,
    },
    /// Promote one instance.
    Promote {
        /// The chosen instance.
        index: id::Index,
        /// The claimed term.
        term: id::Term,
    },
    /// Report the new primary.
    Announce {
        /// The new primary.
        index: id::Index,
        /// Its term.
        term: id::Term,
    },
}

/// State of one proxy's promotions for one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Machine {
    phase: Phase,
    instances: usize,
    rank: u32,
    tries: u32,
    highest: id::Term,
    avoid: Option<id::Index>,
    recent: u32,
    quiet: id::Time,
}

impl Machine {
    /// Creates the state machine for a group of `instances`. `rank` is this proxy's position among
    /// the proxies that may promote; rank 0 tries first.
    ///
    /// ```
    /// use mangotray::promote;
    /// let machine = promote::Machine::new(3, 0);
    /// assert_eq!(machine.phase(), &promote::Phase::Idle);
    /// ```
    #[must_use]
    pub fn new(instances: usize, rank: u32) -> Self {
        Self {
            phase: Phase::Idle,
            instances,
            rank,
            tries: 0,
            highest: 0,
            avoid: None,
            recent: 0,
            quiet: id::Time::ZERO,
        }
    }

    /// Current phase.
    #[must_use]
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Changes this proxy's position among the proxies that may promote.
    pub fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Sets the instance to be replaced, which is promoted again only if the others do not form a
    /// majority. Without this rule a primary that is cut off only from its replicas would be
    /// chosen again: it answers the fencing call and has the longest log.
    ///
    /// Has no effect once a promotion has begun: after the fencing no instance is primary, and the
    /// instance to be replaced must not be forgotten then.
    pub fn set_replaced(&mut self, index: Option<id::Index>) {
        let open = matches!(self.phase, Phase::Idle | Phase::Waiting { .. });
        if open && index.is_some() {
            self.avoid = index;
        }
    }

    /// Records a term that is in use; terms are claimed above the highest one.
    pub fn note_term(&mut self, term: id::Term) {
        self.highest = self.highest.max(term);
    }

    /// Handles an event and returns the actions to perform.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::{detect, promote};
    /// let mut machine = promote::Machine::new(3, 0);
    /// let suspect = detect::Verdict::Suspect(detect::Cause::Silent);
    /// let none = machine.step(Duration::ZERO, promote::Event::Tick(suspect));
    /// assert!(none.is_empty());
    /// let claim = machine.step(Duration::from_secs(1), promote::Event::Tick(suspect));
    /// assert_eq!(claim, vec![promote::Action::Claim { above: 0 }]);
    /// ```
    pub fn step(&mut self, now: id::Time, event: Event) -> Vec<Action> {
        match event {
            Event::Tick(verdict) => self.tick(now, verdict),
            Event::Claimed(term) => self.claimed(now, term),
            Event::ClaimFailed => self.claim_failed(now),
            Event::Fenced(index, status) => self.fenced(now, index, status),
            Event::FenceFailed(_) => self.fence_failed(now),
            Event::Promoted(status) => self.promoted(now, status),
            Event::PromoteFailed => self.promote_failed(now),
        }
    }

    fn tick(&mut self, now: id::Time, verdict: detect::Verdict) -> Vec<Action> {
        match (&self.phase, verdict) {
            (Phase::Idle, detect::Verdict::Suspect(_)) => {
                let until =
                    now + SUSPICION_DELAY + RANK_DELAY * self.rank + self.damping_delay(now);
                self.phase = Phase::Waiting { until };
                Vec::new()
            }
            (Phase::Waiting { .. }, detect::Verdict::Healthy) => self.reset(),
            (Phase::Waiting { until }, detect::Verdict::Suspect(_)) if *until <= now => {
                self.phase = Phase::Claiming {
                    until: now + CLAIM_TIMEOUT,
                };
                vec![Action::Claim {
                    above: self.highest,
                }]
            }
            (Phase::Claiming { until } | Phase::Promoting { until, .. }, _) if *until <= now => {
                self.back_off(now)
            }
            (Phase::Fencing { until, .. }, _) if *until <= now => self.choose(now),
            _ => Vec::new(),
        }
    }

    fn claimed(&mut self, now: id::Time, term: id::Term) -> Vec<Action> {
        let Phase::Claiming { .. } = self.phase else {
            return Vec::new();
        };
        if term <= self.highest {
            return self.back_off(now);
        }
        self.highest = term;
        self.phase = Phase::Fencing {
            term,
            fenced: vec![None; self.instances],
            open: self.instances,
            until: now + FENCE_TIMEOUT,
        };
        vec![Action::Fence { term }]
    }

    fn claim_failed(&mut self, now: id::Time) -> Vec<Action> {
        match self.phase {
            Phase::Claiming { .. } => self.back_off(now),
            _ => Vec::new(),
        }
    }

    fn fenced(&mut self, now: id::Time, index: id::Index, status: status::Status) -> Vec<Action> {
        self.note_term(status.fence);
        let majority = self.majority();
        let avoid = self.avoid;
        let Phase::Fencing {
            term,
            fenced,
            open,
            until,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        *open = open.saturating_sub(1);
        if status.fence > *term {
            // Another promotion uses a higher term, so this one cannot succeed.
            return self.back_off(now);
        }
        if status.fence == *term && status.voter {
            fenced[index] = Some(status);
        }
        // The instance to be replaced does not count here: if the wait ended before the other
        // instances form a majority, it would have to be chosen again.
        if stamps(fenced, avoid).len() >= majority {
            *until = (*until).min(now + FENCE_GRACE);
        }
        if *open == 0 {
            self.choose(now)
        } else {
            Vec::new()
        }
    }

    fn fence_failed(&mut self, now: id::Time) -> Vec<Action> {
        let Phase::Fencing { open, .. } = &mut self.phase else {
            return Vec::new();
        };
        *open = open.saturating_sub(1);
        if *open == 0 {
            self.choose(now)
        } else {
            Vec::new()
        }
    }

    /// Promotes the instance with the highest stamp of a fenced majority, the lowest index first.
    ///
    /// Every confirmed record is on a majority of instances, so the one with the highest stamp has
    /// it; without a fenced majority all fenced instances may lack it. The instance to be replaced
    /// is excluded if the others form a majority by themselves.
    fn choose(&mut self, now: id::Time) -> Vec<Action> {
        let majority = self.majority();
        let Phase::Fencing { term, fenced, .. } = &self.phase else {
            return Vec::new();
        };
        let term = *term;
        let all = stamps(fenced, None);
        let others = stamps(fenced, self.avoid);
        let voters = if others.len() >= majority {
            others
        } else {
            all
        };
        let best = voters
            .iter()
            .max_by_key(|(index, stamp)| (*stamp, usize::MAX - index));
        match best {
            Some((index, _)) if voters.len() >= majority => {
                let index = *index;
                let until = now + PROMOTE_TIMEOUT;
                self.phase = Phase::Promoting { term, index, until };
                vec![Action::Promote { index, term }]
            }
            _ => self.back_off(now),
        }
    }

    fn promoted(&mut self, now: id::Time, status: status::Status) -> Vec<Action> {
        self.note_term(status.fence);
        let Phase::Promoting { term, index, .. } = self.phase else {
            return Vec::new();
        };
        let leads = status.role == role::Role::Primary && status.fence == term;
        if !leads {
            return self.back_off(now);
        }
        self.reset();
        self.recent += 1;
        self.quiet = now + DAMPING_PERIOD;
        vec![Action::Announce { index, term }]
    }

    /// The call may have succeeded although its answer was lost, so the instance may be the primary
    /// of this term and no other instance may be promoted with it. The next attempt claims a new
    /// term, unless the instance is seen as the primary before that.
    fn promote_failed(&mut self, now: id::Time) -> Vec<Action> {
        match self.phase {
            Phase::Promoting { .. } => self.back_off(now),
            _ => Vec::new(),
        }
    }

    /// Additional wait after recent promotions by this proxy. Proxies that reach different
    /// instances could otherwise replace each other's primary without end, and every promotion
    /// aborts the open transactions.
    fn damping_delay(&mut self, now: id::Time) -> time::Duration {
        if now >= self.quiet {
            self.recent = 0;
        }
        match self.recent {
            0 => time::Duration::ZERO,
            recent => (INITIAL_BACKOFF * 2u32.saturating_pow(recent.min(8))).min(MAX_BACKOFF),
        }
    }

    fn reset(&mut self) -> Vec<Action> {
        self.phase = Phase::Idle;
        self.avoid = None;
        self.tries = 0;
        Vec::new()
    }

    fn back_off(&mut self, now: id::Time) -> Vec<Action> {
        let wait = INITIAL_BACKOFF * 2u32.saturating_pow(self.tries.min(8));
        self.tries += 1;
        let until = now + wait.min(MAX_BACKOFF) + RANK_DELAY * self.rank;
        self.phase = Phase::Waiting { until };
        Vec::new()
    }

    fn majority(&self) -> usize {
        self.instances / 2 + 1
    }
}

fn stamps(
    fenced: &[Option<status::Status>],
    without: Option<id::Index>,
) -> Vec<(id::Index, stamp::Stamp)> {
    fenced
        .iter()
        .enumerate()
        .filter(|(index, _)| Some(*index) != without)
        .filter_map(|(index, status)| status.map(|status| (index, status.stamp)))
        .collect()
}

#[cfg(test)]
mod tests;
