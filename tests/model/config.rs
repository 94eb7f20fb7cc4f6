//! Bounds of one search.

use crate::mutation;
use crate::state;

/// Something that a search may include besides the basic steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extra {
    /// Fencing answers may arrive late, one at a time for each promoter.
    SlowFences,
    /// The writer may confirm with a status of any age.
    StaleStatus,
    /// Writes may be refused as not run.
    Refusals,
    /// A proxy that serves reads.
    Reader,
    /// Answers to its probes may arrive late, one at a time.
    SlowProbes,
    /// Promoters may be replaced by ones that know nothing, any number of times.
    PromoterReplacement,
    /// Promoters may name an instance to be replaced.
    InstanceReplacement,
    /// Terms start without an empty record.
    NoFirstRecord,
}

/// When an instance that lost its log may count as a voter again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readmission {
    /// Once it holds a record of a term that was claimed after the loss.
    LaterTerm,
    /// Once it holds a whole log of a term that is not below the fence it had before.
    KeptFence,
}

/// What a search includes and when it stops.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Name for the report.
    pub name: &'static str,
    /// Number of writes.
    pub writes: u8,
    /// Term that each promoter has claimed in advance; 0 for none.
    pub reserved_terms: [u8; state::PROMOTERS],
    /// Promoters that may also claim from the store.
    pub claiming_promoters: usize,
    /// Highest term that the store gives out.
    pub max_term: u8,
    /// Instances that may lose their log.
    pub wipes: u8,
    /// When these count as voters again.
    pub readmission: Readmission,
    /// Restarts that may happen.
    pub restarts: u8,
    /// What else is included.
    pub extras: &'static [Extra],
    /// The broken rule, if any.
    pub mutation: Option<mutation::Mutation>,
    /// States after which the search gives up.
    pub max_states: usize,
}

impl Config {
    /// One write, two promoters with a term each, nothing else.
    pub const fn new(name: &'static str) -> Self {
        Self {
            name,
            writes: 1,
            reserved_terms: [2, 3],
            claiming_promoters: 0,
            max_term: 3,
            wipes: 0,
            readmission: Readmission::LaterTerm,
            restarts: 0,
            extras: &[],
            mutation: None,
            max_states: 3_000_000,
        }
    }

    /// Whether the given rule is the broken one.
    pub fn has_mutation(&self, mutation: mutation::Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Whether the search includes something.
    pub fn includes(&self, extra: Extra) -> bool {
        self.extras.contains(&extra)
    }
}
