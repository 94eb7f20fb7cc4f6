//! The caller's side of a session: reads requests and sends whole answers.

use std::convert;
use std::sync;

use compact_str::CompactString;
use compact_str::format_compact;
use futures_lite::FutureExt;

use crate::analysis;
use crate::answer;
use crate::classify;
use crate::extended;
use crate::frame;
use crate::local;
use crate::prepared;
use crate::reader;
use crate::refusal;
use crate::runner;
use crate::session;
use crate::startup;
use crate::transaction;
use crate::wire;
use crate::writer;

/// A caller's connection after the startup.
pub(crate) struct Caller {
    stream: wire::Stream,
    context: sync::Arc<session::Context>,
    runner: runner::Runner,
    statements: prepared::Statements,
}

const ROLLBACK: &str = "ROLLBACK";

impl Caller {
    pub(crate) fn new(
        stream: wire::Stream,
        context: sync::Arc<session::Context>,
        runner: runner::Runner,
    ) -> Self {
        Self {
            stream,
            context,
            runner,
            statements: prepared::Statements::new(),
        }
    }

    /// Serves requests until either side ends the session. Returns the stream, on which a final
    /// error can still be sent, and the reason for the end.
    pub(crate) async fn serve(
        mut self,
        parameters: &startup::Parameters,
    ) -> (wire::Stream, reader::Stop) {
        let pid = self.runner.handle().pid();
        let database = parameters.database.as_str();
        tracing::debug!(target: "mangotray::session", pid, database, "session opened");
        let _close_log = CloseLog { pid };
        match self.serve_requests(parameters).await {
            Err(stop) => (self.stream, stop),
            Ok(never) => match never {},
        }
    }

    async fn serve_requests(
        &mut self,
        parameters: &startup::Parameters,
    ) -> Result<convert::Infallible, reader::Stop> {
        let response = startup::response(parameters, self.runner.handle());
        self.send(response).await?;
        loop {
            self.serve_request().await?;
        }
    }

    async fn serve_request(&mut self) -> Result<(), reader::Stop> {
        let first_frame = self.first_frame().await?;
        let token = self.runner.settings.token;
        let mut frames = match self.read_request(first_frame).await? {
            reader::Request::Query(text, frame) => self.run_query(&text, frame).await,
            reader::Request::Extended(messages) => self.run_extended(&messages).await,
            reader::Request::Unsupported {
                message,
                skip_to_sync,
            } => self.refuse_unsupported(message, skip_to_sync).await?,
            reader::Request::Terminate => return Err(reader::Stop::Closed),
        };
        let settings = &self.runner.settings;
        if settings.token != token {
            frames.push(answer::parameter_status(
                local::TOKEN_SETTING,
                &settings.token_text(),
            ));
        }
        frames.push(answer::ready_for_query(self.runner.state()));
        self.send(frames).await
    }

    /// Waits for the first frame of a request. An idle session waits without a limit until the
    /// process drains. Within a transaction the wait is limited, and a drain does not end it.
    async fn first_frame(&mut self) -> Result<frame::Frame, reader::Stop> {
        let is_idle = self.runner.state() == transaction::State::Idle;
        let drain = self.context.drain.clone();
        let timeout = self.context.limits.caller_timeout;
        let stop = async move {
            if is_idle {
                drain.wait().await;
                return Err(reader::Stop::Fatal(writer::shutdown()));
            }
            Err(reader::stop_after(timeout, writer::idle_transaction()).await)
        };
        // The read is polled first, so that a request which has already arrived is served.
        reader::frame(&mut self.stream).or(stop).await
    }

    async fn read_request(
        &mut self,
        first_frame: frame::Frame,
    ) -> Result<reader::Request, reader::Stop> {
        let limits = self.context.limits;
        let timed_out = reader::stop_after(limits.caller_timeout, writer::incomplete_request());
        reader::request(&mut self.stream, first_frame, limits.max_request_bytes)
            .or(async { Err(timed_out.await) })
            .await
    }

    async fn send(&mut self, frames: Vec<frame::Frame>) -> Result<(), reader::Stop> {
        writer::send(&mut self.stream, frames, self.context.limits.send_timeout).await
    }

    async fn refuse_unsupported(
        &mut self,
        message: &str,
        skip_to_sync: bool,
    ) -> Result<Vec<frame::Frame>, reader::Stop> {
        let error = refusal::Error::new(
            refusal::NOT_SUPPORTED,
            format_compact!("{message} messages are not supported through the proxy (not run)"),
        );
        let frames = self.refuse(&error);
        if skip_to_sync {
            // Sent right away: the caller may wait for the error before it sends the Sync.
            self.send(frames).await?;
            reader::skip_to_sync(&mut self.stream).await?;
            return Ok(Vec::new());
        }
        Ok(frames)
    }

