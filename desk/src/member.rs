//! The other nodes of the fleet.

use std::net;

use mangotray::id;

/// Keys of members in the platform's store begin so; the VM's name follows.
pub const PREFIX: &str = "mangotray/vm/";

/// A node as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Name of its VM.
    pub name: id::Vm,
    /// Its failure domain.
    pub domain: id::Domain,
    /// Where it serves the other nodes.
    pub address: net::SocketAddr,
}

impl Member {
    /// Its key in the platform's store.
    ///
    /// ```
    /// use mangotray_desk::member;
    /// let member = member::Member {
    ///     name: "vm-1".into(),
    ///     domain: "d".into(),
    ///     address: "127.0.0.1:1".parse().unwrap(),
    /// };
    /// assert_eq!(member.key(), "mangotray/vm/vm-1");
    /// ```
    #[must_use]
    pub fn key(&self) -> String {
        format!("{PREFIX}{}", self.name)
    }
}
