//! The adaptive limit of statements that a node runs on one instance at once.

use std::time;

use mangotray::id;

/// If exchanges take longer than this on average, statements wait inside the instance, where urgent
/// ones cannot overtake. A read takes 18 to 30 ms and the instance runs three at once, so that
/// eight or more statements wait before one that takes this long.
const SLOW_EXCHANGE: time::Duration = time::Duration::from_millis(90);

/// A new exchange counts in the moving average with a weight of one in this many.
const SMOOTHING_WEIGHT: u32 = 6;

/// Factor by which the window shrinks.
const SHRINK_FACTOR: f32 = 0.8;

/// Least time between two reductions. A reduction shows only in the answers to statements that were
/// sent after it, and reducing the window with every answer left slots idle in a burst.
const MIN_SHRINK_INTERVAL: time::Duration = time::Duration::from_millis(90);

/// Least size of a window. With one statement per node, slots would be idle while answers and the
/// next statements are in transit.
const MIN_SIZE: f32 = 2.0;

/// A limit that shrinks while the instance answers slowly, and grows while it is fully used and the
/// instance answers fast: additive increase, multiplicative decrease.
///
/// An instance serves its queue in order of arrival. With a fixed window, an overloaded instance
/// has a queue of twenty statements, and a booking due in 150 ms waits 130 ms behind reports. With
/// a smaller window they wait in this node, where urgent statements go first. When other nodes are
/// cut off, the window grows, so that no slot is idle.
///
/// ```
/// use mangotray_desk::room::window;
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
    /// Creates a window of its largest size, `max_size`.
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

    /// Returns the number of statements that may run at once.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Between one and a dozen.
    pub const fn size(&self) -> usize {
        self.size as usize
    }

    /// Records that the instance had no capacity for a statement, and shrinks the window. The
    /// refusal comes at once; counted as a fast answer, it would widen the window of an instance
    /// that is full.
    pub fn record_refusal(&mut self, now: id::Time) {
        if now >= self.shrunk_at + MIN_SHRINK_INTERVAL {
            self.shrunk_at = now;
            self.size = (self.size * SHRINK_FACTOR).max(MIN_SIZE.min(self.max_size));
        }
    }

    /// Records that the instance answered a statement after `took`, and whether the window was full
    /// then.
    pub fn record_success(&mut self, now: id::Time, took: time::Duration, full: bool) {
        self.average = (self.average * (SMOOTHING_WEIGHT - 1) + took) / SMOOTHING_WEIGHT;
        if self.average > SLOW_EXCHANGE {
            self.record_refusal(now);
        } else if full {
            self.size = (self.size + 1.0 / self.size).min(self.max_size);
        }
    }
}
