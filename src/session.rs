//! Sessions of callers, from the startup to the end of the connection.

use std::sync;
use std::sync::atomic;
use std::time;

use futures_lite::FutureExt;

use crate::caller;
use crate::cancel;
use crate::clock;
use crate::drain;
use crate::id;
use crate::lane;
use crate::plans;
use crate::reader;
use crate::runner;
use crate::startup;
use crate::telemetry;
use crate::wire;
use crate::writer;

/// Limits of one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request in bytes, including all its messages.
    pub max_request_bytes: usize,
    /// Time from the connection to the completed startup.
    pub startup_timeout: time::Duration,
    /// Time that an open transaction or an incomplete request may wait for the caller. An open
    /// transaction holds one of the few connections to the database meanwhile.
    pub caller_timeout: time::Duration,
    /// Time that a caller may take to receive an answer.
    pub send_timeout: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_request_bytes: 16 * 1024 * 1024,
            startup_timeout: time::Duration::from_secs(10),
            caller_timeout: time::Duration::from_mins(1),
            send_timeout: time::Duration::from_secs(30),
        }
    }
}

/// State shared by all sessions of a process.
pub struct Context {
    /// Opens lanes to the database groups.
    pub switch: sync::Arc<dyn lane::Factory>,
    /// Source of time.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Sessions that can be canceled.
    pub cancel_registry: cancel::Registry,
    /// Cache of classified query texts.
    pub plans: plans::Cache,
    /// Limits of each session.
    pub limits: Limits,
    /// Signal that is set when the process shuts down.
    pub drain: drain::Signal,
    next_request: atomic::AtomicU64,
}

impl Context {
    /// Creates a context without sessions.
    #[must_use]
    pub fn new(
        switch: sync::Arc<dyn lane::Factory>,
        clock: sync::Arc<dyn clock::Clock>,
        limits: Limits,
        drain: drain::Signal,
    ) -> Self {
        Self {
            switch,
            clock,
            cancel_registry: cancel::Registry::new(),
            plans: plans::Cache::default(),
            limits,
            drain,
            next_request: atomic::AtomicU64::new(1),
        }
    }

    pub(crate) fn next_request_id(&self) -> id::Request {
        self.next_request.fetch_add(1, atomic::Ordering::Relaxed)
    }
}

/// Serves one caller until either side ends the connection.
pub async fn serve(stream: wire::Stream, context: sync::Arc<Context>) {
    metrics::gauge!(telemetry::CALLERS).increment(1.0);
    let _caller_gauge = CallerGauge;
    let (stream, stop) = run_session(stream, &context).await;
    if let reader::Stop::Fatal(error) = stop {
        tracing::debug!(target: "mangotray::session", code = error.code, "{}", error.message);
        writer::close(stream, &error).await;
    }
}

/// Decrements the gauge of callers when dropped, including when the session's task is dropped.
struct CallerGauge;

impl Drop for CallerGauge {
    fn drop(&mut self) {
        metrics::gauge!(telemetry::CALLERS).decrement(1.0);
    }
}

async fn run_session(
    mut stream: wire::Stream,
    context: &sync::Arc<Context>,
) -> (wire::Stream, reader::Stop) {
    let startup = startup::receive(&mut stream, &context.cancel_registry);
    let timed_out =
        reader::stop_after(context.limits.startup_timeout, writer::incomplete_startup());
    let parameters = match startup.or(async { Err(timed_out.await) }).await {
        Ok(Some(parameters)) => parameters,
        Ok(None) => return (stream, reader::Stop::Closed),
        Err(stop) => return (stream, stop),
    };
    let database = parameters.database.clone();
    let settings = parameters.settings.clone();
    match runner::Runner::new(context.clone(), database, settings) {
        Ok(runner) => {
            let stream = wire::established(stream, context.limits.max_request_bytes);
            caller::Caller::new(stream, context.clone(), runner)
                .serve(&parameters)
                .await
        }
        Err(error) => (stream, reader::Stop::Fatal(error)),
    }
}