    async fn run_query(&mut self, text: &str, frame: frame::Frame) -> Vec<frame::Frame> {
        let unnamed = prepared::Effect::Remove(CompactString::default());
        self.statements.apply([unnamed]);
        let plan = self.context.plans.plan(text);
        if self.runner.is_transaction_lost() {
            return self.query_after_loss(&plan);
        }
        match &*plan {
            classify::Plan::Empty => vec![answer::empty_query()],
            classify::Plan::Local(commands) => self.run_local_commands(commands),
            classify::Plan::Refuse(error) => self.refuse(error),
            classify::Plan::Run(verdict) => match self.runner.run(verdict, vec![frame]).await {
                Ok(reply) => reply.frames,
                Err(runner::Ending::Error(error)) => vec![error.frame()],
                Err(runner::Ending::RolledBack) => rolled_back(),
            },
        }
    }

    /// Answers a query in a transaction that has already been rolled back at the database.
    fn query_after_loss(&mut self, plan: &classify::Plan) -> Vec<frame::Frame> {
        if !analysis::plan_ends_transaction(plan) {
            return vec![failed_transaction().frame()];
        }
        self.runner.reset();
        rolled_back()
    }

    fn run_local_commands(&mut self, commands: &[local::Command]) -> Vec<frame::Frame> {
        if self.runner.state() == transaction::State::Failed {
            return vec![failed_transaction().frame()];
        }
        let mut frames = Vec::new();
        for command in commands {
            match self.runner.settings.run(command) {
                Ok(answer) => frames.extend(answer::simple(&answer)),
                Err(error) => {
                    frames.extend(self.refuse(&error));
                    break;
                }
            }
        }
        frames
    }

    async fn run_extended(&mut self, messages: &[extended::Message]) -> Vec<frame::Frame> {
        if let Err(error) = self.statements.check_limits(messages) {
            return self.refuse(&error);
        }
        let references = self.statements.resolve(messages, &self.context.plans);
        if self.runner.is_transaction_lost() && analysis::ends_transaction(messages, &references) {
            return self.extended_after_loss(messages, &references);
        }
        let failed = self.runner.state() == transaction::State::Failed;
        match analysis::analyze(messages, &references) {
            analysis::Analysis::Bookkeeping => self.answer_locally(messages, &references),
            analysis::Analysis::Local if failed => vec![failed_transaction().frame()],
            _ if self.runner.is_transaction_lost() => vec![failed_transaction().frame()],
            analysis::Analysis::Local => self.answer_locally(messages, &references),
            analysis::Analysis::Refuse(error) => self.refuse(&error),
            analysis::Analysis::Run(verdict) => {
                self.run_on_upstream(messages, &references, &verdict).await
            }
        }
    }

    async fn run_on_upstream(
        &mut self,
        messages: &[extended::Message],
        references: &prepared::References,
        verdict: &classify::Verdict,
    ) -> Vec<frame::Frame> {
        let rewrite = self.statements.rewrite(messages, references);
        match self.runner.run(verdict, rewrite.frames()).await {
            Ok(reply) => {
                let answer = rewrite.filter_answer(reply.frames);
                self.statements.apply(answer.effects);
                answer.frames
            }
            Err(runner::Ending::Error(error)) => vec![error.frame()],
            Err(runner::Ending::RolledBack) => self.extended_after_loss(messages, references),
        }
    }

    /// Answers a batch that ends a transaction already rolled back at the database.
    fn extended_after_loss(
        &mut self,
        messages: &[extended::Message],
        references: &prepared::References,
    ) -> Vec<frame::Frame> {
        let mut ended = false;
        let (frames, effects) = answer::extended(messages, references, |_| {
            ended = true;
            Ok(local::Answer::Done(ROLLBACK))
        });
        self.statements.apply(effects);
        if ended {
            self.runner.reset();
        }
        frames
    }

    /// Answers a batch that concerns only the session's own state.
    fn answer_locally(
        &mut self,
        messages: &[extended::Message],
        references: &prepared::References,
    ) -> Vec<frame::Frame> {
        let settings = &mut self.runner.settings;
        let mut failed = false;
        let (frames, effects) = answer::extended(messages, references, |statement| {
            let result = run_local_statement(settings, &statement.plan);
            failed |= result.is_err();
            result
        });
        self.statements.apply(effects);
        if failed {
            self.runner.fail();
        }
        frames
    }

    /// Refuses a request. An open transaction fails with it.
    fn refuse(&mut self, error: &refusal::Error) -> Vec<frame::Frame> {
        self.runner.fail();
        vec![error.frame()]
    }
}

/// Logs the end of the session when dropped.
struct CloseLog {
    pid: i32,
}

impl Drop for CloseLog {
    fn drop(&mut self) {
        tracing::debug!(target: "mangotray::session", pid = self.pid, "session closed");
    }
}

fn rolled_back() -> Vec<frame::Frame> {
    answer::simple(&local::Answer::Done(ROLLBACK))
}

fn run_local_statement(
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
