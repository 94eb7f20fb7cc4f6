//! The permission to send one promotion order.
//!
//! An order names no time after which it is void, and the platform may not compare fencing tokens.
//! An order must therefore never arrive after its sender's lease has ended: another holder may have
//! promoted an instance by then, and a late order would replace it with one that lacks commits.

use std::time;

use mangotray::id;

use crate::election;
use crate::promote;

/// An order must be sent within this time after the store was asked to confirm the lease. The next
/// holder waits longer before its first order, even if the lease was revoked right after.
const LIFETIME: time::Duration = time::Duration::from_millis(350);

/// The permission to send one order, given by the store together with the record of the promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing token of the lease that was confirmed.
    pub fence: promote::Fence,
    expires_at: id::Time,
}

impl Permit {
    /// Creates a permit for the holder of `fence`, whose lease the store was asked to confirm at
    /// `asked`.
    #[must_use]
    pub fn new(fence: promote::Fence, asked: id::Time) -> Self {
        Self {
            fence,
            expires_at: asked + LIFETIME,
        }
    }

    /// Whether an order may be sent at `now`, given the lease that this node holds then: the permit
    /// has not expired, and the order can no longer arrive when the lease ends.
    #[must_use]
    pub fn allows(&self, lease: Option<&election::Lease>, now: id::Time) -> bool {
        let lasts = |lease: &election::Lease| {
            lease.fence == self.fence && now + promote::DELIVERY_LIMIT <= lease.until
        };
        now < self.expires_at && lease.is_some_and(lasts)
    }
}
