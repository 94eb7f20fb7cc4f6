//! Structured log on standard output that never holds a request up.
//!
//! Lines go through a bounded queue to a thread of their own. A reader that does not read
//! would otherwise block whoever logs: callers would see every request hang on a healthy
//! node. What does not fit is dropped and counted.

use std::io;
use std::io::Write;
use std::sync;
use std::sync::atomic;
use std::sync::mpsc;
use std::thread;

use tracing_subscriber::fmt;

use crate::boot;

/// Lines that wait for the reader; at 300 bytes a line about 150 KB.
const QUEUE: usize = 512;

/// Lines a second below the level of a warning; a node answers about 60 requests a second.
const ROUTINE_BUDGET: u32 = 200;

/// Lines a second in all, so that failures have room when routine lines use theirs up.
const TOTAL_BUDGET: u32 = 400;

/// Stack of the writing thread; it only copies bytes.
const STACK: usize = 64 * 1024;

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
    let (queue, lines) = mpsc::sync_channel::<Vec<u8>>(QUEUE);
    thread::Builder::new()
        .name("log".into())
        .stack_size(STACK)
        .spawn(move || write(&lines))?;
    let writer = Writer {
        queue,
        budget: sync::Arc::new(sync::Mutex::new(Budget::default())),
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

fn write(lines: &mpsc::Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    for line in lines {
        // Nobody is left to be told when standard output is closed.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Lines written in the present second.
#[derive(Debug, Default)]
struct Budget {
    second: u64,
    lines: u32,
}

impl Budget {
    fn spend(&mut self, second: u64, limit: u32) -> bool {
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
    queue: mpsc::SyncSender<Vec<u8>>,
    budget: sync::Arc<sync::Mutex<Budget>>,
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
            limit: TOTAL_BUDGET,
            bytes: Vec::new(),
        }
    }

    fn make_writer_for(&'a self, event: &tracing::Metadata<'_>) -> Line<'a> {
        let routine = *event.level() > tracing::Level::WARN;
        let limit = if routine {
            ROUTINE_BUDGET
        } else {
            TOTAL_BUDGET
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
            .budget
            .lock()
            .is_ok_and(|mut budget| budget.spend(second, self.limit));
        let bytes = std::mem::take(&mut self.bytes);
        if !allowed || self.writer.queue.try_send(bytes).is_err() {
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}
