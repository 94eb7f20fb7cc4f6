//! How well an instance would serve a read now.

use std::time;

/// A read's work, in microseconds.
const READ_COST: u64 = 20_000;

/// Way there and back between failure domains, and the price of the bytes.
const CROSS_DOMAIN_COST: u64 = 8_000;

/// Opening a connection, where an organisation's connections are at another instance: 12 ms of a
/// slot, which are not always spent.
const CONNECT_COST: u64 = 10_000;

/// The primary's slots are wanted by writes, which have nowhere else to go.
const PRIMARY_COST: u64 = 10_000;

/// More than any queue: tried only when nothing else is left.
const LAST_RESORT_COST: u64 = 10_000_000;

/// How likely an instance is to serve a read at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Nothing speaks against it.
    #[default]
    Healthy,
    /// It refused a read for being behind a moment ago, or is leaving.
    Degraded,
    /// It did not take a connection a moment ago.
    Down,
}

/// What is known of an instance that may serve a read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidate {
    /// This node's connections to it that are in use, and requests that wait for one.
    pub load: usize,
    /// Smoothed time of an exchange with it.
    pub delay: time::Duration,
    /// It is in another failure domain.
    pub cross_domain: bool,
    /// It is the primary.
    pub leads: bool,
    /// The organisation's reads go to another instance as a rule.
    pub other_preferred: bool,
    /// Whether it is likely to serve at all.
    pub health: Health,
}

impl Candidate {
    /// Expected cost of a read there, in microseconds of waiting.
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
