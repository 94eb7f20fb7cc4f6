//! One caller's session: its values, its prepared statements and its transaction.
//!
//! A session has no connection of its own. A statement outside of a transaction runs on a
//! connection from a pool; a transaction is pinned to one connection from its first statement
//! until it ends.

use std::rc;

use compact_str::CompactString;
use mangotray::id;
use mangotray::stamp;

use crate::attempt;
use crate::boot;
use crate::catalog;
use crate::connection;
use crate::identity;
use crate::key;
use crate::node;
use crate::organisation;
use crate::query;
use crate::reply;
use crate::statement;
use crate::transaction;

enum Phase {
    Idle,
    Open(Box<transaction::Transaction>),
    /// This node has rolled the transaction back for this reason, and the caller does not know yet.
    RolledBack(&'static str),
    /// The transaction has failed and no longer holds a connection; the caller has yet to end it.
    Failed,
}

/// A caller's session with one database.
pub struct Session {
    node: rc::Rc<node::Node>,
    database: CompactString,
    identity: identity::Identity,
    values: connection::Values,
    prepared: query::Prepared,
    phase: Phase,
    last_commit: Option<stamp::Stamp>,
}

impl Session {
    /// Creates an idle session.
    #[must_use]
    pub fn new(node: rc::Rc<node::Node>, database: CompactString, key: key::Key) -> Self {
        Self {
            node,
            database,
            identity: identity::Identity::new(key),
            values: connection::Values::new(),
            prepared: query::Prepared::new(),
            phase: Phase::Idle,
            last_commit: None,
        }
    }

    /// Transaction state as reported to the caller.
    #[must_use]
    pub const fn state(&self) -> reply::State {
        match self.phase {
            Phase::Idle => reply::State::Idle,
            Phase::Open(_) => reply::State::Open,
            Phase::RolledBack(_) | Phase::Failed => reply::State::Failed,
        }
    }

    /// Whether the caller needs an API key for this database.
    #[must_use]
    pub fn needs_key(&self) -> bool {
        let route = self.node.route(&self.database);
        self.node.requires_keys() && !route.is_some_and(|route| route.public)
    }

    /// Whether the session must end because the caller's key is no longer valid.
    #[must_use]
    pub const fn is_revoked(&self) -> bool {
        self.identity.is_revoked()
    }

    /// Handles one request and records its outcome in metrics and logs.
    pub async fn handle(&mut self, request: &statement::Request) -> reply::Reply {
        let arrived = boot::now();
        let mut reply = self.dispatch(request, arrived).await;
        reply.state = self.state();
        self.record(request, arrived, &reply);
        reply
    }

    /// Rolls back an open transaction, if there is one, and tells the caller so in answer to its
    /// next request.
    pub fn abort(&mut self, reason: &'static str) {
        match std::mem::replace(&mut self.phase, Phase::RolledBack(reason)) {
            Phase::Open(transaction) => {
                tracing::info!(database = %self.database, reason, "rolling a transaction back");
                self.abandon(*transaction);
            }
            unchanged => self.phase = unchanged,
        }
    }

    /// Answers a request that this node does not run any more. An open transaction is rolled back.
    pub fn refuse(&mut self, request: &statement::Request, reason: &'static str) -> reply::Reply {
        let arrived = boot::now();
        self.abort(reason);
        let mut reply = match self.phase {
            Phase::Idle => self.error(reply::Code::Busy, reason),
            _ => self.after_failure(&request.statement),
        };
        reply.state = self.state();
        self.record(request, arrived, &reply);
        reply
    }

    /// Answers a request that arrived at `arrived` and whose handling was dropped. Nothing of an
    /// uncommitted transaction is kept, as its connection is closed; whether a commit or a write
    /// took effect is unknown.
    pub fn give_up(
        &mut self,
        request: &statement::Request,
        arrived: id::Time,
        reason: &'static str,
    ) -> reply::Reply {
        let code = if matches!(self.phase, Phase::Idle) && self.may_commit(request) {
            reply::Code::Unsure
        } else {
            reply::Code::Aborted
        };
        let reply = self.error(code, reason);
        self.record(request, arrived, &reply);
        reply
    }

