//! A caller's connection: reads batches, runs them, relays whole answers.

use std::convert;
use std::sync;
use std::sync::atomic;
use std::time;

use compact_str::CompactString;
use compact_str::format_compact;
use futures_lite::FutureExt;

use crate::analysis;
use crate::answer;
use crate::batch;
use crate::cancel;
use crate::class;
use crate::classify;
use crate::clock;
use crate::drain;
use crate::extended;
use crate::frame;
use crate::id;
use crate::lane;
use crate::local;
use crate::loss;
use crate::prepared;
use crate::reader;
use crate::refusal;
use crate::reply;
use crate::startup;
use crate::transaction;
use crate::verdict;
use crate::wire;
use crate::writer;

/// Bounds of one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request in bytes, over all its messages.
    pub request: usize,
    /// Time from the connection until its startup is complete.
    pub startup: time::Duration,
    /// Time that an open transaction, or a request not yet complete, may wait for the
    /// caller; it holds a scarce connection meanwhile.
    pub patience: time::Duration,
    /// Time that a caller may take to accept an answer.
    pub send: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            request: 16 * 1024 * 1024,
            startup: time::Duration::from_secs(10),
            patience: time::Duration::from_mins(1),
            send: time::Duration::from_secs(30),
        }
    }
}

/// What all sessions of a process share.
pub struct Context {
    /// Opens lanes to the database groups.
    pub switch: sync::Arc<dyn lane::Switch>,
    /// Source of time.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Sessions that can be canceled.
    pub cancels: cancel::Registry,
    /// Memory of classified texts.
    pub verdicts: verdict::Cache,
    /// Bounds of each session.
    pub limits: Limits,
    /// Raised when the process shuts down.
    pub drain: drain::Signal,
    requests: atomic::AtomicU64,
}

impl Context {
    /// A context with nothing registered yet.
    #[must_use]
    pub fn new(
        switch: sync::Arc<dyn lane::Switch>,
        clock: sync::Arc<dyn clock::Clock>,
        limits: Limits,
        drain: drain::Signal,
    ) -> Self {
        Self {
            switch,
            clock,
            cancels: cancel::Registry::new(),
            verdicts: verdict::Cache::default(),
            limits,
            drain,
            requests: atomic::AtomicU64::new(1),
        }
    }

    fn request(&self) -> id::Request {
        self.requests.fetch_add(1, atomic::Ordering::Relaxed)
    }
}

/// Serves one caller until either side ends the connection.
pub async fn serve(stream: wire::Stream, context: sync::Arc<Context>) {
    metrics::gauge!("mangotray_callers").increment(1.0);
    let gone = Gone;
    let (stream, stop) = attend(stream, &context).await;
    if let reader::Stop::Fatal(error) = stop {
        tracing::debug!(target: "mangotray::session", code = error.code, "{}", error.message);
        writer::close(stream, &error).await;
    }
    drop(gone);
}

/// Counts the caller out, also when its task is dropped.
struct Gone;

impl Drop for Gone {
    fn drop(&mut self) {
        metrics::gauge!("mangotray_callers").decrement(1.0);
    }
}

async fn attend(
    mut stream: wire::Stream,
    context: &sync::Arc<Context>,
) -> (wire::Stream, reader::Stop) {
    let startup = startup::receive(&mut stream, &context.cancels);
    let late = expire(
        context.limits.startup,
        refusal::Error::fatal(
            refusal::PROTOCOL_VIOLATION,
            "startup was not completed in time",
        ),
    );
    match startup.or(async { Err(late.await) }).await {
        Ok(Some(parameters)) => {
            let stream = wire::established(stream, context.limits.request);
            let mut session = Session::new(stream, context.clone(), parameters);
            let stop = session.run().await;
            (session.stream, stop)
        }
        Ok(None) => (stream, reader::Stop::Closed),
        Err(stop) => (stream, stop),
    }
}

async fn expire(after: time::Duration, error: refusal::Error) -> reader::Stop {
    async_io::Timer::after(after).await;
    reader::Stop::Fatal(error)
}

struct Session {
    stream: wire::Stream,
    context: sync::Arc<Context>,
    parameters: startup::Parameters,
    lane: Option<Box<dyn lane::Lane>>,
    handle: cancel::Handle,
    settings: local::Settings,
    statements: prepared::Statements,
    state: transaction::State,
    /// The open transaction has lost its connection: it is over at the database, and
    /// the caller has yet to end it on its side.
    severed: bool,
}

