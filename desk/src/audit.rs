//! Records which instances' logs a promotion is based on, and detects records that it lost.
//!
//! A promotion is correct only if no instance that was left out has an acknowledged commit. Which
//! instances were left out, and why, has to be logged at the time: minutes later the list of
//! instances has changed, and replicas that were ahead have been rolled back.

use std::fmt;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray::telemetry;

use crate::group;
use crate::probe;
use crate::status;
use crate::upstream;

/// The instances that were counted in a promotion, and those that were left out.
///
/// ```
/// use mangotray::{role::Role, stamp::Stamp};
/// use mangotray_desk::{audit, status, upstream};
/// use std::time::Duration;
/// let status = upstream::Status { role: Role::Replica, term: 1, received: Stamp::new(1, 9), held: 2, load: upstream::Load::default() };
/// let audit = audit::Audit {
///     candidate: "b".into(),
///     position: Stamp::new(1, 9),
///     term: 2,
///     old: Some("a".into()),
///     reports: vec![status::Report { id: "b".into(), status, applied: None }],
///     queried: vec!["a".into(), "b".into(), "c".into()],
///     unlisted: vec!["c".into()],
///     forgotten: vec![("d".into(), Duration::from_secs(4))],
/// };
/// assert_eq!(audit.counted(), "b 1/9 term 1 held 2");
/// assert_eq!(audit.uncounted(), "a replaced, c unlisted, d forgotten 4s ago");
/// ```
#[derive(Clone, Debug)]
pub struct Audit {
    /// The instance chosen as the new primary.
    pub candidate: upstream::Id,
    /// Last log position of the candidate when it was chosen.
    pub position: stamp::Stamp,
    /// Term that the candidate is to lead.
    pub term: id::Term,
    /// The primary that is replaced.
    pub old: Option<upstream::Id>,
    /// The status reports that were counted.
    pub reports: Vec<status::Report>,
    /// All instances that are queried.
    pub queried: Vec<upstream::Id>,
    /// Queried instances that are no longer listed.
    pub unlisted: Vec<upstream::Id>,
    /// Instances that are no longer queried, with the time since they were dropped.
    pub forgotten: Vec<(upstream::Id, time::Duration)>,
}

impl Audit {
    /// Lists each counted instance with its last log position, its term and the term that it is
    /// held for.
    #[must_use]
    pub fn counted(&self) -> String {
        let describe = |report: &status::Report| {
            let status = report.status;
            let (received, term, held) = (status.received, status.term, status.held);
            let unlisted = if self.unlisted.contains(&report.id) {
                " unlisted"
            } else {
                ""
            };
            format!("{} {received} term {term} held {held}{unlisted}", report.id)
        };
        join(self.reports.iter().map(describe))
    }

    /// Lists each instance that was not counted, with the reason.
    #[must_use]
    pub fn uncounted(&self) -> String {
        let counted = |id: &upstream::Id| self.reports.iter().any(|report| report.id == *id);
        let left_out = self.queried.iter().filter(|id| !counted(id));
        let left_out = left_out.map(|id| format!("{id} {}", self.reason(id)));
        let forgotten = self
            .forgotten
            .iter()
            .map(|(id, ago)| format!("{id} forgotten {ago:?} ago"));
        join(left_out.chain(forgotten))
    }

    fn reason(&self, id: &upstream::Id) -> &'static str {
        if self.old.as_ref() == Some(id) {
            "replaced"
        } else if self.unlisted.contains(id) {
            "unlisted"
        } else {
            "not held"
        }
    }

    /// Returns the instances that have records of earlier terms beyond the candidate's position at
    /// the time of its choice. Each of these records is lost, and may have been acknowledged.
    ///
    /// A replica that already follows the new primary was rolled back or has records of the new
    /// term, so its log proves nothing any more.
    ///
    /// ```
    /// use mangotray::{role::Role, stamp::Stamp};
    /// use mangotray_desk::{audit, status, upstream};
    /// let report = |id: &str, role, term, number| status::Report {
    ///     id: id.into(),
    ///     status: upstream::Status { role, term, received: Stamp::new(term, number), held: 0, load: upstream::Load::default() },
    ///     applied: None,
    /// };
    /// let audit = audit::Audit {
    ///     candidate: "b".into(),
    ///     position: Stamp::new(1, 9),
    ///     term: 2,
    ///     old: Some("a".into()),
    ///     reports: vec![report("b", Role::Replica, 1, 9)],
    ///     queried: vec!["a".into(), "b".into()],
    ///     unlisted: Vec::new(),
    ///     forgotten: Vec::new(),
    /// };
    /// let leads = report("b", Role::Primary, 2, 12);
    /// let reports = [report("a", Role::Primary, 1, 10), leads, report("c", Role::Replica, 1, 9)];
    /// assert_eq!(audit.instances_ahead(&reports), [&reports[0]]);
    /// ```
    #[must_use]
    pub fn instances_ahead<'a>(&self, reports: &'a [status::Report]) -> Vec<&'a status::Report> {
        let own = reports.iter().find(|report| report.id == self.candidate);
        let own = own.filter(|report| report.status.role == role::Role::Primary);
        let term = own.map_or(self.term, |report| report.status.term);
        let instances_ahead = |report: &&status::Report| {
            let received = report.status.received;
            report.id != self.candidate && received.term < term && received > self.position
        };
        reports.iter().filter(instances_ahead).collect()
    }

    /// Queries all instances once after a promotion and reports records that the new primary lacks. The
    /// answers do not change this node's view of the group.
    pub async fn check(self, group: rc::Rc<group::Group>) {
        let pools = group.roster().pools();
        let reports = status::query_all(&pools, group.dialer(), probe::TIMEOUT).await;
        let (candidate, position, term) = (&self.candidate, self.position, self.term);
        let ahead = self.instances_ahead(&reports);
        tracing::info!(group = %group.name, %candidate, term, answers = reports.len(),
            unseen = self.unanswered(&reports), beyond = ahead.len(), "promotion checked");
        for report in ahead {
            let received = report.status.received;
            if self.old.as_ref() == Some(&report.id) {
                tracing::warn!(group = %group.name, instance = %report.id, %received, %candidate, %position, term,
                    "the replaced primary has records that the new primary lacks: they are lost if they were acknowledged");
            } else {
                metrics::counter!(telemetry::PROMOTION_LOSSES, "group" => group.name.to_string())
                    .increment(1);
                tracing::error!(group = %group.name, instance = %report.id, %received, %candidate, %position, term,
                    "a replica has records that the new primary lacks: acknowledged commits may be lost");
            }
        }
    }

    /// Lists the queried instances that are missing from the answers.
    #[must_use]
    pub fn unanswered(&self, reports: &[status::Report]) -> String {
        let answered = |id: &upstream::Id| reports.iter().any(|report| report.id == *id);
        join(self.queried.iter().filter(|id| !answered(id)))
    }
}

fn join(items: impl Iterator<Item = impl fmt::Display>) -> String {
    let items: Vec<_> = items.map(|item| item.to_string()).collect();
    items.join(", ")
}
