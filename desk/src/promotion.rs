//! One promotion: the replacement of a group's primary by a replica.

use std::cell;
use std::rc;
use std::time;

use futures_lite::FutureExt;
use futures_lite::future;
use futures_util::StreamExt;
use futures_util::stream;
use mangotray::id;
use mangotray::role;
use mangotray::stamp;

use crate::boot;
use crate::detector;
use crate::group;
use crate::intent;
use crate::pool;
use crate::resumes;
use crate::status;
use crate::upstream;
use crate::verdict;
use crate::wait;

/// Timeout of one command to an instance.
pub const COMMAND_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Timeout of the step-down of a loaded primary, whose queue of 24 commands takes 160 ms.
const STEP_DOWN_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Interval at which a demotion that is not answered is sent again. Platforms carry an order out
/// after 300 ms at the earliest.
const DEMOTION_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(60);

/// Longest wait until an ordered candidate leads. Promotions take 300 to 600 ms.
pub const LEADERSHIP_TIMEOUT: time::Duration = time::Duration::from_millis(1800);

/// Interval between status queries to a candidate.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Interval at which held replicas are checked while an order takes effect.
const HOLD_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(120);

/// Timeout of the last status queries before an order, well below the lifetime of its permit.
const FINAL_CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// One promotion in progress.
pub struct Promotion {
    /// The group whose primary is replaced.
    pub group: rc::Rc<group::Group>,
    /// The primary that is replaced, if the roster still has it.
    pub old: Option<rc::Rc<pool::Pool>>,
    /// Why the primary is replaced.
    pub cause: detector::Cause,
    /// Term that the replicas are held for.
    pub term: id::Term,
    /// When the promotion began.
    pub began: id::Time,
    /// Last log position that any replica is known to have received.
    pub max_received: Option<stamp::Stamp>,
}

/// One process of an instance. A restarted instance has a new one.
pub type Process = (upstream::Id, upstream::StartTime);

/// The processes of the replicas that were held.
pub type Processes = Vec<Process>;

impl Promotion {
    /// Waits up to `limit` until the candidate leads, and renews lost holds of the other replicas
    /// meanwhile. Returns the term in which it leads.
    pub async fn await_leadership(
        &self,
        candidate: &upstream::Id,
        limit: time::Duration,
    ) -> Option<id::Term> {
        self.while_holding(candidate, self.poll_leadership(candidate, limit))
            .await
    }

    /// Awaits `work`, and meanwhile renews the hold of any other replica that loses it.
    ///
    /// An order takes some hundred milliseconds. A replica that restarts in that time, or is
    /// released by a late command, would let the old primary acknowledge writes that its successor
    /// never receives. A hold that arrives after the candidate leads is released by the cleanup.
    pub async fn while_holding<T>(
        &self,
        candidate: &upstream::Id,
        work: impl Future<Output = T>,
    ) -> T {
        let keep = async {
            self.keep_held(candidate).await;
            future::pending().await
        };
        work.or(keep).await
    }

    // Never returns. The replicas are checked concurrently, so that a silent one delays no other.
    async fn keep_held(&self, candidate: &upstream::Id) {
        loop {
            let pools = self.others(candidate);
            let watches = pools.iter().map(|pool| self.keep_one_held(pool));
            let watches = async {
                futures_util::future::join_all(watches).await;
                future::pending::<()>().await;
            };
            // A replica that is added has to be held as well.
            self.membership_changed(candidate, &pools).or(watches).await;
        }
    }

    async fn keep_one_held(&self, pool: &rc::Rc<pool::Pool>) {
        let dialer = self.group.dialer();
        loop {
            wait::sleep(HOLD_CHECK_INTERVAL).await;
            let Some(report) = status::query(pool, dialer, status::TIMEOUT).await else {
                continue;
            };
            if is_not_held(&report, self.term) {
                tracing::warn!(group = %self.group.name, instance = %report.id, term = self.term,
                    received = %report.status.received, "replica lost its hold before the candidate led");
                send(pool, &upstream::Command::Hold(self.term), dialer).await;
            }
        }
    }

