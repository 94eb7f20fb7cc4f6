//! One instance of the group, as the upstream's contract describes it.

use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray::status;

use crate::log;

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    /// Its log.
    pub log: log::Log,
    /// Highest term it has been fenced at.
    pub fence: u8,
    /// Term it last led with its present log; 0 if none. It believes that it leads
    /// while this is its fence. Once deposed, records it sent before may still arrive.
    pub last_led_term: u8,
    /// Number of its process.
    pub incarnation: u8,
    /// 0 for a voter; for one that lost its log, the term that decides when it is one again.
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

    /// Whether it believes that it leads.
    pub fn is_primary(&self) -> bool {
        self.last_led_term != 0 && self.last_led_term == self.fence
    }

    /// Whether it counts towards a majority.
    pub fn is_voter(&self) -> bool {
        self.readmission_term == 0
    }

    /// What a probe would see now.
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

    /// Appends a write if it believes that it leads, and says at which stamp.
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

    /// Takes a fencing call.
    pub fn raise_fence(&mut self, term: u8) {
        self.fence = self.fence.max(term);
    }

    /// Starts to lead a term, with a first record if `first` says so.
    pub fn promote(&mut self, term: u8, with_first_record: bool) {
        if self.is_primary() {
            return;
        }
        self.last_led_term = term;
        if with_first_record {
            self.log.push(log::Record { term, write: 0 });
        }
    }

    /// Takes one step to follow `source`: cuts off what it does not have, or else
    /// applies one record.
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

    /// Loses everything and starts anew.
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

/// What a probe saw of an instance; `status::Status` in few bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct View {
    /// Term of the last record.
    pub term: u8,
    /// Position of the last record.
    pub position: u8,
    /// Highest term it has been fenced at.
    pub fence: u8,
    /// Whether it believes that it leads.
    pub is_primary: bool,
    /// Whether it counts towards a majority.
    pub voter: bool,
    /// Number of its process.
    pub incarnation: u8,
}

impl View {
    /// The view without what neither promotions nor confirmations look at, which
    /// would only multiply the states.
    pub fn promotion_view(self) -> Self {
        Self {
            is_primary: false,
            incarnation: 0,
            ..self
        }
    }

    /// The view without what neither samples nor the choice of an instance look at.
    pub fn read_view(self) -> Self {
        Self {
            is_primary: false,
            fence: 0,
            ..self
        }
    }

    /// The status that the decision code knows.
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
