//! What a node expects of an instance, by the last load report on it.

use std::time;

use crate::load::report;

/// A report counts for this long from when its request was sent. Longer than the pause between two
/// reports, and short enough that a queue has not changed completely.
pub const LIFETIME: time::Duration = time::Duration::from_millis(500);

/// A fresh load report, and what has happened since.
///
/// ```
/// use mangotray_desk::load::{forecast, report};
/// use std::time::Duration;
/// let report = report::Report { waits_ms: [0, 10, 90], exchange_ms: 20, limit: 5 };
/// let forecast = forecast::Forecast { report, age: Duration::from_millis(40), added: 2 };
/// assert_eq!(forecast.wait(1), Duration::from_millis(10 + 2 * 20 / 5));
/// assert_eq!(forecast.least_wait(2), Duration::from_millis(90 - 40));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forecast {
    /// The report.
    pub report: report::Report,
    /// Time since the request was sent whose answer carried the report.
    pub age: time::Duration,
    /// Statements of this node that the report does not include.
    pub added: usize,
}

impl Forecast {
    /// Expected wait of a statement of this priority at the lending node.
    #[must_use]
    pub fn wait(&self, priority: u8) -> time::Duration {
        let added = u32::try_from(self.added).unwrap_or(u32::MAX);
        let limit = u32::from(self.report.limit.max(1));
        let own = self.report.exchange().saturating_mul(added) / limit;
        self.report.wait(priority).saturating_add(own)
    }

    /// Shortest wait of a statement of this priority that the report allows for: the queue may have
    /// shrunk for as long as the report is old.
    #[must_use]
    pub fn least_wait(&self, priority: u8) -> time::Duration {
        self.report.wait(priority).saturating_sub(self.age)
    }

    /// Expected time from sending a statement to the instance to its answer.
    #[must_use]
    pub fn exchange(&self) -> time::Duration {
        self.report.exchange()
    }

    /// Whether a statement of this priority would start within the time of one exchange.
    #[must_use]
    pub fn has_room(&self, priority: u8) -> bool {
        self.wait(priority) < self.exchange().max(time::Duration::from_millis(1))
    }

    /// The expected time from now to the answer, weighted by the report's age with `usual`, the
    /// expectation without a report.
    ///
    /// ```
    /// use mangotray_desk::load::{forecast, report};
    /// use std::time::Duration;
    /// let report = report::Report { waits_ms: [80; 3], exchange_ms: 20, limit: 5 };
    /// let aged = |millis| forecast::Forecast { report, age: Duration::from_millis(millis), added: 0 };
    /// let usual = Duration::from_millis(20);
    /// assert_eq!(aged(0).blend(0, usual), Duration::from_millis(100));
    /// assert_eq!(aged(250).blend(0, usual), Duration::from_millis(60));
    /// assert_eq!(aged(500).blend(0, usual), usual);
    /// ```
    #[must_use]
    pub fn blend(&self, priority: u8, usual: time::Duration) -> time::Duration {
        let millis = |time: time::Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let (age, lifetime) = (millis(self.age.min(LIFETIME)), millis(LIFETIME));
        let reported = self.wait(priority).saturating_add(self.exchange());
        (reported * (lifetime - age) + usual * age) / lifetime
    }
}
