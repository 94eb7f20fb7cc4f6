//! When a node that was asked to stop takes less work, and when its process exits.

use std::time;

use mangotray::id;

use crate::phase;

/// Grace period from which on the durations below hold in full; a shorter one shortens all of them
/// alike.
const FULL_GRACE: time::Duration = time::Duration::from_secs(6);

/// Time between the request to stop and the closing of idle sessions. The balancer probes every
/// second and stops sending callers after the second refusal; callers disconnected earlier would
/// reconnect to this node.
const BALANCER_NOTICE: time::Duration = time::Duration::from_millis(2200);

/// Time that the last statements have to complete. Most take less than a tenth of it, and the
/// longest ones about all of it.
const COMPLETION_TIME: time::Duration = time::Duration::from_secs(1);

/// Time to write the answers to statements that are given up, and for callers to receive them.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(300);

/// Part of the grace period that is left when the process exits.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(500);

/// The schedule of one stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    requested: id::Time,
    grace: time::Duration,
}

impl Shutdown {
    /// Creates the schedule of a stop requested at `requested`, after which the process is killed
    /// when `grace` is over.
    #[must_use]
    pub const fn new(requested: id::Time, grace: time::Duration) -> Self {
        Self { requested, grace }
    }

    /// Returns the phase at `now`.
    ///
    /// ```
    /// use mangotray_desk::{phase, shutdown};
    /// use std::time::Duration;
    /// let shutdown = shutdown::Shutdown::new(Duration::ZERO, Duration::from_secs(6));
    /// let phase = |millis| shutdown.phase(Duration::from_millis(millis));
    /// assert_eq!(phase(2199), phase::Phase::Leaving);
    /// assert_eq!(phase(2200), phase::Phase::Closing);
    /// assert_eq!(phase(4200), phase::Phase::Finishing);
    /// assert_eq!(phase(5200), phase::Phase::Ending);
    /// assert_eq!(shutdown.exit_at(), Duration::from_millis(5500));
    /// ```
    #[must_use]
    pub fn phase(&self, now: id::Time) -> phase::Phase {
        let give_up = self.exit_at().saturating_sub(self.scaled(ANSWER_TIME));
        let last_start = give_up.saturating_sub(self.scaled(COMPLETION_TIME));
        if now >= give_up {
            phase::Phase::Ending
        } else if now >= last_start {
            phase::Phase::Finishing
        } else if now >= self.requested + self.scaled(BALANCER_NOTICE) {
            phase::Phase::Closing
        } else {
            phase::Phase::Leaving
        }
    }

    /// Returns when the process exits at the latest.
    #[must_use]
    pub fn exit_at(&self) -> id::Time {
        (self.requested + self.grace).saturating_sub(self.scaled(EXIT_MARGIN))
    }

    fn scaled(&self, duration: time::Duration) -> time::Duration {
        duration.mul_f64((self.grace.as_secs_f64() / FULL_GRACE.as_secs_f64()).min(1.0))
    }
}
