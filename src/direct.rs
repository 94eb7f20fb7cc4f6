//! A session's lane into a group whose instances this proxy reaches itself.

use std::sync;
use std::time;

use compact_str::CompactString;
use futures_util::FutureExt;

use crate::batch;
use crate::class;
use crate::group;
use crate::id;
use crate::lane;
use crate::outcome;
use crate::path;
use crate::pool;
use crate::reason;
use crate::reply;
use crate::route;
use crate::transaction;

/// SQLSTATE of a write refused because the instance does not lead (any more).
const READ_ONLY: &str = "25006";

/// Instances that a batch is sent to at the most, one after the other.
const ATTEMPTS: usize = 4;

/// A connection that an open transaction is bound to.
struct Pin {
    index: id::Index,
    parked: pool::Parked,
    writes: bool,
}

/// One session's way into a group.
pub struct Lane {
    path: path::Path,
    pin: Option<Pin>,
}

type Answer = Result<reply::Reply, outcome::Outcome>;

impl Lane {
    /// A lane into `group` without an open transaction.
    #[must_use]
    pub fn new(group: sync::Arc<group::Group>) -> Self {
        Self {
            path: path::Path::new(group),
            pin: None,
        }
    }

    async fn dispatch(&mut self, batch: batch::Batch) -> Answer {
        self.path.group.watch.touch();
        if let Some(pin) = self.pin.take() {
            return self.pinned(pin, &batch).await;
        }
        match batch.class {
            class::Class::Read | class::Class::BeginRead => self.read(&batch).await,
            _ => self.write(&batch).await,
        }
    }

    async fn pinned(&mut self, pin: Pin, batch: &batch::Batch) -> Answer {
        let Pin {
            index,
            parked,
            writes,
        } = pin;
        let Some(guard) = parked.resume() else {
            return Err(rolled_back(
                "the proxy's share of the instance has ended".into(),
            ));
        };
        let commits = batch.class == class::Class::Commit || batch.mixed;
        self.path.log(batch, index, route::Why::Pinned, None);
        match self.path.send(index, Some(guard), batch).await {
            path::Sent::Answered(reply, _) if writes && !batch.mixed && read_only(&reply) => {
                Err(replaced())
            }
            path::Sent::Answered(reply, guard) => {
                self.settle(batch, index, writes, reply, guard).await
            }
            path::Sent::Lost(detail) if commits && writes => Err(lost(detail)),
            // The transaction was never asked to commit, so losing its connection
            // has rolled it back.
            path::Sent::Lost(detail) | path::Sent::Unsent(detail) => Err(rolled_back(detail)),
            path::Sent::Late => Err(late()),
        }
    }

    async fn write(&mut self, batch: &batch::Batch) -> Answer {
        for _ in 0..ATTEMPTS {
            let index = self.path.primary(batch).await?;
            self.path.log(batch, index, route::Why::Primary, None);
            match self.path.send(index, None, batch).await {
                path::Sent::Answered(reply, guard) if refused_by_replica(batch, &reply) => {
                    // A transaction may be open, and failed; it ends with the connection.
                    drop(guard);
                    self.path.await_change(index, batch).await;
                }
                path::Sent::Answered(reply, guard) => {
                    return self.settle(batch, index, true, reply, guard).await;
                }
                path::Sent::Unsent(_) => self.path.await_change(index, batch).await,
                path::Sent::Lost(detail) if ends_unfinished(batch) => {
                    return Err(rolled_back(detail));
                }
                path::Sent::Lost(detail) => {
                    return Err(lost(detail));
                }
                path::Sent::Late => return Err(late()),
            }
        }
        Err(path::no_primary())
    }

    async fn read(&mut self, batch: &batch::Batch) -> Answer {
        let mut failed = Vec::new();
        for _ in 0..ATTEMPTS {
            let (index, why, floor) = self.path.source(batch, &failed).await?;
            self.path.log(batch, index, why, Some(floor));
            match self.path.send(index, None, batch).await {
                path::Sent::Answered(reply, guard) => {
                    return self.settle(batch, index, false, reply, guard).await;
                }
                path::Sent::Unsent(_) | path::Sent::Lost(_) => failed.push(index),
                path::Sent::Late => return Err(late()),
            }
            if failed.len() >= self.path.group.declaration().instances.len() {
                failed.clear();
            }
        }
        let detail = "no instance answered the read".into();
        Err(lost(detail))
    }

    /// Relays a whole answer, once what it shows is certain to last.
    async fn settle(
        &mut self,
        batch: &batch::Batch,
        index: id::Index,
        writes: bool,
        reply: reply::Reply,
        mut guard: pool::Guard,
    ) -> Answer {
        let open = reply.transaction != transaction::State::Idle;
        if open {
            if !writes {
                // Holds no locks that others wait for, so the slot is free meanwhile.
                guard.slot = None;
            }
            let parked = self.path.group.pool(index).park(guard);
            self.pin = Some(Pin {
                index,
                parked,
                writes,
            });
        } else {
            self.path.group.pool(index).put_back(guard);
        }
        // In a mixed batch a transaction may have ended before the open one began.
        if open && !(batch.mixed && reply.stamp.is_some()) {
            return Ok(reply);
        }
        let answer = self.path.confirm(batch, index, writes, reply).await;
        if answer.is_err() {
            self.pin = None;
        }
        answer
    }
}

impl lane::Lane for Lane {
    fn run(&mut self, batch: batch::Batch) -> futures_util::future::BoxFuture<'_, Answer> {
        self.dispatch(batch).boxed()
    }
}

/// Whether the instance proved that it leads no more and that nothing was committed.
fn refused_by_replica(batch: &batch::Batch, reply: &reply::Reply) -> bool {
    let writes = matches!(batch.class, class::Class::Write | class::Class::Begin);
    let idle = reply.transaction == transaction::State::Idle;
    // Within a mixed batch a transaction may have been committed before the refusal;
    // its end would have been reported.
    let nothing_ended = if batch.mixed {
        reply.stamp.is_none()
    } else {
        idle
    };
    writes && nothing_ended && read_only(reply)
}

/// Whether the instance refused to write. Inside a transaction that was opened on a
/// primary it means that the primary has been replaced and the transaction aborted.
fn read_only(reply: &reply::Reply) -> bool {
    reply.error.as_deref() == Some(READ_ONLY)
}

/// Whether losing the connection surely rolls the batch back: a transaction was opened
/// and nothing in the batch could have committed it.
fn ends_unfinished(batch: &batch::Batch) -> bool {
    batch.class == class::Class::Begin
}

fn late() -> outcome::Outcome {
    let detail = "the deadline passed before the request was sent".into();
    outcome::Outcome::not_run(reason::Reason::Deadline, detail, None)
}

fn lost(detail: CompactString) -> outcome::Outcome {
    outcome::Outcome::unknown(reason::Reason::ConnectionLost, detail)
}

fn rolled_back(detail: CompactString) -> outcome::Outcome {
    let retry = Some(time::Duration::ZERO);
    outcome::Outcome::not_run(reason::Reason::ConnectionLost, detail, retry)
}

fn replaced() -> outcome::Outcome {
    rolled_back("the primary was replaced before the commit".into())
}
