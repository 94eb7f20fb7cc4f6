//! Executes SQL of an instance's sessions with an embedded library.

use std::path;

use mangotray::stamp;
use pgwire::messages::response;
use rusqlite::types;

use crate::column;
use crate::instance;
use crate::journal;
use crate::sqlstate;
use crate::statement;
use crate::storage;
use crate::value;

/// Result of one statement.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    pub(crate) columns: Vec<column::Column>,
    pub(crate) rows: Vec<Vec<types::Value>>,
    /// Command tag; empty for an empty query.
    pub(crate) tag: String,
}

impl Answer {
    fn with_tag(tag: &str) -> Self {
        let tag = tag.to_owned();
        Self {
            tag,
            ..Self::default()
        }
    }
}

/// Whether the session has a transaction, and how it was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    /// Begun by a statement without BEGIN; ends with its batch.
    Implicit,
    /// Begun by BEGIN.
    Explicit,
}

/// Whether the transaction can still run statements and commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Active,
    /// One of its statements failed.
    Failed,
    /// The instance rolled it back, because its role or its data changed.
    Revoked,
}

/// One session's connection to the instance's data, with its transaction.
pub(crate) struct Database {
    connection: rusqlite::Connection,
    /// Number of the data file that the connection has open.
    generation: u64,
    phase: Phase,
    condition: Condition,
    /// The instance's write epoch when the write transaction began; `None` otherwise.
    write_epoch: Option<u64>,
    /// Guard of the instance's write lock.
    write_guard: Option<async_lock::MutexGuardArc<()>>,
    /// Writes of the transaction, for its record in the log.
    writes: Vec<journal::Write>,
    /// Name of each savepoint and the number of writes before it.
    savepoints: Vec<(String, usize)>,
    /// Stamp of the last transaction that ended, until it is reported.
    last_stamp: Option<stamp::Stamp>,
}

impl Database {
    pub(crate) fn open(path: &path::Path, generation: u64) -> rusqlite::Result<Self> {
        Ok(Self {
            connection: storage::connect(path)?,
            generation,
            phase: Phase::Idle,
            condition: Condition::Active,
            write_epoch: None,
            write_guard: None,
            writes: Vec::new(),
            savepoints: Vec::new(),
            last_stamp: None,
        })
    }

    /// Between transactions, opens the instance's new data file if there is one.
    pub(crate) fn refresh(&mut self, instance: &instance::Instance) -> rusqlite::Result<()> {
        let (path, generation) = instance.data_file();
        if !self.in_transaction() && self.generation != generation {
            self.connection = storage::connect(&path)?;
            self.generation = generation;
        }
        Ok(())
    }

    /// Whether a transaction has begun and not ended; also true for one that the instance
    /// has rolled back.
    fn in_transaction(&self) -> bool {
        self.phase != Phase::Idle
    }

    pub(crate) fn holds_write_lock(&self) -> bool {
        self.write_guard.is_some()
    }

    /// Stores the guard of the write lock, or releases it if the instance is no longer
    /// the primary.
    pub(crate) fn set_write_guard(
        &mut self,
        instance: &instance::Instance,
        write_guard: async_lock::MutexGuardArc<()>,
    ) {
        self.write_guard = instance.state().is_primary().then_some(write_guard);
    }

    pub(crate) fn take_last_stamp(&mut self) -> Option<stamp::Stamp> {
        self.last_stamp.take()
    }

    pub(crate) fn status(&self) -> response::TransactionStatus {
        match (self.phase, self.condition) {
            (Phase::Idle, _) => response::TransactionStatus::Idle,
            (_, Condition::Active) => response::TransactionStatus::Transaction,
            _ => response::TransactionStatus::Error,
        }
    }

