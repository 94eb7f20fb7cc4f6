//! Decision which member of a serving set gets a session.

use crate::endpoint;
use crate::id;

/// What is known of one member of the serving set, in the set's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// What its last attempts showed.
    pub health: endpoint::Health,
    /// Whether this request was already refused or left unanswered there.
    pub tried: bool,
}

/// Where a request goes, and which members are worth a fresh attempt beside it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// Index of the chosen member; `None` when no untried one may be reached.
    pub member: Option<usize>,
    /// Members whose circuit is open and whose pause is over.
    pub probes: Vec<usize>,
}

impl Choice {
    /// Chooses the first healthy member not yet tried, else the first whose pause is
    /// over. The order of the set is kept, so all proxies lead a group's work to the
    /// same member while it is well, and its few upstream connections suffice.
    ///
    /// ```
    /// use std::time::Duration;
    /// use mangotray::{choice, endpoint};
    /// let healthy = endpoint::Health::default();
    /// let mut failing = healthy;
    /// failing.fail(Duration::ZERO, 0.0);
    /// let members = [failing, healthy].map(|health| choice::Member { health, tried: false });
    /// assert_eq!(choice::Choice::new(&members, Duration::ZERO).member, Some(1));
    /// ```
    #[must_use]
    pub fn new(members: &[Member], now: id::Time) -> Self {
        let untried = || {
            let all = members.iter().enumerate();
            all.filter(|(_, member)| !member.tried)
        };
        let due = |member: &Member| !member.health.closed() && member.health.due(now);
        let healthy = untried().find(|(_, member)| member.health.closed());
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
