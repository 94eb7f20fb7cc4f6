//! Proofs that a primary leads, shared by all that wait for one.

use std::cell;
use std::rc;

use mangotray::id;
use mangotray::role;

use crate::boot;
use crate::group;
use crate::sampler;
use crate::wait;
use crate::witness;

/// Witnesses that are asked one after the other before all are asked at once: each that does not
/// answer costs the reads that wait for the proof 160 ms.
const ALONE: usize = 2;

/// The primary that was proven to lead, if one was.
type Proof = Option<sampler::Lead>;

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
            let proof = self.sample(group).await;
            for waiter in waiting {
                // Whoever no longer waits has no use for the proof.
                let _ = waiter.try_send(proof.clone());
            }
        }
    }

    /// One proof: of a witness alone where one may vouch alone, else of all of them; once more where
    /// it was only not known yet where the primary's log stands, as on a node that has just started.
    pub async fn sample(&self, group: &rc::Rc<group::Group>) -> Proof {
        let first = self.ask(group).await;
        let Some(lead) = group.lead().filter(|_| first.is_none()) else {
            return first;
        };
        let now = boot::now();
        if group.panel(|panel| panel.is_informed(lead.term, now)) {
            return None;
        }
        wait::sleep(witness::RECEIVED).await;
        self.ask(group).await
    }

    async fn ask(&self, group: &rc::Rc<group::Group>) -> Proof {
        let Some(lead) = group.lead() else {
            group.search();
            return None;
        };
        let witnesses = group.witnesses(&lead.id);
        let mut reliable = witnesses.clone();
        let now = boot::now();
        group.panel(|panel| reliable.retain(|pool| panel.vouches_alone(pool, lead.term, now)));
        // One that was found deaf is heard again with all others.
        reliable.retain(|pool| !pool.has_receive_lag());
        let mut heard = reliable.len() < witnesses.len();
        for pool in reliable.iter().take(ALONE) {
            let started = boot::now();
            let pools = std::slice::from_ref(pool);
            let looks = group.look_at(pools, sampler::LOOK_LIMIT).await;
            heard |= !looks.is_empty();
            let proof = judge(group, &lead, started, &looks);
            if proof.is_some() || group.lead().as_ref() != Some(&lead) {
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
        let informed = group.panel(|panel| panel.is_informed(lead.term, started));
        let gap = !group.roster().is_settled() || asked.iter().any(|pool| pool.is_closed());
        if gap || !informed {
            asked.extend(group.roster().pool(&lead.id));
        }
        let looks = group.look_at(&asked, sampler::LOOK_LIMIT).await;
        if let Some(own) = looks.iter().find(|look| look.id == lead.id) {
            if own.status.role == role::Role::Replica {
                group.doubt(lead.term, "the primary leads no more");
                return None;
            }
            group.saw_position(lead.term, started, Some(own.status.received));
        }
        judge(group, &lead, started, &looks)
    }
}

// What looks at other instances that began at `started` say of the primary.
fn judge(
    group: &rc::Rc<group::Group>,
    lead: &sampler::Lead,
    started: id::Time,
    looks: &[sampler::Look],
) -> Proof {
    let overtaken = |look: &sampler::Look| sampler::overtakes(&look.status, lead.term);
    if looks.iter().any(overtaken) {
        group.doubt(lead.term, "a replica is held for, or knows, a later term");
        return None;
    }
    if !group.panel(|panel| panel.attests(lead, started, looks)) {
        return None;
    }
    group.saw_leading(lead.term, started);
    Some(lead.clone())
}
