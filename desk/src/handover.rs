//! The change of a running primary to a candidate that follows it up to its demotion.
//!
//! A replica that is in no list yet receives records, so the primary can acknowledge commits while
//! all listed replicas are held. Nobody can hold that replica. A held candidate would lack whatever
//! is acknowledged between its hold and the demotion of the primary, which follows the order.
//!
//! So the candidate is released before the order, and receives records like the unlisted replica
//! until the primary is demoted. Platforms need some hundred milliseconds to carry an order out, and
//! a demotion takes one exchange. The primary is not demoted before the order: if that failed, the
//! group would have no primary until orders are possible again.

use std::cell;
use std::rc;
use std::time;

use mangotray::role;
use mangotray::stamp;

use crate::boot;
use crate::pool;
use crate::promote;
use crate::promotion;
use crate::resumes;
use crate::status;
use crate::upstream;
use crate::wait;

/// Longest wait until the candidate has received what the primary had. Replicas receive a record
/// within 250 ms of its commit.
const CATCH_UP_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Longest time for the last such check, well below the lifetime of an order's permit.
const FINAL_CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Interval between status queries to the candidate.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// The candidate does not follow the primary, so that it may lack acknowledged commits.
pub(crate) struct NotFollowing;

/// The change of the primary of one promotion to its candidate.
pub(crate) struct Handover<'a> {
    /// The promotion.
    pub promotion: &'a promotion::Promotion,
    /// The replica that becomes the primary.
    pub candidate: rc::Rc<pool::Pool>,
    /// Releases that may still arrive.
    pub resumes: &'a cell::RefCell<resumes::Resumes>,
}

impl Handover<'_> {
    /// Releases the candidate. Returns whether it follows the primary: it has answered, and received
    /// what the primary had afterwards.
    pub async fn begin(&self, may_release: impl Fn() -> bool) -> bool {
        let group = &self.promotion.group;
        let released = promotion::resume(&self.candidate, group, self.resumes, may_release).await;
        released && self.follows(CATCH_UP_TIMEOUT).await
    }

    /// Whether the candidate still follows the primary right before the order.
    pub async fn goes_on(&self) -> bool {
        self.follows(FINAL_CHECK_TIMEOUT).await
    }

    /// Acts on the outcome of the order: the primary of an accepted one is demoted. Returns the last
    /// log position that the candidate is known to have received since.
    ///
    /// After an order with an unknown outcome the candidate goes on following the primary, as the
    /// order may still take effect. A held candidate would lack what an unlisted replica confirms
    /// until then. All other listed replicas are held, so that nothing is confirmed without it
    /// otherwise. After a refused order a later attempt holds it again.
    pub async fn conclude(&self, outcome: &promote::Outcome) -> Option<stamp::Stamp> {
        if *outcome != promote::Outcome::Accepted {
            return None;
        }
        let candidate = self.candidate.id();
        let demotion = self.demote_primary();
        self.promotion.while_holding(&candidate, demotion).await
    }

    // Demotes the primary after its successor was ordered, and checks that the candidate has
    // received all of its records. Returns their position if it has.
    async fn demote_primary(&self) -> Option<stamp::Stamp> {
        let group = &self.promotion.group.name;
        let Some(report) = self.promotion.demote_predecessor().await else {
            tracing::warn!(%group, candidate = %self.candidate.id(), "the replaced primary is not demoted yet");
            return None;
        };
        let position = report.status.received;
        let covered = self.receives(position, CATCH_UP_TIMEOUT).await;
        tracing::info!(%group, candidate = %self.candidate.id(), %position, covered, "the replaced primary has stepped down");
        covered.then_some(position)
    }

    /// Holds the candidate again, for a promotion that goes on without a handover.
    pub async fn withdraw(&self) {
        let hold = upstream::Command::Hold(self.promotion.term);
        let started = boot::now();
        let group = &self.promotion.group;
        let report = promotion::send(&self.candidate, &hold, group.dialer()).await;
        group.record_reports(report.as_slice(), started);
    }

    // Whether the candidate receives, within `limit`, what the primary has now.
    async fn follows(&self, limit: time::Duration) -> bool {
        let group = &self.promotion.group;
        let Some(old) = &self.promotion.old else {
            return false;
        };
        let deadline = boot::now() + limit;
        let report = status::query(old, group.dialer(), limit).await;
        // A primary that does not answer could not be demoted either.
        let Some(report) = report.filter(|report| report.status.role == role::Role::Primary) else {
            tracing::info!(group = %group.name, primary = %old.id(), "the primary does not answer before its change");
            return false;
        };
        let left = deadline.saturating_sub(boot::now());
        let follows = self.receives(report.status.received, left).await;
        if !follows {
            tracing::warn!(group = %group.name, candidate = %self.candidate.id(), position = %report.status.received,
                "the primary has records that the candidate does not receive");
        }
        follows
    }

    // Whether the candidate has received the records up to `position` within `limit`.
    async fn receives(&self, position: stamp::Stamp, limit: time::Duration) -> bool {
        let deadline = boot::now() + limit;
        let pools = std::slice::from_ref(&self.candidate);
        while boot::now() < deadline {
            let left = deadline.saturating_sub(boot::now());
            let reports = self.promotion.group.query_status(pools, left).await;
            if reports
                .iter()
                .any(|report| report.status.received >= position)
            {
                return true;
            }
            wait::sleep(POLL_INTERVAL).await;
        }
        false
    }
}
