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

/// Why an order may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The permit has expired.
    Expired,
    /// This node no longer holds the lease that the permit was given under.
    LeaseEnded,
    /// The lease may end before the order arrives.
    LeaseTooShort,
}

impl Refusal {
    /// Value of the label `reason` in metrics.
    ///
    /// ```
    /// assert_eq!(mangotray_desk::permit::Refusal::Expired.label(), "expired");
    /// ```
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::LeaseEnded => "lease_ended",
            Self::LeaseTooShort => "lease_too_short",
        }
    }
}

/// The permission to send one order, given by the store together with the record of the promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Fencing token of the lease that was confirmed.
    pub fence: promote::Fence,
    asked_at: id::Time,
}

impl Permit {
    /// Creates a permit for the holder of `fence`, whose lease the store was asked to confirm at
    /// `asked`.
    #[must_use]
    pub fn new(fence: promote::Fence, asked: id::Time) -> Self {
        Self {
            fence,
            asked_at: asked,
        }
    }

    /// Whether an order may be sent at `now`, given the lease that this node holds then.
    #[must_use]
    pub fn allows(&self, lease: Option<&election::Lease>, now: id::Time) -> bool {
        self.check(lease, now).is_ok()
    }

    /// Checks whether an order may be sent at `now`, given the lease that this node holds then: the
    /// permit has not expired, and the order can no longer arrive when the lease ends.
    ///
    /// # Errors
    /// Returns why it may not.
    pub fn check(&self, lease: Option<&election::Lease>, now: id::Time) -> Result<(), Refusal> {
        let own = lease.filter(|lease| lease.fence == self.fence);
        let lease = own.ok_or(Refusal::LeaseEnded)?;
        if now >= self.asked_at + LIFETIME {
            return Err(Refusal::Expired);
        }
        if now + promote::DELIVERY_LIMIT > lease.until {
            return Err(Refusal::LeaseTooShort);
        }
        Ok(())
    }

    /// Time since the store was asked for this permit.
    #[must_use]
    pub fn age(&self, now: id::Time) -> time::Duration {
        now.saturating_sub(self.asked_at)
    }
}
