//! How many statements a node lets one instance work on at once.

use std::time;

/// Exchanges that take longer than this on average have waited inside the instance, where
/// urgent ones cannot overtake. A read's work takes 18 to 30 ms, and the instance works on
/// three at once: six more then wait before it.
const CROWDED: time::Duration = time::Duration::from_millis(70);

/// Weight of a new exchange in the average: one in this many.
const SMOOTHING: u32 = 6;

/// Part of the window that stays after an exchange on a crowded instance. A window of five
/// is at its least after about fifteen exchanges, a third of a second under full load.
const SHRINK: f32 = 0.9;

/// A window is never smaller: the nodes that share an instance cannot see whether it has
/// slots left over, and one statement of each is the least that finds out.
const LEAST: f32 = 1.0;

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
/// for _ in 0..40 {
///     window.answered(Duration::from_millis(150), true);
/// }
/// assert_eq!(window.size(), 1);
/// for _ in 0..40 {
///     window.answered(Duration::from_millis(20), true);
/// }
/// assert_eq!(window.size(), 5);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Window {
    most: f32,
    size: f32,
    took: time::Duration,
}

impl Window {
    /// A window that is as wide as it may be.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // A dozen connections at most.
    pub const fn new(most: usize) -> Self {
        Self {
            most: most as f32,
            size: most as f32,
            took: time::Duration::ZERO,
        }
    }

    /// Statements that may be at work at once.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Between one and a dozen.
    pub const fn size(&self) -> usize {
        self.size as usize
    }

    /// Notes that the instance took `took` for an exchange, and whether the window was full.
    pub fn answered(&mut self, took: time::Duration, full: bool) {
        self.took = (self.took * (SMOOTHING - 1) + took) / SMOOTHING;
        if self.took > CROWDED {
            self.size = (self.size * SHRINK).max(LEAST);
        } else if full {
            self.size = (self.size + 1.0 / self.size).min(self.most);
        }
    }
}
