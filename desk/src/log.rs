//! Structured log on standard output that never blocks a request.
//!
//! Lines go through a bounded queue to a writer thread. Otherwise a reader of standard output that
//! stops reading would block every task that logs, and all requests would hang on a healthy node.
//! Lines that do not fit into the queue are dropped and counted. A process that ends waits briefly
//! for the writer thread, as its last lines give the reason.

use std::io;
use std::io::Write;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use tracing_subscriber::fmt;

use crate::boot;

/// Capacity of the queue in lines; at 300 bytes per line about 150 KB.
const QUEUE_LINES: usize = 512;

/// Maximum number of lines per second below the level of a warning; a node answers about 60
/// requests per second.
const MAX_ROUTINE_LINES_PER_SECOND: u32 = 200;

/// Maximum number of lines per second of all levels. Higher than the limit of routine lines, so
/// that warnings and errors are still logged when routine lines have reached theirs.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Stack size of the writer thread, which only copies bytes.
const STACK_BYTES: usize = 64 * 1024;

/// Maximum wait for queued lines to be written when the process ends.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Message to the writer thread.
enum Item {
    Line(Vec<u8>),
    /// Requests a notification once all earlier lines are written.
    Flush(mpsc::SyncSender<()>),
}

/// Queue to the writer thread, set when the log is installed.
static LOG_QUEUE: sync::OnceLock<mpsc::SyncSender<Item>> = sync::OnceLock::new();

/// Number of lines dropped since the process started.
static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Returns the number of lines dropped so far, by the rate limit or a full queue.
///
/// ```
/// assert_eq!(mangotray_desk::log::dropped(), 0);
/// ```
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(atomic::Ordering::Relaxed)
}

/// Installs the log: each event is written to standard output as one JSON line.
///
/// # Errors
/// When the writer thread cannot be started, or a log is already installed.
pub fn install() -> eyre::Result<()> {
    let (queue, lines) = mpsc::sync_channel::<Item>(QUEUE_LINES);
    thread::Builder::new()
        .name("log".into())
        .stack_size(STACK_BYTES)
        .spawn(move || write(&lines))?;
    // A second installation fails at `try_init` below.
    let queue = LOG_QUEUE.get_or_init(|| queue).clone();
    let writer = Writer {
        queue,
        rate_limit: sync::Arc::new(sync::Mutex::new(RateLimit::default())),
    };
    let filter = tracing_subscriber::EnvFilter::new("info");
    fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
        .map_err(|error| eyre::eyre!("cannot install the log: {error}"))
}

/// Waits until all queued lines are written, at most `FLUSH_TIMEOUT`, as there may be no reader.
pub fn flush() {
    let Some(queue) = LOG_QUEUE.get() else {
        return;
    };
    let (written, done) = mpsc::sync_channel(1);
    let until = time::Instant::now() + FLUSH_TIMEOUT;
    let mut request = Item::Flush(written);
    while let Err(mpsc::TrySendError::Full(refused)) = queue.try_send(request) {
        if time::Instant::now() > until {
            return;
        }
        request = refused;
        thread::yield_now();
    }
    // On a timeout, or if the writer thread has ended, the remaining lines are lost.
    let _ = done.recv_timeout(until.saturating_duration_since(time::Instant::now()));
}

fn write(items: &mpsc::Receiver<Item>) {
    let mut out = io::stdout();
    for item in items {
        let line = match item {
            Item::Line(line) => line,
            Item::Flush(written) => {
                // The waiting thread may have timed out.
                let _ = written.try_send(());
                continue;
            }
        };
        // Standard output is closed: the error cannot be reported anywhere.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Counts the lines of the current second.
#[derive(Debug, Default)]
struct RateLimit {
    second: u64,
    lines: u32,
}

impl RateLimit {
    fn allow(&mut self, second: u64, limit: u32) -> bool {
        if self.second != second {
            *self = Self { second, lines: 0 };
        }
        let allowed = self.lines < limit;
        self.lines += u32::from(allowed);
        allowed
    }
}

#[derive(Clone)]
struct Writer {
    queue: mpsc::SyncSender<Item>,
    rate_limit: sync::Arc<sync::Mutex<RateLimit>>,
}

struct Line<'a> {
    writer: &'a Writer,
    limit: u32,
    bytes: Vec<u8>,
}

impl<'a> fmt::MakeWriter<'a> for Writer {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line {
            writer: self,
            limit: MAX_LINES_PER_SECOND,
            bytes: Vec::new(),
        }
    }

    fn make_writer_for(&'a self, event: &tracing::Metadata<'_>) -> Line<'a> {
        let routine = *event.level() > tracing::Level::WARN;
        let limit = if routine {
            MAX_ROUTINE_LINES_PER_SECOND
        } else {
            MAX_LINES_PER_SECOND
        };
        Line {
            writer: self,
            limit,
            bytes: Vec::new(),
        }
    }
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        let second = boot::now().as_secs();
        let allowed = self
            .writer
            .rate_limit
            .lock()
            .is_ok_and(|mut rate_limit| rate_limit.allow(second, self.limit));
        let bytes = std::mem::take(&mut self.bytes);
        if !allowed || self.writer.queue.try_send(Item::Line(bytes)).is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}
