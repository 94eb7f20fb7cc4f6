//! Log of a stand-in instance, and replication from the primary to the replicas.

use std::sync::Arc;
use std::time;

use mangotray::id;
use mangotray::stamp;
use rusqlite::types;

use crate::instance;

/// Most records that a replica applies while it holds its lock once.
pub(crate) const MAX_RECORDS_PER_LOCK: usize = 64;

/// A statement that changed data, with its bound parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// SQL as translated for `SQLite`.
    pub sql: String,
    /// Values of `?1`, `?2` and so on.
    pub parameters: Vec<types::Value>,
}

/// One committed transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Term of the primary that committed it.
    pub term: id::Term,
    /// Place in the log; the first record has position 1.
    pub position: id::Position,
    /// Statements of the transaction; empty for the first record of a term.
    pub statements: Vec<Write>,
    /// Time of the commit, from which the replication delay counts.
    pub committed: time::Instant,
}

impl Record {
    pub(crate) fn stamp(&self) -> stamp::Stamp {
        stamp::Stamp::new(self.term, self.position)
    }
}

/// Log of an instance; all records in it are applied.
#[derive(Clone, Debug, Default)]
pub(crate) struct Journal {
    records: Vec<Arc<Record>>,
}

impl Journal {
    pub(crate) fn records(&self) -> &[Arc<Record>] {
        &self.records
    }

    pub(crate) fn stamp(&self) -> stamp::Stamp {
        self.records
            .last()
            .map_or_else(stamp::Stamp::default, |record| record.stamp())
    }

    /// The record that a commit of `term` would append.
    pub(crate) fn next_record(&self, term: id::Term, statements: Vec<Write>) -> Record {
        Record {
            term,
            position: self.records.len() as id::Position + 1,
            statements,
            committed: time::Instant::now(),
        }
    }

    pub(crate) fn append(&mut self, record: Arc<Record>) {
        assert_eq!(
            record.position,
            self.records.len() as id::Position + 1,
            "records are appended without gaps"
        );
        self.records.push(record);
    }

    pub(crate) fn truncate(&mut self, length: usize) {
        self.records.truncate(length);
    }

    pub(crate) fn starts_with(&self, prefix: &[Arc<Record>]) -> bool {
        let stamps = |records: &[Arc<Record>]| records.last().map(|record| record.stamp());
        let own = self.records.get(..prefix.len());
        own.is_some_and(|own| stamps(own) == stamps(prefix))
    }

    /// Length of the common prefix of both logs. Each term has one primary, so
    /// logs that agree on the term at a position agree on all positions before it.
    fn common_length(&self, other: &Self) -> usize {
        let shorter = self.records.len().min(other.records.len());
        (0..shorter)
            .rev()
            .find(|&at| self.records[at].term == other.records[at].term)
            .map_or(0, |at| at + 1)
    }
}

/// When to take the next replication step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// At once, as more records may be due.
    Repeat,
    /// At this time, when the next record is due.
    WaitUntil(time::Instant),
    /// When the source or the target changes.
    Idle,
}

/// One direction of replication between two instances of a group.
pub(crate) struct Replication {
    /// Instance that sends its log while it is the primary.
    pub(crate) source: Arc<instance::Instance>,
    /// Instance that receives the log.
    pub(crate) target: Arc<instance::Instance>,
}

impl Replication {
    /// Replicates without end; stops when its task is dropped.
    pub(crate) async fn run(self) {
        loop {
            let source_changed = self.source.changed.listen();
            let target_changed = self.target.changed.listen();
            match self.step().await {
                Step::Repeat => futures_lite::future::yield_now().await,
                Step::WaitUntil(due) => {
                    let timer = async {
                        async_io::Timer::at(due).await;
                    };
                    futures_lite::future::or(timer, first_of(source_changed, target_changed)).await;
                }
                Step::Idle => first_of(source_changed, target_changed).await,
            }
        }
    }

    async fn step(&self) -> Step {
        let Some((term, offer)) = self.offer() else {
            return Step::Idle;
        };
        match offer {
            Offer::Join => {
                self.target.fence(term);
                Step::Repeat
            }
            Offer::Repair(prefix) => {
                self.target.rebuild(term, prefix).await;
                Step::Repeat
            }
            Offer::Records(records) => {
                self.target.append(term, &records);
                Step::Repeat
            }
            Offer::WaitUntil(due) => Step::WaitUntil(due),
            Offer::Complete(length) => {
                self.target.restore_vote(term, length);
                Step::Idle
            }
        }
    }

    /// Compares both instances while holding both locks, which are taken in the order of the
    /// instances' indexes to avoid a deadlock.
    fn offer(&self) -> Option<(id::Term, Offer)> {
        let (source, target);
        if self.source.index < self.target.index {
            source = self.source.state();
            target = self.target.state();
        } else {
            target = self.target.state();
            source = self.source.state();
        }
        let reachable = self.source.can_replicate(&source) && self.target.can_replicate(&target);
        if !reachable || !source.is_primary() || target.fence > source.fence {
            return None;
        }
        if target.fence < source.fence {
            return Some((source.fence, Offer::Join));
        }
        let common = target.journal.common_length(&source.journal);
        let offer = if target.journal.records.len() > common {
            Offer::Repair(target.journal.records[..common].to_vec())
        } else {
            Offer::of(&source.journal.records[common..], target.lag, common)
        };
        Some((source.fence, offer))
    }
}

/// Next action of a primary towards a replica.
enum Offer {
    /// The replica has to join the term first.
    Join,
    /// The replica's log differs after these records.
    Repair(Vec<Arc<Record>>),
    /// Send these records, which are due.
    Records(Vec<Arc<Record>>),
    /// No record is due before this time.
    WaitUntil(time::Instant),
    /// The replica has the whole log, of this length.
    Complete(usize),
}

impl Offer {
    fn of(missing: &[Arc<Record>], lag: time::Duration, common: usize) -> Self {
        let now = time::Instant::now();
        let due: Vec<_> = missing
            .iter()
            .take_while(|record| record.committed + lag <= now)
            .take(MAX_RECORDS_PER_LOCK)
            .cloned()
            .collect();
        match missing.first() {
            None => Self::Complete(common),
            Some(next) if due.is_empty() => Self::WaitUntil(next.committed + lag),
            Some(_) => Self::Records(due),
        }
    }
}

async fn first_of(one: event_listener::EventListener, other: event_listener::EventListener) {
    futures_lite::future::or(one, other).await;
}
