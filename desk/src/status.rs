//! Status queries to the instances of a group, and conclusions about its primary from the reports.

use std::rc;
use std::time;

use futures_util::future;
use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::boot;
use crate::checkout;
use crate::connection;
use crate::organisation;
use crate::pool;
use crate::reply;
use crate::upstream;
use crate::urgency;
use crate::wait;

/// Timeout of one status query: four times the 41 ms within which 99 of 100 queries are answered
/// under load. A shorter timeout would repeat a query while the first is still being processed,
/// which doubles the load.
pub const TIMEOUT: time::Duration = time::Duration::from_millis(160);

/// A primary and the term in which it leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Id of the primary.
    pub id: upstream::Id,
    /// Term in which it leads.
    pub term: id::Term,
}

/// An instance's answer to a status query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Id of the instance.
    pub id: upstream::Id,
    /// The status row.
    pub status: upstream::Status,
    /// Last record applied.
    pub applied: Option<stamp::Stamp>,
}

impl Report {
    /// Parses the reply to [`upstream::Command::Status`]; `None` if it is not a status row.
    #[must_use]
    pub fn parse(
        id: upstream::Id,
        reply: &reply::Reply,
        dialer: &dyn upstream::Dialer,
    ) -> Option<Self> {
        Some(Self {
            id,
            status: dialer.status(reply)?,
            applied: reply.position,
        })
    }

    /// The reporting instance and its term, as a primary.
    #[must_use]
    pub fn leader(&self) -> Leader {
        Leader {
            id: self.id.clone(),
            term: self.status.term,
        }
    }
}

/// The primary of the latest term, among instances that report being primary in term `least` or
/// later.
///
/// ```
/// use mangotray::{role::Role, stamp::Stamp};
/// use mangotray_desk::{status, upstream};
/// let report = |id: &str, term| status::Report {
///     id: id.into(),
///     status: upstream::Status { role: Role::Primary, term, received: Stamp::new(1, 7), held: 0, load: upstream::Load::default() },
///     applied: None,
/// };
/// let reports = [report("a", 1), report("c", 3), report("b", 2)];
/// assert_eq!(status::latest_leader(&reports, 2).map(|leader| leader.term), Some(3));
/// assert_eq!(status::latest_leader(&reports, 4), None);
/// ```
#[must_use]
pub fn latest_leader(reports: &[Report], least: id::Term) -> Option<Leader> {
    reports
        .iter()
        .filter(|report| report.status.role == role::Role::Primary && report.status.term >= least)
        .max_by_key(|report| report.status.term)
        .map(Report::leader)
}

/// Checks out a connection for a command of this node itself, ahead of callers' statements.
pub async fn connection(
    pool: &rc::Rc<pool::Pool>,
    deadline: id::Time,
) -> Option<checkout::Checkout> {
    let urgency = urgency::Urgency::immediate(deadline);
    let own = organisation::OWN;
    let checkout = pool
        .check_out(urgency, &own, &connection::Values::new(), deadline)
        .await;
    checkout.ok()
}

/// Queries the status of one instance; `None` if it doesn't answer within `limit`.
pub async fn query(
    pool: &rc::Rc<pool::Pool>,
    dialer: &dyn upstream::Dialer,
    limit: time::Duration,
) -> Option<Report> {
    let deadline = boot::now() + limit;
    let mut checkout = connection(pool, deadline).await?;
    metrics::counter!("mangotray_upstream_looks_total").increment(1);
    let replies = checkout
        .run(&[upstream::Command::Status], deadline)
        .await
        .ok()?;
    let report = Report::parse(pool.id(), replies.first()?, dialer)?;
    pool.note_load(report.status.load);
    Some(report)
}

/// Queries several instances concurrently; those that don't answer within `limit` are left out.
pub async fn query_all(
    pools: &[rc::Rc<pool::Pool>],
    dialer: &dyn upstream::Dialer,
    limit: time::Duration,
) -> Vec<Report> {
    let queries = pools.iter().map(|pool| query(pool, dialer, limit));
    future::join_all(queries)
        .await
        .into_iter()
        .flatten()
        .collect()
}

