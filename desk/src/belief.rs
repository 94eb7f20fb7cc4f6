//! What a node believes of who leads a group, and on what evidence.

use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::detector;
use crate::floor;
use crate::receipts;
use crate::sampler;
use crate::upstream;

/// What a node believes of who leads a group, and on what evidence.
///
/// ```
/// use mangotray_desk::{belief, sampler};
/// use std::time::Duration;
/// let mut belief = belief::Belief::default();
/// belief.find(&sampler::Lead { id: "a".into(), term: 3 });
/// assert!(belief.give_up(2, Duration::ZERO).is_none());
/// assert!(belief.give_up(3, Duration::ZERO).is_some());
/// assert_eq!(belief.lead(), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Belief {
    lead: Option<sampler::Lead>,
    last: Option<upstream::Id>,
    term: id::Term,
    /// Since when no primary is known; none while one is.
    vacant: Option<id::Time>,
    receipts: receipts::Receipts,
    floors: floor::Floors,
}

impl Belief {
    /// Who leads, as far as is known.
    #[must_use]
    pub const fn lead(&self) -> Option<&sampler::Lead> {
        self.lead.as_ref()
    }

    /// The instance that was last seen to lead.
    #[must_use]
    pub const fn last(&self) -> Option<&upstream::Id> {
        self.last.as_ref()
    }

    /// Highest term that was heard of.
    #[must_use]
    pub const fn term(&self) -> id::Term {
        self.term
    }

    /// What was seen while no primary was known.
    #[must_use]
    pub const fn vacancy(&self) -> detector::Vacancy {
        detector::Vacancy {
            since: self.vacant,
            received: self.receipts.furthest(),
        }
    }

    /// What replicas were seen to have received.
    pub const fn receipts(&mut self) -> &mut receipts::Receipts {
        &mut self.receipts
    }

    /// How far a log must reach.
    #[must_use]
    pub const fn floors(&self) -> &floor::Floors {
        &self.floors
    }

    /// Gives up the belief in a primary of `term` or an earlier one; tells in whom.
    pub fn give_up(&mut self, term: id::Term, now: id::Time) -> Option<sampler::Lead> {
        let doubted = self.lead.take_if(|lead| lead.term <= term)?;
        self.vacant = Some(now);
        Some(doubted)
    }

    /// Takes note of who leads; `true` where that is news.
    pub fn find(&mut self, lead: &sampler::Lead) -> bool {
        let news = self.lead.as_ref() != Some(lead);
        self.last = Some(lead.id.clone());
        self.lead = Some(lead.clone());
        self.vacant = None;
        news
    }

    /// Takes note of the terms and positions that instances told at `now`, asked at `started`; tells
    /// which replicas have lost their logs.
    pub fn hear(
        &mut self,
        looks: &[sampler::Look],
        started: id::Time,
        now: id::Time,
    ) -> Vec<upstream::Id> {
        let highest = looks.iter().map(|look| look.status.term).max();
        self.term = self.term.max(highest.unwrap_or_default());
        let mut lost = Vec::new();
        for look in looks {
            let status = look.status;
            if status.role == role::Role::Primary {
                self.receipts.led(status.term, status.received);
            } else if self.last.as_ref() != Some(&look.id) && self.receipts.hear(look, started, now)
            {
                // The one that led last has records that no replica has received.
                lost.push(look.id.clone());
            }
        }
        lost
    }

    /// Notes that a replica has lost its log, as was learnt at `now`.
    pub const fn note_loss(&mut self, now: id::Time) {
        self.floors.note_loss(now);
    }

    /// Takes note of the primary's answer to a command sent at `sent`.
    pub fn saw_position(&mut self, term: id::Term, sent: id::Time, stamp: stamp::Stamp) {
        self.floors.saw_position(term, sent, stamp);
    }

    /// Takes over a floor that another node has told of.
    pub fn take_over(&mut self, term: id::Term, time: id::Time, stamp: stamp::Stamp) {
        self.term = self.term.max(term);
        self.floors.take_over(term, time, stamp);
    }

    /// Takes a position that all instances but the primary have received, at `started`, for a
    /// floor.
    pub fn saw_received(&mut self, started: id::Time, stamp: stamp::Stamp) {
        self.floors.saw_position(self.term, started, stamp);
        self.floors.saw_leading(self.term, started);
        self.floors.note_without(started);
    }

    /// Notes that the primary of `term` still led at `started`.
    pub fn saw_leading(&mut self, term: id::Term, started: id::Time) {
        self.floors.saw_leading(term, started);
    }

    /// Position that holds every acknowledged commit, where all replicas together have received
    /// `received`, and an instance was last lost at `lost`.
    ///
    /// A commit is acknowledged once one replica has it. What a lost one alone had is with the
    /// primary only, and not among what those that are left have received: they tell of all
    /// commits only if a floor with the primary's word was proven after the loss. Where
    /// one of two replicas is gone for good, and the other has received nothing for seconds, reads
    /// on it would miss what only the lost one had.
    #[must_use]
    pub fn covered(&self, received: stamp::Stamp, lost: Option<id::Time>) -> Option<stamp::Stamp> {
        // Evidence of an earlier term covers no commit of this one.
        self.floors.led(self.term)?;
        let proven = self.floors.newest()?;
        let known = self.floors.furthest().unwrap_or_default();
        lost.is_none_or(|lost| proven > lost)
            .then_some(received.max(known))
    }

    /// Whether a replica that is known to have started again at `reborn` vouches for a
    /// primary by itself.
    ///
    /// It has lost its hold, and what it knew of later terms: asked alone, it would vouch for a
    /// primary that was replaced meanwhile. It counts by itself once the primary was proven to
    /// lead after its start, and otherwise only together with all others, one of which
    /// would lead.
    #[must_use]
    pub fn trusts(&self, reborn: Option<id::Time>, term: id::Term) -> bool {
        let proven = self.floors.led(term);
        reborn.is_none_or(|reborn| proven > Some(reborn))
    }
}
