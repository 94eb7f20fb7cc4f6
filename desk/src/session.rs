//! One caller's session: its values, its prepared statements, its transaction.

use std::collections;
use std::rc;
use std::time;

use compact_str::CompactString;
use mangotray::id;
use mangotray::stamp;

use crate::boot;
use crate::catalog;
use crate::group;
use crate::kept;
use crate::lent;
use crate::miss;
use crate::node;
use crate::pool;
use crate::reply;
use crate::statement;
use crate::upstream;
use crate::urgency;
use crate::wait;
use crate::work;

/// Part of a statement's timeout for which it may wait for an instance to be reached. A
/// caller that is refused early can still ask another node in time; one that is kept
/// waiting to the end cannot.
const WAIT_PERCENT: u32 = 40;

/// Part of a statement's timeout for which it may wait behind others. Where more is asked
/// than the instances can do, waiting longer serves nobody else instead, and callers with
/// one second and three tries would see it end in the middle of the third.
const QUEUE_PERCENT: u32 = 22;

/// Pause before a statement that was refused as not run is offered again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(15);

/// Pause before a read that all instances refused is offered to them again: a replica that
/// is behind applies a few more commits meanwhile, and a full queue of 24 shrinks by six.
const ROUND_PAUSE: time::Duration = time::Duration::from_millis(40);

/// Instances that one read-only transaction is offered to before any is offered it again.
const ATTEMPTS: usize = 4;

/// Longest wait of a read for a connection to one instance; then another is asked.
const LEND_LIMIT: time::Duration = time::Duration::from_millis(120);

/// Part of a read's timeout that one instance gets; the rest is for another, where this
/// one has gone silent. Above the longest work (220 ms) and a full queue (160 ms).
const ATTEMPT_PERCENT: u32 = 50;

/// Time for a transaction's rollback in the background.
const ROLLBACK_LIMIT: time::Duration = time::Duration::from_millis(500);

/// A transaction as its caller sees it.
struct Transaction {
    read_only: bool,
    arrived: id::Time,
    route: rc::Rc<catalog::Route>,
    /// The connection that it runs on, from its first statement on.
    pinned: Option<Pinned>,
}

struct Pinned {
    lent: lent::Lent,
    group: rc::Rc<group::Group>,
    /// Term of the primary that it runs on; none on a replica.
    leads: Option<id::Term>,
}

enum Phase {
    Idle,
    Open(Box<Transaction>),
    /// The transaction has failed; its connection is given back already.
    Failed,
}

/// What became of one statement.
enum Outcome {
    Answered(reply::Reply),
    /// Proven not run, and not worth another try.
    Refused(reply::Code, CompactString),
}

/// One caller's session with one database.
pub struct Session {
    node: rc::Rc<node::Node>,
    database: CompactString,
    values: kept::Values,
    prepared: collections::BTreeMap<statement::Name, statement::Shape>,
    phase: Phase,
    own: Option<stamp::Stamp>,
}

impl Session {
    /// A fresh session.
    #[must_use]
    pub fn new(node: rc::Rc<node::Node>, database: CompactString) -> Self {
        Self {
            node,
            database,
            values: kept::Values::new(),
            prepared: collections::BTreeMap::new(),
            phase: Phase::Idle,
            own: None,
        }
    }

    /// State that the caller is told.
    #[must_use]
    pub const fn state(&self) -> reply::State {
        match self.phase {
            Phase::Idle => reply::State::Idle,
            Phase::Open(_) => reply::State::Open,
            Phase::Failed => reply::State::Failed,
        }
    }

    /// Answers one request.
    pub async fn handle(&mut self, request: &statement::Request) -> reply::Reply {
        let arrived = boot::now();
        let mut reply = self.dispatch(request, arrived).await;
        reply.state = self.state();
        self.log(request, arrived, &reply);
        reply
    }

    /// Ends a transaction that rested too long; its caller learns of it with the next request.
    pub fn expire(&mut self) {
        if let Phase::Open(transaction) = std::mem::replace(&mut self.phase, Phase::Failed) {
            tracing::info!(database = %self.database, "transaction rested too long");
            self.abandon(*transaction);
        }
    }

    /// Ends the session; an open transaction is rolled back.
    pub fn close(&mut self) {
        if let Phase::Open(transaction) = std::mem::replace(&mut self.phase, Phase::Idle) {
            self.abandon(*transaction);
        }
    }

