//! Cleanup after a promotion: demotes the replaced primary, then releases the replicas.

use std::cell;
use std::rc;
use std::time;

use mangotray::id;
use mangotray::role;

use crate::boot;
use crate::election;
use crate::group;
use crate::intent;
use crate::pool;
use crate::promotion;
use crate::resumes;
use crate::status;
use crate::upstream;
use crate::wait;

/// Timeout of one command or status query.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Pause between attempts to demote the replaced primary or to release the replicas.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Time after which the replicas are released although the replaced primary could not be demoted.
/// This requires that its successor answers: the replicas learn the later term from it and then
/// reject records of earlier terms. If the successor does not answer, the replicas stay held.
const DEMOTION_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Cleanup after one promotion.
///
/// A replaced primary that was not demoted still acts as the primary. A replica that is released
/// before the demotion, or restarts without its hold, receives records from it, and so lets it
/// acknowledge writes that the new primary never receives.
///
/// Holds are released only by the holder of the promoter lease, and only while it runs no promotion
/// of the group, as they may belong to a later promotion. A node that has lost the lease still
/// demotes the replaced primary. The next lease holder finds the promotion's record and releases
/// the replicas.
pub struct Cleanup {
    group: rc::Rc<group::Group>,
    old: Option<upstream::Id>,
    candidate: upstream::Id,
    term: id::Term,
    /// Latest term that the replicas were held for.
    held_term: id::Term,
    election: rc::Rc<election::Election>,
    resumes: rc::Rc<cell::RefCell<resumes::Resumes>>,
}

impl Cleanup {
    /// Creates the cleanup of a recorded promotion whose candidate leads.
    #[must_use]
    pub fn new(
        group: rc::Rc<group::Group>,
        intent: &intent::Intent,
        held_term: id::Term,
        election: rc::Rc<election::Election>,
        resumes: rc::Rc<cell::RefCell<resumes::Resumes>>,
    ) -> Self {
        Self {
            group,
            old: intent.old.clone(),
            candidate: intent.candidate.clone(),
            term: intent.term,
            held_term,
            election,
            resumes,
        }
    }

    /// Demotes the replaced primary. Returns once the replicas may be released, or `false` if a
    /// later promotion has superseded this one.
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
                    "releasing the replicas although the replaced primary could not be demoted");
                return true;
            }
            // During an outage of the store no other node holds the replicas. A superfluous hold
            // can be released later, while a lost commit stays lost.
            if self.election.is_last_known_holder() {
                self.hold_unheld().await;
            }
            wait::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Releases the replicas while this node may, until all follow the successor or no late hold
    /// can arrive any more. Returns `false` if a later promotion has superseded this one.
    pub async fn release(&self) -> bool {
        let mut since = None;
        loop {
            if self.is_superseded() {
                return false;
            }
            if self.may_release() {
                let now = boot::now();
                let late = now > *since.get_or_insert(now) + resumes::MAX_DELIVERY_DELAY;
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
        self.election.may_release() && !promoting
    }

    // Term in which the candidate leads. It may be later than the term of the promotion.
    fn leading_term(&self) -> id::Term {
        let leader = self
            .group
            .leader()
            .filter(|leader| leader.id == self.candidate);
        leader.map_or(self.term, |leader| leader.term.max(self.term))
    }

    fn is_superseded(&self) -> bool {
        let leader = self.group.leader();
        leader.is_some_and(|leader| leader.term > self.term && leader.id != self.candidate)
    }

    // Sends one demote command. Returns whether the replaced primary is a replica now, or has
    // ended.
    async fn try_demote_predecessor(&self) -> bool {
        let roster = self.group.roster();
        let Some(old) = self.old.as_ref().and_then(|old| roster.find(old)) else {
            return true;
        };
        let command = upstream::Command::Demote(self.leading_term());
        let report = promotion::send(&old, &command, self.group.dialer()).await;
        report.is_some_and(|report| report.status.role == role::Role::Replica)
    }

    async fn successor_answers(&self) -> bool {
        let Some(pool) = self.group.roster().find(&self.candidate) else {
            return false;
        };
        let report = status::query(&pool, self.group.dialer(), COMMAND_TIMEOUT).await;
        report.is_some_and(|report| report.status.role == role::Role::Primary)
    }

    fn others(&self) -> Vec<rc::Rc<pool::Pool>> {
        let mut pools = self.group.roster().pools();
        pools.retain(|pool| pool.id() != self.candidate && Some(pool.id()) != self.old);
        pools
    }

    // Holds replicas that lost their hold in a restart, or were added later.
    async fn hold_unheld(&self) {
        let others = self.others();
        let reports = self.group.query_status(&others, COMMAND_TIMEOUT).await;
        let command = upstream::Command::Hold(self.term);
        for report in reports
            .iter()
            .filter(|report| !status::knows_term(&report.status, self.term))
        {
            if let Some(pool) = others.iter().find(|pool| pool.id() == report.id) {
                promotion::send(pool, &command, self.group.dialer()).await;
            }
        }
    }

    // Releases the replicas held for this promotion. Holds for a later term belong to a later
    // promotion, and without them commits could be acknowledged that its candidate lacks. Returns
    // whether all replicas answer, are released and know the term, so that no late hold for it
    // affects them.
    async fn release_held(&self) -> bool {
        let mut pools = self.group.roster().pools();
        pools.retain(|pool| pool.id() != self.candidate);
        let reports = self.group.query_status(&pools, COMMAND_TIMEOUT).await;
        let last = self.leading_term().max(self.held_term);
        let own = |report: &status::Report| (1..=last).contains(&report.status.held);
        for report in reports.iter().filter(|report| own(report)) {
            if let Some(pool) = pools.iter().find(|pool| pool.id() == report.id) {
                promotion::resume(pool, &self.group, &self.resumes, || self.may_release()).await;
            }
        }
        let follows = |report: &status::Report| report.status.term >= self.term && !own(report);
        reports.len() == pools.len() && reports.iter().all(follows)
    }
}