    // Whether the request, sent to an instance outside of a transaction or as its end, may leave
    // something there.
    fn may_commit(&self, request: &statement::Request) -> bool {
        match &request.statement {
            statement::Statement::Commit | statement::Statement::Write => true,
            statement::Statement::Execute { name, .. } => {
                let shape = self.prepared.get(name);
                shape.is_some_and(|shape| shape.access == statement::Access::Write)
            }
            _ => false,
        }
    }

    /// Ends the session, and rolls back an open transaction.
    pub fn close(&mut self) {
        if let Phase::Open(transaction) = std::mem::replace(&mut self.phase, Phase::Idle) {
            self.abandon(*transaction);
        }
    }

    async fn dispatch(&mut self, request: &statement::Request, arrived: id::Time) -> reply::Reply {
        if matches!(self.phase, Phase::Failed | Phase::RolledBack(_)) {
            return self.after_failure(&request.statement);
        }
        match &request.statement {
            statement::Statement::Begin { read_only } => {
                self.begin(attempt::Begin {
                    id: request.id.clone(),
                    read_only: *read_only,
                    arrived,
                })
                .await
            }
            statement::Statement::Commit => self.commit(request, arrived).await,
            statement::Statement::Rollback => self.rollback(request),
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
        let failed = std::mem::replace(&mut self.phase, Phase::Failed);
        match (statement, failed) {
            (statement::Statement::Rollback, _) => {
                self.phase = Phase::Idle;
                reply::Reply::done(reply::State::Idle)
            }
            (statement::Statement::Commit, _) => {
                self.phase = Phase::Idle;
                self.error(
                    reply::Code::Aborted,
                    "the transaction had failed; nothing is kept",
                )
            }
            (_, Phase::RolledBack(reason)) => self.error(reply::Code::Aborted, reason),
            _ => self.error(reply::Code::Bad, "the transaction has failed; end it first"),
        }
    }

    // Identifies the caller and counts the operation against its quota. Returns the route and the
    // organisation that the operation runs for.
    async fn admit(
        &mut self,
    ) -> Result<(rc::Rc<catalog::Route>, organisation::Name), reply::Reply> {
        let Some(route) = self.node.route(&self.database) else {
            return Err(self.error(reply::Code::NoDatabase, "no such database"));
        };
        match self.identity.admit(&self.node, &route).await {
            Ok(organisation) => Ok((route, organisation)),
            Err(refusal) => Err(self.error(refusal.code(), refusal.text())),
        }
    }

    // Checks that an open transaction may continue.
    fn check_access(
        &mut self,
        transaction: &transaction::Transaction,
    ) -> Result<(), (reply::Code, CompactString)> {
        let (route, organisation) = (&transaction.route, &transaction.organisation);
        let checked = self.identity.check(&self.node, route, organisation);
        checked.map_err(|refusal| (reply::Code::Aborted, refusal.text()))
    }

    async fn begin(&mut self, begin: attempt::Begin) -> reply::Reply {
        if matches!(self.phase, Phase::Open(_)) {
            return self.error(reply::Code::Bad, "a transaction is open already");
        }
        let (route, organisation) = match self.admit().await {
            Ok(admitted) => admitted,
            Err(reply) => return reply,
        };
        self.phase = Phase::Open(Box::new(transaction::Transaction {
            begin,
            route,
            organisation,
            pinned: None,
            wrote: false,
        }));
        reply::Reply::done(self.state())
    }

    fn rollback(&mut self, request: &statement::Request) -> reply::Reply {
        if let Phase::Open(transaction) = std::mem::replace(&mut self.phase, Phase::Idle) {
            transaction.roll_back(Some(request.id.clone()), self.node.executor());
        }
        reply::Reply::done(reply::State::Idle)
    }

    fn forget(&mut self, name: &statement::Name) -> reply::Reply {
        match self.prepared.remove(name) {
            Some(_) => reply::Reply::done(self.state()),
            None => self.unknown_name(),
        }
    }

    fn unknown_name(&self) -> reply::Reply {
        let text = "no prepared statement of that name";
        self.error(reply::Code::NoStatement, text)
    }

    // Rolls back without a request of the caller.
    fn abandon(&self, transaction: transaction::Transaction) {
        transaction.roll_back(None, self.node.executor());
    }

    async fn run(&mut self, request: &statement::Request, arrived: id::Time) -> reply::Reply {
        let Some(query) = query::Query::new(request, arrived, &self.prepared) else {
            return self.unknown_name();
        };
        if matches!(self.phase, Phase::Open(_)) {
            return self.run_inside(&query).await;
        }
        let (route, organisation) = match self.admit().await {
            Ok(admitted) => admitted,
            Err(reply) => return reply,
        };
        let attempt = self.attempt(&route, &organisation);
        let outcome = match query.access {
            statement::Access::Read => attempt.read(&query).await,
            statement::Access::Write => attempt.write(&query).await,
        };
        match outcome {
            attempt::Outcome::Answered(reply) => {
                if query.access == statement::Access::Write && reply.is_done() {
                    self.last_commit = self.last_commit.max(reply.position);
                }
                reply
            }
            attempt::Outcome::Refused(code, text) => self.error(code, text),
        }
    }

    async fn run_inside(&mut self, query: &query::Query) -> reply::Reply {
        let Phase::Open(mut transaction) = std::mem::replace(&mut self.phase, Phase::Failed) else {
            return self.error(reply::Code::Bad, "no transaction");
        };
        if transaction.begin.read_only && query.access == statement::Access::Write {
            self.abandon(*transaction);
            return self.error(reply::Code::ReadOnly, "the transaction only reads");
        }
        if let Err((code, text)) = self.check_access(&transaction) {
            self.abandon(*transaction);
            return self.error(code, text);
        }
        if let Err((code, text)) = self.pin(&mut transaction, query.arrived).await {
            return self.error(code, text);
        }
        let reply = match transaction.run(query, &self.values).await {
            Ok(reply) => reply,
            Err((code, text)) => return self.error(code, text),
        };
        if reply.is_done() && reply.state == reply::State::Open {
            self.phase = Phase::Open(transaction);
            return reply;
        }
        self.abandon(*transaction);
        reply
    }

    // Opens the transaction on an instance if it has no connection yet.
    async fn pin(
        &self,
        transaction: &mut transaction::Transaction,
        arrived: id::Time,
    ) -> Result<(), (reply::Code, CompactString)> {
        if transaction.pinned.is_none() {
            let attempt = self.attempt(&transaction.route, &transaction.organisation);
            let opened = attempt.open(&transaction.begin, arrived).await?;
            transaction.pinned = Some(opened);
        }
        Ok(())
    }

    fn attempt<'a>(
        &'a self,
        route: &'a catalog::Route,
        organisation: &'a organisation::Name,
    ) -> attempt::Attempt<'a> {
        attempt::Attempt {
            group: self.node.group(&route.group),
            route,
            organisation,
            values: &self.values,
            last_commit: self.last_commit,
        }
    }

