//! Which nodes hold the connections to an instance.
//!
//! If an instance accepts enough connections, every node has its own. In a larger fleet, a few
//! serving nodes in the instance's failure domain hold all connections and lend them to the other
//! nodes. Serving nodes are chosen by rendezvous hashing, so a change of the fleet reassigns few
//! instances. Where members tell their capacity, it weights their chance to serve: otherwise nodes
//! with an eighth of a core would relay as many statements as those with half a core.

use std::hash;
use std::hash::Hash;
use std::hash::Hasher;

use mangotray::id;

use crate::member;
use crate::upstream;

/// Percentage of an instance's connections that is used. The rest is reserved for the promoter and
/// for connections of nodes that failed, which an instance drops only after some seconds.
const USABLE_PERCENT: usize = 75;

/// Percentage used where each connection belongs to one organisation: after a power loss, the new
/// connections need as much room as the old ones still occupy.
const PER_ORGANISATION_PERCENT: usize = 50;

/// Minimum number of connections per node for direct connections. After a power loss, an instance
/// keeps the old connections for three seconds while every node opens a new one: with fewer than
/// two per node, the fleet would lock itself out.
const MIN_DIRECT_CONNECTIONS: usize = 2;

/// Maximum number of connections of a serving node; more would stay idle, and linger after a loss.
/// As few nodes as this allows serve an instance, so that statements wait in one queue ordered by
/// urgency, instead of one queue per serving node followed by the instance's own.
const MAX_CONNECTIONS_PER_NODE: usize = 12;

/// Maximum number of serving nodes, for instances that accept many connections. With five, a node
/// that is lost or paused interrupts a fifth of the instance's work for a moment.
const MAX_SERVING_NODES: usize = 5;

/// How nodes connect to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Every node has its own connections.
    Direct,
    /// Serving nodes hold the connections and lend them to the others.
    Shared {
        /// Number of serving nodes.
        nodes: usize,
        /// Number of connections of each.
        each: usize,
    },
}

/// How a fleet of `nodes`, which serves so many `organisations`, connects to an instance that
/// accepts so many `connections`.
///
/// ```
/// use mangotray_desk::lending::serving;
/// assert_eq!(serving::mode(23, 8, 0), serving::Mode::Direct);
/// assert_eq!(serving::mode(16, 8, 0), serving::Mode::Shared { nodes: 1, each: 12 });
/// assert_eq!(serving::mode(34, 71, 0), serving::Mode::Shared { nodes: 2, each: 12 });
/// assert_eq!(serving::mode(185, 87, 0), serving::Mode::Shared { nodes: 5, each: 12 });
/// assert_eq!(serving::mode(47, 84, 84), serving::Mode::Shared { nodes: 2, each: 11 });
/// ```
#[must_use]
pub const fn mode(connections: usize, nodes: usize, organisations: usize) -> Mode {
    let used = connections * USABLE_PERCENT / 100;
    if connections == 0 || used >= nodes * MIN_DIRECT_CONNECTIONS {
        return Mode::Direct;
    }
    let serving = clamp(used / MAX_CONNECTIONS_PER_NODE, 1, MAX_SERVING_NODES);
    let each = if organisations > 1 {
        // Each connection serves one organisation, so no maximum per node suffices, and all would
        // stay open.
        connections * PER_ORGANISATION_PERCENT / 100 / serving
    } else {
        clamp(used / serving, 1, MAX_CONNECTIONS_PER_NODE)
    };
    Mode::Shared {
        nodes: serving,
        each: clamp(each, 1, connections),
    }
}

/// Maximum number of statements that one serving node has in execution at an instance with so many
/// `slots`.
///
/// One more than the slots, so that the next statement is there when one completes. The instance
/// serves its own queue in order of arrival: with a limit of five, bids due within 120 ms waited 70
/// ms behind reports. Each serving node alone keeps the slots full, as the others may be cut off.
///
/// ```
/// use mangotray_desk::lending::serving;
/// assert_eq!(serving::concurrency(3, 12), 4);
/// assert_eq!(serving::concurrency(0, 12), 2);
/// assert_eq!(serving::concurrency(8, 6), 6);
/// assert_eq!(serving::concurrency(usize::MAX, 6), 6);
/// ```
#[must_use]
pub const fn concurrency(slots: usize, each: usize) -> usize {
    clamp(slots.saturating_add(1), 2, each)
}

