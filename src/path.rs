//! Choice of an instance for a batch, sending the batch to it, and confirmation of the result.
//!
//! A batch that may write goes to the primary, a read to any instance that is fresh enough. A
//! write is answered only when its record is seen on a majority of the group, so that a failover
//! doesn't lose it; the policy `unsafe-ack` omits this wait.

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

/// Retry delay suggested to the caller when no suitable instance is available.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// Result of sending a batch to one instance.
pub enum Sent {
    /// The complete answer, with the connection that it arrived on.
    Answered(reply::Reply, pool::Guard),
    /// Nothing of the batch ran: it was not sent, or the instance did not run it. Holds the
    /// error.
    Unsent(CompactString),
    /// The connection failed after the batch was sent; some of it may have run. Holds the
    /// error.
    Lost(CompactString),
    /// The deadline, or this proxy's share of the instance, ended while the batch was running.
    Expired,
    /// The deadline, or this proxy's share of the instance, ended before anything was sent.
    Late,
    /// The instance's admission queue refused the batch.
    Refused(outcome::Outcome),
}

/// A chosen instance, with its incarnation at the time of the choice.
///
/// The incarnation is part of the choice: an instance that has been restarted since then may
/// have lost the records for which it was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Place {
    /// Index of the instance.
    pub index: id::Index,
    /// Incarnation of its process, from the same state of the board as the choice.
    pub incarnation: id::Incarnation,
}

impl Place {
    fn from_board(board: &board::Board, index: id::Index) -> Option<Self> {
        let incarnation = board.status(index)?.incarnation;
        Some(Self { index, incarnation })
    }
}

/// Sends the batches of this proxy to the instances of one group.
pub struct Path {
    /// The group.
    pub group: sync::Arc<group::Group>,
}

type Answer = Result<reply::Reply, outcome::Outcome>;

impl Path {
    /// A path to the instances of `group`.
    #[must_use]
    pub fn new(group: sync::Arc<group::Group>) -> Self {
        Self { group }
    }

    /// Waits for a primary that can take a batch that may write.
    ///
    /// For a transaction, a sample taken after its arrival must show that no later term has
    /// begun, so that the transaction does not read from a primary that has been replaced.
    ///
    /// # Errors
    /// When no usable primary with an answering replica is found before the deadline, or when
    /// the replicas are too slow to confirm a write in the time left.
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

    /// Refusal when the wait for a primary ended without one: lack of a majority, or of a primary.
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

    /// Whether a write is likely to be confirmed before the batch's deadline.
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

    /// Waits for an instance that can serve a read. Returns the instance, the reason for the
    /// choice, and the floor: the stamp that the read must include. Instances in `failed` have
    /// failed this batch before.
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

    /// Earliest start of a sample that is recent enough for the read, and the reason to log.
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

    /// Waits until the latest record that an answer reflects is seen on a majority of the group.
    ///
    /// A read from the primary waits too, since it may have returned an unconfirmed record. An
    /// answer of a replica needs no wait: a record that was shipped to it is on two instances.
    ///
    /// # Errors
    /// When the record is not confirmed before the deadline; the outcome is then unknown.
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
        // A failed batch changed nothing, unless an earlier part of it was committed.
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

    /// Runs a batch on an instance, over the `held` connection if there is one.
    ///
    /// Waits for a slot first. The circuit breaker then applies to all but writes, and the
    /// result is recorded in it.
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
        // Taken after the wait for a slot, so that a trial request tests the instance's current
        // state.
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

    /// Result of an attempt for the circuit breaker; `None` when it says nothing about the
    /// instance. A write that is still running at the deadline may have waited for another
    /// caller's locks, so it doesn't count as a failure.
    fn success(&self, sent: &Sent, batch: &batch::Batch) -> Option<bool> {
        let reads = matches!(batch.class, class::Class::Read | class::Class::BeginRead);
        match sent {
            Sent::Answered(..) => Some(true),
            Sent::Unsent(_) | Sent::Lost(_) => Some(false),
            Sent::Late | Sent::Refused(_) => None,
            Sent::Expired => (reads && batch.deadline <= self.group.clock.now()).then_some(false),
        }
    }

    /// Waits for a slot; `None` when the transaction's connection already has one.
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

    /// Returns the `held` connection or one from the pool, with a slot attached. The slot is
    /// released with the connection.
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
        // Checked right before sending: a process that was paused must not send the batch after
        // its share of the instance has been given to another proxy.
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

    /// Waits until the group has a primary other than `index`, or until a sample taken from now
    /// on confirms the current one. Returns at the batch's deadline at the latest.
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

    /// Runs a task until the deadline or the end of this proxy's share of the instances,
    /// whichever comes first; `None` when the task has not finished by then. After its end,
    /// another proxy may use the share.
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

    /// Logs a routing decision, and counts it if it is for a read outside of a transaction.
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

/// Whether any replica answers. Without one no write can be confirmed and its outcome would be
/// unknown, so it is refused before it runs.
fn has_answering_replica(board: &board::Board, leader: board::Leader) -> bool {
    let mut seen = board.seen().iter().enumerate();
    seen.any(|(index, seen)| index != leader.index && is_answering(seen))
}

fn is_answering(seen: &board::Seen) -> bool {
    seen.failures == 0 && seen.last.is_some()
}

/// How long the answering replicas have been behind the primary without progress: the shortest
/// such time among them.
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

/// Refusal of a write because the replicas are too slow to confirm it in time.
fn slow_replicas() -> outcome::Outcome {
    let detail = "the replicas are too slow to confirm a write within the deadline".into();
    outcome::Outcome::not_run(
        reason::Reason::NoMajority,
        detail,
        Some(enrol::jittered(RETRY_AFTER)),
    )
}

/// Refusal of a batch that needs the primary while there is none.
#[must_use]
pub fn no_primary() -> outcome::Outcome {
    let detail = "no primary can take writes at the moment".into();
    outcome::Outcome::not_run(reason::Reason::NoPrimary, detail, Some(RETRY_AFTER))
}