    async fn dispatch(&mut self, request: &statement::Request, arrived: id::Time) -> reply::Reply {
        if matches!(self.phase, Phase::Failed) {
            return self.after_failure(&request.statement);
        }
        match &request.statement {
            statement::Statement::Begin { read_only } => self.begin(*read_only, arrived),
            statement::Statement::Commit => self.commit(request, arrived).await,
            statement::Statement::Rollback => self.rollback(),
            statement::Statement::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
                reply::Reply::done(self.state())
            }
            statement::Statement::Prepare { name, shape } => {
                self.prepared.insert(name.clone(), shape.clone());
                reply::Reply::done(self.state())
            }
            statement::Statement::Forget { name } => self.forget(name),
            statement::Statement::Unknown => self.error(reply::Code::Bad, "unknown statement"),
            statement::Statement::Read
            | statement::Statement::Write
            | statement::Statement::Execute { .. } => self.run(request, arrived).await,
        }
    }

    fn error(&self, code: reply::Code, text: impl Into<CompactString>) -> reply::Reply {
        reply::Reply::error(code, text, self.state())
    }

    fn after_failure(&mut self, statement: &statement::Statement) -> reply::Reply {
        match statement {
            statement::Statement::Rollback => {
                self.phase = Phase::Idle;
                reply::Reply::done(reply::State::Idle)
            }
            statement::Statement::Commit => {
                self.phase = Phase::Idle;
                self.error(
                    reply::Code::Aborted,
                    "the transaction had failed; nothing is kept",
                )
            }
            _ => self.error(reply::Code::Bad, "the transaction has failed; end it first"),
        }
    }

    fn begin(&mut self, read_only: bool, arrived: id::Time) -> reply::Reply {
        if matches!(self.phase, Phase::Open(_)) {
            return self.error(reply::Code::Bad, "a transaction is open already");
        }
        let Some(route) = self.node.route(&self.database) else {
            return self.error(reply::Code::NoDatabase, "no such database");
        };
        self.phase = Phase::Open(Box::new(Transaction {
            read_only,
            arrived,
            route,
            pinned: None,
        }));
        reply::Reply::done(self.state())
    }

    fn rollback(&mut self) -> reply::Reply {
        self.close();
        reply::Reply::done(reply::State::Idle)
    }

    fn forget(&mut self, name: &statement::Name) -> reply::Reply {
        match self.prepared.remove(name) {
            Some(_) => reply::Reply::done(self.state()),
            None => self.error(
                reply::Code::NoStatement,
                "no prepared statement of that name",
            ),
        }
    }

    // The connection goes back only after the instance has confirmed the rollback;
    // otherwise the next statement on it would run inside this transaction.
    fn abandon(&self, transaction: Transaction) {
        let Some(mut pinned) = transaction.pinned else {
            return;
        };
        let rollback = async move {
            let deadline = boot::now() + ROLLBACK_LIMIT;
            pinned.lent.urge(urgency::Urgency::now(deadline));
            let result = pinned
                .lent
                .run(&[upstream::Command::Rollback], deadline)
                .await;
            let clean = result.is_ok_and(|replies| is_idle(&replies));
            if !clean {
                pinned.lent.discard();
            }
        };
        self.node.executor().spawn(rollback).detach();
    }

    async fn run(&mut self, request: &statement::Request, arrived: id::Time) -> reply::Reply {
        let work = match self.work(request, arrived) {
            Ok(work) => work,
            Err(reply) => return reply,
        };
        if matches!(self.phase, Phase::Open(_)) {
            return self.run_inside(&work).await;
        }
        let Some(route) = self.node.route(&self.database) else {
            return self.error(reply::Code::NoDatabase, "no such database");
        };
        let outcome = match work.access {
            statement::Access::Read => self.read(&work, &route).await,
            statement::Access::Write => self.write(&work, &route).await,
        };
        match outcome {
            Outcome::Answered(reply) => reply,
            Outcome::Refused(code, text) => self.error(code, text),
        }
    }

    fn work(
        &self,
        request: &statement::Request,
        arrived: id::Time,
    ) -> Result<work::Work, reply::Reply> {
        let (access, prepared) = match &request.statement {
            statement::Statement::Read => (statement::Access::Read, None),
            statement::Statement::Execute { name, arguments } => {
                let Some(shape) = self.prepared.get(name) else {
                    let text = "no prepared statement of that name";
                    return Err(self.error(reply::Code::NoStatement, text));
                };
                let handle = work::handle(shape);
                (
                    shape.access,
                    Some((handle, shape.clone(), arguments.clone())),
                )
            }
            _ => (statement::Access::Write, None),
        };
        Ok(work::Work {
            id: request.id.clone(),
            arrived,
            text: request.text.clone(),
            access,
            prepared,
        })
    }

    async fn read(&mut self, work: &work::Work, route: &catalog::Route) -> Outcome {
        let group = self.node.group(&route.group);
        let need = self.need(route, work.arrived, work.arrived);
        let urgency = urgency(route, work.arrived);
        let mut tried = Vec::new();
        let mut reason = miss::Miss::Unreachable;
        loop {
            let Some(source) = group.source(&need, &tried).await else {
                // All were tried, or none is fresh enough: again from the start, if the
                // reason may pass while the caller still waits.
                let limit = patience(&reason, &group, &urgency, need.deadline);
                let passes = !tried.is_empty() && !matches!(reason, miss::Miss::Failed(_));
                if passes && pause(ROUND_PAUSE, limit).await {
                    tried.clear();
                    continue;
                }
                break;
            };
            tried.push(source.pool.id());
            match self.read_at(work, route, &group, &source, urgency).await {
                Ok(reply) => return Outcome::Answered(reply),
                Err(miss::Miss::Elsewhere) => {}
                Err(found) => reason = found,
            }
        }
        // A read leaves nothing behind, so that refusing it is true wherever it ran.
        Outcome::Refused(refusal(reason), "no instance could serve this read".into())
    }

    /// One attempt of a read; the error tells why another instance may do better.
    async fn read_at(
        &self,
        work: &work::Work,
        route: &catalog::Route,
        group: &rc::Rc<group::Group>,
        source: &group::Source,
        urgency: urgency::Urgency,
    ) -> Result<reply::Reply, miss::Miss> {
        let wait = urgency.awaited.min(boot::now() + LEND_LIMIT);
        let lent = source.pool.lend(urgency, &self.values, wait).await;
        let mut lent = lent.map_err(miss::Miss::of_shortage)?;
        let commands = work.commands(&mut lent, &self.values, source.after, false);
        let sent = boot::now();
        let limit = urgency
            .awaited
            .min(sent + route.timeout * ATTEMPT_PERCENT / 100);
        let mut replies = lent.run(&commands, limit).await.map_err(|failure| {
            tracing::info!(request = %work.id, group = %group.name, instance = %source.pool.id(),
                sent = failure.sent, detail = %failure.detail, "read not answered");
            if !failure.sent {
                return miss::Miss::of_unsent(&failure);
            }
            Self::lost(group, source);
            miss::Miss::Failed(reply::Code::Aborted)
        })?;
        let reply = replies.pop().ok_or(miss::Miss::Elsewhere)?;
        if let Some(term) = source.leads {
            group.saw_position(term, sent, reply.position);
        }
        let Some(code) = reply.code() else {
            count_read(source.leads.is_some());
            tracing::info!(request = %work.id, group = %group.name, instance = %source.pool.id(),
                term = source.leads, after = source.after.map(tracing::field::display),
                waited_ms = sent.saturating_sub(work.arrived).as_millis(),
                took_ms = boot::now().saturating_sub(sent).as_millis(), "read served");
            return Ok(reply);
        };
        metrics::counter!("mangotray_read_retries_total").increment(1);
        tracing::info!(request = %work.id, group = %group.name, instance = %source.pool.id(),
            ?code, applied = %source.pool.applied(),
            after = source.after.map(tracing::field::display), "read not served here");
        match code {
            reply::Code::Behind => source.pool.note_behind(),
            reply::Code::NoStatement => lent.forget(),
            _ => {}
        }
        Err(miss::Miss::of_code(code))
    }

    async fn write(&mut self, work: &work::Work, route: &catalog::Route) -> Outcome {
        let group = self.node.group(&route.group);
        let wait = work.arrived + route.timeout * WAIT_PERCENT / 100;
        let urgency = urgency(route, work.arrived);
        loop {
            let Some((pool, term)) = group.primary(wait).await else {
                return Outcome::Refused(reply::Code::Busy, "no primary for now".into());
            };
            let mut lent = match pool.lend(urgency, &self.values, urgency.until).await {
                Ok(lent) => lent,
                Err(pool::Shortage::Late) => {
                    return Outcome::Refused(reply::Code::Busy, "no connection is free".into());
                }
                Err(shortage) => {
                    if shortage == pool::Shortage::Down {
                        group.doubt(term, "no connection to the primary");
                    }
                    let reason = miss::Miss::of_shortage(shortage);
                    if !pause_before(patience(&reason, &group, &urgency, wait)).await {
                        return Outcome::Refused(reply::Code::Busy, "primary out of reach".into());
                    }
                    continue;
                }
            };
            let commands = work.commands(&mut lent, &self.values, None, false);
            let sent = boot::now();
            let reply = match lent
                .run(&commands, urgency.awaited)
                .await
                .map(|mut replies| replies.pop())
            {
                Ok(Some(reply)) => reply,
                Ok(None) => return unsure("no answer"),
                Err(failure) if failure.sent => {
                    group.doubt(term, "a write was not answered");
                    return unsure(&failure.detail);
                }
                Err(failure) => {
                    drop(lent);
                    let reason = miss::Miss::of_unsent(&failure);
                    if pause_before(patience(&reason, &group, &urgency, wait)).await {
                        continue;
                    }
                    return Outcome::Refused(reply::Code::Busy, failure.detail);
                }
            };
            group.saw_position(term, sent, reply.position);
            match reply.code() {
                None => {
                    tracing::info!(request = %work.id, group = %group.name, instance = %pool.id(),
                        term, waited_ms = sent.saturating_sub(work.arrived).as_millis(),
                        took_ms = boot::now().saturating_sub(sent).as_millis(), "write done");
                    self.own = self.own.max(reply.position);
                    return Outcome::Answered(reply);
                }
                Some(reply::Code::ReadOnly) => group.doubt(term, "the primary refused a write"),
                Some(reply::Code::NoStatement) => lent.forget(),
                Some(code) if code.not_run() => {}
                Some(_) => return Outcome::Answered(reply),
            }
            let reason = reply
                .code()
                .map_or(miss::Miss::Elsewhere, miss::Miss::of_code);
            metrics::counter!("mangotray_write_retries_total").increment(1);
            tracing::info!(request = %work.id, group = %group.name, instance = %pool.id(), term,
                code = ?reply.code(), "write not run");
            drop(lent);
            if !pause_before(patience(&reason, &group, &urgency, wait)).await {
                return Outcome::Answered(reply);
            }
        }
    }

    fn need(&self, route: &catalog::Route, first: id::Time, arrived: id::Time) -> group::Need {
        let own = match route.freshness {
            catalog::Freshness::Own(_) => self.own,
            _ => None,
        };
        group::Need {
            arrived: first,
            freshness: route.freshness,
            own,
            deadline: arrived + route.timeout * WAIT_PERCENT / 100,
        }
    }

    fn lost(group: &rc::Rc<group::Group>, source: &group::Source) {
        tracing::info!(group = %group.name, instance = %source.pool.id(),
            "an answer to a read was lost");
        source.pool.suspect();
        if let Some(term) = source.leads {
            group.doubt(term, "a read was not answered");
        }
    }

    async fn run_inside(&mut self, work: &work::Work) -> reply::Reply {
        let Phase::Open(mut transaction) = std::mem::replace(&mut self.phase, Phase::Failed) else {
            return self.error(reply::Code::Bad, "no transaction");
        };
        if transaction.read_only && work.access == statement::Access::Write {
            self.abandon(*transaction);
            return self.error(reply::Code::ReadOnly, "the transaction only reads");
        }
        if let Err((code, text)) = self.pin(&mut transaction, work.arrived).await {
            return self.error(code, text);
        }
        let deadline = work.arrived + transaction.route.timeout;
        let Some(pinned) = &mut transaction.pinned else {
            return self.error(reply::Code::Aborted, "the transaction has no connection");
        };
        pinned.lent.urge(inside(&transaction.route, work.arrived));
        let commands = work.commands(&mut pinned.lent, &self.values, None, true);
        let sent = boot::now();
        let result = pinned.lent.run(&commands, deadline).await;
        let Some(reply) = result.ok().and_then(|mut replies| replies.pop()) else {
            // Its COMMIT was never sent, and the connection is closed: nothing is kept.
            return self.error(
                reply::Code::Aborted,
                "the connection to the instance was lost",
            );
        };
        if let Some(term) = pinned.leads {
            pinned.group.saw_position(term, sent, reply.position);
        }
        if reply.is_done() && reply.state == reply::State::Open {
            self.phase = Phase::Open(transaction);
            return reply;
        }
        if let (Some(reply::Code::ReadOnly), Some(term)) = (reply.code(), pinned.leads) {
            pinned.group.doubt(term, "the primary refused a statement");
        }
        self.abandon(*transaction);
        reply
    }

    /// Opens the transaction at an instance, with its first statement.
    async fn pin(
        &self,
        transaction: &mut Transaction,
        arrived: id::Time,
    ) -> Result<(), (reply::Code, CompactString)> {
        if transaction.pinned.is_some() {
            return Ok(());
        }
        let group = self.node.group(&transaction.route.group);
        let mut need = self.need(&transaction.route, transaction.arrived, arrived);
        if !transaction.read_only {
            need.freshness = catalog::Freshness::Current;
        }
        let urgency = urgency(&transaction.route, arrived);
        let mut tried = Vec::new();
        loop {
            let Some(source) = group.source(&need, &tried).await else {
                return Err((
                    reply::Code::Busy,
                    "no instance could open the transaction".into(),
                ));
            };
            let reason = match self.open(&group, &source, transaction, &urgency).await {
                Ok(pinned) => {
                    transaction.pinned = Some(pinned);
                    return Ok(());
                }
                Err(reason) => reason,
            };
            if transaction.read_only && tried.len() + 1 < ATTEMPTS {
                tried.push(source.pool.id());
            }
            if !pause_before(patience(&reason, &group, &urgency, need.deadline)).await {
                return Err((
                    reply::Code::Busy,
                    "no instance opened the transaction in time".into(),
                ));
            }
        }
    }

    async fn open(
        &self,
        group: &rc::Rc<group::Group>,
        source: &group::Source,
        transaction: &Transaction,
        urgency: &urgency::Urgency,
    ) -> Result<Pinned, miss::Miss> {
        let lent = source
            .pool
            .lend(*urgency, &self.values, urgency.until)
            .await;
        let mut lent = lent.map_err(|shortage| {
            if let (pool::Shortage::Down, Some(term)) = (shortage, source.leads) {
                group.doubt(term, "no connection to the primary");
            }
            miss::Miss::of_shortage(shortage)
        })?;
        let mut commands = lent.prelude(&self.values, None, false);
        commands.push(upstream::Command::Begin {
            read_only: transaction.read_only,
            after: source.after,
        });
        // Alone, without the first statement: were this refused, a statement behind it
        // would run outside of any transaction.
        let deadline = boot::now() + transaction.route.timeout;
        let mut replies = lent.run(&commands, deadline).await.map_err(|failure| {
            if failure.sent {
                miss::Miss::Unreachable
            } else {
                miss::Miss::of_unsent(&failure)
            }
        })?;
        let reply = replies.pop().ok_or(miss::Miss::Elsewhere)?;
        match reply.code() {
            None if reply.state == reply::State::Open => {
                return Ok(Pinned {
                    lent,
                    group: rc::Rc::clone(group),
                    leads: source.leads,
                });
            }
            Some(reply::Code::Behind) => source.pool.note_behind(),
            Some(reply::Code::ReadOnly) => {
                if let Some(term) = source.leads {
                    group.doubt(term, "the primary refused a transaction");
                }
            }
            _ => {}
        }
        if reply.state != reply::State::Idle {
            lent.discard();
        }
        Err(reply
            .code()
            .map_or(miss::Miss::Elsewhere, miss::Miss::of_code))
    }

    async fn commit(&mut self, request: &statement::Request, arrived: id::Time) -> reply::Reply {
        let Phase::Open(mut transaction) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return self.error(reply::Code::Bad, "no transaction");
        };
        if let Err((code, text)) = self.pin(&mut transaction, arrived).await {
            return self.error(code, text);
        }
        let Some(mut pinned) = transaction.pinned.take() else {
            return self.error(reply::Code::Aborted, "the transaction has no connection");
        };
        let command = upstream::Command::Run {
            id: request.id.clone(),
            text: request.text.clone(),
            after: None,
        };
        let sent = boot::now();
        let deadline = arrived + transaction.route.timeout;
        pinned.lent.urge(inside(&transaction.route, arrived));
        let reply = match pinned.lent.run(&[command], deadline).await {
            Ok(mut replies) => replies.pop(),
            // The connection is closed with the transaction open, which rolls it back.
            Err(failure) if !failure.sent => {
                return self.error(reply::Code::Aborted, failure.detail);
            }
            Err(failure) => {
                if let Some(term) = pinned.leads {
                    pinned.group.doubt(term, "a commit was not answered");
                }
                return self.error(reply::Code::Unsure, failure.detail);
            }
        };
        let Some(reply) = reply else {
            return self.error(reply::Code::Unsure, "no answer to the commit");
        };
        if reply.state != reply::State::Idle {
            transaction.pinned = Some(pinned);
            self.abandon(*transaction);
            return reply;
        }
        if let Some(term) = pinned.leads {
            pinned.group.saw_position(term, sent, reply.position);
            if reply.is_done() {
                self.own = self.own.max(reply.position);
            }
        }
        reply
    }

    fn log(&self, request: &statement::Request, arrived: id::Time, reply: &reply::Reply) {
        let took = boot::now().saturating_sub(arrived);
        let outcome = match &reply.end {
            reply::End::Done(_) => "done",
            reply::End::Error { .. } => "failed",
        };
        metrics::counter!("mangotray_statements_total", "outcome" => outcome).increment(1);
        metrics::histogram!("mangotray_statement_seconds").record(took.as_secs_f64());
        if let reply::End::Error { code, text } = &reply.end {
            let group = self
                .node
                .route(&self.database)
                .map(|route| route.group.clone());
            tracing::warn!(request = %request.id, database = %self.database,
                group = group.map(tracing::field::display), ?code, %text, took_ms = took.as_millis(), "statement failed");
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.close();
    }
}

