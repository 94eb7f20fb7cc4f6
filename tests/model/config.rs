//! Scope and bounds of a search.

use crate::mutation;
use crate::state;

/// An optional kind of step or condition of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extra {
    /// Fencing answers may be delayed, at most one for each promoter at a time.
    SlowFences,
    /// A status of any age may confirm a write.
    StaleStatus,
    /// Writes may be refused as not run.
    Refusals,
    /// A proxy that serves reads.
    Reader,
    /// Answers to the probes of that proxy may be delayed, at most one at a time.
    SlowProbes,
    /// A promoter may be replaced by a new one without any state, any number of times.
    PromoterReplacement,
    /// A promoter may claim a term to replace a given instance.
    InstanceReplacement,
    /// A primary does not start its term with an empty record.
    NoFirstRecord,
}

/// When an instance that lost its log counts as a voter again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readmission {
    /// When it holds a record of a term that was claimed after the loss.
    LaterTerm,
    /// When it holds the whole log of a primary whose term is at least its fence before the loss.
    KeptFence,
}

/// Scope and bounds of one search.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Name in the report.
    pub name: &'static str,
    /// Number of writes.
    pub writes: u8,
    /// Term that each promoter has claimed before the search starts; 0 for none.
    pub reserved_terms: [u8; state::PROMOTERS],
    /// Number of promoters that may also claim terms from the store.
    pub claiming_promoters: usize,
    /// Highest term that the store grants.
    pub max_term: u8,
    /// Maximum number of log losses.
    pub wipes: u8,
    /// When an instance that lost its log counts as a voter again.
    pub readmission: Readmission,
    /// Maximum number of restarts.
    pub restarts: u8,
    /// Optional kinds of steps.
    pub extras: &'static [Extra],
    /// Deliberately broken rule, if any.
    pub mutation: Option<mutation::Mutation>,
    /// Number of states after which the search stops without having exhausted the space.
    pub max_states: usize,
}

impl Config {
    /// One write and two promoters with a reserved term each, without faults or extras.
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

    /// Whether the search breaks this rule.
    pub fn has_mutation(&self, mutation: mutation::Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Whether the search includes this kind of step.
    pub fn includes(&self, extra: Extra) -> bool {
        self.extras.contains(&extra)
    }
}
