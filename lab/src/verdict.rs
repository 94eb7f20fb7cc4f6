//! Checks the answer to one read.

use std::collections;

use compact_str::CompactString;

use crate::ledger;
use crate::profile;

/// Violations found in an answer to a read; all false if the answer is correct.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The answer belongs to another request or another caller, or is incomplete.
    pub foreign: bool,
    /// The answer lacks a write that it had to include.
    pub stale: bool,
}

/// Row of a read of the caller's own writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnRow {
    /// Marker of the request that the row answers.
    pub echo: CompactString,
    /// Name of the caller that wrote the row.
    pub caller: CompactString,
    /// Sequence number of the write among those of the caller.
    pub sequence: u32,
}

/// Row of a read that counts the writes to an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counter {
    /// Marker of the request that the row answers.
    pub echo: CompactString,
    /// Item whose writes are counted.
    pub item: ledger::Item,
    /// Number of writes to the item.
    pub count: usize,
}

impl OwnRow {
    /// Parses all rows of an answer; `None` when a row does not have the expected columns.
    #[must_use]
    pub fn parse(rows: &[tokio_postgres::SimpleQueryRow]) -> Option<Vec<Self>> {
        let own = |row| {
            Some(Self {
                echo: text(row, "echo")?.into(),
                caller: text(row, "caller")?.into(),
                sequence: text(row, "sequence")?.parse().ok()?,
            })
        };
        rows.iter().map(own).collect()
    }
}

impl Counter {
    /// Parses all rows of an answer; `None` when a row does not have the expected columns.
    #[must_use]
    pub fn parse(rows: &[tokio_postgres::SimpleQueryRow]) -> Option<Vec<Self>> {
        let counter = |row| {
            Some(Self {
                echo: text(row, "echo")?.into(),
                item: text(row, "item")?.parse().ok()?,
                count: text(row, "taken")?.parse().ok()?,
            })
        };
        rows.iter().map(counter).collect()
    }
}

fn text<'a>(row: &'a tokio_postgres::SimpleQueryRow, column: &str) -> Option<&'a str> {
    row.try_get(column).ok().flatten()
}

impl Verdict {
    /// Verdict on an answer whose rows do not have the expected columns.
    pub const FOREIGN: Self = Self {
        foreign: true,
        stale: false,
    };

    /// Checks a caller's read of its own writes. `confirmed` gives the sequence numbers of
    /// the writes in the requested range that were confirmed before the read was sent.
    ///
    /// ```
    /// use mangotray_lab::verdict::{OwnRow, Verdict};
    /// let row = OwnRow { echo: "r".into(), caller: "a".into(), sequence: 1 };
    /// assert_eq!(Verdict::own_rows(&[row], "r", "a", [1]), Verdict::default());
    /// assert!(Verdict::own_rows(&[], "r", "a", [1]).stale);
    /// ```
    #[must_use]
    pub fn own_rows(
        rows: &[OwnRow],
        request: &str,
        caller: &str,
        confirmed: impl IntoIterator<Item = u32>,
    ) -> Self {
        let returned: collections::BTreeSet<_> = rows.iter().map(|row| row.sequence).collect();
        Self {
            foreign: rows
                .iter()
                .any(|row| row.echo != request || row.caller != caller),
            stale: confirmed
                .into_iter()
                .any(|sequence| !returned.contains(&sequence)),
        }
    }

    /// Checks a read of one item's counter, which must be at least `confirmed`.
    ///
    /// ```
    /// use mangotray_lab::verdict::{Counter, Verdict};
    /// let row = Counter { echo: "r".into(), item: 3, count: 5 };
    /// assert!(Verdict::item(&[row], "r", 3, 6).stale);
    /// ```
    #[must_use]
    pub fn item(rows: &[Counter], request: &str, item: ledger::Item, confirmed: usize) -> Self {
        let [row] = rows else {
            return Self::FOREIGN;
        };
        Self {
            foreign: row.echo != request || row.item != item,
            stale: row.count < confirmed,
        }
    }

    /// Checks a read of all items. `confirmed` gives, for an item, the number of writes that
    /// were confirmed longer ago than the age rule allows, which the read must include.
    ///
    /// ```
    /// use mangotray_lab::verdict::Verdict;
    /// assert!(Verdict::listing(&[], "r", |_| 0).foreign, "an incomplete answer");
    /// ```
    #[must_use]
    pub fn listing(
        rows: &[Counter],
        request: &str,
        confirmed: impl Fn(ledger::Item) -> usize,
    ) -> Self {
        let items = rows.iter().map(|row| row.item);
        let complete = items.eq(profile::PROBER_ITEM..=profile::ITEMS);
        if !complete || rows.iter().any(|row| row.echo != request) {
            return Self::FOREIGN;
        }
        Self {
            foreign: false,
            stale: rows.iter().any(|row| row.count < confirmed(row.item)),
        }
    }
}

#[cfg(test)]
mod tests;
