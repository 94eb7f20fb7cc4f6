//! When a caller that was refused should come back.
//!
//! Addresses bursts of refusals: callers that were all told the same time would return together.

use std::time;

use compact_str::CompactString;
use compact_str::format_compact;

/// Least time that a caller is told: a caller that returns earlier finds the same queue.
const LEAST: time::Duration = time::Duration::from_millis(20);

/// Returns a time between `delay` and one and a half of it, by a random number `draw` from 0 to 1.
///
/// ```
/// use mangotray_desk::load::delay;
/// use std::time::Duration;
/// let second = Duration::from_secs(1);
/// assert_eq!(delay::spread(second, 0.0), second);
/// assert_eq!(delay::spread(second, 0.5), Duration::from_millis(1250));
/// assert_eq!(delay::spread(Duration::ZERO, 0.0), Duration::from_millis(20));
/// assert_eq!(delay::spread(second, f64::NAN), second);
/// ```
#[must_use]
pub fn spread(delay: time::Duration, draw: f64) -> time::Duration {
    let delay = delay.max(LEAST);
    let draw = if draw.is_finite() {
        draw.clamp(0.0, 1.0)
    } else {
        0.0
    };
    delay.saturating_add((delay / 2).mul_f64(draw))
}

/// Returns the text of a refusal with a reason and the time after which to come back.
///
/// ```
/// use mangotray_desk::load::delay;
/// let text = delay::text("busy", std::time::Duration::from_millis(40));
/// assert_eq!(text, "busy, come back in 40 ms");
/// ```
#[must_use]
pub fn text(reason: &str, delay: time::Duration) -> CompactString {
    format_compact!("{reason}, come back in {} ms", delay.as_millis())
}
