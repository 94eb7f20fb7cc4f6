//! Runs a session's batches on its lane and tracks the state of its transaction.

use std::sync;

use compact_str::CompactString;
use compact_str::format_compact;
use futures_lite::FutureExt;

use crate::batch;
use crate::cancel;
use crate::class;
use crate::classify;
use crate::frame;
use crate::lane;
use crate::local;
use crate::loss;
use crate::refusal;
use crate::reply;
use crate::session;
use crate::telemetry;
use crate::transaction;

/// The database group's side of a session.
pub(crate) struct Runner {
    context: sync::Arc<session::Context>,
    database: CompactString,
    /// Session number for the admission queues. It is random, since other proxies forward sessions
    /// to the same queues.
    caller_number: u64,
    lane: Option<Box<dyn lane::Lane>>,
    handle: cancel::Handle,
    state: transaction::State,
    /// Whether the open transaction has lost its connection: it is rolled back at the database,
    /// but the caller has not ended it yet.
    transaction_lost: bool,
    /// Settings that the caller may change.
    pub(crate) settings: local::Settings,
}

/// Result of a batch that has no answer from an upstream.
pub(crate) enum Ending {
    /// The batch failed with this error.
    Error(refusal::Error),
    /// The batch was a rollback, and the loss of the connection rolled the transaction back.
    RolledBack,
}

impl Runner {
    /// Opens a lane to the database.
    pub(crate) fn new(
        context: sync::Arc<session::Context>,
        database: CompactString,
        settings: local::Settings,
    ) -> Result<Self, refusal::Error> {
        let lane = context
            .switch
            .lane(&database)
            .ok_or_else(|| unknown_database(&database))?;
        Ok(Self {
            lane: Some(lane),
            handle: context.cancel_registry.register(),
            state: transaction::State::Idle,
            transaction_lost: false,
            caller_number: fastrand::u64(..),
            settings,
            database,
            context,
        })
    }

    /// State of the transaction as reported to the caller.
    pub(crate) const fn state(&self) -> transaction::State {
        self.state
    }

    /// Whether the transaction is rolled back at the database but not yet ended by the caller.
    pub(crate) const fn is_transaction_lost(&self) -> bool {
        self.transaction_lost
    }

    /// The process ID and secret that a cancel request must contain.
    pub(crate) const fn handle(&self) -> &cancel::Handle {
        &self.handle
    }

    /// Runs a batch and updates the session's state from the result.
    pub(crate) async fn run(
        &mut self,
        verdict: &classify::Verdict,
        frames: Vec<frame::Frame>,
    ) -> Result<reply::Reply, Ending> {
        if verdict.needs_connection_state
            && !verdict.multiple_statements
            && self.state == transaction::State::Idle
        {
            return Err(Ending::Error(transaction_required()));
        }
        let batch = self.build_batch(verdict, frames);
        let result = self.run_on_lane(batch).await;
        let outcome = match &result {
            Ok(_) => "done",
            Err(loss) => loss.outcome_label(verdict, self.state),
        };
        count_request(verdict.class, outcome);
        match result {
            Ok(reply) => {
                self.apply_reply(&reply);
                Ok(reply)
            }
            Err(loss) => Err(self.handle_loss(verdict, &loss)),
        }
    }

    fn build_batch(&self, verdict: &classify::Verdict, frames: Vec<frame::Frame>) -> batch::Batch {
        let arrived = self.context.clock.now();
        let deadline = self
            .settings
            .deadline
            .unwrap_or_else(|| self.context.switch.deadline(&self.database));
        batch::Batch {
            request: self.context.next_request_id(),
            caller: self.caller_number,
            frames,
            class: verdict.class,
            mixed: verdict.mixed,
            tables: verdict.tables.clone(),
            token: self.settings.caller_token(),
            own: self.settings.token,
            arrived,
            deadline: arrived + deadline.saturating_sub(return_margin(deadline)),
        }
    }

    async fn run_on_lane(&mut self, batch: batch::Batch) -> Result<reply::Reply, loss::Loss> {
        let Some(lane) = &mut self.lane else {
            return Err(loss::Loss::NoDatabase(unknown_database(&self.database)));
        };
        let _ = self.handle.discard_pending();
        let canceled = async {
            self.handle.wait().await;
            Err(loss::Loss::Canceled)
        };
        let run = async { lane.run(batch).await.map_err(loss::Loss::Outcome) };
        run.or(canceled).await
    }

    fn apply_reply(&mut self, reply: &reply::Reply) {
        self.settings.outcome = "outcome=done".into();
        self.state = reply.transaction;
        if let Some(stamp) = reply.stamp {
            self.settings.raise_token(stamp);
        }
    }

    /// Updates the session's state after a batch without an answer.
    fn handle_loss(&mut self, verdict: &classify::Verdict, loss: &loss::Loss) -> Ending {
        let error = loss.error(verdict, self.state);
        self.settings.outcome = error.detail.clone().unwrap_or_default();
        let open = self.state != transaction::State::Idle;
        match verdict.class {
            class::Class::Rollback if open => {
                self.reset();
                return Ending::RolledBack;
            }
            class::Class::Commit if open => self.reset(),
            _ if open => self.fail(),
            class::Class::Read if !loss.canceled() => {}
            _ => self.reset(),
        }
        Ending::Error(error)
    }

    /// Ends an open transaction at the database after an error. No batch is sent on until the
    /// caller ends the transaction too.
    pub(crate) fn fail(&mut self) {
        if self.state == transaction::State::Idle || self.transaction_lost {
            return;
        }
        self.reset();
        self.state = transaction::State::Failed;
        self.transaction_lost = true;
    }

    /// Replaces the lane by a new one; dropping the old lane rolls its transaction back.
    pub(crate) fn reset(&mut self) {
        self.lane = None;
        self.lane = self.context.switch.lane(&self.database);
        self.state = transaction::State::Idle;
        self.transaction_lost = false;
    }
}

fn unknown_database(database: &str) -> refusal::Error {
    refusal::Error::fatal(
        refusal::UNKNOWN_DATABASE,
        format_compact!("database \"{database}\" does not exist"),
    )
}

fn transaction_required() -> refusal::Error {
    refusal::Error::new(
        refusal::NOT_SUPPORTED,
        "functions whose result depends on the connection need an open transaction (not run)",
    )
    .hint("Run them between BEGIN and COMMIT.")
}

fn count_request(class: class::Class, outcome: &'static str) {
    let class = match class {
        class::Class::Read => "read",
        class::Class::Write => "write",
        class::Class::Begin => "begin",
        class::Class::BeginRead => "begin-read",
        class::Class::Commit => "commit",
        class::Class::Rollback => "rollback",
    };
    metrics::counter!(telemetry::REQUESTS, "class" => class, "outcome" => outcome).increment(1);
}

/// Part of a deadline that is reserved for sending the answer: an answer sent at the deadline would
/// reach the caller after it.
const RETURN_MARGIN: std::time::Duration = std::time::Duration::from_millis(25);

fn return_margin(deadline: std::time::Duration) -> std::time::Duration {
    RETURN_MARGIN.min(deadline / 10)
}
