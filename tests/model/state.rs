//! State of the whole model.

use mangotray::stamp;

use crate::config;
use crate::instance;
use crate::rules;

/// Instances of the group.
pub const INSTANCES: usize = 3;

/// Proxies that may promote.
pub const PROMOTERS: usize = 2;

/// Most writes of any configuration.
pub const WRITES: usize = 3;

/// Terms of any configuration, counted from 0, which is none.
pub const TERMS: usize = 6;

/// What the writer knows of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Write {
    /// Not yet sent.
    New,
    /// Reported as not run.
    NotRun,
    /// Answered by the primary, not yet confirmed; unknown if it stays so.
    Answered(Place),
    /// Confirmed to the caller.
    Confirmed(Place),
}

/// Where a primary put a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    /// Term of the record.
    pub term: u8,
    /// Position of the record.
    pub position: u8,
    /// The primary.
    pub primary: u8,
}

impl Place {
    /// The token that the caller is given.
    pub fn stamp(self) -> stamp::Stamp {
        stamp::Stamp::new(self.term.into(), self.position.into())
    }
}

/// A kept answer of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// The instance.
    pub index: u8,
    /// What it answered.
    pub view: instance::View,
    /// Time the probe started, see `Reader`.
    pub started: u8,
}

/// What the reading proxy last saw of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sample {
    /// What the instance answered.
    pub view: instance::View,
    /// Time the probe started.
    pub started: u8,
    /// Time the answer arrived.
    pub finished: u8,
}

/// A proxy that serves reads. Its clock shows 0 before the read arrives and 1 after.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Reader {
    /// Its board.
    pub samples: [Option<Sample>; INSTANCES],
    /// A probe's answer that is still on its way.
    pub late_answer: Option<Answer>,
    /// Whether the read has arrived.
    pub read_arrived: bool,
    /// Writes confirmed before it arrived, one bit each.
    pub required_writes: u8,
}

/// Everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The instances.
    pub instances: [instance::Instance; INSTANCES],
    /// Promotion machine of each promoter, as a number known to `rules::Rules`.
    pub machines: [rules::Handle; PROMOTERS],
    /// A fencing call's answer that is still on its way, by promoter.
    pub late_answers: [Option<Answer>; PROMOTERS],
    /// Term that each promoter has claimed in advance; 0 for none.
    pub reserved_terms: [u8; PROMOTERS],
    /// Highest term claimed from the store.
    pub highest_claimed_term: u8,
    /// Terms whose fencing calls were sent, one bit each; a call may arrive at any time and twice.
    pub fencing_terms: u8,
    /// By term, the instances that a promotion call was sent to, one bit each.
    pub promotion_targets: [u8; TERMS],
    /// By term, the instances that have led it, one bit each.
    pub primaries_by_term: [u8; TERMS],
    /// The writes.
    pub writes: [Write; WRITES],
    /// A status that the writer holds, of any age.
    pub kept_status: Option<Answer>,
    /// The reading proxy.
    pub reader: Reader,
    /// Instances that may still lose their log.
    pub remaining_wipes: u8,
    /// Restarts that may still happen.
    pub remaining_restarts: u8,
}

impl State {
    /// The first state: instance 0 leads term 1.
    pub fn new(config: &config::Config, rules: &rules::Rules) -> Self {
        let mut primaries_by_term = [0; TERMS];
        primaries_by_term[1] = 1;
        Self {
            instances: [0, 1, 2].map(|index| instance::Instance::new(index == 0)),
            machines: [rules.new_machine(); PROMOTERS],
            late_answers: [None; PROMOTERS],
            reserved_terms: config.reserved_terms,
            highest_claimed_term: config.reserved_terms.into_iter().max().unwrap_or(0).max(1),
            fencing_terms: 0,
            promotion_targets: [0; TERMS],
            primaries_by_term,
            writes: [Write::New; WRITES],
            kept_status: None,
            reader: Reader::default(),
            remaining_wipes: config.wipes,
            remaining_restarts: config.restarts,
        }
    }

    /// Confirmed writes with their numbers, from 1.
    pub fn confirmed(&self) -> impl Iterator<Item = (u8, Place)> {
        (1..)
            .zip(self.writes)
            .filter_map(|(write, state)| match state {
                Write::Confirmed(place) => Some((write, place)),
                _ => None,
            })
    }
}
