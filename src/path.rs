//! Choice of an instance for a batch, and the exchange with it.

use std::sync;
use std::time;

use compact_str::CompactString;
use futures_lite::future;
use futures_util::FutureExt;

use crate::admission;
use crate::batch;
use crate::board;
use crate::class;
use crate::enrol;
use crate::frame;
use crate::group;
use crate::id;
use crate::outcome;
use crate::policy;
use crate::pool;
use crate::reason;
use crate::reply;
use crate::route;
use crate::slots;
use crate::stamp;
use crate::upstream;

/// Wait that a caller is told after a refusal for lack of an instance.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// What came of sending a batch to one instance.
pub enum Sent {
    /// The whole answer, with the connection it came over.
    Answered(reply::Reply, pool::Guard),
    /// Nothing left this proxy.
    Unsent(CompactString),
    /// Some of it may have run.
    Lost(CompactString),
    /// The time ended while it was running.
    Expired,
    /// The deadline passed before anything was sent.
    Late,
    /// The queue before the instance refused it.
    Refused(outcome::Outcome),
}

/// An instance as it was when it was chosen.
///
/// The incarnation belongs to the choice: an instance that has been started anew since
/// may have lost the records for which it was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Place {
    /// Index of the instance.
    pub index: id::Index,
    /// Start of its process, as seen in the same look at the board.
    pub incarnation: id::Incarnation,
}

impl Place {
    fn from_board(board: &board::Board, index: id::Index) -> Option<Self> {
        let incarnation = board.status(index)?.incarnation;
        Some(Self { index, incarnation })
    }
}

/// Ways from this proxy into one group.
pub struct Path {
    /// The group.
    pub group: sync::Arc<group::Group>,
}

type Answer = Result<reply::Reply, outcome::Outcome>;

impl Path {
    /// Ways into `group`.
    #[must_use]
    pub fn new(group: sync::Arc<group::Group>) -> Self {
        Self { group }
    }

    /// The primary for a batch that may write. For a transaction, a sample taken after
    /// its arrival must show that no later term has begun, so that it does not read
    /// from a primary that has been replaced.
    ///
    /// # Errors
    /// When no primary can confirm writes before the deadline, or not in time.
    pub async fn primary(&self, batch: &batch::Batch) -> Result<Place, outcome::Outcome> {
        let since = match batch.class {
            class::Class::Begin => batch.arrived,
            _ => id::Time::ZERO,
        };
        let found = self
            .group
            .watch
            .until(since, batch.deadline, true, |board| {
                let leader = board.leader()?;
                let floor = board.floor(since)?;
                let stamp = board.status(leader.index)?.stamp;
                let usable = board.seen()[leader.index].failures == 0;
                let place = Place::from_board(board, leader.index)?;
                (stamp >= floor && usable && has_answering_replica(board, leader)).then_some(place)
            });
        let place = found.await.ok_or_else(|| self.primary_refusal())?;
        self.can_confirm_in_time(batch)
            .then_some(place)
            .ok_or_else(slow_replicas)
    }

    /// Refusal of a write after the wait for a primary.
    fn primary_refusal(&self) -> outcome::Outcome {
        let board = self.group.watch.board();
        let answering = board
            .seen()
            .iter()
            .filter(|seen| is_answering(seen))
            .count();
        if answering >= board.majority() {
            return no_primary();
        }
        let detail = "too few instances answer to confirm a write".into();
        outcome::Outcome::not_run(reason::Reason::NoMajority, detail, Some(RETRY_AFTER))
    }

    /// Whether a write is likely to be confirmed in time.
    fn can_confirm_in_time(&self, batch: &batch::Batch) -> bool {
        let writes = matches!(batch.class, class::Class::Write | class::Class::Begin);
        if !writes || self.group.policy == policy::Policy::UnsafeAck {
            return true;
        }
        let now = self.group.clock.now();
        let stalled = replica_stall(&self.group.watch.board(), now);
        let left = batch.deadline.saturating_sub(now);
        self.group.confirmations().allows(left, stalled, now)
    }

    /// Where a read goes, why, and the stamp it must include.
    ///
    /// # Errors
    /// When no instance is fresh enough before the deadline.
    pub async fn source(
        &self,
        batch: &batch::Batch,
        failed: &[id::Index],
    ) -> Result<(Place, route::Why, stamp::Stamp), outcome::Outcome> {
        if self.primary_only(batch) {
            let place = self.primary(batch).await?;
            return Ok((place, route::Why::Policy, stamp::Stamp::default()));
        }
        let (since, why) = self.sample_requirement(batch);
        let token = batch.token;
        let own = batch.own.unwrap_or_default();
        let found = self
            .group
            .watch
            .until(since, batch.deadline, true, |board| {
                let floor = token.or_else(|| board.floor(since))?.max(own);
                let index = self.group.choose(board, floor, failed)?;
                let fallback = board.leader().is_some_and(|leader| leader.index == index);
                let why = if fallback { route::Why::Fallback } else { why };
                Some((Place::from_board(board, index)?, why, floor))
            });
        found.await.ok_or_else(|| {
            let detail = "no instance is fresh enough within the deadline".into();
            outcome::Outcome::not_run(reason::Reason::NoInstance, detail, Some(RETRY_AFTER))
        })
    }

