//! A proxy's process, which runs, is paused or has ended.

use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use futures_util::future;

/// Time between two checks of the state while a process is paused or awaited.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

const RUNNING: u8 = 0;
const PAUSED: u8 = 1;
const ENDED: u8 = 2;

/// State of one process, shared by its tasks.
#[derive(Default)]
pub struct Process(atomic::AtomicU8);

impl Process {
    pub fn is_running(&self) -> bool {
        self.0.load(atomic::Ordering::SeqCst) == RUNNING
    }

    pub fn has_ended(&self) -> bool {
        self.0.load(atomic::Ordering::SeqCst) == ENDED
    }

    pub fn pause(&self) {
        self.transition(RUNNING, PAUSED);
    }

    pub fn resume(&self) {
        self.transition(PAUSED, RUNNING);
    }

    pub fn end(&self) {
        self.0.store(ENDED, atomic::Ordering::SeqCst);
    }

    fn transition(&self, from: u8, to: u8) {
        let (success, failure) = (atomic::Ordering::SeqCst, atomic::Ordering::SeqCst);
        let _ = self.0.compare_exchange(from, to, success, failure);
    }

    /// Resolves when the process has ended.
    pub async fn wait_for_end(&self) {
        while !self.has_ended() {
            async_io::Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Wraps a task of the process, so that it is polled only while the process runs.
    pub fn run<T: 'static>(
        self: &sync::Arc<Self>,
        task: impl Future<Output = T> + Send + 'static,
    ) -> impl Future<Output = T> + Send + 'static {
        let process = self.clone();
        let mut task: future::BoxFuture<'static, T> = Box::pin(task);
        let mut timer = None;
        std::future::poll_fn(move |context| poll(&process, &mut task, &mut timer, context))
    }
}

/// Polls the task if the process runs; otherwise sets a timer to check again.
fn poll<T>(
    process: &Process,
    task: &mut future::BoxFuture<'static, T>,
    timer: &mut Option<async_io::Timer>,
    context: &mut task::Context<'_>,
) -> task::Poll<T> {
    if process.is_running() {
        *timer = None;
        return task.as_mut().poll(context);
    }
    loop {
        let poll_timer = timer.get_or_insert_with(|| async_io::Timer::after(POLL_INTERVAL));
        if pin::Pin::new(poll_timer).poll(context).is_pending() {
            return task::Poll::Pending;
        }
        *timer = None;
        if process.is_running() {
            return task.as_mut().poll(context);
        }
    }
}
