//! Forwards a session's batches to a proxy that serves its group.

use std::net;
use std::sync;
use std::time;

use compact_str::CompactString;
use futures_util::future;

use crate::batch;
use crate::choice;
use crate::class;
use crate::dial;
use crate::endpoint;
use crate::id;
use crate::lane;
use crate::outcome;
use crate::peer;
use crate::remote;
use crate::resend;
use crate::telemetry;
use crate::transaction;

pub use crate::choice::Choice;

/// A proxy in a group's serving set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of its VM, used in logs.
    pub vm: id::Vm,
    /// Address on which it listens for peers.
    pub address: net::SocketAddr,
}

/// Looks up the proxies that serve a database.
pub trait Directory: Send + Sync {
    /// The current serving set in order of preference, excluding this proxy.
    fn members(&self, database: &str) -> Vec<Member>;

    /// Whether this proxy serves the database itself.
    fn is_local(&self, database: &str) -> bool;
}

/// Connections to peers, by address.
pub struct Pool {
    resources: sync::Arc<endpoint::Resources>,
    endpoints: papaya::HashMap<net::SocketAddr, sync::Arc<endpoint::Endpoint>>,
}

impl Pool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(resources: endpoint::Resources) -> Self {
        Self {
            resources: sync::Arc::new(resources),
            endpoints: papaya::HashMap::new(),
        }
    }

    /// The endpoint for an address; created on first use.
    #[must_use]
    pub fn endpoint(&self, address: net::SocketAddr) -> sync::Arc<endpoint::Endpoint> {
        let endpoints = self.endpoints.pin();
        let new_endpoint =
            || sync::Arc::new(endpoint::Endpoint::new(address, self.resources.clone()));
        endpoints.get_or_insert_with(address, new_endpoint).clone()
    }

    /// Removes peers whose VMs are no longer live; their connections close when the last
    /// session that uses them ends.
    pub fn retain(&self, live: impl Fn(&net::SocketAddr) -> bool) {
        self.endpoints.pin().retain(|address, _| live(address));
    }

    fn now(&self) -> id::Time {
        self.resources.clock.now()
    }
}

/// Forwards one session's batches to a member of its group's serving set.
pub struct Lane {
    pool: sync::Arc<Pool>,
    directory: sync::Arc<dyn Directory>,
    database: CompactString,
    remote: Option<remote::Session>,
    state: State,
}

/// State of the session's transaction as known to the lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No transaction is open; the next batch may go to any member.
    Idle,
    /// A transaction is open in the current remote session.
    Pinned,
    /// A batch is in flight. At the start of a run it means that the previous run was dropped
    /// before it finished, so the state of the remote session is unknown.
    Busy { pinned: bool },
    /// The transaction was lost together with its remote session. Statements are refused until the
    /// caller ends it; on another proxy each would run in a transaction of its own.
    Lost,
}

impl State {
    /// The state after an answer, when the peer still holds the session.
    fn after(pinned: bool, class: class::Class, answer: &peer::Answer) -> Self {
        match answer {
            Ok(reply) if reply.transaction == transaction::State::Idle => Self::Idle,
            Ok(_) => Self::Pinned,
            Err(outcome::Outcome::Unknown { .. }) if ends_transaction(class) => Self::Idle,
            Err(_) if pinned => Self::Pinned,
            Err(_) => Self::Idle,
        }
    }
}

fn ends_transaction(class: class::Class) -> bool {
    matches!(class, class::Class::Commit | class::Class::Rollback)
}

impl Lane {
    /// Creates a lane; its remote session is opened by the first batch.
    #[must_use]
    pub fn new(pool: sync::Arc<Pool>, directory: sync::Arc<dyn Directory>, database: &str) -> Self {
        Self {
            pool,
            directory,
            database: database.into(),
            remote: None,
            state: State::Idle,
        }
    }

    async fn forward(&mut self, batch: batch::Batch) -> peer::Answer {
        self.discard_interrupted();
        if self.state == State::Lost {
            self.resolve_lost(batch.class)?;
        }
        let pinned = self.state == State::Pinned;
        self.state = State::Busy { pinned };
        if pinned {
            return self.forward_pinned(&batch).await;
        }
        let answer = self.forward_unpinned(&batch).await;
        self.state = State::after(false, batch.class, &answer);
        answer
    }

    /// Discards a remote session whose last run was dropped before it finished.
    fn discard_interrupted(&mut self) {
        if let State::Busy { pinned } = self.state {
            self.remote = None;
            self.state = if pinned { State::Lost } else { State::Idle };
        }
    }

    /// Lets the caller end a lost transaction. A commit also ends it but is refused, since a
    /// new session would report success for an empty commit.
    fn resolve_lost(&mut self, class: class::Class) -> Result<(), outcome::Outcome> {
        if ends_transaction(class) {
            self.state = State::Idle;
        }
        match class {
            class::Class::Rollback => Ok(()),
            _ => Err(resend::transaction_lost()),
        }
    }

