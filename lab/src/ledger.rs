//! Compares the outcomes that callers were given with the contents of the databases.

use std::collections;

use compact_str::CompactString;

/// Number of a counted item: a show or a campaign.
pub type Item = u32;

/// Key that a caller made for one write; never used for another write.
pub type Key = CompactString;

/// SQLSTATE `transaction_resolution_unknown`.
const RESOLUTION_UNKNOWN: &str = "08007";

/// Prefix of every key; keys are found by it in the text of a log record.
const KEY_PREFIX: &str = "key-";

/// Outcome of one write, as the answer to the caller gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The commit was answered without an error.
    Confirmed,
    /// The answer leaves open whether the write ran; the caller has to read it back.
    Unknown,
    /// The write was refused, and the answer says that nothing ran.
    NotRun,
    /// The database itself refused and rolled back.
    Rejected,
}

impl Outcome {
    /// Derives the outcome of a write from the fields of its error.
    ///
    /// A connection error leaves the outcome open unless it says "not run": counting every
    /// connection error as not run would report violations of a proxy that works correctly.
    ///
    /// ```
    /// use mangotray_lab::ledger::Outcome;
    /// assert_eq!(Outcome::from_error("08007", "no answer", None), Outcome::Unknown);
    /// assert_eq!(Outcome::from_error("57P03", "draining", Some("not run")), Outcome::NotRun);
    /// assert_eq!(Outcome::from_error("23505", "duplicate key", None), Outcome::Rejected);
    /// ```
    #[must_use]
    pub fn from_error(code: &str, message: &str, detail: Option<&str>) -> Self {
        if code == RESOLUTION_UNKNOWN {
            return Self::Unknown;
        }
        let says_not_run = |text: &str| text.to_ascii_lowercase().contains("not run");
        if says_not_run(message) || detail.is_some_and(says_not_run) || is_not_run_code(code) {
            return Self::NotRun;
        }
        if is_connection_lost_code(code) {
            return Self::Unknown;
        }
        Self::Rejected
    }
}

/// `too_many_connections`, `cannot_connect_now` and `feature_not_supported` are
/// answered before anything runs.
fn is_not_run_code(code: &str) -> bool {
    matches!(code, "53300" | "57P03" | "0A000")
}

/// Connection exceptions, and the end of a server process in the middle of a commit.
fn is_connection_lost_code(code: &str) -> bool {
    code.starts_with("08") || matches!(code, "57P01" | "57P02")
}

/// One write that a caller tried, and its outcome as given to the caller.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Attempt {
    /// Key made by the caller.
    pub key: Key,
    /// Random text that both rows of the transaction carry.
    pub marker: CompactString,
    /// Item that the write counts towards.
    pub item: Item,
    /// Outcome of the write; `told` in serialised form.
    #[serde(rename = "told")]
    pub outcome: Outcome,
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

/// Distinct keys in the text of one log record.
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
    /// Key of the write that inserted the row.
    pub key: Key,
    /// Marker of the write that inserted the row.
    pub marker: CompactString,
    /// Item that the row counts towards.
    pub item: Item,
}

/// Keys of one log record; a record holds one whole transaction.
pub type Record = Vec<Key>;

/// Contents of a group at the end of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Contents {
    /// First row of each transaction, at the last primary.
    pub bookings: Vec<Row>,
    /// Second row of each transaction, at the last primary.
    pub entries: Vec<Row>,
    /// Counter of each item, at the last primary; `taken` in serialised form.
    #[serde(rename = "taken")]
    pub counters: collections::BTreeMap<Item, i64>,
    /// Log of each instance.
    pub logs: Vec<Vec<Record>>,
}

/// Numbers of violations; all zero when every guarantee was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Audit {
    /// Confirmed writes that are missing.
    pub lost: usize,
    /// Keys that ran more than once, and counters that differ from the rows they count.
    pub doubled: usize,
    /// Keys whose rows are incomplete or carry another write's marker, and log
    /// records with statements of more than one transaction.
    pub mixed: usize,
    /// Writes answered as not run, or as rejected, that are in the tables or in a log.
    pub not_run_but_ran: usize,
}

