//! Sends a session's batches to its group: directly while this proxy serves the group,
//! otherwise through a proxy that does.

use std::sync;
use std::time;

use compact_str::CompactString;
use futures_util::FutureExt;

use crate::batch;
use crate::direct;
use crate::directory;
use crate::entry;
use crate::forward;
use crate::group;
use crate::lane;
use crate::outcome;
use crate::reason;
use crate::reply;
use crate::resend;
use crate::transaction;

/// Interval between checks whether the group is being served.
const START_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Proxies that a lane may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// This proxy, through its own connections to the instances, and all peers.
    Fleet,
    /// This proxy only, through its own connections to the instances.
    Local,
}

/// Where the session's batches are currently sent.
enum Target {
    Direct(sync::Arc<group::Group>, direct::Lane),
    Forward(forward::Lane),
}

/// A lane that chooses its target again whenever no transaction is open.
pub struct Lane {
    directory: sync::Arc<directory::Directory>,
    database: CompactString,
    scope: Scope,
    target: Option<Target>,
    in_transaction: bool,
    /// Counts a peer's batch or open transaction as work in progress on this proxy.
    forwarded_guard: Option<sync::Arc<()>>,
}

type Answer = Result<reply::Reply, outcome::Outcome>;

impl Lane {
    /// Creates a lane without an open transaction.
    #[must_use]
    pub fn new(directory: sync::Arc<directory::Directory>, database: &str, scope: Scope) -> Self {
        Self {
            directory,
            database: database.into(),
            scope,
            target: None,
            in_transaction: false,
            forwarded_guard: None,
        }
    }

    async fn relay(&mut self, batch: batch::Batch) -> Answer {
        if self.scope == Scope::Local {
            if !self.in_transaction && self.directory.draining() {
                return Err(draining());
            }
            self.forwarded_guard
                .get_or_insert_with(|| self.directory.count_forwarded_work());
        }
        if !self.in_transaction {
            self.choose_target();
            self.await_start(&batch).await;
        }
        let answer = self.run_on_target(batch).await;
        let in_transaction = answer
            .as_ref()
            .is_ok_and(|reply| reply.transaction != transaction::State::Idle);
        if answer.is_err() && self.in_transaction {
            // The transaction has ended; dropping the lane rolls it back if it is still open.
            self.target = None;
        }
        self.in_transaction = in_transaction;
        if !in_transaction {
            self.forwarded_guard = None;
        }
        answer
    }

    /// Runs the batch on the chosen target. A forwarded batch that no peer has accepted runs here if
    /// this proxy serves the group by now.
    async fn run_on_target(&mut self, batch: batch::Batch) -> Answer {
        let answer = match &mut self.target {
            Some(Target::Direct(_, lane)) => return lane::Lane::run(lane, batch).await,
            Some(Target::Forward(lane)) => lane::Lane::run(lane, batch.clone()).await,
            None => return Err(not_served()),
        };
        let refusal = answer.as_ref().err();
        if self.in_transaction || !refusal.is_some_and(resend::allows_next_member) {
            return answer;
        }
        self.choose_target();
        match &mut self.target {
            Some(Target::Direct(_, lane)) => lane::Lane::run(lane, batch).await,
            _ => answer,
        }
    }

    /// Waits, at most until the deadline, while no proxy serves the group, for example just after
    /// it was declared, instead of refusing the batch.
    async fn await_start(&mut self, batch: &batch::Batch) {
        let clock = self.directory.shared().clock.clone();
        while self.has_no_server() && clock.now() + START_POLL_INTERVAL < batch.deadline {
            async_io::Timer::after(START_POLL_INTERVAL).await;
            self.choose_target();
        }
    }

    fn has_no_server(&self) -> bool {
        let members = |entry: sync::Arc<entry::Entry>| entry.members.load().len();
        let no_members = self.directory.entry(&self.database).map_or(0, members) == 0;
        let direct = matches!(self.target, Some(Target::Direct(..)));
        self.scope == Scope::Fleet && no_members && !direct
    }

    fn choose_target(&mut self) {
        let Some(entry) = self.directory.entry(&self.database) else {
            self.target = None;
            return;
        };
        let local = if self.scope == Scope::Local {
            entry.usable_runtime()
        } else {
            entry.preferred_runtime()
        };
        match (local, &self.target) {
            (Some(group), Some(Target::Direct(known, _))) if sync::Arc::ptr_eq(&group, known) => {}
            (Some(group), _) => {
                let lane = direct::Lane::new(group.clone());
                self.target = Some(Target::Direct(group, lane));
            }
            (None, Some(Target::Forward(_))) => {}
            (None, _) if self.scope == Scope::Local => self.target = None,
            (None, _) => self.target = Some(Target::Forward(self.forward_lane())),
        }
    }

    fn forward_lane(&self) -> forward::Lane {
        let pool = self.directory.shared().peers.clone();
        forward::Lane::new(pool, self.directory.clone(), &self.database)
    }
}

impl lane::Lane for Lane {
    fn run(&mut self, batch: batch::Batch) -> futures_util::future::BoxFuture<'_, Answer> {
        self.relay(batch).boxed()
    }
}

fn not_served() -> outcome::Outcome {
    let detail = "this proxy does not serve the group".into();
    outcome::Outcome::not_run(reason::Reason::NoServer, detail, None)
}

fn draining() -> outcome::Outcome {
    let detail = "the proxy is shutting down".into();
    outcome::Outcome::not_run(reason::Reason::Draining, detail, None)
}

#[cfg(test)]
mod tests;
