//! Whether a proxy's process runs, stands still or is gone.

use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use futures_util::future;

/// Time between two looks of a process that stands still.
const LOOK_EVERY: time::Duration = time::Duration::from_millis(5);

const RUNS: u8 = 0;
const PAUSED: u8 = 1;
const GONE: u8 = 2;

/// State of one process.
#[derive(Default)]
pub struct Life(atomic::AtomicU8);

impl Life {
    pub fn runs(&self) -> bool {
        self.0.load(atomic::Ordering::SeqCst) == RUNS
    }

    pub fn gone(&self) -> bool {
        self.0.load(atomic::Ordering::SeqCst) == GONE
    }

    pub fn pause(&self) {
        self.change(RUNS, PAUSED);
    }

    pub fn resume(&self) {
        self.change(PAUSED, RUNS);
    }

    pub fn end(&self) {
        self.0.store(GONE, atomic::Ordering::SeqCst);
    }

    fn change(&self, from: u8, to: u8) {
        let (after, before) = (atomic::Ordering::SeqCst, atomic::Ordering::SeqCst);
        let _ = self.0.compare_exchange(from, to, after, before);
    }

    /// Resolves when the process is gone.
    pub async fn ended(&self) {
        while !self.gone() {
            async_io::Timer::after(LOOK_EVERY).await;
        }
    }

    /// Work of the process: makes progress only while it runs.
    pub fn work<T: 'static>(
        self: &sync::Arc<Self>,
        task: impl Future<Output = T> + Send + 'static,
    ) -> impl Future<Output = T> + Send + 'static {
        let life = self.clone();
        let mut task: future::BoxFuture<'static, T> = Box::pin(task);
        let mut timer = None;
        std::future::poll_fn(move |context| poll(&life, &mut task, &mut timer, context))
    }
}

fn poll<T>(
    life: &Life,
    task: &mut future::BoxFuture<'static, T>,
    timer: &mut Option<async_io::Timer>,
    context: &mut task::Context<'_>,
) -> task::Poll<T> {
    if life.runs() {
        *timer = None;
        return task.as_mut().poll(context);
    }
    loop {
        let look = timer.get_or_insert_with(|| async_io::Timer::after(LOOK_EVERY));
        if pin::Pin::new(look).poll(context).is_pending() {
            return task::Poll::Pending;
        }
        *timer = None;
        if life.runs() {
            return task.as_mut().poll(context);
        }
    }
}
