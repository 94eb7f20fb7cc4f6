//! Messages by which a node requests tokens of an organisation from a node that holds shares.

use std::time;

use mangotray::id;

use crate::limits::buckets;

/// A request for tokens.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Organisation, limit, and why this node is asked.
    pub token: buckets::Request,
    /// Name of the asking node.
    pub from: id::Vm,
    /// Maximum number of tokens that it has use for; at least 1.
    pub wanted: u32,
    /// A node before this one in the ranking has answered that it lacks shares. This node grants
    /// what it has of its own, and does not borrow.
    pub overflow: bool,
}

/// Answer to a [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Decision {
    /// So many operations may start, at least one: the first at once, the others within
    /// [`AHEAD_LIFETIME`] of the request.
    Granted(u32),
    /// The limit is reached; the asking node may expect a token after this delay.
    Denied(time::Duration),
    /// It is unknown whether the limit is reached, as this node does not hold all shares of it. It
    /// has the next token of those that it holds after this delay.
    Unknown(time::Duration),
}

/// Time after which tokens granted ahead expire.
pub const AHEAD_LIFETIME: time::Duration = time::Duration::from_secs(1);
