//! The connection of an open transaction.

use std::rc;

use mangotray::id;

use crate::group;
use crate::lent;

/// The connection of an open transaction, and what it is connected to.
pub struct Pinned {
    /// The connection.
    pub lent: lent::Lent,
    /// Group of the instance.
    pub group: rc::Rc<group::Group>,
    /// Term of the primary that it runs on; none on a replica.
    pub primary_term: Option<id::Term>,
}
