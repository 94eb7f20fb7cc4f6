//! The end of a promotion: the replaced primary is told, then the replicas are freed.

use std::cell;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::role;

use crate::boot;
use crate::group;
use crate::intent;
use crate::pool;
use crate::promotion;
use crate::resumes;
use crate::sampler;
use crate::seat;
use crate::upstream;
use crate::wait;

/// Longest wait for the answer to one command or look.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Pause between tries to tell the replaced primary.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// After this long replicas are freed although the replaced primary cannot be told, as long
/// as its successor answers: they hear of the later term from it, and take no record of an
/// earlier one from then on. A group whose successor does not answer waits.
const DEMOTION_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// The end of one promotion.
///
/// A replaced primary that was not told goes on believing that it leads. A replica that is freed
/// before, or starts again without its hold, receives its records, and lets it acknowledge
/// writes that the new primary never gets.
///
/// Holds are ended only by a node that surely holds the seat, and while it promotes nobody: they may
/// be those of a later promotion. One that has lost the seat goes on telling the replaced primary; whoever
/// holds the seat next knows the promotion from its record, and frees the replicas.
pub struct Cleanup {
    group: rc::Rc<group::Group>,
    old: Option<upstream::Id>,
    candidate: upstream::Id,
    term: id::Term,
    /// Last term that replicas were held for.
    held_term: id::Term,
    seat: rc::Rc<seat::Seat>,
    resumes: rc::Rc<cell::RefCell<resumes::Resumes>>,
}

impl Cleanup {
    /// The end of a recorded promotion whose candidate has come to lead.
    #[must_use]
    pub fn new(
        group: rc::Rc<group::Group>,
        intent: &intent::Intent,
        held_term: id::Term,
        seat: rc::Rc<seat::Seat>,
        resumes: rc::Rc<cell::RefCell<resumes::Resumes>>,
    ) -> Self {
        Self {
            group,
            old: intent.old.clone(),
            candidate: intent.candidate.clone(),
            term: intent.term,
            held_term,
            seat,
            resumes,
        }
    }

    /// Works until the replicas may be free; `false` where a later promotion has taken over.
    pub async fn demote_predecessor(&self) -> bool {
        let began = boot::now();
        loop {
            if self.is_superseded() {
                return false;
            }
            if self.try_demote_predecessor().await {
                return true;
            }
            let timed_out = boot::now() > began + DEMOTION_TIMEOUT;
            if timed_out && self.successor_answers().await {
                tracing::warn!(group = %self.group.name, old = ?self.old, candidate = %self.candidate,
                    "replicas are freed, the replaced primary could not be told");
                return true;
            }
            // While the store is away nobody else does; a hold can be ended later, a lost commit stays lost.
            if self.seat.had() {
                self.hold_unheld().await;
            }
            wait::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Frees the replicas, once this node may, until all follow the successor or no late hold can arrive any
    /// more; `false` where a later promotion has taken over.
    pub async fn release(&self) -> bool {
        let mut since = None;
        loop {
            if self.is_superseded() {
                return false;
            }
            if self.may_release() {
                let now = boot::now();
                let late = now > *since.get_or_insert(now) + resumes::ARRIVAL;
                if self.release_held().await || late {
                    return true;
                }
            } else {
                since = None;
            }
            wait::sleep(RETRY_INTERVAL).await;
        }
    }

    fn may_release(&self) -> bool {
        let promoting = self.resumes.borrow().is_promoting(&self.group.name);
        self.seat.held().is_some() && !promoting
    }

    // Term in which the candidate leads; it may be later than the one its replicas were held for.
    fn leading_term(&self) -> id::Term {
        let lead = self.group.lead().filter(|lead| lead.id == self.candidate);
        lead.map_or(self.term, |lead| lead.term.max(self.term))
    }

    fn is_superseded(&self) -> bool {
        let lead = self.group.lead();
        lead.is_some_and(|lead| lead.term > self.term && lead.id != self.candidate)
    }

    // Whether the replaced primary knows, or is gone for good.
    async fn try_demote_predecessor(&self) -> bool {
        let roster = self.group.roster();
        let Some(old) = self.old.as_ref().and_then(|old| roster.find(old)) else {
            return true;
        };
        let command = upstream::Command::Demote(self.leading_term());
        let look = promotion::send(&old, &command, self.group.dialer()).await;
        look.is_some_and(|look| look.status.role == role::Role::Replica)
    }

    async fn successor_answers(&self) -> bool {
        let Some(pool) = self.group.roster().find(&self.candidate) else {
            return false;
        };
        let look = sampler::look(&pool, self.group.dialer(), COMMAND_TIMEOUT).await;
        look.is_some_and(|look| look.status.role == role::Role::Primary)
    }

    fn others(&self) -> Vec<rc::Rc<pool::Pool>> {
        let mut pools = self.group.roster().pools();
        pools.retain(|pool| pool.id() != self.candidate && Some(pool.id()) != self.old);
        pools
    }

    // Holds replicas that have lost their hold with an earlier life, or were added since.
    async fn hold_unheld(&self) {
        let others = self.others();
        let looks = self.group.look_at(&others, COMMAND_TIMEOUT).await;
        let command = upstream::Command::Hold(self.term);
        for look in looks
            .iter()
            .filter(|look| !sampler::knows(&look.status, self.term))
        {
            if let Some(pool) = others.iter().find(|pool| pool.id() == look.id) {
                promotion::send(pool, &command, self.group.dialer()).await;
            }
        }
    }

    // Holds for a later term belong to a later promotion: ending them would let commits pass
    // by its candidate. Whether all answer, are free, and know of the term: no hold for it stops them then.
    async fn release_held(&self) -> bool {
        let mut pools = self.group.roster().pools();
        pools.retain(|pool| pool.id() != self.candidate);
        let looks = self.group.look_at(&pools, COMMAND_TIMEOUT).await;
        let last = self.leading_term().max(self.held_term);
        let own = |look: &sampler::Look| (1..=last).contains(&look.status.held);
        for look in looks.iter().filter(|look| own(look)) {
            if let Some(pool) = pools.iter().find(|pool| pool.id() == look.id) {
                promotion::resume(pool, &self.group, &self.resumes, || self.may_release()).await;
            }
        }
        let follows = |look: &sampler::Look| look.status.term >= self.term && !own(look);
        looks.len() == pools.len() && looks.iter().all(follows)
    }
}