    async fn membership_changed(&self, candidate: &upstream::Id, pools: &[rc::Rc<pool::Pool>]) {
        let ids = |pools: &[rc::Rc<pool::Pool>]| pools.iter().map(|pool| pool.id()).collect();
        let before: Vec<_> = ids(pools);
        while before == ids(&self.others(candidate)) {
            wait::sleep(HOLD_CHECK_INTERVAL).await;
            self.group.query_successors(FINAL_CHECK_TIMEOUT).await;
        }
    }

    fn others(&self, candidate: &upstream::Id) -> Vec<rc::Rc<pool::Pool>> {
        let mut pools = self.replicas();
        pools.retain(|pool| pool.id() != *candidate);
        pools
    }

    /// All instances of the roster except the one that is replaced.
    #[must_use]
    pub fn replicas(&self) -> Vec<rc::Rc<pool::Pool>> {
        let old = self.old.as_ref().map(|pool| pool.id());
        let mut pools = self.group.roster().pools();
        pools.retain(|pool| Some(pool.id()) != old);
        pools
    }

    /// Checks right before the order that no replica reports a lost hold, except for the one that
    /// follows the primary until its demotion. A replica that does not answer counts as held.
    pub async fn are_held(&self, follower: Option<&upstream::Id>) -> bool {
        let mut pools = self.replicas();
        pools.retain(|pool| follower != Some(&pool.id()));
        let reports = self.group.query_status(&pools, FINAL_CHECK_TIMEOUT);
        let search = self.group.query_successors(FINAL_CHECK_TIMEOUT);
        let (reports, ()) = futures_util::future::join(reports, search).await;
        let released = reports.iter().find(|report| is_not_held(report, self.term));
        if let Some(report) = released {
            tracing::warn!(group = %self.group.name, instance = %report.id, term = self.term,
                received = %report.status.received, "replica lost its hold before the order");
        }
        released.is_none()
    }

