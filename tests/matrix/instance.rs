//! In-memory fake of an instance that follows the contract for upstreams.

use mangotray::id;
use mangotray::role;
use mangotray::stamp;
use mangotray::status;

/// A record: its term and the number of the request that wrote it, 0 for the first of a term.
pub type Record = (id::Term, u64);

/// Log and state of one instance.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Whether its process is running.
    pub running: bool,
    /// Highest term at which it was fenced.
    pub fence: id::Term,
    /// Number of its current process; rises with each start.
    pub incarnation: id::Incarnation,
    led_term: id::Term,
    log: Vec<Record>,
}

impl Instance {
    pub fn new(leads: bool) -> Self {
        Self {
            running: true,
            fence: 1,
            incarnation: 1,
            led_term: id::Term::from(leads),
            log: vec![(1, 0)],
        }
    }

    pub fn leads(&self) -> bool {
        self.led_term == self.fence
    }

    pub fn log(&self) -> &[Record] {
        &self.log
    }

    pub fn contains(&self, write: u64) -> bool {
        self.writes().any(|held| held == write)
    }

    pub fn writes(&self) -> impl Iterator<Item = u64> + '_ {
        let writes = self.log.iter().map(|(_, write)| *write);
        writes.filter(|write| *write != 0)
    }

    pub fn stamp(&self) -> stamp::Stamp {
        let term = self.log.last().map_or(0, |(term, _)| *term);
        stamp::Stamp::new(term, self.log.len() as id::Position)
    }

    pub fn status(&self) -> status::Status {
        let role = if self.leads() {
            role::Role::Primary
        } else {
            role::Role::Replica
        };
        status::Status {
            stamp: self.stamp(),
            fence: self.fence,
            role,
            voter: true,
            incarnation: self.incarnation,
        }
    }

    pub fn append(&mut self, write: u64) {
        self.log.push((self.fence, write));
    }

    pub fn fence(&mut self, term: id::Term) {
        self.fence = self.fence.max(term);
    }

    /// Makes the instance primary of `term` if it is fenced at exactly that term. Returns
    /// whether it became primary by this call.
    pub fn promote(&mut self, term: id::Term) -> bool {
        if self.fence != term || self.leads() {
            return false;
        }
        self.led_term = term;
        self.log.push((term, 0));
        true
    }

    /// Truncates the log where it differs from the primary's, then applies up to
    /// `max_records` of the primary's records. Ignores a primary with a lower fence.
    pub fn follow(&mut self, primary: &Self, max_records: usize) {
        if primary.fence < self.fence {
            return;
        }
        self.fence = primary.fence;
        let pairs = self.log.iter().zip(&primary.log);
        let common = pairs.take_while(|(own, other)| own == other).count();
        self.log.truncate(common);
        let missing = primary.log.iter().skip(common).take(max_records);
        self.log.extend(missing);
    }

    pub fn stop(&mut self) {
        self.running = false;
    }

    /// Starts a stopped instance as a replica; it keeps its log and fence.
    pub fn start(&mut self) {
        if !self.running {
            self.running = true;
            self.led_term = 0;
            self.incarnation += 1;
        }
    }
}
