//! Floors: the log positions that an instance must have applied to have all commits that were
//! acknowledged before a given time.

use std::collections;
use std::time;

use mangotray::id;
use mangotray::stamp;

use crate::ended;
use crate::verdict;

/// Floors closer together than this are merged, so that 3 s of floors take fewer than 100 entries.
const SPACING: time::Duration = time::Duration::from_millis(40);

/// How long the primary's recent positions are kept, apart from the floors derived from them.
const RECENT_RETENTION: time::Duration = time::Duration::from_secs(1);

/// Floors older than this are dropped; above the largest usual staleness bound of a read.
const RETENTION: time::Duration = time::Duration::from_secs(10);

/// Evidence from the instances of one term, and the floors derived from it.
///
/// The primary's position shows which commits exist; a replica's status shows that this primary
/// still leads. Only both together give a floor, valid for the earlier of the two times: a replaced
/// primary keeps answering but doesn't know of later commits.
///
/// ```
/// use mangotray::stamp;
/// use mangotray_desk::floor;
/// use std::time::Duration;
/// let mut floors = floor::Floors::default();
/// floors.record_position(2, Duration::from_millis(10), stamp::Stamp::new(2, 7));
/// assert_eq!(floors.since(Duration::from_millis(10)), None);
/// floors.record_leading(2, Duration::from_millis(12));
/// assert_eq!(floors.since(Duration::from_millis(10)), Some(stamp::Stamp::new(2, 7)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Floors {
    term: id::Term,
    /// When the primary was last proven to lead.
    proven_at: Option<id::Time>,
    /// The primary's positions that are not yet covered by a proof, with the time at which each was
    /// requested.
    unproven_positions: collections::VecDeque<(id::Time, stamp::Stamp)>,
    /// The floors, with the moment up to which each covers commits, in order of time.
    entries: collections::VecDeque<(id::Time, stamp::Stamp)>,
    /// This term's primary's first known position, with the time at which it was requested.
    first_position: Option<(id::Time, stamp::Stamp)>,
    loss: Option<Loss>,
    /// The primary's recent positions, with the time at which each was requested.
    recent_positions: collections::VecDeque<(id::Time, stamp::Stamp)>,
    /// When a floor was last derived from replicas alone.
    replica_only_at: Option<id::Time>,
}

/// Processes of replicas that have ended in this term, whose logs are lost.
#[derive(Clone, Copy, Debug)]
struct Loss {
    /// They had ended by this time.
    ended_by: id::Time,
    /// The primary's first known position after that.
    bound: Option<stamp::Stamp>,
    /// While there is no bound: one of them may have followed the primary.
    may_have_followed: bool,
}

impl Loss {
    fn join(self, other: Self) -> Self {
        Self {
            ended_by: self.ended_by.max(other.ended_by),
            bound: self.bound.zip(other.bound).map(|(one, two)| one.max(two)),
            may_have_followed: self.is_open() || other.is_open(),
        }
    }

    const fn is_open(&self) -> bool {
        self.bound.is_none() && self.may_have_followed
    }
}

impl Floors {
    /// Records that the primary of `term` was still leading at `started`, when the query to its
    /// replicas was sent.
    pub fn record_leading(&mut self, term: id::Term, started: id::Time) {
        if !self.enter_term(term) {
            return;
        }
        self.proven_at = self.proven_at.max(Some(started));
        let proven = self
            .unproven_positions
            .iter()
            .rev()
            .find(|(sent, _)| *sent <= started);
        if let Some(&(sent, stamp)) = proven {
            self.push(sent, stamp);
        }
        self.unproven_positions.retain(|(sent, _)| *sent > started);
    }

