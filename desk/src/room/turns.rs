//! Start-time fair queueing over the organisations that wait for an instance.
//!
//! Addresses one organisation that sends many times its usual load to an instance that others need
//! too: in the order of [`schedule`] alone it gets a share in proportion to what it sends. Each
//! organisation has a virtual time that advances by the work that it was served; of those that
//! wait, the one with the earliest goes first. Priorities still come first, and with a single
//! organisation the order is that of [`schedule::next`].

use std::cmp;
use std::collections;
use std::time;

use mangotray::id;

use crate::organisation;
use crate::room::schedule;

/// Work that is charged when a request is served, until its real duration is known: about that of
/// one statement.
pub const EXPECTED_WORK: time::Duration = time::Duration::from_millis(15);

/// Largest lead of an organisation whose requests take over each other's connections, over others
/// that need new ones. Eight times the 12 ms of a slot for which a connection is opened: strict
/// turns would open one for nearly every statement.
pub const MAX_LEAD: time::Duration = time::Duration::from_millis(96);

/// In a standing queue, one pick in this many takes the least urgent priority, as in
/// [`schedule::next`], and another one a priority in between.
pub const LESS_URGENT_EVERY: u64 = 20;

/// The virtual times of the organisations that use one resource.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    /// Virtual time at which an organisation starts that was idle.
    now: time::Duration,
    /// Virtual time up to which each organisation was served, if later than `now`.
    served_until: collections::BTreeMap<organisation::Name, time::Duration>,
}

impl Turns {
    /// Virtual time at which the organisation's next request would start.
    ///
    /// ```
    /// use mangotray_desk::room::turns;
    /// let mut turns = turns::Turns::default();
    /// turns.charge(&"busy".into(), &[]);
    /// assert!(turns.start(&"idle".into()) < turns.start(&"busy".into()));
    /// ```
    #[must_use]
    pub fn start(&self, organisation: &organisation::Name) -> time::Duration {
        let served_until = self.served_until.get(organisation).copied();
        served_until.map_or(self.now, |until| until.max(self.now))
    }

    /// Charges an organisation with [`EXPECTED_WORK`], while the organisations `waiting` have
    /// requests in the queue.
    pub fn charge(&mut self, organisation: &organisation::Name, waiting: &[&organisation::Name]) {
        let start = self.start(organisation);
        // Advances to the earliest of those that wait, so that one which waits for long, behind
        // more urgent requests of others, keeps its place.
        let starts = waiting.iter().map(|name| self.start(name));
        self.now = starts.min().map_or(start, |earliest| earliest.min(start));
        let now = self.now;
        self.served_until.retain(|_, until| *until > now);
        self.served_until
            .insert(organisation.clone(), start + EXPECTED_WORK);
    }

    /// Replaces the expected work of one request by what it took.
    ///
    /// ```
    /// use mangotray_desk::room::turns;
    /// use std::time::Duration;
    /// let mut turns = turns::Turns::default();
    /// turns.charge(&"heavy".into(), &[&"heavy".into()]);
    /// turns.settle(&"heavy".into(), Duration::from_millis(90));
    /// assert_eq!(turns.start(&"heavy".into()), Duration::from_millis(90));
    /// ```
    pub fn settle(&mut self, organisation: &organisation::Name, took: time::Duration) {
        if let Some(until) = self.served_until.get_mut(organisation) {
            *until = (*until + took).saturating_sub(EXPECTED_WORK);
        }
    }

