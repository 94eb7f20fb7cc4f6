//! What replicas were seen to have received.

use std::collections;

use mangotray::id;
use mangotray::stamp;

use crate::status;
use crate::upstream;

/// What one replica said last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Reported {
    /// Newest term that it knew.
    term: id::Term,
    /// Last record received.
    received: stamp::Stamp,
    /// When its answer came.
    heard: id::Time,
}

/// What replicas were seen to have received, each by itself and all together.
///
/// A commit is acknowledged once one replica has received it. Whoever promotes, or reads
/// without the primary's word, needs the furthest record that any replica ever had, and has to
/// notice when a replica lost its log: it may start again empty before the list of
/// instances tells so.
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
/// // This answer may be older than the one before.
/// assert!(!progress.record(&report(3, 461), second, third));
/// // It answers with less than it had: it has started again.
/// assert!(progress.record(&report(1, 0), third, third));
/// assert_eq!(progress.furthest().map(|(stamp, _)| stamp), Some(Stamp::new(3, 462)));
/// // A primary of a later term has all that was ever acknowledged before.
/// progress.record_primary(4, Stamp::new(3, 455));
/// assert_eq!(progress.furthest().map(|(stamp, _)| stamp), Some(Stamp::new(3, 455)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Progress {
    seen: collections::BTreeMap<upstream::Id, Reported>,
    furthest: Option<(stamp::Stamp, id::Time)>,
}

impl Progress {
    /// Takes note of what a replica said at `now`, asked at `started`; `true` where it has lost
    /// its log.
    ///
    /// One that goes over to a later term may drop records that its primary never had; within
    /// a term a log only grows, and no process forgets a term. Answers may overtake each other:
    /// only one that was asked for after the last one had come tells of a loss.
    pub fn record(&mut self, report: &status::Report, started: id::Time, now: id::Time) -> bool {
        let status = report.status;
        self.record_received(status.received, now);
        let before = self.seen.get(&report.id).copied();
        if before.is_some_and(|before| started < before.heard) {
            return false;
        }
        let news = Reported {
            term: status.term,
            received: status.received,
            heard: now,
        };
        self.seen.insert(report.id.clone(), news);
        before.is_some_and(|before| {
            let shorter = news.term == before.term && news.received < before.received;
            news.term < before.term || shorter
        })
    }

    /// Takes note of a record that some replica has received.
    pub fn record_received(&mut self, received: stamp::Stamp, now: id::Time) {
        if self
            .furthest
            .is_none_or(|(furthest, _)| received > furthest)
        {
            self.furthest = Some((received, now));
        }
    }

    /// Takes note of where the log of the primary of `term` stands. Records of earlier terms
    /// beyond it were never acknowledged, or are lost for good: nobody has to wait for them.
    pub fn record_primary(&mut self, term: id::Term, position: stamp::Stamp) {
        if let Some((furthest, _)) = &mut self.furthest
            && furthest.term < term
        {
            *furthest = (*furthest).min(position);
        }
    }

    /// Forgets what an earlier process of an instance had said of itself.
    pub fn forget(&mut self, id: &upstream::Id) {
        self.seen.remove(id);
    }

    /// Furthest record that any replica was seen to have, and when that last moved.
    #[must_use]
    pub const fn furthest(&self) -> Option<(stamp::Stamp, id::Time)> {
        self.furthest
    }
}
