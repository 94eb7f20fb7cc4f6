//! Steps between states, and helpers for the numbers in them.

use crate::state;

/// A step. Instances and promoters are given by index from 0, writes by number from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The initial state, before any step.
    Start,
    /// A primary runs a write and its answer arrives.
    Write { write: u8, index: u8 },
    /// A replica refuses a write, which is reported as not run.
    Refuse { write: u8, index: u8 },
    /// A primary runs a write, its answer is lost, and the proxy reports it as not run.
    WriteLost { write: u8, index: u8 },
    /// A message of a primary reaches another instance, which learns the term and takes at most
    /// one step to follow the log.
    Ship { from: u8, to: u8 },
    /// A replica's status confirms a write.
    Confirm { write: u8, index: u8 },
    /// The writer receives a status and keeps it for later.
    Keep { index: u8 },
    /// The kept status confirms a write.
    ConfirmKept { write: u8 },
    /// A promoter suspects the primary and claims a term, to replace a given instance or any.
    Claim {
        promoter: u8,
        term: u8,
        replaced_instance: Option<u8>,
    },
    /// A fencing call arrives; its answer is lost or no longer awaited.
    FenceLost { term: u8, index: u8 },
    /// A fencing call and its answer arrive.
    Fence { promoter: u8, index: u8 },
    /// A fencing call arrives; its answer is delayed.
    FenceSlow { promoter: u8, index: u8 },
    /// The delayed answer to a fencing call arrives.
    FenceArrives { promoter: u8 },
    /// A promoter's deadline passes.
    Timeout { promoter: u8 },
    /// A promotion call arrives; its answer is lost or no longer awaited.
    PromoteLost { term: u8, index: u8 },
    /// A promotion call and its answer arrive.
    Promote { promoter: u8 },
    /// An instance loses its log and its fence.
    Wipe { index: u8 },
    /// An instance restarts.
    Restart { index: u8 },
    /// A promoter is replaced by a new one without any state.
    Replace { promoter: u8 },
    /// The reading proxy probes an instance.
    Probe { index: u8 },
    /// The reading proxy probes an instance; the answer is delayed.
    ProbeSlow { index: u8 },
    /// The delayed answer to a probe arrives.
    ProbeArrives,
    /// The read arrives.
    Read,
}

/// Indices of the instances.
pub fn indices() -> impl Iterator<Item = u8> {
    (0..).take(state::INSTANCES)
}

/// All terms.
pub fn terms() -> impl Iterator<Item = u8> {
    (0..).take(state::TERMS)
}

/// Bit mask of a term or an index.
pub fn bit(number: u8) -> u8 {
    1 << number
}

/// Number, from 1, of the write at an index of `State::writes`.
pub fn write_number(slot: usize) -> u8 {
    to_u8(slot as u64 + 1)
}

/// Converts a number to the type that states use, which keeps them small.
pub fn to_u8(value: u64) -> u8 {
    u8::try_from(value).expect("numbers of the model fit in a byte")
}
