//! Compares what callers were told with what the databases hold.

use std::collections;

use compact_str::CompactString;

/// Number of a counted item: a show or a campaign.
pub type Item = u32;

/// Key that a caller made for one write; never used for a second one.
pub type Key = CompactString;

/// SQLSTATE `transaction_resolution_unknown`.
const RESOLUTION_UNKNOWN: &str = "08007";

/// Start of every key, by which keys are found in the text of a log record.
const KEY_PREFIX: &str = "key-";

/// What a caller was told about one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Told {
    /// The commit was answered without an error.
    Confirmed,
    /// Nobody can say; the caller has to look.
    Unknown,
    /// The refusal says that nothing ran.
    NotRun,
    /// The database itself refused and rolled back.
    Rejected,
}

impl Told {
    /// Reads the answer to a write from its error fields.
    ///
    /// Connection errors say nothing about the write unless they say "not run":
    /// counting them as not run would accuse a proxy that kept its promise.
    ///
    /// ```
    /// use mangotray_lab::ledger::Told;
    /// assert_eq!(Told::from_error("08007", "no answer", None), Told::Unknown);
    /// assert_eq!(Told::from_error("57P03", "draining", Some("not run")), Told::NotRun);
    /// assert_eq!(Told::from_error("23505", "duplicate key", None), Told::Rejected);
    /// ```
    #[must_use]
    pub fn from_error(code: &str, message: &str, detail: Option<&str>) -> Self {
        if code == RESOLUTION_UNKNOWN {
            return Self::Unknown;
        }
        let says = |text: &str| text.to_ascii_lowercase().contains("not run");
        if says(message) || detail.is_some_and(says) || means_not_run(code) {
            return Self::NotRun;
        }
        if means_connection_lost(code) {
            return Self::Unknown;
        }
        Self::Rejected
    }
}

/// `too_many_connections`, `cannot_connect_now` and `feature_not_supported` are
/// answered before anything runs.
fn means_not_run(code: &str) -> bool {
    matches!(code, "53300" | "57P03" | "0A000")
}

/// Connection exceptions, and the end of a server process in the middle of a commit.
fn means_connection_lost(code: &str) -> bool {
    code.starts_with("08") || matches!(code, "57P01" | "57P02")
}

/// One write that a caller tried, and what it was told.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Promise {
    /// Key made by the caller.
    pub key: Key,
    /// Random text that both rows of the transaction carry.
    pub marker: CompactString,
    /// Item that the write counts towards.
    pub item: Item,
    /// Final answer.
    pub told: Told,
}

/// Key of a caller's write.
///
/// ```
/// assert_eq!(mangotray_lab::ledger::key("g0c1", 7), "key-g0c1-7");
/// ```
#[must_use]
pub fn key(caller: &str, sequence: u32) -> Key {
    compact_str::format_compact!("{KEY_PREFIX}{caller}-{sequence}")
}

/// Keys that the text of one log record mentions, each once.
///
/// ```
/// let keys = mangotray_lab::ledger::keys("INSERT INTO t VALUES ('key-a-1'), ('x')");
/// assert_eq!(keys, ["key-a-1"]);
/// ```
#[must_use]
pub fn keys(text: &str) -> Vec<Key> {
    let found: collections::BTreeSet<_> = text
        .split(|c: char| !c.is_ascii_alphanumeric() && c != '-')
        .filter(|word| word.starts_with(KEY_PREFIX))
        .collect();
    found.into_iter().map(Key::from).collect()
}

/// A row that carries a key and a marker.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Key of the write that left the row.
    pub key: Key,
    /// Marker of the write that left the row.
    pub marker: CompactString,
    /// Item that the row counts towards.
    pub item: Item,
}

/// Keys of one log record; a record holds one whole transaction.
pub type Record = Vec<Key>;

/// What a group holds at the end of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holding {
    /// First row of each transaction, at the last primary.
    pub bookings: Vec<Row>,
    /// Second row of each transaction, at the last primary.
    pub entries: Vec<Row>,
    /// Counter of each item, at the last primary.
    pub taken: collections::BTreeMap<Item, i64>,
    /// Log of each instance.
    pub logs: Vec<Vec<Record>>,
}

/// Violations found; all zero when every promise was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Audit {
    /// Confirmed writes that are absent.
    pub lost: usize,
    /// Keys that ran more than once, and counters that differ from the rows they count.
    pub doubled: usize,
    /// Keys whose rows are incomplete or carry another write's marker, and log
    /// records with statements of more than one transaction.
    pub mixed: usize,
    /// Writes answered as not run, or rejected, that left a trace.
    pub not_run_but_ran: usize,
}