    async fn poll_leadership(
        &self,
        candidate: &upstream::Id,
        limit: time::Duration,
    ) -> Option<id::Term> {
        let deadline = boot::now() + limit;
        while boot::now() < deadline {
            let pool = self.group.roster().find(candidate)?;
            let report = status::query(&pool, self.group.dialer(), COMMAND_TIMEOUT).await;
            if let Some(report) = report.filter(|report| report.status.role == role::Role::Primary)
            {
                return Some(report.status.term);
            }
            wait::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// The current process of each replica.
    #[must_use]
    pub fn processes(&self) -> Processes {
        let pools = self.replicas();
        pools.iter().map(|pool| (pool.id(), pool.born())).collect()
    }

    /// Whether the real id of the instance is unknown, so that it cannot be ordered to lead.
    #[must_use]
    pub fn has_unknown_id(&self, id: &upstream::Id) -> bool {
        let pool = self.group.roster().find(id);
        pool.is_some_and(|pool| pool.instance.borrow().any)
    }

    /// The record that is stored before the candidate is ordered to lead.
    #[must_use]
    pub fn intent(
        &self,
        candidate: &upstream::Id,
        position: stamp::Stamp,
        held: &[status::Report],
    ) -> intent::Intent {
        let pool = self.group.roster().find(candidate);
        let old = self.old.as_ref().map(|old| old.id());
        let received = held.iter().map(|report| report.status.received).max();
        intent::Intent {
            group: self.group.name.clone(),
            candidate: candidate.clone(),
            born: pool.map(|pool| pool.born()).unwrap_or_default(),
            term: self.term,
            old: old.filter(|old| old != candidate),
            received: received.unwrap_or_default().max(position),
            place: intent::Place::default(),
        }
    }

    /// Queries the old primary of a group whose replicas lack records that one of them had
    /// received, or do not all answer. If the old primary is a replica by now, it is held: it may be
    /// the only instance with these records.
    ///
    /// An old primary that is not in the roster has ended by evidence, as the roster keeps silent
    /// instances.
    pub async fn query_predecessor(&self) -> verdict::Predecessor {
        let Some(old) = &self.old else {
            return verdict::Predecessor::Gone;
        };
        let report = status::query(old, self.group.dialer(), COMMAND_TIMEOUT).await;
        let replica = report
            .as_ref()
            .is_some_and(|report| report.status.role == role::Role::Replica);
        let report = if replica {
            let hold = upstream::Command::Hold(self.term);
            send(old, &hold, self.group.dialer()).await
        } else {
            report
        };
        match report {
            Some(report) => verdict::Predecessor::Answers(report),
            None => verdict::Predecessor::Silent,
        }
    }

    /// Demotes the old primary. Returns its status if it is a replica now.
    ///
    /// The command is sent again, on another connection, while it is not answered: the successor
    /// leads some hundred milliseconds after its order, and a primary that still runs then gets
    /// commits confirmed that its successor lacks.
    pub async fn demote_predecessor(&self) -> Option<status::Report> {
        let old = self.old.as_ref()?;
        let command = upstream::Command::Demote(self.term);
        let deadline = boot::now() + COMMAND_TIMEOUT;
        let mut demotions = stream::FuturesUnordered::new();
        while boot::now() < deadline {
            let left = deadline.saturating_sub(boot::now());
            demotions.push(send_within(old, &command, self.group.dialer(), left));
            let retry = boot::now() + DEMOTION_RETRY_INTERVAL;
            while let Some(Some(report)) = wait::until(retry, demotions.next()).await {
                let stopped = |report: &status::Report| report.status.role == role::Role::Replica;
                if let Some(report) = report.filter(stopped) {
                    return Some(report);
                }
            }
            wait::sleep(retry.saturating_sub(boot::now())).await;
        }
        None
    }

    /// Makes the old primary step down before a successor is ordered. Returns `None` if it still
    /// leads, and otherwise its last log position, if it reported one.
    pub async fn step_down(&self) -> Option<Option<stamp::Stamp>> {
        let old = self.old.as_ref()?;
        let command = upstream::Command::Demote(self.term);
        let dialer = self.group.dialer();
        let answer = send_within(old, &command, dialer, STEP_DOWN_TIMEOUT).await;
        let report = match answer {
            Some(report) => Some(report),
            // The answer may be lost, or the command still queued.
            None => status::query(old, dialer, STEP_DOWN_TIMEOUT).await,
        };
        let leads = report
            .as_ref()
            .is_some_and(|report| report.status.role == role::Role::Primary);
        (!leads).then(|| report.map(|report| report.status.received))
    }
}

// Whether an instance is neither held for this term nor knows the term.
const fn is_not_held(report: &status::Report, term: id::Term) -> bool {
    !status::knows_term(&report.status, term)
}

/// Sends one command to an instance and returns the status that it answers with.
pub async fn send(
    pool: &rc::Rc<pool::Pool>,
    command: &upstream::Command,
    dialer: &dyn upstream::Dialer,
) -> Option<status::Report> {
    send_within(pool, command, dialer, COMMAND_TIMEOUT).await
}

/// Releases a replica from its hold, if `may` still permits it once a connection is available.
/// Returns whether the replica has answered.
pub async fn resume(
    pool: &rc::Rc<pool::Pool>,
    group: &group::Group,
    resumes: &cell::RefCell<resumes::Resumes>,
    may_release: impl Fn() -> bool,
) -> bool {
    let deadline = boot::now() + COMMAND_TIMEOUT;
    let Some(mut checkout) = status::connection(pool, deadline).await else {
        return false;
    };
    if !may_release() {
        tracing::info!(instance = %pool.id(), "replica stays held: this node may no longer release it");
        return false;
    }
    let number = resumes.borrow_mut().note_sent(&group.name, boot::now());
    let answer = checkout.run(&[upstream::Command::Resume], deadline).await;
    let open = answer.as_ref().is_err_and(|failure| failure.sent);
    if !open {
        resumes.borrow_mut().note_answered(number);
    }
    tracing::info!(instance = %pool.id(), command = ?upstream::Command::Resume, answered = answer.is_ok(),
        open, "command sent to instance");
    answer.is_ok()
}

async fn send_within(
    pool: &rc::Rc<pool::Pool>,
    command: &upstream::Command,
    dialer: &dyn upstream::Dialer,
    limit: time::Duration,
) -> Option<status::Report> {
    let deadline = boot::now() + limit;
    let mut checkout = status::connection(pool, deadline).await?;
    let replies = checkout
        .run(std::slice::from_ref(command), deadline)
        .await
        .ok()?;
    let report = status::Report::parse(pool.id(), replies.first()?, dialer);
    let status = report.as_ref().map(|report| report.status);
    tracing::info!(instance = %pool.id(), ?command, ?status, "command sent to instance");
    report
}
