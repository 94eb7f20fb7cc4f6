//! The last load report on each instance from each lending node.
//!
//! Addresses decisions by reports that are no longer true: a report counts for a short time from
//! when its request was sent, and is dropped when the lending node fails, refuses or restarts.

use std::cell;
use std::collections;
use std::time;

use mangotray::id;

use crate::load::forecast;
use crate::load::report;
use crate::upstream;

/// The time of an exchange counts for this long, as an instance's speed changes more slowly than its
/// queue, and a node sends few statements to each instance. An instance that was avoided for being
/// slow is tried again afterwards.
const EXCHANGE_LIFETIME: time::Duration = time::Duration::from_secs(3);

/// The instance and the lending node that a report is about.
type Key = (upstream::Id, id::Vm);

/// Marks a request to a lending node, so that the report in its answer can be dated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    asked_at: id::Time,
    born: upstream::StartTime,
    /// Number of requests that this node had sent by then, this one included.
    number: usize,
}

#[derive(Default)]
struct Entry {
    born: upstream::StartTime,
    /// Number of requests that this node has sent.
    sent: usize,
    /// When the last of them was sent.
    asked_at: id::Time,
    last: Option<(report::Report, Ticket)>,
    /// Reports on requests that were sent until this time are ignored.
    forgotten_at: id::Time,
}

/// The reports of one node; bounded by the number of instances times that of their lending nodes.
///
/// ```
/// use mangotray_desk::load::{report, table};
/// use std::time::Duration;
/// let millis = Duration::from_millis;
/// let report = report::Report { waits_ms: [0; 3], exchange_ms: 20, limit: 5 };
/// let table = table::Table::default();
/// let ticket = table.note_sent(&"i".into(), 1, &"lender".into(), millis(100));
/// table.record(&"i".into(), &"lender".into(), ticket, report);
/// let found = |at| table.find(&"i".into(), 1, &"lender".into(), millis(at));
/// assert_eq!(found(120).unwrap().age, millis(20));
/// assert_eq!(found(600), None);
/// table.forget_lender(&"lender".into(), millis(130));
/// assert_eq!(found(130), None);
/// ```
#[derive(Default)]
pub struct Table {
    entries: cell::RefCell<collections::BTreeMap<Key, Entry>>,
    /// When each lending node last failed or was found to have restarted.
    failed_at: cell::RefCell<collections::BTreeMap<id::Vm, id::Time>>,
}

impl Table {
    /// Counts a request that is sent at `now` to a lending node, for the process of an instance
    /// that started at `born`.
    pub fn note_sent(
        &self,
        instance: &upstream::Id,
        born: upstream::StartTime,
        lender: &id::Vm,
        now: id::Time,
    ) -> Ticket {
        let mut entries = self.entries.borrow_mut();
        let entry = entries
            .entry((instance.clone(), lender.clone()))
            .or_default();
        if entry.born < born {
            *entry = Entry {
                born,
                ..Entry::default()
            };
        }
        entry.sent += 1;
        entry.asked_at = now;
        Ticket {
            asked_at: now,
            born,
            number: entry.sent,
        }
    }

    /// Records the report in the answer to a request, unless a later one is known, or the lending
    /// node has failed since the request was sent.
    pub fn record(
        &self,
        instance: &upstream::Id,
        lender: &id::Vm,
        ticket: Ticket,
        report: report::Report,
    ) {
        let failed_at = self.failed_at.borrow().get(lender).copied();
        if failed_at.is_some_and(|failed_at| ticket.asked_at <= failed_at) {
            return;
        }
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&(instance.clone(), lender.clone())) else {
            return;
        };
        let later = |(_, last): &(report::Report, Ticket)| last.asked_at > ticket.asked_at;
        let valid = entry.born == ticket.born && ticket.asked_at > entry.forgotten_at;
        if valid && !entry.last.as_ref().is_some_and(later) {
            entry.last = Some((report, ticket));
        }
    }

    /// What the fresh report of a lending node on an instance's process lets expect at `now`.
    #[must_use]
    pub fn find(
        &self,
        instance: &upstream::Id,
        born: upstream::StartTime,
        lender: &id::Vm,
        now: id::Time,
    ) -> Option<forecast::Forecast> {
        let entries = self.entries.borrow();
        let entry = entries.get(&(instance.clone(), lender.clone()))?;
        let (report, ticket) = entry.last.filter(|_| entry.born == born)?;
        let age = now.saturating_sub(ticket.asked_at);
        (age < forecast::LIFETIME).then(|| forecast::Forecast {
            report,
            age,
            added: entry.sent.saturating_sub(ticket.number),
        })
    }

    /// The last reported time of an exchange with an instance's process, unless it is older than
    /// three seconds.
    #[must_use]
    pub fn exchange(
        &self,
        instance: &upstream::Id,
        born: upstream::StartTime,
        lender: &id::Vm,
        now: id::Time,
    ) -> Option<time::Duration> {
        let entries = self.entries.borrow();
        let entry = entries.get(&(instance.clone(), lender.clone()))?;
        let (report, ticket) = entry.last.filter(|_| entry.born == born)?;
        let recent = now < ticket.asked_at + EXCHANGE_LIFETIME;
        recent.then(|| report.exchange())
    }

    /// Drops a lending node's report on one instance, as it refused or did not answer at `now`.
    pub fn forget(&self, instance: &upstream::Id, lender: &id::Vm, now: id::Time) {
        let mut entries = self.entries.borrow_mut();
        if let Some(entry) = entries.get_mut(&(instance.clone(), lender.clone())) {
            entry.last = None;
            entry.forgotten_at = now;
        }
    }

    /// Drops all reports of a lending node, as it was found at `now` to have failed or restarted.
    pub fn forget_lender(&self, lender: &id::Vm, now: id::Time) {
        self.failed_at.borrow_mut().insert(lender.clone(), now);
        for ((_, from), entry) in self.entries.borrow_mut().iter_mut() {
            if from == lender {
                entry.last = None;
            }
        }
    }

    /// Removes what no decision at `now` or later can use.
    pub fn prune(&self, now: id::Time) {
        // A failure is known for as long as the speed in an answer from before it would count.
        let recent = |time: id::Time| now < time + EXCHANGE_LIFETIME;
        self.failed_at.borrow_mut().retain(|_, time| recent(*time));
        self.entries
            .borrow_mut()
            .retain(|_, entry| recent(entry.asked_at));
    }
}