impl Audit {
    /// Compares promises with what one group holds.
    ///
    /// ```
    /// use mangotray_lab::ledger::{Audit, Holding, Promise, Told};
    /// let promise = Promise {
    ///     key: "key-a-1".into(),
    ///     marker: "m".into(),
    ///     item: 1,
    ///     told: Told::Confirmed,
    /// };
    /// let audit = Audit::of(&[promise], &Holding::default());
    /// assert_eq!(audit.lost, 1);
    /// ```
    #[must_use]
    pub fn of(promises: &[Promise], holding: &Holding) -> Self {
        let bookings = by_key(&holding.bookings);
        let entries = by_key(&holding.entries);
        Self {
            lost: lost(promises, &bookings),
            doubled: doubled(holding, &bookings, &entries),
            mixed: mixed(promises, holding, &bookings, &entries),
            not_run_but_ran: ran(promises, holding, &bookings, &entries),
        }
    }

    /// Adds another group's violations.
    ///
    /// ```
    /// use mangotray_lab::ledger::Audit;
    /// let one = Audit { lost: 1, ..Audit::default() };
    /// assert_eq!(one.plus(one).lost, 2);
    /// ```
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            lost: self.lost + other.lost,
            doubled: self.doubled + other.doubled,
            mixed: self.mixed + other.mixed,
            not_run_but_ran: self.not_run_but_ran + other.not_run_but_ran,
        }
    }
}

type Index<'a> = collections::BTreeMap<&'a Key, Vec<&'a Row>>;

fn by_key(rows: &[Row]) -> Index<'_> {
    let mut index = Index::new();
    for row in rows {
        index.entry(&row.key).or_default().push(row);
    }
    index
}

fn lost(promises: &[Promise], bookings: &Index) -> usize {
    promises
        .iter()
        .filter(|promise| promise.told == Told::Confirmed)
        .filter(|promise| !bookings.contains_key(&promise.key))
        .count()
}

fn doubled(holding: &Holding, bookings: &Index, entries: &Index) -> usize {
    let mut keys: collections::BTreeSet<&Key> = repeated_rows(bookings).collect();
    keys.extend(repeated_rows(entries));
    keys.extend(holding.logs.iter().flat_map(|log| repeated_records(log)));
    keys.len() + miscounted(holding)
}

fn repeated_rows<'a>(index: &'a Index) -> impl Iterator<Item = &'a Key> {
    index
        .iter()
        .filter(|(_, rows)| rows.len() > 1)
        .map(|(key, _)| *key)
}

fn repeated_records(log: &[Record]) -> Vec<&Key> {
    let mut seen = collections::BTreeSet::new();
    log.iter()
        .flatten()
        .filter(|key| !seen.insert(*key))
        .collect()
}

fn miscounted(holding: &Holding) -> usize {
    let mut counts = collections::BTreeMap::<Item, i64>::new();
    for row in &holding.bookings {
        *counts.entry(row.item).or_default() += 1;
    }
    let items: collections::BTreeSet<_> = counts.keys().chain(holding.taken.keys()).collect();
    items
        .into_iter()
        .filter(|item| counts.get(item).unwrap_or(&0) != holding.taken.get(item).unwrap_or(&0))
        .count()
}

fn mixed(promises: &[Promise], holding: &Holding, bookings: &Index, entries: &Index) -> usize {
    let asked: collections::BTreeMap<_, _> = promises
        .iter()
        .map(|promise| (&promise.key, promise))
        .collect();
    let mut keys: collections::BTreeSet<&Key> = bookings
        .keys()
        .chain(entries.keys())
        .copied()
        .filter(|key| !whole(key, &asked, bookings, entries))
        .collect();
    let records = holding.logs.iter().flatten();
    keys.extend(records.filter(|record| record.len() > 1).flatten());
    keys.len()
}

/// True when a key has as many first rows as second rows and all carry its own marker.
fn whole(
    key: &Key,
    asked: &collections::BTreeMap<&Key, &Promise>,
    bookings: &Index,
    entries: &Index,
) -> bool {
    let Some(promise) = asked.get(key) else {
        return false;
    };
    let first = bookings.get(key).map_or(&[][..], Vec::as_slice);
    let second = entries.get(key).map_or(&[][..], Vec::as_slice);
    let own = |row: &&Row| row.marker == promise.marker && row.item == promise.item;
    first.len() == second.len() && first.iter().chain(second).all(own)
}

fn ran(promises: &[Promise], holding: &Holding, bookings: &Index, entries: &Index) -> usize {
    let logged: collections::BTreeSet<_> = holding.logs.iter().flatten().flatten().collect();
    promises
        .iter()
        .filter(|promise| matches!(promise.told, Told::NotRun | Told::Rejected))
        .map(|promise| &promise.key)
        .filter(|key| {
            bookings.contains_key(key) || entries.contains_key(key) || logged.contains(key)
        })
        .count()
}

#[cfg(test)]
mod tests;
