//! State of the model: the instances, the proxies and the calls in flight.

use mangotray::stamp;

use crate::config;
use crate::instance;
use crate::rules;

/// Number of instances of the group.
pub const INSTANCES: usize = 3;

/// Number of proxies that may promote.
pub const PROMOTERS: usize = 2;

/// Upper bound of the number of writes in every configuration.
pub const WRITES: usize = 3;

/// Number of terms in every configuration, including 0, which stands for none.
pub const TERMS: usize = 6;

/// Outcome of a write as the writer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Write {
    /// Not yet sent.
    New,
    /// Reported as not run.
    NotRun,
    /// Answered by the primary but not confirmed; the outcome is unknown if it stays so.
    Answered(Place),
    /// Confirmed to the caller.
    Confirmed(Place),
}

/// Place of a write in the log of the primary that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    /// Term of the record.
    pub term: u8,
    /// Position of the record.
    pub position: u8,
    /// Index of the primary.
    pub primary: u8,
}

impl Place {
    /// Token that the caller gets.
    pub fn stamp(self) -> stamp::Stamp {
        stamp::Stamp::new(self.term.into(), self.position.into())
    }
}

/// Answer of an instance that is delayed or kept for later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// Index of the instance.
    pub index: u8,
    /// Status in the answer.
    pub view: instance::View,
    /// Time at which the probe started, on the clock of `Reader`; 0 for other answers.
    pub started: u8,
}

/// Last probe of an instance by the reading proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sample {
    /// Status in the answer.
    pub view: instance::View,
    /// Time at which the probe started, on the clock of `Reader`.
    pub started: u8,
    /// Time at which the answer arrived, on the same clock.
    pub finished: u8,
}

/// A proxy that serves reads. Its clock shows 0 before the read arrives and 1 after.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Reader {
    /// Last probe of each instance, as on the board of the proxy.
    pub samples: [Option<Sample>; INSTANCES],
    /// Delayed answer to a probe.
    pub late_answer: Option<Answer>,
    /// Whether the read has arrived.
    pub read_arrived: bool,
    /// Writes confirmed before the read arrived, one bit each.
    pub required_writes: u8,
}

/// State of the group, its proxies and the calls in flight, with the faults still allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The instances.
    pub instances: [instance::Instance; INSTANCES],
    /// Promotion machine of each promoter, as a handle of `rules::Rules`.
    pub machines: [rules::Handle; PROMOTERS],
    /// Delayed answer to a fencing call, by promoter.
    pub late_answers: [Option<Answer>; PROMOTERS],
    /// Reserved term that each promoter has not used yet; 0 for none.
    pub reserved_terms: [u8; PROMOTERS],
    /// Highest term claimed so far, reserved terms included.
    pub highest_claimed_term: u8,
    /// Terms whose fencing calls were sent, one bit each; a call may arrive at any time and twice.
    pub fencing_terms: u8,
    /// Instances to which a promotion call was sent, by term, one bit each.
    pub promotion_targets: [u8; TERMS],
    /// Instances that have been primary, by term, one bit each.
    pub primaries_by_term: [u8; TERMS],
    /// The writes.
    pub writes: [Write; WRITES],
    /// Status that the writer has kept and may use at any later time.
    pub kept_status: Option<Answer>,
    /// The reading proxy.
    pub reader: Reader,
    /// Number of log losses that may still happen.
    pub remaining_wipes: u8,
    /// Number of restarts that may still happen.
    pub remaining_restarts: u8,
}

impl State {
    /// The initial state: instance 0 is primary of term 1.
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
