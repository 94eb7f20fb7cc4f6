//! Whether this node has been asked to stop, and what it still takes.

use std::cell;

use crate::boot;
use crate::phase;
use crate::shutdown;

/// The node's current phase, shared by all that accept work.
#[derive(Default)]
pub struct Lifecycle {
    shutdown: cell::Cell<Option<shutdown::Shutdown>>,
    announced: cell::Cell<phase::Phase>,
    changed: event_listener::Event,
}

impl Lifecycle {
    /// Begins a stop; the caller has to call [`Lifecycle::announce`] from then on.
    pub fn begin(&self, shutdown: shutdown::Shutdown) {
        self.shutdown.set(Some(shutdown));
        self.announce();
    }

    /// Returns the phase by the clock, which counts the time for which the process was suspended.
    ///
    /// ```
    /// use mangotray_desk::{boot, lifecycle, phase, shutdown};
    /// use std::time::Duration;
    /// let lifecycle = lifecycle::Lifecycle::default();
    /// assert_eq!(lifecycle.phase(), phase::Phase::Serving);
    /// lifecycle.begin(shutdown::Shutdown::new(boot::now(), Duration::ZERO));
    /// assert_eq!(lifecycle.phase(), phase::Phase::Ending);
    /// ```
    #[must_use]
    pub fn phase(&self) -> phase::Phase {
        let shutdown = self.shutdown.get();
        shutdown.map_or_else(phase::Phase::default, |shutdown| {
            shutdown.phase(boot::now())
        })
    }

    /// Returns whether the process should exit now, whatever is left.
    #[must_use]
    pub fn is_over(&self) -> bool {
        let shutdown = self.shutdown.get();
        shutdown.is_some_and(|shutdown| boot::now() >= shutdown.exit_at())
    }

    /// Wakes those that wait for a phase which has begun since the last call.
    pub fn announce(&self) {
        let phase = self.phase();
        if self.announced.replace(phase) != phase {
            tracing::info!(?phase, "node is stopping");
            self.changed.notify(usize::MAX);
        }
    }

    /// Waits until a phase or a later one has begun.
    pub async fn reached(&self, phase: phase::Phase) {
        loop {
            let changed = self.changed.listen();
            if self.phase() >= phase {
                return;
            }
            changed.await;
        }
    }
}