/// The ids of the instances that are missing from the reports.
#[must_use]
pub fn unanswered(pools: &[rc::Rc<pool::Pool>], reports: &[Report]) -> Vec<upstream::Id> {
    let ids = pools.iter().map(|pool| pool.id());
    ids.filter(|id| reports.iter().all(|report| report.id != *id))
        .collect()
}

/// The primary according to these reports.
///
/// `None` while any instance is held for a later term: a promotion is in progress then, and may
/// complete before the next statement arrives.
///
/// ```
/// use mangotray::{role::Role, stamp::Stamp};
/// use mangotray_desk::{status, upstream::{Load, Status}};
/// let status = Status { role: Role::Primary, term: 2, received: Stamp::new(2, 7), held: 0, load: Load::default() };
/// let reports = [status::Report { id: "a".into(), status, applied: None }];
/// assert_eq!(status::find_leader(&reports).map(|leader| leader.term), Some(2));
/// ```
#[must_use]
pub fn find_leader(reports: &[Report]) -> Option<Leader> {
    let found = latest_leader(reports, 0)?;
    let replaced = reports
        .iter()
        .any(|report| supersedes(&report.status, found.term));
    (!replaced).then_some(found)
}

/// Whether a status shows that the primary of `term` has been replaced, or that a promotion to
/// replace it has begun.
///
/// ```
/// use mangotray::{role::Role, stamp::Stamp};
/// use mangotray_desk::{status, upstream::{Load, Status}};
/// let held = Status { role: Role::Replica, term: 2, received: Stamp::new(2, 7), held: 3, load: Load::default() };
/// assert!(status::supersedes(&held, 2));
/// ```
#[must_use]
pub const fn supersedes(status: &upstream::Status, term: id::Term) -> bool {
    status.term > term || status.held > term
}

/// Whether a status shows that the instance knows of the primary of `term`, or was held for its
/// promotion.
///
/// An instance that doesn't know the term may have lost its log, and with it the hold of a later
/// promotion, so its report alone proves nothing.
///
/// ```
/// use mangotray::{role::Role, stamp::Stamp};
/// use mangotray_desk::{status, upstream::{Load, Status}};
/// let empty = Status { role: Role::Replica, term: 1, received: Stamp::default(), held: 0, load: Load::default() };
/// assert!(!status::knows_term(&empty, 3));
/// assert!(status::knows_term(&empty, 1));
/// ```
#[must_use]
pub const fn knows_term(status: &upstream::Status, term: id::Term) -> bool {
    status.term >= term || status.held >= term
}

/// A position that covers every acknowledged commit, from the replicas' reports alone.
///
/// A commit is acknowledged once one replica has received it. As long as every instance but the
/// primary (`others` instances) is still a replica of `term` or an earlier one, no promotion has
/// completed, and the replica with the longest log has received every acknowledged commit.
///
/// ```
/// use mangotray::{role::Role, stamp::Stamp};
/// use mangotray_desk::{status, upstream::{Load, Status}};
/// let report = |id: &str, position| status::Report {
///     id: id.into(),
///     status: Status { role: Role::Replica, term: 2, received: Stamp::new(2, position), held: 0, load: Load::default() },
///     applied: None,
/// };
/// let reports = [report("a", 5), report("b", 9)];
/// assert_eq!(status::max_received(&reports, 2, 2), Some(Stamp::new(2, 9)));
/// assert_eq!(status::max_received(&reports[..1], 2, 2), None);
/// ```
#[must_use]
pub fn max_received(reports: &[Report], others: usize, term: id::Term) -> Option<stamp::Stamp> {
    let followers = reports
        .iter()
        .filter(|report| report.status.role == role::Role::Replica && report.status.term <= term);
    let positions: Vec<_> = followers.map(|report| report.status.received).collect();
    let whole = positions.len() == others && others > 0;
    positions.into_iter().max().filter(|_| whole)
}

/// Waits after a round without success: 30 ms more for each round, up to `ceiling`.
pub async fn back_off(round: u32, ceiling: time::Duration) {
    let step = time::Duration::from_millis(30) * (round + 1).min(20);
    wait::sleep(step.min(ceiling)).await;
}
