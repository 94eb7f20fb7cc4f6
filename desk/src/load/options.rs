//! Which decisions under load the settings switch on.

/// Switches of the section `[load]` of the settings; all are off by default.
///
/// ```
/// use mangotray_desk::load::options;
/// assert!(!options::Options::default().adaptive_concurrency);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// The concurrency limit and the expected time of an exchange are learned for each instance.
    pub adaptive_concurrency: bool,
    /// Lending nodes add a [`crate::load::report::Report`] to their answers, and requesting nodes
    /// choose instances and lending nodes by it.
    pub load_reports: bool,
    /// Organisations that wait for the same instance are served in turn.
    pub fair_queueing: bool,
    /// How many transactions may be open at an instance.
    pub transactions: Transactions,
    /// Largest share of this node's statements that are retries, in percent; `None` if retries are
    /// limited by deadlines only.
    pub retry_percent: Option<u32>,
}

/// How many transactions may be open at an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Transactions {
    /// As many as there are connections.
    #[default]
    Unbounded,
    /// So many that connections remain for short statements.
    Bounded,
}
