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
pub enum Delivery {
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
pub struct Target {
    /// Index of the instance.
    pub index: id::Index,
    /// Incarnation of its process, from the same state of the board as the choice.
    pub incarnation: id::Incarnation,
}

impl Target {
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
    pub async fn primary(&self, batch: &batch::Batch) -> Result<Target, outcome::Outcome> {
        let since = match batch.class {
            class::Class::Begin => batch.arrived,
            _ => id::Time::ZERO,
        };
        let found = self
            .group
            .watch
            .wait_until(since, batch.deadline, true, |board| {
                let leader = board.leader()?;
                let floor = board.floor(since)?;
                let stamp = board.status(leader.index)?.stamp;
                let usable = board.instances()[leader.index].failures == 0;
                let target = Target::from_board(board, leader.index)?;
                (stamp >= floor && usable && has_answering_replica(board, leader)).then_some(target)
            });
        let target = found.await.ok_or_else(|| self.primary_refusal())?;
        self.can_confirm_in_time(batch)
            .then_some(target)
            .ok_or_else(slow_replicas)
    }

    /// Refusal when the wait for a primary ended without one: lack of a majority, or of a primary.
    fn primary_refusal(&self) -> outcome::Outcome {
        let board = self.group.watch.board();
        let answering = board
            .instances()
            .iter()
            .filter(|instance| is_answering(instance))
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
        self.group
            .confirmation_estimate()
            .allows(left, stalled, now)
    }

    /// Waits for an instance that can serve a read. Returns the instance, the reason for the
    /// choice, and the floor: the stamp that the read must include. Instances in `failed` have
    /// failed this batch before.
    ///
    /// # Errors
    /// When no instance is fresh enough before the deadline.
    pub async fn read_target(
        &self,
        batch: &batch::Batch,
        failed: &[id::Index],
    ) -> Result<(Target, route::Reason, stamp::Stamp), outcome::Outcome> {
        if self.primary_only(batch) {
            let target = self.primary(batch).await?;
            return Ok((target, route::Reason::Policy, stamp::Stamp::default()));
        }
        let (since, reason) = self.sample_requirement(batch);
        let token = batch.token;
        let own = batch.own.unwrap_or_default();
        let found = self
            .group
            .watch
            .wait_until(since, batch.deadline, true, |board| {
                let floor = token.or_else(|| board.floor(since))?.max(own);
                let index = self.group.choose(board, floor, failed)?;
                let fallback = board.leader().is_some_and(|leader| leader.index == index);
                let reason = if fallback {
                    route::Reason::Fallback
                } else {
                    reason
                };
                Some((Target::from_board(board, index)?, reason, floor))
            });
        found.await.ok_or_else(|| {
            let detail = "no instance is fresh enough within the deadline".into();
            outcome::Outcome::not_run(reason::Reason::NoInstance, detail, Some(RETRY_AFTER))
        })
    }