// How long a statement may still wait for another try.
fn patience(
    reason: &miss::Miss,
    group: &group::Group,
    urgency: &urgency::Urgency,
    limit: id::Time,
) -> id::Time {
    reason.patience(group.is_lost(), urgency.until, limit)
}

// The urgency of a statement inside a transaction. It has had its place: were it refused,
// all the work that the transaction has done would be lost.
fn inside(route: &catalog::Route, arrived: id::Time) -> urgency::Urgency {
    urgency::Urgency {
        until: arrived + route.timeout,
        ..urgency(route, arrived)
    }
}

fn urgency(route: &catalog::Route, arrived: id::Time) -> urgency::Urgency {
    urgency::Urgency {
        priority: route.priority,
        objective: route.objective,
        due: arrived + route.objective,
        until: arrived + route.timeout * QUEUE_PERCENT / 100,
        awaited: arrived + route.timeout,
    }
}

fn is_idle(replies: &[reply::Reply]) -> bool {
    replies
        .last()
        .is_some_and(|reply| reply.state == reply::State::Idle)
}

fn unsure(detail: &str) -> Outcome {
    let reply = reply::Reply::error(reply::Code::Unsure, detail, reply::State::Idle);
    Outcome::Answered(reply)
}

// What a caller is told of a read that no instance served: codes that promise that
// nothing is kept, so that it may come back at once.
fn refusal(reason: miss::Miss) -> reply::Code {
    match reason {
        miss::Miss::Crowded | miss::Miss::Unreachable | miss::Miss::Elsewhere => reply::Code::Busy,
        miss::Miss::Failed(code @ (reply::Code::Aborted | reply::Code::Behind)) => code,
        miss::Miss::Failed(_) => reply::Code::Aborted,
    }
}

fn count_read(primary: bool) {
    let source = if primary { "primary" } else { "replica" };
    metrics::counter!("mangotray_reads_total", "source" => source).increment(1);
}

async fn pause_before(deadline: id::Time) -> bool {
    pause(RETRY_PAUSE, deadline).await
}

async fn pause(pause: time::Duration, deadline: id::Time) -> bool {
    if boot::now() + pause >= deadline {
        return false;
    }
    wait::sleep(pause).await;
    true
}