    async fn commit(&mut self, request: &statement::Request, arrived: id::Time) -> reply::Reply {
        let Phase::Open(mut transaction) = std::mem::replace(&mut self.phase, Phase::Idle) else {
            return self.error(reply::Code::Bad, "no transaction");
        };
        if let Err((code, text)) = self.check_access(&transaction) {
            self.abandon(*transaction);
            return self.error(code, text);
        }
        if let Err((code, text)) = self.pin(&mut transaction, arrived).await {
            return self.error(code, text);
        }
        let reply = match transaction.commit(request, arrived).await {
            Ok(reply) => reply,
            Err((code, text)) => return self.error(code, text),
        };
        if reply.state != reply::State::Idle {
            self.abandon(*transaction);
        } else if reply.is_done() && transaction.runs_on_primary() {
            self.last_commit = self.last_commit.max(reply.position);
        }
        reply
    }

    fn record(&self, request: &statement::Request, arrived: id::Time, reply: &reply::Reply) {
        let took = boot::now().saturating_sub(arrived);
        let outcome = match &reply.end {
            reply::End::Done(_) => "done",
            reply::End::Error { .. } => "failed",
        };
        metrics::counter!("mangotray_statements_total", "outcome" => outcome).increment(1);
        metrics::histogram!("mangotray_statement_seconds").record(took.as_secs_f64());
        if let reply::End::Error { code, text } = &reply.end {
            let route = self.node.route(&self.database);
            let group = route.as_ref().map(|route| route.group.as_str());
            let age = self.node.validity().age(arrived);
            tracing::warn!(request = %request.id, database = %self.database, organisation = %self.identity.organisation(),
                version = self.node.catalog().version, evidence_ms = age.map(|age| age.as_millis()), group, ?code, %text, took_ms = took.as_millis(), "statement failed");
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.close();
    }
}
