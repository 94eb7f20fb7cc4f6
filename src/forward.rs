//! Forwarding of a session to a proxy that serves its group.

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
use crate::reason;
use crate::transaction;

pub use crate::choice::Choice;

/// Pause before the members of a serving set are tried once more.
const ROUND: time::Duration = time::Duration::from_millis(50);

/// One member of a group's serving set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of its VM, for the logs.
    pub vm: id::Vm,
    /// Where it listens for peers.
    pub address: net::SocketAddr,
}

/// Tells which proxies serve a database.
pub trait Directory: Send + Sync {
    /// The present serving set in order of preference, without this proxy itself.
    fn members(&self, database: &str) -> Vec<Member>;
}

/// All peers that this proxy has connections to.
pub struct Pool {
    means: sync::Arc<endpoint::Means>,
    endpoints: papaya::HashMap<net::SocketAddr, sync::Arc<endpoint::Endpoint>>,
}

impl Pool {
    /// A pool without connections.
    #[must_use]
    pub fn new(means: endpoint::Means) -> Self {
        Self {
            means: sync::Arc::new(means),
            endpoints: papaya::HashMap::new(),
        }
    }

    /// The peer at an address.
    #[must_use]
    pub fn endpoint(&self, address: net::SocketAddr) -> sync::Arc<endpoint::Endpoint> {
        let endpoints = self.endpoints.pin();
        let new = || sync::Arc::new(endpoint::Endpoint::new(address, self.means.clone()));
        endpoints.get_or_insert_with(address, new).clone()
    }

    /// Forgets peers that are no longer among the live VMs; their connections end
    /// with the last session that uses them.
    pub fn retain(&self, live: impl Fn(&net::SocketAddr) -> bool) {
        self.endpoints.pin().retain(|address, _| live(address));
    }
}

/// A session's way to a member of its group's serving set.
pub struct Lane {
    pool: sync::Arc<Pool>,
    directory: sync::Arc<dyn Directory>,
    database: CompactString,
    place: Option<Place>,
    state: State,
}

/// The session at the member that it was opened at.
struct Place {
    vm: id::Vm,
    address: net::SocketAddr,
    connection: sync::Arc<dial::Connection>,
    session: peer::Session,
    sequence: peer::Sequence,
    opened: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.opened {
            self.connection.close(self.session);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No transaction is open: the next batch may go anywhere.
    Idle,
    /// A transaction is open at the present place.
    Pinned,
    /// A batch is under way. Found at the start of a run, it shows that the one
    /// before was dropped, so nobody knows what the session holds.
    Busy { pinned: bool },
    /// The transaction was lost with its place. Statements are refused until the
    /// caller ends it: elsewhere they would run as transactions of their own.
    Lost,
}

/// What to do after an attempt at one member.
enum Step {
    Done(peer::Answer),
    Next(outcome::Outcome),
}

impl Lane {
    /// A session that opens at its first batch.
    #[must_use]
    pub fn new(pool: sync::Arc<Pool>, directory: sync::Arc<dyn Directory>, database: &str) -> Self {
        Self {
            pool,
            directory,
            database: database.into(),
            place: None,
            state: State::Idle,
        }
    }

    async fn forward(&mut self, batch: batch::Batch) -> peer::Answer {
        self.recover();
        match (self.state, batch.class) {
            (State::Lost, class::Class::Rollback) => self.state = State::Idle,
            (State::Lost, class::Class::Commit) => {
                self.state = State::Idle;
                return Err(lost("the transaction was lost and rolled back"));
            }
            (State::Lost, _) => {
                return Err(lost("the transaction was lost; it has to be ended first"));
            }
            _ => {}
        }
        let pinned = self.state == State::Pinned;
        self.state = State::Busy { pinned };
        let answer = if pinned {
            self.stay(&batch).await
        } else {
            self.roam(&batch).await
        };
        if self.state == (State::Busy { pinned }) {
            self.state = after(pinned, batch.class, &answer);
        }
        answer
    }