    /// Returns the index of the request to serve next; `organisations` has the organisation of
    /// each, and `served` counts the requests that were served before.
    ///
    /// ```
    /// use mangotray_desk::{room::schedule, room::turns, urgency};
    /// use std::time::Duration;
    /// let entry = |number| schedule::Entry {
    ///     urgency: urgency::Urgency::default(),
    ///     number,
    ///     since: Duration::ZERO,
    /// };
    /// let (busy, other) = ("busy".into(), "other".into());
    /// let mut turns = turns::Turns::default();
    /// turns.charge(&busy, &[&busy, &other]);
    /// let waiting = [entry(1), entry(2)];
    /// let next = turns.next(&waiting, &[&busy, &other], Duration::from_millis(10), 1);
    /// assert_eq!(next, Some(1));
    /// ```
    #[must_use]
    pub fn next(
        &self,
        waiting: &[schedule::Entry],
        organisations: &[&organisation::Name],
        now: id::Time,
        served: u64,
    ) -> Option<usize> {
        let first = organisations.first()?;
        if organisations.iter().all(|name| name == first) {
            return schedule::next(waiting, now, served);
        }
        let control = |index: &usize| is_control(&waiting[*index], organisations[*index]);
        let control: Vec<_> = (0..waiting.len()).filter(control).collect();
        if !control.is_empty() {
            return next_of(&control, waiting, now, served);
        }
        let priority = priority(waiting, now, served)?;
        let of_priority = |index: &usize| waiting[*index].urgency.priority == priority;
        let candidates: Vec<_> = (0..waiting.len()).filter(of_priority).collect();
        let starts: Vec<_> = candidates
            .iter()
            .map(|index| self.start(organisations[*index]))
            .collect();
        let earliest = starts.iter().min()?;
        let in_turn: Vec<_> = candidates
            .iter()
            .zip(&starts)
            .filter(|(_, start)| *start == earliest)
            .map(|(index, _)| *index)
            .collect();
        next_of(&in_turn, waiting, now, served)
    }
}

/// Whether a connection goes to the request `other` of another organisation, for which a new one
/// has to be opened, rather than to `own`, which can use it at once: if `other` has the more urgent
/// priority, or the organisation of `own` is ahead by a `lead` of more than [`MAX_LEAD`].
///
/// ```
/// use mangotray_desk::{room::schedule, room::turns, urgency};
/// use std::time::Duration;
/// let entry = |priority| schedule::Entry {
///     urgency: urgency::Urgency { priority, ..urgency::Urgency::default() },
///     number: 1,
///     since: Duration::ZERO,
/// };
/// assert!(turns::changes_hands(&entry(2), &entry(1), Duration::ZERO));
/// assert!(!turns::changes_hands(&entry(1), &entry(1), turns::MAX_LEAD));
/// assert!(turns::changes_hands(&entry(1), &entry(1), 2 * turns::MAX_LEAD));
/// ```
#[must_use]
pub fn changes_hands(own: &schedule::Entry, other: &schedule::Entry, lead: time::Duration) -> bool {
    match other.urgency.priority.cmp(&own.urgency.priority) {
        cmp::Ordering::Less => true,
        cmp::Ordering::Equal => lead > MAX_LEAD,
        cmp::Ordering::Greater => false,
    }
}

/// Whether a request is this node's own status query or command to the instance.
///
/// ```
/// use mangotray_desk::{organisation, room::schedule, room::turns, urgency};
/// use std::time::Duration;
/// let urgency = urgency::Urgency::immediate(Duration::from_secs(1));
/// let entry = schedule::Entry { urgency, number: 1, since: Duration::ZERO };
/// assert!(turns::is_control(&entry, &organisation::OWN));
/// assert!(!turns::is_control(&entry, &"other".into()));
/// ```
#[must_use]
pub fn is_control(entry: &schedule::Entry, organisation: &organisation::Name) -> bool {
    let urgency = entry.urgency;
    *organisation == organisation::OWN && urgency.priority == 0 && urgency.objective.is_zero()
}

// The priority to serve next.
fn priority(waiting: &[schedule::Entry], now: id::Time, served: u64) -> Option<u8> {
    let priorities = waiting.iter().map(|entry| entry.urgency.priority);
    let priorities: collections::BTreeSet<_> = priorities.collect();
    let (most, least) = (*priorities.first()?, *priorities.last()?);
    if !schedule::is_standing(waiting, now) {
        return Some(most);
    }
    if served.is_multiple_of(LESS_URGENT_EVERY) {
        return Some(least);
    }
    let between: Vec<_> = priorities
        .into_iter()
        .filter(|priority| (most + 1..least).contains(priority))
        .collect();
    if served % LESS_URGENT_EVERY == LESS_URGENT_EVERY / 2 && !between.is_empty() {
        let round = usize::try_from(served / LESS_URGENT_EVERY).unwrap_or_default();
        return Some(between[round % between.len()]);
    }
    Some(most)
}

// The next of some of the requests, in the order of `schedule`.
fn next_of(
    indices: &[usize],
    waiting: &[schedule::Entry],
    now: id::Time,
    served: u64,
) -> Option<usize> {
    let entries: Vec<_> = indices.iter().map(|index| waiting[*index]).collect();
    schedule::next(&entries, now, served).map(|index| indices[index])
}
