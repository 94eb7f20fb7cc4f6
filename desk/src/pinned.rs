//! The connection that an open transaction is pinned to.

use std::rc;

use mangotray::id;

use crate::checkout;
use crate::group;

/// The connection of an open transaction, with the group and role of its instance.
pub struct Pinned {
    /// The pinned connection.
    pub checkout: checkout::Checkout,
    /// The instance's group.
    pub group: rc::Rc<group::Group>,
    /// Term of the primary, if the transaction runs on the primary; `None` on a replica.
    pub primary_term: Option<id::Term>,
}
