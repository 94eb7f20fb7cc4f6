//! Steps between states, and the numbers that they name things by.

use crate::state;

/// What happens. Instances and promoters go by index, writes by number from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The beginning.
    Start,
    /// A primary runs a write and its answer arrives.
    Write { write: u8, index: u8 },
    /// A replica refuses a write, which is reported as not run.
    Refuse { write: u8, index: u8 },
    /// A primary runs a write, its answer is lost, and the proxy reports it as not run.
    WriteLost { write: u8, index: u8 },
    /// One record, or the news of the term, reaches another instance.
    Ship { from: u8, to: u8 },
    /// A replica's status confirms a write.
    Confirm { write: u8, index: u8 },
    /// The writer receives a status that it will use later.
    Keep { index: u8 },
    /// The status received earlier confirms a write.
    ConfirmKept { write: u8 },
    /// A promoter suspects the primary and claims a term, to replace a given instance or any.
    Claim {
        promoter: u8,
        term: u8,
        replaced_instance: Option<u8>,
    },
    /// A fencing call arrives; its answer is lost or not awaited any more.
    FenceLost { term: u8, index: u8 },
    /// A fencing call arrives and so does its answer.
    Fence { promoter: u8, index: u8 },
    /// A fencing call arrives; its answer stays on its way.
    FenceSlow { promoter: u8, index: u8 },
    /// The answer on its way arrives.
    FenceArrives { promoter: u8 },
    /// A promoter's deadline passes.
    Timeout { promoter: u8 },
    /// A promotion call arrives; its answer is lost or not awaited any more.
    PromoteLost { term: u8, index: u8 },
    /// A promotion call arrives and so does its answer.
    Promote { promoter: u8 },
    /// An instance loses its log and all it knew.
    Wipe { index: u8 },
    /// An instance restarts.
    Restart { index: u8 },
    /// A promoter is replaced by one that knows nothing.
    Replace { promoter: u8 },
    /// The reading proxy probes an instance.
    Probe { index: u8 },
    /// The reading proxy probes an instance; the answer stays on its way.
    ProbeSlow { index: u8 },
    /// The answer on its way arrives.
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

/// The bit of a term or an index.
pub fn bit(number: u8) -> u8 {
    1 << number
}

/// Number of the write in a slot.
pub fn write_number(slot: usize) -> u8 {
    to_u8(slot as u64 + 1)
}

/// A number in the size that states use.
pub fn to_u8(value: u64) -> u8 {
    u8::try_from(value).expect("the model counts in bytes")
}