impl Session {
    fn new(
        stream: wire::Stream,
        context: sync::Arc<Context>,
        parameters: startup::Parameters,
    ) -> Self {
        Self {
            stream,
            lane: context.switch.lane(&parameters.database),
            handle: context.cancels.register(),
            settings: parameters.settings.clone(),
            statements: prepared::Statements::new(),
            state: transaction::State::Idle,
            severed: false,
            context,
            parameters,
        }
    }

    async fn run(&mut self) -> reader::Stop {
        match self.converse().await {
            Err(stop) => stop,
            Ok(never) => match never {},
        }
    }

    async fn converse(&mut self) -> Result<convert::Infallible, reader::Stop> {
        if self.lane.is_none() {
            return Err(reader::Stop::Fatal(self.unknown_database()));
        }
        let pid = self.handle.pid();
        let database = self.parameters.database.as_str();
        tracing::debug!(target: "mangotray::session", pid, database, "open");
        let _closed = Closed { pid };
        let welcome = startup::welcome(&self.parameters, &self.handle);
        self.send(welcome).await?;
        loop {
            self.turn().await?;
        }
    }

    fn unknown_database(&self) -> refusal::Error {
        refusal::Error::fatal(
            refusal::UNKNOWN_DATABASE,
            format_compact!("database \"{}\" does not exist", self.parameters.database),
        )
    }

    /// Serves one request.
    async fn turn(&mut self) -> Result<(), reader::Stop> {
        let first = self.first().await?;
        let token = self.settings.token;
        let mut frames = match self.request(first).await? {
            reader::Request::Query(text, frame) => self.query(&text, frame).await,
            reader::Request::Extended(messages) => self.extended(&messages).await,
            reader::Request::Unsupported { what, skip } => self.unsupported(what, skip).await?,
            reader::Request::Terminate => return Err(reader::Stop::Closed),
        };
        if self.settings.token != token {
            frames.push(answer::status(local::TOKEN, &self.settings.token_text()));
        }
        frames.push(answer::ready(self.state));
        self.send(frames).await
    }

    /// Waits for a request's first frame: without limit when idle, unless the process
    /// drains, and for a limited time within a transaction, which a drain lets finish.
    async fn first(&mut self) -> Result<frame::Frame, reader::Stop> {
        let idle = self.state == transaction::State::Idle;
        let drain = self.context.drain.clone();
        let patience = self.context.limits.patience;
        let stop = async move {
            if idle {
                drain.wait().await;
                return Err(reader::Stop::Fatal(writer::shutdown()));
            }
            Err(expire(patience, writer::idle_transaction()).await)
        };
        // The read comes first: a request that is already here is served.
        reader::frame(&mut self.stream).or(stop).await
    }

    async fn request(&mut self, first: frame::Frame) -> Result<reader::Request, reader::Stop> {
        let limits = self.context.limits;
        let error = refusal::Error::fatal(
            refusal::PROTOCOL_VIOLATION,
            "request was not completed in time",
        );
        let late = expire(limits.patience, error);
        reader::request(&mut self.stream, first, limits.request)
            .or(async { Err(late.await) })
            .await
    }

    async fn send(&mut self, frames: Vec<frame::Frame>) -> Result<(), reader::Stop> {
        writer::send(&mut self.stream, frames, self.context.limits.send).await
    }

    async fn unsupported(
        &mut self,
        what: &str,
        skip: bool,
    ) -> Result<Vec<frame::Frame>, reader::Stop> {
        let error = refusal::Error::new(
            refusal::NOT_SUPPORTED,
            format_compact!("{what} messages are not supported through the proxy (not run)"),
        );
        let frames = self.refuse(&error);
        if skip {
            // The caller may wait for this answer before it sends the Sync.
            self.send(frames).await?;
            reader::skip(&mut self.stream).await?;
            return Ok(Vec::new());
        }
        Ok(frames)
    }

