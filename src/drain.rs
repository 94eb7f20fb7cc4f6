//! Signal that the process drains, that is, shuts down gracefully.

use std::sync;
use std::sync::atomic;

use event_listener::Event;

/// Flag that is set once and can be awaited; clones share its state.
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
    /// Creates a signal that is not set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the drain; this cannot be undone.
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

    /// Whether the drain has started.
    ///
    /// ```
    /// assert!(!mangotray::drain::Signal::new().started());
    /// ```
    #[must_use]
    pub fn started(&self) -> bool {
        self.inner.started.load(atomic::Ordering::SeqCst)
    }

    /// Waits until the drain starts.
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
