//! Structured log on standard output that never holds a request up.
//!
//! Lines go through a bounded queue to a thread of their own. A reader that does not read
//! would otherwise block whoever logs: callers would see every request hang on a healthy
//! node. What does not fit is dropped and counted. A process that ends waits for the thread for a
//! moment: its last lines tell why it ends.

use std::io;
use std::io::Write;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;
use std::time;

use tracing_subscriber::fmt;

use crate::boot;

/// Lines that wait for the reader; at 300 bytes a line about 150 KB.
const QUEUE_LINES: usize = 512;

/// Lines a second below the level of a warning; a node answers about 60 requests a second.
const MAX_ROUTINE_LINES_PER_SECOND: u32 = 200;

/// Lines a second in all, so that failures have room when routine lines use theirs up.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Stack of the writing thread; it only copies bytes.
const STACK_BYTES: usize = 64 * 1024;

/// Longest wait for lines to be written when the process ends.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// What goes to the writing thread.
enum Item {
    Line(Vec<u8>),
    /// All lines before it are to be written, and then this to be told.
    Flush(mpsc::SyncSender<()>),
}

/// The way to the writing thread, once a log is installed.
static LOG_QUEUE: sync::OnceLock<mpsc::SyncSender<Item>> = sync::OnceLock::new();

/// Lines that were dropped since the process started.
static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Lines dropped so far, for want of budget or because nobody reads.
///
/// ```
/// assert_eq!(mangotray_desk::log::dropped(), 0);
/// ```
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(atomic::Ordering::Relaxed)
}

/// Makes all events of this process go to standard output as one JSON line each.
///
/// # Errors
/// When the writing thread cannot start or a log is installed already.
pub fn install() -> eyre::Result<()> {
    let (queue, lines) = mpsc::sync_channel::<Item>(QUEUE_LINES);
    thread::Builder::new()
        .name("log".into())
        .stack_size(STACK_BYTES)
        .spawn(move || write(&lines))?;
    // A second log is refused below.
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

/// Waits until the lines so far are written, for a moment at most: somebody may not read them.
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
    // Late, or the thread has ended: nothing more can be done.
    let _ = done.recv_timeout(until.saturating_duration_since(time::Instant::now()));
}

fn write(items: &mpsc::Receiver<Item>) {
    let mut out = io::stdout();
    for item in items {
        let line = match item {
            Item::Line(line) => line,
            Item::Flush(written) => {
                // Whoever waited may have given up.
                let _ = written.try_send(());
                continue;
            }
        };
        // Nobody is left to be told when standard output is closed.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Lines written in the present second.
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