    /// Gives up a session whose last run was dropped half way.
    fn recover(&mut self) {
        if let State::Busy { pinned } = self.state {
            self.place = None;
            self.state = if pinned { State::Lost } else { State::Idle };
        }
    }

    /// Runs a batch of an open transaction where the transaction is.
    async fn stay(&mut self, batch: &batch::Batch) -> peer::Answer {
        let result = self.attempt(batch).await;
        let gone = match &result {
            Ok(Err(outcome)) => refused_for(outcome, reason::Reason::NoServer),
            Ok(Ok(_)) => false,
            Err(_) => true,
        };
        if gone {
            self.place = None;
            self.state = match batch.class {
                class::Class::Commit | class::Class::Rollback => State::Idle,
                _ => State::Lost,
            };
        }
        match result {
            Ok(answer) => answer,
            Err(dial::Failure::Unsent) => Err(lost("the transaction was lost")),
            Err(failure) => Err(unknown(failure)),
        }
    }

    /// Runs a batch outside of a transaction at the first member that takes it.
    async fn roam(&mut self, batch: &batch::Batch) -> peer::Answer {
        let mut last = no_server();
        loop {
            let members = self.directory.members(&self.database);
            match self.round(batch, &members, last).await {
                Step::Done(answer) => return answer,
                Step::Next(outcome) => last = outcome,
            }
            if self.remaining(batch) <= ROUND {
                return Err(last);
            }
            async_io::Timer::after(ROUND.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
        }
    }

    /// Tries each member at most once.
    async fn round(
        &mut self,
        batch: &batch::Batch,
        members: &[Member],
        mut last: outcome::Outcome,
    ) -> Step {
        let mut tried = vec![false; members.len()];
        loop {
            if self.remaining(batch).is_zero() {
                return Step::Done(Err(last));
            }
            let Some(index) = self.choose(members, &tried) else {
                return Step::Next(last);
            };
            tried[index] = true;
            match self.visit(batch, &members[index]).await {
                Step::Done(answer) => return Step::Done(answer),
                Step::Next(outcome) => last = outcome,
            }
        }
    }

    fn choose(&self, members: &[Member], tried: &[bool]) -> Option<usize> {
        let endpoints = members
            .iter()
            .map(|member| self.pool.endpoint(member.address));
        let endpoints: Vec<_> = endpoints.collect();
        let states = endpoints.iter().zip(tried);
        let states = states.map(|(endpoint, tried)| choice::Member {
            health: endpoint.health(),
            tried: *tried,
        });
        let states: Vec<_> = states.collect();
        let choice = Choice::new(&states, self.now());
        choice
            .probes
            .iter()
            .for_each(|index| endpoints[*index].probe());
        choice.member
    }

    async fn visit(&mut self, batch: &batch::Batch, member: &Member) -> Step {
        if !self.enter(member).await {
            return Step::Next(no_server());
        }
        let result = self.attempt(batch).await;
        tracing::debug!(request = batch.request, vm = %member.vm, ok = result.is_ok(), "forwarded");
        let unanswered = result.is_err();
        let step = judge(batch.class, result);
        if let Step::Next(outcome) = &step {
            tracing::info!(request = batch.request, vm = %member.vm, ?outcome, "trying another peer");
        }
        // A session without an answer may still be busy there; the next batch must
        // not wait behind it.
        if unanswered || matches!(step, Step::Next(_)) {
            self.place = None;
        }
        step
    }

    /// Makes the member the session's place, unless it already is.
    async fn enter(&mut self, member: &Member) -> bool {
        let place = self.place.as_ref();
        let here = |place: &Place| place.address == member.address && place.connection.alive();
        if place.is_some_and(here) {
            return true;
        }
        self.place = None;
        let Some(connection) = self.pool.endpoint(member.address).connection().await else {
            return false;
        };
        self.place = Some(Place {
            vm: member.vm.clone(),
            address: member.address,
            session: connection.session(),
            connection,
            sequence: 0,
            opened: false,
        });
        true
    }

    async fn attempt(&mut self, batch: &batch::Batch) -> Result<peer::Answer, dial::Failure> {
        let now = self.now();
        let place = self.place.as_mut().ok_or(dial::Failure::Unsent)?;
        let mut run = peer::Run::new(batch, now);
        run.session = place.session;
        run.open = (!place.opened).then(|| self.database.clone());
        run.sequence = place.sequence;
        place.sequence += 1;
        // Set before the answer is there: a run dropped half way may have opened it.
        place.opened = true;
        let result = place.connection.run(run).await;
        match &result {
            Err(dial::Failure::Unsent) if place.sequence == 1 => place.opened = false,
            Err(failure) => {
                tracing::warn!(request = batch.request, vm = %place.vm, ?failure, "peer gave no answer");
            }
            Ok(_) => {}
        }
        result
    }

    fn now(&self) -> id::Time {
        self.pool.means.clock.now()
    }

    fn remaining(&self, batch: &batch::Batch) -> time::Duration {
        batch.deadline.saturating_sub(self.now())
    }
}

impl lane::Lane for Lane {
    fn run(&mut self, batch: batch::Batch) -> future::BoxFuture<'_, peer::Answer> {
        Box::pin(self.forward(batch))
    }
}

/// What follows from the result at one member, outside of a transaction. Only what
/// surely did not run, or only reads, may run at another member.
fn judge(class: class::Class, result: Result<peer::Answer, dial::Failure>) -> Step {
    let reads = matches!(class, class::Class::Read | class::Class::BeginRead);
    match result {
        Ok(Err(outcome)) if is_elsewhere(&outcome) => Step::Next(outcome),
        Ok(answer) => Step::Done(answer),
        Err(dial::Failure::Unsent) => Step::Next(no_server()),
        Err(dial::Failure::Lost) if reads => Step::Next(unknown(dial::Failure::Lost)),
        Err(failure) => Step::Done(Err(unknown(failure))),
    }
}

/// State of the lane after a batch whose place still stands.
fn after(pinned: bool, class: class::Class, answer: &peer::Answer) -> State {
    let ends = matches!(class, class::Class::Commit | class::Class::Rollback);
    match answer {
        Ok(reply) if reply.transaction == transaction::State::Idle => State::Idle,
        Ok(_) => State::Pinned,
        Err(outcome::Outcome::Unknown { .. }) if ends => State::Idle,
        Err(_) if pinned => State::Pinned,
        Err(_) => State::Idle,
    }
}

/// Whether a peer's refusal only means that another member has to be asked.
fn is_elsewhere(outcome: &outcome::Outcome) -> bool {
    refused_for(outcome, reason::Reason::NoServer) || refused_for(outcome, reason::Reason::Draining)
}

fn refused_for(outcome: &outcome::Outcome, wanted: reason::Reason) -> bool {
    matches!(outcome, outcome::Outcome::NotRun { reason, .. } if *reason == wanted)
}

fn no_server() -> outcome::Outcome {
    outcome::Outcome::NotRun {
        reason: reason::Reason::NoServer,
        detail: "no proxy that serves the group could be reached".into(),
        retry: Some(ROUND),
    }
}

fn lost(detail: &str) -> outcome::Outcome {
    outcome::Outcome::NotRun {
        reason: reason::Reason::ConnectionLost,
        detail: detail.into(),
        retry: None,
    }
}

fn unknown(failure: dial::Failure) -> outcome::Outcome {
    let (reason, detail) = match failure {
        dial::Failure::Expired => (reason::Reason::Deadline, "the peer did not answer in time"),
        _ => (
            reason::Reason::ConnectionLost,
            "the connection to the peer was lost",
        ),
    };
    outcome::Outcome::Unknown {
        reason,
        detail: detail.into(),
    }
}
