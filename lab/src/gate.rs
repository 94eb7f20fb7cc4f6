//! A barrier that faults close and open.

use std::sync::atomic;

/// Tasks wait at it while it is closed.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    closed: atomic::AtomicBool,
    opened: event_listener::Event,
}

impl Gate {
    pub(crate) fn set(&self, closed: bool) {
        self.closed.store(closed, atomic::Ordering::SeqCst);
        self.opened.notify(usize::MAX);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(atomic::Ordering::SeqCst)
    }

    pub(crate) async fn pass(&self) {
        while self.is_closed() {
            let opened = self.opened.listen();
            if self.is_closed() {
                opened.await;
            }
        }
    }
}
