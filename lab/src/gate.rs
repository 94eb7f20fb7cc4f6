//! A barrier that stops tasks while a fault lasts.

use std::sync::atomic;

/// Barrier that tasks wait at while it is closed.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    closed: atomic::AtomicBool,
    /// Notified at each change of `closed`.
    changed: event_listener::Event,
}

impl Gate {
    pub(crate) fn set_closed(&self, closed: bool) {
        self.closed.store(closed, atomic::Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(atomic::Ordering::SeqCst)
    }

    pub(crate) async fn wait_until_open(&self) {
        while self.is_closed() {
            let changed = self.changed.listen();
            if self.is_closed() {
                changed.await;
            }
        }
    }
}
