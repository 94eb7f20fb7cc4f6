//! Looks at the instances of a group: who leads, and is that still so.

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

/// Longest wait for one look: four times the 41 ms that 99 of 100 looks take under load. A
/// shorter one is repeated while the first is still at work, and doubles the load.
pub const TIMEOUT: time::Duration = time::Duration::from_millis(160);

/// The instance that leads, and in which term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Id of the primary.
    pub id: upstream::Id,
    /// Term in which it leads.
    pub term: id::Term,
}

/// What one instance said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The instance.
    pub id: upstream::Id,
    /// What it said.
    pub status: upstream::Status,
    /// Last record that it had applied.
    pub applied: Option<stamp::Stamp>,
}

impl Report {
    /// What an instance's answer to a command for its status says.
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

    /// The instance as one that leads.
    #[must_use]
    pub fn leader(&self) -> Leader {
        Leader {
            id: self.id.clone(),
            term: self.status.term,
        }
    }
}

/// The one that leads the latest term, of those that say that they lead the term `least` or a later one.
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

/// A connection for a command of this node's own, before all statements of callers.
pub async fn connection(
    pool: &rc::Rc<pool::Pool>,
    deadline: id::Time,
) -> Option<checkout::Checkout> {
    let urgency = urgency::Urgency::immediate(deadline);
    let own = organisation::OWN;
    let lent = pool
        .lend(urgency, &own, &connection::Values::new(), deadline)
        .await;
    lent.ok()
}

/// Asks one instance for its status.
pub async fn query(
    pool: &rc::Rc<pool::Pool>,
    dialer: &dyn upstream::Dialer,
    limit: time::Duration,
) -> Option<Report> {
    let deadline = boot::now() + limit;
    let mut lent = connection(pool, deadline).await?;
    metrics::counter!("mangotray_upstream_looks_total").increment(1);
    let replies = lent
        .run(&[upstream::Command::Status], deadline)
        .await
        .ok()?;
    let report = Report::parse(pool.id(), replies.first()?, dialer)?;
    pool.note_load(report.status.load);
    Some(report)
}

/// Asks several instances at once; those that do not answer in time are left out.
pub async fn query_all(
    pools: &[rc::Rc<pool::Pool>],
    dialer: &dyn upstream::Dialer,
    limit: time::Duration,
) -> Vec<Report> {
    let reports = pools.iter().map(|pool| query(pool, dialer, limit));
    future::join_all(reports)
        .await
        .into_iter()
        .flatten()
        .collect()
}

/// Who leads, as far as these answers tell.
///
/// Nobody, while any instance is held for a later term: a promotion is under way then and
/// may be over before the next statement arrives.
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

/// Whether an instance's answer shows that a primary of `term` is, or soon may be, replaced.
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

/// Whether an instance's answer shows that it knows of the primary of `term`, or was held for
/// its promotion.
///
/// One that does not may have lost its log, and with it the hold of a promotion that came
/// after: its word alone says nothing.
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

/// Position that holds every acknowledged commit, from the replicas alone.
///
/// A commit is acknowledged once one replica has received it. As long as every instance
/// but the primary is still a replica of this term or an earlier one, no promotion has
/// finished, and the furthest of them has received every acknowledged commit.
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

/// Waits a little longer after each fruitless look, up to `ceiling`.
pub async fn back_off(round: u32, ceiling: time::Duration) {
    let step = time::Duration::from_millis(30) * (round + 1).min(20);
    wait::sleep(step.min(ceiling)).await;
}
