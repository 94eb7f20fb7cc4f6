//! Data files of the instances.

use std::path;
use std::sync::Arc;
use std::time;

use mangotray::stamp;
use rusqlite::types;

use crate::journal;
use crate::value;

/// Longest wait for another connection's lock on the data file.
const BUSY_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Table with the stamp of the last applied record, so that a snapshot contains its stamp.
const CREATE_STAMP_TABLE_SQL: &str = "CREATE TABLE group_stamp (term INTEGER, position INTEGER);
    INSERT INTO group_stamp VALUES (0, 0);";
const READ_STAMP_SQL: &str = "SELECT term, position FROM group_stamp";
const WRITE_STAMP_SQL: &str = "UPDATE group_stamp SET term = ?1, position = ?2";

pub(crate) fn bind_parameters(
    prepared: &mut rusqlite::Statement<'_>,
    parameters: &[types::Value],
) -> rusqlite::Result<()> {
    parameters
        .iter()
        .enumerate()
        .try_for_each(|(index, value)| prepared.raw_bind_parameter(index + 1, value))
}

/// Opens a data file; its writes are not synced to disk.
pub(crate) fn connect(path: &path::Path) -> rusqlite::Result<rusqlite::Connection> {
    let connection = rusqlite::Connection::open(path)?;
    connection.busy_timeout(BUSY_TIMEOUT)?;
    connection.pragma_update(None, "journal_mode", "WAL")?;
    connection.pragma_update(None, "synchronous", "OFF")?;
    connection.pragma_update(None, "foreign_keys", "ON")?;
    Ok(connection)
}

/// Creates a data file with the schema.
pub(crate) fn create(
    path: &path::Path,
    schema: &[String],
) -> rusqlite::Result<rusqlite::Connection> {
    let connection = connect(path)?;
    connection.execute_batch(CREATE_STAMP_TABLE_SQL)?;
    schema
        .iter()
        .try_for_each(|sql| connection.execute_batch(sql))?;
    Ok(connection)
}

/// Applies records in one transaction.
pub(crate) fn replay(
    connection: &rusqlite::Connection,
    records: &[Arc<journal::Record>],
) -> rusqlite::Result<()> {
    connection.execute_batch("BEGIN IMMEDIATE")?;
    for write in records.iter().flat_map(|record| &record.statements) {
        let mut prepared = connection.prepare_cached(&write.sql)?;
        bind_parameters(&mut prepared, &write.parameters)?;
        let mut cursor = prepared.raw_query();
        while cursor.next()?.is_some() {}
    }
    if let Some(last) = records.last() {
        write_stamp(connection, last.stamp())?;
    }
    connection.execute_batch("COMMIT")
}

pub(crate) fn write_stamp(
    connection: &rusqlite::Connection,
    stamp: stamp::Stamp,
) -> rusqlite::Result<()> {
    let mut prepared = connection.prepare_cached(WRITE_STAMP_SQL)?;
    prepared.execute((stamp.term, stamp.position)).map(drop)
}

/// Stamp of the snapshot that the connection's transaction reads.
pub(crate) fn read_stamp(connection: &rusqlite::Connection) -> rusqlite::Result<stamp::Stamp> {
    let mut prepared = connection.prepare_cached(READ_STAMP_SQL)?;
    prepared.query_one([], |row| Ok(stamp::Stamp::new(row.get(0)?, row.get(1)?)))
}

/// Rows of a query as text; `None` stands for NULL.
pub(crate) type Rows = Vec<Vec<Option<String>>>;

/// All rows of each query, on one snapshot, for audits.
pub(crate) fn query_snapshot(path: &path::Path, queries: &[&str]) -> rusqlite::Result<Vec<Rows>> {
    let connection = connect(path)?;
    connection.execute_batch("BEGIN")?;
    queries
        .iter()
        .map(|sql| all_rows(&connection, sql))
        .collect()
}

fn all_rows(connection: &rusqlite::Connection, sql: &str) -> rusqlite::Result<Rows> {
    let mut prepared = connection.prepare(sql)?;
    let column_count = prepared.column_count();
    let rows = prepared.query_map([], |row| {
        (0..column_count)
            .map(|index| row.get::<_, types::Value>(index))
            .map(|value| value.map(|value| optional_text(&value)))
            .collect()
    })?;
    rows.collect()
}

fn optional_text(value: &types::Value) -> Option<String> {
    (*value != types::Value::Null).then(|| value::text(value))
}
