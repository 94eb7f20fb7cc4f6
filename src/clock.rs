//! Access to the machine's monotonic clock.

use std::time;

use crate::id;

/// Source of monotonic time; tests replace it.
pub trait Clock: Send + Sync {
    /// Returns the time since an arbitrary epoch of this process; it never decreases.
    fn now(&self) -> id::Time;
}

/// The machine's monotonic clock.
#[derive(Debug)]
pub struct Monotonic {
    epoch: time::Instant,
}

impl Monotonic {
    /// Creates a clock whose epoch is the current time.
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
