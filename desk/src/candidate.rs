//! Cost estimate by which the instances of a group are ranked for a read.

use std::time;

/// Time to execute one read, in microseconds.
const READ_COST: u64 = 20_000;

/// Cost of a round trip to another failure domain and of the bytes sent, in microseconds.
const CROSS_DOMAIN_COST: u64 = 8_000;

/// Cost of opening a connection when the organisation's connections are at another instance, in
/// microseconds. It is below the 12 ms that an opening occupies a slot, as not every read needs
/// one.
const CONNECT_COST: u64 = 10_000;

/// Extra cost of a read at the primary, in microseconds. Its slots are needed for writes, which
/// cannot go elsewhere.
const PRIMARY_COST: u64 = 10_000;

/// Extra cost of an instance that is tried only if no other is left, in microseconds. It exceeds
/// the cost of any queue.
const LAST_RESORT_COST: u64 = 10_000_000;

/// Health of an instance with regard to reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// No recent failure is known.
    #[default]
    Healthy,
    /// It recently refused a read for being behind, or is leaving.
    Degraded,
    /// It recently failed to accept a connection.
    Down,
}

/// An instance that may serve a read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// Connections of this node to it that are in use, plus requests that wait for one.
    pub load: usize,
    /// Smoothed round-trip time of an exchange with it.
    pub delay: time::Duration,
    /// It is in another failure domain.
    pub cross_domain: bool,
    /// It is the primary.
    pub leads: bool,
    /// The organisation's reads usually go to another instance.
    pub other_preferred: bool,
    /// Whether it is likely to serve a read at all.
    pub health: Health,
}

impl Candidate {
    /// Expected cost of a read at this instance, in microseconds of waiting.
    ///
    /// ```
    /// use mangotray_desk::candidate;
    /// let near = candidate::Candidate::default();
    /// let cross_domain = candidate::Candidate { cross_domain: true, ..near };
    /// let busy = candidate::Candidate { load: 1, ..near };
    /// let health = candidate::Health::Degraded;
    /// let behind = candidate::Candidate { health, ..near };
    /// assert!(near.cost() < cross_domain.cost() && cross_domain.cost() < busy.cost());
    /// assert!(busy.cost() < behind.cost());
    /// ```
    #[must_use]
    pub fn cost(&self) -> u64 {
        let delay = u64::try_from(self.delay.as_micros()).unwrap_or(u64::MAX) / 2;
        let load = u64::try_from(self.load).unwrap_or(u64::MAX);
        load.saturating_mul(READ_COST)
            + delay
            + u64::from(self.cross_domain) * CROSS_DOMAIN_COST
            + u64::from(self.leads) * PRIMARY_COST
            + u64::from(self.other_preferred) * CONNECT_COST
            + match self.health {
                Health::Healthy => 0,
                Health::Degraded => LAST_RESORT_COST,
                Health::Down => 2 * LAST_RESORT_COST,
            }
    }
}