    async fn query(&mut self, text: &str, frame: frame::Frame) -> Vec<frame::Frame> {
        let unnamed = prepared::Effect::Remove(CompactString::default());
        self.statements.settle([unnamed]);
        let plan = self.context.verdicts.plan(text);
        if self.severed {
            return self.simple_severed(&plan);
        }
        match &*plan {
            classify::Plan::Empty => vec![answer::empty()],
            classify::Plan::Local(commands) => self.local(commands),
            classify::Plan::Refuse(error) => self.refuse(error),
            classify::Plan::Run(verdict) => match self.execute(verdict, vec![frame]).await {
                Ok(reply) => reply.frames,
                Err(Ending::Error(error)) => vec![error.frame()],
                Err(Ending::RolledBack) => answer::simple(&local::Answer::Done(ROLLBACK)),
            },
        }
    }

    fn simple_severed(&mut self, plan: &classify::Plan) -> Vec<frame::Frame> {
        if !analysis::ends(plan) {
            return vec![failed_transaction().frame()];
        }
        self.reset();
        answer::simple(&local::Answer::Done(ROLLBACK))
    }

    fn local(&mut self, commands: &[local::Command]) -> Vec<frame::Frame> {
        if self.state == transaction::State::Failed {
            return vec![failed_transaction().frame()];
        }
        let mut frames = Vec::new();
        for command in commands {
            match self.settings.run(command) {
                Ok(answer) => frames.extend(answer::simple(&answer)),
                Err(error) => {
                    frames.extend(self.refuse(&error));
                    break;
                }
            }
        }
        frames
    }

    async fn extended(&mut self, messages: &[extended::Message]) -> Vec<frame::Frame> {
        if let Err(error) = self.statements.check(messages) {
            return self.refuse(&error);
        }
        let references = self.statements.resolve(messages, &self.context.verdicts);
        if self.severed && analysis::ends_transaction(messages, &references) {
            return self.extended_severed(messages, &references);
        }
        match analysis::analyze(messages, &references) {
            analysis::Analysis::Bookkeeping => self.answer(messages, &references),
            _ if self.severed => vec![failed_transaction().frame()],
            analysis::Analysis::Local if self.state == transaction::State::Failed => {
                vec![failed_transaction().frame()]
            }
            analysis::Analysis::Local => self.answer(messages, &references),
            analysis::Analysis::Refuse(error) => self.refuse(&error),
            analysis::Analysis::Run(verdict) => self.relay(messages, &references, &verdict).await,
        }
    }

    async fn relay(
        &mut self,
        messages: &[extended::Message],
        references: &prepared::References,
        verdict: &classify::Verdict,
    ) -> Vec<frame::Frame> {
        let rewrite = self.statements.rewrite(messages, references);
        match self.execute(verdict, rewrite.frames()).await {
            Ok(reply) => {
                let relay = rewrite.relay(reply.frames);
                self.statements.settle(relay.effects);
                relay.frames
            }
            Err(Ending::Error(error)) => vec![error.frame()],
            Err(Ending::RolledBack) => self.extended_severed(messages, references),
        }
    }

    fn extended_severed(
        &mut self,
        messages: &[extended::Message],
        references: &prepared::References,
    ) -> Vec<frame::Frame> {
        let mut ended = false;
        let (frames, effects) = answer::extended(messages, references, |_| {
            ended = true;
            Ok(local::Answer::Done(ROLLBACK))
        });
        self.statements.settle(effects);
        if ended {
            self.reset();
        }
        frames
    }

    /// Answers a batch that touches only the session itself.
    fn answer(
        &mut self,
        messages: &[extended::Message],
        references: &prepared::References,
    ) -> Vec<frame::Frame> {
        let settings = &mut self.settings;
        let mut failed = false;
        let (frames, effects) = answer::extended(messages, references, |statement| {
            let result = run_local(settings, &statement.plan);
            failed |= result.is_err();
            result
        });
        self.statements.settle(effects);
        if failed {
            self.fail_transaction();
        }
        frames
    }

    /// Runs a batch on the lane and follows the state of the transaction.
    async fn execute(
        &mut self,
        verdict: &classify::Verdict,
        frames: Vec<frame::Frame>,
    ) -> Result<reply::Reply, Ending> {
        if verdict.bound && !verdict.multi && self.state == transaction::State::Idle {
            return Err(Ending::Error(needs_transaction()));
        }
        let batch = self.batch(verdict, frames);
        let result = self.run_batch(batch).await;
        let outcome = match &result {
            Ok(_) => "done",
            Err(loss) => loss.kind(verdict, self.state),
        };
        count(verdict.class, outcome);
        match result {
            Ok(reply) => {
                self.settings.outcome = "outcome=done".into();
                self.state = reply.transaction;
                if let Some(stamp) = reply.stamp {
                    self.settings.raise(stamp);
                }
                Ok(reply)
            }
            Err(loss) => Err(self.lose(verdict, &loss)),
        }
    }

