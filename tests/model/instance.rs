//! Model of one instance of the group, as the contract of the upstream requires.

use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray::status;

use crate::log;

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    pub log: log::Log,
    /// Highest term at which the instance was fenced.
    pub fence: u8,
    /// Term in which the instance was last primary with its present log; 0 if none. It acts
    /// as primary while this equals its fence. After that, records that it sent earlier may
    /// still arrive.
    pub last_led_term: u8,
    /// Number of the instance's process, from 0; each restart adds one.
    pub incarnation: u8,
    /// 0 for a voter. For an instance that lost its log, the term that `config::Readmission`
    /// compares to decide when it is a voter again.
    pub readmission_term: u8,
}

impl Instance {
    /// An instance that has applied the first record of term 1.
    pub fn new(is_primary: bool) -> Self {
        let mut log = log::Log::default();
        log.push(log::Record { term: 1, write: 0 });
        Self {
            log,
            fence: 1,
            last_led_term: u8::from(is_primary),
            incarnation: 0,
            readmission_term: 0,
        }
    }

    /// Whether the instance acts as primary, even if another one was promoted since.
    pub fn is_primary(&self) -> bool {
        self.last_led_term != 0 && self.last_led_term == self.fence
    }

    /// Whether the instance counts towards a majority.
    pub fn is_voter(&self) -> bool {
        self.readmission_term == 0
    }

    /// Answer of the instance to a probe.
    pub fn view(&self) -> View {
        View {
            term: self.log.term(),
            position: self.log.len(),
            fence: self.fence,
            is_primary: self.is_primary(),
            voter: self.is_voter(),
            incarnation: self.incarnation,
        }
    }

    /// Appends a write and returns its stamp; `None` if the instance is not primary.
    pub fn write(&mut self, write: u8) -> Option<stamp::Stamp> {
        if !self.is_primary() {
            return None;
        }
        self.log.push(log::Record {
            term: self.fence,
            write,
        });
        Some(self.log.stamp())
    }

    /// Applies a fencing call.
    pub fn raise_fence(&mut self, term: u8) {
        self.fence = self.fence.max(term);
    }

    /// Makes the instance primary of a term, optionally with a first, empty record.
    pub fn promote(&mut self, term: u8, with_first_record: bool) {
        if self.is_primary() {
            return;
        }
        self.last_led_term = term;
        if with_first_record {
            self.log.push(log::Record { term, write: 0 });
        }
    }

    /// Takes one step to follow `source`: truncates the records that `source` does not have
    /// or, if there are none, applies the next record.
    pub fn follow(&mut self, source: &Self) {
        let common_len = self.log.common_len(&source.log);
        if common_len < self.log.len() {
            self.last_led_term = 0;
            self.log.truncate(common_len);
        } else if let Some(record) = source.log.records().get(usize::from(common_len)) {
            self.last_led_term = 0;
            self.log.push(*record);
        }
    }

    /// Loses the log and the fence and restarts.
    pub fn wipe(&mut self, readmission_term: u8) {
        *self = Self {
            log: log::Log::default(),
            fence: 0,
            last_led_term: 0,
            incarnation: self.incarnation + 1,
            readmission_term,
        };
    }
}

/// Answer to a probe: a `status::Status` in few bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct View {
    /// Term of the last record.
    pub term: u8,
    /// Position of the last record.
    pub position: u8,
    /// Highest term at which the instance was fenced.
    pub fence: u8,
    /// Whether the instance acts as primary.
    pub is_primary: bool,
    /// Whether the instance counts towards a majority.
    pub voter: bool,
    /// Number of the instance's process.
    pub incarnation: u8,
}

impl View {
    /// The view without the fields that neither promotions nor confirmations use; they would
    /// only multiply the states.
    pub fn promotion_view(self) -> Self {
        Self {
            is_primary: false,
            incarnation: 0,
            ..self
        }
    }

    /// The view without the fields that neither the board's floor nor the choice of an instance
    /// for a read uses.
    pub fn read_view(self) -> Self {
        Self {
            is_primary: false,
            fence: 0,
            ..self
        }
    }

    /// The view as the type that the decision code takes.
    pub fn status(self) -> status::Status {
        status::Status {
            stamp: stamp::Stamp::new(self.term.into(), self.position.into()),
            fence: self.fence.into(),
            role: if self.is_primary {
                role::Role::Primary
            } else {
                role::Role::Replica
            },
            voter: self.voter,
            incarnation: id::Incarnation::from(self.incarnation),
        }
    }
}
