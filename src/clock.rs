//! Border to the machine's monotonic clock.

use std::time;

use crate::id;

/// Source of monotonic time, replaceable in tests.
pub trait Clock: Send + Sync {
    /// Time since an arbitrary epoch of this process; never goes back.
    fn now(&self) -> id::Time;
}

/// The machine's own monotonic clock.
#[derive(Debug)]
pub struct Monotonic {
    epoch: time::Instant,
}

impl Monotonic {
    /// Starts a clock whose epoch is now.
    ///
    /// ```
    /// use mangotray::clock::{Clock, Monotonic};
    /// let clock = Monotonic::new();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            epoch: time::Instant::now(),
        }
    }
}

impl Default for Monotonic {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Monotonic {
    fn now(&self) -> id::Time {
        self.epoch.elapsed()
    }
}