    fn batch(&self, verdict: &classify::Verdict, frames: Vec<frame::Frame>) -> batch::Batch {
        let arrived = self.context.clock.now();
        let deadline = self
            .settings
            .deadline
            .unwrap_or_else(|| self.context.switch.deadline(&self.parameters.database));
        batch::Batch {
            request: self.context.request(),
            frames,
            class: verdict.class,
            tables: verdict.tables.clone(),
            token: self.settings.token,
            arrived,
            deadline: arrived + deadline,
        }
    }

    async fn run_batch(&mut self, batch: batch::Batch) -> Result<reply::Reply, loss::Loss> {
        let Some(lane) = &mut self.lane else {
            return Err(loss::Loss::NoDatabase(self.unknown_database()));
        };
        let _ = self.handle.clear();
        let canceled = async {
            self.handle.canceled().await;
            Err(loss::Loss::Canceled)
        };
        let run = async { lane.run(batch).await.map_err(loss::Loss::Outcome) };
        run.or(canceled).await
    }

    /// What a batch without an answer means for the session.
    fn lose(&mut self, verdict: &classify::Verdict, loss: &loss::Loss) -> Ending {
        let error = loss.error(verdict, self.state);
        self.settings.outcome = error.detail.clone().unwrap_or_default();
        let open = self.state != transaction::State::Idle;
        match verdict.class {
            class::Class::Rollback if open => {
                self.reset();
                return Ending::RolledBack;
            }
            class::Class::Commit if open => self.reset(),
            _ if open => self.fail_transaction(),
            class::Class::Read if !loss.canceled() => {}
            _ => self.reset(),
        }
        Ending::Error(error)
    }

    /// Refuses a request; an error within a transaction ends it.
    fn refuse(&mut self, error: &refusal::Error) -> Vec<frame::Frame> {
        self.fail_transaction();
        vec![error.frame()]
    }

    fn fail_transaction(&mut self) {
        if self.state == transaction::State::Idle || self.severed {
            return;
        }
        self.reset();
        self.state = transaction::State::Failed;
        self.severed = true;
    }

    /// Starts over on a fresh lane; dropping the old one rolls its transaction back.
    fn reset(&mut self) {
        self.lane = None;
        self.lane = self.context.switch.lane(&self.parameters.database);
        self.state = transaction::State::Idle;
        self.severed = false;
    }
}

/// How a batch ended that has no answer from an upstream.
enum Ending {
    /// With an error.
    Error(refusal::Error),
    /// It was to roll back, and with the loss of the connection it is rolled back.
    RolledBack,
}

const ROLLBACK: &str = "ROLLBACK";

struct Closed {
    pid: cancel::Pid,
}

impl Drop for Closed {
    fn drop(&mut self) {
        tracing::debug!(target: "mangotray::session", pid = self.pid, "close");
    }
}

fn run_local(
    settings: &mut local::Settings,
    plan: &classify::Plan,
) -> Result<local::Answer, refusal::Error> {
    match plan {
        classify::Plan::Local(commands) => settings.run(&commands[0]),
        _ => unreachable!("a batch is local only when all its statements are"),
    }
}

fn failed_transaction() -> refusal::Error {
    refusal::Error::new(
        refusal::FAILED_TRANSACTION,
        "current transaction is aborted, commands ignored until end of transaction block (not run)",
    )
}

fn needs_transaction() -> refusal::Error {
    refusal::Error::new(
        refusal::NOT_SUPPORTED,
        "functions that answer for the connection need an open transaction (not run)",
    )
    .hint("Run them between BEGIN and COMMIT.")
}

fn count(class: class::Class, outcome: &'static str) {
    let class = match class {
        class::Class::Read => "read",
        class::Class::Write => "write",
        class::Class::Begin => "begin",
        class::Class::BeginRead => "begin-read",
        class::Class::Commit => "commit",
        class::Class::Rollback => "rollback",
    };
    metrics::counter!("mangotray_requests_total", "class" => class, "outcome" => outcome)
        .increment(1);
}
