//! Which nodes hold the connections to an instance.
//!
//! Where an instance takes enough connections, every node has its own. Where the fleet is
//! larger than that, a few nodes in the instance's failure domain hold them all and serve
//! the others; a change of the fleet moves few instances.

use std::hash;
use std::hash::Hash;
use std::hash::Hasher;

use mangotray::id;

use crate::member;
use crate::upstream;

/// Part of an instance's connections that is used; the rest is for those of nodes that
/// died, which an instance drops only after some seconds, and for the promoter.
const USABLE_PERCENT: usize = 75;

/// The same where connections belong to one organisation each: after a loss of power the new ones need
/// as much room as the old ones take.
const PER_ORGANISATION_PERCENT: usize = 50;

/// Connections for each node below which a node is better served by another. After a loss
/// of power an instance keeps the old connections for three seconds while every node opens
/// a new one: with fewer than two for each, the fleet would lock itself out.
const MIN_DIRECT_CONNECTIONS: usize = 2;

/// Connections of a serving node, where the instance takes so many; more would only lie idle
/// and linger after a loss. As few nodes as that allows serve an instance: what waits for it
/// waits in one order, where the urgent go first, and not in one for each serving node and
/// then in the instance's own queue.
const MAX_CONNECTIONS_PER_NODE: usize = 12;

/// Serving nodes where the instance takes many connections. One that is lost or paused
/// takes a fifth of the instance's work with it for a moment.
const MAX_SERVING_NODES: usize = 5;

/// How an instance is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Every node has its own connections.
    Direct,
    /// This many nodes hold this many connections each.
    Shared {
        /// Serving nodes.
        nodes: usize,
        /// Connections of each.
        each: usize,
    },
}

/// How an instance that takes `connections` is reached from a fleet of `nodes` that serves so many
/// `organisations`.
///
/// ```
/// use mangotray_desk::serving;
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
        // Each serves one organisation only, so that no number is enough and all would lie open.
        connections * PER_ORGANISATION_PERCENT / 100 / serving
    } else {
        clamp(used / serving, 1, MAX_CONNECTIONS_PER_NODE)
    };
    Mode::Shared {
        nodes: serving,
        each: clamp(each, 1, connections),
    }
}

/// Statements that one serving node lets an instance of so many slots work on at once.
///
/// One more than the slots: the next statement is there when one is done. The instance serves its
/// own queue in order of arrival, so that with five, the bids that are due in 120 ms waited for
/// 70 ms behind reports. Serving nodes may be cut off, so that each alone keeps the slots full.
///
/// ```
/// use mangotray_desk::serving;
/// assert_eq!(serving::concurrency(3, 12), 4);
/// assert_eq!(serving::concurrency(0, 12), 2);
/// assert_eq!(serving::concurrency(8, 6), 6);
/// ```
#[must_use]
pub const fn concurrency(slots: usize, each: usize) -> usize {
    clamp(slots + 1, 2, each)
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

/// The members in the order in which they serve an instance: those of its failure domain
/// first, and among them an order that depends on both names.
///
/// ```
/// use mangotray_desk::{member, serving};
/// let member = |name: &str, domain: &str| member::Member {
///     name: name.into(),
///     domain: domain.into(),
///     address: "127.0.0.1:1".parse().unwrap(),
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
    let mut order: Vec<_> = members.iter().collect();
    order.sort_by_cached_key(|member| (member.domain != *domain, rank(member, instance)));
    order
}

/// The members in an order that depends on their names and on a word, the same on all nodes.
///
/// ```
/// use mangotray_desk::{member, serving};
/// let member = |name: &str| member::Member {
///     name: name.into(),
///     domain: "here".into(),
///     address: "127.0.0.1:1".parse().unwrap(),
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

/// How much a name and a word belong together; the same on all nodes.
#[must_use]
pub fn affinity(name: &str, key: &str) -> u64 {
    // Keys are fixed, so that all nodes compute the same order.
    let mut hasher = hash::DefaultHasher::new();
    (name, key).hash(&mut hasher);
    hasher.finish()
}
