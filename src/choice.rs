//! Choice of the member of a group's serving set (the proxies that serve it) for a request.

use crate::endpoint;
use crate::id;

/// State of one member of the serving set. Members are listed in the set's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Circuit breaker state, from the results of recent attempts.
    pub health: endpoint::Health,
    /// Whether this member has already refused the request or left it unanswered.
    pub tried: bool,
}

/// The member that gets a request, and the members to probe at the same time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// Index of the chosen member. `None` when every untried member has an open circuit whose
    /// pause is not over, or when all members have been tried.
    pub member: Option<usize>,
    /// Indexes of the other members whose circuit is open and whose pause is over.
    pub probes: Vec<usize>,
}

impl Choice {
    /// Chooses the first untried member whose circuit is closed, or else the first untried
    /// member whose pause is over.
    ///
    /// The order of the set decides, so all proxies send a group's requests to the same member
    /// while it is healthy, and its small number of upstream connections is enough.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::{choice, endpoint};
    /// let healthy = endpoint::Health::default();
    /// let mut failing = healthy;
    /// failing.record_failure(Duration::ZERO, 0.0);
    /// let members = [failing, healthy].map(|health| choice::Member { health, tried: false });
    /// assert_eq!(choice::Choice::new(&members, Duration::ZERO).member, Some(1));
    /// ```
    #[must_use]
    pub fn new(members: &[Member], now: id::Time) -> Self {
        let untried = || {
            let all = members.iter().enumerate();
            all.filter(|(_, member)| !member.tried)
        };
        let due = |member: &Member| !member.health.circuit_closed() && member.health.retry_due(now);
        let healthy = untried().find(|(_, member)| member.health.circuit_closed());
        let chosen = healthy.or_else(|| untried().find(|(_, member)| due(member)));
        let member = chosen.map(|(index, _)| index);
        let probes = members.iter().enumerate();
        let probes = probes.filter(|(index, other)| due(other) && Some(*index) != member);
        Self {
            member,
            probes: probes.map(|(index, _)| index).collect(),
        }
    }
}

#[cfg(test)]
mod tests;
