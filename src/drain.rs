//! Signal that a process is shutting down gracefully.

use std::sync;
use std::sync::atomic;

use event_listener::Event;

/// Shared flag that is raised once and can be awaited; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Signal {
    inner: sync::Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    started: atomic::AtomicBool,
    event: Event,
}

impl Signal {
    /// A signal that has not been raised.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the signal; it never falls again.
    ///
    /// ```
    /// let signal = mangotray::drain::Signal::new();
    /// signal.clone().start();
    /// assert!(signal.started());
    /// ```
    pub fn start(&self) {
        self.inner.started.store(true, atomic::Ordering::SeqCst);
        self.inner.event.notify(usize::MAX);
    }

    /// Whether the signal has been raised.
    ///
    /// ```
    /// assert!(!mangotray::drain::Signal::new().started());
    /// ```
    #[must_use]
    pub fn started(&self) -> bool {
        self.inner.started.load(atomic::Ordering::SeqCst)
    }

    /// Waits until the signal is raised.
    ///
    /// ```
    /// let signal = mangotray::drain::Signal::new();
    /// signal.start();
    /// futures_lite::future::block_on(signal.wait());
    /// assert!(signal.started());
    /// ```
    pub async fn wait(&self) {
        while !self.started() {
            let listener = self.inner.event.listen();
            if self.started() {
                return;
            }
            listener.await;
        }
    }
}
