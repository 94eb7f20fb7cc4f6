//! What a node tells of an instance's load.

use std::time;

/// Number of priority classes that a report distinguishes: 0, 1, and all lower priorities.
pub const CLASSES: usize = 3;

/// The class of a priority.
///
/// ```
/// use mangotray_desk::load::report;
/// assert_eq!([0, 1, 2, 255].map(report::class), [0, 1, 2, 2]);
/// ```
#[must_use]
pub fn class(priority: u8) -> usize {
    usize::from(priority).min(CLASSES - 1)
}

/// The load of one instance, as the node that holds the connections to it knows it.
///
/// ```
/// use mangotray_desk::load::report;
/// use std::time::Duration;
/// let report = report::Report { waits_ms: [1, 20, 300], exchange_ms: 18, limit: 5 };
/// assert_eq!(report.wait(0), Duration::from_millis(1));
/// assert_eq!(report.wait(7), Duration::from_millis(300));
/// assert_eq!(report.exchange(), Duration::from_millis(18));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Expected wait in the node's queue of a statement that arrives now, by priority class, in
    /// milliseconds.
    pub waits_ms: [u16; CLASSES],
    /// Expected time of an exchange with the instance, from sending to the answer, in
    /// milliseconds.
    pub exchange_ms: u16,
    /// Statements that the node runs on the instance at once, at most.
    pub limit: u16,
}

impl Report {
    /// Expected wait in the node's queue of a statement of this priority.
    #[must_use]
    pub fn wait(&self, priority: u8) -> time::Duration {
        time::Duration::from_millis(self.waits_ms[class(priority)].into())
    }

    /// Expected time of an exchange with the instance.
    #[must_use]
    pub fn exchange(&self) -> time::Duration {
        time::Duration::from_millis(self.exchange_ms.into())
    }
}
