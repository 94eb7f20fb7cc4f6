//! Seats of a serving set: the fixed parts that an instance's limits are cut into.
//!
//! A group has as many seats as `placement::count` says, whoever is alive, and a seat has
//! at most one user. So the sum over all VMs never exceeds an instance's limits, however
//! their views of each other differ.

use compact_str::CompactString;

use crate::id;
use crate::store;

/// Number of a seat in its group, from zero.
pub type Index = usize;

/// A seat with its owner, as stored.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Seat {
    /// Number of the seat.
    pub seat: Index,
    /// Owner.
    pub vm: id::Vm,
    /// The owner's process; its successor on the same VM is another owner.
    pub incarnation: id::Incarnation,
    /// The owner's lease; the seat is the owner's for as long as it lives.
    pub lease: store::Lease,
    /// VMs whose contact with the store decides during an outage.
    pub witnesses: Vec<id::Vm>,
}

/// What a seat gives its user at each instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Part {
    /// Connections in all.
    pub connections: usize,
    /// How many of these are kept for control calls.
    pub control: usize,
    /// Statements at once.
    pub slots: usize,
}

/// Key of a group's seats at the store.
///
/// ```
/// assert_eq!(mangotray::seat::key("dome-sched-1"), "group/dome-sched-1/seats");
/// ```
#[must_use]
pub fn key(group: &str) -> CompactString {
    compact_str::format_compact!("group/{group}/seats")
}

/// The seats as stored; an absent value means that all are vacant.
///
/// # Errors
///
/// Fails when the value is not a list of seats.
///
/// ```
/// assert!(mangotray::seat::decode(b"[]").unwrap().is_empty());
/// assert!(mangotray::seat::decode(b"?").is_err());
/// ```
pub fn decode(value: &[u8]) -> eyre::Result<Vec<Seat>> {
    Ok(serde_json::from_slice(value)?)
}

/// The value to store for these seats.
///
/// # Errors
///
/// Fails only when memory runs out while writing.
///
/// ```
/// assert_eq!(mangotray::seat::encode(&[]).unwrap(), "[]");
/// ```
pub fn encode(seats: &[Seat]) -> eyre::Result<bytes::Bytes> {
    Ok(serde_json::to_vec(seats)?.into())
}

/// Part of an instance's limits that goes with a seat; remainders go to the lower seats.
///
/// ```
/// use mangotray::seat;
/// let part = seat::part(20, 3, 3, 0);
/// assert_eq!((part.connections, part.control, part.slots), (7, 1, 1));
/// assert_eq!(seat::part(20, 3, 3, 2).connections, 6);
/// ```
#[must_use]
pub fn part(connections: usize, slots: usize, seats: usize, seat: Index) -> Part {
    let share = |limit: usize| limit / seats + usize::from(seat < limit % seats);
    let connections = share(connections);
    Part {
        connections,
        control: connections.saturating_sub(1).min(1),
        slots: share(slots),
    }
}

#[cfg(test)]
mod tests;
