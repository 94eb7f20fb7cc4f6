//! Cost estimate by which the instances of a group are ranked for a read.

use std::time;

use crate::load::choice;
use crate::load::forecast;

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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
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
    /// Time of an exchange with it, if a lending node has reported it lately.
    pub exchange: Option<time::Duration>,
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
            + self.fixed_cost()
            + match self.health {
                Health::Healthy => 0,
                Health::Degraded => LAST_RESORT_COST,
                Health::Down => 2 * LAST_RESORT_COST,
            }
    }

    // Cost besides waiting and running, in microseconds.
    fn fixed_cost(&self) -> u64 {
        u64::from(self.cross_domain) * CROSS_DOMAIN_COST
            + u64::from(self.leads) * PRIMARY_COST
            + u64::from(self.other_preferred) * CONNECT_COST
    }

    /// What the instance offers a read of this priority that has to start within `within`, by the
    /// forecast for it if there is one.
    ///
    /// Without a forecast, the time of an exchange that was reported lately counts, but no past
    /// delay: an instance that was avoided for being slow would never be tried again.
    ///
    /// ```
    /// use mangotray_desk::candidate;
    /// use mangotray_desk::load::{forecast, report};
    /// use std::time::Duration;
    /// let millis = Duration::from_millis;
    /// let candidate = candidate::Candidate { load: 1, ..candidate::Candidate::default() };
    /// assert_eq!(candidate.offer(None, 0, millis(100)).expected, millis(40));
    /// let report = report::Report { waits_ms: [0, 0, 150], exchange_ms: 30, limit: 5 };
    /// let forecast = forecast::Forecast { report, age: millis(0), added: 0 };
    /// assert_eq!(candidate.offer(Some(&forecast), 0, millis(100)).expected, millis(30));
    /// assert!(candidate.offer(Some(&forecast), 2, millis(100)).late);
    /// ```
    #[must_use]
    pub fn offer(
        &self,
        forecast: Option<&forecast::Forecast>,
        priority: u8,
        within: time::Duration,
    ) -> choice::Offer {
        let statements = u32::try_from(self.load)
            .unwrap_or(u32::MAX)
            .saturating_add(1);
        let exchange = self
            .exchange
            .unwrap_or(time::Duration::from_micros(READ_COST));
        let usual = exchange.saturating_mul(statements);
        choice::Offer {
            fixed: time::Duration::from_micros(self.fixed_cost()),
            expected: forecast.map_or(usual, |forecast| forecast.blend(priority, usual)),
            late: forecast.is_some_and(|forecast| forecast.least_wait(priority) > within),
        }
    }
}
