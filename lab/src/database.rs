//! SQL execution of an instance by an embedded library.

use std::collections::HashMap;
use std::path;
use std::sync::Arc;
use std::time;

use mangotray::stamp;
use pgwire::messages::response;
use rusqlite::types;

use crate::instance;
use crate::journal;
use crate::statement;
use crate::value;

const BUSY_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Holds the stamp of the last record, so that each snapshot knows its own.
const STAMP_TABLE: &str = "CREATE TABLE group_stamp (term INTEGER, position INTEGER);
    INSERT INTO group_stamp VALUES (0, 0);";
const READ_STAMP: &str = "SELECT term, position FROM group_stamp";
const WRITE_STAMP: &str = "UPDATE group_stamp SET term = ?1, position = ?2";

/// SQL error as it goes over the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Error {
    pub(crate) code: &'static str,
    pub(crate) message: String,
}

impl Error {
    pub(crate) fn new(code: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { code, message }
    }

    pub(crate) fn read_only(tag: &str) -> Self {
        let words = format!("cannot execute {tag} in a read-only transaction");
        Self::new("25006", words)
    }

    fn revoked() -> Self {
        let words = "transaction rolled back: the instance is no longer the primary";
        Self::new("25006", words)
    }

    fn failed() -> Self {
        let words =
            "current transaction is aborted, commands ignored until end of transaction block";
        Self::new("25P02", words)
    }
}

impl From<rusqlite::Error> for Error {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        let code = match error.sqlite_error().map(|error| error.extended_code) {
            Some(
                rusqlite::ffi::SQLITE_CONSTRAINT_UNIQUE
                | rusqlite::ffi::SQLITE_CONSTRAINT_PRIMARYKEY,
            ) => "23505",
            Some(rusqlite::ffi::SQLITE_CONSTRAINT_NOTNULL) => "23502",
            Some(rusqlite::ffi::SQLITE_CONSTRAINT_CHECK) => "23514",
            Some(rusqlite::ffi::SQLITE_CONSTRAINT_FOREIGNKEY) => "23503",
            Some(rusqlite::ffi::SQLITE_BUSY) => "55P03",
            _ if message.contains("no such table") => "42P01",
            _ if message.contains("no such column") => "42703",
            _ if message.contains("no such function") => "42883",
            _ if message.contains("already exists") => "42P07",
            _ if message.contains("syntax error") || message.contains("incomplete input") => {
                "42601"
            }
            _ => "XX000",
        };
        Self { code, message }
    }
}

/// Result column; the type is unknown for some expressions without a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) kind: Option<value::Kind>,
}

/// Result of one statement.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub(crate) columns: Vec<Column>,
    pub(crate) rows: Vec<Vec<types::Value>>,
    /// Command tag; empty for an empty query.
    pub(crate) tag: String,
}

impl Answer {
    fn tagged(tag: &str) -> Self {
        let tag = tag.to_owned();
        Self {
            tag,
            ..Self::default()
        }
    }
}

/// Kind of the session's transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    /// Ends with its batch.
    Implicit,
    Explicit,
}

/// What became of the transaction before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Sound,
    /// One of its statements failed.
    Failed,
    /// It was rolled back from outside.
    Revoked,
}

/// One session's handle on the instance's data, with its transaction.
pub(crate) struct Database {
    connection: rusqlite::Connection,
    generation: u64,
    phase: Phase,
    health: Health,
    /// Reign of the primary that a write transaction began under.
    reign: Option<u64>,
    /// Right to be the instance's one writer.
    writer: Option<async_lock::MutexGuardArc<()>>,
    writes: Vec<journal::Write>,
    savepoints: Vec<(String, usize)>,
    /// Stamp of the last transaction that ended.
    ended: Option<stamp::Stamp>,
}

impl Database {
    pub(crate) fn open(path: &path::Path, generation: u64) -> rusqlite::Result<Self> {
        Ok(Self {
            connection: connect(path)?,
            generation,
            phase: Phase::Idle,
            health: Health::Sound,
            reign: None,
            writer: None,
            writes: Vec::new(),
            savepoints: Vec::new(),
            ended: None,
        })
    }

    /// Follows the instance to a rebuilt file, between transactions.
    pub(crate) fn refresh(&mut self, instance: &instance::Instance) -> rusqlite::Result<()> {
        let (path, generation) = instance.file();
        if !self.is_open() && self.generation != generation {
            self.connection = connect(&path)?;
            self.generation = generation;
        }
        Ok(())
    }

    /// A transaction has begun and not yet ended, though it may have been rolled back.
    fn is_open(&self) -> bool {
        self.phase != Phase::Idle
    }

    pub(crate) fn is_writer(&self) -> bool {
        self.writer.is_some()
    }

