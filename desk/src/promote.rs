//! Client of the platform's call that makes an instance the primary of its group.

use std::time;

use compact_str::CompactString;
use futures_util::future;
use mangotray::id;

use crate::upstream;

/// Fencing token of a holder of the promoter's lease; a later holder has a higher one.
pub type Fence = u64;

/// Longest time after its sending for which an order can still arrive. The client resets the
/// connection by then, so that nothing of it is delivered later.
pub const DELIVERY_LIMIT: time::Duration = time::Duration::from_millis(800);

/// An order to promote an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The group.
    pub group: id::Group,
    /// The instance to be promoted.
    pub candidate: upstream::Id,
    /// The VM that sends the order.
    pub holder: id::Vm,
    /// Fencing token of the sender.
    pub fence: Fence,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Accepted; the instance becomes the primary some hundred milliseconds later.
    Accepted,
    /// Not carried out, now or later.
    Refused(CompactString),
    /// It may be carried out, now or later.
    Unknown(CompactString),
}

/// Promotes instances.
pub trait Client {
    /// Orders a promotion, on a new connection. `may_send` is asked right before the order is sent;
    /// if it returns `false`, the order is refused.
    fn promote<'a>(
        &'a self,
        order: &'a Order,
        may_send: &'a dyn Fn() -> bool,
    ) -> future::LocalBoxFuture<'a, Outcome>;
}
