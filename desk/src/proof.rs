//! Proofs that a primary leads, shared by all concurrent requests.

use std::cell;
use std::rc;

use mangotray::id;
use mangotray::role;

use crate::boot;
use crate::group;
use crate::pool;
use crate::status;
use crate::wait;
use crate::witness;

/// Witnesses that are queried one after the other before all are queried at once: each that doesn't
/// answer delays the waiting reads by 160 ms.
const MAX_SINGLE_QUERIES: usize = 2;

/// The primary that was proven to lead, or `None` without a proof.
type Proof = Option<status::Leader>;

/// Proves that the primary of one group leads.
#[derive(Default)]
pub struct Prover {
    waiting: cell::RefCell<Vec<async_channel::Sender<Proof>>>,
    proof_running: cell::Cell<bool>,
}

impl Prover {
    /// Proves that a primary led at some moment after this call began, and returns it.
    ///
    /// Concurrent calls share one round of status queries.
    pub async fn prove(&self, group: &rc::Rc<group::Group>, deadline: id::Time) -> Proof {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.borrow_mut().push(sender);
        if !self.proof_running.replace(true) {
            let owner = rc::Rc::clone(group);
            group
                .executor()
                .spawn(async move { owner.prover().answer_all(&owner).await })
                .detach();
        }
        wait::until(deadline, receiver.recv()).await?.ok().flatten()
    }

    async fn answer_all(&self, group: &rc::Rc<group::Group>) {
        loop {
            let waiting = self.waiting.take();
            if waiting.is_empty() {
                self.proof_running.set(false);
                return;
            }
            let proof = self.try_prove(group).await;
            for waiter in waiting {
                // The send fails if the caller has stopped waiting.
                let _ = waiter.try_send(proof.clone());
            }
        }
    }

    /// Makes one proof: from a single witness if one suffices, else from all instances. Tries again
    /// after [`witness::REPLICATION_DELAY`] if the first attempt failed for lack of a known
    /// position of the primary, as on a node that has just started.
    pub async fn try_prove(&self, group: &rc::Rc<group::Group>) -> Proof {
        let first = self.attempt(group).await;
        let Some(leader) = group.leader().filter(|_| first.is_none()) else {
            return first;
        };
        let now = boot::now();
        if group.with_witnesses(|witnesses| witnesses.knows_primary_position(leader.term, now)) {
            return None;
        }
        wait::sleep(witness::REPLICATION_DELAY).await;
        self.attempt(group).await
    }

    async fn attempt(&self, group: &rc::Rc<group::Group>) -> Proof {
        let Some(leader) = group.leader() else {
            group.search();
            return None;
        };
        let others = group.others(&leader.id);
        let mut reliable = others.clone();
        let now = boot::now();
        group.with_witnesses(|set| reliable.retain(|pool| set.suffices(pool, leader.term, now)));
        // Witnesses that lag behind in receiving records are only queried together with all others.
        reliable.retain(|pool| !pool.has_receive_lag());
        let mut answered = reliable.len() < others.len();
        for pool in reliable.iter().take(MAX_SINGLE_QUERIES) {
            let started = boot::now();
            let pools = std::slice::from_ref(pool);
            let reports = group.query_status(pools, status::TIMEOUT).await;
            answered |= !reports.is_empty();
            let proof = judge(group, &leader, started, &reports);
            if proof.is_some() || group.leader().as_ref() != Some(&leader) {
                return proof;
            }
        }
        // If no witness answered a single query, a query to all of them would get no answer either.
        if !answered {
            return None;
        }
        let started = boot::now();
        let mut queried = others;
        // The primary's own answer is needed where the other instances' answers may not suffice.
        // Its position shows in the next attempt whether a witness follows it.
        let position_known = group
            .with_witnesses(|witnesses| witnesses.knows_primary_position(leader.term, started));
        let list_incomplete =
            !group.roster().is_settled() || queried.iter().any(|pool| may_be_left_out(group, pool));
        if list_incomplete || !position_known {
            queried.extend(group.roster().pool(&leader.id));
        }
        let reports = group.query_status(&queried, status::TIMEOUT).await;
        if let Some(own) = reports.iter().find(|report| report.id == leader.id) {
            if own.status.role == role::Role::Replica {
                group.suspect(leader.term, "the instance is no longer primary");
                return None;
            }
            group.record_position(leader.term, started, Some(own.status.received));
        }
        judge(group, &leader, started, &reports)
    }
}

// Whether a proof may go without the answer of this instance.
fn may_be_left_out(group: &group::Group, pool: &pool::Pool) -> bool {
    pool.is_closed() || group.roster().is_dormant(pool)
}

// Decides from reports, whose queries were sent at `started`, whether `leader` is proven to lead.
fn judge(
    group: &rc::Rc<group::Group>,
    leader: &status::Leader,
    started: id::Time,
    reports: &[status::Report],
) -> Proof {
    let overtaken = |report: &status::Report| status::supersedes(&report.status, leader.term);
    if reports.iter().any(overtaken) {
        group.suspect(leader.term, "a replica is held for, or knows, a later term");
        return None;
    }
    if !group.with_witnesses(|witnesses| witnesses.prove_leadership(leader, started, reports)) {
        return None;
    }
    group.record_leading(leader.term, started);
    Some(leader.clone())
}
