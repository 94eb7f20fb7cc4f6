//! Seats of a group: fixed shares of an instance's connection and statement limits.
//!
//! The number of seats is given by `placement::serving_count` and does not depend on which VMs are
//! live, and a seat has at most one user. The total use by all VMs therefore never exceeds an
//! instance's limits, even when the VMs disagree on the membership.

use compact_str::CompactString;

use crate::id;
use crate::store;

/// Zero-based number of a seat within its group.
pub type Index = usize;

/// A seat and its owner, as stored.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Seat {
    /// Number of the seat within its group.
    pub seat: Index,
    /// VM that owns the seat.
    pub vm: id::Vm,
    /// Incarnation of the owning process; a restarted process on the same VM is a new owner.
    pub incarnation: id::Incarnation,
    /// The owner's lease; no other VM may claim the seat while the lease is valid.
    pub lease: store::Lease,
    /// VMs whose contact with the store decides whether the seat stays usable in an outage.
    pub witnesses: Vec<id::Vm>,
}

/// Limits that a seat grants its user at each instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Maximum number of connections, including those for control calls.
    pub connections: usize,
    /// Number of these connections that are reserved for control calls.
    pub control: usize,
    /// Maximum number of concurrent statements.
    pub slots: usize,
}

/// Key of a group's seats in the store.
///
/// ```
/// assert_eq!(mangotray::seat::key("dome-sched-1"), "group/dome-sched-1/seats");
/// ```
#[must_use]
pub fn key(group: &str) -> CompactString {
    compact_str::format_compact!("group/{group}/seats")
}

/// Decodes a stored list of seats. Seats that are not listed are vacant, and so are all seats
/// if there is no stored value.
///
/// # Errors
///
/// Fails if the value is not a JSON list of seats.
///
/// ```
/// assert!(mangotray::seat::decode(b"[]").unwrap().is_empty());
/// assert!(mangotray::seat::decode(b"?").is_err());
/// ```
pub fn decode(value: &[u8]) -> eyre::Result<Vec<Seat>> {
    Ok(serde_json::from_slice(value)?)
}

/// Encodes a list of seats as JSON for the store.
///
/// # Errors
///
/// Fails only if memory runs out during serialisation.
///
/// ```
/// assert_eq!(mangotray::seat::encode(&[]).unwrap(), "[]");
/// ```
pub fn encode(seats: &[Seat]) -> eyre::Result<bytes::Bytes> {
    Ok(serde_json::to_vec(seats)?.into())
}

/// Share of an instance's limits that belongs to a seat; remainders go to the seats with the
/// lowest numbers.
///
/// ```
/// use mangotray::seat;
/// let part = seat::limits(20, 3, 3, 0);
/// assert_eq!((part.connections, part.control, part.slots), (7, 1, 1));
/// assert_eq!(seat::limits(20, 3, 3, 2).connections, 6);
/// ```
#[must_use]
pub fn limits(connections: usize, slots: usize, seats: usize, seat: Index) -> Limits {
    let share = |limit: usize| limit / seats + usize::from(seat < limit % seats);
    let connections = share(connections);
    Limits {
        connections,
        control: connections.saturating_sub(1).min(1),
        slots: share(slots),
    }
}

#[cfg(test)]
mod tests;
