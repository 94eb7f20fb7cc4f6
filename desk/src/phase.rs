//! The phases in which a stopping node takes less and less work.

/// What a node still does; later phases are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub enum Phase {
    /// Everything: the node has not been asked to stop.
    #[default]
    Serving,
    /// Everything but new loans to other nodes: the balancer still sends callers here.
    Leaving,
    /// Idle sessions are closed, and open transactions continue.
    Closing,
    /// Nothing new starts: open transactions are rolled back, and statements in progress are
    /// awaited.
    Finishing,
    /// Statements that are still in progress are given up and answered; the process exits.
    Ending,
}