    /// Records the primary's position in the answer to a command sent at `sent`.
    pub fn record_position(&mut self, term: id::Term, sent: id::Time, stamp: stamp::Stamp) {
        if !self.enter_term(term) {
            return;
        }
        if let Some(proven_at) = self.proven_at.filter(|proven_at| *proven_at <= sent) {
            self.push(proven_at, stamp);
        }
        self.first_position = self.first_position.or(Some((sent, stamp)));
        self.bound_loss(sent, stamp);
        self.record_recent(sent, stamp);
        let spaced = self
            .unproven_positions
            .back()
            .is_none_or(|(last, _)| *last + SPACING <= sent);
        if spaced {
            self.unproven_positions.push_back((sent, stamp));
        }
        self.prune(sent);
    }

    /// The lowest floor that covers all commits acknowledged before `moment`.
    #[must_use]
    pub fn since(&self, moment: id::Time) -> Option<stamp::Stamp> {
        self.lowest(moment).map(|(_, stamp)| stamp)
    }

    /// Like [`since`](Self::since), with the floor's term and the moment up to which it covers
    /// commits, for use by another node. `None` if one of the floors since `moment` may derive from
    /// replicas alone.
    ///
    /// Such a floor covers all commits only if no instance was lost, and the other node may know of
    /// a loss that this node doesn't know of.
    #[must_use]
    pub fn attested_since(&self, moment: id::Time) -> Option<(id::Term, id::Time, stamp::Stamp)> {
        let (time, stamp) = self.lowest(moment)?;
        let attested = self
            .replica_only_at
            .is_none_or(|replica_only_at| replica_only_at < moment);
        attested.then_some((self.term, time, stamp))
    }

    fn lowest(&self, moment: id::Time) -> Option<(id::Time, stamp::Stamp)> {
        self.entries
            .iter()
            .find(|(time, _)| *time >= moment)
            .copied()
    }

    /// Adds a floor reported by another node: the primary of `term` led at `time`, and `stamp`
    /// covers all commits acknowledged up to then.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::floor;
    /// use std::time::Duration;
    /// let mut floors = floor::Floors::default();
    /// floors.adopt(2, Duration::from_millis(10), Stamp::new(2, 7));
    /// assert_eq!(floors.since(Duration::from_millis(10)), Some(Stamp::new(2, 7)));
    /// assert_eq!(floors.since(Duration::from_millis(11)), None);
    /// // A floor of an earlier term is ignored.
    /// floors.adopt(1, Duration::from_millis(90), Stamp::new(1, 9));
    /// assert_eq!(floors.since(Duration::from_millis(11)), None);
    /// ```
    pub fn adopt(&mut self, term: id::Term, time: id::Time, stamp: stamp::Stamp) {
        if !self.enter_term(term) {
            return;
        }
        self.proven_at = self.proven_at.max(Some(time));
        let at = self.entries.partition_point(|(known, _)| *known < time);
        match self.entries.get_mut(at) {
            Some((known, kept)) if *known == time => *kept = (*kept).min(stamp),
            _ => self.entries.insert(at, (time, stamp)),
        }
        self.prune(time);
    }

    /// Records that a floor was derived from replicas alone at `now`.
    pub const fn note_replica_only(&mut self, now: id::Time) {
        self.replica_only_at = Some(now);
    }

    fn record_recent(&mut self, sent: id::Time, stamp: stamp::Stamp) {
        match self.recent_positions.back_mut() {
            Some((last, kept)) if sent < *last + SPACING => *kept = (*kept).max(stamp),
            _ => self.recent_positions.push_back((sent, stamp)),
        }
        self.recent_positions
            .retain(|(time, _)| *time + RECENT_RETENTION >= sent);
    }