impl Audit {
    /// Compares the attempted writes with the contents of one group.
    ///
    /// ```
    /// use mangotray_lab::ledger::{Audit, Contents, Attempt, Outcome};
    /// let attempt = Attempt {
    ///     key: "key-a-1".into(),
    ///     marker: "m".into(),
    ///     item: 1,
    ///     outcome: Outcome::Confirmed,
    /// };
    /// let audit = Audit::of(&[attempt], &Contents::default());
    /// assert_eq!(audit.lost, 1);
    /// ```
    #[must_use]
    pub fn of(attempts: &[Attempt], contents: &Contents) -> Self {
        let bookings = index_by_key(&contents.bookings);
        let entries = index_by_key(&contents.entries);
        Self {
            lost: count_lost(attempts, &bookings),
            doubled: count_doubled(contents, &bookings, &entries),
            mixed: count_mixed(attempts, contents, &bookings, &entries),
            not_run_but_ran: count_not_run_but_ran(attempts, contents, &bookings, &entries),
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

fn index_by_key(rows: &[Row]) -> Index<'_> {
    let mut index = Index::new();
    for row in rows {
        index.entry(&row.key).or_default().push(row);
    }
    index
}

fn count_lost(attempts: &[Attempt], bookings: &Index) -> usize {
    attempts
        .iter()
        .filter(|attempt| attempt.outcome == Outcome::Confirmed)
        .filter(|attempt| !bookings.contains_key(&attempt.key))
        .count()
}

fn count_doubled(contents: &Contents, bookings: &Index, entries: &Index) -> usize {
    let mut keys: collections::BTreeSet<&Key> = repeated_rows(bookings).collect();
    keys.extend(repeated_rows(entries));
    keys.extend(contents.logs.iter().flat_map(|log| repeated_records(log)));
    keys.len() + count_wrong_counters(contents)
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

fn count_wrong_counters(contents: &Contents) -> usize {
    let mut counts = collections::BTreeMap::<Item, i64>::new();
    for row in &contents.bookings {
        *counts.entry(row.item).or_default() += 1;
    }
    let items: collections::BTreeSet<_> = counts.keys().chain(contents.counters.keys()).collect();
    items
        .into_iter()
        .filter(|item| counts.get(item).unwrap_or(&0) != contents.counters.get(item).unwrap_or(&0))
        .count()
}

fn count_mixed(
    attempts: &[Attempt],
    contents: &Contents,
    bookings: &Index,
    entries: &Index,
) -> usize {
    let attempt_by_key: collections::BTreeMap<_, _> = attempts
        .iter()
        .map(|attempt| (&attempt.key, attempt))
        .collect();
    let mut keys: collections::BTreeSet<&Key> = bookings
        .keys()
        .chain(entries.keys())
        .copied()
        .filter(|key| !is_consistent(key, &attempt_by_key, bookings, entries))
        .collect();
    let records = contents.logs.iter().flatten();
    keys.extend(records.filter(|record| record.len() > 1).flatten());
    keys.len()
}

/// True when a key has equally many first and second rows, and all have its marker and item.
fn is_consistent(
    key: &Key,
    attempt_by_key: &collections::BTreeMap<&Key, &Attempt>,
    bookings: &Index,
    entries: &Index,
) -> bool {
    let Some(attempt) = attempt_by_key.get(key) else {
        return false;
    };
    let first = bookings.get(key).map_or(&[][..], Vec::as_slice);
    let second = entries.get(key).map_or(&[][..], Vec::as_slice);
    let own = |row: &&Row| row.marker == attempt.marker && row.item == attempt.item;
    first.len() == second.len() && first.iter().chain(second).all(own)
}

fn count_not_run_but_ran(
    attempts: &[Attempt],
    contents: &Contents,
    bookings: &Index,
    entries: &Index,
) -> usize {
    let logged: collections::BTreeSet<_> = contents.logs.iter().flatten().flatten().collect();
    attempts
        .iter()
        .filter(|attempt| matches!(attempt.outcome, Outcome::NotRun | Outcome::Rejected))
        .map(|attempt| &attempt.key)
        .filter(|key| {
            bookings.contains_key(key) || entries.contains_key(key) || logged.contains(key)
        })
        .count()
}

#[cfg(test)]
mod tests;
