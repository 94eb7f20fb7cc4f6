//! Sessions of callers, from the first byte to the last.

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
    pub switch: sync::Arc<dyn lane::Factory>,
    /// Source of time.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Sessions that can be canceled.
    pub cancels: cancel::Registry,
    /// Memory of classified texts.
    pub verdicts: plans::Cache,
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
        switch: sync::Arc<dyn lane::Factory>,
        clock: sync::Arc<dyn clock::Clock>,
        limits: Limits,
        drain: drain::Signal,
    ) -> Self {
        Self {
            switch,
            clock,
            cancels: cancel::Registry::new(),
            verdicts: plans::Cache::default(),
            limits,
            drain,
            requests: atomic::AtomicU64::new(1),
        }
    }

    pub(crate) fn request(&self) -> id::Request {
        self.requests.fetch_add(1, atomic::Ordering::Relaxed)
    }
}

/// Serves one caller until either side ends the connection.
pub async fn serve(stream: wire::Stream, context: sync::Arc<Context>) {
    metrics::gauge!(telemetry::CALLERS).increment(1.0);
    let _counted = Counted;
    let (stream, stop) = attend(stream, &context).await;
    if let reader::Stop::Fatal(error) = stop {
        tracing::debug!(target: "mangotray::session", code = error.code, "{}", error.message);
        writer::close(stream, &error).await;
    }
}

/// Counts the caller out, also when its task is dropped.
struct Counted;

impl Drop for Counted {
    fn drop(&mut self) {
        metrics::gauge!(telemetry::CALLERS).decrement(1.0);
    }
}

async fn attend(
    mut stream: wire::Stream,
    context: &sync::Arc<Context>,
) -> (wire::Stream, reader::Stop) {
    let startup = startup::receive(&mut stream, &context.cancels);
    let late = reader::expire(context.limits.startup, writer::incomplete_startup());
    let parameters = match startup.or(async { Err(late.await) }).await {
        Ok(Some(parameters)) => parameters,
        Ok(None) => return (stream, reader::Stop::Closed),
        Err(stop) => return (stream, stop),
    };
    let database = parameters.database.clone();
    let settings = parameters.settings.clone();
    match runner::Runner::new(context.clone(), database, settings) {
        Ok(runner) => {
            let stream = wire::established(stream, context.limits.request);
            caller::Caller::new(stream, context.clone(), runner)
                .serve(&parameters)
                .await
        }
        Err(error) => (stream, reader::Stop::Fatal(error)),
    }
}
