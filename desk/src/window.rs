//! How many statements a node lets one instance work on at once.

use std::time;

use mangotray::id;

/// Exchanges that take longer than this on average have waited inside the instance, where
/// urgent ones cannot overtake. A read's work takes 18 to 30 ms, and the instance works on
/// three at once: eight or more then wait before it.
const SLOW_EXCHANGE: time::Duration = time::Duration::from_millis(90);

/// Weight of a new exchange in the average: one in this many.
const SMOOTHING_WEIGHT: u32 = 6;

/// Part of the window that stays after a step down.
const SHRINK_FACTOR: f32 = 0.8;

/// Least time between two steps down: a step shows only in the answers of statements that
/// were sent after it. Stepping down with every answer left slots idle in a burst.
const MIN_SHRINK_INTERVAL: time::Duration = time::Duration::from_millis(90);

/// A window is never smaller: with one statement of each node, slots lie idle while answers
/// and the next statements are on their way.
const MIN_SIZE: f32 = 2.0;

/// A window that shrinks while the instance answers slowly, and grows while it is in use
/// and the instance answers fast.
///
/// An instance serves those that wait in the order in which they came. With a fixed window,
/// an overloaded one keeps a queue of twenty, and a booking due in 150 ms waits 130 ms behind
/// reports. With a smaller one they wait in this node, where the urgent go first. Where
/// other nodes are cut off, the window grows and no slot lies idle.
///
/// ```
/// use mangotray_desk::window;
/// use std::time::Duration;
/// let mut window = window::Window::new(5);
/// let second = Duration::from_secs(1);
/// for count in 1..40 {
///     window.record_success(count * second, Duration::from_millis(150), true);
/// }
/// assert_eq!(window.size(), 2);
/// for count in 40..80 {
///     window.record_success(count * second, Duration::from_millis(20), true);
/// }
/// assert_eq!(window.size(), 5);
/// window.record_refusal(80 * second);
/// assert_eq!(window.size(), 4);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Window {
    max_size: f32,
    size: f32,
    average: time::Duration,
    shrunk_at: id::Time,
}

impl Window {
    /// A window that is as wide as it may be.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // A dozen connections at most.
    pub const fn new(max_size: usize) -> Self {
        Self {
            max_size: max_size as f32,
            size: max_size as f32,
            average: time::Duration::ZERO,
            shrunk_at: time::Duration::ZERO,
        }
    }

    /// Statements that may be at work at once.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Between one and a dozen.
    pub const fn size(&self) -> usize {
        self.size as usize
    }

    /// Notes that the instance had no room for a statement, which it says at once: counted
    /// as a fast answer, it would widen the window of an instance that is full.
    pub fn record_refusal(&mut self, now: id::Time) {
        if now >= self.shrunk_at + MIN_SHRINK_INTERVAL {
            self.shrunk_at = now;
            self.size = (self.size * SHRINK_FACTOR).max(MIN_SIZE.min(self.max_size));
        }
    }

    /// Notes that the instance took `took` to run a statement, and whether the window was full.
    pub fn record_success(&mut self, now: id::Time, took: time::Duration, full: bool) {
        self.average = (self.average * (SMOOTHING_WEIGHT - 1) + took) / SMOOTHING_WEIGHT;
        if self.average > SLOW_EXCHANGE {
            self.record_refusal(now);
        } else if full {
            self.size = (self.size + 1.0 / self.size).min(self.max_size);
        }
    }
}
