//! Messages by which nodes lend shares of the limits of a shard to each other.
//!
//! They carry durations only, as nodes share no clock.

use std::time;

use mangotray::id;

use crate::limits::shard;

/// What a node wants to know or to have of a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Kind {
    /// Asks the receiver to lend its share.
    Borrow,
    /// Asks whether the receiver uses the sender's share. The sender owns it and has no record of
    /// its loans.
    Inquire,
}

/// A message about a share of a shard's limits.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// The shard.
    pub shard: shard::Shard,
    /// Name of the sending node.
    pub from: id::Vm,
    /// What it asks for.
    pub kind: Kind,
}

/// What a node knows about the owner that asked it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Standing {
    /// Whether the node regards it as an owner.
    pub recognised: bool,
    /// For how long it has done so.
    pub recognised_for: time::Duration,
    /// Whether the node uses its share by a lease.
    pub holds: bool,
    /// For how long the node has not used its share; since its own start if it never did.
    pub unused_for: time::Duration,
    /// Whether a node that has left the members may still use a share.
    pub departed: bool,
}

/// Answer to a [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Response {
    /// The share is lent.
    Lent {
        /// Length of the lease. The borrower counts it from before it asked.
        length: time::Duration,
        /// The share is one of so many equal parts.
        divisor: u32,
    },
    /// The share is not lent now.
    Kept,
    /// Answer to an inquiry.
    Standing(Standing),
}
