//! Statements of the profiles: schema, writes, reads, audit.

use compact_str::CompactString;

use crate::ledger;
use crate::profile;

/// Columns of one write that its statements carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Booking {
    /// Key made by the caller.
    pub key: ledger::Key,
    /// The caller's name.
    pub caller: CompactString,
    /// Number of the write among the caller's.
    pub sequence: u32,
    /// Random text in both rows.
    pub marker: CompactString,
    /// Item that the write counts towards.
    pub item: ledger::Item,
}

impl profile::Profile {
    /// Statements that create and fill the tables. Keys are not unique in the
    /// tables, so that a write that runs twice shows.
    ///
    /// ```
    /// let schema = mangotray_lab::profile::Profile::tarapath().schema();
    /// assert!(schema[1].starts_with("CREATE TABLE bookings"));
    /// ```
    #[must_use]
    pub fn schema(&self) -> Vec<String> {
        let profile::Tables { listing, rows } = self.tables;
        let values: Vec<_> = (profile::PROBER_ITEM..=profile::ITEMS)
            .map(|item| format!("({item}, 'item {item}', 0)"))
            .collect();
        vec![
            format!("CREATE TABLE {listing} (item INTEGER PRIMARY KEY, title TEXT, taken INTEGER)"),
            format!(
                "CREATE TABLE {rows} (booking TEXT, caller TEXT, sequence INTEGER, marker TEXT, \
                 item INTEGER)"
            ),
            format!("CREATE INDEX {rows}_by_caller ON {rows} (caller, sequence)"),
            format!("CREATE INDEX {rows}_by_item ON {rows} (item)"),
            "CREATE TABLE ledger (booking TEXT, marker TEXT, item INTEGER)".to_owned(),
            format!("INSERT INTO {listing} VALUES {}", values.join(", ")),
        ]
    }

    /// Statements of one write, from BEGIN to COMMIT. The last statement before
    /// the commit is not idempotent.
    ///
    /// ```
    /// use mangotray_lab::{ledger, profile, query};
    /// let booking = query::Booking {
    ///     key: ledger::key("a", 1),
    ///     caller: "a".into(),
    ///     sequence: 1,
    ///     marker: "m".into(),
    ///     item: 3,
    /// };
    /// let statements = profile::Profile::tarapath().write_statements(&booking);
    /// assert_eq!(statements[0], "BEGIN");
    /// assert_eq!(statements[4], "COMMIT");
    /// ```
    #[must_use]
    pub fn write_statements(&self, booking: &Booking) -> [String; 5] {
        let profile::Tables { listing, rows } = self.tables;
        let Booking {
            key,
            caller,
            sequence,
            marker,
            item,
        } = booking;
        [
            "BEGIN".to_owned(),
            format!(
                "INSERT INTO {rows} (booking, caller, sequence, marker, item) \
                 VALUES ('{key}', '{caller}', {sequence}, '{marker}', {item})"
            ),
            format!(
                "INSERT INTO ledger (booking, marker, item) VALUES ('{key}', '{marker}', {item})"
            ),
            format!("UPDATE {listing} SET taken = taken + 1 WHERE item = {item}"),
            "COMMIT".to_owned(),
        ]
    }

    /// A write that changes nothing.
    ///
    /// ```
    /// let sql = mangotray_lab::profile::Profile::tarapath().no_op_write();
    /// assert!(sql.starts_with("UPDATE calendar"));
    /// ```
    #[must_use]
    pub fn no_op_write(&self) -> String {
        let listing = self.tables.listing;
        format!("UPDATE {listing} SET taken = taken WHERE item = 0")
    }

    /// Query for a caller's own rows after a sequence number; each row echoes `request`.
    ///
    /// ```
    /// let sql = mangotray_lab::profile::Profile::tarapath().own_rows_query("r1", "a", 5);
    /// assert!(sql.starts_with("SELECT 'r1' AS echo, caller, sequence"));
    /// ```
    #[must_use]
    pub fn own_rows_query(&self, request: &str, caller: &str, after: u32) -> String {
        let rows = self.tables.rows;
        format!(
            "SELECT '{request}' AS echo, caller, sequence FROM {rows} \
             WHERE caller = '{caller}' AND sequence > {after}"
        )
    }

    /// Query for the number of rows of one item; the row echoes `request`.
    ///
    /// ```
    /// let sql = mangotray_lab::profile::Profile::hoasen().item_query("r1", 7);
    /// assert!(sql.contains("FROM payouts WHERE item = 7"));
    /// ```
    #[must_use]
    pub fn item_query(&self, request: &str, item: ledger::Item) -> String {
        let rows = self.tables.rows;
        format!(
            "SELECT '{request}' AS echo, {item} AS item, count(*) AS taken FROM {rows} \
             WHERE item = {item}"
        )
    }

    /// Query for all items with their counters; each row echoes `request`.
    ///
    /// ```
    /// let sql = mangotray_lab::profile::Profile::tarapath().list_query("r1");
    /// assert!(sql.contains("FROM calendar"));
    /// ```
    #[must_use]
    pub fn list_query(&self, request: &str) -> String {
        let listing = self.tables.listing;
        format!("SELECT '{request}' AS echo, item, taken FROM {listing} ORDER BY item")
    }

    /// Query for all rows of writes, for the audit.
    #[must_use]
    pub fn all_bookings_query(&self) -> String {
        format!("SELECT booking, marker, item FROM {}", self.tables.rows)
    }

    /// Query for all second rows of writes, for the audit.
    #[must_use]
    pub fn all_entries_query(&self) -> &'static str {
        "SELECT booking, marker, item FROM ledger"
    }

    /// Query for all counters, for the audit.
    #[must_use]
    pub fn all_counters_query(&self) -> String {
        format!("SELECT item, taken FROM {}", self.tables.listing)
    }
}
