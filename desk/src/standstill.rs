//! Notices when this process stood still: it was suspended, or got no processor.
//!
//! Whoever reads the log of a node needs to know this before all else: deadlines pass unseen, and a
//! lease may end, between one line and the next.

use std::time;

use mangotray::id;
use mangotray::telemetry;

use crate::boot;
use crate::wait;

/// Interval between two looks at the clock.
const INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A look that is late by at least this much is reported.
const REPORTED: time::Duration = time::Duration::from_millis(250);

/// Looks at the clock at a fixed interval.
///
/// ```
/// use mangotray_desk::standstill;
/// use std::time::Duration;
/// let millis = Duration::from_millis;
/// let mut watch = standstill::Watch::new(millis(1000));
/// assert_eq!(watch.look(millis(1110)), None);
/// assert_eq!(watch.look(millis(9110)), Some(millis(7900)));
/// assert_eq!(watch.look(millis(9210)), None);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    last: id::Time,
}

impl Watch {
    /// A watch that begins at `now`.
    #[must_use]
    pub const fn new(now: id::Time) -> Self {
        Self { last: now }
    }

    /// Returns for how long the process stood still until `now`, if that is worth a report.
    pub fn look(&mut self, now: id::Time) -> Option<time::Duration> {
        let late = now.saturating_sub(self.last + INTERVAL);
        self.last = now;
        (late >= REPORTED).then_some(late)
    }
}

/// Reports each standstill of this process in the log and in a counter. Never returns.
pub async fn report() {
    let mut watch = Watch::new(boot::now());
    loop {
        wait::sleep(INTERVAL).await;
        if let Some(late) = watch.look(boot::now()) {
            tracing::warn!(late_ms = late.as_millis(), "process stood still");
            metrics::counter!(telemetry::STANDSTILLS).increment(1);
        }
    }
}