    /// Time after which a sample must have started to prove enough for the read.
    fn sample_requirement(&self, batch: &batch::Batch) -> (id::Time, route::Why) {
        if batch.token.is_some() {
            return (id::Time::ZERO, route::Why::Token);
        }
        match self.group.age_limit(batch) {
            Some(limit) => (batch.arrived.saturating_sub(limit), route::Why::Aged),
            None => (batch.arrived, route::Why::Sampled),
        }
    }

    fn primary_only(&self, batch: &batch::Batch) -> bool {
        match self.group.policy {
            policy::Policy::PrimaryOnly => true,
            policy::Policy::TokenOnly => batch.token.is_none(),
            _ => false,
        }
    }

    /// Waits until a replica is seen to hold what the primary has shown. Answers of
    /// replicas need no wait: a record that was shipped is on two instances.
    ///
    /// # Errors
    /// When the record is not confirmed before the deadline: its outcome is unknown.
    pub async fn confirm(
        &self,
        batch: &batch::Batch,
        index: id::Index,
        writes: bool,
        reply: reply::Reply,
    ) -> Answer {
        let is_primary = self
            .group
            .watch
            .board()
            .leader()
            .is_some_and(|leader| leader.index == index);
        let needed = (writes || is_primary) && self.group.policy != policy::Policy::UnsafeAck;
        // A failed batch has changed nothing, unless it committed something before.
        let shown = reply.error.is_none() || batch.mixed;
        let Some(stamp) = reply.stamp.filter(|_| needed && shown) else {
            return Ok(reply);
        };
        let since = self.group.clock.now();
        let seen = self
            .group
            .watch
            .until(since, batch.deadline, true, |board| {
                board.confirmed(stamp, index, since).then_some(())
            });
        let seen = seen.await;
        let elapsed = self.group.clock.now().saturating_sub(since);
        if writes {
            self.group.confirmations().learn(elapsed);
        }
        if seen.is_some() {
            return Ok(reply);
        }
        let detail = format!("record {stamp} was not seen on a second instance in time");
        Err(outcome::Outcome::unknown(
            reason::Reason::Unconfirmed,
            detail.into(),
        ))
    }

    /// Runs a batch on an instance, over the held connection if there is one.
    pub async fn send(
        &self,
        place: Place,
        held: Option<pool::Guard>,
        batch: &batch::Batch,
    ) -> Sent {
        let index = place.index;
        let pool = self.group.pool(index);
        let _waiting = pool.enter();
        let ticket = self.ticket(batch, held.is_some());
        let has_slot = held.as_ref().is_some_and(|guard| guard.slot.is_some());
        let slot = self.slot(index, has_slot, ticket);
        let slot = match self.run_until(batch.deadline, slot).await {
            Some(Ok(slot)) => slot,
            Some(Err(refusal)) => return Sent::Refused(refusal),
            None => return Sent::Late,
        };
        // Asked for after the wait, so that a trial says how the instance is now.
        let permit = pool.permit();
        if permit.is_none() && ticket.priority != admission::Priority::Write {
            return Sent::Unsent("the instance has failed too often of late".into());
        }
        let sent = self.attempt(place, held, slot, batch).await;
        if let Some((permit, success)) = permit.zip(self.success(&sent, batch)) {
            pool.record(permit, success);
        }
        sent
    }

    fn ticket(&self, batch: &batch::Batch, pinned: bool) -> admission::Ticket {
        let aged = batch.token.is_none() && self.group.age_limit(batch).is_some();
        slots::ticket(batch, pinned, aged)
    }

    /// What an attempt says of the instance; nothing if it was not the instance's fault.
    /// A write that ends at the deadline may have waited for another caller's locks.
    fn success(&self, sent: &Sent, batch: &batch::Batch) -> Option<bool> {
        let reads = matches!(batch.class, class::Class::Read | class::Class::BeginRead);
        match sent {
            Sent::Answered(..) => Some(true),
            Sent::Unsent(_) | Sent::Lost(_) => Some(false),
            Sent::Late | Sent::Refused(_) => None,
            Sent::Expired => (reads && batch.deadline <= self.group.clock.now()).then_some(false),
        }
    }

    /// The slot for one statement; none when the transaction has kept its own.
    async fn slot(
        &self,
        index: id::Index,
        has_slot: bool,
        ticket: admission::Ticket,
    ) -> Result<Option<slots::Slot>, outcome::Outcome> {
        if has_slot {
            return Ok(None);
        }
        self.group.pool(index).slot(ticket).await.map(Some)
    }

    async fn attempt(
        &self,
        place: Place,
        held: Option<pool::Guard>,
        slot: Option<slots::Slot>,
        batch: &batch::Batch,
    ) -> Sent {
        let connecting = self.connect(place, held, slot);
        match self.run_until(batch.deadline, connecting).await {
            Some(Ok(guard)) => self.exchange(guard, &batch.frames, batch.deadline).await,
            Some(Err(failure)) => Sent::Unsent(failure_detail(failure)),
            None => Sent::Late,
        }
    }

