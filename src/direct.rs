//! Lane of a session to a group whose instances this proxy connects to itself.

use std::sync;
use std::time;

use compact_str::CompactString;
use futures_util::FutureExt;

use crate::batch;
use crate::class;
use crate::enrol;
use crate::group;
use crate::lane;
use crate::outcome;
use crate::path;
use crate::pool;
use crate::reason;
use crate::reply;
use crate::retry;
use crate::route;
use crate::transaction;

/// SQLSTATE of a write that is refused because the instance is not the primary.
const READ_ONLY_SQLSTATE: &str = "25006";

/// Retry delay suggested to the caller when all attempts have failed.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

const EXPIRED_DETAIL: &str = "the deadline passed while the request was running";

/// Classes that cannot turn a read-only transaction into a writing one.
const NON_WRITING_CLASSES: [class::Class; 4] = [
    class::Class::Read,
    class::Class::BeginRead,
    class::Class::Commit,
    class::Class::Rollback,
];

/// A connection that an open transaction is bound to.
struct Pin {
    place: path::Target,
    parked: pool::Parked,
    /// Whether the transaction may have written.
    writes: bool,
}

/// Runs one session's batches on the instances of a group.
pub struct Lane {
    path: path::Path,
    pin: Option<Pin>,
}

/// Attempts to run one request outside a transaction.
struct Attempts<'a> {
    group: &'a group::Group,
    attempt: retry::Attempt,
    backoff: retry::Backoff,
}

impl<'a> Attempts<'a> {
    fn new(group: &'a group::Group, batch: &batch::Batch) -> Self {
        Self {
            group,
            attempt: retry::Attempt {
                class: batch.class,
                pinned: false,
                number: 1,
                deadline: batch.deadline,
            },
            backoff: retry::Backoff::default(),
        }
    }

    /// Waits before the next attempt. Returns false if no further attempt is allowed.
    async fn pause_before_retry(&mut self, outcome: &outcome::Outcome) -> bool {
        let decision = retry::decide(
            &self.attempt,
            outcome,
            self.group.clock.now(),
            &mut self.group.retry_budget(),
            &mut self.backoff,
            &mut fastrand::Rng::new(),
        );
        let retry::Decision::Again { after } = decision else {
            return false;
        };
        self.attempt.number += 1;
        async_io::Timer::after(after).await;
        true
    }
}

type Answer = Result<reply::Reply, outcome::Outcome>;

impl Lane {
    /// Creates a lane to `group` without an open transaction.
    #[must_use]
    pub fn new(group: sync::Arc<group::Group>) -> Self {
        Self {
            path: path::Path::new(group),
            pin: None,
        }
    }

    async fn run_batch(&mut self, batch: batch::Batch) -> Answer {
        self.path.group.watch.record_request();
        self.path.group.retry_budget().record_first_attempt();
        if let Some(pin) = self.pin.take() {
            return self.run_pinned(pin, &batch).await;
        }
        match batch.class {
            class::Class::Read | class::Class::BeginRead => self.run_read(&batch).await,
            _ => self.run_write(&batch).await,
        }
    }

    async fn run_pinned(&mut self, pin: Pin, batch: &batch::Batch) -> Answer {
        let Pin {
            place,
            parked,
            writes,
        } = pin;
        // A transaction that was opened read-only may still turn into a writing one. A refusal
        // of its first write doesn't show that the primary has been replaced.
        let began_writing = writes;
        let writes = writes || !NON_WRITING_CLASSES.contains(&batch.class);
        let Some(guard) = parked.resume() else {
            return Err(rolled_back(
                "the proxy's share of the instance has expired".into(),
            ));
        };
        let commits = batch.class == class::Class::Commit || batch.mixed;
        self.path
            .log(batch, place.index, route::Reason::Pinned, None);
        match self.path.send(place, Some(guard), batch).await {
            path::Delivery::Answered(reply, _)
                if began_writing && !batch.mixed && is_read_only_error(&reply) =>
            {
                Err(primary_replaced())
            }
            path::Delivery::Answered(reply, guard) => {
                self.finish(batch, place, writes, reply, guard).await
            }
            path::Delivery::Lost(detail) if commits && writes => Err(connection_lost(detail)),
            path::Delivery::Expired if commits && writes => Err(expired_while_running()),
            // No commit was sent, so the loss of the connection rolled the transaction back.
            path::Delivery::Lost(detail) | path::Delivery::Unsent(detail) => {
                Err(rolled_back(detail))
            }
            path::Delivery::Expired => Err(rolled_back(EXPIRED_DETAIL.into())),
            path::Delivery::Late => Err(not_sent_in_time()),
            path::Delivery::Refused(outcome) => Err(outcome),
        }
    }