    /// The position of the primary of `term` at `moment`, from an answer requested at that time or
    /// up to a second before.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::floor;
    /// use std::time::Duration;
    /// let mut floors = floor::Floors::default();
    /// floors.record_position(2, Duration::from_millis(100), Stamp::new(2, 7));
    /// assert_eq!(floors.position_at(2, Duration::from_millis(300)), Some(Stamp::new(2, 7)));
    /// assert_eq!(floors.position_at(2, Duration::from_millis(50)), None);
    /// assert_eq!(floors.position_at(2, Duration::from_millis(1900)), None);
    /// assert_eq!(floors.position_at(3, Duration::from_millis(300)), None);
    /// ```
    #[must_use]
    pub fn position_at(&self, term: id::Term, moment: id::Time) -> Option<stamp::Stamp> {
        if term != self.term {
            return None;
        }
        let answers = self.recent_positions.iter().rev();
        let found = answers.into_iter().find(|(time, _)| *time <= moment);
        let found = found.filter(|(time, _)| *time + RECENT_RETENTION >= moment);
        found.map(|(_, stamp)| *stamp)
    }

    /// The latest time of which it is known that all commits acknowledged before it, in `term`, are
    /// at or before `stamp`.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::floor;
    /// use std::time::Duration;
    /// let millis = Duration::from_millis;
    /// let mut floors = floor::Floors::default();
    /// floors.record_position(2, millis(100), Stamp::new(2, 7));
    /// floors.record_position(2, millis(200), Stamp::new(2, 9));
    /// assert_eq!(floors.covered_until(2, Stamp::new(2, 8)), Some(millis(100)));
    /// assert_eq!(floors.covered_until(2, Stamp::new(2, 9)), Some(millis(200)));
    /// assert_eq!(floors.covered_until(2, Stamp::new(2, 6)), None);
    /// assert_eq!(floors.covered_until(3, Stamp::new(2, 9)), None);
    /// ```
    #[must_use]
    pub fn covered_until(&self, term: id::Term, stamp: stamp::Stamp) -> Option<id::Time> {
        if term != self.term {
            return None;
        }
        let positions = self.first_position.iter().chain(&self.recent_positions);
        let known = positions.chain(&self.entries);
        let covered = known.filter(|(_, position)| *position <= stamp);
        covered.map(|(time, _)| *time).max()
    }

    /// The last known position of the primary of `term`.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::floor;
    /// use std::time::Duration;
    /// let mut floors = floor::Floors::default();
    /// floors.record_position(2, Duration::from_millis(100), Stamp::new(2, 7));
    /// assert_eq!(floors.last_position(2), Some(Stamp::new(2, 7)));
    /// assert_eq!(floors.last_position(3), None);
    /// ```
    #[must_use]
    pub fn last_position(&self, term: id::Term) -> Option<stamp::Stamp> {
        let recent = self.recent_positions.iter().map(|(_, stamp)| *stamp);
        let known = recent.chain(self.newest_position()).max();
        known.filter(|_| term == self.term)
    }

    /// Records that a process has ended whose log is lost.
    pub fn note_loss(&mut self, process: ended::Process) {
        if self.first_position.is_none() {
            return;
        }
        let loss = Loss {
            ended_by: process.by,
            bound: self.first_position_since(process.by),
            may_have_followed: process.may_have_followed(self.term),
        };
        self.loss = Some(self.loss.map_or(loss, |before| before.join(loss)));
    }

    // A position that the primary had when it was asked at `moment` or later, the earliest known.
    fn first_position_since(&self, moment: id::Time) -> Option<stamp::Stamp> {
        let known = self.first_position.iter().chain(&self.recent_positions);
        let since = known.filter(|(sent, _)| *sent >= moment);
        since.map(|(_, stamp)| *stamp).min()
    }

