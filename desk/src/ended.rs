//! What a node knows of a process of an instance that has ended with its log.
//!
//! A process that is gone may have been the only replica with some acknowledged commit. It can't have
//! been if it ended before the present primary led. What is known of that is gathered here once, when
//! the end is noticed.

use mangotray::id;

/// A process of an instance that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Process {
    /// It had ended by this time.
    pub by: id::Time,
    /// The latest term in which it is known to have led or followed a primary.
    pub term: id::Term,
}

impl Process {
    /// A process whose end was found at `now`, of which nothing else is known. It may have followed
    /// any primary until then.
    ///
    /// ```
    /// use mangotray_desk::ended;
    /// use std::time::Duration;
    /// let process = ended::Process::found(Duration::from_secs(3));
    /// assert!(process.may_have_followed(7));
    /// ```
    #[must_use]
    pub const fn found(now: id::Time) -> Self {
        Self {
            by: now,
            term: id::Term::MAX,
        }
    }

    /// Whether it is known to have followed the primary of `term`, or nothing excludes that it has.
    ///
    /// ```
    /// use mangotray_desk::ended;
    /// use std::time::Duration;
    /// let process = ended::Process { by: Duration::from_secs(3), term: 4 };
    /// assert!(process.may_have_followed(4));
    /// assert!(!process.may_have_followed(5));
    /// ```
    #[must_use]
    pub const fn may_have_followed(&self, term: id::Term) -> bool {
        self.term >= term
    }
}