    async fn run_write(&mut self, batch: &batch::Batch) -> Answer {
        let group = self.path.group.clone();
        let mut attempts = Attempts::new(&group, batch);
        loop {
            let place = self.path.primary(batch).await?;
            self.path
                .log(batch, place.index, route::Reason::Primary, None);
            let outcome = match self.path.send(place, None, batch).await {
                path::Delivery::Answered(reply, guard) if is_refused_as_replica(batch, &reply) => {
                    // A failed transaction may be open; closing the connection ends it.
                    drop(guard);
                    unsent("the instance is no longer the primary".into())
                }
                path::Delivery::Answered(reply, guard) => {
                    return self.finish(batch, place, true, reply, guard).await;
                }
                path::Delivery::Unsent(detail) => unsent(detail),
                path::Delivery::Lost(detail) if loss_rolls_back(batch) => {
                    return Err(rolled_back(detail));
                }
                path::Delivery::Expired if loss_rolls_back(batch) => {
                    return Err(rolled_back(EXPIRED_DETAIL.into()));
                }
                path::Delivery::Lost(detail) => return Err(connection_lost(detail)),
                path::Delivery::Expired => return Err(expired_while_running()),
                path::Delivery::Late => return Err(not_sent_in_time()),
                path::Delivery::Refused(outcome) => return Err(outcome),
            };
            if !attempts.pause_before_retry(&outcome).await {
                return Err(with_retry_hint(outcome));
            }
            self.path.await_change(place.index, batch).await;
        }
    }

    async fn run_read(&mut self, batch: &batch::Batch) -> Answer {
        let group = self.path.group.clone();
        let mut attempts = Attempts::new(&group, batch);
        let mut failed = Vec::new();
        let mut unanswered = None;
        loop {
            let found = self.path.read_target(batch, &failed).await;
            let (place, why, floor) =
                found.map_err(|outcome| read_outcome(unanswered.as_ref(), outcome))?;
            self.path.log(batch, place.index, why, Some(floor));
            let outcome = match self.path.send(place, None, batch).await {
                path::Delivery::Answered(reply, guard) => {
                    return self.finish(batch, place, false, reply, guard).await;
                }
                path::Delivery::Unsent(detail) => unsent(detail),
                path::Delivery::Lost(detail) => {
                    unanswered = Some(connection_lost(detail.clone()));
                    read_connection_lost(batch, detail)
                }
                path::Delivery::Expired => return Err(expired_while_running()),
                path::Delivery::Late => {
                    return Err(read_outcome(unanswered.as_ref(), not_sent_in_time()));
                }
                path::Delivery::Refused(outcome) => {
                    return Err(read_outcome(unanswered.as_ref(), outcome));
                }
            };
            if !attempts.pause_before_retry(&outcome).await {
                return Err(read_outcome(unanswered.as_ref(), with_retry_hint(outcome)));
            }
            failed.push(place.index);
            if failed.len() >= group.declaration().instances.len() {
                failed.clear();
            }
        }
    }

    /// Keeps or returns the connection, and returns the answer once the records it reflects are
    /// confirmed.
    async fn finish(
        &mut self,
        batch: &batch::Batch,
        place: path::Target,
        writes: bool,
        reply: reply::Reply,
        mut guard: pool::Guard,
    ) -> Answer {
        let open = reply.transaction != transaction::State::Idle;
        if open {
            if !writes {
                // A read-only transaction holds no locks that others wait for, so its slot is
                // released between batches.
                guard.slot = None;
            }
            let parked = self.path.group.pool(place.index).park(guard);
            self.pin = Some(Pin {
                place,
                parked,
                writes,
            });
        } else {
            self.path.group.pool(place.index).put_back(guard);
        }
        // In a mixed batch, a transaction may have been committed before the open one began.
        if open && !(batch.mixed && reply.stamp.is_some()) {
            return Ok(reply);
        }
        let answer = self.path.confirm(batch, place.index, writes, reply).await;
        if answer.is_err() {
            self.pin = None;
        }
        answer
    }
}