    /// Runs one statement; a failure fails the transaction.
    pub(crate) fn run(
        &mut self,
        instance: &instance::Instance,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<Answer, sqlstate::Error> {
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
    ) -> Result<Answer, sqlstate::Error> {
        match &statement.verb {
            statement::Verb::Empty => return Ok(Answer::default()),
            statement::Verb::Commit => return self.commit(instance),
            statement::Verb::Rollback => {
                self.rollback(instance);
                return Ok(Answer::with_tag("ROLLBACK"));
            }
            _ if self.condition == Condition::Revoked => {
                return Err(sqlstate::Error::transaction_revoked());
            }
            statement::Verb::RollbackTo(name) => return self.rollback_to(name),
            _ if self.condition == Condition::Failed => {
                return Err(sqlstate::Error::transaction_failed());
            }
            _ => {}
        }
        match &statement.verb {
            statement::Verb::Begin { read_only } => {
                if !self.in_transaction() {
                    self.begin(instance, *read_only)?;
                }
                self.phase = Phase::Explicit;
                Ok(Answer::with_tag("BEGIN"))
            }
            statement::Verb::Savepoint(name) => self.savepoint(name),
            statement::Verb::Release(name) => self.release(name),
            statement::Verb::Setting => Ok(Answer::with_tag(&statement.tag)),
            _ => {
                if !self.in_transaction() {
                    self.begin(instance, false)?;
                }
                self.execute(statement, parameters)
            }
        }
    }

    fn begin(
        &mut self,
        instance: &instance::Instance,
        read_only: bool,
    ) -> Result<(), sqlstate::Error> {
        if self.write_guard.is_some() && !read_only {
            self.write_epoch = instance.begin(&self.connection)?;
        }
        if self.write_epoch.is_none() {
            self.connection.execute_batch("BEGIN DEFERRED")?;
        }
        self.phase = Phase::Implicit;
        Ok(())
    }

    fn execute(
        &mut self,
        statement: &statement::Statement,
        parameters: &[types::Value],
    ) -> Result<Answer, sqlstate::Error> {
        if statement.writes() && self.write_epoch.is_none() {
            return Err(sqlstate::Error::read_only(&statement.tag));
        }
        if statement.writes() && statement.volatile {
            let message = "a write must give the same result on each instance";
            return Err(sqlstate::Error::new("0A000", message));
        }
        let changes_before = self.connection.total_changes();
        let mut answer = self.fetch(statement, parameters)?;
        let is_definition = statement.tag.contains(' ');
        if statement.writes()
            && (is_definition || self.connection.total_changes() != changes_before)
        {
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
    ) -> Result<Answer, sqlstate::Error> {
        let mut prepared = self.connection.prepare_cached(&statement.text)?;
        storage::bind_parameters(&mut prepared, parameters)?;
        let mut columns = column::Column::of_statement(&self.connection, statement, &prepared);
        let mut rows = Vec::new();
        let mut cursor = prepared.raw_query();
        while let Some(row) = cursor.next()? {
            let cells = (0..columns.len()).map(|index| row.get::<_, types::Value>(index));
            rows.push(cells.collect::<Result<Vec<_>, _>>()?);
        }
        for (index, column) in columns.iter_mut().enumerate() {
            let kind = rows
                .iter()
                .find_map(|row| value::Kind::of_value(&row[index]));
            column.kind = column.kind.or(kind);
        }
        Ok(Answer {
            columns,
            rows,
            tag: String::new(),
        })
    }

    /// Type OIDs of a statement's parameters, and its columns, before it runs.
    pub(crate) fn describe(
        &self,
        statement: &statement::Statement,
        oids: &[u32],
    ) -> Result<(Vec<u32>, Vec<column::Column>), sqlstate::Error> {
        column::Column::describe(&self.connection, statement, oids)
    }

    fn savepoint(&mut self, name: &str) -> Result<Answer, sqlstate::Error> {
        self.require_explicit_transaction()?;
        self.connection
            .execute_batch(&format!("SAVEPOINT {name}"))?;
        self.savepoints.push((name.to_owned(), self.writes.len()));
        Ok(Answer::with_tag("SAVEPOINT"))
    }

    fn release(&mut self, name: &str) -> Result<Answer, sqlstate::Error> {
        let index = self.find_savepoint(name)?;
        self.connection.execute_batch(&format!("RELEASE {name}"))?;
        self.savepoints.truncate(index);
        Ok(Answer::with_tag("RELEASE"))
    }

    fn rollback_to(&mut self, name: &str) -> Result<Answer, sqlstate::Error> {
        let index = self.find_savepoint(name)?;
        self.connection
            .execute_batch(&format!("ROLLBACK TO {name}"))?;
        self.savepoints.truncate(index + 1);
        self.writes.truncate(self.savepoints[index].1);
        self.condition = Condition::Active;
        Ok(Answer::with_tag("ROLLBACK"))
    }

    fn find_savepoint(&self, name: &str) -> Result<usize, sqlstate::Error> {
        self.require_explicit_transaction()?;
        self.savepoints
            .iter()
            .rposition(|(other, _)| other == name)
            .ok_or_else(|| {
                sqlstate::Error::new("3B001", format!("savepoint {name} does not exist"))
            })
    }

    fn require_explicit_transaction(&self) -> Result<(), sqlstate::Error> {
        if self.phase == Phase::Explicit {
            return Ok(());
        }
        let message = "savepoints can only be used in transaction blocks";
        Err(sqlstate::Error::new("25P01", message))
    }

    fn commit(&mut self, instance: &instance::Instance) -> Result<Answer, sqlstate::Error> {
        if self.condition == Condition::Revoked {
            self.rollback(instance);
            return Err(sqlstate::Error::transaction_revoked());
        }
        if self.condition == Condition::Failed {
            self.rollback(instance);
            return Ok(Answer::with_tag("ROLLBACK"));
        }
        if self.in_transaction() {
            self.commit_open_transaction(instance)?;
        }
        Ok(Answer::with_tag("COMMIT"))
    }

    fn commit_open_transaction(
        &mut self,
        instance: &instance::Instance,
    ) -> Result<(), sqlstate::Error> {
        let writes = std::mem::take(&mut self.writes);
        let result = match self.write_epoch {
            Some(write_epoch) if !writes.is_empty() => {
                instance.commit(&self.connection, write_epoch, writes)
            }
            _ => self.commit_read().map_err(sqlstate::Error::from),
        };
        match result {
            Ok(stamp) => {
                self.clear_transaction();
                self.last_stamp = Some(stamp);
                Ok(())
            }
            Err(error) => {
                self.rollback(instance);
                Err(error)
            }
        }
    }

    /// Commits a transaction without writes; returns the stamp of its snapshot.
    fn commit_read(&self) -> rusqlite::Result<stamp::Stamp> {
        let stamp = storage::read_stamp(&self.connection)?;
        self.connection.execute_batch("COMMIT")?;
        Ok(stamp)
    }

    fn rollback(&mut self, instance: &instance::Instance) {
        if self.in_transaction() {
            self.roll_back_connection();
            self.clear_transaction();
            self.last_stamp = Some(instance.status().stamp);
        }
    }

    fn roll_back_connection(&mut self) {
        if !self.connection.is_autocommit() {
            self.connection
                .execute_batch("ROLLBACK")
                .expect("an open transaction can be rolled back");
        }
    }

    fn clear_transaction(&mut self) {
        self.phase = Phase::Idle;
        self.condition = Condition::Active;
        self.write_epoch = None;
        self.write_guard = None;
        self.writes.clear();
        self.savepoints.clear();
    }

    /// Ends the implicit transaction of a batch; an explicit one stays open.
    pub(crate) fn end_batch(
        &mut self,
        instance: &instance::Instance,
    ) -> Result<(), sqlstate::Error> {
        if self.phase == Phase::Explicit {
            self.write_guard.take_if(|_| self.write_epoch.is_none());
            return Ok(());
        }
        if self.condition == Condition::Failed {
            self.rollback(instance);
        }
        let result = self.commit(instance).map(drop);
        self.write_guard = None;
        result
    }

    /// Fails the transaction after an error that was not raised by one of its statements.
    pub(crate) fn fail(&mut self) {
        if self.in_transaction() && self.condition == Condition::Active {
            self.condition = Condition::Failed;
        }
    }

    /// Rolls back a write transaction, or any transaction with `include_readers`, because
    /// the instance changed its role or its data.
    pub(crate) fn revoke(&mut self, include_readers: bool) {
        if self.in_transaction() && (include_readers || self.write_epoch.is_some()) {
            self.roll_back_connection();
            self.condition = Condition::Revoked;
            self.write_epoch = None;
        }
        self.write_guard = None;
    }
}
