//! Proofs that a primary leads, shared by all that wait for one.

use std::cell;
use std::rc;

use mangotray::id;
use mangotray::role;

use crate::boot;
use crate::group;
use crate::status;
use crate::wait;
use crate::witness;

/// Witnesses that are asked one after the other before all are asked at once: each that does not
/// answer costs the reads that wait for the proof 160 ms.
const MAX_SINGLE_QUERIES: usize = 2;

/// The primary that was proven to lead, if one was.
type Proof = Option<status::Leader>;

/// Proves that the primary of one group leads.
#[derive(Default)]
pub struct Prover {
    waiting: cell::RefCell<Vec<async_channel::Sender<Proof>>>,
    busy: cell::Cell<bool>,
}

impl Prover {
    /// Proves that a primary leads at some moment after this call began.
    ///
    /// Calls that wait at the same time share one look at a replica.
    pub async fn prove(&self, group: &rc::Rc<group::Group>, deadline: id::Time) -> Proof {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.borrow_mut().push(sender);
        if !self.busy.replace(true) {
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
                self.busy.set(false);
                return;
            }
            let proof = self.try_prove(group).await;
            for waiter in waiting {
                // Whoever no longer waits has no use for the proof.
                let _ = waiter.try_send(proof.clone());
            }
        }
    }

    /// One proof: of a witness alone where one may vouch alone, else of all of them; once more where
    /// it was only not known yet where the primary's log stands, as on a node that has just started.
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
        let witnesses = group.others(&leader.id);
        let mut reliable = witnesses.clone();
        let now = boot::now();
        group.with_witnesses(|witnesses| {
            reliable.retain(|pool| witnesses.suffices_alone(pool, leader.term, now));
        });
        // One that was found deaf is heard again with all others.
        reliable.retain(|pool| !pool.has_receive_lag());
        let mut heard = reliable.len() < witnesses.len();
        for pool in reliable.iter().take(MAX_SINGLE_QUERIES) {
            let started = boot::now();
            let pools = std::slice::from_ref(pool);
            let reports = group.query_status(pools, status::TIMEOUT).await;
            heard |= !reports.is_empty();
            let proof = judge(group, &leader, started, &reports);
            if proof.is_some() || group.leader().as_ref() != Some(&leader) {
                return proof;
            }
        }
        // Where none answered by itself, all of them will not either.
        if !heard {
            return None;
        }
        let started = boot::now();
        let mut asked = witnesses;
        // The primary's own word is needed where the others' may not do, and where its log stands
        // tells next time whether one of them follows it.
        let informed = group
            .with_witnesses(|witnesses| witnesses.knows_primary_position(leader.term, started));
        let gap = !group.roster().is_settled() || asked.iter().any(|pool| pool.is_closed());
        if gap || !informed {
            asked.extend(group.roster().pool(&leader.id));
        }
        let reports = group.query_status(&asked, status::TIMEOUT).await;
        if let Some(own) = reports.iter().find(|report| report.id == leader.id) {
            if own.status.role == role::Role::Replica {
                group.suspect(leader.term, "the primary leads no more");
                return None;
            }
            group.record_position(leader.term, started, Some(own.status.received));
        }
        judge(group, &leader, started, &reports)
    }
}

// What looks at other instances that began at `started` say of the primary.
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