const fn clamp(value: usize, least: usize, most: usize) -> usize {
    if value < least {
        least
    } else if value > most {
        most
    } else {
        value
    }
}

/// The members in the order in which they serve an instance: those in its failure domain first,
/// then by a hash of member and instance, weighted by capacity where members tell it.
///
/// ```
/// use mangotray_desk::{member, lending::serving};
/// let member = |name: &str, domain: &str| member::Member {
///     name: name.into(),
///     domain: domain.into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     protocol: 0,
///     capacity: None,
/// };
/// let members = [member("a", "far"), member("b", "near")];
/// let order = serving::order(&members, &"i-1".into(), &"near".into());
/// assert_eq!(order[0].name, "b");
/// ```
#[must_use]
pub fn order<'a>(
    members: &'a [member::Member],
    instance: &upstream::Id,
    domain: &id::Domain,
) -> Vec<&'a member::Member> {
    let positions = positions(members, instance, domain).into_iter();
    positions.map(|position| &members[position]).collect()
}

/// Positions of the members in the list, in the order in which they serve an instance, as
/// [`order`] tells.
#[must_use]
pub fn positions(
    members: &[member::Member],
    instance: &upstream::Id,
    domain: &id::Domain,
) -> Vec<usize> {
    let smallest = smallest_capacity(members);
    let mut order: Vec<_> = (0..members.len()).collect();
    order.sort_by_cached_key(|position| {
        let member = &members[*position];
        let rank = rank(member, instance);
        let score = smallest.map(|smallest| weighted(rank, weight(member, smallest)));
        (member.domain != *domain, score, rank)
    });
    order
}

// `None` if no member tells its capacity.
fn smallest_capacity(members: &[member::Member]) -> Option<u32> {
    members.iter().filter_map(|member| member.capacity).min()
}

// A member that does not tell its capacity, such as a node of an earlier build, counts as one of the
// smallest.
fn weight(member: &member::Member, smallest: u32) -> u32 {
    member.capacity.unwrap_or(smallest).max(1)
}

/// Position of a member with this hash and weight in weighted rendezvous hashing; the lowest comes
/// first. With equal weights the order is that of the hashes.
///
/// The chance to come first is proportional to the weight, and a change of one member's weight
/// changes no other member's position.
///
/// ```
/// use mangotray_desk::lending::serving;
/// assert!(serving::weighted(1 << 60, 100) < serving::weighted(1 << 61, 100));
/// assert!(serving::weighted(1 << 61, 400) < serving::weighted(1 << 60, 100));
/// ```
#[must_use]
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)] // Hashes need not be exact, and the result is between 0 and 2^53.
pub fn weighted(hash: u64, weight: u32) -> u64 {
    /// Largest value of the logarithm below, for the largest hash.
    const MAX_LOG: f64 = 45.0;
    let fraction = hash as f64 / 2.0_f64.powi(64);
    let log = (-(-fraction).ln_1p()).min(MAX_LOG);
    (log / f64::from(weight) / MAX_LOG * 2.0_f64.powi(53)) as u64
}

/// The members ordered by a hash of their name and `key`; the same on all nodes.
///
/// ```
/// use mangotray_desk::{member, lending::serving};
/// let member = |name: &str| member::Member {
///     name: name.into(),
///     domain: "here".into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     protocol: 0,
///     capacity: None,
/// };
/// let (one, other) = ([member("a"), member("b")], [member("b"), member("a")]);
/// let first = |members: &[member::Member]| serving::ranked(members, "dome")[0].name.clone();
/// assert_eq!(first(&one), first(&other));
/// ```
#[must_use]
pub fn ranked<'a>(members: &'a [member::Member], key: &str) -> Vec<&'a member::Member> {
    let mut order: Vec<_> = members.iter().collect();
    order.sort_by_cached_key(|member| rank(member, key));
    order
}

fn rank(member: &member::Member, key: &str) -> u64 {
    affinity(&member.name, key)
}

/// Rendezvous hash of a name and a key; the same on all nodes.
#[must_use]
pub fn affinity(name: &str, key: &str) -> u64 {
    // The hasher's keys are fixed, so that all nodes compute the same order.
    let mut hasher = hash::DefaultHasher::new();
    (name, key).hash(&mut hasher);
    hasher.finish()
}