    /// Runs a batch of an open transaction in the remote session that holds the transaction.
    async fn forward_pinned(&mut self, batch: &batch::Batch) -> peer::Answer {
        let attempt = self.attempt(batch).await;
        let session_ended = resend::session_ended(&attempt);
        let answer = attempt.unwrap_or_else(|failure| {
            Err(match failure {
                dial::Failure::Unsent => resend::transaction_lost(),
                _ => resend::unknown_outcome(failure),
            })
        });
        if session_ended {
            self.remote = None;
        }
        self.state = match (session_ended, ends_transaction(batch.class)) {
            (true, true) => State::Idle,
            (true, false) => State::Lost,
            (false, _) => State::after(true, batch.class, &answer),
        };
        answer
    }

    /// Runs a batch outside a transaction at the first member that accepts it, and retries the
    /// members in rounds, with a jittered pause, until the deadline, or until this proxy serves the
    /// group itself and the batch is known not to have run.
    async fn forward_unpinned(&mut self, batch: &batch::Batch) -> peer::Answer {
        let mut last = resend::no_server();
        loop {
            let members = self.directory.members(&self.database);
            match self.try_members(batch, &members, last).await {
                resend::Verdict::Done(answer) => return answer,
                resend::Verdict::TryNext(outcome) => last = outcome,
            }
            let runs_here =
                resend::allows_next_member(&last) && self.directory.is_local(&self.database);
            if runs_here || self.remaining(batch) <= resend::ROUND_PAUSE {
                return Err(last);
            }
            let pause = resend::ROUND_PAUSE.mul_f64(0.5 + fastrand::f64() / 2.0);
            async_io::Timer::after(pause).await;
        }
    }

    /// Tries each member at most once, until one gives a final answer.
    async fn try_members(
        &mut self,
        batch: &batch::Batch,
        members: &[Member],
        mut last: outcome::Outcome,
    ) -> resend::Verdict {
        let mut tried = vec![false; members.len()];
        while !self.remaining(batch).is_zero() {
            let Some(index) = self.choose(members, &tried) else {
                break;
            };
            tried[index] = true;
            match self.try_member(batch, &members[index]).await {
                resend::Verdict::TryNext(outcome) => last = outcome,
                done @ resend::Verdict::Done(_) => return done,
            }
        }
        resend::Verdict::TryNext(last)
    }

    fn choose(&self, members: &[Member], tried: &[bool]) -> Option<usize> {
        let addresses = members.iter().map(|member| member.address);
        let endpoints: Vec<_> = addresses
            .map(|address| self.pool.endpoint(address))
            .collect();
        let states = endpoints.iter().zip(tried);
        let states = states.map(|(endpoint, tried)| choice::Member {
            health: endpoint.health(),
            tried: *tried,
        });
        let states: Vec<_> = states.collect();
        let choice = Choice::new(&states, self.pool.now());
        let probes = choice.probes.iter();
        probes.for_each(|index| endpoints[*index].probe());
        choice.member
    }

    async fn try_member(&mut self, batch: &batch::Batch, member: &Member) -> resend::Verdict {
        let attempt = if self.connect(member).await {
            self.attempt(batch).await
        } else {
            record_attempt(batch, &member.vm, "unreachable");
            Err(dial::Failure::Unsent)
        };
        let unanswered = attempt.is_err();
        let verdict = resend::Verdict::new(batch.class, attempt);
        // Without an answer the remote session may still be running the batch; the next one
        // must not queue behind it.
        if unanswered || matches!(verdict, resend::Verdict::TryNext(_)) {
            self.remote = None;
        }
        verdict
    }

    /// Connects the session to the member unless it already is; returns false on failure.
    async fn connect(&mut self, member: &Member) -> bool {
        let remote = self.remote.as_ref();
        if remote.is_some_and(|remote| remote.is_connected_to(member.address)) {
            return true;
        }
        self.remote = None;
        let connection = self.pool.endpoint(member.address).connection().await;
        let new = |connection| remote::Session::new(member.vm.clone(), member.address, connection);
        self.remote = connection.map(new);
        self.remote.is_some()
    }

    async fn attempt(&mut self, batch: &batch::Batch) -> resend::Attempt {
        let now = self.pool.now();
        let remote = self.remote.as_mut().ok_or(dial::Failure::Unsent)?;
        let attempt = remote.run(&self.database, batch, now).await;
        record_attempt(batch, remote.vm(), result_label(&attempt));
        attempt
    }

    fn remaining(&self, batch: &batch::Batch) -> time::Duration {
        batch.deadline.saturating_sub(self.pool.now())
    }
}

impl lane::Lane for Lane {
    fn run(&mut self, batch: batch::Batch) -> future::BoxFuture<'_, peer::Answer> {
        Box::pin(self.forward(batch))
    }
}

fn result_label(attempt: &resend::Attempt) -> &'static str {
    match attempt {
        Ok(Ok(_)) => "done",
        Ok(Err(_)) => "refused",
        Err(dial::Failure::Unsent) => "unsent",
        Err(dial::Failure::Lost) => "lost",
        Err(dial::Failure::Expired) => "expired",
    }
}

fn record_attempt(batch: &batch::Batch, vm: &id::Vm, result: &'static str) {
    metrics::counter!(telemetry::FORWARDS, "result" => result).increment(1);
    tracing::debug!(
        target: "mangotray::forward",
        request = batch.request,
        %vm,
        class = ?batch.class,
        result,
        "forwarded"
    );
}

#[cfg(test)]
mod tests;