impl lane::Lane for Lane {
    fn run(&mut self, batch: batch::Batch) -> futures_util::future::BoxFuture<'_, Answer> {
        self.run_batch(batch).boxed()
    }
}

/// Whether the answer proves that the instance is not the primary and that nothing was committed.
fn is_refused_as_replica(batch: &batch::Batch, reply: &reply::Reply) -> bool {
    let writes = matches!(batch.class, class::Class::Write | class::Class::Begin);
    let idle = reply.transaction == transaction::State::Idle;
    // In a mixed batch, a transaction may have been committed before the refusal. The answer then
    // includes its stamp.
    let no_transaction_ended = if batch.mixed {
        reply.stamp.is_none()
    } else {
        idle
    };
    writes && no_transaction_ended && is_read_only_error(reply)
}

/// Whether the instance refused a write as read-only. Within a transaction that was opened on a
/// primary, this means that the primary was replaced and the transaction aborted.
fn is_read_only_error(reply: &reply::Reply) -> bool {
    reply.error.as_deref() == Some(READ_ONLY_SQLSTATE)
}

/// Whether the loss of the connection rolls the whole batch back: the batch opens a transaction
/// and contains nothing that could commit it.
fn loss_rolls_back(batch: &batch::Batch) -> bool {
    batch.class == class::Class::Begin
}

fn not_sent_in_time() -> outcome::Outcome {
    let detail = "the deadline passed before the request was sent".into();
    outcome::Outcome::not_run(reason::Reason::Deadline, detail, None)
}

fn expired_while_running() -> outcome::Outcome {
    outcome::Outcome::unknown(reason::Reason::Deadline, EXPIRED_DETAIL.into())
}

/// Outcome of an attempt of which nothing ran. It has no retry hint: the hint is meant for the
/// caller, while the proxy itself may retry sooner.
fn unsent(detail: CompactString) -> outcome::Outcome {
    outcome::Outcome::not_run(reason::Reason::ConnectionLost, detail, None)
}

/// Outcome of a read whose connection was lost after sending. A batch that only opens a read-only
/// transaction has no effect without its connection, so it counts as not run.
fn read_connection_lost(batch: &batch::Batch, detail: CompactString) -> outcome::Outcome {
    match batch.class {
        class::Class::BeginRead => unsent(detail),
        _ => connection_lost(detail),
    }
}

/// Outcome of a read after all attempts. If an attempt was sent but not answered, the read may
/// have run, regardless of the results of later attempts.
fn read_outcome(unanswered: Option<&outcome::Outcome>, last: outcome::Outcome) -> outcome::Outcome {
    unanswered.cloned().unwrap_or(last)
}

/// Adds a retry hint for the caller if the outcome has none.
fn with_retry_hint(outcome: outcome::Outcome) -> outcome::Outcome {
    match outcome {
        outcome::Outcome::NotRun {
            reason,
            detail,
            retry,
        } => outcome::Outcome::NotRun {
            reason,
            detail,
            retry: retry.or_else(|| Some(enrol::jittered(RETRY_AFTER))),
        },
        unknown @ outcome::Outcome::Unknown { .. } => unknown,
    }
}

fn connection_lost(detail: CompactString) -> outcome::Outcome {
    outcome::Outcome::unknown(reason::Reason::ConnectionLost, detail)
}

fn rolled_back(detail: CompactString) -> outcome::Outcome {
    let retry = Some(time::Duration::ZERO);
    outcome::Outcome::not_run(reason::Reason::ConnectionLost, detail, retry)
}

fn primary_replaced() -> outcome::Outcome {
    rolled_back("the primary was replaced before the commit".into())
}

#[cfg(test)]
pub(crate) mod tests;
