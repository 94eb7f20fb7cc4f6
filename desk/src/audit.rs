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

use crate::boot;
use crate::group;
use crate::node;
use crate::probe;
use crate::seal;
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
    /// Last log position that the candidate is known to have received before it led.
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
    /// Notes that the candidate has received the records up to a position since it was chosen.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::audit;
    /// let mut audit = audit::Audit {
    ///     candidate: "b".into(),
    ///     position: Stamp::new(1, 9),
    ///     term: 2,
    ///     old: Some("a".into()),
    ///     reports: Vec::new(),
    ///     queried: Vec::new(),
    ///     unlisted: Vec::new(),
    ///     forgotten: Vec::new(),
    /// };
    /// audit.note_received(Some(Stamp::new(1, 11)));
    /// audit.note_received(None);
    /// assert_eq!(audit.position, Stamp::new(1, 11));
    /// ```
    pub fn note_received(&mut self, position: Option<stamp::Stamp>) {
        self.position = self.position.max(position.unwrap_or_default());
    }

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
    /// the time at which it began to lead. Each of these records is lost, and may have been
    /// acknowledged.
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

    /// Queries all instances once after a promotion that began at `began` and whose candidate leads in
    /// the term `led`, and reports records that the new primary lacks. The nodes' answers to a seal of
    /// the earlier terms tell whether any caller was told of these records. The answers do not change
    /// this node's view of the group.
    pub async fn check(
        self,
        node: rc::Rc<node::Node>,
        group: rc::Rc<group::Group>,
        led: id::Term,
        began: id::Time,
    ) {
        let pools = group.roster().pools();
        let reports = status::query_all(&pools, group.dialer(), probe::TIMEOUT).await;
        let (candidate, position, term) = (&self.candidate, self.position, self.term);
        let ahead = self.instances_ahead(&reports);
        tracing::info!(group = %group.name, %candidate, term, answers = reports.len(),
            unseen = self.unanswered(&reports), beyond = ahead.len(), "promotion checked");
        if ahead.is_empty() {
            return;
        }
        let request = seal::Request {
            group: group.name.clone(),
            term: led.saturating_sub(1),
        };
        let answers = node.seal_everywhere(&request).await;
        let told = seal::highest(&answers);
        let bound = seal::bound(&answers, boot::now().saturating_sub(began));
        let finding = Finding::judge(position, told, bound);
        for report in ahead {
            let (instance, received) = (&report.id, report.status.received);
            let replaced = self.old.as_ref() == Some(instance);
            let told = told.map(tracing::field::display);
            if finding == Finding::Lost || (finding == Finding::Unknown && !replaced) {
                metrics::counter!(telemetry::PROMOTION_LOSSES, "group" => group.name.to_string())
                    .increment(1);
                tracing::error!(group = %group.name, %instance, %received, replaced, %candidate, %position, term, told, ?finding,
                    "an instance has records that the new primary lacks: acknowledged commits may be lost");
            } else {
                tracing::warn!(group = %group.name, %instance, %received, replaced, %candidate, %position, term, told, ?finding,
                    "an instance has records that the new primary lacks");
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

/// What became of records that a new primary lacks.
///
/// ```
/// use mangotray::stamp::Stamp;
/// use mangotray_desk::audit::Finding;
/// let (nine, ten) = (Stamp::new(1, 9), Stamp::new(1, 10));
/// assert_eq!(Finding::judge(nine, Some(ten), None), Finding::Lost);
/// assert_eq!(Finding::judge(ten, Some(nine), None), Finding::Unknown);
/// assert_eq!(Finding::judge(ten, Some(nine), Some(nine)), Finding::Unacknowledged);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A node had passed commits on as acknowledged that are lost.
    Lost,
    /// Some node did not answer, or had restarted: it may have passed them on.
    Unknown,
    /// No node had passed them on.
    Unacknowledged,
}

impl Finding {
    /// Judges a new primary that began to lead with the records up to `position`. `told` is the highest
    /// position that any node which answered had passed on, and `bound` the same of all nodes.
    #[must_use]
    pub fn judge(
        position: stamp::Stamp,
        told: Option<stamp::Stamp>,
        bound: Option<stamp::Stamp>,
    ) -> Self {
        if told > Some(position) {
            Self::Lost
        } else if bound.is_some() {
            Self::Unacknowledged
        } else {
            Self::Unknown
        }
    }
}

fn join(items: impl Iterator<Item = impl fmt::Display>) -> String {
    let items: Vec<_> = items.map(|item| item.to_string()).collect();
    items.join(", ")
}