    /// Earliest start of a sample that is recent enough for the read, and the reason to log.
    fn sample_requirement(&self, batch: &batch::Batch) -> (id::Time, route::Reason) {
        if batch.token.is_some() {
            return (id::Time::ZERO, route::Reason::Token);
        }
        match self.group.age_limit(batch) {
            Some(limit) => (batch.arrived.saturating_sub(limit), route::Reason::Aged),
            None => (batch.arrived, route::Reason::Sampled),
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
        let confirmed = self
            .group
            .watch
            .wait_until(since, batch.deadline, true, |board| {
                board.confirmed(stamp, index, since).then_some(())
            });
        let confirmed = confirmed.await;
        let elapsed = self.group.clock.now().saturating_sub(since);
        if writes {
            self.group.confirmation_estimate().add_sample(elapsed);
        }
        if confirmed.is_some() {
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
        target: Target,
        held: Option<pool::Guard>,
        batch: &batch::Batch,
    ) -> Delivery {
        let index = target.index;
        let pool = self.group.pool(index);
        let _waiting = pool.count_request();
        let ticket = self.ticket(batch, held.is_some());
        let has_slot = held.as_ref().is_some_and(|guard| guard.slot.is_some());
        let slot = self.slot(index, has_slot, ticket);
        let slot = match self.run_until(batch.deadline, slot).await {
            Some(Ok(slot)) => slot,
            Some(Err(refusal)) => return Delivery::Refused(refusal),
            None => return Delivery::Late,
        };
        // Taken after the wait for a slot, so that a trial request tests the instance's current
        // state.
        let permit = pool.permit();
        if permit.is_none() && ticket.priority != admission::Priority::Write {
            return Delivery::Unsent("the circuit breaker of the instance refuses requests".into());
        }
        let delivery = self.attempt(target, held, slot, batch).await;
        if let Some((permit, success)) = permit.zip(self.success(&delivery, batch)) {
            pool.record_result(permit, success);
        }
        delivery
    }

    fn ticket(&self, batch: &batch::Batch, pinned: bool) -> admission::Ticket {
        let aged = batch.token.is_none() && self.group.age_limit(batch).is_some();
        slots::ticket(batch, pinned, aged)
    }

    /// Result of an attempt for the circuit breaker; `None` when it says nothing about the
    /// instance. A write that is still running at the deadline may have waited for another
    /// caller's locks, so it doesn't count as a failure.
    fn success(&self, delivery: &Delivery, batch: &batch::Batch) -> Option<bool> {
        let reads = matches!(batch.class, class::Class::Read | class::Class::BeginRead);
        match delivery {
            Delivery::Answered(..) => Some(true),
            Delivery::Unsent(_) | Delivery::Lost(_) => Some(false),
            Delivery::Late | Delivery::Refused(_) => None,
            Delivery::Expired => {
                (reads && batch.deadline <= self.group.clock.now()).then_some(false)
            }
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
        self.group.pool(index).acquire_slot(ticket).await.map(Some)
    }

    async fn attempt(
        &self,
        target: Target,
        held: Option<pool::Guard>,
        slot: Option<slots::Slot>,
        batch: &batch::Batch,
    ) -> Delivery {
        let connecting = self.connect(target, held, slot);
        match self.run_until(batch.deadline, connecting).await {
            Some(Ok(guard)) => self.exchange(guard, &batch.frames, batch.deadline).await,
            Some(Err(failure)) => Delivery::Unsent(failure_detail(failure)),
            None => Delivery::Late,
        }
    }

    /// Returns the `held` connection or one from the pool, with a slot attached. The slot is
    /// released with the connection.
    async fn connect(
        &self,
        target: Target,
        held: Option<pool::Guard>,
        slot: Option<slots::Slot>,
    ) -> Result<pool::Guard, upstream::Failure> {
        let mut guard = if let Some(guard) = held {
            guard
        } else {
            let pool = self.group.pool(target.index);
            pool.checkout(Some(target.incarnation)).await?
        };
        guard.slot = guard.slot.or(slot);
        Ok(guard)
    }

    async fn exchange(
        &self,
        mut guard: pool::Guard,
        frames: &[frame::Frame],
        deadline: id::Time,
    ) -> Delivery {
        // Checked right before sending: a process that was paused must not send the batch after
        // its share of the instance has been given to another proxy.
        if self.group.clock.now() >= deadline.min(self.group.usable_until()) {
            return Delivery::Late;
        }
        let run = guard.connection.run(frames);
        match self.run_until(deadline, run).await {
            Some(Ok(reply)) => Delivery::Answered(reply, guard),
            Some(Err(upstream::Failure::NotRun(detail))) => Delivery::Unsent(detail),
            Some(Err(upstream::Failure::Unknown(detail))) => Delivery::Lost(detail),
            None => Delivery::Expired,
        }
    }

    /// Waits until the group has a primary other than `index`, or until a sample taken from now
    /// on confirms the current one. Returns at the batch's deadline at the latest.
    pub async fn await_change(&self, index: id::Index, batch: &batch::Batch) {
        let since = self.group.clock.now();
        let changed = self
            .group
            .watch
            .wait_until(since, batch.deadline, true, |board| {
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
                let end = deadline.min(self.group.usable_until());
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
        reason: route::Reason,
        floor: Option<stamp::Stamp>,
    ) {
        let board = self.group.watch.board();
        let declaration = self.group.declaration();
        let status = board.status(index);
        let leads = board.leader().is_some_and(|leader| leader.index == index);
        let source = if leads { "primary" } else { "replica" };
        if batch.class == class::Class::Read && reason != route::Reason::Pinned {
            metrics::counter!("mangotray_reads_total", "source" => source).increment(1);
        }
        tracing::info!(
            target: "mangotray::route",
            request = batch.request,
            group = %declaration.name,
            class = ?batch.class,
            instance = %declaration.instances[index].name,
            source,
            why = reason.name(),
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
    let mut instances = board.instances().iter().enumerate();
    instances.any(|(index, instance)| index != leader.index && is_answering(instance))
}

fn is_answering(instance: &board::Instance) -> bool {
    instance.failures == 0 && instance.last.is_some()
}

/// How long the answering replicas have been behind the primary without progress: the shortest
/// such time among them.
fn replica_stall(board: &board::Board, now: id::Time) -> time::Duration {
    let leader = board.leader().map(|leader| leader.index);
    let replicas = board.instances().iter().enumerate();
    let replicas =
        replicas.filter(|(index, instance)| Some(*index) != leader && is_answering(instance));
    let stalls = replicas.map(|(_, instance)| {
        instance
            .behind
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