    /// A connection together with a slot; the slot goes back with the connection.
    async fn connect(
        &self,
        place: Place,
        held: Option<pool::Guard>,
        slot: Option<slots::Slot>,
    ) -> Result<pool::Guard, upstream::Failure> {
        let mut guard = if let Some(guard) = held {
            guard
        } else {
            let pool = self.group.pool(place.index);
            pool.checkout(Some(place.incarnation)).await?
        };
        guard.slot = guard.slot.or(slot);
        Ok(guard)
    }

    async fn exchange(
        &self,
        mut guard: pool::Guard,
        frames: &[frame::Frame],
        deadline: id::Time,
    ) -> Sent {
        // Checked before the first byte leaves: a process that was paused must not send
        // what it had in hand after its share has gone to another proxy.
        if self.group.clock.now() >= deadline.min(self.group.until()) {
            return Sent::Late;
        }
        let run = guard.connection.run(frames);
        match self.run_until(deadline, run).await {
            Some(Ok(reply)) => Sent::Answered(reply, guard),
            Some(Err(upstream::Failure::NotRun(detail))) => Sent::Unsent(detail),
            Some(Err(upstream::Failure::Unknown(detail))) => Sent::Lost(detail),
            None => Sent::Expired,
        }
    }

    /// Waits until the group is known to be led otherwise, or to be led still.
    pub async fn await_change(&self, index: id::Index, batch: &batch::Batch) {
        let since = self.group.clock.now();
        let changed = self
            .group
            .watch
            .until(since, batch.deadline, true, |board| {
                let leader = board.leader()?;
                let fresh = board.floor(since).is_some();
                (leader.index != index || fresh).then_some(())
            });
        changed.await;
    }

    /// Runs a task until the deadline or the end of this proxy's share, whichever comes
    /// first. Another proxy may use the share after its end.
    async fn run_until<T>(&self, deadline: id::Time, task: impl Future<Output = T>) -> Option<T> {
        let timer = async {
            loop {
                let end = deadline.min(self.group.until());
                let now = self.group.clock.now();
                if now >= end {
                    return None;
                }
                async_io::Timer::after(end.saturating_sub(now)).await;
            }
        };
        future::or(task.map(Some), timer).await
    }

    /// Logs and counts a routing decision.
    pub fn log(
        &self,
        batch: &batch::Batch,
        index: id::Index,
        why: route::Why,
        floor: Option<stamp::Stamp>,
    ) {
        let board = self.group.watch.board();
        let declaration = self.group.declaration();
        let status = board.status(index);
        let leads = board.leader().is_some_and(|leader| leader.index == index);
        let source = if leads { "primary" } else { "replica" };
        if batch.class == class::Class::Read && why != route::Why::Pinned {
            metrics::counter!("mangotray_reads_total", "source" => source).increment(1);
        }
        tracing::info!(
            target: "mangotray::route",
            request = batch.request,
            group = %declaration.name,
            class = ?batch.class,
            instance = %declaration.instances[index].name,
            source,
            why = why.name(),
            term = status.map(|status| status.fence),
            stamp = status.map(|status| tracing::field::display(status.stamp)),
            floor = floor.map(tracing::field::display),
            "routed"
        );
    }
}

/// Whether any replica can still confirm: with none answering, a write could only end
/// unknown, so it is better refused before it runs.
fn has_answering_replica(board: &board::Board, leader: board::Leader) -> bool {
    let mut seen = board.seen().iter().enumerate();
    seen.any(|(index, seen)| index != leader.index && is_answering(seen))
}

fn is_answering(seen: &board::Seen) -> bool {
    seen.failures == 0 && seen.last.is_some()
}

/// For how long even the best replica has stood still behind the primary.
fn replica_stall(board: &board::Board, now: id::Time) -> time::Duration {
    let leader = board.leader().map(|leader| leader.index);
    let replicas = board.seen().iter().enumerate();
    let replicas = replicas.filter(|(index, seen)| Some(*index) != leader && is_answering(seen));
    let stalls = replicas.map(|(_, seen)| {
        seen.behind
            .map_or(id::Time::ZERO, |since| now.saturating_sub(since))
    });
    stalls.min().unwrap_or_default()
}

fn failure_detail(failure: upstream::Failure) -> CompactString {
    match failure {
        upstream::Failure::NotRun(detail) | upstream::Failure::Unknown(detail) => detail,
    }
}

/// Refusal of a write that could not be confirmed in time.
fn slow_replicas() -> outcome::Outcome {
    let detail = "the replicas are too slow to confirm a write within the deadline".into();
    outcome::Outcome::not_run(
        reason::Reason::NoMajority,
        detail,
        Some(enrol::jittered(RETRY_AFTER)),
    )
}

/// Refusal of a batch that needs the primary.
#[must_use]
pub fn no_primary() -> outcome::Outcome {
    let detail = "no primary can take writes at the moment".into();
    outcome::Outcome::not_run(reason::Reason::NoPrimary, detail, Some(RETRY_AFTER))
}
