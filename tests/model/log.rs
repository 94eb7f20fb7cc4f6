//! Log of a modelled instance.

use mangotray::stamp;

/// Upper bound of the log length in every configuration.
const MAX_RECORDS: usize = 6;

/// A record of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Record {
    /// Term of the primary that wrote it.
    pub term: u8,
    /// Number of the write, from 1; 0 for the first record of a term.
    pub write: u8,
}

/// A sequence of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    records: [Record; MAX_RECORDS],
    len: u8,
}

impl Log {
    /// The records, oldest first.
    pub fn records(&self) -> &[Record] {
        &self.records[..usize::from(self.len)]
    }

    /// Number of records.
    pub fn len(&self) -> u8 {
        self.len
    }

    /// Appends a record.
    pub fn push(&mut self, record: Record) {
        self.records[usize::from(self.len)] = record;
        self.len += 1;
    }

    /// Keeps the first `len` records.
    pub fn truncate(&mut self, len: u8) {
        self.records[usize::from(len)..].fill(Record::default());
        self.len = self.len.min(len);
    }

    /// Term of the last record; 0 for an empty log.
    pub fn term(&self) -> u8 {
        self.records().last().map_or(0, |record| record.term)
    }

    /// Stamp of the last record.
    pub fn stamp(&self) -> stamp::Stamp {
        stamp::Stamp::new(self.term().into(), self.len.into())
    }

    /// Length of the common prefix of both logs.
    pub fn common_len(&self, other: &Self) -> u8 {
        let shared_records = self
            .records()
            .iter()
            .zip(other.records())
            .take_while(|(mine, theirs)| mine == theirs);
        u8::try_from(shared_records.count()).expect("logs are short")
    }

    /// Number of records of a write.
    pub fn count(&self, write: u8) -> usize {
        let found = self.records().iter().filter(|record| record.write == write);
        found.count()
    }
}