    /// If processes have ended under the primary of `term` whose logs are lost: what is known of the
    /// records that they may have confirmed. That is nothing beyond the primary's first known
    /// position after their end.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::{ended, floor, verdict::Loss};
    /// use std::time::Duration;
    /// let mut floors = floor::Floors::default();
    /// floors.record_position(2, Duration::from_millis(100), Stamp::new(2, 7));
    /// assert_eq!(floors.loss(2), None);
    /// floors.note_loss(ended::Process::found(Duration::from_millis(200)));
    /// floors.record_position(2, Duration::from_millis(150), Stamp::new(2, 8));
    /// assert_eq!(floors.loss(2), Some(Loss::Unknown));
    /// floors.record_position(2, Duration::from_millis(300), Stamp::new(2, 9));
    /// floors.record_position(2, Duration::from_millis(400), Stamp::new(2, 11));
    /// assert_eq!(floors.loss(2), Some(Loss::Within(Stamp::new(2, 9))));
    /// // The loss is irrelevant to a later primary.
    /// floors.record_position(3, Duration::from_millis(500), Stamp::new(3, 12));
    /// assert_eq!(floors.loss(3), None);
    /// // A process that had ended before this primary answered has confirmed nothing after that.
    /// floors.note_loss(ended::Process { by: Duration::from_millis(450), term: 2 });
    /// assert_eq!(floors.loss(3), Some(Loss::Within(Stamp::new(3, 12))));
    /// ```
    #[must_use]
    pub fn loss(&self, term: id::Term) -> Option<verdict::Loss> {
        let loss = self.loss.filter(|_| term == self.term)?;
        Some(match loss.bound {
            Some(bound) => verdict::Loss::Within(bound),
            None if loss.may_have_followed => verdict::Loss::Unknown,
            None => verdict::Loss::Unseen,
        })
    }

    fn bound_loss(&mut self, sent: id::Time, stamp: stamp::Stamp) {
        if let Some(Loss {
            ended_by,
            bound: bound @ None,
            ..
        }) = &mut self.loss
            && *ended_by <= sent
        {
            *bound = Some(stamp);
        }
    }

    /// Whether a position of the primary requested at `moment` or later is known.
    #[must_use]
    pub fn has_position_since(&self, moment: id::Time) -> bool {
        self.unproven_positions
            .back()
            .is_some_and(|(sent, _)| *sent >= moment)
    }

    /// The moment up to which the newest floor covers commits.
    #[must_use]
    pub fn newest_moment(&self) -> Option<id::Time> {
        self.entries.back().map(|(time, _)| *time)
    }

    /// The log position of the newest floor.
    #[must_use]
    pub fn newest_position(&self) -> Option<stamp::Stamp> {
        self.entries.back().map(|(_, stamp)| *stamp)
    }

    /// The last moment at which the primary of `term` was proven to lead.
    #[must_use]
    pub fn last_proven(&self, term: id::Term) -> Option<id::Time> {
        self.proven_at.filter(|_| term == self.term)
    }

    /// Discards the floors; what is known of the primary and its positions stays.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::floor;
    /// use std::time::Duration;
    /// let mut floors = floor::Floors::default();
    /// floors.adopt(2, Duration::from_millis(10), Stamp::new(2, 7));
    /// floors.discard();
    /// assert_eq!(floors.since(Duration::from_millis(10)), None);
    /// ```
    pub fn discard(&mut self) {
        self.entries.clear();
    }

    fn enter_term(&mut self, term: id::Term) -> bool {
        if term > self.term {
            *self = Self {
                term,
                ..Self::default()
            };
        }
        term == self.term
    }

    fn push(&mut self, time: id::Time, stamp: stamp::Stamp) {
        let dense = self.is_dense();
        match self.entries.back_mut() {
            Some((last, _)) if time < *last => {}
            // For the same moment, the lower position covers all commits as well.
            Some((last, kept)) if time == *last => *kept = (*kept).min(stamp),
            Some(last) if dense => *last = (time, stamp),
            _ => self.entries.push_back((time, stamp)),
        }
    }

    fn is_dense(&self) -> bool {
        let mut newest = self.entries.iter().rev().map(|(time, _)| *time);
        match (newest.next(), newest.next()) {
            (Some(last), Some(before)) => last < before + SPACING,
            _ => false,
        }
    }

    fn prune(&mut self, now: id::Time) {
        let oldest = now.saturating_sub(RETENTION);
        self.entries.retain(|(time, _)| *time >= oldest);
        self.unproven_positions.retain(|(time, _)| *time >= oldest);
    }
}
