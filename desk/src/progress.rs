//! Replication progress: how much of the log the replicas are known to have received.

use std::collections;

use mangotray::id;
use mangotray::stamp;

use crate::status;
use crate::upstream;

/// The last report of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LastReport {
    /// Newest term known to the replica.
    term: id::Term,
    /// Last record received.
    received: stamp::Stamp,
    /// When the report arrived.
    arrived: id::Time,
}

/// The log positions that replicas are known to have received: the last report of each replica, and
/// the highest position of all.
///
/// A commit is acknowledged once one replica has received it. A promotion, and a read without the
/// primary's answer, need the highest position that any replica ever received. They also need to
/// know when a replica has lost its log: it may restart with an empty log before the list of
/// instances shows the restart.
///
/// ```
/// use mangotray::{role::Role, stamp::Stamp};
/// use mangotray_desk::{progress, status::Report, upstream::{Load, Status}};
/// use std::time::Duration;
/// let report = |term, position| Report {
///     id: "b".into(),
///     status: Status { role: Role::Replica, term, received: Stamp::new(term, position), held: 0, load: Load::default() },
///     applied: None,
/// };
/// let mut progress = progress::Progress::default();
/// let [first, second, third] = [1, 2, 3].map(Duration::from_millis);
/// assert!(!progress.record(&report(3, 462), first, third));
/// // This report may be older than the previous one.
/// assert!(!progress.record(&report(3, 461), second, third));
/// // It reports less than it had: it has restarted.
/// assert!(progress.record(&report(1, 0), third, third));
/// assert_eq!(progress.max_received().map(|(stamp, _)| stamp), Some(Stamp::new(3, 462)));
/// // The primary of a later term has every record acknowledged before.
/// progress.record_primary(4, Stamp::new(3, 455));
/// assert_eq!(progress.max_received().map(|(stamp, _)| stamp), Some(Stamp::new(3, 455)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Progress {
    last_reports: collections::BTreeMap<upstream::Id, LastReport>,
    max_received: Option<(stamp::Stamp, id::Time)>,
}

impl Progress {
    /// Records a replica's report, which arrived at `now` in answer to a query sent at `started`.
    /// Returns whether the replica has lost its log.
    ///
    /// A replica that moves to a later term may drop records that its new primary never had; within
    /// a term a log only grows, and a process never forgets a term. Reports may arrive out of
    /// order: only a report that was requested after the previous one had arrived can show a loss.
    pub fn record(&mut self, report: &status::Report, started: id::Time, now: id::Time) -> bool {
        let status = report.status;
        self.record_received(status.received, now);
        let previous = self.last_reports.get(&report.id).copied();
        if previous.is_some_and(|previous| started < previous.arrived) {
            return false;
        }
        let current = LastReport {
            term: status.term,
            received: status.received,
            arrived: now,
        };
        self.last_reports.insert(report.id.clone(), current);
        previous.is_some_and(|previous| {
            let shorter = current.term == previous.term && current.received < previous.received;
            current.term < previous.term || shorter
        })
    }

    /// Records that some replica has received `received`.
    pub fn record_received(&mut self, received: stamp::Stamp, now: id::Time) {
        if self
            .max_received
            .is_none_or(|(max_received, _)| received > max_received)
        {
            self.max_received = Some((received, now));
        }
    }

    /// Limits the highest received position to the log position of the primary of `term`, unless it
    /// is of that term. Records of earlier terms beyond the primary's position were never
    /// acknowledged or are lost for good, so a promotion need not wait for them.
    pub fn record_primary(&mut self, term: id::Term, position: stamp::Stamp) {
        if let Some((max_received, _)) = &mut self.max_received
            && max_received.term < term
        {
            *max_received = (*max_received).min(position);
        }
    }

    /// The term in the last report of an instance.
    #[must_use]
    pub fn last_term(&self, id: &upstream::Id) -> Option<id::Term> {
        self.last_reports.get(id).map(|report| report.term)
    }

    /// Drops the last report of an instance's earlier process.
    pub fn forget(&mut self, id: &upstream::Id) {
        self.last_reports.remove(id);
    }

    /// Highest log position that any replica is known to have received, and when it last advanced.
    #[must_use]
    pub const fn max_received(&self) -> Option<(stamp::Stamp, id::Time)> {
        self.max_received
    }
}
