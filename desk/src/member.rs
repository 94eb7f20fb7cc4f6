//! Nodes of the fleet, as registered in the platform's store.

use std::net;

use mangotray::id;

/// Prefix of the members' keys in the platform's store; the name of the VM follows.
pub const PREFIX: &str = "mangotray/vm/";

/// A registered node.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of its VM.
    pub name: id::Vm,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Address at which it serves the other nodes.
    pub address: net::SocketAddr,
    /// Version of the messages that it understands; 0 in entries of nodes that do not tell.
    #[serde(default)]
    pub protocol: u32,
    /// Capacity of its VM relative to others, in thousandths of a core; `None` if it does not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<u32>,
}

/// Version of the messages that this build understands. Version 1 has load reports and shares of
/// organisations' limits, version 2 seals of terms, version 3 positions of the store; nodes send these
/// messages only to members that understand them.
pub const PROTOCOL: u32 = 3;

/// Lowest version of a member that seals terms.
pub const SEAL_PROTOCOL: u32 = 2;

/// Lowest version of a member that tells the store's position.
pub const POSITION_PROTOCOL: u32 = 3;

impl Member {
    /// Its key in the platform's store.
    ///
    /// ```
    /// use mangotray_desk::member;
    /// let member = member::Member {
    ///     name: "vm-1".into(),
    ///     domain: "d".into(),
    ///     address: "127.0.0.1:1".parse().unwrap(),
    ///     protocol: 0,
    ///     capacity: None,
    /// };
    /// assert_eq!(member.key(), "mangotray/vm/vm-1");
    /// ```
    #[must_use]
    pub fn key(&self) -> String {
        format!("{PREFIX}{}", self.name)
    }
}