    /// Takes the right to write, unless the instance has lost its lead meanwhile.
    pub(crate) fn lend(
        &mut self,
        instance: &instance::Instance,
        writer: async_lock::MutexGuardArc<()>,
    ) {
        self.writer = instance.state().is_primary().then_some(writer);
    }

    pub(crate) fn take_ended(&mut self) -> Option<stamp::Stamp> {
        self.ended.take()
    }

    pub(crate) fn status(&self) -> response::TransactionStatus {
        match (self.phase, self.health) {
            (Phase::Idle, _) => response::TransactionStatus::Idle,
            (_, Health::Sound) => response::TransactionStatus::Transaction,
            _ => response::TransactionStatus::Error,
        }
    }

    /// Runs one statement; a failure fails the transaction.
    pub(crate) fn run(
        &mut self,
        instance: &instance::Instance,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<Answer, Error> {
        let result = self.dispatch(instance, statement, parameters);
        if result.is_err() {
            self.fail();
        }
        result
    }

    fn dispatch(
        &mut self,
        instance: &instance::Instance,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<Answer, Error> {
        match &statement.verb {
            statement::Verb::Empty => return Ok(Answer::default()),
            statement::Verb::Commit => return self.commit(instance),
            statement::Verb::Rollback => {
                self.rollback(instance);
                return Ok(Answer::tagged("ROLLBACK"));
            }
            _ if self.health == Health::Revoked => return Err(Error::revoked()),
            statement::Verb::RollbackTo(name) => return self.rollback_to(name),
            _ if self.health == Health::Failed => return Err(Error::failed()),
            _ => {}
        }
        match &statement.verb {
            statement::Verb::Begin { read_only } => {
                if !self.is_open() {
                    self.begin(instance, *read_only)?;
                }
                self.phase = Phase::Explicit;
                Ok(Answer::tagged("BEGIN"))
            }
            statement::Verb::Savepoint(name) => self.savepoint(name),
            statement::Verb::Release(name) => self.release(name),
            statement::Verb::Setting => Ok(Answer::tagged(&statement.tag)),
            _ => {
                if !self.is_open() {
                    self.begin(instance, false)?;
                }
                self.execute(statement, parameters)
            }
        }
    }

    fn begin(&mut self, instance: &instance::Instance, read_only: bool) -> Result<(), Error> {
        if self.writer.is_some() && !read_only {
            self.reign = instance.begin(&self.connection)?;
        }
        if self.reign.is_none() {
            self.connection.execute_batch("BEGIN DEFERRED")?;
        }
        self.phase = Phase::Implicit;
        Ok(())
    }

    fn execute(
        &mut self,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<Answer, Error> {
        if statement.writes() && self.reign.is_none() {
            return Err(Error::read_only(&statement.tag));
        }
        if statement.writes() && statement.volatile {
            let words = "a write must give the same result on each instance";
            return Err(Error::new("0A000", words));
        }
        let before = self.connection.total_changes();
        let mut answer = self.fetch(statement, parameters)?;
        let is_definition = statement.tag.contains(' ');
        if statement.writes() && (is_definition || self.connection.total_changes() != before) {
            self.writes.push(journal::Write {
                sql: statement.text.clone(),
                parameters: parameters.to_vec(),
            });
        }
        answer.tag = match statement.tag.as_str() {
            "INSERT" => format!("INSERT 0 {}", self.connection.changes()),
            tag @ ("UPDATE" | "DELETE") => format!("{tag} {}", self.connection.changes()),
            tag if is_definition => tag.to_owned(),
            _ => format!("SELECT {}", answer.rows.len()),
        };
        Ok(answer)
    }

    fn fetch(
        &self,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<Answer, Error> {
        let mut prepared = self.connection.prepare_cached(&statement.text)?;
        bind(&mut prepared, parameters)?;
        let mut columns = self.columns(statement, &prepared);
        let mut rows = Vec::new();
        let mut cursor = prepared.raw_query();
        while let Some(row) = cursor.next()? {
            let cells = (0..columns.len()).map(|at| row.get::<_, types::Value>(at));
            rows.push(cells.collect::<Result<Vec<_>, _>>()?);
        }
        for (at, column) in columns.iter_mut().enumerate() {
            let value = rows.iter().find_map(|row| value::Kind::of(&row[at]));
            column.kind = column.kind.or(value);
        }
        Ok(Answer {
            columns,
            rows,
            tag: String::new(),
        })
    }

    fn columns(
        &self,
        statement: &statement::Statement,
        prepared: &rusqlite::Statement<'_>,
    ) -> Vec<Column> {
        let mut declared = None;
        prepared
            .columns()
            .map(|column| {
                let name = column.name().to_owned();
                let alias = statement.aliases.iter().find(|(alias, _)| *alias == name);
                let kind = column.decl_type().map(value::Kind::named);
                let kind = kind.or(alias.map(|(_, kind)| *kind)).or_else(|| {
                    let declared = declared.get_or_insert_with(|| self.declared(statement));
                    declared.get(&name).copied()
                });
                Column { name, kind }
            })
            .collect()
    }

    /// Declared types of the columns of all tables that the statement names.
    fn declared(&self, statement: &statement::Statement) -> HashMap<String, value::Kind> {
        let sql = "SELECT lower(c.name), c.type, lower(t.name)
            FROM sqlite_master t, pragma_table_info(t.name) c WHERE t.type = 'table'";
        let mut prepared = self.connection.prepare_cached(sql).expect("valid query");
        let rows = prepared
            .query_map([], |row| {
                Ok((
                    row.get(0)?,
                    row.get::<_, String>(1)?,
                    row.get::<_, String>(2)?,
                ))
            })
            .expect("readable schema");
        rows.filter_map(Result::ok)
            .filter(|(_, _, table)| statement.tokens.contains(table))
            .map(|(column, kind, _): (String, _, _)| (column, value::Kind::named(&kind)))
            .collect()
    }

    /// Types of a statement's parameters and columns, before it has run.
    pub(crate) fn describe(
        &self,
        statement: &statement::Statement,
        oids: &[u32],
    ) -> Result<(Vec<u32>, Vec<Column>), Error> {
        let runs = matches!(
            statement.verb,
            statement::Verb::Read | statement::Verb::Write
        );
        if !runs {
            return Ok((Vec::new(), Vec::new()));
        }
        let mut prepared = self.connection.prepare_cached(&statement.text)?;
        let declared = self.declared(statement);
        let given = |at: usize| oids.get(at).copied().filter(|oid| *oid != 0);
        let parameters: Vec<u32> = (0..statement.parameters)
            .map(|at| given(at).unwrap_or_else(|| statement.infer(at + 1, &declared).oid()))
            .collect();
        let mut columns = self.columns(statement, &prepared);
        if columns.iter().any(|column| column.kind.is_none()) && prepared.readonly() {
            let samples = parameters
                .iter()
                .map(|oid| value::Kind::from_oid(*oid).sample());
            bind(&mut prepared, &samples.collect::<Vec<_>>())?;
            let mut cursor = prepared.raw_query();
            let row = cursor.next()?;
            for (at, column) in columns.iter_mut().enumerate() {
                let value = row.and_then(|row| row.get(at).ok());
                let value = value.as_ref().and_then(value::Kind::of);
                column.kind = column.kind.or(value);
            }
        }
        Ok((parameters, columns))
    }

    fn savepoint(&mut self, name: &str) -> Result<Answer, Error> {
        self.require_block()?;
        self.connection
            .execute_batch(&format!("SAVEPOINT {name}"))?;
        self.savepoints.push((name.to_owned(), self.writes.len()));
        Ok(Answer::tagged("SAVEPOINT"))
    }

    fn release(&mut self, name: &str) -> Result<Answer, Error> {
        let at = self.find_savepoint(name)?;
        self.connection.execute_batch(&format!("RELEASE {name}"))?;
        self.savepoints.truncate(at);
        Ok(Answer::tagged("RELEASE"))
    }

    fn rollback_to(&mut self, name: &str) -> Result<Answer, Error> {
        let at = self.find_savepoint(name)?;
        self.connection
            .execute_batch(&format!("ROLLBACK TO {name}"))?;
        self.savepoints.truncate(at + 1);
        self.writes.truncate(self.savepoints[at].1);
        self.health = Health::Sound;
        Ok(Answer::tagged("ROLLBACK"))
    }

    fn find_savepoint(&self, name: &str) -> Result<usize, Error> {
        self.require_block()?;
        self.savepoints
            .iter()
            .rposition(|(other, _)| other == name)
            .ok_or_else(|| Error::new("3B001", format!("savepoint {name} does not exist")))
    }

    fn require_block(&self) -> Result<(), Error> {
        if self.phase == Phase::Explicit {
            return Ok(());
        }
        let words = "savepoints can only be used in transaction blocks";
        Err(Error::new("25P01", words))
    }

    fn commit(&mut self, instance: &instance::Instance) -> Result<Answer, Error> {
        if self.health == Health::Revoked {
            self.rollback(instance);
            return Err(Error::revoked());
        }
        if self.health == Health::Failed {
            self.rollback(instance);
            return Ok(Answer::tagged("ROLLBACK"));
        }
        if self.is_open() {
            self.finish_commit(instance)?;
        }
        Ok(Answer::tagged("COMMIT"))
    }

    fn finish_commit(&mut self, instance: &instance::Instance) -> Result<(), Error> {
        let writes = std::mem::take(&mut self.writes);
        let result = match self.reign {
            Some(reign) if !writes.is_empty() => instance.commit(&self.connection, reign, writes),
            _ => read_stamp(&self.connection).and_then(|stamp| {
                self.connection.execute_batch("COMMIT")?;
                Ok(stamp)
            }),
        };
        match result {
            Ok(stamp) => {
                self.reset();
                self.ended = Some(stamp);
                Ok(())
            }
            Err(error) => {
                self.rollback(instance);
                Err(error)
            }
        }
    }

    fn rollback(&mut self, instance: &instance::Instance) {
        if self.is_open() {
            self.undo();
            self.reset();
            self.ended = Some(instance.status().stamp);
        }
    }

    fn undo(&mut self) {
        if !self.connection.is_autocommit() {
            self.connection
                .execute_batch("ROLLBACK")
                .expect("an open transaction rolls back");
        }
    }

    fn reset(&mut self) {
        self.phase = Phase::Idle;
        self.health = Health::Sound;
        self.reign = None;
        self.writer = None;
        self.writes.clear();
        self.savepoints.clear();
    }

    /// Ends the implicit transaction of a batch.
    pub(crate) fn finish(&mut self, instance: &instance::Instance) -> Result<(), Error> {
        if self.phase == Phase::Explicit {
            self.writer.take_if(|_| self.reign.is_none());
            return Ok(());
        }
        if self.health == Health::Failed {
            self.rollback(instance);
        }
        let result = self.commit(instance).map(drop);
        self.writer = None;
        result
    }

    /// Fails the transaction for an error outside its statements.
    pub(crate) fn fail(&mut self) {
        if self.is_open() && self.health == Health::Sound {
            self.health = Health::Failed;
        }
    }

    /// Rolls back from outside, because the instance changed its role or its data.
    pub(crate) fn revoke(&mut self, readers_too: bool) {
        if self.is_open() && (readers_too || self.reign.is_some()) {
            self.undo();
            self.health = Health::Revoked;
            self.reign = None;
        }
        self.writer = None;
    }
}

fn bind(
    prepared: &mut rusqlite::Statement<'_>,
    parameters: &[types::Value],
) -> rusqlite::Result<()> {
    parameters
        .iter()
        .enumerate()
        .try_for_each(|(at, value)| prepared.raw_bind_parameter(at + 1, value))
}

fn connect(path: &path::Path) -> rusqlite::Result<rusqlite::Connection> {
    let connection = rusqlite::Connection::open(path)?;
    connection.busy_timeout(BUSY_TIMEOUT)?;
    connection.pragma_update(None, "journal_mode", "WAL")?;
    connection.pragma_update(None, "synchronous", "OFF")?;
    connection.pragma_update(None, "foreign_keys", "ON")?;
    Ok(connection)
}

/// Creates an instance's file with its schema.
pub(crate) fn create(
    path: &path::Path,
    schema: &[String],
) -> rusqlite::Result<rusqlite::Connection> {
    let connection = connect(path)?;
    connection.execute_batch(STAMP_TABLE)?;
    schema
        .iter()
        .try_for_each(|sql| connection.execute_batch(sql))?;
    Ok(connection)
}

/// Applies whole records in one transaction.
pub(crate) fn replay(
    connection: &rusqlite::Connection,
    records: &[Arc<journal::Record>],
) -> rusqlite::Result<()> {
    connection.execute_batch("BEGIN IMMEDIATE")?;
    for write in records.iter().flat_map(|record| &record.statements) {
        let mut prepared = connection.prepare_cached(&write.sql)?;
        bind(&mut prepared, &write.parameters)?;
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
    let mut prepared = connection.prepare_cached(WRITE_STAMP)?;
    prepared.execute((stamp.term, stamp.position)).map(drop)
}

/// Stamp of the snapshot that the connection's transaction sees.
fn read_stamp(connection: &rusqlite::Connection) -> Result<stamp::Stamp, Error> {
    let mut prepared = connection.prepare_cached(READ_STAMP)?;
    let stamp = prepared.query_one([], |row| Ok(stamp::Stamp::new(row.get(0)?, row.get(1)?)))?;
    Ok(stamp)
}

/// All rows of a query as text, for audits.
pub(crate) fn audit(path: &path::Path, sql: &str) -> eyre::Result<Vec<Vec<Option<String>>>> {
    let connection = connect(path)?;
    let mut prepared = connection.prepare(sql)?;
    let width = prepared.column_count();
    let rows = prepared.query_map([], |row| {
        (0..width)
            .map(|at| row.get::<_, types::Value>(at))
            .map(|value| value.map(|value| optional_text(&value)))
            .collect()
    })?;
    Ok(rows.collect::<Result<_, _>>()?)
}

fn optional_text(value: &types::Value) -> Option<String> {
    (*value != types::Value::Null).then(|| value::text(value))
}
