//! Border to the call that makes an instance the primary of its group.

use compact_str::CompactString;
use futures_util::future;
use mangotray::id;

use crate::upstream;

/// Number that orders the holders of the promoter's seat; a later holder has a higher one.
pub type Fence = u64;

/// One promotion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The group.
    pub group: id::Group,
    /// The instance that is to lead.
    pub candidate: upstream::Id,
    /// Who orders it.
    pub holder: id::Vm,
    /// The holder's number.
    pub fence: Fence,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Accepted; the instance leads some hundred milliseconds later.
    Accepted,
    /// Not carried out, now or later.
    Refused(CompactString),
    /// It may be carried out, also later.
    Unknown(CompactString),
}

/// Makes instances primaries.
pub trait Client {
    /// Orders a promotion.
    fn promote<'a>(&'a self, order: &'a Order) -> future::LocalBoxFuture<'a, Outcome>;
}
